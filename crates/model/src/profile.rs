//! Request rates over time: steps, ramps, bursts and daily cycles, as piecewise linear functions.

use crate::Micros;

/// Requests per second over time. The rate is linear between points and jumps where two points have the same
/// time. Before the first point and after the last it is constant.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Times in seconds, in non-decreasing order, and rates per second.
    points: Vec<(f64, f64)>,
    /// Expected arrivals from time 0 to each point.
    before: Vec<f64>,
}

/// Linear pieces per day. They differ from the cosine by less than 1 - cos(pi / 96), which is 0.06 %.
const DAY_PIECES: u32 = 96;

fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

impl Profile {
    /// A profile from points of time and rate. Points are sorted by time; points with the same time keep
    /// their order. A rate below 0 counts as 0.
    pub fn new(points: impl IntoIterator<Item = (Micros, f64)>) -> Self {
        let mut sorted: Vec<(Micros, f64)> = points.into_iter().map(|(at, rate)| (at.max(0), rate)).collect();
        sorted.sort_by_key(|point| point.0);
        Self::of(sorted.into_iter().map(|(at, rate)| (seconds(at), rate)).collect())
    }

    fn of(mut points: Vec<(f64, f64)>) -> Self {
        for point in &mut points {
            point.1 = if point.1.is_finite() { point.1.max(0.0) } else { 0.0 };
        }
        let first = points.first().map_or(0.0, |point| point.1);
        if points.first().is_none_or(|point| point.0 > 0.0) {
            points.insert(0, (0.0, first));
        }
        let mut total = 0.0;
        let mut before = vec![0.0];
        for pair in points.windows(2) {
            total += (pair[1].0 - pair[0].0) * (pair[0].1 + pair[1].1) / 2.0;
            before.push(total);
        }
        Self { points, before }
    }

    /// A constant rate.
    pub fn constant(rate: f64) -> Self {
        Self::new([(0, rate)])
    }

    /// A step function: at each step's time the rate jumps to the step's rate. Before the first step it is 0.
    pub fn steps(steps: &[(Micros, f64)]) -> Self {
        let mut points = vec![(0, 0.0)];
        let mut last = 0.0;
        for &(at, rate) in steps {
            points.extend([(at, last), (at, rate)]);
            last = rate;
        }
        Self::new(points)
    }

    /// A constant rate between two times and 0 otherwise. Added to a base rate, it is a burst.
    pub fn burst(from: Micros, until: Micros, rate: f64) -> Self {
        Self::steps(&[(from, rate), (until, 0.0)])
    }

    /// A linear ramp from the first rate to the second between two times, constant before and after.
    pub fn ramp(from: Micros, until: Micros, low: f64, high: f64) -> Self {
        Self::new([(from, low), (until, high)])
    }

    /// A daily cycle: `mean * (1 - swing * cos(2 pi t / period))`, lowest at 0, for `span`. `swing` is 0 to
    /// 1.
    pub fn day(mean: f64, swing: f64, period: Micros, span: Micros) -> Self {
        let piece = (period / Micros::from(DAY_PIECES)).max(1);
        let pieces = (span / piece + 1).clamp(1, 1_000_000);
        Self::new((0..=pieces).map(|i| {
            let angle = std::f64::consts::TAU * (i as f64 / f64::from(DAY_PIECES));
            (i * piece, mean * (1.0 - swing.clamp(0.0, 1.0) * libm::cos(angle)))
        }))
    }

    /// The sum of two profiles.
    pub fn plus(&self, other: &Self) -> Self {
        let mut times: Vec<f64> = self.points.iter().chain(&other.points).map(|point| point.0).collect();
        times.sort_by(f64::total_cmp);
        times.dedup();
        let both = |at, side: fn(&Self, f64) -> f64| side(self, at) + side(other, at);
        Self::of(
            times
                .into_iter()
                .flat_map(|at| [(at, both(at, Self::rate_before)), (at, both(at, Self::rate_after))])
                .collect(),
        )
    }

    /// The profile with all rates multiplied by a factor.
    pub fn times(&self, factor: f64) -> Self {
        Self::of(self.points.iter().map(|&(at, rate)| (at, rate * factor)).collect())
    }

    /// Requests per second at a time; where the rate jumps, the rate after the jump.
    pub fn rate(&self, at: Micros) -> f64 {
        self.rate_after(seconds(at.max(0)))
    }

    /// The highest rate from time 0 to a time.
    pub fn highest(&self, until: Micros) -> f64 {
        let until = seconds(until);
        let within = self.points.iter().filter(|point| point.0 <= until).map(|point| point.1);
        within.fold(self.rate_before(until), f64::max)
    }

    /// Expected arrivals from time 0 to a time: the integral of the rate.
    pub fn expected(&self, until: Micros) -> f64 {
        self.expected_at(seconds(until.max(0)))
    }

    /// Expected arrivals from time 0 to a time in seconds.
    pub(crate) fn expected_at(&self, until: f64) -> f64 {
        let next = self.points.partition_point(|point| point.0 <= until);
        let last = next.saturating_sub(1);
        let from = self.points.get(last).zip(self.before.get(last));
        from.map_or(0.0, |(&(at, rate), before)| {
            before + (until - at) * (rate + self.between(next, until)) / 2.0
        })
    }

    /// The time in seconds by which this many arrivals are expected; `None` if there is none. The inverse of
    /// `expected`, in time logarithmic in the number of points.
    pub(crate) fn time_of_arrivals(&self, arrivals: f64) -> Option<f64> {
        let next = self.before.partition_point(|&before| before <= arrivals);
        let from = next.saturating_sub(1);
        let &(at, rate) = self.points.get(from)?;
        let rest = arrivals - self.before.get(from)?;
        let slope = match self.points.get(next) {
            Some(&(end, last)) => (last - rate) / (end - at),
            None => 0.0,
        };
        // Solves rate x + slope x^2 / 2 = rest for x, in the form without cancellation.
        let denominator = rate + libm::sqrt((rate * rate + 2.0 * slope * rest).max(0.0));
        let end = self.points.get(next).map_or(f64::INFINITY, |point| point.0);
        if rest <= 0.0 {
            return Some(at);
        }
        (denominator > 0.0).then(|| (at + 2.0 * rest / denominator).min(end))
    }

    /// The rate at a time; where the rate jumps, the rate after the jump.
    fn rate_after(&self, at: f64) -> f64 {
        let next = self.points.partition_point(|point| point.0 <= at);
        self.between(next, at)
    }

    /// The rate at a time; where the rate jumps, the rate before the jump.
    fn rate_before(&self, at: f64) -> f64 {
        let next = self.points.partition_point(|point| point.0 < at);
        self.between(next, at)
    }

    /// The rate at a time, interpolated between the points at `next - 1` and `next`.
    fn between(&self, next: usize, at: f64) -> f64 {
        match (next.checked_sub(1).and_then(|i| self.points.get(i)), self.points.get(next)) {
            (Some(a), Some(b)) if b.0 > a.0 => a.1 + (b.1 - a.1) * ((at - a.0) / (b.0 - a.0)),
            (Some(a), _) => a.1,
            (None, Some(b)) => b.1,
            (None, None) => 0.0,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    /// Rates, and integrals computed by hand.
    #[test]
    fn rates_and_integrals_of_each_shape() {
        let base = Profile::constant(10.0);
        for (profile, rates, until, expected) in [
            (base.clone(), vec![(0, 10.0), (7, 10.0)], 5, 50.0),
            (Profile::steps(&[(2 * S, 5.0), (4 * S, 20.0)]), vec![(1, 0.0), (2, 5.0), (4, 20.0)], 6, 50.0),
            (Profile::ramp(2 * S, 4 * S, 0.0, 10.0), vec![(1, 0.0), (3, 5.0), (9, 10.0)], 5, 20.0),
            (Profile::burst(S, 3 * S, 7.0), vec![(0, 0.0), (1, 7.0), (3, 0.0)], 9, 14.0),
            (base.plus(&Profile::burst(S, 3 * S, 7.0)), vec![(0, 10.0), (2, 17.0), (3, 10.0)], 4, 54.0),
            (base.times(2.0), vec![(3, 20.0)], 3, 60.0),
            (Profile::ramp(0, 2 * S, 0.0, 2.0).plus(&base), vec![(1, 11.0), (2, 12.0)], 2, 22.0),
        ] {
            for (at, rate) in rates {
                assert!(
                    (profile.rate(at * S) - rate).abs() < 1e-9,
                    "{profile:?} at {at}: {}",
                    profile.rate(at * S)
                );
            }
            let got = profile.expected(until * S);
            assert!((got - expected).abs() < 1e-9, "{profile:?} to {until}: {got}, not {expected}");
            let back = profile.time_of_arrivals(expected - 1e-9).unwrap_or(f64::INFINITY);
            assert!(back <= until as f64 + 1e-6, "{profile:?}: {expected} reached at {back}");
            assert!(
                (profile.expected(crate::mix::micros(back)) - expected).abs() < 1e-3,
                "{profile:?}: {back}"
            );
        }
    }

    #[test]
    fn daily_cycle_is_a_cosine() {
        let day = Profile::day(100.0, 0.6, 86_400 * S, 2 * 86_400 * S);
        for (hour, rate) in [(0, 40.0), (6, 100.0), (12, 160.0), (18, 100.0), (36, 160.0)] {
            assert!(
                (day.rate(hour * 3600 * S) - rate).abs() < 0.1,
                "hour {hour}: {}",
                day.rate(hour * 3600 * S)
            );
        }
        assert!((day.expected(86_400 * S) / 8_640_000.0 - 1.0).abs() < 1e-6);
        assert!((day.highest(86_400 * S) - 160.0).abs() < 0.1);
    }

    #[test]
    fn no_arrivals_after_a_burst() {
        let burst = Profile::burst(S, 3 * S, 7.0);
        assert_eq!(burst.time_of_arrivals(14.5), None);
        assert!(burst.time_of_arrivals(13.9).is_some_and(|at| at < 3.0));
        assert_eq!(Profile::constant(0.0).time_of_arrivals(0.1), None);
    }
}
