//! Latencies: percentiles by hdrhistogram, with three significant digits from 1 µs to ten minutes.

use crate::Micros;
use hdrhistogram::Histogram;

const LONGEST: u64 = 600_000_000;

/// A histogram of times in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies(Option<Histogram<u64>>);

impl Default for Latencies {
    fn default() -> Self {
        // The bounds are sound, so this is always there; a histogram that is not counts nothing.
        Self(Histogram::new_with_bounds(1, LONGEST, 3).ok())
    }
}

impl Latencies {
    /// Counts a time; what lies outside the bounds counts as the nearest one.
    pub fn record(&mut self, time: Micros) {
        if let Some(h) = &mut self.0 {
            h.saturating_record(u64::try_from(time).unwrap_or(0).clamp(1, LONGEST));
        }
    }

    /// The time below which this share of all lies (ms); NaN if there are none.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        match &self.0 {
            Some(h) if !h.is_empty() => h.value_at_quantile(share) as f64 / 1e3,
            _ => f64::NAN,
        }
    }

    /// How many were counted.
    pub fn count(&self) -> u64 {
        self.0.as_ref().map_or(0, Histogram::len)
    }
}
