//! Rate limits on log lines: per message, and per message and subject. There is no clock here; callers pass
//! the time.

use crate::Micros;
use rustc_hash::FxHashMap;

/// How many lines may be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Length, in microseconds, of the window in which lines are counted. A message's window starts with its
    /// first line, and the next one with the first line after its end.
    pub window: Micros,
    /// Maximum number of lines in a window with the same message and subject.
    pub repeats: u32,
    /// Maximum number of lines in a window with the same message, whatever their subjects. This also bounds
    /// memory: no more than this many subjects are stored per message.
    pub lines: u32,
}

/// What to do with a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Log it.
    Log,
    /// Do not log it; it was counted.
    Suppress {
        /// Whether it is the first one suppressed in this window.
        first: bool,
    },
}

/// The suppressed lines of one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suppressed<S> {
    /// The message, identified by its log call.
    pub site: S,
    /// Number of lines.
    pub count: u64,
    /// The text of one of the lines.
    pub example: String,
}

/// Counts lines by message (identified by the site of its log call, `S`) and subject (a hash).
#[derive(Debug)]
pub struct RateLimiter<S> {
    bounds: Bounds,
    /// In the order of their first line. There are at most as many as the program has log calls.
    sites: Vec<(S, Site)>,
}

/// The current window of one message.
#[derive(Debug)]
struct Site {
    window_end: Micros,
    logged: u32,
    /// Number of lines logged per subject.
    subjects: FxHashMap<u64, u32>,
    suppressed: u64,
    /// Lines suppressed in earlier windows and not yet reported.
    carried_over: u64,
    example: String,
}

impl<S: PartialEq + Clone> RateLimiter<S> {
    /// Starts without any lines counted.
    pub fn new(bounds: Bounds) -> RateLimiter<S> {
        RateLimiter { bounds, sites: Vec::new() }
    }

    /// Replaces the bounds. The limits on lines apply to open windows, too; the length applies from the next
    /// window on.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Decides on another line and counts it. `text` is called for its text if it is the first one suppressed
    /// in its window.
    pub fn admit(&mut self, site: S, subject: u64, now: Micros, text: impl FnOnce() -> String) -> Verdict {
        let bounds = self.bounds;
        let index = self.sites.iter().position(|(s, _)| *s == site).unwrap_or_else(|| {
            self.sites.push((site, Site::new(now, bounds.window)));
            self.sites.len() - 1
        });
        let Some((_, site)) = self.sites.get_mut(index) else { return Verdict::Log };
        if now >= site.window_end {
            let carried_over = site.carried_over + site.suppressed;
            *site = Site {
                carried_over,
                example: std::mem::take(&mut site.example),
                ..Site::new(now, bounds.window)
            };
        }
        let logged = site.subjects.get(&subject).copied().unwrap_or(0);
        if site.logged < bounds.lines && logged < bounds.repeats {
            site.logged += 1;
            site.subjects.insert(subject, logged + 1);
            return Verdict::Log;
        }
        site.suppressed += 1;
        let first = site.suppressed == 1;
        if first {
            site.example = text();
        }
        Verdict::Suppress { first }
    }

    /// Returns what was suppressed in windows that have ended, and forgets it.
    pub fn take_expired(&mut self, now: Micros) -> Vec<Suppressed<S>> {
        self.take(|site| now >= site.window_end)
    }

    /// Returns everything that was suppressed, and forgets it.
    pub fn take_all(&mut self) -> Vec<Suppressed<S>> {
        self.take(|_| true)
    }

    fn take(&mut self, is_expired: impl Fn(&Site) -> bool) -> Vec<Suppressed<S>> {
        let mut all = Vec::new();
        for (name, site) in &mut self.sites {
            let suppressed = if is_expired(site) { std::mem::take(&mut site.suppressed) } else { 0 };
            let count = std::mem::take(&mut site.carried_over) + suppressed;
            if count > 0 {
                all.push(Suppressed { site: name.clone(), count, example: site.example.clone() });
            }
        }
        // A site whose window has ended is removed with all its subjects, so that they do not accumulate.
        self.sites.retain(|(_, site)| !is_expired(site));
        all
    }

    /// The time from which [`RateLimiter::take_expired`] returns something; `None` if nothing is suppressed.
    pub fn next_due(&self) -> Option<Micros> {
        let due = |site: &Site| match (site.carried_over, site.suppressed) {
            (0, 0) => None,
            (0, _) => Some(site.window_end),
            _ => Some(Micros::MIN),
        };
        self.sites.iter().filter_map(|(_, site)| due(site)).min()
    }
}

impl Site {
    fn new(now: Micros, window: Micros) -> Site {
        Site {
            window_end: now.saturating_add(window),
            logged: 0,
            subjects: FxHashMap::default(),
            suppressed: 0,
            carried_over: 0,
            example: String::new(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUNDS: Bounds = Bounds { window: 1_000, repeats: 3, lines: 10 };

    /// Tries a line of `site` about `subject` every microsecond, and returns the times at which one is
    /// logged.
    fn logged_times(
        limiter: &mut RateLimiter<char>,
        site: char,
        subject: impl Fn(i64) -> u64,
        times: std::ops::Range<i64>,
    ) -> Vec<i64> {
        let is_logged =
            |t: &i64| limiter.admit(site, subject(*t), *t, || format!("{site}{t}")) == Verdict::Log;
        times.filter(is_logged).collect()
    }

    #[test]
    fn suppressed_repeats_are_reported_once_after_their_window() {
        let mut limiter = RateLimiter::new(BOUNDS);
        assert_eq!(logged_times(&mut limiter, 'a', |_| 0, 0..1_000), [0, 1, 2]);
        assert_eq!((limiter.next_due(), limiter.take_expired(999)), (Some(1_000), vec![]));
        let suppressed = |count, example: &str| Suppressed { site: 'a', count, example: example.into() };
        assert_eq!(limiter.take_expired(1_000), [suppressed(997, "a3")]);
        assert_eq!((limiter.next_due(), limiter.take_expired(5_000)), (None, vec![]));
        // A window that ended before `take_expired` was called is carried over and does not shorten the next
        // one.
        assert_eq!(
            logged_times(&mut limiter, 'a', |_| 0, 5_000..6_500),
            [5_000, 5_001, 5_002, 6_000, 6_001, 6_002]
        );
        assert_eq!(limiter.next_due(), Some(Micros::MIN));
        assert_eq!(limiter.take_expired(6_600), [suppressed(997, "a6003")]);
        assert_eq!(limiter.take_all(), [suppressed(497, "a6003")]);
    }

    #[test]
    fn burst_with_ever_new_subjects_is_bounded_and_hides_no_other_message() {
        let mut limiter = RateLimiter::new(BOUNDS);
        assert_eq!(logged_times(&mut limiter, 'a', |t| t as u64, 0..1_000), (0..10).collect::<Vec<_>>());
        assert_eq!(logged_times(&mut limiter, 'b', |t| t as u64 % 2, 0..1_000), [0, 1, 2, 3, 4, 5]);
        let subjects: Vec<usize> = limiter.sites.iter().map(|(_, s)| s.subjects.len()).collect();
        assert_eq!(subjects, [10, 2]);
        let sites: Vec<(char, u64)> =
            limiter.take_expired(1_000).into_iter().map(|h| (h.site, h.count)).collect();
        assert_eq!(sites, [('a', 990), ('b', 994)]);
        assert!(limiter.sites.is_empty(), "expired windows are removed");
    }

    #[test]
    fn stricter_bounds_apply_to_open_windows() {
        let mut limiter = RateLimiter::new(BOUNDS);
        assert_eq!(logged_times(&mut limiter, 'a', |_| 0, 0..1), [0]);
        limiter.set_bounds(Bounds { repeats: 1, ..BOUNDS });
        assert!(logged_times(&mut limiter, 'a', |_| 0, 1..10).is_empty());
    }
}
