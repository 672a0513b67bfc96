//! Event handlers of the fake backend server.

use std::time::Duration;

use pimentoflow::connection::lane::work::Reply;
use pimentoflow::connection::lane::work::ReplyResult;
use pimentoflow::connection::lane::work::Work;
use pimentoflow::wire::proto::RefusalReason;

use super::Input;
use super::LaneFleet;
use super::ONE_WAY_DELAY;
use super::ServerEvent;
use crate::scenarios::lane_server::Link;

impl<C> LaneFleet<C> {
    pub(super) fn on_server_event(&mut self, event: ServerEvent) {
        match event {
            ServerEvent::Connect(link) => {
                let accepted = self.server.connect(link);
                let input = if accepted {
                    Input::Opened(link.connection)
                } else {
                    Input::OpenRefused(link.connection)
                };
                self.leaf_input(link.leaf, self.connect_cost + ONE_WAY_DELAY, input);
            }
            ServerEvent::Disconnect(link) => self.server.disconnect(link),
            ServerEvent::Request(link, work) => self.on_request(link, &work),
            ServerEvent::Done(key) => {
                if let Some(request) = self.server.finish(key) {
                    let service_time = request.service;
                    if let Some(job) = self.jobs.get_mut(&(request.link.leaf, request.work)) {
                        job.service = service_time;
                    }
                    self.reply(request.link, ReplyResult::Answered { service_time });
                }
            }
            ServerEvent::Cancel(link, work) => {
                if let Some(cancelled) = self.server.cancel(link.leaf, work) {
                    self.reply(cancelled, refused(RefusalReason::Cancelled, false));
                }
                self.leaf_input(link.leaf, ONE_WAY_DELAY, Input::CancelReply(link.connection));
            }
        }
    }

    fn on_request(&mut self, link: Link, work: &Work) {
        if !self.server.is_connected(link) {
            return;
        }
        match self.server.receive(link, work) {
            Some((key, service)) => self.server_event(service, ServerEvent::Done(key)),
            None => self.reply(link, refused(RefusalReason::Shedding, true)),
        }
    }

    fn reply(&mut self, link: Link, result: ReplyResult) {
        if !self.server.is_connected(link) {
            return;
        }
        let reply = Reply {
            result,
            draining: false,
        };
        let connection = link.connection;
        self.leaf_input(link.leaf, ONE_WAY_DELAY, Input::Reply { connection, reply });
    }
}

fn refused(reason: RefusalReason, not_started: bool) -> ReplyResult {
    ReplyResult::Refused {
        reason,
        not_started,
        retry_after: Duration::ZERO,
    }
}
