//! Measures the flows to a member: their rate, their duration and their burstiness.
//!
//! Arrivals are counted in windows. Three rates are derived: a fast and a slow moving average, and the trend
//! of the fast one (Holt 1957), so that connections are opened while the load is still rising. The duration
//! is measured on flows that were alone on their connection. The number of connections is based on the
//! *undisturbed* duration: the lowest mean of recent windows, as BBR uses the lowest round-trip time
//! (Cardwell et al. 2016). Otherwise a member that is slow because it is overloaded or stalled would be
//! answered with further connections.

use crate::Micros;

/// Length of the windows that arrivals are counted in, µs.
const WINDOW: Micros = 250_000;
/// Time constants of the moving averages of the rate, in windows.
const FAST_WINDOWS: f64 = 4.0;
const SLOW_WINDOWS: f64 = 120.0;
/// Weight of one window in the trend.
const TREND_WEIGHT: f64 = 0.15;
/// Number of windows by which the trend is extrapolated; opening the connections takes about that long.
const TREND_LEAD: f64 = 4.0;
/// A duration counts as at most this multiple of the mean, so that a stall does not distort the mean.
const OUTLIER_RATIO: f64 = 4.0;
/// Final weights of one sample in the short-term mean, and in the long-term mean and the mean square.
const TIME_WEIGHTS: (f64, f64) = (1.0 / 64.0, 1.0 / 512.0);
/// Windows in each half of the period over which the lowest mean duration is taken.
const BASE_WINDOWS: u32 = 1200;
/// Weight of one window in the dispersion, and the arrivals that a window needs for it.
const DISPERSION: (f64, u32) = (1.0 / 64.0, 8);
/// Prior of the duration: a mean of 2 ms with the weight of two flows.
const TIME_PRIOR: (f64, f64) = (2_000.0, 2.0);

/// Rate and duration of the flows to a member.
#[derive(Clone, Debug)]
pub struct Demand {
    window_end: Micros,
    arrivals: u32,
    fast: f64,
    slow: f64,
    trend: f64,
    windows: u32,
    mean: f64,
    /// Long-term mean of the duration, and the mean of its square.
    long_mean: f64,
    mean_square: f64,
    samples: f64,
    /// Lowest long-term mean in the previous half and in the current one.
    min_mean: [f64; 2],
    windows_in_half: u32,
    /// Count, sum and sum of squares of the numbers in flight that arrivals found in this window.
    in_flight_found: (u32, f64, f64),
    /// Averages over windows of the variance and of the mean of that number.
    dispersion: (f64, f64),
}

impl Demand {
    /// Starts without observations.
    pub fn new(now: Micros) -> Demand {
        Demand {
            window_end: now + WINDOW,
            arrivals: 0,
            fast: 0.0,
            slow: 0.0,
            trend: 0.0,
            windows: 0,
            mean: TIME_PRIOR.0,
            long_mean: TIME_PRIOR.0,
            mean_square: 2.0 * TIME_PRIOR.0 * TIME_PRIOR.0,
            samples: 0.0,
            min_mean: [f64::INFINITY; 2],
            windows_in_half: 0,
            in_flight_found: (0, 0.0, 0.0),
            dispersion: (0.0, 0.0),
        }
    }

    /// A flow arrived and found `in_flight` others; `None` if that number is not meaningful because the
    /// member stalls.
    pub fn on_arrival(&mut self, in_flight: Option<u32>) {
        self.arrivals += 1;
        let Some(n) = in_flight.map(f64::from) else { return };
        self.in_flight_found =
            (self.in_flight_found.0 + 1, self.in_flight_found.1 + n, self.in_flight_found.2 + n * n);
    }

    /// A flow that was alone on its connection was answered after `time`.
    pub fn on_answer(&mut self, time: Micros) {
        let time = (time.max(1) as f64).min(OUTLIER_RATIO * self.mean);
        self.samples += 1.0;
        let weight = |minimum: f64| (1.0 / (self.samples + TIME_PRIOR.1)).max(minimum);
        self.mean += (time - self.mean) * weight(TIME_WEIGHTS.0);
        self.long_mean += (time - self.long_mean) * weight(TIME_WEIGHTS.1);
        self.mean_square += (time * time - self.mean_square) * weight(TIME_WEIGHTS.1);
    }

    /// Whether a window has ended.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.window_end
    }

    /// Closes the windows that have ended; returns the number of flows counted in them, `None` if no window
    /// has ended.
    pub fn end_windows(&mut self, now: Micros) -> Option<f64> {
        if !self.is_due(now) {
            return None;
        }
        // Of several windows that have ended only the first can have arrivals.
        let passed = (now - self.window_end) / WINDOW + 1;
        let rate = f64::from(std::mem::take(&mut self.arrivals)) * 1e6 / WINDOW as f64;
        self.window_end += passed * WINDOW;
        self.windows = self.windows.saturating_add(passed.min(1 << 20) as u32);
        let before = self.fast;
        let quiet = |tau: f64| (-((passed - 1) as f64) / tau).exp();
        // Larger weights at first, which give the plain mean of the windows so far.
        let share = |tau: f64| (1.0 - (-1.0 / tau).exp()).max(1.0 / f64::from(self.windows.max(1)));
        self.fast = (self.fast + (rate - self.fast) * share(FAST_WINDOWS)) * quiet(FAST_WINDOWS);
        self.slow = (self.slow + (rate - self.slow) * share(SLOW_WINDOWS)) * quiet(SLOW_WINDOWS);
        self.trend += (self.fast - before - self.trend) * TREND_WEIGHT;
        if passed > 1 {
            self.trend = 0.0;
        }
        let (count, sum, squares) = std::mem::take(&mut self.in_flight_found);
        if count >= DISPERSION.1 {
            let (n, mean) = (f64::from(count), sum / f64::from(count));
            let variance = (squares - sum * mean) / (n - 1.0);
            self.dispersion.0 += (variance - self.dispersion.0) * DISPERSION.0;
            self.dispersion.1 += (mean - self.dispersion.1) * DISPERSION.0;
        }
        if self.samples >= 16.0 {
            self.min_mean[1] = self.min_mean[1].min(self.long_mean);
        }
        self.windows_in_half += passed.min(1 << 20) as u32;
        if self.windows_in_half >= BASE_WINDOWS {
            self.min_mean = [
                self.min_mean[1],
                if self.windows_in_half >= 2 * BASE_WINDOWS { f64::INFINITY } else { self.long_mean },
            ];
            self.windows_in_half = 0;
        }
        Some(rate * WINDOW as f64 / 1e6)
    }

    /// Flows per second to provide connections for: the slow average, or the fast one with its extrapolated
    /// trend where that is significantly higher. Until the fast average has settled it is the minimum.
    pub fn rate(&self) -> f64 {
        // A trend within the random variation of the fast average is ignored; its standard deviation is the
        // root of the rate divided by twice the time constant.
        let tau = FAST_WINDOWS * WINDOW as f64 / 1e6;
        let noise = (self.fast / (2.0 * tau)).sqrt();
        let rise = self.trend * TREND_LEAD;
        let ahead = if rise > noise { rise } else { 0.0 };
        // So is a fast average that exceeds the slow one by no more than twice that deviation.
        let fast = if self.fast > self.slow + 2.0 * noise { self.fast + ahead } else { self.slow };
        if f64::from(self.windows) < FAST_WINDOWS { self.fast.max(fast) } else { fast }
    }

    /// Mean rate over about half a minute.
    pub fn mean_rate(&self) -> f64 {
        self.slow
    }

    /// Present mean duration of a flow, µs.
    pub fn time(&self) -> f64 {
        self.mean
    }

    /// Undisturbed mean duration of a flow, µs.
    pub fn base_time(&self) -> f64 {
        let min_mean = self.min_mean[0].min(self.min_mean[1]);
        if min_mean.is_finite() { min_mean } else { self.long_mean }
    }

    /// Squared coefficient of variation of the duration.
    pub fn cv2(&self) -> f64 {
        (self.mean_square / (self.long_mean * self.long_mean).max(1.0) - 1.0).clamp(0.0, 8.0)
    }

    /// Variance of the number in flight divided by its mean (peakedness), at least 1.
    pub fn peakedness(&self) -> f64 {
        // The number in flight that an arrival finds reflects bursts (Poisson arrivals see time averages:
        // Wolff 1982). It is taken within windows, so that a rising load does not count as a burst.
        let (variance, mean) = self.dispersion;
        if mean < 0.05 { 1.0 } else { (variance / mean).clamp(1.0, 4.0) }
    }

    /// Whether enough flows were measured for the durations to be used.
    pub fn is_learnt(&self) -> bool {
        self.samples >= 16.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Evenly spaced flows: `per_s` per second for `s` seconds, each of duration `time`.
    fn feed(demand: &mut Demand, from: Micros, s: i64, per_s: i64, time: Micros) -> Micros {
        for i in 0..s * per_s {
            let now = from + i * 1_000_000 / per_s;
            demand.end_windows(now);
            demand.on_arrival(Some((per_s * time / 1_000_000) as u32));
            demand.on_answer(time);
        }
        demand.end_windows(from + s * 1_000_000);
        from + s * 1_000_000
    }

    #[test]
    fn rate_follows_a_step_within_two_seconds_and_a_steady_rate_has_no_trend() {
        let mut demand = Demand::new(0);
        let now = feed(&mut demand, 0, 60, 100, 4_000);
        assert!((95.0..105.0).contains(&demand.rate()), "{}", demand.rate());
        assert!((3_900.0..4_100.0).contains(&demand.time()));
        let now = feed(&mut demand, now, 2, 500, 4_000);
        assert!((400.0..700.0).contains(&demand.rate()), "{}", demand.rate());
        feed(&mut demand, now, 10, 500, 4_000);
        assert!((480.0..520.0).contains(&demand.rate()), "{}", demand.rate());
    }

    #[test]
    fn undisturbed_duration_of_a_slowed_member_holds_for_over_three_minutes() {
        let mut demand = Demand::new(0);
        let now = feed(&mut demand, 0, 60, 100, 4_000);
        let now = feed(&mut demand, now, 200, 100, 40_000);
        assert!(demand.time() > 20_000.0 && demand.base_time() < 4_200.0, "{}", demand.base_time());
        feed(&mut demand, now, 600, 100, 40_000);
        assert!(
            demand.base_time() > 30_000.0,
            "but what lasts is taken for what it is: {}",
            demand.base_time()
        );
    }

    #[test]
    fn rate_decays_to_zero_without_flows() {
        let mut demand = Demand::new(0);
        let now = feed(&mut demand, 0, 60, 100, 4_000);
        demand.end_windows(now + 600_000_000);
        assert!(demand.rate() < 0.1, "{}", demand.rate());
    }

    #[test]
    fn peakedness_detects_bursts_but_not_ramps() {
        let dispersion = |in_flight_found: fn(u32) -> u32| {
            let mut demand = Demand::new(0);
            for i in 0..4000u32 {
                demand.end_windows(Micros::from(i) * 10_000);
                demand.on_arrival(Some(in_flight_found(i)));
            }
            demand.peakedness()
        };
        assert!(dispersion(|i| if i % 10 == 0 { 10 } else { 0 }) > 3.9);
        assert_eq!(dispersion(|i| i % 2), 1.0);
        assert_eq!(dispersion(|i| i / 100), 1.0, "a ramp is no burst");
    }
}
