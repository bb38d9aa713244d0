//! How each try and each first try ended.

use crate::experiment::Experiment;
use crate::ledger::{Answer, ClassNo, ClientEvent, Closer, Index, Try};
use crate::{Micros, millis};

/// How a try ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A value or a receipt.
    Served,
    /// `busy`.
    Refused,
    /// Any other line, an answer that is not whole, or a connection that ended.
    Failed,
    /// Its time was up, or nothing was known of it when the run ended.
    Unanswered,
    /// The client left before its time was up.
    Left,
}

/// A try's end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TryEnd {
    /// When it was due.
    pub due: Micros,
    /// When it ended.
    pub over: Micros,
    /// How.
    pub end: End,
    /// A final answer came, of whatever kind.
    pub answered: bool,
    /// Its class.
    pub class: ClassNo,
    /// It is a first try.
    pub first: bool,
}

impl TryEnd {
    /// The time that counts as its latency, from when it was due: of what was served until its last byte, of what was
    /// never answered until its client gave up, so that silence does not flatter. Refusals and failures have none.
    pub fn latency(&self) -> Option<Micros> {
        matches!(self.end, End::Served | End::Unanswered).then_some(self.over - self.due)
    }
}

/// What became of a first try and its retries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEnd {
    /// When the first try was due.
    pub due: Micros,
    /// Its class.
    pub class: ClassNo,
    /// What was asked for.
    pub worth: f64,
    /// What was answered: all inside the aim, the class's `late_worth` until its deadline, counted from `due`.
    pub earned: f64,
}

/// All ends, in the order of due times. Bad clients are left out.
#[derive(Clone, Debug, Default)]
pub struct Ends {
    /// Of tries.
    pub tries: Vec<TryEnd>,
    /// Of first tries.
    pub firsts: Vec<FirstEnd>,
}

impl Ends {
    /// Of a run.
    pub fn of(index: &Index<'_>, e: &Experiment) -> Self {
        let mut ends = Ends::default();
        let over = index.end();
        for t in index.ledger.tries.iter().filter(|t| !t.flags.bad) {
            let end = end_of(index, t, over);
            ends.tries.push(end);
            if t.id == t.first {
                ends.firsts.push(first_end(index, e, t, over));
            }
        }
        ends
    }
}

fn end_of(index: &Index<'_>, t: &Try, run_over: Micros) -> TryEnd {
    let mut conn = None;
    let mut found = None;
    for r in index.client(t.id) {
        let end = match r.event {
            ClientEvent::Sent { conn: c, .. } => {
                conn = Some((c, r.at));
                continue;
            }
            ClientEvent::Answered { answer, .. } if answer.served() => End::Served,
            ClientEvent::Answered { answer: Answer::Busy, .. } => End::Refused,
            ClientEvent::Answered { .. } | ClientEvent::Broken { .. } => End::Failed,
            ClientEvent::GivenUp { early: true, .. } => End::Left,
            ClientEvent::GivenUp { early: false, .. } => End::Unanswered,
            _ => continue,
        };
        found = Some((r.at, end, matches!(r.event, ClientEvent::Answered { .. })));
        break;
    }
    let (at, end, answered) = found
        .or_else(|| {
            let (conn, sent) = conn?;
            let ended = index.client_conn(conn).find_map(|r| match r.event {
                ClientEvent::Closed { by: Closer::Them | Closer::Reset, .. } if r.at >= sent => Some(r.at),
                _ => None,
            })?;
            Some((ended, End::Failed, false))
        })
        .unwrap_or((run_over, End::Unanswered, false));
    TryEnd { due: t.due, over: at, end, answered, class: t.class, first: t.id == t.first }
}

fn first_end(index: &Index<'_>, e: &Experiment, t: &Try, run_over: Micros) -> FirstEnd {
    let Some(class) = e.classes.get(t.class.index()) else {
        return FirstEnd { due: t.due, class: t.class, worth: 0.0, earned: 0.0 };
    };
    let served = index.chain(t.id).map(|t| end_of(index, t, run_over)).filter(|end| end.end == End::Served);
    let share = match served.map(|end| end.over - t.due).min() {
        Some(took) if took <= millis(class.aim_ms) => 1.0,
        Some(took) if took <= millis(class.deadline_ms) => class.late_worth,
        _ => 0.0,
    };
    FirstEnd { due: t.due, class: t.class, worth: class.worth, earned: class.worth * share }
}
