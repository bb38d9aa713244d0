//! The run under check, with look-ups that several rules share.

use super::{Rule, Violation};
use crate::experiment::{Class, Experiment, Heal, Rules, Side, What, Who};
use crate::ledger::{Answer, ClientEvent, ConnNo, Index, LabEvent, Ledger, NodeEvent, NodeNo};
use crate::ledger::{ReqId, ServerEvent, ServerNo, Signal, Try};
use crate::{Micros, millis};
use rustc_hash::FxHashMap;

/// A recorded run and the experiment that was run.
pub(super) struct Context<'a> {
    pub(super) index: &'a Index<'a>,
    pub(super) ledger: &'a Ledger,
    pub(super) e: &'a Experiment,
    pub(super) rules: &'a Rules,
    /// Intervals in which the client, or the network between clients and nodes, may delay an answer.
    slow_clients: Vec<(Micros, Micros)>,
    /// Intervals in which a fault that cuts or slows down connections was active.
    slow_servers: Vec<(Micros, Micros)>,
    /// Intervals of a cut after which the network delivers what was sent meanwhile.
    resending_cuts: Vec<(Micros, Micros)>,
}

/// One attempt that a server received complete.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) server: ServerNo,
    pub(super) conn: ConnNo,
    pub(super) first_byte: Micros,
    pub(super) last_byte: Micros,
    /// The server's answer to it, with its time.
    pub(super) answered: Option<(Micros, Answer)>,
}

impl Attempt {
    /// When the server answered that the attempt did not run, if it did so.
    pub(super) fn disproved(&self) -> Option<Micros> {
        self.answered.filter(|(_, a)| matches!(a, Answer::Busy | Answer::Miss)).map(|(at, _)| at)
    }
}

/// The state of a client's connection at a given time.
pub(super) struct OnConnection {
    /// The node that it was opened to.
    pub(super) node: Option<NodeNo>,
    /// The first request that was sent on it.
    pub(super) first: Option<ReqId>,
    /// The unanswered requests on it, each with the time at which its last byte was written.
    pub(super) open: Vec<(ReqId, Micros)>,
}

impl<'a> Context<'a> {
    pub(super) fn new(index: &'a Index<'a>, e: &'a Experiment) -> Self {
        let ledger = index.ledger;
        let slow_clients = fault_intervals(ledger, index.end(), |fault| {
            e.faults.get(fault).is_some_and(|f| match &f.who {
                Who::Network { from, to } => [from, to].contains(&&Side::Clients),
                _ => matches!(f.what, What::SlowReaders { .. }),
            })
        });
        let resending_cuts = fault_intervals(ledger, index.end(), |fault| {
            e.faults.get(fault).is_some_and(|f| matches!(f.what, What::Cut { heal: Heal::Resend }))
        });
        let slow_servers = fault_intervals(ledger, index.end(), |fault| {
            let slow = |f: &crate::experiment::Fault| {
                matches!(f.what, What::Cut { .. } | What::Delay { .. } | What::ShortWrites { .. })
            };
            e.faults.get(fault).is_some_and(slow)
        });
        Self { index, ledger, e, rules: &e.world.rules, slow_clients, slow_servers, resending_cuts }
    }

    /// What is added to every time limit for the delay of real sockets.
    pub(super) fn slack(&self) -> Micros {
        millis(self.rules.socket_slack_ms)
    }

    /// The class of a try.
    pub(super) fn class(&self, t: &Try) -> Option<&'a Class> {
        self.e.classes.get(t.class.index())
    }

    /// Tries of well-behaved clients whose ids were not used by a misbehaving client as well.
    pub(super) fn tries(&self) -> impl Iterator<Item = &'a Try> {
        self.ledger.tries.iter().filter(|t| !t.flags.bad && !t.flags.borrowed)
    }

    /// When and on which connection the request's last byte was written. Of a request that was sent again,
    /// since the node closed the connection at the same time, the last such time.
    pub(super) fn sent(&self, req: ReqId) -> Option<(Micros, ConnNo)> {
        let sent = self.index.client(req).filter_map(|r| match r.event {
            ClientEvent::Sent { conn, .. } => Some((r.at, conn)),
            _ => None,
        });
        sent.last()
    }

    /// Whether a slow client, or the network in front of the node, may have delayed an answer between two
    /// times.
    pub(super) fn excused_by_client(&self, t: &Try, from: Micros, until: Micros) -> bool {
        let slow = self.e.loads.get(t.load.index()).is_some_and(|l| l.connections.read_bytes_per_s > 0);
        slow || self.slow_clients.iter().any(|(a, b)| *a <= until && from <= *b)
    }

    /// Whether what reached a server at `came` may have been sent at `sent` or before, since a cut of the
    /// network that ends in a resend held it back and has just ended.
    pub(super) fn delayed_by_cut(&self, sent: Micros, came: Micros) -> bool {
        let just = millis(self.rules.socket_slack_ms);
        self.resending_cuts.iter().any(|(from, to)| *from <= sent && *from <= came && came <= *to + just)
    }

    /// Whether a fault cut or slowed down connections at some time between the two.
    pub(super) fn slow_to_servers(&self, from: Micros, until: Micros) -> bool {
        self.slow_servers.iter().any(|(a, b)| *a <= until && from <= *b)
    }

    /// The start time of the process that the node had at the given time.
    pub(super) fn process_start(&self, node: NodeNo, at: Micros) -> Option<Micros> {
        let records = self.ledger.nodes.records();
        let before = records.partition_point(|r| r.at <= at);
        let started = |e: &NodeEvent| matches!(e, NodeEvent::Started { node: n, .. } if *n == node);
        records.get(..before)?.iter().rev().find(|r| started(&r.event)).map(|r| r.at)
    }

    /// Whether the lab sent the node's process SIGKILL between two times without SIGTERM before.
    pub(super) fn killed(&self, node: NodeNo, from: Micros, until: Micros) -> bool {
        let sent = |signal: Signal, from: Micros, until: Micros| {
            let records = self.ledger.nodes.records();
            let first = records.partition_point(|r| r.at < from);
            let mut records =
                records.get(first..).unwrap_or_default().iter().take_while(move |r| r.at <= until);
            let is = move |e: &NodeEvent| {
                matches!(e, NodeEvent::Signalled { node: n, signal: s }
                if *n == node && *s == signal)
            };
            records.find(|r| is(&r.event)).map(|r| r.at)
        };
        let Some(kill) = sent(Signal::Kill, from, until) else { return false };
        sent(Signal::Term, self.process_start(node, kill).unwrap_or(Micros::MIN), kill).is_none()
    }

    /// The end of the last stall of the node's process that overlaps the given interval.
    pub(super) fn stalled_until(&self, node: NodeNo, from: Micros, until: Micros) -> Option<Micros> {
        let ours = stalls(self.ledger).filter(|stall| stall.node == node && !stall.killed);
        let overlapping = ours.filter(|stall| stall.from <= until && from <= stall.until);
        overlapping.last().map(|stall| stall.until)
    }

    /// All attempts of a try that servers received complete, in the order of their first bytes.
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

    /// The last time at which the node closed the connection while the request was on its way to it, so that
    /// the client sent the request again.
    pub(super) fn crossed(&self, req: ReqId) -> Option<Micros> {
        let crossed = self.index.client(req).filter(|r| matches!(r.event, ClientEvent::Crossed { .. }));
        crossed.map(|r| r.at).last()
    }

    /// The attempts after that time. Earlier ones are not counted: the end of a node that was killed looks
    /// the same to the client, and the node that gets the request next cannot know of attempts by the killed
    /// one.
    pub(super) fn attempts_since_crossed(&self, req: ReqId) -> Vec<Attempt> {
        let again = self.crossed(req).unwrap_or(Micros::MIN);
        let mut attempts = self.attempts(req);
        attempts.retain(|a| a.first_byte > again);
        attempts
    }

    /// The state of a client's connection at a given time. A request is unanswered if it was written by then
    /// and is neither answered, nor broken off, nor sent again after a close.
    pub(super) fn on_connection(&self, conn: ConnNo, at: Micros) -> OnConnection {
        let mut on = OnConnection { node: None, first: None, open: Vec::new() };
        for r in self.index.client_conn(conn) {
            match r.event {
                ClientEvent::Opened { node, .. } => on.node = Some(node),
                // A request that was written after the end of the connection was never accepted, so it cannot
                // be lost.
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

    /// A violation that concerns a try.
    pub(super) fn violation(&self, rule: Rule, at: Micros, t: &Try, text: String) -> Violation {
        Violation { rule, at, req: Some(t.id), node: Some(t.node), server: None, text }
    }
}

/// An interval in which the lab had a node's process stopped by SIGSTOP.
pub(super) struct Stall {
    pub(super) node: NodeNo,
    pub(super) from: Micros,
    pub(super) until: Micros,
    /// The stall ended with SIGKILL instead of SIGCONT.
    pub(super) killed: bool,
}

/// All stalls of nodes' processes, in the order of their ends.
pub(super) fn stalls(ledger: &Ledger) -> impl Iterator<Item = Stall> {
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
                stopped.remove(&node).map(|from| Stall { node, from, until: r.at, killed })
            }
            Signal::Term | Signal::Hup => None,
        }
    })
}

/// The intervals in which the selected faults were active, sorted. A fault that has no recorded end lasts to
/// `end`.
fn fault_intervals(ledger: &Ledger, end: Micros, selected: impl Fn(usize) -> bool) -> Vec<(Micros, Micros)> {
    let mut open: Vec<(u16, Micros)> = Vec::new();
    let mut all = Vec::new();
    for r in ledger.lab.records() {
        match r.event {
            LabEvent::FaultBegan { fault } if selected(usize::from(fault)) => open.push((fault, r.at)),
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
