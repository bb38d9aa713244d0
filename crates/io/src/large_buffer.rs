//! A buffer whose memory is the process's own only as far as it was written to, and is given back to the system
//! when it is dropped. The general allocator keeps freed memory for reuse, and gives it out again for a buffer
//! that has only been reserved.

use crate::outcome::Operation;
use crate::retry::retry_immediately;
use memmap2::MmapMut;
use std::io;

/// A buffer of fixed capacity, to which bytes are appended.
#[derive(Debug)]
pub struct LargeBuffer {
    pages: MmapMut,
    length: usize,
}

impl LargeBuffer {
    /// An empty buffer for `capacity` bytes.
    ///
    /// # Errors
    /// The system gives no address space, even with retries.
    pub fn new(capacity: usize) -> io::Result<LargeBuffer> {
        let pages = retry_immediately(Operation::Open, || MmapMut::map_anon(capacity.max(1)))?;
        Ok(LargeBuffer { pages, length: 0 })
    }

    /// Appends bytes as far as the capacity allows. Returns their number.
    pub fn append(&mut self, bytes: &[u8]) -> usize {
        let space = self.pages.get_mut(self.length..).unwrap_or_default();
        let count = bytes.len().min(space.len());
        let (target, source) = (space.get_mut(..count), bytes.get(..count));
        if let (Some(target), Some(source)) = (target, source) {
            target.copy_from_slice(source);
        }
        self.length += count;
        count
    }
}

impl AsRef<[u8]> for LargeBuffer {
    fn as_ref(&self) -> &[u8] {
        self.pages.get(..self.length).unwrap_or_default()
    }
}
