//! A short story of a failure: the steps around it as a table.

use super::{Day, Failure, Options, SimError, run::judge_day};
use crate::Micros;
use std::fmt::Write;

/// Lines of a story at the most.
const MOST: usize = 70;
/// What came so long before counts as the story's beginning.
const BEFORE: Micros = 400_000;

/// Plays a day with a full trace, and tells the steps that lead to a failure: those that name its request, and what
/// happened to all just before.
///
/// # Errors
/// The day cannot be played.
pub fn story(day: &Day, failure: &Failure) -> Result<String, SimError> {
    let (_, played) = judge_day(day, Options { trace: true, ..Options::default() })?;
    let id = request_in(&failure.text);
    let mut lines: Vec<&(Micros, String)> = (played.trace.iter())
        .filter(|(at, text)| {
            let named = id.as_ref().is_some_and(|id| text.contains(id.as_str()));
            let loud =
                ["strike", "fault", "BROKEN", "drain", "is killed", "SIGTERM", "tells", "is gone", "starts"];
            let near = *at <= failure.at && *at >= failure.at - BEFORE;
            named
                || near && (id.is_none() || loud.iter().any(|word| text.contains(word)))
                || loud[..3].iter().any(|word| text.contains(word)) && *at <= failure.at
        })
        .collect();
    if lines.len() > MOST {
        lines.drain(..lines.len() - MOST);
    }
    let mut table = format!("{:>12}  what\n", "time (s)");
    for (at, text) in lines {
        // Writing to a string cannot fail.
        let _ = writeln!(table, "{:>12.6}  {text}", *at as f64 / 1e6);
    }
    Ok(table)
}

/// The first request that a text names.
fn request_in(text: &str) -> Option<String> {
    let hex = |word: &&str| word.len() == 16 && word.bytes().all(|b| b.is_ascii_hexdigit());
    text.split(|c: char| !c.is_ascii_alphanumeric()).find(hex).map(str::to_owned)
}
