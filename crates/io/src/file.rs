//! Files: a read returns the complete file or fails.

use crate::outcome::{Operation, is_momentary};
use crate::retry::retry_immediately;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Reads a complete file.
///
/// # Errors
/// The file cannot be read, even with retries.
pub fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    retry_immediately(Operation::File, || fs::read(path))
}

/// Reads a complete text file.
///
/// # Errors
/// The file cannot be read, even with retries, or is not UTF-8.
pub fn read_text(path: &Path) -> io::Result<String> {
    retry_immediately(Operation::File, || fs::read_to_string(path))
}

/// Opens a file for reading.
///
/// # Errors
/// The file cannot be opened, even with retries.
pub fn open_file(path: &Path) -> io::Result<File> {
    retry_immediately(Operation::File, || File::open(path))
}

/// Pause between the tries of a write, and their maximum number: for streams on which no request waits.
const WRITE_PAUSE: Duration = Duration::from_millis(1);
const WRITE_TRIES: usize = 100;

/// Writes a complete line to a stream that may fail temporarily or take it in parts.
///
/// # Errors
/// The stream does not take the line, even with retries; a part of it may be written.
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
