//! The system calls that fail in a soak: which, how, how often and when, drawn from its seed.

use super::{SWITCHED_ON, between};
use lapisrudder_fault_shim::errno::{
    EADDRNOTAVAIL, EAGAIN, ECANCELED, ECONNABORTED, EINTR, EIO, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC,
};
use lapisrudder_fault_shim::{Call, Control, Rule, table};
use lapisrudder_model::draw::stream;
use rand::Rng;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// How a call can fail.
#[derive(Clone, Copy)]
enum How {
    /// With this error.
    Error(i32),
    /// It moves a part of its bytes.
    Short,
    /// It moves one byte.
    OneByte,
    /// The wall clock reads so many seconds more.
    Step(i64),
}

impl How {
    fn word(self) -> u64 {
        match self {
            How::Error(errno) => u64::from(errno.unsigned_abs()),
            How::Short => table::SHORT,
            How::OneByte => table::ONE_BYTE,
            How::Step(seconds) => seconds.cast_unsigned(),
        }
    }
}

use How::{Error, OneByte, Short, Step};

/// Calls that a node makes all the time, so that a play without failures of one that is on tells of something wrong.
const KINDS: &[(Call, &[How])] = &[
    (
        Call::Accept,
        &[Error(EMFILE), Error(ENFILE), Error(ENOBUFS), Error(ENOMEM), Error(ECONNABORTED), Error(EINTR)],
    ),
    (Call::Socket, &[Error(EMFILE), Error(ENFILE), Error(ENOBUFS), Error(ENOMEM)]),
    (Call::Connect, &[Error(EADDRNOTAVAIL), Error(EAGAIN), Error(EINTR), Error(ENOBUFS)]),
    (Call::EpollCtl, &[Error(ENOMEM), Error(ENOSPC)]),
    (Call::EpollWait, &[Error(EINTR)]),
    (Call::TimerfdSettime, &[Error(ECANCELED)]),
    (Call::Poll, &[Error(EINTR), Error(ENOMEM)]),
    (Call::Recv, &[Error(EINTR), Error(EAGAIN), Error(ENOMEM), Error(ENOBUFS), Short, OneByte]),
    (Call::Send, &[Error(EINTR), Error(EAGAIN), Error(ENOMEM), Error(ENOBUFS), Short, OneByte]),
    (Call::Setsockopt, &[Error(ENOMEM), Error(ENOBUFS)]),
    (Call::Getsockopt, &[Error(ENOBUFS)]),
    (Call::Getpeername, &[Error(ENOBUFS)]),
    (Call::Shutdown, &[Error(ENOBUFS)]),
    (Call::Open, &[Error(EMFILE), Error(EIO)]),
    (Call::Read, &[Error(EINTR), Error(EIO)]),
    (Call::Write, &[Error(ENOSPC), Error(EIO), Error(EAGAIN)]),
    (Call::Close, &[Error(EINTR), Error(EIO)]),
    (Call::WallClock, &[Step(3600), Step(-3600)]),
];

/// The rules of a seed. One of `leave_out` is on in none: for telling which fault breaks a play.
pub fn system_call_rules(seed: u64, leave_out: &[Call]) -> Vec<Rule> {
    let draws = &mut stream(seed, "soak system calls", 0);
    let mut rules = Vec::new();
    for (call, ways) in KINDS {
        let how = ways[draws.random_range(0..ways.len())];
        let period = draws.random_range(1000..4000);
        let lasts = draws.random_range(100..900);
        let rate = between(draws, 0.02, 0.3);
        let burst = draws.random_range(1..=5);
        if draws.random_bool(SWITCHED_ON) && !leave_out.contains(call) {
            let window_ms = Some((period, lasts));
            rules.push(Rule { error: how.word(), burst, window_ms, ..Rule::with_rate(*call, 0, rate) });
        }
    }
    rules
}

/// A folder in which each process of a node keeps a table of its own.
#[derive(Debug)]
pub struct Tables {
    folder: PathBuf,
    calls: Vec<Call>,
}

impl Tables {
    /// Writes the template that processes copy.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn new(folder: &Path, seed: u64, leave_out: &[Call]) -> io::Result<Tables> {
        fs::create_dir_all(folder)?;
        let mut template = Control::create(&folder.join(table::TEMPLATE), seed)?;
        let rules = system_call_rules(seed, leave_out);
        rules.iter().try_for_each(|rule| template.add(*rule))?;
        Ok(Tables { folder: folder.into(), calls: rules.iter().map(|rule| rule.call).collect() })
    }

    /// How often each call that is to fail did, in all processes together.
    ///
    /// # Errors
    /// A table cannot be read.
    pub fn delivered(&self) -> io::Result<Vec<(Call, u64)>> {
        let mut counts: Vec<(Call, u64)> = self.calls.iter().map(|call| (*call, 0)).collect();
        for file in fs::read_dir(&self.folder)? {
            let path = file?.path();
            if path.ends_with(table::TEMPLATE) {
                continue;
            }
            let control = Control::open(&path)?;
            for (call, count) in &mut counts {
                *count += control.delivered(*call)?;
            }
        }
        Ok(counts)
    }
}
