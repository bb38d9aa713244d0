//! The system calls that fail in a soak test, drawn from its seed: which, in what way, how often and when.

use super::{ENABLED_SHARE, between};
use lapisrudder_fault_shim::errno::{
    EADDRNOTAVAIL, EAGAIN, ECANCELED, ECONNABORTED, EINTR, EIO, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC,
};
use lapisrudder_fault_shim::{Call, Control, Rule, table};
use lapisrudder_model::draw::stream;
use rand::Rng;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// In which way a call fails.
#[derive(Clone, Copy)]
enum Failure {
    /// The call returns this error.
    Error(i32),
    /// The call transfers a part of its bytes.
    Short,
    /// The call transfers one byte.
    OneByte,
    /// The wall clock is ahead by this many seconds, or behind if negative.
    Step(i64),
}

impl Failure {
    /// The failure as the shim's table stores it.
    fn code(self) -> u64 {
        match self {
            Failure::Error(errno) => u64::from(errno.unsigned_abs()),
            Failure::Short => table::SHORT,
            Failure::OneByte => table::ONE_BYTE,
            Failure::Step(seconds) => seconds.cast_unsigned(),
        }
    }
}

use Failure::{Error, OneByte, Short, Step};

/// The calls that can fail, each with its kinds of failure. A node makes all of them all the time: a run in
/// which an enabled call never failed shows that the fault injection does not work.
const KINDS: &[(Call, &[Failure])] = &[
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

/// The rules of a seed, without the calls in `leave_out`. Leaving calls out shows which failure breaks a run.
pub fn system_call_rules(seed: u64, leave_out: &[Call]) -> Vec<Rule> {
    let draws = &mut stream(seed, "soak system calls", 0);
    let mut rules = Vec::new();
    for (call, failures) in KINDS {
        let failure = failures[draws.random_range(0..failures.len())];
        let period = draws.random_range(1000..4000);
        let lasts = draws.random_range(100..900);
        let rate = between(draws, 0.02, 0.3);
        let burst = draws.random_range(1..=5);
        if draws.random_bool(ENABLED_SHARE) && !leave_out.contains(call) {
            let window_ms = Some((period, lasts));
            rules.push(Rule { error: failure.code(), burst, window_ms, ..Rule::with_rate(*call, 0, rate) });
        }
    }
    rules
}

/// A folder with a table of rules and counters for each node process.
#[derive(Debug)]
pub struct Tables {
    folder: PathBuf,
    calls: Vec<Call>,
}

impl Tables {
    /// Writes the template that each process copies.
    ///
    /// # Errors
    /// The template cannot be written.
    pub fn new(folder: &Path, seed: u64, leave_out: &[Call]) -> io::Result<Tables> {
        fs::create_dir_all(folder)?;
        let mut template = Control::create(&folder.join(table::TEMPLATE), seed)?;
        let rules = system_call_rules(seed, leave_out);
        rules.iter().try_for_each(|rule| template.add(*rule))?;
        Ok(Tables { folder: folder.into(), calls: rules.iter().map(|rule| rule.call).collect() })
    }

    /// How often each enabled call failed, in all processes together.
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
