//! Estimates how long an idle connection stays usable, per member and per kind of member, with as few lost
//! flows as possible.
//!
//! The observations are current-status data: when a connection is used after some idle time it is found alive
//! or dead; when it died is not observed unless the peer closed it visibly. The share of dead connections by
//! idle age is therefore the isotonic regression of the observations (pool adjacent violators; Ayer et al.
//! 1955, Groeneboom and Wellner 1992): [`SurvivalTable`]. The table of a kind gives the initial limit of a
//! new member.
//!
//! Each member has an [`IdleLimit`]: no connection is used after a longer idle time. It rises by a quarter
//! once enough connections were found alive close below it. Beyond the ages found alive since the last death
//! it rises only if the kind has saved credit for one loss; credit is earned by flows. A death lowers the
//! limit to at most half the age at which it was found. A change of the server's idle timeout thus costs one
//! or two losses per member, whatever the server does, and the losses risked beyond that are bounded by the
//! number of flows.

use crate::Micros;

/// Buckets of idle age: four per octave, from 16 ms to more than an hour.
const BUCKETS: usize = 76;
const FIRST: f64 = 16_384.0;
/// Time constant of the exponential decay of observations, and the interval at which it is applied, µs.
const DECAY_TIME: Micros = 1_800_000_000;
const DECAY_INTERVAL: Micros = 60_000_000;
/// Lower bound of the limit, µs.
const MIN_LIMIT: Micros = 50_000;
/// A use at an age of at least this share of the limit counts as evidence for it.
const NEAR_LIMIT: f64 = 0.75;
/// Uses near the limit that are needed to raise it: initially, and at most. The number is multiplied by four
/// after each death at an age that had been proven.
const USES_TO_RAISE: (u32, u32) = (8, 8192);
const GROWTH: f64 = 1.25;
/// Share of an age at which a connection was found dead or closed by the peer that is still used.
const SAFETY_MARGIN: f64 = 0.9;
/// Two closes by the peer at ages that differ relatively by less than this are due to the same idle timeout.
const SAME_TIMEOUT: f64 = 0.05;
/// An age is unsafe for a new member from this share of deaths on; `.1` is the number of connections found
/// alive that a safe age needs.
const SAFE: (f64, f64) = (0.01, 16.0);
/// Upper bound of a kind's credit, in losses.
const MAX_CREDIT: f64 = 2.0;
/// Deaths at two members within this time count as one change at all members of the kind, µs.
const SAME_CHANGE: Micros = 120_000_000;

/// Numbers of connections found alive and dead by idle age, with exponential decay.
#[derive(Clone, Debug)]
pub struct SurvivalTable {
    alive: Box<[f32; BUCKETS]>,
    dead: Box<[f32; BUCKETS]>,
    decayed_at: Micros,
}

fn bucket(age: Micros) -> usize {
    let octaves = (age.max(1) as f64 / FIRST).log2();
    ((octaves * 4.0).floor() + 1.0).clamp(0.0, (BUCKETS - 1) as f64) as usize
}

fn edge(bucket: usize) -> Micros {
    if bucket == 0 { 0 } else { (FIRST * ((bucket - 1) as f64 / 4.0).exp2()) as Micros }
}

impl SurvivalTable {
    /// Creates an empty table.
    pub fn new(now: Micros) -> SurvivalTable {
        SurvivalTable { alive: Box::new([0.0; BUCKETS]), dead: Box::new([0.0; BUCKETS]), decayed_at: now }
    }

    /// Records that a connection was found alive or dead after the given idle time.
    pub fn record(&mut self, age: Micros, alive: bool) {
        let side = if alive { &mut self.alive } else { &mut self.dead };
        side[bucket(age)] += 1.0;
    }

    /// Applies the decay if it is due.
    pub fn decay(&mut self, now: Micros) {
        let passed = now - self.decayed_at;
        if passed >= DECAY_INTERVAL {
            let keep = (-(passed as f64) / DECAY_TIME as f64).exp() as f32;
            self.alive.iter_mut().chain(self.dead.iter_mut()).for_each(|n| *n *= keep);
            self.decayed_at = now;
        }
    }

    /// Estimated share of dead connections, non-decreasing in age: for each step the age at which it begins,
    /// the share, and the number of observations.
    pub fn death_share_by_age(&self) -> Vec<(Micros, f64, f64)> {
        let mut blocks: Vec<(usize, f64, f64)> = Vec::new();
        for b in 0..BUCKETS {
            let (dead, seen) = (f64::from(self.dead[b]), f64::from(self.alive[b] + self.dead[b]));
            if seen < 1e-3 {
                continue;
            }
            let mut block = (b, dead, seen);
            // Pools adjacent violators: merges a block with its predecessor if that has a higher share of
            // deaths.
            while let Some(last) = blocks.last().filter(|l| l.1 * block.2 >= block.1 * l.2 && l.1 > 0.0) {
                block = (last.0, last.1 + block.1, last.2 + block.2);
                blocks.pop();
            }
            blocks.push(block);
        }
        blocks.into_iter().map(|(b, dead, seen)| (edge(b), dead / seen, seen)).collect()
    }

    /// The highest age such that enough connections were found alive at that age or beyond, counted up to the
    /// first age with too many deaths; `None` without enough observations.
    pub fn safe(&self) -> Option<Micros> {
        let first_bad = self.death_share_by_age().into_iter().find(|(_, share, _)| *share > SAFE.0);
        let below = first_bad.map_or(BUCKETS, |(age, ..)| bucket(age));
        let mut seen = 0.0;
        let enough = (0..below).rev().find(|b| {
            seen += f64::from(self.alive[*b]);
            seen >= SAFE.1
        });
        enough.map(edge)
    }
}

/// State shared by the members of a kind.
#[derive(Clone, Debug)]
pub struct KindIdleLimit {
    /// Observations at all members of the kind.
    pub table: SurvivalTable,
    credit: f64,
    /// Time, member and idle age of the last death.
    last_death: Option<(Micros, u64, Micros)>,
}

impl KindIdleLimit {
    /// Creates the state of a kind without observations and with credit for one loss.
    pub fn new(now: Micros) -> KindIdleLimit {
        KindIdleLimit { table: SurvivalTable::new(now), credit: 1.0, last_death: None }
    }

    /// Adds the credit that `flows` flows earn, `each` of a loss per flow.
    pub fn earn_credit(&mut self, flows: f64, each: f64) {
        self.credit = (self.credit + flows * each).min(MAX_CREDIT);
    }

    /// Records a connection found dead at a member. Returns the limit to apply to all members of the kind if
    /// this is a change at all of them.
    pub fn on_death(&mut self, now: Micros, member: u64, age: Micros) -> Option<Micros> {
        self.table.record(age, false);
        self.credit -= 1.0;
        let last = self.last_death.replace((now, member, age));
        last.filter(|(at, who, _)| *who != member && now - at < SAME_CHANGE)
            .map(|(.., other)| (age.min(other) / 2).max(MIN_LIMIT))
    }
}

/// Learnt limit on the idle time of connections to one member.
#[derive(Clone, Debug)]
pub struct IdleLimit {
    /// Observations at this member.
    pub table: SurvivalTable,
    limit: Micros,
    max: Micros,
    /// Highest idle age found alive since the last death.
    proven: Micros,
    near_uses: u32,
    uses_needed: u32,
    /// An age found dead, and until when it bounds the limit.
    dead_at: Option<(Micros, Micros)>,
    last_peer_close: Option<Micros>,
}

impl IdleLimit {
    /// `start`: the limit before anything is learnt; `max`: upper bound of the limit.
    pub fn new(now: Micros, start: Micros, max: Micros) -> IdleLimit {
        let max = max.max(MIN_LIMIT);
        IdleLimit {
            table: SurvivalTable::new(now),
            limit: start.clamp(MIN_LIMIT, max),
            max,
            proven: 0,
            near_uses: 0,
            uses_needed: USES_TO_RAISE.0,
            dead_at: None,
            last_peer_close: None,
        }
    }

    /// Maximum idle time after which a connection is still used.
    pub fn limit(&self) -> Micros {
        self.limit
    }

    /// Sets the upper bound.
    pub fn set_max(&mut self, max: Micros) {
        self.max = max.max(MIN_LIMIT);
        self.limit = self.limit.min(self.max);
    }

    /// A connection was used after the given idle time and answered. Returns whether the limit has changed.
    pub fn on_alive(&mut self, now: Micros, age: Micros, kind: &mut KindIdleLimit) -> bool {
        // Short idle times are the normal case and carry no information.
        if age < MIN_LIMIT {
            return false;
        }
        self.table.record(age, true);
        kind.table.record(age, true);
        self.proven = self.proven.max(age);
        if (age as f64) < NEAR_LIMIT * self.limit as f64 {
            return false;
        }
        self.near_uses += 1;
        if self.near_uses < self.uses_needed {
            return false;
        }
        let bound = match self.dead_at {
            Some((dead, until)) if now < until => (dead as f64 * SAFETY_MARGIN) as Micros,
            _ => self.max,
        };
        let next = ((self.limit as f64 * GROWTH) as Micros).min(bound).min(self.max);
        if next <= self.limit || (next > self.proven && kind.credit < 1.0) {
            return false;
        }
        (self.limit, self.near_uses) = (next, 0);
        true
    }

    /// A flow was lost on a connection that had been idle for `age`.
    pub fn on_death(&mut self, now: Micros, age: Micros) {
        self.table.record(age, false);
        if age <= self.proven {
            self.uses_needed = (4 * self.uses_needed).min(USES_TO_RAISE.1);
        }
        self.dead_at = Some((age, now + DECAY_TIME));
        self.limit = self.limit.min((age / 2).max(MIN_LIMIT));
        (self.proven, self.near_uses) = (0, 0);
    }

    /// The peer visibly closed a connection that had been idle for `age`. Returns whether the limit has
    /// changed, which takes two closes due to the same idle timeout.
    pub fn on_peer_close(&mut self, now: Micros, age: Micros, kind: &mut KindIdleLimit) -> bool {
        if age < MIN_LIMIT {
            return false;
        }
        self.table.record(age, false);
        kind.table.record(age, false);
        let last = self.last_peer_close.replace(age);
        let same_timeout = last.is_some_and(|last| ((last - age).abs() as f64) < SAME_TIMEOUT * age as f64);
        let limit = ((age as f64 * SAFETY_MARGIN) as Micros).max(MIN_LIMIT);
        if !same_timeout || limit >= self.limit {
            return false;
        }
        self.dead_at = Some((age, now + DECAY_TIME));
        (self.limit, self.near_uses, self.proven) = (limit, 0, self.proven.min(limit));
        true
    }

    /// A change at all members of the kind: caps the limit until higher ages are proven again. Returns
    /// whether it was lowered.
    pub fn cap_to(&mut self, limit: Micros) -> bool {
        let less = limit < self.limit;
        if less {
            (self.limit, self.proven, self.near_uses) = (limit.max(MIN_LIMIT), 0, 0);
        }
        less
    }

    /// Applies the decay if it is due.
    pub fn decay(&mut self, now: Micros) {
        if now - self.table.decayed_at >= DECAY_INTERVAL {
            self.table.decay(now);
            if self.dead_at.is_some_and(|(_, until)| now >= until) {
                self.dead_at = None;
                self.uses_needed = (self.uses_needed / 2).max(USES_TO_RAISE.0);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn each_age_is_within_the_edges_of_its_bucket(age in 1i64..10_000_000_000) {
            let b = bucket(age);
            prop_assert!(edge(b) <= age && (b + 1 == BUCKETS || age <= edge(b + 1)));
        }

        #[test]
        fn death_share_is_non_decreasing_in_age(found in proptest::collection::vec((1i64..100_000_000, any::<bool>()), 0..200)) {
            let mut table = SurvivalTable::new(0);
            found.iter().for_each(|(age, alive)| table.record(*age, *alive));
            let shares: Vec<f64> = table.death_share_by_age().into_iter().map(|b| b.1).collect();
            prop_assert!(shares.is_sorted());
        }
    }

    #[test]
    fn table_finds_the_safe_age_and_forgets_it() {
        let mut table = SurvivalTable::new(0);
        assert_eq!(table.safe(), None);
        for i in 1..=400i64 {
            table.record(i * 100_000, i * 100_000 < 20_000_000);
        }
        let safe = table.safe().unwrap();
        assert!((14_000_000..20_000_000).contains(&safe), "{safe}");
        table.decay(36_000_000_000);
        assert_eq!(table.safe(), None, "observations have decayed after ten hours");
    }

    #[test]
    fn limit_rises_with_evidence_and_halves_on_death() {
        let mut kind = KindIdleLimit::new(0);
        let mut limit = IdleLimit::new(0, 10_000_000, 60_000_000);
        (0..7).for_each(|_| assert!(!limit.on_alive(0, 9_000_000, &mut kind)));
        assert!(limit.on_alive(0, 9_000_000, &mut kind) && limit.limit() == 12_500_000);
        (0..100).for_each(|_| _ = limit.on_alive(0, 5_000_000, &mut kind));
        assert_eq!(limit.limit(), 12_500_000, "ages far below the limit are no evidence for it");
        limit.on_death(0, 12_000_000);
        kind.on_death(0, 1, 12_000_000);
        assert_eq!(limit.limit(), 6_000_000);
        // Without credit no unproven age is risked.
        (0..100).for_each(|_| _ = limit.on_alive(0, 5_900_000, &mut kind));
        assert_eq!(limit.limit(), 6_000_000);
        // With credit it rises, but not up to an age found dead.
        kind.earn_credit(1_000_000.0, 4e-6);
        for _ in 0..1000 {
            limit.on_alive(0, limit.limit() - 1, &mut kind);
        }
        assert_eq!(limit.limit(), 10_800_000);
        for _ in 0..1000 {
            limit.on_alive(DECAY_TIME, limit.limit() - 1, &mut kind);
        }
        assert_eq!(limit.limit(), 60_000_000, "a death stops counting after DECAY_TIME");
    }

    #[test]
    fn limit_falls_only_after_two_peer_closes_at_the_same_age() {
        let mut kind = KindIdleLimit::new(0);
        let mut limit = IdleLimit::new(0, 15_000_000, 60_000_000);
        assert!(
            !limit.on_peer_close(0, 3_000_000, &mut kind) && !limit.on_peer_close(0, 8_000_000, &mut kind)
        );
        assert!(limit.on_peer_close(0, 8_100_000, &mut kind));
        assert_eq!(limit.limit(), 7_290_000);
    }

    #[test]
    fn deaths_at_two_members_cap_all_of_the_kind() {
        let mut kind = KindIdleLimit::new(0);
        assert_eq!(kind.on_death(0, 1, 9_000_000), None);
        assert_eq!(kind.on_death(1_000, 1, 9_000_000), None, "the same member");
        assert_eq!(kind.on_death(2_000, 2, 8_000_000), Some(4_000_000));
        assert_eq!(kind.on_death(SAME_CHANGE + 3_000, 1, 8_000_000), None, "long after");
        let mut limit = IdleLimit::new(0, 15_000_000, 60_000_000);
        assert!(limit.cap_to(4_000_000) && !limit.cap_to(5_000_000));
    }

    /// A peer that drops connections at random, whatever their idle time: losses must stay rare although
    /// every age was proven at some time.
    #[test]
    fn limit_keeps_losses_rare_when_connections_die_at_random_ages() {
        use rand::{Rng, SeedableRng};
        let mut random = rand::rngs::SmallRng::seed_from_u64(5);
        let mut kind = KindIdleLimit::new(0);
        let mut limit = IdleLimit::new(0, 15_000_000, 60_000_000);
        let (mut early, mut late) = (0, 0);
        for i in 0..400_000i64 {
            kind.earn_credit(1.0, 4e-6);
            let age = (random.random::<f64>() * limit.limit() as f64) as Micros;
            let now = i * 10_000;
            if random.random::<f64>() < age as f64 / 600e6 {
                limit.on_death(now, age);
                kind.on_death(now, 1, age);
                *(if i < 50_000 { &mut early } else { &mut late }) += 1;
            } else {
                limit.on_alive(now, age, &mut kind);
            }
        }
        assert!(early <= 40 && late <= 40, "{early} and {late} losses");
    }
}
