//! What is needed at a member: how often flows come, how long they take, in what bursts.
//!
//! Arrivals are counted in windows. From these go three rates: a fast and a slow mean, and a trend over the fast one
//! (Holt 1957), so that a rise is met before it is over. The time of a flow is taken from those that had nothing ahead
//! of them on their connection, and what counts for the number of connections is the *undisturbed* time: the least
//! mean in the last windows, as BBR takes the least round trip (Cardwell et al. 2016). Guards against answering a
//! member that is slow because it is overloaded, or stands still, with more connections to it.

use crate::Micros;

/// Arrivals are counted in windows of this length.
const WINDOW: Micros = 250_000;
/// Time constants of the rates, in windows.
const FAST: f64 = 4.0;
const SLOW: f64 = 120.0;
/// Weight of the trend, for each window.
const TREND: f64 = 0.15;
/// So many windows ahead is the trend taken: to open what is needed takes about that long.
const LEAD: f64 = 4.0;
/// A flow's time counts as so many times the mean at most. Guards the mean against a stall.
const CLIP: f64 = 4.0;
/// Weight of one more time in the mean as it is now, and in the steadier one and the spread, once there are many.
const TIMES: (f64, f64) = (1.0 / 64.0, 1.0 / 512.0);
/// Windows over which the least mean time is taken: two halves of so many.
const BASE: u32 = 1200;
/// Weight of one more window in the spread of what arrivals find, and how many arrivals a window must have for it.
const FOUND: (f64, u32) = (1.0 / 64.0, 8);
/// Times, before any is known: a mean of 2 ms that counts as much as two flows.
const PRIOR: (f64, f64) = (2_000.0, 2.0);

/// Rates and times of the flows to a member.
#[derive(Clone, Debug)]
pub struct Need {
    window_end: Micros,
    arrived: u32,
    fast: f64,
    slow: f64,
    trend: f64,
    windows: u32,
    mean: f64,
    /// A steadier mean, and that of the square.
    steady: f64,
    square: f64,
    times: f64,
    /// The least mean in the half before and in this one.
    least: [f64; 2],
    half: u32,
    /// Count, sum and sum of squares of the numbers in flight that arrivals found in this window.
    found: (u32, f64, f64),
    /// Mean of their variance and of their mean within windows.
    spread: (f64, f64),
}

impl Need {
    /// Nothing has come yet.
    pub fn new(now: Micros) -> Need {
        Need {
            window_end: now + WINDOW,
            arrived: 0,
            fast: 0.0,
            slow: 0.0,
            trend: 0.0,
            windows: 0,
            mean: PRIOR.0,
            steady: PRIOR.0,
            square: 2.0 * PRIOR.0 * PRIOR.0,
            times: 0.0,
            least: [f64::INFINITY; 2],
            half: 0,
            found: (0, 0.0, 0.0),
            spread: (0.0, 0.0),
        }
    }

    /// A flow has come, and found so many in flight; `None` where that number says nothing, as the member stalls.
    pub fn arrived(&mut self, in_flight: Option<u32>) {
        self.arrived += 1;
        let Some(n) = in_flight.map(f64::from) else { return };
        self.found = (self.found.0 + 1, self.found.1 + n, self.found.2 + n * n);
    }

    /// A flow with nothing ahead of it was answered after this long.
    pub fn took(&mut self, time: Micros) {
        let time = (time.max(1) as f64).min(CLIP * self.mean);
        self.times += 1.0;
        let weight = |least: f64| (1.0 / (self.times + PRIOR.1)).max(least);
        self.mean += (time - self.mean) * weight(TIMES.0);
        self.steady += (time - self.steady) * weight(TIMES.1);
        self.square += (time * time - self.square) * weight(TIMES.1);
    }

    /// Whether a window is over by now.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.window_end
    }

    /// Ends the windows that are over; gives the flows of the last one, if one was.
    pub fn turn(&mut self, now: Micros) -> Option<f64> {
        if !self.is_due(now) {
            return None;
        }
        // Windows in which nothing was told count as empty, but for the first.
        let passed = (now - self.window_end) / WINDOW + 1;
        let rate = f64::from(std::mem::take(&mut self.arrived)) * 1e6 / WINDOW as f64;
        self.window_end += passed * WINDOW;
        self.windows = self.windows.saturating_add(passed.min(1 << 20) as u32);
        let before = self.fast;
        let quiet = |tau: f64| (-((passed - 1) as f64) / tau).exp();
        // Less memory at first: the mean of what there was.
        let share = |tau: f64| (1.0 - (-1.0 / tau).exp()).max(1.0 / f64::from(self.windows.max(1)));
        self.fast = (self.fast + (rate - self.fast) * share(FAST)) * quiet(FAST);
        self.slow = (self.slow + (rate - self.slow) * share(SLOW)) * quiet(SLOW);
        self.trend += (self.fast - before - self.trend) * TREND;
        if passed > 1 {
            self.trend = 0.0;
        }
        let (count, sum, squares) = std::mem::take(&mut self.found);
        if count >= FOUND.1 {
            let (n, mean) = (f64::from(count), sum / f64::from(count));
            let variance = (squares - sum * mean) / (n - 1.0);
            self.spread.0 += (variance - self.spread.0) * FOUND.0;
            self.spread.1 += (mean - self.spread.1) * FOUND.0;
        }
        if self.times >= 16.0 {
            self.least[1] = self.least[1].min(self.steady);
        }
        self.half += passed.min(1 << 20) as u32;
        if self.half >= BASE {
            self.least = [self.least[1], if self.half >= 2 * BASE { f64::INFINITY } else { self.steady }];
            self.half = 0;
        }
        Some(rate * WINDOW as f64 / 1e6)
    }

    /// Flows a second to be ready for: the most that the means and the trend give.
    pub fn rate(&self) -> f64 {
        // A trend inside of what chance does to the fast mean is none: its deviation is the root of rate over twice
        // the time constant.
        let tau = FAST * WINDOW as f64 / 1e6;
        let chance = (self.fast / (2.0 * tau)).sqrt();
        let rise = self.trend * LEAD;
        let ahead = if rise > chance { rise } else { 0.0 };
        // Nor is the fast mean above the slow one, inside of twice that.
        let fast = if self.fast > self.slow + 2.0 * chance { self.fast + ahead } else { self.slow };
        if f64::from(self.windows) < FAST { self.fast.max(fast) } else { fast }
    }

    /// The mean rate over about half a minute.
    pub fn usual_rate(&self) -> f64 {
        self.slow
    }

    /// Mean time of a flow now, µs.
    pub fn time(&self) -> f64 {
        self.mean
    }

    /// Undisturbed mean time of a flow, µs.
    pub fn base_time(&self) -> f64 {
        let least = self.least[0].min(self.least[1]);
        if least.is_finite() { least } else { self.steady }
    }

    /// Squared coefficient of variation of the times.
    pub fn cv2(&self) -> f64 {
        (self.square / (self.steady * self.steady).max(1.0) - 1.0).clamp(0.0, 8.0)
    }

    /// Variance over mean of the number in flight, 1 or above.
    pub fn peaked(&self) -> f64 {
        // An arrival that finds others shows bursts (under Poisson arrivals it sees time averages: Wolff 1982). Within
        // windows, so that a load that rises is none.
        let (variance, mean) = self.spread;
        if mean < 0.05 { 1.0 } else { (variance / mean).clamp(1.0, 4.0) }
    }

    /// Enough flows were seen for the times to count.
    pub fn is_learnt(&self) -> bool {
        self.times >= 16.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// So many flows a second, evenly, for so many seconds, each taking that long.
    fn feed(need: &mut Need, from: Micros, s: i64, per_s: i64, time: Micros) -> Micros {
        for i in 0..s * per_s {
            let now = from + i * 1_000_000 / per_s;
            need.turn(now);
            need.arrived(Some((per_s * time / 1_000_000) as u32));
            need.took(time);
        }
        need.turn(from + s * 1_000_000);
        from + s * 1_000_000
    }

    #[test]
    fn a_step_up_is_seen_within_two_seconds_and_a_steady_rate_is_no_trend() {
        let mut need = Need::new(0);
        let now = feed(&mut need, 0, 60, 100, 4_000);
        assert!((95.0..105.0).contains(&need.rate()), "{}", need.rate());
        assert!((3_900.0..4_100.0).contains(&need.time()));
        let now = feed(&mut need, now, 2, 500, 4_000);
        assert!((400.0..700.0).contains(&need.rate()), "{}", need.rate());
        feed(&mut need, now, 10, 500, 4_000);
        assert!((480.0..520.0).contains(&need.rate()), "{}", need.rate());
    }

    #[test]
    fn a_member_that_slows_down_keeps_its_undisturbed_time_for_five_minutes_and_more() {
        let mut need = Need::new(0);
        let now = feed(&mut need, 0, 60, 100, 4_000);
        let now = feed(&mut need, now, 200, 100, 40_000);
        assert!(need.time() > 20_000.0 && need.base_time() < 4_200.0, "{}", need.base_time());
        feed(&mut need, now, 600, 100, 40_000);
        assert!(need.base_time() > 30_000.0, "but what lasts is taken for what it is: {}", need.base_time());
    }

    #[test]
    fn silence_is_a_rate_of_nothing() {
        let mut need = Need::new(0);
        let now = feed(&mut need, 0, 60, 100, 4_000);
        need.turn(now + 600_000_000);
        assert!(need.rate() < 0.1, "{}", need.rate());
    }

    #[test]
    fn bursts_show_in_the_spread_of_what_arrivals_find() {
        let spread = |found: fn(u32) -> u32| {
            let mut need = Need::new(0);
            for i in 0..4000u32 {
                need.turn(Micros::from(i) * 10_000);
                need.arrived(Some(found(i)));
            }
            need.peaked()
        };
        assert!(spread(|i| if i % 10 == 0 { 10 } else { 0 }) > 3.9);
        assert_eq!(spread(|i| i % 2), 1.0);
        assert_eq!(spread(|i| i / 100), 1.0, "a ramp is no burst");
    }
}
