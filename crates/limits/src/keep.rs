//! What a connection is worth to keep: how likely its next request is to come soon, by what it did up to now.
//!
//! Connections fall into classes: never used, used once, and used often by their usual gap between requests. For
//! each class a life table ([`Hazard`]) learns after how long idle the next request comes. A connection's worth is
//! the probability of a request within `soon`, given its class and how long it has been idle. Where nothing is
//! learnt yet, the settings' times hold.

use crate::Micros;
use crate::hazard::Hazard;
use crate::meter::Meter;
use crate::settings::Keep;

/// Classes of connections: [`UNUSED`], [`ONCE`], and four for those used often.
pub const CLASSES: usize = 6;
/// Never brought a request.
pub const UNUSED: usize = 0;
/// Brought one.
pub const ONCE: usize = 1;
/// Usual gaps up to which each class of those used often goes, but for the last.
const GAPS: [Micros; 3] = [100_000, 400_000, 1_600_000];
/// Hazards (1/s) before anything is learnt, up to the settings' times: about one by the class's gap.
const PRIOR: [f64; CLASSES] = [1.0, 1.0, 14.0, 3.5, 1.0, 0.25];
/// The same for a new connection, in the first fifth of its time: usual clients ask as soon as they are connected.
const PRIOR_NEW: f64 = 20.0;
/// The same beyond them.
const PRIOR_LATER: f64 = 0.05;
/// Worth under which a connection whose time is over is nobody's demand: it goes first, whosever it is.
pub const NEXT_TO_NOTHING: f64 = 0.06;
/// Crossings that are borne at once before early closing backs off.
const CROSSINGS_BORNE: f64 = 3.0;
/// A used one goes before its time only for a newcomer that is worth more than this many times as much.
const MARGIN: f64 = 2.0;
/// Connections that spoke at once and brought a request, taken as seen before any was.
const SPEAKERS: f64 = 8.0;
/// Credit that closes without a crossing can save up.
const CREDIT: f64 = 5.0;
/// After so long without backing off again, the earliest time falls by a half.
const EASE_AFTER: Micros = 30_000_000;

/// Milliseconds of the settings as [`Micros`].
pub(crate) const fn micros(ms: u32) -> Micros {
    ms as Micros * 1000
}

/// The class of one that brought so many requests with this usual gap.
pub fn class(asked: u32, gap: Micros) -> usize {
    match asked {
        0 => UNUSED,
        1 => ONCE,
        _ => 2 + GAPS.iter().filter(|g| gap > **g).count(),
    }
}

/// One that asks for room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Newcomer {
    /// What it is worth.
    pub worth: f64,
    /// It has something to say already.
    pub speaks: bool,
}

/// What connections are worth.
#[derive(Clone, Debug)]
pub struct Worth {
    tables: [Hazard; CLASSES],
    keep: Keep,
    /// How soon the next request must be likely.
    pub(crate) soon: Micros,
    /// The earliest time at which a used one is closed, as it stands after backing off.
    earliest: Micros,
    backed_off: Micros,
    balance: f64,
    /// Connections that spoke at once, lately, and those of them that brought a request.
    spoke: Meter,
    brought: Meter,
    /// Early closes that were watched for a crossing, and those that crossed a request.
    pub watched: u64,
    /// See `watched`.
    pub crossed: u64,
}

fn prior(keep: &Keep, class: usize) -> impl Fn(Micros) -> f64 + use<> {
    // Guards against a fresh node that learns too late that its clients ask once and keep their connections.
    let until = micros(if class == UNUSED { keep.silent_room_ms } else { keep.early_ms });
    move |age| match age {
        _ if age >= until => PRIOR_LATER,
        _ if class == UNUSED && age < until / 5 => PRIOR_NEW,
        _ => PRIOR[class],
    }
}

impl Worth {
    /// Nothing is learnt yet.
    pub fn new(now: Micros, keep: &Keep) -> Worth {
        let table = |class| Hazard::new(now, micros(keep.memory_ms), prior(keep, class));
        Worth {
            tables: std::array::from_fn(table),
            keep: keep.clone(),
            soon: micros(keep.soon_ms),
            earliest: micros(keep.earliest_ms),
            backed_off: now,
            balance: 0.0,
            spoke: Meter::new(now, micros(keep.memory_ms)),
            brought: Meter::new(now, micros(keep.memory_ms)),
            watched: 0,
            crossed: 0,
        }
    }

    /// Other settings; what was learnt stays.
    pub fn reload(&mut self, now: Micros, keep: &Keep) {
        for (class, table) in self.tables.iter_mut().enumerate() {
            table.with_prior(now, micros(keep.memory_ms), prior(keep, class));
        }
        self.keep = keep.clone();
        self.soon = micros(keep.soon_ms);
        self.earliest = micros(keep.earliest_ms);
    }

    /// One of a class was idle between two ages, and then asked, or else was closed or is idle still.
    pub fn observe(&mut self, now: Micros, class: usize, from: Micros, to: Micros, asked: bool) {
        if let Some(table) = self.tables.get_mut(class) {
            table.observe(now, from, to, asked);
        }
    }

    /// Takes up what was learnt lately, and tries earlier closes again some time after backing off.
    pub fn freshen(&mut self, now: Micros) {
        self.tables.iter_mut().for_each(|t| t.freshen(now));
        let least = micros(self.keep.earliest_ms);
        if self.earliest > least && now - self.backed_off > EASE_AFTER {
            self.earliest = (self.earliest / 2).max(least);
            self.backed_off = now;
        }
    }

    /// The probability that one of a class that is idle for so long brings a request soon. A new connection asks
    /// within the time that it has under want, or hardly at all.
    pub fn of(&self, class: usize, age: Micros) -> f64 {
        let soon = if class == UNUSED { micros(self.keep.silent_room_ms) } else { self.soon };
        self.tables.get(class).map_or(0.0, |t| t.within(age, soon))
    }

    /// One that spoke at once brought a request, or else it went without one.
    pub fn spoke(&mut self, now: Micros, brought: bool) {
        self.spoke.add(now, 1.0);
        self.brought.add(now, f64::from(u8::from(brought)));
    }

    /// What a newcomer is worth.
    pub fn newcomer(&self, now: Micros, speaks: bool) -> f64 {
        match speaks {
            true => (self.brought.lately(now) + SPEAKERS) / (self.spoke.lately(now) + SPEAKERS),
            false => self.of(UNUSED, 0),
        }
    }

    /// From this age on, one of a class makes room whatever was learnt.
    pub fn room_after(&self, class: usize) -> Micros {
        micros(if class == UNUSED { self.keep.silent_room_ms } else { self.keep.used_room_ms })
    }

    /// From this age on, a used one goes early under want of the clients' room, whatever was learnt of its age: the
    /// settings' time while there is room, the earliest time when all of it is taken. Guards a fresh node whose room
    /// is taken in one instant by clients that waited for it: it has learnt nothing, and nobody else gets in.
    pub fn early_after(&self, taken: f64) -> Micros {
        let early = micros(self.keep.early_ms).max(self.earliest);
        early - ((early - self.earliest) as f64 * self.too_little(taken)) as Micros
    }

    /// The earliest age at which what is learnt may end one of a class.
    pub fn earliest(&self, class: usize) -> Micros {
        if class == UNUSED { micros(self.keep.silent_earliest_ms) } else { self.earliest }
    }

    /// From this age on, one of a class is closed though there is room.
    pub fn close_after(&self, class: usize) -> Micros {
        micros(if class == UNUSED { self.keep.silent_close_ms } else { self.keep.idle_close_ms })
    }

    /// Whether one of a class may make room for a newcomer; gives its own worth if so. Those that `probe` what would
    /// be stay until the settings' time.
    pub fn may_go(
        &self,
        now: Micros,
        class: usize,
        age: Micros,
        probe: bool,
        newcomer: Newcomer,
    ) -> Option<f64> {
        let worth = self.of(class, age);
        if age >= self.room_after(class) {
            return Some(worth);
        }
        let learnt = !probe && age >= self.earliest(class) && self.is_learnt(now, class, age);
        let less = match class {
            UNUSED => worth < newcomer.worth,
            _ => newcomer.speaks && worth * MARGIN < newcomer.worth,
        };
        (learnt && less).then_some(worth)
    }

    /// Enough was seen of the class at this age.
    pub fn is_learnt(&self, now: Micros, class: usize, age: Micros) -> bool {
        self.tables.get(class).is_some_and(|t| t.is_learnt(now, age))
    }

    /// What worth is too little, while so large a share of the clients' room is taken by used connections: 0 up to
    /// the settings' share, rising with what is left above it, 1 when all is taken.
    pub fn too_little(&self, taken: f64) -> f64 {
        let above = (taken - self.keep.early_from) / (1.0 - self.keep.early_from).max(1e-9);
        above.clamp(0.0, 1.0)
    }

    /// An early close was watched for a request that crosses it.
    pub fn closed(&mut self) {
        self.watched += 1;
        self.balance = (self.balance + self.keep.crossing_most).min(CREDIT);
    }

    /// An early close crossed a request. Guards their share: once they exceed it, the earliest time doubles.
    pub fn crossing(&mut self, now: Micros) {
        self.crossed += 1;
        self.balance -= 1.0;
        if self.balance < -CROSSINGS_BORNE {
            let most = micros(self.keep.idle_close_ms);
            self.earliest = (2 * self.earliest).clamp(1000, most.max(1000));
            self.backed_off = now;
            self.balance = 0.0;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPEAKS: Newcomer = Newcomer { worth: 1.0, speaks: true };

    #[test]
    fn the_settings_times_hold_until_something_is_learnt() {
        let mut worth = Worth::new(0, &Keep::default());
        for (class, age, goes) in [
            (UNUSED, 99_999, false),
            (UNUSED, 100_000, true),
            (ONCE, 1_999_999, false),
            (ONCE, 2_000_000, true),
            (5, 1_999_999, false),
        ] {
            assert_eq!(worth.may_go(0, class, age, false, SPEAKS).is_some(), goes, "{class} at {age}");
        }
        // Those used once never ask again: seen for a while, they go at the earliest time.
        for i in 0..100 {
            worth.observe(i * 10_000, ONCE, 0, 1_000_000, false);
        }
        worth.freshen(2_000_000);
        let goes = |age, probe| worth.may_go(2_000_000, ONCE, age, probe, SPEAKS).is_some();
        assert!(goes(100_000, false) && !goes(99_999, false));
        let silent = Newcomer { worth: 0.9, speaks: false };
        assert_eq!(
            worth.may_go(2_000_000, ONCE, 500_000, false, silent),
            None,
            "not for one that says nothing"
        );
        assert!(!goes(1_000_000, true), "one that probes stays for the settings' time");
        assert!(
            worth.may_go(2_000_000, 3, 500_000, false, SPEAKS).is_none(),
            "of others nothing is learnt by that"
        );
    }

    #[test]
    fn crossings_beyond_their_share_put_the_earliest_time_up_and_quiet_puts_it_down() {
        let mut worth = Worth::new(0, &Keep::default());
        // Half of all closes cross while closing is that early: it must back off altogether.
        for now in 0..40 {
            worth.closed();
            worth.crossing(now);
        }
        assert_eq!(worth.earliest(ONCE), 2_050_000, "nothing is closed early any more");
        assert!(worth.crossed <= 40);
        for i in 0..10 {
            worth.freshen(40_000_000 * (i + 1));
        }
        assert_eq!(worth.earliest(ONCE), 100_000);
        assert_eq!(worth.earliest(UNUSED), 20_000, "those never used are no matter of crossings");
    }

    #[test]
    fn a_newcomer_that_speaks_is_worth_more_than_any_silent_one() {
        let mut worth = Worth::new(0, &Keep::default());
        for i in 0..1000 {
            // One in ten asks, within a few ms; the rest never does.
            worth.observe(i * 1000, UNUSED, 0, if i % 10 == 0 { 3_000 } else { 100_000 }, i % 10 == 0);
        }
        worth.freshen(2_000_000);
        assert_eq!(worth.newcomer(2_000_000, true), 1.0);
        let (new, old) = (worth.newcomer(2_000_000, false), worth.of(UNUSED, 30_000));
        assert!((0.05..0.2).contains(&new) && old < NEXT_TO_NOTHING, "{new} {old}");
        // A flood of half commands speaks, and brings no request.
        (0..200).for_each(|i| worth.spoke(2_000_000 + i, i % 10 == 0));
        assert!(worth.newcomer(2_100_000, true) < 0.2);
    }
}
