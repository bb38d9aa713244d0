//! The rules for whether an attempt may be sent, a request repeated or a connection closed now, and a count
//! of actions that broke these rules.
//!
//! Before such an action the caller collects the current facts and calls `check`. [`Violations`] counts what
//! a second check by the same rules finds at the action itself; it stays at zero unless there is a bug.

use crate::interface::{Effect, Micros};
use std::fmt;

/// Why an action is not allowed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has its final answer, or its client has left.
    NoAnswerPending,
    /// The request's deadline has passed.
    DeadlinePassed,
    /// Servers may have forgotten the request that the attempt would repeat.
    RepeatWindowOver,
    /// The server is draining or gone.
    ServerClosed,
    /// The request may have run, and must not run again.
    MayHaveRun,
    /// Answers are pending on the connection.
    AnswersPending,
    /// The connection has unread input.
    Unread,
    /// The answer was given after its deadline.
    AnsweredLate,
    /// The request's answer is pending in the engine but not in the host.
    NotPendingAtHost,
    /// Host and engine disagree about the requests whose answers are pending.
    AccountingMismatch,
    /// A client's connection was still open when its drain time was over.
    OpenAfterDrain,
}

impl Denial {
    const ALL: [Denial; 11] = [
        Denial::NoAnswerPending,
        Denial::DeadlinePassed,
        Denial::RepeatWindowOver,
        Denial::ServerClosed,
        Denial::MayHaveRun,
        Denial::AnswersPending,
        Denial::Unread,
        Denial::AnsweredLate,
        Denial::NotPendingAtHost,
        Denial::AccountingMismatch,
        Denial::OpenAfterDrain,
    ];

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Denial::NoAnswerPending => "nothing-owed",
            Denial::DeadlinePassed => "out-of-time",
            Denial::RepeatWindowOver => "forgotten",
            Denial::ServerClosed => "server-closed",
            Denial::MayHaveRun => "may-have-run",
            Denial::AnswersPending => "answers-owed",
            Denial::Unread => "unread",
            Denial::AnsweredLate => "answered-late",
            Denial::NotPendingAtHost => "not-open-at-host",
            Denial::AccountingMismatch => "books-differ",
            Denial::OpenAfterDrain => "held-past-drain",
        }
    }
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// An attempt, before its first byte is written.
#[derive(Clone, Copy, Debug)]
pub struct Begin {
    /// The current time.
    pub now: Micros,
    /// The request's answer is pending.
    pub pending: bool,
    /// The answer is awaited until this time.
    pub until: Micros,
    /// The attempt must begin before this time: servers may forget the request that it repeats soon after.
    pub begin_by: Micros,
    /// The server is listed and not draining.
    pub server_open: bool,
}

impl Begin {
    /// Whether the attempt may begin.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn check(&self) -> Result<(), Denial> {
        if !self.pending {
            return Err(Denial::NoAnswerPending);
        }
        if !self.server_open {
            return Err(Denial::ServerClosed);
        }
        if self.now >= self.begin_by {
            return Err(Denial::RepeatWindowOver);
        }
        if self.now >= self.until {
            return Err(Denial::DeadlinePassed);
        }
        Ok(())
    }
}

/// A retry or hedged attempt of a request, if an earlier attempt may have run.
#[derive(Clone, Copy, Debug)]
pub struct Repeat {
    /// The current time.
    pub now: Micros,
    /// Whether the request may run twice.
    pub effect: Effect,
    /// Both servers belong to a group that shares its record of keyed requests.
    pub same_group: bool,
    /// The repeat must begin before this time, while the servers remember the request.
    pub begin_by: Micros,
}

impl Repeat {
    /// Whether the repeat may be sent.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn check(&self) -> Result<(), Denial> {
        match self.effect {
            Effect::Safe => Ok(()),
            Effect::Keyed if !self.same_group => Err(Denial::MayHaveRun),
            Effect::Keyed if self.now >= self.begin_by => Err(Denial::RepeatWindowOver),
            Effect::Keyed => Ok(()),
            Effect::Unsafe => Err(Denial::MayHaveRun),
        }
    }
}

/// A client's connection, before it is closed between requests.
#[derive(Clone, Copy, Debug)]
pub struct Close {
    /// Answers are pending on it or not sent completely.
    pub pending: bool,
    /// It has unread input.
    pub unread: bool,
}

impl Close {
    /// Whether the connection may be closed.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn check(&self) -> Result<(), Denial> {
        if self.pending {
            return Err(Denial::AnswersPending);
        }
        if self.unread {
            return Err(Denial::Unread);
        }
        Ok(())
    }
}

/// Number of actions that were not allowed, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations([u64; Denial::ALL.len()]);

impl Violations {
    /// Counts the result of a check at the action itself.
    pub fn record(&mut self, result: Result<(), Denial>) {
        if let Err(denial) = result {
            self.0[denial as usize] += 1;
        }
    }

    /// Number of violations.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// The reasons that occurred, with their counts.
    pub fn found(&self) -> impl Iterator<Item = (Denial, u64)> {
        Denial::ALL.into_iter().zip(self.0).filter(|(_, count)| *count > 0)
    }
}

impl fmt::Display for Violations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let words: Vec<String> = self.found().map(|(denial, count)| format!("{denial} {count}")).collect();
        f.write_str(&words.join(", "))
    }
}
