//! Conversion of the inputs of a leaf to calls of its client.

use std::time::Instant;

use pimentoflow::connection::lane::Lane;
use pimentoflow::connection::lane::work::Action;
use pimentoflow::connection::lane::work::OpenFailure;

use super::Input;
use crate::scenarios::lane_fifo::FifoClient;

pub(super) fn on_lane_input(lane: &mut Lane, input: Input, now: Instant, actions: &mut Vec<Action>) {
    match input {
        Input::Opened(connection) => lane.on_opened(connection, now, actions),
        Input::OpenRefused(connection) => lane.on_open_failed(connection, OpenFailure::CapReached, now, actions),
        Input::Closed { connection, written } => lane.on_closed(connection, written, now, actions),
        Input::Reply { connection, reply } => lane.on_reply(connection, reply, now, actions),
        Input::CancelReply(connection) => lane.on_cancel_reply(connection, now, actions),
        Input::Work(work) => lane.on_work(work, now, actions),
        Input::Wakeup => lane.on_tick(None, now, actions),
    }
}

pub(super) fn on_fifo_input(client: &mut FifoClient, input: Input, now: Instant, actions: &mut Vec<Action>) {
    match input {
        Input::Opened(connection) => client.on_opened(connection, now, actions),
        Input::OpenRefused(connection) | Input::Closed { connection, .. } => client.on_closed(connection, actions),
        Input::Reply { connection, reply } => client.on_reply(connection, reply, now, actions),
        Input::Work(work) => client.on_work(work, now, actions),
        Input::CancelReply(_) | Input::Wakeup => {}
    }
}
