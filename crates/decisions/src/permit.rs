//! Whether something may be sent, repeated or closed now: the one place that decides it, and the count of what was done
//! all the same.
//!
//! Whoever is about to act builds the facts as they are at that moment and asks. [`Violations`] counts what a check
//! at the act itself finds against the same rules; it stays at zero in a program without faults.

use crate::interface::{Effect, Micros};
use std::fmt;

/// Why something may not be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has its final answer, or its client has left.
    NoAnswerPending,
    /// Its time is over.
    OutOfTime,
    /// Servers may have forgotten what this would repeat.
    Forgotten,
    /// Its server drains or has left.
    ServerClosed,
    /// It may have run, and must not run again.
    MayHaveRun,
    /// Answers are owed on the connection.
    AnswersPending,
    /// Something has come on the connection that was not read.
    Unread,
    /// The answer's time is over.
    AnsweredLate,
    /// The host owes the request no answer, though the engine does.
    NotPendingAtHost,
    /// Host and engine do not agree about which requests are owed an answer.
    AccountingMismatch,
    /// A client's connection was held when the time of its drain was over.
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

    /// As logs name it.
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

/// An attempt whose first byte is about to be written.
#[derive(Clone, Copy, Debug)]
pub struct Begin {
    /// The time now.
    pub now: Micros,
    /// Its request is owed an answer.
    pub owed: bool,
    /// Its answer is waited for until then.
    pub until: Micros,
    /// It may begin until then: what it repeats is forgotten later.
    pub begin_by: Micros,
    /// Its server is listed and does not drain.
    pub server_open: bool,
}

impl Begin {
    /// Whether it may.
    ///
    /// # Errors
    /// Why not.
    pub fn check(&self) -> Result<(), Denial> {
        if !self.owed {
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

/// A further attempt of a request of which an earlier one may have run.
#[derive(Clone, Copy, Debug)]
pub struct Repeat {
    /// The time now.
    pub now: Micros,
    /// What running twice does.
    pub effect: Effect,
    /// Both servers remember the request together.
    pub same_group: bool,
    /// They do so until then.
    pub begin_by: Micros,
}

impl Repeat {
    /// Whether it may be sent.
    ///
    /// # Errors
    /// Why not.
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

/// A client's connection that is about to close between requests.
#[derive(Clone, Copy, Debug)]
pub struct Close {
    /// Answers are owed on it, or not sent.
    pub owed: bool,
    /// Something has come on it that was not read.
    pub unread: bool,
}

impl Close {
    /// Whether it may.
    ///
    /// # Errors
    /// Why not.
    pub fn check(&self) -> Result<(), Denial> {
        if self.owed {
            return Err(Denial::AnswersPending);
        }
        if self.unread {
            return Err(Denial::Unread);
        }
        Ok(())
    }
}

/// What was done although it was not allowed, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations([u64; Denial::ALL.len()]);

impl Violations {
    /// Counts what a check at the act itself has found.
    pub fn note(&mut self, found: Result<(), Denial>) {
        if let Err(denial) = found {
            self.0[denial as usize] += 1;
        }
    }

    /// How many there were.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Reasons that were found, with their numbers.
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
