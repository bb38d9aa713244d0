//! Locks that several processes of a node hold at the positions of one file (fcntl(2), open file description
//! locks). The system gives them up when their process ends, however it ends.

use crate::outcome::Operation;
use crate::retry::{MAX_IMMEDIATE_TRIES, retry_immediately};
use nix::errno::Errno;
use nix::fcntl::{FcntlArg, fcntl};
use nix::libc::{F_UNLCK, F_WRLCK, SEEK_SET, c_int, c_short, flock};
use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;

/// The result of [`LockFile::lock`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lock {
    /// This process holds the lock now.
    Held,
    /// Another process holds it.
    Taken,
}

/// A file at whose positions processes hold locks; nothing is written to it.
#[derive(Debug)]
pub struct LockFile(File);

impl LockFile {
    /// Opens the file, and creates it if there is none.
    ///
    /// # Errors
    /// It cannot be opened, even with retries.
    pub fn open(path: &Path) -> io::Result<LockFile> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        retry_immediately(Operation::File, || options.open(path)).map(LockFile)
    }

    /// Locks a position, unless another process holds it. Does not wait.
    ///
    /// # Errors
    /// The system cannot tell, even with retries.
    pub fn lock(&self, position: u64) -> io::Result<Lock> {
        let wanted = region(F_WRLCK, position);
        for _ in 0..MAX_IMMEDIATE_TRIES {
            match retry_immediately(Operation::Transfer, || self.set(&wanted)) {
                Ok(()) => return Ok(Lock::Held),
                // The number also stands for a shortage: only a lock that is seen there counts.
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::PermissionDenied) => {
                    if self.is_taken(position)? {
                        return Ok(Lock::Taken);
                    }
                }
                Err(e) => return Err(e),
            }
        }
        Err(io::ErrorKind::WouldBlock.into())
    }

    /// Whether another process holds the lock at a position.
    fn is_taken(&self, position: u64) -> io::Result<bool> {
        let mut found = region(F_WRLCK, position);
        retry_immediately(Operation::Open, || {
            found = region(F_WRLCK, position);
            fcntl(&self.0, FcntlArg::F_OFD_GETLK(&mut found)).map_err(to_io).map(drop)
        })?;
        Ok(c_int::from(found.l_type) != F_UNLCK)
    }

    /// Gives up the lock at a position.
    ///
    /// # Errors
    /// The system does not do it, even with retries.
    pub fn unlock(&self, position: u64) -> io::Result<()> {
        let freed = region(F_UNLCK, position);
        retry_immediately(Operation::Open, || self.set(&freed))
    }

    /// Changes the locks of this process.
    fn set(&self, lock: &flock) -> io::Result<()> {
        fcntl(&self.0, FcntlArg::F_OFD_SETLK(lock)).map_err(to_io).map(drop)
    }
}

/// A lock of a type (`F_WRLCK`, `F_UNLCK`) at a position.
fn region(kind: c_int, position: u64) -> flock {
    // Positions are signed numbers that are not negative.
    let l_start = (position & (i64::MAX as u64 >> 1)) as i64;
    flock { l_type: kind as c_short, l_whence: SEEK_SET as c_short, l_start, l_len: 1, l_pid: 0 }
}

fn to_io(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno as i32)
}
