//! For how long an idle connection stays alive: learnt by member and by kind, with as few losses as can be.
//!
//! What is seen is current-status data: a connection that was idle for some time is found alive or dead when it is
//! used; when it died is not seen, unless its peer tells. The share of the dead by age is then the isotonic regression
//! of what was found (pool adjacent violators; Ayer et al. 1955, Groeneboom and Wellner 1992): [`Table`]. A kind's
//! table says where a new member begins.
//!
//! A member's own [`Life`] has a limit: no connection is used that was idle for longer. It rises by a quarter once
//! enough connections were found alive close under it, and never into ages not proven since the last death unless
//! the kind has saved up the credit for one loss: flows earn it. A death halves the age at which it was found. So a
//! change costs a loss or two at each member, whatever the server does, and what is risked beyond that is bounded by
//! the flows that there are.

use crate::Micros;

/// Buckets of idle age: four an octave from 16 ms up to an hour and more.
const BUCKETS: usize = 76;
const FIRST: f64 = 16_384.0;
/// Time constant of forgetting, and how often it is carried out.
const MEMORY: Micros = 1_800_000_000;
const FORGET_EVERY: Micros = 60_000_000;
/// No limit is less.
const LEAST: Micros = 50_000;
/// Uses this close under the limit prove it.
const NEAR: f64 = 0.75;
/// So many prove it at first; four times as many after a death at an age that was proven.
const PROOF: (u32, u32) = (8, 8192);
const GROWTH: f64 = 1.25;
/// Of an age at which a peer told that it had closed so much is used.
const TOLD: f64 = 0.9;
/// Two ages told that differ by less are one time-out.
const SHARP: f64 = 0.05;
/// A share of the dead from which on an age is not safe for a new member, and what must have been seen there.
const SAFE: (f64, f64) = (0.01, 16.0);
/// A kind saves up credit for so many losses.
const CREDIT: f64 = 2.0;
/// Deaths at two members within this time are one change, of all of the kind.
const TOGETHER: Micros = 120_000_000;

/// Idle ages at which connections were found alive and dead. Forgets.
#[derive(Clone, Debug)]
pub struct Table {
    alive: Box<[f32; BUCKETS]>,
    dead: Box<[f32; BUCKETS]>,
    forgot: Micros,
}

fn bucket(age: Micros) -> usize {
    let octaves = (age.max(1) as f64 / FIRST).log2();
    ((octaves * 4.0).floor() + 1.0).clamp(0.0, (BUCKETS - 1) as f64) as usize
}

fn edge(bucket: usize) -> Micros {
    if bucket == 0 { 0 } else { (FIRST * ((bucket - 1) as f64 / 4.0).exp2()) as Micros }
}

impl Table {
    /// Nothing was seen.
    pub fn new(now: Micros) -> Table {
        Table { alive: Box::new([0.0; BUCKETS]), dead: Box::new([0.0; BUCKETS]), forgot: now }
    }

    /// One was found after so long idle.
    pub fn found(&mut self, age: Micros, alive: bool) {
        let side = if alive { &mut self.alive } else { &mut self.dead };
        side[bucket(age)] += 1.0;
    }

    /// Forgets what is old.
    pub fn forget(&mut self, now: Micros) {
        let passed = now - self.forgot;
        if passed >= FORGET_EVERY {
            let keep = (-(passed as f64) / MEMORY as f64).exp() as f32;
            self.alive.iter_mut().chain(self.dead.iter_mut()).for_each(|n| *n *= keep);
            self.forgot = now;
        }
    }

    /// The share of the dead by age, which only rises: ages from which on it holds, with the share and how many were
    /// seen there.
    pub fn dead_by_age(&self) -> Vec<(Micros, f64, f64)> {
        let mut blocks: Vec<(usize, f64, f64)> = Vec::new();
        for b in 0..BUCKETS {
            let (dead, seen) = (f64::from(self.dead[b]), f64::from(self.alive[b] + self.dead[b]));
            if seen < 1e-3 {
                continue;
            }
            let mut block = (b, dead, seen);
            // A block that is deadlier than the next joins it.
            while let Some(last) = blocks.last().filter(|l| l.1 * block.2 >= block.1 * l.2 && l.1 > 0.0) {
                block = (last.0, last.1 + block.1, last.2 + block.2);
                blocks.pop();
            }
            blocks.push(block);
        }
        blocks.into_iter().map(|(b, dead, seen)| (edge(b), dead / seen, seen)).collect()
    }

    /// The age up to which hardly any were found dead, if enough were seen up to there and some died beyond; the age
    /// up to which enough were seen alive, if none died.
    pub fn safe(&self) -> Option<Micros> {
        let first_bad = self.dead_by_age().into_iter().find(|(_, share, _)| *share > SAFE.0);
        let below = first_bad.map_or(BUCKETS, |(age, ..)| bucket(age));
        let mut seen = 0.0;
        let enough = (0..below).rev().find(|b| {
            seen += f64::from(self.alive[*b]);
            seen >= SAFE.1
        });
        enough.map(edge)
    }
}

/// What a kind's members share.
#[derive(Clone, Debug)]
pub struct KindLife {
    /// What was found at all of them.
    pub table: Table,
    credit: f64,
    /// The last death, and the member that it was at.
    last_death: Option<(Micros, u64, Micros)>,
}

impl KindLife {
    /// Nothing is known; one loss may be risked.
    pub fn new(now: Micros) -> KindLife {
        KindLife { table: Table::new(now), credit: 1.0, last_death: None }
    }

    /// So many flows more, each worth so much of a loss.
    pub fn earn(&mut self, flows: f64, each: f64) {
        self.credit = (self.credit + flows * each).min(CREDIT);
    }

    /// A connection of a member was found dead. Gives the limit to hold all members to, where this is a change at all
    /// of them.
    pub fn died(&mut self, now: Micros, member: u64, age: Micros) -> Option<Micros> {
        self.table.found(age, false);
        self.credit -= 1.0;
        let last = self.last_death.replace((now, member, age));
        last.filter(|(at, who, _)| *who != member && now - at < TOGETHER)
            .map(|(.., other)| (age.min(other) / 2).max(LEAST))
    }
}

/// How long connections of one member may be idle and still be used.
#[derive(Clone, Debug)]
pub struct Life {
    /// What was found at this member.
    pub table: Table,
    limit: Micros,
    most: Micros,
    /// The greatest idle age found alive since the last death.
    proven: Micros,
    near: u32,
    proof: u32,
    /// An age that was found dead, and until when that counts.
    dead_at: Option<(Micros, Micros)>,
    told: Option<Micros>,
}

impl Life {
    /// `start`: the limit until anything is learnt; `most`: no limit is above.
    pub fn new(now: Micros, start: Micros, most: Micros) -> Life {
        let most = most.max(LEAST);
        Life {
            table: Table::new(now),
            limit: start.clamp(LEAST, most),
            most,
            proven: 0,
            near: 0,
            proof: PROOF.0,
            dead_at: None,
            told: None,
        }
    }

    /// No connection is used that was idle for longer.
    pub fn limit(&self) -> Micros {
        self.limit
    }

    /// Another bound.
    pub fn set_most(&mut self, most: Micros) {
        self.most = most.max(LEAST);
        self.limit = self.limit.min(self.most);
    }

    /// A connection was used after so long idle, and answered. True if the limit has changed.
    pub fn alive(&mut self, now: Micros, age: Micros, kind: &mut KindLife) -> bool {
        // Short ages are the rule and say nothing.
        if age < LEAST {
            return false;
        }
        self.table.found(age, true);
        kind.table.found(age, true);
        self.proven = self.proven.max(age);
        if (age as f64) < NEAR * self.limit as f64 {
            return false;
        }
        self.near += 1;
        if self.near < self.proof {
            return false;
        }
        let bound = match self.dead_at {
            Some((dead, until)) if now < until => (dead as f64 * TOLD) as Micros,
            _ => self.most,
        };
        let next = ((self.limit as f64 * GROWTH) as Micros).min(bound).min(self.most);
        if next <= self.limit || (next > self.proven && kind.credit < 1.0) {
            return false;
        }
        (self.limit, self.near) = (next, 0);
        true
    }

    /// A flow was lost on a connection that had been idle for so long.
    pub fn died(&mut self, now: Micros, age: Micros) {
        self.table.found(age, false);
        if age <= self.proven {
            self.proof = (4 * self.proof).min(PROOF.1);
        }
        self.dead_at = Some((age, now + MEMORY));
        self.limit = self.limit.min((age / 2).max(LEAST));
        (self.proven, self.near) = (0, 0);
    }

    /// The peer told that it closed a connection that had been idle for so long. True if the limit has changed: where
    /// two such tell of the same time-out.
    pub fn told(&mut self, now: Micros, age: Micros, kind: &mut KindLife) -> bool {
        if age < LEAST {
            return false;
        }
        self.table.found(age, false);
        kind.table.found(age, false);
        let last = self.told.replace(age);
        let sharp = last.is_some_and(|last| ((last - age).abs() as f64) < SHARP * age as f64);
        let limit = ((age as f64 * TOLD) as Micros).max(LEAST);
        if !sharp || limit >= self.limit {
            return false;
        }
        self.dead_at = Some((age, now + MEMORY));
        (self.limit, self.near, self.proven) = (limit, 0, self.proven.min(limit));
        true
    }

    /// All of the kind have changed: no more than that until it is proven anew.
    pub fn hold_to(&mut self, limit: Micros) -> bool {
        let less = limit < self.limit;
        if less {
            (self.limit, self.proven, self.near) = (limit.max(LEAST), 0, 0);
        }
        less
    }

    /// Forgets what is old.
    pub fn forget(&mut self, now: Micros) {
        if now - self.table.forgot >= FORGET_EVERY {
            self.table.forget(now);
            if self.dead_at.is_some_and(|(_, until)| now >= until) {
                self.dead_at = None;
                self.proof = (self.proof / 2).max(PROOF.0);
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
        fn each_age_lies_in_its_bucket(age in 1i64..10_000_000_000) {
            let b = bucket(age);
            prop_assert!(edge(b) <= age && (b + 1 == BUCKETS || age <= edge(b + 1)));
        }

        #[test]
        fn the_share_of_the_dead_only_rises(found in proptest::collection::vec((1i64..100_000_000, any::<bool>()), 0..200)) {
            let mut table = Table::new(0);
            found.iter().for_each(|(age, alive)| table.found(*age, *alive));
            let shares: Vec<f64> = table.dead_by_age().into_iter().map(|b| b.1).collect();
            prop_assert!(shares.is_sorted());
        }
    }

    #[test]
    fn a_table_finds_the_age_from_which_on_connections_are_dead() {
        let mut table = Table::new(0);
        assert_eq!(table.safe(), None);
        for i in 1..=400i64 {
            table.found(i * 100_000, i * 100_000 < 20_000_000);
        }
        let safe = table.safe().unwrap();
        assert!((14_000_000..20_000_000).contains(&safe), "{safe}");
        table.forget(36_000_000_000);
        assert_eq!(table.safe(), None, "hours later nothing of it counts");
    }

    #[test]
    fn the_limit_rises_where_it_is_proven_and_falls_at_a_death() {
        let mut kind = KindLife::new(0);
        let mut life = Life::new(0, 10_000_000, 60_000_000);
        (0..7).for_each(|_| assert!(!life.alive(0, 9_000_000, &mut kind)));
        assert!(life.alive(0, 9_000_000, &mut kind) && life.limit() == 12_500_000);
        (0..100).for_each(|_| _ = life.alive(0, 5_000_000, &mut kind));
        assert_eq!(life.limit(), 12_500_000, "ages far below prove nothing");
        life.died(0, 12_000_000);
        kind.died(0, 1, 12_000_000);
        assert_eq!(life.limit(), 6_000_000);
        // Without credit nothing is risked.
        (0..100).for_each(|_| _ = life.alive(0, 5_900_000, &mut kind));
        assert_eq!(life.limit(), 6_000_000);
        // With it, yet not up to an age found dead.
        kind.earn(1_000_000.0, 4e-6);
        for _ in 0..1000 {
            life.alive(0, life.limit() - 1, &mut kind);
        }
        assert_eq!(life.limit(), 10_800_000);
        for _ in 0..1000 {
            life.alive(MEMORY, life.limit() - 1, &mut kind);
        }
        assert_eq!(life.limit(), 60_000_000, "what is long past counts no more");
    }

    #[test]
    fn one_close_that_is_told_says_little_and_two_of_the_same_age_say_all() {
        let mut kind = KindLife::new(0);
        let mut life = Life::new(0, 15_000_000, 60_000_000);
        assert!(!life.told(0, 3_000_000, &mut kind) && !life.told(0, 8_000_000, &mut kind));
        assert!(life.told(0, 8_100_000, &mut kind));
        assert_eq!(life.limit(), 7_290_000);
    }

    #[test]
    fn deaths_at_two_members_are_a_change_at_all() {
        let mut kind = KindLife::new(0);
        assert_eq!(kind.died(0, 1, 9_000_000), None);
        assert_eq!(kind.died(1_000, 1, 9_000_000), None, "the same member");
        assert_eq!(kind.died(2_000, 2, 8_000_000), Some(4_000_000));
        assert_eq!(kind.died(TOGETHER + 3_000, 1, 8_000_000), None, "long after");
        let mut life = Life::new(0, 15_000_000, 60_000_000);
        assert!(life.hold_to(4_000_000) && !life.hold_to(5_000_000));
    }

    /// A peer that drops connections at random, whatever their age: losses stay rare though every age was proven.
    #[test]
    fn where_any_age_may_be_dead_the_limit_backs_off_until_losses_are_rare() {
        use rand::{Rng, SeedableRng};
        let mut random = rand::rngs::SmallRng::seed_from_u64(5);
        let mut kind = KindLife::new(0);
        let mut life = Life::new(0, 15_000_000, 60_000_000);
        let (mut early, mut late) = (0, 0);
        for i in 0..400_000i64 {
            kind.earn(1.0, 4e-6);
            let age = (random.random::<f64>() * life.limit() as f64) as Micros;
            let now = i * 10_000;
            if random.random::<f64>() < age as f64 / 600e6 {
                life.died(now, age);
                kind.died(now, 1, age);
                *(if i < 50_000 { &mut early } else { &mut late }) += 1;
            } else {
                life.alive(now, age, &mut kind);
            }
        }
        assert!(early <= 40 && late <= 40, "{early} and {late} losses");
    }
}
