//! Slow start: how much load a server with a cold cache receives, by the answers that it has given. No I/O,
//! no clock, no random numbers.
//!
//! By the settings a server has a share of its capacity when it starts, which grows with time (the promised
//! share). Warm peers show how many requests per second that share is. If all servers are cold, a balancer
//! knows only its own demand. So each cold server has a ramp: a multiple of the promised share of this
//! balancer's demand. It starts low, doubles while answers arrive in time, and halves at the first that does
//! not (slow start and multiplicative decrease: Jacobson, SIGCOMM 1988). Each balancer can observe the
//! server's capacity alone, whatever the others send: if the sum is too high, all of them see late answers.

use crate::Micros;
use crate::interface::Settings;
use crate::state::{Learned, Server};
use crate::token_bucket::SLOW_START_HEADROOM;

/// Initial multiple. Demand may be several times the capacity of the whole fleet, since waiting clients
/// retry.
const START_MULTIPLE: f64 = 0.25;
/// Minimum for a server that does not answer or rejects requests, and for one that is only slow, as cold
/// servers are.
const MIN_MULTIPLE: f64 = 1.0 / 64.0;
const MIN_MULTIPLE_SLOW: f64 = 1.0 / 16.0;
/// Maximum multiple. It may exceed any promised share, since the load is also bounded by this balancer's
/// demand.
const MAX_MULTIPLE: f64 = 64.0;
/// Answers within the first share of the latency target are in time, beyond the second one late, and in
/// between neutral. A cold server is slow even without load, so that a bound that fits warm servers would
/// call it late when idle.
const IN_TIME: f64 = 0.25;
const LATE: f64 = 0.5;
/// Score of answers for a step. An answer of the server itself scores this much, a good one of another server
/// of its kind 1.
const STEP_SCORE: f64 = 4.0;
/// Late answers, relative to good ones: up to the first share a step up is allowed, above the second follows
/// a step down.
const LATE_TO_GROW: f64 = 0.25;
const LATE_TO_SHRINK: f64 = 0.5;
/// Answers of its kind raise a server to at most this many times its own proven multiple: it may be slower
/// than its kind.
const MAX_UNPROVEN: f64 = 4.0;
/// Least time between steps up, as a share of the latency target: the effect of the previous step is visible
/// by then.
const MIN_STEP_INTERVAL: f64 = 0.5;

/// With warm peers, the limit on a cold server's load as a share of the load that overloads it according to
/// the settings. The rest is left for bursts of saved tokens and for chance.
const OVERLOAD_MARGIN: f64 = 0.75;
/// The measured load of warm peers is valid this long after their last answer.
const WARM_RECENT: Micros = 3_000_000;

/// The loads per second that a cold server's load is derived from, for a server of weight 1.
pub(crate) struct Peers {
    /// Load that a warm server carries for this balancer.
    warm: f64,
    /// Demand on this balancer.
    demand: f64,
    /// Limit for a server with its full capacity, unbounded without recent answers of warm servers. An empty
    /// server answers misses at once. Without the limit such answers raise its load to the whole demand,
    /// which is many times its capacity while warm servers are overloaded.
    max_due: f64,
}

impl Peers {
    pub(crate) fn new(settings: &Settings, learned: &Learned, weight: f64, now: Micros) -> Peers {
        let (warm, demand) = (learned.warm_rate.per_s, learned.request_rate.per_s / weight);
        let measured = warm > 0.0 && learned.warm_rate.at() + WARM_RECENT > now;
        let max_due = if measured {
            OVERLOAD_MARGIN * settings.tip_multiple.max(1.0) / SLOW_START_HEADROOM * warm
        } else {
            f64::MAX
        };
        Peers { warm, demand, max_due }
    }
}

/// What the end of an attempt shows about a server's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    Good,
    Late,
    /// There was no answer, or the request was rejected.
    NoAnswer,
    /// No information.
    Neutral,
}

impl Signal {
    /// The signal of an answer after `took`. After a fetch from the origin a late answer says nothing about
    /// the server.
    pub(crate) fn of(took: Micros, target: Micros, fetched: bool) -> Signal {
        match took as f64 / target.max(1) as f64 {
            part if part <= IN_TIME => Signal::Good,
            part if part > LATE && !fetched => Signal::Late,
            _ => Signal::Neutral,
        }
    }
}

/// The ramp of one cold server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ramp {
    /// Multiple of the promised share of the demand.
    multiple: f64,
    /// When the multiple last changed: attempts sent earlier say nothing about it.
    changed_at: Micros,
    /// Scores of good and of late answers since then.
    good: f64,
    late: f64,
    /// The server was late: answers of others of its kind no longer count for it.
    own_only: bool,
    /// The multiple at which the server itself last answered in time.
    proven: f64,
}

impl Default for Ramp {
    fn default() -> Self {
        Ramp {
            multiple: START_MULTIPLE,
            changed_at: Micros::MIN / 2,
            good: 0.0,
            late: 0.0,
            own_only: false,
            proven: START_MULTIPLE,
        }
    }
}

impl Ramp {
    fn record(&mut self, now: Micros, sent: Micros, signal: Signal, target: Micros, own: bool) {
        if sent < self.changed_at || !own && self.own_only {
            return;
        }
        match signal {
            Signal::Good if own => (self.good, self.proven) = (self.good + STEP_SCORE, self.multiple),
            Signal::Good => self.good += 1.0,
            Signal::Late | Signal::NoAnswer => self.late += STEP_SCORE,
            Signal::Neutral => return,
        }
        let most = (MAX_UNPROVEN * self.proven).min(MAX_MULTIPLE);
        let seen = (now - self.changed_at) as f64 >= MIN_STEP_INTERVAL * target as f64;
        if self.late > LATE_TO_SHRINK * self.good {
            let least =
                if signal == Signal::NoAnswer { MIN_MULTIPLE } else { MIN_MULTIPLE_SLOW.min(self.multiple) };
            self.step((self.multiple / 2.0).max(least), now);
            self.own_only = true;
        } else if self.good >= STEP_SCORE
            && self.late <= LATE_TO_GROW * self.good
            && self.multiple < most
            && seen
        {
            self.step((2.0 * self.multiple).min(most), now);
        }
    }

    fn step(&mut self, multiple: f64, now: Micros) {
        *self = Ramp { multiple, changed_at: now, good: 0.0, late: 0.0, ..*self };
    }

    /// Load per second for a server of weight 1, for the promised share `part`: that share of the load of
    /// warm peers, or of this balancer's demand by the ramp if that is more, up to that share of the limit.
    pub(crate) fn due(&self, part: f64, peers: &Peers) -> f64 {
        let promised = part * peers.warm * (self.multiple / START_MULTIPLE).min(1.0);
        promised.max((part * self.multiple).min(1.0) * peers.demand).min(part * peers.max_due)
    }
}

/// Records a signal of a server in its ramp, and a good one also in the ramps of servers of its kind that
/// started at the same time or earlier.
pub(crate) fn record(
    servers: &mut [Server],
    of: usize,
    now: Micros,
    sent: Micros,
    signal: Signal,
    target: Micros,
) {
    let (kind, started_at) = (servers[of].kind, servers[of].started_at);
    let as_old = |s: &Server| {
        signal == Signal::Good && s.kind == kind && s.started_at.is_some() && s.started_at <= started_at
    };
    for (i, s) in servers.iter_mut().enumerate().filter(|(i, s)| *i == of || as_old(s)) {
        s.ramp.record(now, sent, signal, target, i == of);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Listed, ServerId};

    /// Without a limit.
    fn peers(warm: f64, demand: f64) -> Peers {
        Peers { warm, demand, max_due: f64::MAX }
    }

    const MS: Micros = 1_000;
    const TARGET: Micros = 500 * MS;

    /// Servers with these start times in milliseconds.
    fn started(at: &[i64]) -> Vec<Server> {
        let one = |(n, at): (usize, &i64)| {
            let listed = Listed { server: ServerId(n as u64), since: Some(at * MS), ..Listed::default() };
            Server::new(listed, at * MS, ServerId(0))
        };
        at.iter().enumerate().map(one).collect()
    }

    /// Server `of` answers `count` times, 0.3 s apart.
    fn answers(servers: &mut [Server], of: usize, from: Micros, count: usize, signal: Signal) {
        for n in 1..=count as i64 {
            let now = from + n * 300 * MS;
            record(servers, of, now, now - 20 * MS, signal, TARGET);
        }
    }

    #[test]
    fn signal_follows_latency_and_a_late_fetch_is_neutral() {
        for (took, fetched, signal) in [
            (125, false, Signal::Good),
            (126, false, Signal::Neutral),
            (250, false, Signal::Neutral),
            (251, false, Signal::Late),
            (251, true, Signal::Neutral),
            (100, true, Signal::Good),
        ] {
            assert_eq!(Signal::of(took * MS, TARGET, fetched), signal, "{took} ms, fetched: {fetched}");
        }
    }

    #[test]
    fn load_starts_low_and_is_bounded_by_demand() {
        let mut servers = started(&[0]);
        assert_eq!(servers[0].ramp.due(0.2, &peers(0.0, 100.0)), 5.0, "a quarter of the promised share");
        answers(&mut servers, 0, 0, 3, Signal::Good);
        assert_eq!(servers[0].ramp.due(0.2, &peers(0.0, 100.0)), 40.0, "twice the promised share");
        answers(&mut servers, 0, S, 9, Signal::Good);
        assert_eq!(servers[0].ramp.due(0.2, &peers(0.0, 100.0)), 100.0);
        assert_eq!(
            servers[0].ramp.due(0.2, &peers(900.0, 100.0)),
            180.0,
            "the load of warm peers counts, too"
        );
        assert_eq!(
            servers[0].ramp.due(0.2, &Peers { max_due: 150.0, ..peers(90.0, 100.0) }),
            30.0,
            "and limits it"
        );
    }

    /// The answers to requests that were sent in one burst must not count as several steps.
    #[test]
    fn answers_to_one_burst_make_one_step() {
        let mut servers = started(&[0]);
        (0..50).for_each(|n| record(&mut servers, 0, S + n * MS, S - MS, Signal::Good, TARGET));
        assert_eq!(servers[0].ramp.multiple, 2.0 * START_MULTIPLE);
        (0..50).for_each(|n| record(&mut servers, 0, 2 * S + n * MS, S - MS, Signal::Good, TARGET));
        assert_eq!(servers[0].ramp.multiple, 2.0 * START_MULTIPLE, "sent before the step");
        (0..50).for_each(|n| record(&mut servers, 0, 2 * S + n * MS, S + 60 * MS, Signal::Late, TARGET));
        assert_eq!(servers[0].ramp.multiple, START_MULTIPLE, "late answers make one step, too");
    }

    /// A balancer that rarely sends to each server gets too few answers to raise each ramp by its own.
    #[test]
    fn good_answers_raise_others_of_the_kind_unless_they_are_newer_or_were_late() {
        let mut servers = started(&[0, 0, 200, 0]);
        answers(&mut servers, 3, 0, 1, Signal::Late);
        answers(&mut servers, 0, S, 40, Signal::Good);
        let multiple: Vec<f64> = servers.iter().map(|s| s.ramp.multiple).collect();
        assert_eq!(
            multiple,
            [MAX_MULTIPLE, MAX_UNPROVEN * START_MULTIPLE, START_MULTIPLE, START_MULTIPLE / 2.0]
        );
        // A server that was late still rises by its own answers.
        answers(&mut servers, 3, 20 * S, 2, Signal::Good);
        assert_eq!(servers[3].ramp.multiple, 2.0 * START_MULTIPLE);
    }

    /// A cold server with far less capacity than promised must not get the load of warm ones until it
    /// overloads.
    #[test]
    fn a_server_that_stays_late_or_silent_gets_the_minimum() {
        let mut servers = started(&[0]);
        answers(&mut servers, 0, 0, 12, Signal::Late);
        assert_eq!(
            servers[0].ramp.due(0.5, &peers(100.0, 100.0)),
            12.5,
            "slow: a quarter of the load of warm peers"
        );
        answers(&mut servers, 0, 10 * S, 12, Signal::NoAnswer);
        assert!(servers[0].ramp.due(0.5, &peers(100.0, 100.0)) < 4.0, "silent");
    }

    const S: Micros = 1_000 * MS;
}
