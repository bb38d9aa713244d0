//! Rate limits: one leaky bucket for the total rate, and a filter of leaky buckets for the rates of sources.
//!
//! Sources that hold something have exact counts in the connection table: there are never more of them than
//! connections. Rates must also be known of sources that hold nothing any more, and with IPv6 an attacker has
//! as many sources as it likes. They are counted in a parallel multistage filter of leaky buckets with
//! conservative update (Estan and Varghese 2002): there are four rows of cells, a source has one cell in each
//! row by a keyed hash, and its level is the *minimum* of the four. Memory is fixed, and nothing is evicted,
//! so that no source can displace another. The error is one-sided: the rate of a source is never
//! underestimated, and it is overestimated only if in each row the source shares its cell with others that
//! are at least as fast by then. With n cells a row, and sources that use S bursts in total within the time
//! in which a bucket runs empty, that has a probability of at most (S / n)^4 (Markov's bound for each row;
//! rows are independent): at S = 400 and 4096 cells about 1 in 11,000.
//!
//! The alternatives are worse under attack: a table of exact buckets by source (as in the `governor` crate)
//! grows with the sources seen; Space-Saving (Metwally et al. 2005) bounds the table, but its error is that
//! of the smallest counter it evicts, which a flood of new sources raises for all new ones.

use crate::Micros;
use crate::source::{KeyedHash, Source};

/// A rate limit with a burst: the generic cell rate algorithm (ITU-T I.371), a leaky bucket whose state is
/// one time.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Time between two events at the limit, for weight 1.
    interval: f64,
    burst: f64,
}

impl RateLimit {
    /// A limit of `per_s` events per second, of which those of `burst_ms` may come at once (at least one).
    /// `None` where there is no cap.
    pub fn new(per_s: f64, burst_ms: u32) -> Option<RateLimit> {
        let interval = 1e6 / per_s;
        (per_s > 0.0).then(|| RateLimit { interval, burst: (f64::from(burst_ms) * 1000.0).max(interval) })
    }

    /// Whether one more event conforms, for a bucket that runs empty at `until`. Returns the time at which
    /// the bucket would run empty after the event.
    ///
    /// # Errors
    /// The time until the event would conform.
    fn one_more(&self, now: Micros, until: Micros, weight: u32) -> Result<Micros, Micros> {
        let interval = self.interval / f64::from(weight.max(1));
        let burst = self.burst.max(interval);
        let next = until.max(now) as f64 + interval;
        // Half a microsecond of tolerance: rounding must not cost an event.
        if next - now as f64 > burst + 0.5 {
            Err((next - burst) as Micros - now)
        } else {
            Ok(next.ceil() as Micros)
        }
    }
}

/// A cap on the total rate.
#[derive(Clone, Copy, Debug)]
pub struct LeakyBucket {
    rate: Option<RateLimit>,
    until: Micros,
}

impl LeakyBucket {
    /// An empty bucket.
    pub fn new(rate: Option<RateLimit>) -> LeakyBucket {
        LeakyBucket { rate, until: Micros::MIN }
    }

    /// Changes the rate; the level stays.
    pub fn set(&mut self, rate: Option<RateLimit>) {
        self.rate = rate;
    }

    /// Whether one more event conforms to the rate.
    pub fn conforms(&self, now: Micros) -> bool {
        self.rate.is_none_or(|rate| rate.one_more(now, self.until, 1).is_ok())
    }

    /// Counts one event.
    pub fn take(&mut self, now: Micros) {
        if let Some(Ok(until)) = self.rate.map(|rate| rate.one_more(now, self.until, 1)) {
            self.until = until;
        }
    }
}

const ROWS: usize = 4;

/// A cap on the rate of each source.
#[derive(Clone, Debug)]
pub struct MultistageFilter {
    rate: Option<RateLimit>,
    /// Cells of all rows, one row after the other: when each bucket runs empty. No cells while there is no
    /// cap.
    cells: Vec<Micros>,
    per_row: usize,
    key: KeyedHash,
}

impl MultistageFilter {
    /// An empty filter with `cells` cells a row, a power of two up to 65,536.
    pub fn new(rate: Option<RateLimit>, cells: u32, key: KeyedHash) -> MultistageFilter {
        let mut filter = MultistageFilter { rate: None, cells: Vec::new(), per_row: 0, key };
        filter.set(rate, cells);
        filter
    }

    /// Changes the rate and the number of cells; the levels stay if the number does.
    pub fn set(&mut self, rate: Option<RateLimit>, cells: u32) {
        let per_row = if rate.is_some() { cells as usize } else { 0 };
        if per_row != self.per_row {
            self.cells = vec![Micros::MIN; ROWS * per_row];
            self.per_row = per_row;
        }
        self.rate = rate;
    }

    /// Memory in use, in bytes.
    pub fn bytes(&self) -> usize {
        self.cells.capacity() * size_of::<Micros>()
    }

    /// The indices of the cells of a source.
    fn cells_of(&self, source: &Source) -> [usize; ROWS] {
        let hash = self.key.hash(source);
        std::array::from_fn(|row| row * self.per_row + ((hash >> (16 * row)) as usize & (self.per_row - 1)))
    }

    /// Counts one more event of a source of this weight, if it conforms.
    ///
    /// # Errors
    /// The time until an event of the source conforms, if none comes before.
    pub fn take(&mut self, now: Micros, source: &Source, weight: u32) -> Result<(), Micros> {
        let Some(rate) = self.rate else { return Ok(()) };
        let indices = self.cells_of(source);
        let level = indices.iter().filter_map(|p| self.cells.get(*p)).min().copied().unwrap_or(Micros::MIN);
        let until = rate.one_more(now, level, weight)?;
        for index in indices {
            if let Some(cell) = self.cells.get_mut(index) {
                *cell = until.max(*cell);
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::Sources;
    use proptest::prelude::*;

    fn source(n: u32) -> Source {
        Source::of(std::net::IpAddr::V4(n.into()), &Sources::default())
    }

    proptest! {
        #[test]
        fn no_interval_admits_more_than_the_rate_and_one_burst(
            per_s in 1.0f64..500.0,
            burst in 1u32..3000,
            gaps in proptest::collection::vec(0i64..50_000, 1..400),
        ) {
            let mut bucket = LeakyBucket::new(RateLimit::new(per_s, burst));
            let (mut now, mut taken) = (0, Vec::new());
            for gap in gaps {
                now += gap;
                if bucket.conforms(now) {
                    bucket.take(now);
                    taken.push(now);
                }
            }
            let allowed_burst = (f64::from(burst) / 1000.0 * per_s).max(1.0);
            for (i, from) in taken.iter().enumerate() {
                for (j, to) in taken.iter().enumerate().skip(i) {
                    let max = (to - from) as f64 / 1e6 * per_s + allowed_burst + 0.01;
                    prop_assert!((j - i + 1) as f64 <= max + 1e-6, "{} in {} us", j - i + 1, to - from);
                }
            }
        }
    }

    #[test]
    fn a_fast_source_is_limited_and_others_are_not_among_half_a_million_sources() {
        let mut filter = MultistageFilter::new(RateLimit::new(5.0, 1000), 4096, KeyedHash::new(1, 2));
        let (mut fast, mut steady, mut refused) = (0, 0, 0);
        for i in 0..500_000u32 {
            let now = Micros::from(i) * 120; // one minute in total
            refused += u32::from(filter.take(now, &source(1000 + i), 1).is_err());
            if i % 10 == 0 {
                fast += u32::from(filter.take(now, &source(1), 1).is_ok());
            }
            if i % 2500 == 0 {
                steady += u32::from(filter.take(now, &source(2), 1).is_ok());
            }
        }
        assert!((290..=306).contains(&fast), "5 per second and one burst: {fast}");
        assert!(steady >= 198, "3.3 per second is within the limit: {steady} of 200");
        assert!(refused < 50, "{refused} of 500,000 sources with one event each");
        assert_eq!(filter.bytes(), 128 << 10);
    }

    #[test]
    fn weight_multiplies_the_rate() {
        let mut filter = MultistageFilter::new(RateLimit::new(2.0, 1000), 256, KeyedHash::new(1, 2));
        let mut admitted =
            |n: u32, weight| (0..100).filter(|_| filter.take(0, &source(n), weight).is_ok()).count();
        assert_eq!((admitted(1, 1), admitted(2, 10)), (2, 20));
    }
}
