//! Control task of a process: runs the membership and dissemination state machines and executes their actions.

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
use crate::process::dissemination::PlatformResponse;
use crate::process::dissemination::Report;
use crate::process::membership;
use crate::process::membership::Membership;
use crate::process::membership::PlatformList;
use crate::process::membership::State;
use crate::process::membership::View;
use crate::process::node::ActiveConfig;
use crate::process::node::Node;
use crate::process::node::platform_reader::PlatformReader;
use crate::process::node::target_peers;
use crate::process::node::validation::ValidDocument;
use crate::process::peers::Peers;
use crate::version::document;
use crate::version::document::Root;
use crate::version::tables::Tables;
use crate::wire::proto;
use crate::wire::proto::Hello;
use crate::wire::proto::frame::Body;

/// Interval of pings on each session. A peer becomes suspect after four intervals without a message.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Number of processes assumed until the list of the platform is known.
const ASSUMED_FLEET_SIZE: usize = 24;

/// Input of the control task.
#[derive(Debug)]
pub enum ControlInput {
    /// A session opened.
    SessionOpened(Hello),
    /// The last session with a peer ended.
    SessionLost(InstanceId),
    /// A peer could not be reached.
    PeerUnreachable(InstanceId),
    /// A peer sent a ping or a pong.
    PeerHeard(InstanceId),
    /// A peer sent a control message.
    Frame(InstanceId, Body),
    /// The list of instances was read from the platform.
    InstanceList(PlatformList),
    /// A read of the document root ended.
    RootRead(PlatformResponse),
    /// A read of a part ended. The body is `None` when the read failed.
    PartRead(Digest, Option<Bytes>),
    /// The validation of a document ended.
    DocumentValidated(DocumentKey, Result<ValidDocument, Box<str>>),
    /// A reply of a searcher had the draining flag.
    SearcherLeaving(SearcherId),
    /// A searcher replied without the draining flag in an exchange that began at this time.
    SearcherUsable(SearcherId, Instant),
    /// A lane detected a pause of the process and needs a view that was confirmed after it.
    ConfirmView,
    /// The notice period of a planned stop ended, so this process removes itself from the ranking of its own view.
    LeavePlacement,
}

/// Dependencies of the control task.
#[derive(Debug)]
pub struct ControlContext {
    /// State shared with the rest of the process.
    pub node: Arc<Node>,
    /// Sessions with peers.
    pub peers: Arc<Peers>,
    /// Reader of the platform.
    pub reader: PlatformReader,
    /// Seed peers from the settings, used until a list of the platform was read.
    pub seeds: IndexMap<InstanceId, SocketAddr>,
    /// Random number generator of the state machines.
    pub rng: SmallRng,
}

/// Runs the control task until the process ends.
pub async fn run(context: ControlContext, mut inputs: mpsc::Receiver<ControlInput>) {
    let mut task = ControlTask::new(context);
    let mut subscription = task.node.timer.subscribe();
    let mut next_ping = task.node.timer.now();
    task.update_target_peers();
    loop {
        let wakeup = task.next_wakeup().map_or(next_ping, |at| at.min(next_ping));
        let input = tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => Some(input),
                None => return,
            },
            () = subscription.wait(Some(wakeup)) => None,
        };
        let tick = subscription.read();
        if let Some(paused) = tick.pause {
            task.node.metrics.pauses.inc();
            warn!(task.node.log, "process_paused"; "gap_ms" => u64::try_from(paused.as_millis()).unwrap_or(u64::MAX));
        }
        task.on_tick(tick.pause, tick.now);
        if let Some(input) = input {
            task.on_input(input, tick.now);
        }
        if tick.now >= next_ping {
            next_ping = tick.now + PING_INTERVAL;
            task.ping();
        }
    }
}

struct ControlTask {
    node: Arc<Node>,
    peers: Arc<Peers>,
    reader: PlatformReader,
    seeds: IndexMap<InstanceId, SocketAddr>,
    membership: Membership,
    dissemination: Dissemination,
    /// Tables of the validated document that is not in effect yet.
    validated: IndexMap<DocumentKey, Arc<Tables>>,
    /// Last valid document. Parsing takes most of the time of a validation and most changes concern one part, so the
    /// unchanged parts are reused from here.
    parsed: Option<Arc<document::Document>>,
    nonce: u64,
}

impl ControlTask {
    fn new(context: ControlContext) -> Self {
        let ControlContext {
            node,
            peers,
            reader,
            seeds,
            mut rng,
        } = context;
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
            fleet_size: ASSUMED_FLEET_SIZE,
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
        let mut actions = Vec::new();
        let mut config_actions = Vec::new();
        let membership = &mut self.membership;
        match input {
            ControlInput::SessionOpened(hello) => membership.on_session_opened(&hello, now, &mut actions),
            ControlInput::SessionLost(peer) => membership.on_session_lost(&peer, now, &mut actions),
            ControlInput::PeerUnreachable(peer) => membership.on_connect_failed(&peer, now, &mut actions),
            ControlInput::PeerHeard(peer) => membership.on_heard(&peer, now, &mut actions),
            ControlInput::InstanceList(list) => {
                membership.on_list(list, now, &mut actions);
                self.reader.set_fleet_size(self.membership.view().fleet_size);
            }
            ControlInput::SearcherLeaving(searcher) => membership.on_searcher_leaving(&searcher, now, &mut actions),
            ControlInput::SearcherUsable(searcher, started) => {
                membership.on_searcher_usable(&searcher, started, now, &mut actions);
            }
            ControlInput::ConfirmView => self.confirm_view(),
            ControlInput::LeavePlacement => membership.on_stop(now, &mut actions),
            ControlInput::Frame(from, body) => self.on_frame(&from, body, now, &mut actions, &mut config_actions),
            ControlInput::RootRead(response) => self.dissemination.on_platform_root(response, now, &mut config_actions),
            ControlInput::PartRead(digest, body) => {
                self.dissemination
                    .on_platform_part(digest, body, now, &mut config_actions);
            }
            ControlInput::DocumentValidated(key, result) => self.on_validated(key, result, now, &mut config_actions),
        }
        self.apply_membership(actions, now);
        self.apply_dissemination(config_actions, now);
    }

    /// Publishes the view again if it is current. Otherwise the next current view is the confirmation. The task read
    /// the clock before it handled this input, so a pause of the process has already made the view not current.
    fn confirm_view(&self) {
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
        actions: &mut Vec<membership::Action>,
        config_actions: &mut Vec<dissemination::Action>,
    ) {
        match body {
            Body::Digest(message) => self.dissemination.on_digest(from, &message, now, config_actions),
            Body::Fetch(message) => self.dissemination.on_fetch(from, &message, now, config_actions),
            Body::Parts(message) => self.dissemination.on_parts(from, &message, now, config_actions),
            Body::Signals(message) => self.membership.on_signals(from, &message, now, actions),
            Body::GoAway(_) => {
                info!(self.node.log, "peer_leaving"; "peer" => from);
                self.membership.on_go_away(from, now, actions);
            }
            _ => {}
        }
    }

    fn on_validated(
        &mut self,
        key: DocumentKey,
        result: Result<ValidDocument, Box<str>>,
        now: Instant,
        config_actions: &mut Vec<dissemination::Action>,
    ) {
        // A document superseded before it took effect is never used, so its tables are dropped.
        self.validated.clear();
        let result = result.map(|valid| {
            self.validated.insert(key, valid.tables);
            self.parsed = Some(valid.document);
        });
        self.dissemination.on_validated(key, result, now, config_actions);
    }

    fn apply_membership(&mut self, actions: Vec<membership::Action>, now: Instant) {
        for action in actions {
            match action {
                membership::Action::Publish(view) => {
                    self.close_down_sessions(&view);
                    self.dissemination.on_view(Arc::clone(&view), now);
                    self.node.publish_view(view);
                    self.update_target_peers();
                }
                membership::Action::Send { to, signals } => self.send(&to, Body::Signals(signals)),
            }
        }
    }

    /// Closes the sessions with peers whose state has just changed to down, so that their pending requests are sent to
    /// other peers. A peer that responds again may remain down for a while, and its new session is kept.
    fn close_down_sessions(&self, view: &View) {
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
                    let mut follow_ups = Vec::new();
                    self.dissemination
                        .on_outline(root, parse_outline(&body), now, &mut follow_ups);
                    actions.extend(follow_ups);
                }
                dissemination::Action::Validate(document) => self.validate(document),
                dissemination::Action::PutInEffect(document) => self.put_in_effect(&document),
                dissemination::Action::SetCurrent(current) => self.set_config_current(current, now),
                dissemination::Action::Report(report) => self.report(report),
            }
        }
    }

    /// Validates a document on a blocking thread, because a large one would block the control task for too long.
    fn validate(&self, document: Arc<Document>) {
        let node = Arc::clone(&self.node);
        let previous = self.parsed.clone();
        tokio::task::spawn_blocking(move || {
            let result = ValidDocument::parse(&document, previous.as_deref());
            node.notify_blocking(ControlInput::DocumentValidated(document.key, result));
        });
    }

    fn put_in_effect(&mut self, document: &Document) {
        let Some(tables) = self.validated.shift_remove(&document.key) else {
            error!(self.node.log, "document_without_tables"; "revision" => document.key.revision);
            return;
        };
        info!(self.node.log, "revision_in_effect"; "revision" => document.key.revision);
        self.peers.set_revision(document.key.revision);
        let config = ActiveConfig {
            tables,
            digest: document.key.root,
        };
        self.node.publish_config(Arc::new(config));
        self.node.update_readiness();
    }

    fn set_config_current(&self, current: bool, now: Instant) {
        let age = self.dissemination.platform_age(now);
        info!(self.node.log, "configuration_current"; "current" => current, "age_ms" => age.as_millis() as u64);
        self.node.set_config_current(current);
    }

    fn report(&self, report: Report) {
        let log = &self.node.log;
        match report {
            Report::Rejected { root, reason } => {
                self.node.metrics.documents_refused.inc();
                let reason = reason.replace('\n', "; ");
                error!(log, "document_refused"; "root" => short_hex(&root), "reason" => reason);
            }
            Report::Conflict {
                revision,
                winner,
                loser,
            } => {
                self.node.metrics.documents_refused.inc();
                error!(log, "revision_conflict"; "revision" => revision, "wins" => short_hex(&winner),
                    "loses" => short_hex(&loser));
            }
            Report::LowerRevision { received, in_effect } => {
                warn!(log, "platform_stale"; "given" => received, "in_effect" => in_effect);
            }
            Report::Incomplete { revision } => warn!(log, "document_incomplete"; "revision" => revision),
        }
    }

    fn send(&self, to: &str, body: Body) {
        if let Some(session) = self.peers.session(to) {
            // If the session has closed, the control task gets a separate `SessionLost` input.
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

    /// Replaces the peers that [`Peers`] keeps sessions to. Adds the seeds while no list of the platform was read.
    fn update_target_peers(&self) {
        let view = self.membership.view();
        let mut targets = target_peers(&self.node.identity, view);
        if view.version == 0 {
            targets.extend(self.seeds.iter().map(|(id, address)| (id.clone(), *address)));
        }
        self.peers.set_targets(&targets);
    }
}

/// Reads the revision and the part digests of a root.
fn parse_outline(body: &[u8]) -> Result<Outline, Box<str>> {
    let root = Root::parse(body).map_err(|finding| Box::from(finding.to_string()))?;
    Ok(Outline {
        revision: root.revision,
        parts: root.part_digests().collect(),
    })
}

/// Formats the first 6 bytes of a digest, enough to tell documents apart in a log line.
fn short_hex(digest: &Digest) -> String {
    digest.iter().take(6).map(|byte| format!("{byte:02x}")).collect()
}
