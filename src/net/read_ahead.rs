//! Input of a client that was read although its commands cannot be taken yet. The end of a connection arrives
//! behind all that its client has sent: unless that is read, a client that has left is not noticed, and its
//! pending requests go on.

use std::collections::VecDeque;

/// Reads that find less than this are kept together.
const PIECE: usize = 16 << 10;

/// Bytes in the order of their arrival, in the pieces in which they were read.
#[derive(Debug, Default)]
pub struct ReadAhead {
    pieces: VecDeque<Vec<u8>>,
    /// Bytes of the first piece that were taken.
    taken: usize,
    length: usize,
}

impl ReadAhead {
    /// Number of bytes held.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds the bytes that arrived next.
    pub fn push(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        match self.pieces.back_mut() {
            Some(last) if last.len() + bytes.len() <= PIECE => last.extend_from_slice(bytes),
            _ => self.pieces.push_back(bytes.to_vec()),
        }
    }

    /// Takes bytes into a buffer. Returns their number, 0 if none is held.
    pub fn take(&mut self, buffer: &mut [u8]) -> usize {
        let mut filled = 0;
        while let Some(piece) = self.pieces.front().filter(|_| filled < buffer.len()) {
            let rest = &piece[self.taken..];
            let count = rest.len().min(buffer.len() - filled);
            buffer[filled..filled + count].copy_from_slice(&rest[..count]);
            filled += count;
            self.taken += count;
            if self.taken == piece.len() {
                self.pieces.pop_front();
                self.taken = 0;
            }
        }
        self.length -= filled;
        filled
    }

    /// Takes all bytes.
    pub fn take_all(&mut self) -> Vec<u8> {
        let mut bytes = vec![0; self.length];
        self.take(&mut bytes);
        bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_come_out_in_order_whatever_the_sizes() {
        let mut ahead = ReadAhead::default();
        let all: Vec<u8> = (0..5 * PIECE).map(|n| (n % 251) as u8).collect();
        let (small, large) = all.split_at(2 * PIECE);
        small.chunks(777).for_each(|piece| ahead.push(piece));
        large.chunks(PIECE - 1).for_each(|piece| ahead.push(piece));
        let (mut taken, mut buffer) = (Vec::new(), [0; 1234]);
        for _ in 0..50 {
            let count = ahead.take(&mut buffer);
            taken.extend_from_slice(&buffer[..count]);
        }
        assert_eq!((ahead.len(), taken.len()), (all.len() - 50 * 1234, 50 * 1234));
        taken.extend(ahead.take_all());
        assert!(taken == all && ahead.is_empty() && ahead.take(&mut buffer) == 0);
    }
}
