//! Estimates how likely an idle client connection is to be used again soon, to decide which connections to
//! keep.
//!
//! Connections fall into classes: never used, used once, and used more often, by the moving average of their
//! gaps between requests. For each class a life table ([`HazardRate`]) learns after how much idle time the
//! next request comes. A connection's *worth* is the probability of a request within the `horizon`, given its
//! class and how long it has been idle. Until enough is learnt, the fixed times of the settings apply.

use crate::Micros;
use crate::hazard_rate::HazardRate;
use crate::meter::Meter;
use crate::settings::KeepAliveSettings;

/// Number of classes: [`UNUSED`], [`ONCE`], and four for connections used more often.
pub const CLASSES: usize = 6;
/// Class of connections that never brought a request.
pub const UNUSED: usize = 0;
/// Class of connections that brought one request.
pub const ONCE: usize = 1;
/// Upper bounds of the average gap in the classes used more often; the last class has none.
const GAPS: [Micros; 3] = [100_000, 400_000, 1_600_000];
/// Prior hazard rate (1/s) of each class, up to the time in the settings: about the inverse of the class's
/// gap.
const PRIOR: [f64; CLASSES] = [1.0, 1.0, 14.0, 3.5, 1.0, 0.25];
/// The same for new connections, in the first fifth of that time: most clients send a request as soon as they
/// are connected.
const PRIOR_NEW: f64 = 20.0;
/// The same beyond the time in the settings.
const PRIOR_LATER: f64 = 0.05;
/// A connection past its time with a lower worth is evicted first, whichever source it belongs to: its client
/// is unlikely to miss it.
pub const NEGLIGIBLE: f64 = 0.06;
/// Number of crossings in debt that are tolerated before early closing backs off.
const TOLERATED_CROSSINGS: f64 = 3.0;
/// A used connection is evicted before its time only for a newcomer that is worth more than this many times
/// as much.
const WORTH_RATIO: f64 = 2.0;
/// Prior of [`ReuseEstimator::newcomer_worth`]: this many newcomers with input that brought a request.
const PRIOR_NEWCOMERS: f64 = 8.0;
/// Maximum credit that closes without a crossing add up to, in crossings.
const MAX_CREDIT: f64 = 5.0;
/// When early closing has not backed off for this long, the earliest time is halved again.
const EASE_INTERVAL: Micros = 30_000_000;

/// Converts milliseconds of the settings to [`Micros`].
pub(crate) const fn micros(ms: u32) -> Micros {
    ms as Micros * 1000
}

/// The class of a connection with this many requests and this average gap.
pub fn class(requests: u32, gap: Micros) -> usize {
    match requests {
        0 => UNUSED,
        1 => ONCE,
        _ => 2 + GAPS.iter().filter(|g| gap > **g).count(),
    }
}

/// A new connection that needs a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Newcomer {
    /// The probability that it brings a request soon.
    pub worth: f64,
    /// Input has arrived on it already.
    pub has_input: bool,
}

/// Learns when requests come on idle connections, and estimates the worth of connections by that.
#[derive(Clone, Debug)]
pub struct ReuseEstimator {
    tables: [HazardRate; CLASSES],
    keep: KeepAliveSettings,
    /// A connection's worth is the probability of a request within this time.
    pub(crate) horizon: Micros,
    /// Earliest idle time after which a used connection is closed, raised by backing off.
    earliest: Micros,
    /// When `earliest` was last raised or lowered again.
    backed_off: Micros,
    /// Allowance for crossings: each watched close adds the allowed share, and each crossing takes 1.
    credit: f64,
    /// Newcomers that had input when they were accepted, lately, and those of them that brought a request.
    newcomers: Meter,
    with_request: Meter,
    /// Number of early closes that were watched for a request that crosses them.
    pub watched: u64,
    /// Number of those that a request crossed.
    pub crossed: u64,
}

fn prior(keep: &KeepAliveSettings, class: usize) -> impl Fn(Micros) -> f64 + use<> {
    // The prior falls to nearly none after this time. Otherwise a fresh node would learn too late that its
    // clients send one request each and then keep their connections open.
    let until = micros(if class == UNUSED { keep.silent_room_ms } else { keep.early_ms });
    move |age| match age {
        _ if age >= until => PRIOR_LATER,
        _ if class == UNUSED && age < until / 5 => PRIOR_NEW,
        _ => PRIOR[class],
    }
}

impl ReuseEstimator {
    /// Starts with the priors.
    pub fn new(now: Micros, keep: &KeepAliveSettings) -> ReuseEstimator {
        let table = |class| HazardRate::new(now, micros(keep.memory_ms), prior(keep, class));
        ReuseEstimator {
            tables: std::array::from_fn(table),
            keep: keep.clone(),
            horizon: micros(keep.soon_ms),
            earliest: micros(keep.earliest_ms),
            backed_off: now,
            credit: 0.0,
            newcomers: Meter::new(now, micros(keep.memory_ms)),
            with_request: Meter::new(now, micros(keep.memory_ms)),
            watched: 0,
            crossed: 0,
        }
    }

    /// Applies new settings; what was learnt stays.
    pub fn reload(&mut self, now: Micros, keep: &KeepAliveSettings) {
        for (class, table) in self.tables.iter_mut().enumerate() {
            table.set_prior(now, micros(keep.memory_ms), prior(keep, class));
        }
        self.keep = keep.clone();
        self.horizon = micros(keep.soon_ms);
        self.earliest = micros(keep.earliest_ms);
    }

    /// Records that a connection of a class was idle from one age to another, and then brought a request
    /// (`had_request`), or else was closed or is still idle.
    pub fn observe(&mut self, now: Micros, class: usize, from: Micros, to: Micros, had_request: bool) {
        if let Some(table) = self.tables.get_mut(class) {
            table.observe(now, from, to, had_request);
        }
    }

    /// Updates the estimates, and halves the earliest time again some time after backing off.
    pub fn refresh(&mut self, now: Micros) {
        self.tables.iter_mut().for_each(|t| t.refresh_if_due(now));
        let shortest = micros(self.keep.earliest_ms);
        if self.earliest > shortest && now - self.backed_off > EASE_INTERVAL {
            self.earliest = (self.earliest / 2).max(shortest);
            self.backed_off = now;
        }
    }

    /// The probability that a connection of a class that has been idle for `age` brings a request soon. For a
    /// new connection the horizon is `silent_room_ms`: it brings a request in that time, or hardly ever.
    pub fn worth(&self, class: usize, age: Micros) -> f64 {
        let horizon = if class == UNUSED { micros(self.keep.silent_room_ms) } else { self.horizon };
        self.tables.get(class).map_or(0.0, |t| t.probability_within(age, horizon))
    }

    /// A newcomer with input when it was accepted has brought a request, or was closed without one.
    pub fn record_first_input(&mut self, now: Micros, had_request: bool) {
        self.newcomers.add(now, 1.0);
        self.with_request.add(now, f64::from(u8::from(had_request)));
    }

    /// The worth of a newcomer.
    pub fn newcomer_worth(&self, now: Micros, has_input: bool) -> f64 {
        match has_input {
            true => {
                (self.with_request.decayed_count(now) + PRIOR_NEWCOMERS)
                    / (self.newcomers.decayed_count(now) + PRIOR_NEWCOMERS)
            }
            false => self.worth(UNUSED, 0),
        }
    }

    /// From this idle time on, a connection of a class may be evicted, whatever was learnt.
    pub fn evictable_after(&self, class: usize) -> Micros {
        micros(if class == UNUSED { self.keep.silent_room_ms } else { self.keep.used_room_ms })
    }

    /// From this idle time on, a used connection may be closed early even if nothing is learnt about its age:
    /// `early_ms` while connections are left in the clients' limit, falling to the earliest time as used
    /// connections take all of it (`taken`, their share). A fresh node has learnt nothing, and clients that
    /// waited for it may take all connections in an instant: with `early_ms` throughout, no other client
    /// would get one for that long.
    pub fn early_close_after(&self, taken: f64) -> Micros {
        let early = micros(self.keep.early_ms).max(self.earliest);
        early - ((early - self.earliest) as f64 * self.worth_threshold(taken)) as Micros
    }

    /// Earliest idle time after which a connection of a class is closed for what is learnt.
    pub fn earliest(&self, class: usize) -> Micros {
        if class == UNUSED { micros(self.keep.silent_earliest_ms) } else { self.earliest }
    }

    /// From this idle time on, a connection of a class is closed even though slots are free.
    pub fn close_after(&self, class: usize) -> Micros {
        micros(if class == UNUSED { self.keep.silent_close_ms } else { self.keep.idle_close_ms })
    }

    /// The worth of a connection, if it may be evicted for a newcomer. A `probe` may be evicted only from the
    /// time in the settings on.
    pub fn evictable(
        &self,
        now: Micros,
        class: usize,
        age: Micros,
        probe: bool,
        newcomer: Newcomer,
    ) -> Option<f64> {
        let worth = self.worth(class, age);
        if age >= self.evictable_after(class) {
            return Some(worth);
        }
        let learnt = !probe && age >= self.earliest(class) && self.is_learnt(now, class, age);
        let worth_less = match class {
            UNUSED => worth < newcomer.worth,
            _ => newcomer.has_input && worth * WORTH_RATIO < newcomer.worth,
        };
        (learnt && worth_less).then_some(worth)
    }

    /// Whether enough was observed of the class at this age.
    pub fn is_learnt(&self, now: Micros, class: usize, age: Micros) -> bool {
        self.tables.get(class).is_some_and(|t| t.is_learnt(now, age))
    }

    /// Worth below which a used connection is closed early, while used connections take this share of the
    /// clients' limit: 0 up to the share `early_from` of the settings, rising to 1 where all is taken.
    pub fn worth_threshold(&self, taken: f64) -> f64 {
        let above = (taken - self.keep.early_from) / (1.0 - self.keep.early_from).max(1e-9);
        above.clamp(0.0, 1.0)
    }

    /// An early close was watched for a crossing request, to its end.
    pub fn on_watched_close(&mut self) {
        self.watched += 1;
        self.credit = (self.credit + self.keep.crossing_most).min(MAX_CREDIT);
    }

    /// An early close crossed a request. Once crossings exceed their allowed share of closes, the earliest
    /// time is doubled.
    pub fn on_crossing(&mut self, now: Micros) {
        self.crossed += 1;
        self.credit -= 1.0;
        if self.credit < -TOLERATED_CROSSINGS {
            let longest = micros(self.keep.idle_close_ms);
            self.earliest = (2 * self.earliest).clamp(1000, longest.max(1000));
            self.backed_off = now;
            self.credit = 0.0;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WITH_INPUT: Newcomer = Newcomer { worth: 1.0, has_input: true };

    #[test]
    fn the_times_of_the_settings_apply_until_enough_is_learnt() {
        let mut worth = ReuseEstimator::new(0, &KeepAliveSettings::default());
        for (class, age, goes) in [
            (UNUSED, 99_999, false),
            (UNUSED, 100_000, true),
            (ONCE, 1_999_999, false),
            (ONCE, 2_000_000, true),
            (5, 1_999_999, false),
        ] {
            assert_eq!(worth.evictable(0, class, age, false, WITH_INPUT).is_some(), goes, "{class} at {age}");
        }
        // Connections used once bring no further request here: once that is learnt, they are evicted at the
        // earliest time.
        for i in 0..100 {
            worth.observe(i * 10_000, ONCE, 0, 1_000_000, false);
        }
        worth.refresh(2_000_000);
        let goes = |age, probe| worth.evictable(2_000_000, ONCE, age, probe, WITH_INPUT).is_some();
        assert!(goes(100_000, false) && !goes(99_999, false));
        let silent = Newcomer { worth: 0.9, has_input: false };
        assert_eq!(
            worth.evictable(2_000_000, ONCE, 500_000, false, silent),
            None,
            "not for a newcomer without input"
        );
        assert!(!goes(1_000_000, true), "a probe stays for the time in the settings");
        assert!(
            worth.evictable(2_000_000, 3, 500_000, false, WITH_INPUT).is_none(),
            "other classes have learnt nothing"
        );
    }

    #[test]
    fn too_many_crossings_raise_the_earliest_time_and_a_quiet_time_lowers_it() {
        let mut worth = ReuseEstimator::new(0, &KeepAliveSettings::default());
        // All early closes are crossed by a request: early closing must back off altogether.
        for now in 0..40 {
            worth.on_watched_close();
            worth.on_crossing(now);
        }
        assert_eq!(worth.earliest(ONCE), 2_050_000, "nothing is closed early any more");
        assert!(worth.crossed <= 40);
        for i in 0..10 {
            worth.refresh(40_000_000 * (i + 1));
        }
        assert_eq!(worth.earliest(ONCE), 100_000);
        assert_eq!(worth.earliest(UNUSED), 20_000, "crossings do not change the time of unused connections");
    }

    #[test]
    fn a_newcomer_with_input_is_worth_more_than_one_without() {
        let mut worth = ReuseEstimator::new(0, &KeepAliveSettings::default());
        for i in 0..1000 {
            // One in ten brings a request, within 3 ms; the rest never does.
            worth.observe(i * 1000, UNUSED, 0, if i % 10 == 0 { 3_000 } else { 100_000 }, i % 10 == 0);
        }
        worth.refresh(2_000_000);
        assert_eq!(worth.newcomer_worth(2_000_000, true), 1.0);
        let (new, old) = (worth.newcomer_worth(2_000_000, false), worth.worth(UNUSED, 30_000));
        assert!((0.05..0.2).contains(&new) && old < NEGLIGIBLE, "{new} {old}");
        // A flood of incomplete commands has input, but brings no requests.
        (0..200).for_each(|i| worth.record_first_input(2_000_000 + i, i % 10 == 0));
        assert!(worth.newcomer_worth(2_100_000, true) < 0.2);
    }
}
