//! The ids of open requests where two processes of a node run at the same time: what is in use in one of them
//! is refused in the other.
//!
//! Each process holds a lock at the position that stands for the id, in one file that both have open. A claim
//! is decided at once, without a message to the other process, and the system frees the ids of a process that
//! is killed. A process that runs alone holds no locks.

use lapisrudder_engine::IdDigest;
use lapisrudder_io::{Lock, LockFile};
use std::path::{Path, PathBuf};
use tracing::warn;

/// The ids that this process shares with others.
pub struct SharedIds {
    path: Option<PathBuf>,
    file: Option<LockFile>,
    shares: bool,
}

impl SharedIds {
    /// The ids of the processes that meet at `meeting_path`.
    pub fn new(meeting_path: Option<&Path>) -> SharedIds {
        SharedIds { path: meeting_path.map(|path| path.with_extension("ids")), file: None, shares: false }
    }

    /// Whether another process may hold ids.
    pub fn is_shared(&self) -> bool {
        self.shares
    }

    /// Another process runs beside this one from here on; `in_use` has the ids of this process.
    pub fn share(&mut self, in_use: impl Iterator<Item = IdDigest>) {
        self.shares = true;
        if self.file.is_none()
            && let Some(path) = &self.path
        {
            let opened = LockFile::open(path);
            self.file = opened.inspect_err(|e| warn!("takeover: cannot share the ids in use: {e}")).ok();
        }
        in_use.for_each(|id| _ = self.claim(id));
    }

    /// This process runs alone from here on.
    pub fn stop_sharing(&mut self) {
        self.shares = false;
        // The locks end with the file.
        self.file = None;
    }

    /// Claims an id for a request. False if it is in use in another process. Where the system cannot tell, the
    /// id is free: a request must not fail for want of locks.
    pub fn claim(&mut self, id: IdDigest) -> bool {
        let Some(file) = &self.file else { return true };
        match file.lock(id.0) {
            Ok(lock) => lock == Lock::Held,
            Err(e) => {
                warn!("takeover: cannot claim an id: {e}");
                true
            }
        }
    }

    /// Frees an id.
    pub fn release(&mut self, id: IdDigest) {
        let released = self.file.as_ref().map(|file| file.unlock(id.0));
        if let Some(Err(e)) = released {
            warn!("takeover: cannot free an id: {e}");
        }
    }
}
