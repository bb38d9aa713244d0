//! Caps on rates: in all by a leaky bucket, by source by a filter of them.
//!
//! A source that holds something is in the books with exact counts: there are never more of those than connections.
//! Rates must also be kept of sources that hold nothing any more, of which an attacker makes as many as he likes
//! (IPv6). They are counted in a parallel multistage filter of leaky buckets with conservative update (Estan and
//! Varghese 2002): four rows of cells, a source has one cell in each by a keyed hash, and its level is the *least* of
//! the four. Memory is fixed; nothing is ever evicted, so that nobody can push another out. The error has one side:
//! a source is never taken for slower than it is, and for faster only if in each row it shares its cell with others
//! that are at least as fast by then. With n cells a row, and sources that spend S bursts in all within the time in
//! which a bucket runs empty, that has a probability of at most (S / n)^4 (Markov's bound for each row; rows are
//! independent): at S = 400 and 4096 cells about 1 in 11,000.
//!
//! A table of exact buckets by source (as the `governor` crate keeps) grows with the sources seen; Space-Saving
//! (Metwally et al. 2005) bounds it, but its error is that of the smallest counter it evicts, which a flood of new
//! sources raises for all newcomers.

use crate::Micros;
use crate::source::{KeyedHash, Source};

/// A rate with what may be saved up of it: the generic cell rate algorithm (ITU-T I.371), a leaky bucket that keeps
/// but one time.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Between two at an even pace, for weight 1.
    interval: f64,
    burst: f64,
}

impl RateLimit {
    /// So many a second, of which as many as come in `burst_ms` may come at once (one at the least). `None` where
    /// there is no cap.
    pub fn new(per_s: f64, burst_ms: u32) -> Option<RateLimit> {
        let interval = 1e6 / per_s;
        (per_s > 0.0).then(|| RateLimit { interval, burst: (f64::from(burst_ms) * 1000.0).max(interval) })
    }

    /// Whether one more conforms at a bucket that is full until `until`; gives when it would be then.
    fn one_more(&self, now: Micros, until: Micros, weight: u32) -> Result<Micros, Micros> {
        let interval = self.interval / f64::from(weight.max(1));
        let burst = self.burst.max(interval);
        let next = until.max(now) as f64 + interval;
        // Half a microsecond: what is rounded must not cost one.
        if next - now as f64 > burst + 0.5 {
            Err((next - burst) as Micros - now)
        } else {
            Ok(next.ceil() as Micros)
        }
    }
}

/// A cap on a rate in all.
#[derive(Clone, Copy, Debug)]
pub struct LeakyBucket {
    rate: Option<RateLimit>,
    until: Micros,
}

impl LeakyBucket {
    /// Empty.
    pub fn new(rate: Option<RateLimit>) -> LeakyBucket {
        LeakyBucket { rate, until: Micros::MIN }
    }

    /// Another rate; what was counted stays.
    pub fn set(&mut self, rate: Option<RateLimit>) {
        self.rate = rate;
    }

    /// Whether one more may come.
    pub fn conforms(&self, now: Micros) -> bool {
        self.rate.is_none_or(|rate| rate.one_more(now, self.until, 1).is_ok())
    }

    /// Counts one.
    pub fn take(&mut self, now: Micros) {
        if let Some(Ok(until)) = self.rate.map(|rate| rate.one_more(now, self.until, 1)) {
            self.until = until;
        }
    }
}

const ROWS: usize = 4;

/// Caps on a rate by source.
#[derive(Clone, Debug)]
pub struct MultistageFilter {
    rate: Option<RateLimit>,
    /// Cells of all rows, one row after the other; empty while there is no cap.
    cells: Vec<Micros>,
    per_row: usize,
    key: KeyedHash,
}

impl MultistageFilter {
    /// Empty. `cells` a row, a power of two up to 65,536.
    pub fn new(rate: Option<RateLimit>, cells: u32, key: KeyedHash) -> MultistageFilter {
        let mut filter = MultistageFilter { rate: None, cells: Vec::new(), per_row: 0, key };
        filter.set(rate, cells);
        filter
    }

    /// Another rate; what was counted stays as long as the cells do.
    pub fn set(&mut self, rate: Option<RateLimit>, cells: u32) {
        let per_row = if rate.is_some() { cells as usize } else { 0 };
        if per_row != self.per_row {
            self.cells = vec![Micros::MIN; ROWS * per_row];
            self.per_row = per_row;
        }
        self.rate = rate;
    }

    /// Bytes taken.
    pub fn bytes(&self) -> usize {
        self.cells.capacity() * size_of::<Micros>()
    }

    fn places(&self, source: &Source) -> [usize; ROWS] {
        let hash = self.key.hash(source);
        std::array::from_fn(|row| row * self.per_row + ((hash >> (16 * row)) as usize & (self.per_row - 1)))
    }

    /// Counts one more of a source of this weight if it may come; else says how long until it may.
    ///
    /// # Errors
    /// The time until one more conforms, if no more come until then.
    pub fn take(&mut self, now: Micros, source: &Source, weight: u32) -> Result<(), Micros> {
        let Some(rate) = self.rate else { return Ok(()) };
        let places = self.places(source);
        let least = places.iter().filter_map(|p| self.cells.get(*p)).min().copied().unwrap_or(Micros::MIN);
        let until = rate.one_more(now, least, weight)?;
        for place in places {
            if let Some(cell) = self.cells.get_mut(place) {
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
        fn no_window_holds_more_than_its_rate_and_one_burst(
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
            let saved = (f64::from(burst) / 1000.0 * per_s).max(1.0);
            for (i, from) in taken.iter().enumerate() {
                for (j, to) in taken.iter().enumerate().skip(i) {
                    let most = (to - from) as f64 / 1e6 * per_s + saved + 0.01;
                    prop_assert!((j - i + 1) as f64 <= most + 1e-6, "{} in {} us", j - i + 1, to - from);
                }
            }
        }
    }

    #[test]
    fn a_fast_source_is_held_to_its_rate_among_half_a_million_others() {
        let mut filter = MultistageFilter::new(RateLimit::new(5.0, 1000), 4096, KeyedHash::new(1, 2));
        let (mut fast, mut steady, mut refused) = (0, 0, 0);
        for i in 0..500_000u32 {
            let now = Micros::from(i) * 120; // a minute in all
            refused += u32::from(filter.take(now, &source(1000 + i), 1).is_err());
            if i % 10 == 0 {
                fast += u32::from(filter.take(now, &source(1), 1).is_ok());
            }
            if i % 2500 == 0 {
                steady += u32::from(filter.take(now, &source(2), 1).is_ok());
            }
        }
        assert!((290..=306).contains(&fast), "5 a second and one burst: {fast}");
        assert!(steady >= 198, "3.3 a second is within: {steady} of 200");
        assert!(refused < 50, "{refused} of 500,000 that came once");
        assert_eq!(filter.bytes(), 128 << 10);
    }

    #[test]
    fn weight_multiplies_the_rate() {
        let mut filter = MultistageFilter::new(RateLimit::new(2.0, 1000), 256, KeyedHash::new(1, 2));
        let mut come =
            |n: u32, weight| (0..100).filter(|_| filter.take(0, &source(n), weight).is_ok()).count();
        assert_eq!((come(1, 1), come(2, 10)), (2, 20));
    }
}
