//! Overload: who is turned away near the intake's limit, when to come again, and what in hand is past use.
//!
//! - *Rank.* A request's score is what it is worth for the time that it takes a place: worth times the probability
//!   of an answer in time, by the time that it will hold the place, both by its class's learnt times. Beyond the
//!   knee those in the lowest part of lately seen scores are turned away; the part rises to all of them at the
//!   limit. (Admission by quantile: DAGOR, Zhou et al. 2018, with scores in place of fixed priorities.)
//! - *Come again.* Those told within the last while are spread over the time in which the node serves as many:
//!   so those who obey come back no faster than they can be served.
//! - *Past use.* By Little's law and Erlang's loss formula: from how many requests end a second, how long they take
//!   and how many places there are follows how many find no place, and how many more one place more would serve. A
//!   request in hand that is worth less than what its place would earn in the time that it will still hold it is
//!   given up.

use crate::Micros;
use crate::flights::{CLASSES, Flight};
use crate::hazard::Hazard;
use crate::keep::micros;
use crate::meter::Meter;
use crate::settings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Scores in classes of a quarter octave.
const SCORES: usize = 96;
/// After so many, what was seen of scores counts half.
const HALVE: f64 = 2048.0;
/// Answers a second before anything is learnt (1/s): 0.1 s each.
const PRIOR: f64 = 10.0;
const MEMORY: Micros = 30_000_000;
/// Over so long are rates taken.
const LATELY: Micros = 5_000_000;
/// Beyond so many places the loss formula gives way to its limit: none are lost below, all that is above.
const MANY: usize = 1024;

/// What is learnt of requests, and whom to turn away.
pub(crate) struct Overload {
    settings: settings::Overload,
    times: [Hazard; CLASSES],
    scores: [f64; SCORES],
    told: Meter,
    ends: Meter,
    /// Mean time in hand, in seconds, and mean worth that came of it.
    took: f64,
    earned: f64,
    random: SmallRng,
}

impl Overload {
    pub(crate) fn new(now: Micros, settings: &settings::Overload, seed: u64) -> Overload {
        Overload {
            settings: settings.clone(),
            times: std::array::from_fn(|_| Hazard::new(now, MEMORY, |_| PRIOR)),
            scores: [0.0; SCORES],
            told: Meter::new(now, micros(settings.again_most_ms)),
            ends: Meter::new(now, LATELY),
            took: 1.0 / PRIOR,
            earned: 0.0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn reload(&mut self, now: Micros, settings: &settings::Overload) {
        self.told = Meter::new(now, micros(settings.again_most_ms));
        self.settings = settings.clone();
    }

    /// A request of a class is over after so long.
    pub(crate) fn ended(&mut self, now: Micros, flight: &Flight, served: bool) {
        let took = (now - flight.began).max(0);
        if let Some(times) = self.times.get_mut(flight.class) {
            times.observe(now, 0, took, served);
        }
        self.ends.add(now, 1.0);
        self.took += 0.02 * (took as f64 / 1e6 - self.took);
        self.earned += 0.02 * (if served { flight.worth } else { 0.0 } - self.earned);
    }

    /// A request was given up. It counts with the time that it would have held its place: else the jam would seem
    /// over as soon as some are given up, and come back as soon as none are.
    pub(crate) fn gave_up(&mut self, now: Micros, flight: &Flight) {
        let age = (now - flight.began).max(0);
        let (_, holds) = self.outlook(flight.class, age, flight.due - now, flight.worth);
        if let Some(times) = self.times.get_mut(flight.class) {
            times.observe(now, 0, age, false);
        }
        self.ends.add(now, 1.0);
        self.took += 0.02 * (age as f64 / 1e6 + holds - self.took);
        self.earned -= 0.02 * self.earned;
    }

    /// What one of a class that is this old and has so much time left is worth, and for how long it will hold its
    /// place, in seconds.
    fn outlook(&self, class: usize, age: Micros, left: Micros, worth: f64) -> (f64, f64) {
        let Some(times) = self.times.get(class.min(CLASSES - 1)) else { return (0.0, 1.0) };
        let left = left.max(1);
        (worth * times.within(age, left), times.lasts(age, left) as f64 / 1e6)
    }

    /// Whether a newcomer is among the least worth, while so large a share of the places is taken. Also counts its
    /// score among those seen.
    pub(crate) fn is_least(&mut self, class: usize, left: Micros, worth: f64, taken: f64) -> bool {
        let (worth, holds) = self.outlook(class, 0, left, worth);
        let score = (worth.max(1e-9) / holds.max(1e-6)).log2() * 4.0 + SCORES as f64 / 2.0;
        let at = (score.max(0.0) as usize).min(SCORES - 1);
        let all: f64 = self.scores.iter().sum();
        // Equal ones are told apart by lot, so that a part of them can be turned away.
        let below: f64 =
            self.scores[..at].iter().sum::<f64>() + self.random.random::<f64>() * self.scores[at];
        let rank = if all > 0.0 { below / all } else { 0.0 };
        self.scores[at] += 1.0;
        if all > HALVE {
            self.scores.iter_mut().for_each(|s| *s /= 2.0);
        }
        let knee = self.settings.knee;
        let part = (taken - knee) / (1.0 - knee).max(1e-9);
        taken > knee && rank < part
    }

    /// One is told to come again: after how many milliseconds.
    pub(crate) fn retry_ms(&mut self, now: Micros) -> u32 {
        self.told.add(now, 1.0);
        let (least, most) = (self.settings.again_least_ms, self.settings.again_most_ms);
        // Guards against all coming back at once while nothing ends: some pace is assumed all the same.
        let pace = self.ends.per_s(now).max(1.0);
        let spread = (self.told.lately(now) / pace * 1000.0).min(f64::from(most - least));
        (least + (spread * self.random.random::<f64>()) as u32).max(1)
    }

    /// What one place earns in a second, if it becomes free; nothing while all find one.
    pub(crate) fn place_earns(&self, now: Micros, places: usize) -> f64 {
        let little = Little { per_s: self.ends.per_s(now), took: self.took, places };
        little.one_more_serves() * self.earned
    }

    /// A request in hand is worth less than its place.
    pub(crate) fn is_past_use(&self, now: Micros, flight: &Flight, place_earns: f64) -> bool {
        let (worth, holds) = self.outlook(flight.class, now - flight.began, flight.due - now, flight.worth);
        worth < holds * place_earns
    }
}

/// How busy places are, by Little's law: requests that end a second, seconds that one takes, and places.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Little {
    pub(crate) per_s: f64,
    pub(crate) took: f64,
    pub(crate) places: usize,
}

/// Erlang's loss formula: the part of arrivals that finds all places taken, at so much offered, with one place less
/// and with all of them.
fn lost(offered: f64, places: usize) -> (f64, f64) {
    if places > MANY {
        let part = (1.0 - places as f64 / offered.max(1e-9)).max(0.0);
        return ((1.0 - (places - 1) as f64 / offered.max(1e-9)).max(0.0), part);
    }
    let step = |b: f64, n: usize| offered * b / (n as f64 + offered * b);
    let less = (1..places).fold(1.0, step);
    (less, step(less, places.max(1)))
}

impl Little {
    /// What is offered, in places: `carried = offered * (1 - lost)` solved for it.
    fn offered(&self) -> f64 {
        let places = self.places as f64;
        // Guards against what cannot be told apart: near the number of places any large offer carries as much.
        let carried = (self.per_s * self.took).min(0.98 * places);
        let (mut low, mut high) = (carried, 4.0 * places + carried);
        for _ in 0..24 {
            let mid = (low + high) / 2.0;
            if mid * (1.0 - lost(mid, self.places).1) < carried { low = mid } else { high = mid }
        }
        (low + high) / 2.0
    }

    /// Requests a second that one more place would serve.
    pub(crate) fn one_more_serves(&self) -> f64 {
        if self.places == 0 || self.took <= 0.0 {
            return 0.0;
        }
        let offered = self.offered();
        let (less, all) = lost(offered, self.places);
        (offered / self.took * (less - all)).max(0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn overload() -> Overload {
        Overload::new(0, &settings::Overload::default(), 5)
    }

    fn flight(class: usize, began: Micros, due: Micros, worth: f64) -> Flight {
        Flight { holder: 0, known: false, lent: false, class, began, due, worth, bytes: 0, sent: None }
    }

    /// Class 0 takes 20 ms, class 1 takes 800 ms; 100 of each a second.
    fn taught() -> Overload {
        let mut overload = overload();
        for i in 0..1000 {
            let now = 1_000_000 + i * 10_000;
            overload.ended(now, &flight(0, now - 20_000, now, 5.0), true);
            overload.ended(now, &flight(1, now - 800_000, now, 5.0), true);
        }
        overload
    }

    #[test]
    fn erlangs_formula_has_its_known_values() {
        // Tables of the loss formula: 10 places, 5 erlangs; 100 places, 100 erlangs.
        for (offered, places, part) in [(5.0, 10, 0.018_385), (100.0, 100, 0.075_700)] {
            assert!((lost(offered, places).1 - part).abs() < 1e-5, "{:?}", lost(offered, places));
        }
        let busy = Little { per_s: 300.0, took: 0.42, places: 128 };
        let calm = Little { per_s: 100.0, took: 0.42, places: 128 };
        assert!(busy.one_more_serves() > 1.0, "{}", busy.one_more_serves());
        assert!(calm.one_more_serves() < 1e-6, "{}", calm.one_more_serves());
    }

    #[test]
    fn near_the_limit_those_worth_least_for_their_time_go_first() {
        let mut overload = taught();
        let mut turned = [0, 0];
        for i in 0..4000 {
            let class = i % 2;
            turned[class] += usize::from(overload.is_least(class, 2_000_000, 5.0, 0.94));
        }
        assert!(turned[1] > 1500 && turned[0] < 50, "40% of all, of those that take long: {turned:?}");
        assert!((0..100).all(|_| !overload.is_least(1, 2_000_000, 5.0, 0.9)), "none below the knee");
        let none_left = (0..1000).filter(|_| overload.is_least(0, 100, 5.0, 0.94)).count();
        assert!(none_left > 900, "{none_left}: no time left, so not worth a place");
    }

    #[test]
    fn those_told_come_again_no_faster_than_they_can_be_served() {
        let mut overload = taught(); // 200 end a second
        let now = 11_000_000;
        let few: Vec<u32> = (0..5).map(|_| overload.retry_ms(now)).collect();
        assert!(few.iter().all(|ms| (50..=80).contains(ms)), "{few:?}");
        let mut many: Vec<u32> = (0..200).map(|_| overload.retry_ms(now)).collect();
        many.sort_unstable();
        assert!(many[180] > 300 && many[199] <= 1100, "{many:?}");
        (0..10_000).for_each(|_| {
            overload.retry_ms(now);
        });
        let late: Vec<u32> = (0..1000).map(|_| overload.retry_ms(now)).collect();
        let first = late.iter().filter(|ms| **ms < 1025).count();
        assert!((400..600).contains(&first), "evenly over all of the time that may be told: {first}");
    }

    #[test]
    fn one_that_will_be_late_is_worth_less_than_what_its_place_could_serve() {
        let overload = taught();
        let now = 11_000_000;
        let (slow, fresh) =
            (flight(1, now - 200_000, now + 100_000, 5.0), flight(0, now, now + 500_000, 5.0));
        // 200 a second at 0.41 s each fill 82 places: with 84 they are short, with 200 they are not.
        let short = overload.place_earns(now, 84);
        assert!(short > 1.0, "{short}");
        assert!(overload.is_past_use(now, &slow, short) && !overload.is_past_use(now, &fresh, short));
        assert!(!overload.is_past_use(now, &slow, overload.place_earns(now, 200)));
    }
}
