//! A generated ledger of a run with three nodes, either without violations or with exactly one defect, on
//! which the checks are tested.

use super::{Rule, Violation, check_ledger};
use crate::Micros;
use crate::experiment::{Experiment, ExperimentFile};
use crate::ledger::*;
use std::collections::BTreeSet;

pub(super) const ORIGIN: u16 = 4;
pub(super) const COLD: u16 = 3;
pub(super) const DRAINED: u16 = 2;
pub(super) const MS: Micros = 1000;
pub(super) const S: Micros = 1_000_000;

/// What the nodes of the run do wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    Absent,
    AnswersTwice,
    AnswersLate,
    AnswersLateBehindAnother,
    NeverAnswers,
    LosesRequest,
    LosesRequestAtStop,
    ServesValueOfOtherRequest,
    ServesUnknownValue,
    ServesBeforeProduced,
    ServesCorruptResponse,
    CorruptsBytes,
    ServesBadClient,
    ServesBorrowedId,
    RepeatsUnsafeWrite,
    RefusesAfterRun,
    RepeatsPastWindow,
    TooManyAttempts,
    SendsToDraining,
    SendsToRemovedUnnotified,
    SendsToRemovedUnnotifiedAfterHold,
    OverloadsColdServer,
    ExceedsDescriptors,
    ExceedsMemory,
    Crashes,
    CrashesOnHup,
    NeverReady,
    ClosesOnAcceptedRequest,
    ClosesTwice,
    SendsForDepartedClient,
    RetriesForDepartedClient,
}

pub(super) struct SampleRun {
    defect: Defect,
    pub(super) ledger: Ledger,
    conn: u32,
    req: u64,
}

/// The experiment that the run belongs to.
pub(super) const TEXT: &str = "question = 'q'\nduration_s = 20\n[[class]]\nname = 'read'\naim_ms = 100\n\
    deadline_ms = 400\n\
    [[class]]\nname = 'put'\nwrite = true\neffect = 'keyed'\nwindow_s = 2\n\
    [[class]]\nname = 'pay'\nwrite = true\neffect = 'unsafe'\n\
    [[load]]\nrate = { steady = { per_s = 100 } }\n";

pub(super) fn experiment() -> Experiment {
    ExperimentFile::parse("run", TEXT).unwrap().experiment
}

impl SampleRun {
    /// A run that breaks no rule.
    pub(super) fn without_defect() -> SampleRun {
        SampleRun::new(Defect::Absent)
    }

    fn ledger_with(defect: Defect) -> (Ledger, Experiment) {
        (SampleRun::new(defect).ledger, experiment())
    }

    fn new(defect: Defect) -> SampleRun {
        let server = |n: u16| ServerInfo {
            name: if n == ORIGIN { "origin".into() } else { format!("s{n}") },
            kind: "cache".into(),
            zone: ZoneNo(0),
            origin: n == ORIGIN,
            capacity: 2e6,
        };
        let names = Names {
            nodes: vec!["n0".into(), "n1".into(), "n2".into()],
            servers: (0..5).map(server).collect(),
            classes: vec!["read".into(), "put".into(), "pay".into()],
            ..Names::default()
        };
        let mut run = SampleRun { defect, ledger: Ledger { names, ..Ledger::default() }, conn: 0, req: 0 };
        run.record_servers();
        run.record_nodes();
        for n in 0..2000 {
            run.record_request(n, n as Micros * 10 * MS);
        }
        run
    }

    /// One server drains and is removed; another starts with a cold cache.
    fn record_servers(&mut self) {
        use Listed::*;
        let (drained, cold) = (ServerNo(DRAINED), ServerNo(COLD));
        let changes = [(drained, Draining, 4), (cold, Up, 6), (drained, Removed, 8)];
        let never_notified = matches!(
            self.defect,
            Defect::SendsToRemovedUnnotified | Defect::SendsToRemovedUnnotifiedAfterHold
        );
        if self.defect == Defect::SendsToRemovedUnnotifiedAfterHold {
            self.ledger.discovery.push(4 * S, DiscoveryEvent::Called { node: NodeNo(0), hold_ms: 10_000 });
            // While the call is held open, the node is not yet expected to know, and may send.
            self.read(15 * S - 100 * MS, 0, DRAINED, 4000);
        }
        for (rev, (server, state, at)) in (1..).zip(changes) {
            let at = at * S + S / 2;
            self.ledger.discovery.push(at, DiscoveryEvent::Changed { server, state, rev });
            for node in (0..3).filter(|_| !(never_notified && server == drained)) {
                let at = at + (1 + Micros::from(node)) * 100 * MS;
                self.ledger
                    .discovery
                    .push(at, DiscoveryEvent::Told { node: NodeNo(node), server, state, rev });
            }
        }
        self.state(4 * S, drained, ServerState::Draining);
        self.state(8 * S, drained, ServerState::Gone);
        self.state(6 * S, cold, ServerState::Cold);
        for tenth in 0..=120 {
            let per_s = 2e6 * (0.25 + 0.75 * tenth as f32 / 120.0);
            self.ledger.servers.push(6 * S + tenth * 100 * MS, ServerEvent::Capacity { server: cold, per_s });
        }
        self.state(18 * S, cold, ServerState::Warm);
    }

    fn state(&mut self, at: Micros, server: ServerNo, state: ServerState) {
        self.ledger.servers.push(at, ServerEvent::State { server, state });
    }

    /// Node 2 is killed at 10 s and started again at 11 s; node 1 gets SIGHUP at 12 s and SIGTERM at 15 s.
    fn record_nodes(&mut self) {
        let nodes = &mut self.ledger.nodes;
        for n in 0..3 {
            let node = NodeNo(n);
            nodes.push(-2 * S, NodeEvent::Started { node, pid: 100 });
            if !(self.defect == Defect::NeverReady && n == 0) {
                nodes.push(-S, NodeEvent::Ready { node });
            }
            for s in 0..20 {
                let fds = if self.defect == Defect::ExceedsDescriptors && s > 10 { 1500 } else { 200 };
                let rss_kib =
                    if self.defect == Defect::ExceedsMemory && s > 10 { 200 * 1024 } else { 40 * 1024 };
                nodes.push(s * S, NodeEvent::Sampled { node, cpu_us: s as u64 * 50_000, rss_kib, fds });
            }
        }
        let (n0, n1, n2) = (NodeNo(0), NodeNo(1), NodeNo(2));
        nodes.push(10 * S, NodeEvent::Signalled { node: n2, signal: Signal::Kill });
        nodes.push(10 * S + MS, NodeEvent::Ended { node: n2, status: None });
        nodes.push(11 * S, NodeEvent::Started { node: n2, pid: 101 });
        nodes.push(11 * S + 200 * MS, NodeEvent::Ready { node: n2 });
        nodes.push(12 * S, NodeEvent::Signalled { node: n1, signal: Signal::Hup });
        if self.defect == Defect::CrashesOnHup {
            nodes.push(12 * S + 10 * MS, NodeEvent::Ended { node: n1, status: Some(101) });
            nodes.push(12 * S + 20 * MS, NodeEvent::Started { node: n1, pid: 102 });
            nodes.push(12 * S + 30 * MS, NodeEvent::Ready { node: n1 });
        }
        if self.defect == Defect::Crashes {
            nodes.push(19 * S + 900 * MS, NodeEvent::Ended { node: n0, status: Some(101) });
        }
        nodes.push(15 * S, NodeEvent::Signalled { node: n1, signal: Signal::Term });
        nodes.push(16 * S, NodeEvent::Ended { node: n1, status: Some(0) });
        nodes.push(16 * S + 100 * MS, NodeEvent::Started { node: n1, pid: 103 });
        nodes.push(16 * S + 300 * MS, NodeEvent::Ready { node: n1 });
    }

    /// The n-th request of the run. Most are cache hits; the others cover the remaining outcomes.
    fn record_request(&mut self, n: usize, at: Micros) {
        let node = n as u16 % 3;
        let cold_known = (7 * S..18 * S).contains(&at);
        let home = if cold_known && n.is_multiple_of(5) { COLD } else { (n % 2) as u16 };
        // The defect shows once, in the middle of the run.
        let defect = if n == 1300 { self.defect } else { Defect::Absent };
        if self.defect == Defect::OverloadsColdServer && (7 * S..9 * S).contains(&at) {
            for _ in 0..10 {
                self.read(at, node, COLD, 6000);
            }
        }
        match defect {
            Defect::Absent => self.correct_request(n, at, node, home),
            Defect::OverloadsColdServer
            | Defect::ExceedsDescriptors
            | Defect::ExceedsMemory
            | Defect::Crashes => {}
            Defect::CrashesOnHup | Defect::NeverReady => {}
            Defect::AnswersTwice => {
                let (req, conn, digest) = self.read(at, node, home, 4000);
                self.answered(req, conn, at + 30 * MS, Answer::Value, digest);
            }
            Defect::AnswersLate | Defect::AnswersLateBehindAnother => {
                let (req, conn) = self.sent(at, node, 0);
                let before = defect == Defect::AnswersLateBehindAnother;
                if before {
                    // The answer to an earlier request on the connection ended at 450 ms; this one was due 70
                    // ms after that.
                    let earlier = ReqId(self.req - 1);
                    self.ledger.clients.push(at - MS, ClientEvent::Sent { req: earlier, conn });
                    self.ledger.clients.push(at + 450 * MS, ClientEvent::Broken { req: earlier, conn });
                }
                let (_, digest) = self.attempt(req, node, home, at + MS, 4000, Some(Answer::Value));
                let late = if before { 521 } else { 471 };
                self.answered(req, conn, at + late * MS, Answer::Value, digest);
                self.closed(conn, at + 600 * MS, Closer::Us);
            }
            Defect::NeverAnswers => {
                let (req, conn) = self.sent(at, node, 0);
                self.ledger.clients.push(at + 400 * MS, ClientEvent::GivenUp { req, early: false });
                self.closed(conn, at + 600 * MS, Closer::Us);
            }
            Defect::LosesRequest => {
                let (req, conn) = self.sent(at, node, 0);
                self.attempt(req, node, home, at + MS, 4000, None);
                self.closed(conn, at + 50 * MS, Closer::Them);
            }
            Defect::LosesRequestAtStop => {
                let (req, conn) = self.sent(16 * S - 20 * MS, 1, 0);
                self.attempt(req, 1, home, 16 * S - 19 * MS, 4000, None);
                self.closed(conn, 16 * S, Closer::Reset);
            }
            Defect::ServesValueOfOtherRequest => {
                let (_, _, other) = self.read(at - MS, node, home, 4000);
                self.served(at, node, home, |_, digest| (other, digest, 5));
            }
            Defect::ServesUnknownValue => self.served(at, node, home, |_, digest| (digest ^ 1, digest, 5)),
            Defect::ServesBeforeProduced => self.served(at, node, home, |_, digest| (digest, digest, 1)),
            Defect::ServesCorruptResponse => {
                let (req, conn) = self.sent(at, node, 0);
                let (_, digest) = self.attempt(req, node, home, at + MS, 4000, None);
                self.server_answers(req, home, at + 5 * MS, Answer::Value, true);
                self.answered(req, conn, at + 6 * MS, Answer::Value, digest);
                self.closed(conn, at + 10 * MS, Closer::Us);
            }
            Defect::CorruptsBytes => {
                let (req, conn) = self.sent(at, node, 0);
                let (_, digest) = self.attempt(req, node, home, at + MS, 4000, Some(Answer::Value));
                let answer = Answer::Value;
                let event = ClientEvent::Answered { req, conn, answer, retry_ms: 0, digest, fits: false };
                self.ledger.clients.push(at + 10 * MS, event);
                self.closed(conn, at + 11 * MS, Closer::Us);
            }
            Defect::ServesBadClient => self.bad_client(at, node, ReqId::NONE, true),
            Defect::ServesBorrowedId => {
                let (req, conn) = self.sent(at, node, 0);
                self.bad_client(at + MS, node, req, true);
                let (_, digest) = self.attempt(req, node, home, at + MS, 4000, Some(Answer::Value));
                self.answered(req, conn, at + 100 * MS, Answer::Value, digest);
                self.closed(conn, at + 110 * MS, Closer::Us);
            }
            Defect::RepeatsUnsafeWrite | Defect::RefusesAfterRun => {
                let (req, conn) = self.sent(at, node, 2);
                self.attempt(req, node, ORIGIN, at + MS, 4000, None);
                if defect == Defect::RepeatsUnsafeWrite {
                    let (_, digest) =
                        self.attempt(req, node, ORIGIN, at + 40 * MS, 4000, Some(Answer::Receipt));
                    self.answered(req, conn, at + 60 * MS, Answer::Receipt, digest);
                } else {
                    self.answered(req, conn, at + 60 * MS, Answer::Busy, 0);
                }
                self.closed(conn, at + 70 * MS, Closer::Us);
            }
            Defect::RepeatsPastWindow => {
                let (req, conn) = self.sent(at, node, 1);
                self.attempt(req, node, ORIGIN, at + MS, 4000, None);
                self.attempt(req, node, ORIGIN, at + 2100 * MS, 4000, Some(Answer::Receipt));
                // The client stops waiting and keeps its connection.
                self.ledger.clients.push(at + 100 * MS, ClientEvent::GivenUp { req, early: true });
                self.closed(conn, at + 2500 * MS, Closer::Us);
            }
            // The client closes its connection after 20 ms; the node may send for at most 0.3 s after that,
            // plus the slack for sockets.
            Defect::SendsForDepartedClient | Defect::RetriesForDepartedClient => {
                let (req, conn) = self.sent(at, node, 0);
                if defect == Defect::RetriesForDepartedClient {
                    self.attempt(req, node, home, at + MS, 4000, None);
                }
                self.ledger.clients.push(at + 20 * MS, ClientEvent::GivenUp { req, early: true });
                self.closed(conn, at + 20 * MS, Closer::Us);
                self.attempt(req, node, 1, at + 380 * MS, 4000, Some(Answer::Value));
            }
            Defect::TooManyAttempts => {
                let (req, conn) = self.sent(at, node, 0);
                for (nth, server) in [0, 1, 0, 1].into_iter().enumerate() {
                    self.attempt(
                        req,
                        node,
                        server,
                        at + (1 + 10 * nth as Micros) * MS,
                        4000,
                        Some(Answer::Busy),
                    );
                }
                self.answered(req, conn, at + 50 * MS, Answer::Busy, 0);
                self.closed(conn, at + 60 * MS, Closer::Us);
            }
            // The nodes are notified from 4.6 to 4.8 s and may send for 0.55 s after that. A node that gets
            // no notification is expected to know at 10.5 s.
            Defect::SendsToDraining => drop(self.read(4 * S + 1500 * MS, 0, DRAINED, 4000)),
            Defect::SendsToRemovedUnnotified => drop(self.read(11 * S + 100 * MS, 0, DRAINED, 4000)),
            // The node's call is held open until 14 s, and the node is expected to know at 16 s.
            Defect::SendsToRemovedUnnotifiedAfterHold => drop(self.read(16 * S + 600 * MS, 0, DRAINED, 4000)),
            Defect::ClosesOnAcceptedRequest | Defect::ClosesTwice => {
                self.crossed(
                    at,
                    node,
                    home,
                    defect == Defect::ClosesOnAcceptedRequest,
                    1 + usize::from(defect == Defect::ClosesTwice),
                );
            }
        }
    }

    fn correct_request(&mut self, n: usize, at: Micros, node: u16, home: u16) {
        match n % 50 {
            // Cache misses that go to the origin.
            1 | 11 => {
                let (req, conn) = self.sent(at, node, 0);
                self.attempt(req, node, home, at + MS, 4000, Some(Answer::Miss));
                let (_, digest) = self.attempt(req, node, ORIGIN, at + 10 * MS, 4000, Some(Answer::Value));
                self.answered(req, conn, at + 40 * MS, Answer::Value, digest);
                self.closed(conn, at + 50 * MS, Closer::Us);
            }
            // A keyed write that may have run and is repeated within its window; an unsafe write that was
            // refused and then accepted.
            2 | 12 => {
                let class = if n % 50 == 2 { 1 } else { 2 };
                let (req, conn) = self.sent(at, node, class);
                let first = if class == 1 { None } else { Some(Answer::Busy) };
                self.attempt(req, node, ORIGIN, at + MS, 4000, first);
                let (_, digest) = self.attempt(req, node, ORIGIN, at + 40 * MS, 4000, Some(Answer::Receipt));
                self.answered(req, conn, at + 60 * MS, Answer::Receipt, digest);
                self.closed(conn, at + 70 * MS, Closer::Us);
            }
            // A read that the node itself refuses, and an unsafe write that a server refused, so that it
            // cannot have run.
            3 | 13 => {
                let (req, conn) = self.sent(at, node, if n % 50 == 3 { 0 } else { 2 });
                if n % 50 == 13 {
                    self.attempt(req, node, ORIGIN, at + MS, 4000, Some(Answer::Busy));
                }
                self.answered(req, conn, at + 12 * MS, Answer::Busy, 0);
                self.closed(conn, at + 20 * MS, Closer::Us);
            }
            // An unsafe write that may have run: its server does not answer, and the node fails it at the
            // last moment.
            4 => {
                let (req, conn) = self.sent(at, node, 2);
                self.attempt(req, node, ORIGIN, at + MS, 4000, None);
                self.answered(req, conn, at + 460 * MS, Answer::Failed, 0);
                self.closed(conn, at + 470 * MS, Closer::Us);
            }
            // The client closes its connection before the answer. In the second case the request waited in
            // the node, which sends it before it has seen the close.
            5 | 16 => {
                let (req, conn) = self.sent(at, node, 0);
                let after = if n % 50 == 5 { MS } else { 160 * MS };
                self.attempt(req, node, home, at + after, 4000, Some(Answer::Value));
                self.ledger.clients.push(at + 20 * MS, ClientEvent::GivenUp { req, early: true });
                self.closed(conn, at + 20 * MS, Closer::Us);
            }
            // An answer that breaks off, which the client detects.
            6 => {
                let (req, conn) = self.sent(at, node, 0);
                self.attempt(req, node, home, at + MS, 4000, None);
                self.ledger.clients.push(at + 20 * MS, ClientEvent::Broken { req, conn });
                self.closed(conn, at + 20 * MS, Closer::Them);
            }
            7 => self.crossed(at, node, home, false, 1),
            // A fast answer that has to wait for a slow one ahead of it until its own time limit is over.
            8 => {
                let (slow, conn) = self.sent(at, node, 0);
                let quick = self.try_due(at + 300 * MS, node, 0);
                self.ledger.clients.push(at + MS, ClientEvent::Sent { req: quick, conn });
                let (_, digest) = self.attempt(quick, node, home, at + 2 * MS, 4000, Some(Answer::Value));
                self.answered(slow, conn, at + 460 * MS, Answer::Failed, 0);
                self.answered(quick, conn, at + 520 * MS, Answer::Value, digest);
                self.closed(conn, at + 600 * MS, Closer::Us);
            }
            // The first request on a connection that the node closes without an attempt; and a request that
            // is open when node 2 is killed.
            9 => {
                let (_, conn) = self.sent(at, node, 0);
                self.closed(conn, at + 20 * MS, Closer::Them);
                let (req, conn) = self.sent(10 * S - 5 * MS, 2, 0);
                self.attempt(req, 2, 0, 10 * S - 4 * MS, 4000, None);
                self.closed(conn, 10 * S + MS, Closer::Reset);
            }
            // Misbehaving clients get errors; one that uses the id of a finished request may be served.
            14 => self.bad_client(at, node, ReqId::NONE, false),
            15 => {
                let (over, ..) = self.read(at, node, home, 4000);
                self.bad_client(at + 50 * MS, node, over, true);
            }
            // Within the grace period a node may still send to a draining server.
            10 => drop(self.read(4 * S + 1100 * MS, 0, DRAINED, 4000)),
            _ => drop(self.read(at, node, home, 4000)),
        }
    }

    fn try_due(&mut self, due: Micros, node: u16, class: u8) -> ReqId {
        self.req += 1;
        let id = ReqId(self.req);
        let flags = TryFlags { write: class > 0, ..TryFlags::default() };
        let (class, node) = (ClassNo(class), NodeNo(node));
        let t = Try {
            id,
            first: id,
            due,
            first_due: due,
            patience_us: 400_000,
            class,
            node,
            flags,
            ..Try::default()
        };
        self.ledger.tries.push(t);
        id
    }

    pub(super) fn sent(&mut self, at: Micros, node: u16, class: u8) -> (ReqId, ConnNo) {
        let req = self.try_due(at, node, class);
        let conn = self.opened(at - MS, node);
        self.ledger.clients.push(at, ClientEvent::Sent { req, conn });
        (req, conn)
    }

    pub(super) fn opened(&mut self, at: Micros, node: u16) -> ConnNo {
        self.conn += 1;
        let conn = ConnNo(self.conn);
        self.ledger.clients.push(at, ClientEvent::Opened { conn, node: NodeNo(node), bad: false });
        conn
    }

    /// A misbehaving client, which may use another request's id. It is served, or gets an error and more
    /// bytes after it.
    fn bad_client(&mut self, at: Micros, node: u16, borrowed: ReqId, served: bool) {
        self.conn += 1;
        let conn = ConnNo(self.conn);
        let clients = &mut self.ledger.clients;
        clients.push(at, ClientEvent::Opened { conn, node: NodeNo(node), bad: true });
        clients.push(at + MS, ClientEvent::BadSent { conn, kind: 0 });
        if served {
            clients.push(at + 20 * MS, ClientEvent::BadServed { conn, borrowed });
        } else {
            clients.push(at + 20 * MS, ClientEvent::BadError { conn });
            clients.push(at + 21 * MS, ClientEvent::Unasked { conn, bytes: 40 });
        }
        self.closed(conn, at + 30 * MS, Closer::Them);
    }

    pub(super) fn closed(&mut self, conn: ConnNo, at: Micros, by: Closer) {
        self.ledger.clients.push(at, ClientEvent::Closed { conn, by });
    }

    pub(super) fn answered(&mut self, req: ReqId, conn: ConnNo, at: Micros, answer: Answer, digest: u64) {
        let event = ClientEvent::Answered { req, conn, answer, retry_ms: 0, digest, fits: true };
        self.ledger.clients.push(at, event);
    }

    /// A complete attempt on a connection of its own. Returns the connection and the digest of the answer.
    pub(super) fn attempt(
        &mut self,
        req: ReqId,
        node: u16,
        server: u16,
        at: Micros,
        work_us: u32,
        answer: Option<Answer>,
    ) -> (ConnNo, u64) {
        self.conn += 1;
        let (no, conn) = (ServerNo(server), ConnNo(self.conn));
        let servers = &mut self.ledger.servers;
        servers.push(at - 50, ServerEvent::Opened { server: no, conn, node: NodeNo(node) });
        servers.push(at, ServerEvent::FirstByte { server: no, conn, req });
        servers.push(at + 40, ServerEvent::LastByte { server: no, conn, req, work_us });
        servers.push(at + 60, ServerEvent::Begun { server: no, req });
        if let Some(answer) = answer {
            self.server_answers(req, server, at + 2 * MS, answer, false);
        }
        self.ledger.servers.push(at + 3 * MS, ServerEvent::Closed { server: no, conn, by: Closer::Them });
        (conn, digest_of(req, server))
    }

    /// A complete attempt without an answer, whose connection the node closes at `closed`.
    pub(super) fn unanswered(&mut self, req: ReqId, node: u16, server: u16, at: Micros, closed: Micros) {
        self.conn += 1;
        let (server, conn) = (ServerNo(server), ConnNo(self.conn));
        let servers = &mut self.ledger.servers;
        servers.push(at - 50, ServerEvent::Opened { server, conn, node: NodeNo(node) });
        servers.push(at, ServerEvent::FirstByte { server, conn, req });
        servers.push(at + 40, ServerEvent::LastByte { server, conn, req, work_us: 4000 });
        servers.push(closed, ServerEvent::Closed { server, conn, by: Closer::Them });
    }

    /// The server answers on the connection of the last attempt.
    pub(super) fn server_answers(
        &mut self,
        req: ReqId,
        server: u16,
        at: Micros,
        answer: Answer,
        spoilt: bool,
    ) {
        let digest = if answer.served() { digest_of(req, server) } else { 0 };
        let (server, conn) = (ServerNo(server), ConnNo(self.conn));
        self.ledger.servers.push(at, ServerEvent::Answered { server, conn, req, answer, spoilt, digest });
        if answer == Answer::Receipt {
            self.ledger.servers.push(at, ServerEvent::Effect { server, req, repeat: false });
        }
    }

    /// A cache hit. Returns the request, its connection and the digest of the value.
    pub(super) fn read(&mut self, at: Micros, node: u16, server: u16, work_us: u32) -> (ReqId, ConnNo, u64) {
        let (req, conn) = self.sent(at, node, 0);
        let (_, digest) = self.attempt(req, node, server, at + MS, work_us, Some(Answer::Value));
        self.answered(req, conn, at + 10 * MS, Answer::Value, digest);
        self.closed(conn, at + 40 * MS, Closer::Us);
        (req, conn, digest)
    }

    /// A cache hit that is served with the digest and the delay (ms) that `with` returns.
    fn served(&mut self, at: Micros, node: u16, home: u16, with: impl Fn(ReqId, u64) -> (u64, u64, Micros)) {
        let (req, conn) = self.sent(at, node, 0);
        let (_, made) = self.attempt(req, node, home, at + MS, 4000, Some(Answer::Value));
        let (digest, _, after) = with(req, made);
        self.answered(req, conn, at + after * MS, Answer::Value, digest);
        self.closed(conn, at + 40 * MS, Closer::Us);
    }

    /// The node closes an idle connection as a request is on its way to it, `times` times. With `accepted`,
    /// the node had sent an attempt for that request before.
    fn crossed(&mut self, at: Micros, node: u16, home: u16, accepted: bool, times: usize) {
        let (req, mut conn) = self.sent(at, node, 0);
        let mut now = at;
        for _ in 0..times {
            if accepted {
                self.attempt(req, node, home, now + MS, 4000, None);
            }
            now += 5 * MS;
            self.ledger.clients.push(now, ClientEvent::Crossed { req, conn });
            self.closed(conn, now, Closer::Them);
            conn = self.opened(now + MS, node);
            now += 2 * MS;
            self.ledger.clients.push(now, ClientEvent::Sent { req, conn });
        }
        let (_, digest) = self.attempt(req, node, home, now + MS, 4000, Some(Answer::Value));
        self.answered(req, conn, now + 10 * MS, Answer::Value, digest);
        self.closed(conn, now + 40 * MS, Closer::Us);
    }
}

fn digest_of(req: ReqId, server: u16) -> u64 {
    digest(format!("{req} by {server}").as_bytes())
}

pub(super) fn rules(found: &[Violation]) -> BTreeSet<Rule> {
    found.iter().map(|v| v.rule).collect()
}

#[test]
fn each_defect_breaks_only_its_own_rule_and_a_correct_run_none() {
    use Defect::*;
    let cases = [
        (AnswersTwice, Rule::OneAnswer),
        (AnswersLate, Rule::InTime),
        (AnswersLateBehindAnother, Rule::InTime),
        (NeverAnswers, Rule::InTime),
        (LosesRequest, Rule::Lost),
        (LosesRequestAtStop, Rule::Lost),
        (ServesValueOfOtherRequest, Rule::Genuine),
        (ServesUnknownValue, Rule::Genuine),
        (ServesBeforeProduced, Rule::Genuine),
        (ServesCorruptResponse, Rule::Genuine),
        (CorruptsBytes, Rule::Genuine),
        (ServesBadClient, Rule::Genuine),
        (ServesBorrowedId, Rule::Genuine),
        (RepeatsUnsafeWrite, Rule::Effects),
        (RefusesAfterRun, Rule::Effects),
        (RepeatsPastWindow, Rule::Effects),
        (TooManyAttempts, Rule::Attempts),
        (SendsToDraining, Rule::Drains),
        (SendsToRemovedUnnotified, Rule::Drains),
        (SendsToRemovedUnnotifiedAfterHold, Rule::Drains),
        (OverloadsColdServer, Rule::Cold),
        (ExceedsDescriptors, Rule::Limits),
        (ExceedsMemory, Rule::Limits),
        (Crashes, Rule::Alive),
        (CrashesOnHup, Rule::Alive),
        (NeverReady, Rule::Alive),
        (ClosesOnAcceptedRequest, Rule::Crossing),
        (ClosesTwice, Rule::Crossing),
        (SendsForDepartedClient, Rule::Left),
        (RetriesForDepartedClient, Rule::Left),
    ];
    let mut failures = Vec::new();
    for (defect, rule) in [(Absent, None)].into_iter().chain(cases.map(|(defect, rule)| (defect, Some(rule))))
    {
        let (mut ledger, e) = SampleRun::ledger_with(defect);
        let found = check_ledger(&mut ledger, &e);
        if rules(&found) != rule.into_iter().collect() {
            let first = found.first().map(|v| v.report(&Index::of(&ledger))).unwrap_or_default();
            failures.push(format!("{defect:?}: expected {rule:?}, found {:?}\n{first}", rules(&found)));
        }
    }
    assert!(failures.is_empty(), "\n{}", failures.join("\n"));
}

#[test]
fn a_report_lists_client_and_server_events_in_order() {
    let (mut ledger, e) = SampleRun::ledger_with(Defect::RepeatsUnsafeWrite);
    let found = check_ledger(&mut ledger, &e);
    let text = found.first().map(|v| v.report(&Index::of(&ledger))).unwrap_or_default();
    let parts = [
        "rule effects broken at 13.040 s",
        "class pay",
        "client  last byte",
        "origin  first byte",
        "origin  first byte",
        "client  answered a receipt",
    ];
    let mut rest = text.as_str();
    for part in parts {
        rest = rest
            .split_once(part)
            .unwrap_or_else(|| panic!("`{part}` is missing, or out of order:\n{text}"))
            .1;
    }
}

#[test]
fn a_ledger_survives_a_round_trip_through_json_lines() {
    let (ledger, _) = SampleRun::ledger_with(Defect::Absent);
    let mut text = Vec::new();
    write_jsonl(&ledger, &mut text).unwrap();
    assert_eq!(read_jsonl(&text[..]).unwrap(), ledger);
    text.extend(b"{\"side\":\"client\",\"at\":1}\n");
    let error = read_jsonl(&text[..]).unwrap_err().to_string();
    assert!(
        error.starts_with(&format!("line {}: ", text.iter().filter(|b| **b == b'\n').count())),
        "{error}"
    );
}
