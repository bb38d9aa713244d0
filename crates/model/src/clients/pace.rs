//! A reader's pace: how many bytes it takes in now.

use super::Reader;
use crate::Micros;

/// Keeps one connection's reading to a [`Reader`]. Bytes not taken stay with the sender, whose buffers fill.
#[derive(Clone, Debug)]
pub struct Pace {
    reader: Reader,
    /// When the next byte may be taken.
    from: Micros,
}

/// A slow reader catches up on at most this much time at once.
const CATCH_UP: Micros = 100_000;

impl Pace {
    /// For a connection that opened now.
    pub fn new(reader: Reader, now: Micros) -> Self {
        let late = if let Reader::Late(wait) = reader { wait } else { 0 };
        Self { reader, from: now + late }
    }

    /// Bytes that may be taken in now.
    pub fn may_take(&self, now: Micros) -> usize {
        if now < self.from {
            return 0;
        }
        match self.reader {
            Reader::Full | Reader::Late(_) => usize::MAX,
            Reader::Slow(rate) => {
                let span = (now - self.from).min(CATCH_UP) as u128;
                (span * u128::from(rate) / 1_000_000 + 1) as usize
            }
        }
    }

    /// So many bytes were taken in.
    pub fn took(&mut self, now: Micros, bytes: usize) {
        if let Reader::Slow(rate) = self.reader {
            let span = (bytes as u128 * 1_000_000).div_ceil(u128::from(rate.max(1))) as Micros;
            self.from = self.from.max(now - CATCH_UP) + span;
        }
    }

    /// When there is something to take again, if not now.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        (now < self.from).then_some(self.from)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slow_readers_keep_their_rate_and_late_ones_begin_late() {
        let mut pace = Pace::new(Reader::Slow(10_000), 0);
        let (mut now, mut taken) = (0, 0);
        while now < 10_000_000 {
            let bytes = pace.may_take(now).min(1500);
            pace.took(now, bytes);
            taken += bytes;
            now = pace.next(now).unwrap_or(now + 1000);
        }
        assert!((99_000..=101_100).contains(&taken), "{taken} bytes in 10 s at 10,000 a second");
        let late = Pace::new(Reader::Late(500), 100);
        assert_eq!((late.may_take(599), late.next(100), late.may_take(600)), (0, Some(600), usize::MAX));
    }
}
