//! Files: what is read is read whole or not at all.

use crate::outcome::{Operation, is_momentary};
use crate::retry::at_once;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// All of a file.
///
/// # Errors
/// It cannot be read, also not when tried again.
pub fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    at_once(Operation::File, || fs::read(path))
}

/// All of a file that holds text.
///
/// # Errors
/// It cannot be read, also not when tried again, or is no text.
pub fn read_text(path: &Path) -> io::Result<String> {
    at_once(Operation::File, || fs::read_to_string(path))
}

/// Opens a file for reading.
///
/// # Errors
/// It cannot be opened, also not when tried again.
pub fn open_file(path: &Path) -> io::Result<File> {
    at_once(Operation::File, || File::open(path))
}

/// Pauses between tries to write, and their number: for streams that nobody's request waits for.
const WRITE_PAUSE: Duration = Duration::from_millis(1);
const WRITE_TRIES: usize = 100;

/// Writes all of a line to a stream that may fail for a moment or take it in parts.
///
/// # Errors
/// It is not taken, also not for a while: a part of it may be.
pub fn write_line(to: &mut impl Write, line: &[u8]) -> io::Result<()> {
    let (mut rest, mut failures) = (line, 0);
    while !rest.is_empty() {
        match to.write(rest) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => rest = rest.get(n..).unwrap_or_default(),
            Err(e) if is_momentary(Operation::File, &e) && failures < WRITE_TRIES => {
                failures += 1;
                thread::sleep(WRITE_PAUSE);
            }
            Err(e) => return Err(e),
        }
    }
    to.flush()
}
