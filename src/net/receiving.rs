//! A command that is received apart from a client's other input: its bytes, and what becomes of it.

use bytes::Bytes;
use lapisrudder_io::LargeBuffer;
use lapisrudder_limits::memory_account::MemoryAccount;
use lapisrudder_limits::upload::Upload;
use std::io;

/// The end of a line, and of a value.
const LINE_END: &[u8] = b"\r\n";

/// A command that is received apart from `input`, because it is large or there is no room for it.
pub struct Receiving {
    /// Its size and its room.
    pub upload: Upload,
    received: Received,
}

/// What is kept of a command.
enum Received {
    /// All that has arrived, in a buffer for the whole command.
    All(LargeBuffer),
    /// The last two bytes, once it is refused.
    End(Vec<u8>),
}

impl Receiving {
    /// The beginning of a command.
    ///
    /// # Errors
    /// There is no address space for the whole command.
    pub fn new(upload: Upload, bytes: &[u8]) -> io::Result<Receiving> {
        let mut received = match upload.is_refused() {
            true => Received::End(Vec::new()),
            false => Received::All(LargeBuffer::new(bytes.len() + upload.missing())?),
        };
        received.append(bytes);
        Ok(Receiving { upload, received })
    }

    /// The beginning of a command of `total` bytes that is refused.
    pub fn refused(total: usize, bytes: &[u8]) -> Receiving {
        let mut received = Received::End(Vec::new());
        received.append(bytes);
        Receiving { upload: Upload::refused(total, bytes.len()), received }
    }

    /// Adds the next bytes, or drops them if there is no room.
    pub fn receive(&mut self, bytes: &[u8], account: &MemoryAccount) {
        self.upload.receive(bytes.len(), account);
        self.received.append(bytes);
        if self.upload.is_refused() {
            self.received.drop_all_but_end();
        }
    }

    /// What has become of it, if it has arrived completely.
    pub fn complete(self) -> UploadRead {
        match self.received {
            Received::All(buffer) => UploadRead::Complete(Bytes::from_owner(buffer)),
            Received::End(end) if end == LINE_END => UploadRead::Refused,
            Received::End(_) => UploadRead::Malformed,
        }
    }
}

impl Received {
    fn append(&mut self, bytes: &[u8]) {
        match self {
            Received::All(buffer) => _ = buffer.append(bytes),
            Received::End(end) => {
                end.extend_from_slice(last(bytes));
                *end = last(end).to_vec();
            }
        }
    }

    fn drop_all_but_end(&mut self) {
        if let Received::All(buffer) = self {
            *self = Received::End(last(buffer.as_ref()).to_vec());
        }
    }
}

/// The last bytes, as many as the end of a line has.
fn last(bytes: &[u8]) -> &[u8] {
    &bytes[bytes.len().saturating_sub(LINE_END.len())..]
}

/// What was read of a command that is received apart.
pub enum UploadRead {
    /// A part of it, or nothing.
    Incomplete,
    /// All of it.
    Complete(Bytes),
    /// All of it, and it was dropped, since there was no room.
    Refused,
    /// The same, but its value does not end where it should.
    Malformed,
    /// The peer has closed.
    Ended,
}
