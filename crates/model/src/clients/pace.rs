//! Limits the rate at which a client reads from a connection.

use super::Reader;
use crate::Micros;

/// Limits the reads of one connection to those that a [`Reader`] allows. Unread bytes back up into the
/// sender's buffers.
#[derive(Clone, Debug)]
pub struct Pace {
    reader: Reader,
    /// When the next byte may be read.
    from: Micros,
}

/// Unused time of a slow reader that counts towards its next read, at most. It bounds the size of a single
/// read.
const MAX_CATCH_UP: Micros = 100_000;

impl Pace {
    /// The limit for a connection that is established now.
    pub fn new(reader: Reader, now: Micros) -> Self {
        let delay = if let Reader::Late(wait) = reader { wait } else { 0 };
        Self { reader, from: now + delay }
    }

    /// Number of bytes that may be read now.
    pub fn may_take(&self, now: Micros) -> usize {
        if now < self.from {
            return 0;
        }
        match self.reader {
            Reader::Full | Reader::Late(_) => usize::MAX,
            Reader::Slow(rate) => {
                let span = (now - self.from).min(MAX_CATCH_UP) as u128;
                (span * u128::from(rate) / 1_000_000 + 1) as usize
            }
        }
    }

    /// Records that bytes were read.
    pub fn took(&mut self, now: Micros, bytes: usize) {
        if let Reader::Slow(rate) = self.reader {
            let span = (bytes as u128 * 1_000_000).div_ceil(u128::from(rate.max(1))) as Micros;
            self.from = self.from.max(now - MAX_CATCH_UP) + span;
        }
    }

    /// When reading may continue; `None` if bytes may be read now.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        (now < self.from).then_some(self.from)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slow_reader_keeps_its_rate_and_late_reader_starts_late() {
        let mut pace = Pace::new(Reader::Slow(10_000), 0);
        let (mut now, mut taken) = (0, 0);
        while now < 10_000_000 {
            let bytes = pace.may_take(now).min(1500);
            pace.took(now, bytes);
            taken += bytes;
            now = pace.next(now).unwrap_or(now + 1000);
        }
        assert!((99_000..=101_100).contains(&taken), "{taken} bytes in 10 s at 10,000 bytes per second");
        let late = Pace::new(Reader::Late(500), 100);
        assert_eq!((late.may_take(599), late.next(100), late.may_take(600)), (0, Some(600), usize::MAX));
    }
}
