//! How much of the work that would be its part a cold server gets, by what it has done. No I/O, no clock, no draws.
//!
//! The settings promise a server so much of its capacity at its start, and more as time goes on. What a part of that is in
//! requests a second is told by warm peers, where there are any; where all are cold nobody knows it, and all that a balancer
//! has is its own demand. So each cold server has a ramp: a multiple of the promised part of our demand, which begins low,
//! doubles while answers come in good time, and halves at the first that does not (slow start and multiplicative decrease:
//! Jacobson, SIGCOMM 1988). What a server bears can be seen by this balancer alone, whatever others send: if all together
//! send too much, all see it.

use crate::Micros;
use crate::interface::Settings;
use crate::state::{Learned, Server};
use crate::token_bucket::COLD_DUE;

/// The ramp begins at this part of the promise. Danger: demand may be several times what the whole fleet bears, since
/// clients have waited.
const BEGINS: f64 = 0.25;
/// One that does not answer, or turns requests away, is left to the others down to this; one that is merely slow, as cold
/// servers are, down to the other.
const LEAST: f64 = 1.0 / 64.0;
const LEAST_SLOW: f64 = 1.0 / 16.0;
/// Doublings beyond any promise: what is due is bounded by our demand anyway.
const MOST: f64 = 64.0;
/// Answers within this part of the aim are in good time; beyond the other they are late. Between the two nothing is learnt.
/// Danger: a cold server is slow at its best, and a bound that fits warm ones calls it late with nothing to do.
const GOOD: f64 = 0.25;
const LATE: f64 = 0.5;
/// Good answers of its kind that make a step; one of its own counts as so many.
const STEP: f64 = 4.0;
/// Late ones among them that a step may have, as a part of the good; from the other part on it is a step down.
const FEW: f64 = 0.25;
const MANY: f64 = 0.5;
/// They lift it to so many times what it has shown itself: it may be slower than its kind.
const UNSHOWN: f64 = 4.0;
/// A step is not taken sooner than this part of an aim after the one before: by then what that did is seen.
const PACE: f64 = 0.5;

/// Beside warm peers a cold server gets at most this part of what the settings say tips it, by what those carry. The rest is for
/// what was saved up, and for chance.
const SAFE: f64 = 0.75;
/// A warm peer has answered so lately.
const LATELY: Micros = 3_000_000;

/// What a balancer goes by where servers are cold, all for one of weight 1.
pub(crate) struct Peers {
    /// Load a second that a warm one carries for it.
    warm: f64,
    /// What it is asked for.
    demand: f64,
    /// The most that is due for the whole of a capacity; no bound where no warm one tells. Danger: a server that is empty
    /// answers at once that it lacks the key. By such answers its part grew to all that was asked for, which beside a
    /// jam of warm ones is many times what it bears.
    most: f64,
}

impl Peers {
    pub(crate) fn new(settings: &Settings, learned: &Learned, weight: f64, now: Micros) -> Peers {
        let (warm, demand) = (learned.warm_rate.per_s, learned.request_rate.per_s / weight);
        let told = warm > 0.0 && learned.warm_rate.at() + LATELY > now;
        let most = if told { SAFE * settings.tip_multiple.max(1.0) / COLD_DUE * warm } else { f64::MAX };
        Peers { warm, demand, most }
    }
}

/// What an answer shows of a server, or its lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sign {
    Good,
    Late,
    /// None came, or it was turned away.
    None,
    Nothing,
}

impl Sign {
    /// Of an answer after so long. Where the server had to fetch first, only speed tells of it.
    pub(crate) fn of(took: Micros, aim: Micros, fetched: bool) -> Sign {
        match took as f64 / aim.max(1) as f64 {
            part if part <= GOOD => Sign::Good,
            part if part > LATE && !fetched => Sign::Late,
            _ => Sign::Nothing,
        }
    }
}

/// The ramp of one cold server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ramp {
    times: f64,
    /// When it was changed last: what was sent earlier says nothing of it.
    changed: Micros,
    /// Answers in good time since then, those of its kind counted by a part, and late ones.
    good: f64,
    late: f64,
    /// It was late: what others of its kind bear says nothing of it.
    alone: bool,
    /// The multiple at which it last answered in good time itself.
    shown: f64,
}

impl Default for Ramp {
    fn default() -> Self {
        Ramp { times: BEGINS, changed: Micros::MIN / 2, good: 0.0, late: 0.0, alone: false, shown: BEGINS }
    }
}

impl Ramp {
    fn heard(&mut self, now: Micros, sent: Micros, sign: Sign, aim: Micros, own: bool) {
        if sent < self.changed || !own && self.alone {
            return;
        }
        match sign {
            Sign::Good if own => (self.good, self.shown) = (self.good + STEP, self.times),
            Sign::Good => self.good += 1.0,
            Sign::Late | Sign::None => self.late += STEP,
            Sign::Nothing => return,
        }
        let most = (UNSHOWN * self.shown).min(MOST);
        let seen = (now - self.changed) as f64 >= PACE * aim as f64;
        if self.late > MANY * self.good {
            let least = if sign == Sign::None { LEAST } else { LEAST_SLOW.min(self.times) };
            self.step((self.times / 2.0).max(least), now);
            self.alone = true;
        } else if self.good >= STEP && self.late <= FEW * self.good && self.times < most && seen {
            self.step((2.0 * self.times).min(most), now);
        }
    }

    fn step(&mut self, times: f64, now: Micros) {
        *self = Ramp { times, changed: now, good: 0.0, late: 0.0, ..*self };
    }

    /// Load a second that is due to a server of weight 1, of which `part` is promised: what warm peers carry, or else what
    /// it has shown to bear of our demand, up to that part of the most there may be.
    pub(crate) fn due(&self, part: f64, peers: &Peers) -> f64 {
        let promised = part * peers.warm * (self.times / BEGINS).min(1.0);
        promised.max((part * self.times).min(1.0) * peers.demand).min(part * peers.most)
    }
}

/// Takes an answer of a cold server as a sign of what it bears, and a good one of what those of its kind bear that are as
/// old or older.
pub(crate) fn heard(servers: &mut [Server], of: usize, now: Micros, sent: Micros, sign: Sign, aim: Micros) {
    let (kind, born) = (servers[of].kind, servers[of].born);
    let as_old = |s: &Server| sign == Sign::Good && s.kind == kind && s.born.is_some() && s.born <= born;
    for (i, s) in servers.iter_mut().enumerate().filter(|(i, s)| *i == of || as_old(s)) {
        s.ramp.heard(now, sent, sign, aim, i == of);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Listed, ServerId};

    /// Warm ones carry so much, and so much is asked for.
    fn peers(warm: f64, demand: f64) -> Peers {
        Peers { warm, demand, most: f64::MAX }
    }

    const MS: Micros = 1_000;
    const AIM: Micros = 500 * MS;

    /// Servers that started then, in ms.
    fn started(at: &[i64]) -> Vec<Server> {
        let one = |(n, at): (usize, &i64)| {
            let listed = Listed { server: ServerId(n as u64), since: Some(at * MS), ..Listed::default() };
            Server::new(listed, at * MS, ServerId(0))
        };
        at.iter().enumerate().map(one).collect()
    }

    /// The first of them answers so many times, 0.3 s apart.
    fn answers(servers: &mut [Server], of: usize, from: Micros, times: usize, sign: Sign) {
        for n in 1..=times as i64 {
            let now = from + n * 300 * MS;
            heard(servers, of, now, now - 20 * MS, sign, AIM);
        }
    }

    #[test]
    fn what_is_late_or_quick_is_told_apart_and_a_fetch_is_nobodys_lateness() {
        for (took, fetched, sign) in [
            (125, false, Sign::Good),
            (126, false, Sign::Nothing),
            (250, false, Sign::Nothing),
            (251, false, Sign::Late),
            (251, true, Sign::Nothing),
            (100, true, Sign::Good),
        ] {
            assert_eq!(Sign::of(took * MS, AIM, fetched), sign, "{took} ms, fetched: {fetched}");
        }
    }

    #[test]
    fn what_is_due_begins_low_and_is_at_most_our_demand() {
        let mut servers = started(&[0]);
        assert_eq!(servers[0].ramp.due(0.2, &peers(0.0, 100.0)), 5.0, "a quarter of the promise");
        answers(&mut servers, 0, 0, 3, Sign::Good);
        assert_eq!(servers[0].ramp.due(0.2, &peers(0.0, 100.0)), 40.0, "twice the promise");
        answers(&mut servers, 0, S, 9, Sign::Good);
        assert_eq!(servers[0].ramp.due(0.2, &peers(0.0, 100.0)), 100.0);
        assert_eq!(
            servers[0].ramp.due(0.2, &peers(900.0, 100.0)),
            180.0,
            "what warm peers carry counts, too"
        );
        assert_eq!(
            servers[0].ramp.due(0.2, &Peers { most: 150.0, ..peers(90.0, 100.0) }),
            30.0,
            "and bounds it"
        );
    }

    /// Danger: a burst of answers to what was sent together counted as many steps.
    #[test]
    fn a_step_is_seen_before_the_next_is_taken() {
        let mut servers = started(&[0]);
        (0..50).for_each(|n| heard(&mut servers, 0, S + n * MS, S - MS, Sign::Good, AIM));
        assert_eq!(servers[0].ramp.times, 2.0 * BEGINS);
        (0..50).for_each(|n| heard(&mut servers, 0, 2 * S + n * MS, S - MS, Sign::Good, AIM));
        assert_eq!(servers[0].ramp.times, 2.0 * BEGINS, "sent before the step");
        (0..50).for_each(|n| heard(&mut servers, 0, 2 * S + n * MS, S + 60 * MS, Sign::Late, AIM));
        assert_eq!(servers[0].ramp.times, BEGINS, "nor are late ones more than one");
    }

    /// Danger: where a balancer meets each server seldom, each ramp alone stays where it begins until the server is warm.
    #[test]
    fn answers_of_a_kind_lift_those_as_old_but_not_far_and_not_one_that_was_late() {
        let mut servers = started(&[0, 0, 200, 0]);
        answers(&mut servers, 3, 0, 1, Sign::Late);
        answers(&mut servers, 0, S, 40, Sign::Good);
        let times: Vec<f64> = servers.iter().map(|s| s.ramp.times).collect();
        assert_eq!(times, [MOST, UNSHOWN * BEGINS, BEGINS, BEGINS / 2.0]);
        // Its own answers count for one that was late, too.
        answers(&mut servers, 3, 20 * S, 2, Sign::Good);
        assert_eq!(servers[3].ramp.times, 2.0 * BEGINS);
    }

    /// Danger: a cold server that bears far less than was promised gets what warm ones would bear until it falls.
    #[test]
    fn one_that_is_late_again_and_again_is_left_to_the_others() {
        let mut servers = started(&[0]);
        answers(&mut servers, 0, 0, 12, Sign::Late);
        assert_eq!(
            servers[0].ramp.due(0.5, &peers(100.0, 100.0)),
            12.5,
            "slow: a quarter of what warm peers tell of"
        );
        answers(&mut servers, 0, 10 * S, 12, Sign::None);
        assert!(servers[0].ramp.due(0.5, &peers(100.0, 100.0)) < 4.0, "silent");
    }

    const S: Micros = 1_000 * MS;
}
