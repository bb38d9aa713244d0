//! Rates over time as straight lines between points: what a file's [`Rate`] is, cut to a load's time and multiplied by
//! what faults make of it.

use crate::experiment::Rate;
use crate::seconds;
use lapisrudder_model::draw::stream;
use lapisrudder_model::profile::Profile;
use rand_distr::{Distribution, Exp};

/// Points of seconds and rate, times never falling; two points of one time make a jump. Outside it holds the first and
/// the last rate.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Line(Vec<(f64, f64)>);

/// Straight pieces that a wave is drawn with: they differ from it by less than 1 - cos(pi / 64), 0.12% of the swing.
const WAVE_PIECES: f64 = 64.0;
/// Guards memory against a very short wave over a very long run.
const MOST_PIECES: f64 = 1e6;
/// Pieces of a product of two slopes, which is no straight line.
const PRODUCT_PIECES: u32 = 8;

impl Line {
    pub(crate) fn constant(rate: f64) -> Self {
        Self(vec![(0.0, rate)])
    }

    /// As a file says, for a load with that number, until `end` (seconds).
    pub(crate) fn of(rate: &Rate, end: f64, seed: u64, load: usize) -> Self {
        match rate {
            Rate::Steady { per_s } => Self::constant(*per_s),
            Rate::Wave { per_s, swing, period_s } => {
                let step = (period_s / WAVE_PIECES).max(end / MOST_PIECES);
                let pieces = (end / step).ceil() as u64;
                let at = |i: u64| {
                    let t = i as f64 * step;
                    (t, per_s * (1.0 + swing * libm::sin(std::f64::consts::TAU * t / period_s)))
                };
                Self((0..=pieces).map(at).collect())
            }
            Rate::Bursty { per_s, swing, stretch_s } => {
                let mut draws = stream(seed, "bursty", load as u64);
                let Ok(stretch) = Exp::new(1.0 / stretch_s) else { return Self::constant(*per_s) };
                let rate = |high: bool| per_s * if high { 1.0 + swing } else { 1.0 - swing };
                let mut high = rand::Rng::random_bool(&mut draws, 0.5);
                let (mut t, mut points) = (0.0, vec![(0.0, rate(high))]);
                while t < end {
                    t += stretch.sample(&mut draws);
                    points.extend([(t, rate(high)), (t, rate(!high))]);
                    high = !high;
                }
                Self(points)
            }
            Rate::Points { points } => Self(points.clone()),
        }
    }

    /// `before` until a time, then `within`, and `before` again from another time on.
    pub(crate) fn window(from: f64, until: f64, before: f64, within: f64) -> Self {
        Self(vec![(from, before), (from, within), (until, within), (until, before)])
    }

    /// From 0 to a height and back to 0, rising and falling for `ramp`.
    pub(crate) fn hill(from: f64, until: f64, ramp: f64, height: f64) -> Self {
        let ramp = ramp.clamp(0.0, (until - from).max(0.0) / 2.0);
        Self(vec![(from, 0.0), (from + ramp, height), (until - ramp, height), (until, 0.0)])
    }

    /// The rate just after a time, or just before it.
    fn at(&self, t: f64, after: bool) -> f64 {
        let next = self.0.partition_point(|p| if after { p.0 <= t } else { p.0 < t });
        let (Some(&last), Some(&first)) = (self.0.last(), self.0.first()) else { return 0.0 };
        match (next.checked_sub(1).and_then(|i| self.0.get(i)), self.0.get(next)) {
            (Some(a), Some(b)) => a.1 + (b.1 - a.1) * ((t - a.0) / (b.0 - a.0)),
            (Some(_), None) => last.1,
            (None, _) => first.1,
        }
    }

    /// Both multiplied. Where both slope, the product is drawn with a few straight pieces.
    pub(crate) fn times(&self, other: &Self) -> Self {
        let mut times: Vec<f64> = self.0.iter().chain(&other.0).map(|p| p.0).collect();
        times.sort_by(f64::total_cmp);
        times.dedup();
        let both = |t, after| self.at(t, after) * other.at(t, after);
        let flat = |line: &Self, a, b| (line.at(a, true) - line.at(b, false)).abs() < 1e-12;
        let mut points = Vec::new();
        for (i, &t) in times.iter().enumerate() {
            points.extend([(t, both(t, false)), (t, both(t, true))]);
            if let Some(&end) = times.get(i + 1).filter(|end| !flat(self, t, **end) && !flat(other, t, **end))
            {
                let inner =
                    (1..PRODUCT_PIECES).map(|k| t + (end - t) * f64::from(k) / f64::from(PRODUCT_PIECES));
                points.extend(inner.map(|t| (t, both(t, true))));
            }
        }
        Self(points)
    }

    pub(crate) fn scaled(&self, factor: f64) -> Self {
        Self(self.0.iter().map(|p| (p.0, p.1 * factor)).collect())
    }

    /// Its part from a time on, with that time as 0.
    pub(crate) fn shifted(&self, from: f64) -> Self {
        let later = self.0.iter().filter(|p| p.0 > from).map(|p| (p.0 - from, p.1));
        Self(std::iter::once((0.0, self.at(from, true))).chain(later).collect())
    }

    /// As the model draws arrivals from it.
    pub(crate) fn profile(&self) -> Profile {
        Profile::new(self.0.iter().map(|p| (seconds(p.0), p.1)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_multiply_with_their_jumps_and_slopes() {
        let load = Line(vec![(0.0, 100.0), (10.0, 200.0)]).times(&Line::window(2.0, 8.0, 0.0, 1.0));
        let surged = load.times(&Line::window(4.0, 6.0, 1.0, 3.0)).profile();
        for (t, rate) in
            [(0.0, 0.0), (1.9, 0.0), (2.0, 120.0), (3.0, 130.0), (4.0, 420.0), (6.0, 160.0), (8.0, 0.0)]
        {
            assert!((surged.rate(seconds(t)) - rate).abs() < 1e-6, "{t}: {}", surged.rate(seconds(t)));
        }
        let hot = Line(vec![(0.0, 0.0), (10.0, 100.0)]).times(&Line::hill(0.0, 10.0, 5.0, 0.5)).profile();
        assert!((hot.rate(seconds(2.5)) - 25.0 * 0.25).abs() < 1.0, "{}", hot.rate(seconds(2.5)));
    }

    #[test]
    fn waves_and_bursts_keep_their_mean() {
        let wave = Line::of(&Rate::Wave { per_s: 100.0, swing: 0.5, period_s: 5.0 }, 20.0, 1, 0).profile();
        assert!((wave.expected(seconds(20.0)) - 2000.0).abs() < 2.0);
        assert!((wave.rate(seconds(1.25)) - 150.0).abs() < 0.2);
        let rate = Rate::Bursty { per_s: 100.0, swing: 0.8, stretch_s: 0.5 };
        let burst = Line::of(&rate, 500.0, 1, 0);
        // Time at each of two rates is even on average: the deviation of the mean over about 1000 stretches of mean
        // 0.5 s is 0.8 / sqrt(1000) = 2.5%, so 10% is 4 of them.
        let mean = burst.profile().expected(seconds(500.0)) / 500.0;
        assert!((mean - 100.0).abs() < 10.0, "{mean}");
        assert_eq!(burst, Line::of(&rate, 500.0, 1, 0));
        assert_ne!(burst, Line::of(&rate, 500.0, 2, 0));
    }
}
