//! Overload: who is turned away near the intake's limit, and when to come again.
//!
//! - *Rank.* A request's score is what it is worth for the time that it takes a place: worth times the probability
//!   of an answer in time, by the time that it will hold the place, both by its class's learnt times. Beyond the
//!   knee those in the lowest part of lately seen scores are turned away; the part rises to all of them at the
//!   limit. (Admission by quantile: DAGOR, Zhou et al. 2018, with scores in place of fixed priorities.)
//! - *Come again.* Those told within the last while are spread over the time in which the node serves as many:
//!   so those who obey come back no faster than they can be served.

use crate::Micros;
use crate::flights::{CLASSES, Flight};
use crate::hazard::Hazard;
use crate::keep_alive::micros;
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

/// What is learnt of requests, and whom to turn away.
pub(crate) struct Overload {
    settings: settings::Overload,
    times: [Hazard; CLASSES],
    scores: [f64; SCORES],
    told: Meter,
    ends: Meter,
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
    }

    /// What one of a class that has so much time left is worth, and for how long it will hold its place, in seconds.
    fn outlook(&self, class: usize, left: Micros, worth: f64) -> (f64, f64) {
        let Some(times) = self.times.get(class.min(CLASSES - 1)) else { return (0.0, 1.0) };
        let left = left.max(1);
        (worth * times.within(0, left), times.lasts(0, left) as f64 / 1e6)
    }

    /// Whether a newcomer is among the least worth, while so large a share of the places is taken. Also counts its
    /// score among those seen.
    pub(crate) fn is_least(&mut self, class: usize, left: Micros, worth: f64, taken: f64) -> bool {
        let (worth, holds) = self.outlook(class, left, worth);
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
}

#[cfg(test)]
mod tests {
    use super::*;

    fn overload() -> Overload {
        Overload::new(0, &settings::Overload::default(), 5)
    }

    fn flight(class: usize, began: Micros) -> Flight {
        Flight { holder: 0, known: false, lent: false, class, began, bytes: 0, sent: None }
    }

    /// Class 0 takes 20 ms, class 1 takes 800 ms; 100 of each a second.
    fn taught() -> Overload {
        let mut overload = overload();
        for i in 0..1000 {
            let now = 1_000_000 + i * 10_000;
            overload.ended(now, &flight(0, now - 20_000), true);
            overload.ended(now, &flight(1, now - 800_000), true);
        }
        overload
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
}
