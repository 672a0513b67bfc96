//! Control task of a process.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::error;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;

use crate::ids::Digest;
use crate::ids::InstanceId;
use crate::ids::SearcherId;
use crate::process::dissemination;
use crate::process::dissemination::Dissemination;
use crate::process::dissemination::Document;
use crate::process::dissemination::DocumentKey;
use crate::process::dissemination::Outline;
use crate::process::dissemination::PlatformReply;
use crate::process::dissemination::Report;
use crate::process::membership;
use crate::process::membership::Membership;
use crate::process::membership::PlatformList;
use crate::process::membership::State;
use crate::process::membership::View;
use crate::process::node::Node;
use crate::process::node::Version;
use crate::process::node::reads::Reader;
use crate::process::node::valid::Valid;
use crate::process::node::wanted_peers;
use crate::process::peers::Peers;
use crate::version::document;
use crate::version::document::Root;
use crate::version::tables::Tables;
use crate::wire::proto;
use crate::wire::proto::Hello;
use crate::wire::proto::frame::Body;

/// Interval of pings on every session. Four fit into the silence after which a peer is suspect.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Number of processes assumed until the platform's list is known.
const ASSUMED_FLEET: usize = 24;

/// Input of the control task.
#[derive(Debug)]
pub enum ControlInput {
    /// A session opened.
    Opened(Hello),
    /// The last session with a peer ended.
    Lost(InstanceId),
    /// A peer could not be reached.
    Unreachable(InstanceId),
    /// A peer answered.
    Heard(InstanceId),
    /// A control message of a peer.
    Frame(InstanceId, Body),
    /// The platform's list was read.
    List(PlatformList),
    /// The root was read.
    Root(PlatformReply),
    /// A part was read.
    Part(Digest, Option<Bytes>),
    /// A document was validated.
    Validated(DocumentKey, Result<Valid, Box<str>>),
    /// A searcher said that it is leaving.
    SearcherLeaving(SearcherId),
    /// A searcher answered without the draining flag in an exchange that began at this time.
    SearcherUsable(SearcherId, Instant),
    /// A lane noticed a pause and needs a view that was confirmed after it.
    Confirm,
    /// A planned stop begins.
    Stop,
}

/// What the control task works with.
#[derive(Debug)]
pub struct Control {
    /// Shared state.
    pub node: Arc<Node>,
    /// Sessions.
    pub peers: Arc<Peers>,
    /// Reads of the platform.
    pub reader: Reader,
    /// Peers known from the settings.
    pub seeds: IndexMap<InstanceId, SocketAddr>,
    /// Random source.
    pub rng: SmallRng,
}

/// Runs the control task until the process ends.
pub async fn run(control: Control, mut inputs: mpsc::Receiver<ControlInput>) {
    let mut task = Task::new(control);
    let mut subscription = task.node.timer.subscribe();
    let mut next_ping = task.node.timer.now();
    task.want_peers();
    loop {
        let wakeup = task.next_wakeup().map_or(next_ping, |at| at.min(next_ping));
        let input = tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => Some(input),
                None => return,
            },
            () = subscription.wait(Some(wakeup)) => None,
        };
        let tick = subscription.tick();
        if let Some(paused) = tick.paused {
            task.node.metrics.pauses.inc();
            warn!(task.node.log, "process_paused"; "gap_ms" => u64::try_from(paused.as_millis()).unwrap_or(u64::MAX));
        }
        task.on_tick(tick.paused, tick.now);
        if let Some(input) = input {
            task.on_input(input, tick.now);
        }
        if tick.now >= next_ping {
            next_ping = tick.now + PING_INTERVAL;
            task.ping();
        }
    }
}

struct Task {
    node: Arc<Node>,
    peers: Arc<Peers>,
    reader: Reader,
    seeds: IndexMap<InstanceId, SocketAddr>,
    membership: Membership,
    dissemination: Dissemination,
    /// Tables of documents that were validated and are not in effect yet.
    validated: IndexMap<DocumentKey, Arc<Tables>>,
    /// Document that was parsed last. Parsing takes most of the time of a validation, and a change usually concerns one
    /// part, so the others are taken from here.
    parsed: Option<Arc<document::Document>>,
    nonce: u64,
}

impl Task {
    fn new(control: Control) -> Self {
        let Control {
            node,
            peers,
            reader,
            seeds,
            mut rng,
        } = control;
        let now = node.timer.now();
        let identity = &node.identity;
        let membership = membership::Settings {
            instance: identity.instance.clone(),
            role: identity.role,
            data_centre: identity.data_centre.clone(),
            address: identity.address,
            incarnation: identity.incarnation,
        };
        let dissemination = dissemination::Settings {
            instance: identity.instance.clone(),
            data_centre: identity.data_centre.clone(),
            fleet_size: ASSUMED_FLEET,
        };
        let membership_rng = SmallRng::from_rng(&mut rng);
        Self {
            membership: Membership::new(membership, membership_rng, now),
            dissemination: Dissemination::new(dissemination, rng, now),
            validated: IndexMap::new(),
            parsed: None,
            nonce: 0,
            node,
            peers,
            reader,
            seeds,
        }
    }

    fn next_wakeup(&self) -> Option<Instant> {
        let times = [self.membership.next_wakeup(), self.dissemination.next_wakeup()];
        times.into_iter().flatten().min()
    }

    fn on_tick(&mut self, paused: Option<Duration>, now: Instant) {
        let mut actions = Vec::new();
        self.membership.on_tick(now, paused, &mut actions);
        self.apply_membership(actions, now);
        let mut actions = Vec::new();
        self.dissemination.on_tick(now, paused, &mut actions);
        self.apply_dissemination(actions, now);
    }

    fn on_input(&mut self, input: ControlInput, now: Instant) {
        let mut views = Vec::new();
        let mut spread = Vec::new();
        let members = &mut self.membership;
        match input {
            ControlInput::Opened(hello) => members.on_session_opened(&hello, now, &mut views),
            ControlInput::Lost(peer) => members.on_session_lost(&peer, now, &mut views),
            ControlInput::Unreachable(peer) => members.on_connect_failed(&peer, now, &mut views),
            ControlInput::Heard(peer) => members.on_heard(&peer, now, &mut views),
            ControlInput::List(list) => {
                members.on_list(list, now, &mut views);
                self.reader.set_fleet(self.membership.view().fleet_size);
            }
            ControlInput::SearcherLeaving(searcher) => members.on_searcher_leaving(&searcher, now, &mut views),
            ControlInput::SearcherUsable(searcher, began) => {
                members.on_searcher_usable(&searcher, began, now, &mut views);
            }
            ControlInput::Confirm => self.confirm(),
            ControlInput::Stop => members.on_stop(now, &mut views),
            ControlInput::Frame(from, body) => self.on_frame(&from, body, now, &mut views, &mut spread),
            ControlInput::Root(reply) => self.dissemination.on_platform_root(reply, now, &mut spread),
            ControlInput::Part(digest, body) => {
                self.dissemination.on_platform_part(digest, body, now, &mut spread);
            }
            ControlInput::Validated(key, verdict) => self.on_validated(key, verdict, now, &mut spread),
        }
        self.apply_membership(views, now);
        self.apply_dissemination(spread, now);
    }

    /// Publishes the view again when it is current. Otherwise the next view that is current answers the request: this
    /// task has read the clock before, so a pause of the process has made the view not current by now.
    fn confirm(&self) {
        let view = self.membership.view();
        if view.current {
            self.node.publish_view(Arc::clone(view));
        }
    }

    fn on_frame(
        &mut self,
        from: &str,
        body: Body,
        now: Instant,
        views: &mut Vec<membership::Action>,
        spread: &mut Vec<dissemination::Action>,
    ) {
        match body {
            Body::Digest(message) => self.dissemination.on_digest(from, &message, now, spread),
            Body::Fetch(message) => self.dissemination.on_fetch(from, &message, now, spread),
            Body::Parts(message) => self.dissemination.on_parts(from, &message, now, spread),
            Body::Signals(message) => self.membership.on_signals(from, &message, now, views),
            Body::GoAway(_) => {
                info!(self.node.log, "peer_leaving"; "peer" => from);
                self.membership.on_go_away(from, now, views);
            }
            _ => {}
        }
    }

    fn on_validated(
        &mut self,
        key: DocumentKey,
        verdict: Result<Valid, Box<str>>,
        now: Instant,
        spread: &mut Vec<dissemination::Action>,
    ) {
        // A document that was overtaken since it was validated never takes effect, so its tables are not kept.
        self.validated.clear();
        let verdict = verdict.map(|valid| {
            self.validated.insert(key, valid.tables);
            self.parsed = Some(valid.document);
        });
        self.dissemination.on_validated(key, verdict, now, spread);
    }

    fn apply_membership(&mut self, actions: Vec<membership::Action>, now: Instant) {
        for action in actions {
            match action {
                membership::Action::Publish(view) => {
                    self.close_silent(&view);
                    self.dissemination.on_view(Arc::clone(&view), now);
                    self.node.publish_view(view);
                    self.want_peers();
                }
                membership::Action::Send { to, signals } => self.send(&to, Body::Signals(signals)),
            }
        }
    }

    /// Closes the sessions with peers that have just been found down, so that requests which wait for them are sent
    /// elsewhere. A peer that answers again may be held down for a while, and its session stays.
    fn close_silent(&self, view: &View) {
        let before = self.node.view();
        for (id, instance) in &view.instances {
            if instance.state == State::Down
                && before.state(id).is_live()
                && let Some(session) = self.peers.session(id)
            {
                info!(self.node.log, "silent_peer_closed"; "peer" => &**id);
                session.close();
            }
        }
    }

    fn apply_dissemination(&mut self, actions: Vec<dissemination::Action>, now: Instant) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                dissemination::Action::Send { to, body } => self.send(&to, body),
                dissemination::Action::ReadRoot { after, wait } => self.reader.read_root(after, wait),
                dissemination::Action::ReadPart { digest } => self.reader.read_part(digest),
                dissemination::Action::Parse { root, body } => {
                    let mut further = Vec::new();
                    self.dissemination.on_outline(root, outline(&body), now, &mut further);
                    actions.extend(further);
                }
                dissemination::Action::Validate(document) => self.validate(document),
                dissemination::Action::PutInEffect(document) => self.put_in_effect(&document),
                dissemination::Action::SetCurrent(current) => self.set_current(current, now),
                dissemination::Action::Report(report) => self.report(report),
            }
        }
    }

    /// Validates on a blocking thread, since a large document takes longer than the control task may stand still.
    fn validate(&self, document: Arc<Document>) {
        let node = Arc::clone(&self.node);
        let previous = self.parsed.clone();
        tokio::task::spawn_blocking(move || {
            let verdict = Valid::parse(&document, previous.as_deref());
            node.report_blocking(ControlInput::Validated(document.key, verdict));
        });
    }

    fn put_in_effect(&mut self, document: &Document) {
        let Some(tables) = self.validated.shift_remove(&document.key) else {
            error!(self.node.log, "document_without_tables"; "revision" => document.key.revision);
            return;
        };
        info!(self.node.log, "revision_in_effect"; "revision" => document.key.revision);
        self.peers.set_revision(document.key.revision);
        let version = Version {
            tables,
            digest: document.key.root,
        };
        self.node.publish_version(Arc::new(version));
        self.node.update_readiness();
    }

    fn set_current(&self, current: bool, now: Instant) {
        let age = self.dissemination.platform_age(now);
        info!(self.node.log, "configuration_current"; "current" => current, "age_ms" => age.as_millis() as u64);
        self.node.set_current(current);
    }

    fn report(&self, report: Report) {
        let log = &self.node.log;
        match report {
            Report::Rejected { root, reason } => {
                self.node.metrics.documents_refused.inc();
                let reason = reason.replace('\n', "; ");
                error!(log, "document_refused"; "root" => short(&root), "reason" => reason);
            }
            Report::Conflict {
                revision,
                winner,
                loser,
            } => {
                self.node.metrics.documents_refused.inc();
                error!(log, "revision_conflict"; "revision" => revision, "wins" => short(&winner), "loses" => short(&loser));
            }
            Report::LowerRevision { received, in_effect } => {
                warn!(log, "platform_stale"; "given" => received, "in_effect" => in_effect);
            }
            Report::Incomplete { revision } => warn!(log, "document_incomplete"; "revision" => revision),
        }
    }

    fn send(&self, to: &str, body: Body) {
        if let Some(session) = self.peers.session(to) {
            // A session that closes meanwhile is reported by its own event.
            let _closed = session.send(body);
        }
    }

    fn ping(&mut self) {
        self.nonce += 1;
        let nonce = self.nonce;
        for session in self.peers.sessions().values() {
            let _closed = session.send(Body::Ping(proto::Ping { nonce }));
        }
    }

    fn want_peers(&self) {
        let view = self.membership.view();
        let mut wanted = wanted_peers(&self.node.identity, view);
        if view.version == 0 {
            wanted.extend(self.seeds.iter().map(|(id, address)| (id.clone(), *address)));
        }
        self.peers.want(&wanted);
    }
}

/// Reads the parts that a root names.
fn outline(body: &[u8]) -> Result<Outline, Box<str>> {
    let root = Root::parse(body).map_err(|finding| Box::from(finding.to_string()))?;
    Ok(Outline {
        revision: root.revision,
        parts: root.part_digests().collect(),
    })
}

/// First bytes of a digest, enough to tell documents apart in a log line.
fn short(digest: &Digest) -> String {
    digest.iter().take(6).map(|byte| format!("{byte:02x}")).collect()
}
