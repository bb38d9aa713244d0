//! A command that is received apart from a client's other input: its bytes, and what becomes of it.

use lapisrudder_limits::memory_account::MemoryAccount;
use lapisrudder_limits::upload::Upload;

/// The end of a line, and of a value.
const LINE_END: &[u8] = b"\r\n";

/// A command that is received apart from `input`, because it is large or there is no room for it.
pub struct Receiving {
    /// Its size and its room.
    pub upload: Upload,
    /// What has been received; once it is refused, the last two bytes alone.
    bytes: Vec<u8>,
}

impl Receiving {
    /// The beginning of a command.
    pub fn new(upload: Upload, bytes: &[u8]) -> Receiving {
        let mut receiving = Receiving { upload, bytes: bytes.to_vec() };
        receiving.trim();
        receiving
    }

    /// Adds the next bytes, or drops them if there is no room.
    pub fn receive(&mut self, bytes: &[u8], account: &MemoryAccount) {
        self.upload.receive(bytes.len(), account);
        if !self.upload.is_refused() {
            // The whole command: memory is resident only once it is written to.
            self.bytes.reserve_exact(self.upload.missing() + bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        self.trim();
    }

    /// Drops all but the end, if it is refused.
    fn trim(&mut self) {
        if self.upload.is_refused() {
            self.bytes.drain(..self.bytes.len().saturating_sub(LINE_END.len()));
            self.bytes.shrink_to_fit();
        }
    }

    /// What has become of it, if it has arrived completely.
    pub fn complete(self) -> UploadRead {
        match self.upload.is_refused() {
            false => UploadRead::Complete(self.bytes),
            true if self.bytes == LINE_END => UploadRead::Refused,
            true => UploadRead::Malformed,
        }
    }
}

/// What was read of a command that is received apart.
pub enum UploadRead {
    /// A part of it, or nothing.
    Incomplete,
    /// All of it.
    Complete(Vec<u8>),
    /// All of it, and it was dropped, since there was no room.
    Refused,
    /// The same, but its value does not end where it should.
    Malformed,
    /// The peer has closed.
    Ended,
}
