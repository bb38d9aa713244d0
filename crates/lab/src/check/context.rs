//! What several rules look up.

use super::{Rule, Violation};
use crate::experiment::{Class, Experiment, Heal, Rules, Side, What, Who};
use crate::ledger::{Answer, ClientEvent, ConnNo, Index, LabEvent, Ledger, NodeEvent, NodeNo};
use crate::ledger::{ReqId, ServerEvent, ServerNo, Signal, Try};
use crate::{Micros, millis};
use rustc_hash::FxHashMap;

/// A run and what it was to be.
pub(super) struct Context<'a> {
    pub(super) index: &'a Index<'a>,
    pub(super) ledger: &'a Ledger,
    pub(super) e: &'a Experiment,
    pub(super) rules: &'a Rules,
    /// Stretches in which a slow answer may be the client's or the network's doing.
    slow_clients: Vec<(Micros, Micros)>,
    /// When the network to servers was slow or cut.
    slow_servers: Vec<(Micros, Micros)>,
    /// Stretches in which the network keeps what nodes send, and delivers it at their end.
    kept_back: Vec<(Micros, Micros)>,
}

/// One attempt at a server, whole.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) server: ServerNo,
    pub(super) conn: ConnNo,
    pub(super) first_byte: Micros,
    pub(super) last_byte: Micros,
    /// The server's last word on it, with its time.
    pub(super) answered: Option<(Micros, Answer)>,
}

impl Attempt {
    /// When the node had proof that it never ran.
    pub(super) fn disproved(&self) -> Option<Micros> {
        self.answered.filter(|(_, a)| matches!(a, Answer::Busy | Answer::Miss)).map(|(at, _)| at)
    }
}

/// What was on a client's connection at a time.
pub(super) struct OnConnection {
    /// Where it went to.
    pub(super) node: Option<NodeNo>,
    /// The first request on it.
    pub(super) first: Option<ReqId>,
    /// What was open on it, and when its last byte was written.
    pub(super) open: Vec<(ReqId, Micros)>,
}

impl<'a> Context<'a> {
    pub(super) fn new(index: &'a Index<'a>, e: &'a Experiment) -> Self {
        let ledger = index.ledger;
        let slow_clients = stretches(ledger, index.end(), |fault| {
            e.faults.get(fault).is_some_and(|f| match &f.who {
                Who::Network { from, to } => [from, to].contains(&&Side::Clients),
                _ => matches!(f.what, What::SlowReaders { .. }),
            })
        });
        let kept_back = stretches(ledger, index.end(), |fault| {
            e.faults.get(fault).is_some_and(|f| matches!(f.what, What::Cut { heal: Heal::Resend }))
        });
        let slow_servers = stretches(ledger, index.end(), |fault| {
            let slow = |f: &crate::experiment::Fault| {
                matches!(f.what, What::Cut { .. } | What::Delay { .. } | What::ShortWrites { .. })
            };
            e.faults.get(fault).is_some_and(slow)
        });
        Self { index, ledger, e, rules: &e.world.rules, slow_clients, slow_servers, kept_back }
    }

    /// What real sockets add to a time limit.
    pub(super) fn slack(&self) -> Micros {
        millis(self.rules.socket_slack_ms)
    }

    /// A try's class.
    pub(super) fn class(&self, t: &Try) -> Option<&'a Class> {
        self.e.classes.get(t.class.index())
    }

    /// Tries of the usual clients whose ids no bad client has used as well.
    pub(super) fn tries(&self) -> impl Iterator<Item = &'a Try> {
        self.ledger.tries.iter().filter(|t| !t.flags.bad && !t.flags.borrowed)
    }

    /// When its last byte was written: the last time, where a close crossed it.
    pub(super) fn sent(&self, req: ReqId) -> Option<(Micros, ConnNo)> {
        let sent = self.index.client(req).filter_map(|r| match r.event {
            ClientEvent::Sent { conn, .. } => Some((r.at, conn)),
            _ => None,
        });
        sent.last()
    }

    /// Whether a slow client, or the network before it, may be why an answer came late.
    pub(super) fn excused_by_client(&self, t: &Try, from: Micros, until: Micros) -> bool {
        let slow = self.e.loads.get(t.load.index()).is_some_and(|l| l.connections.read_bytes_per_s > 0);
        slow || self.slow_clients.iter().any(|(a, b)| *a <= until && from <= *b)
    }

    /// What came to a server at that time may have been sent at `sent` or before: a cut kept it back, and has just ended.
    pub(super) fn kept_back_since(&self, sent: Micros, came: Micros) -> bool {
        let just = millis(self.rules.socket_slack_ms);
        self.kept_back.iter().any(|(from, to)| *from <= sent && *from <= came && came <= *to + just)
    }

    /// The network to servers was slow or cut at some time between these.
    pub(super) fn slow_to_servers(&self, from: Micros, until: Micros) -> bool {
        self.slow_servers.iter().any(|(a, b)| *a <= until && from <= *b)
    }

    /// When the process that a node had at that time was started.
    pub(super) fn process_start(&self, node: NodeNo, at: Micros) -> Option<Micros> {
        let records = self.ledger.nodes.records();
        let before = records.partition_point(|r| r.at <= at);
        let started = |e: &NodeEvent| matches!(e, NodeEvent::Started { node: n, .. } if *n == node);
        records.get(..before)?.iter().rev().find(|r| started(&r.event)).map(|r| r.at)
    }

    /// The lab killed the node outright between two times, without having told that process to stop before.
    pub(super) fn killed(&self, node: NodeNo, from: Micros, until: Micros) -> bool {
        let sent = |signal: Signal, from: Micros, until: Micros| {
            let records = self.ledger.nodes.records();
            let first = records.partition_point(|r| r.at < from);
            let mut records =
                records.get(first..).unwrap_or_default().iter().take_while(move |r| r.at <= until);
            let is = move |e: &NodeEvent| matches!(e, NodeEvent::Signalled { node: n, signal: s } if *n == node && *s == signal);
            records.find(|r| is(&r.event)).map(|r| r.at)
        };
        let Some(kill) = sent(Signal::Kill, from, until) else { return false };
        sent(Signal::Term, self.process_start(node, kill).unwrap_or(Micros::MIN), kill).is_none()
    }

    /// When the last hold-up of a node's process ended that overlaps this time.
    pub(super) fn held_up_until(&self, node: NodeNo, from: Micros, until: Micros) -> Option<Micros> {
        let ours = hold_ups(self.ledger).filter(|held| held.node == node && !held.killed);
        let overlapping = ours.filter(|held| held.from <= until && from <= held.until);
        overlapping.last().map(|held| held.until)
    }

    /// All whole attempts of a try, in the order of their first bytes.
    pub(super) fn attempts(&self, req: ReqId) -> Vec<Attempt> {
        let mut begun: Vec<(ServerNo, ConnNo, Micros)> = Vec::new();
        let mut attempts: Vec<Attempt> = Vec::new();
        for r in self.index.server(req) {
            match r.event {
                ServerEvent::FirstByte { server, conn, .. } => begun.push((server, conn, r.at)),
                ServerEvent::LastByte { server, conn, .. } => {
                    let at = begun.iter().position(|b| (b.0, b.1) == (server, conn));
                    let first_byte = at.map_or(r.at, |at| begun.remove(at).2);
                    attempts.push(Attempt { server, conn, first_byte, last_byte: r.at, answered: None });
                }
                ServerEvent::Answered { server, conn, answer, .. } => {
                    let of = |a: &&mut Attempt| (a.server, a.conn) == (server, conn) && a.answered.is_none();
                    if let Some(attempt) = attempts.iter_mut().find(of) {
                        attempt.answered = Some((r.at, answer));
                    }
                }
                _ => {}
            }
        }
        attempts.sort_by_key(|a| a.first_byte);
        attempts
    }

    /// When a close last crossed a try, so that its client sent it once more.
    pub(super) fn crossed(&self, req: ReqId) -> Option<Micros> {
        let crossed = self.index.client(req).filter(|r| matches!(r.event, ClientEvent::Crossed { .. }));
        crossed.map(|r| r.at).last()
    }

    /// The attempts since then: that of a node that died looks like one that crossed, and the node that the try goes to
    /// once more knows nothing of it.
    pub(super) fn attempts_since_crossed(&self, req: ReqId) -> Vec<Attempt> {
        let again = self.crossed(req).unwrap_or(Micros::MIN);
        let mut attempts = self.attempts(req);
        attempts.retain(|a| a.first_byte > again);
        attempts
    }

    /// What was on a client's connection then: written, and neither answered nor crossed.
    pub(super) fn on_connection(&self, conn: ConnNo, at: Micros) -> OnConnection {
        let mut on = OnConnection { node: None, first: None, open: Vec::new() };
        for r in self.index.client_conn(conn) {
            match r.event {
                ClientEvent::Opened { node, .. } => on.node = Some(node),
                // Guards against calling lost what was written after the end: nobody has taken it.
                ClientEvent::Sent { req, .. } if r.at <= at => {
                    on.first = on.first.or(Some(req));
                    on.open.push((req, r.at));
                }
                ClientEvent::Answered { req, .. }
                | ClientEvent::Broken { req, .. }
                | ClientEvent::Crossed { req, .. } => on.open.retain(|o| o.0 != req),
                _ => {}
            }
        }
        on
    }

    /// A violation about a try.
    pub(super) fn broken(&self, rule: Rule, at: Micros, t: &Try, text: String) -> Violation {
        Violation { rule, at, req: Some(t.id), node: Some(t.node), server: None, text }
    }
}

/// A time for which the lab held a node's process up.
pub(super) struct HeldUp {
    pub(super) node: NodeNo,
    pub(super) from: Micros,
    pub(super) until: Micros,
    /// It was killed, and did not go on.
    pub(super) killed: bool,
}

/// All hold-ups of nodes, in the order of their ends.
pub(super) fn hold_ups(ledger: &Ledger) -> impl Iterator<Item = HeldUp> {
    let mut stopped = FxHashMap::default();
    ledger.nodes.records().iter().filter_map(move |r| {
        let NodeEvent::Signalled { node, signal } = r.event else { return None };
        match signal {
            Signal::Stop => {
                stopped.entry(node).or_insert(r.at);
                None
            }
            Signal::Continue | Signal::Kill => {
                let killed = signal == Signal::Kill;
                stopped.remove(&node).map(|from| HeldUp { node, from, until: r.at, killed })
            }
            Signal::Term | Signal::Hup => None,
        }
    })
}

/// From the beginnings to the ends of the faults that fit, in order.
fn stretches(ledger: &Ledger, end: Micros, fits: impl Fn(usize) -> bool) -> Vec<(Micros, Micros)> {
    let mut open: Vec<(u16, Micros)> = Vec::new();
    let mut all = Vec::new();
    for r in ledger.lab.records() {
        match r.event {
            LabEvent::FaultBegan { fault } if fits(usize::from(fault)) => open.push((fault, r.at)),
            LabEvent::FaultEnded { fault } => {
                if let Some(at) = open.iter().position(|o| o.0 == fault) {
                    all.push((open.remove(at).1, r.at));
                }
            }
            _ => {}
        }
    }
    all.extend(open.into_iter().map(|(_, from)| (from, end)));
    all.sort_unstable();
    all
}
