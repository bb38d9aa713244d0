//! How many lines are told of one message, and of one message about one matter. No clock: the time comes in.

use crate::Micros;
use rustc_hash::FxHashMap;

/// How many lines may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The time that lines are counted in, in microseconds. It begins with a message's first line, and anew with the
    /// first after it is over.
    pub window: Micros,
    /// Lines of one message about one matter in that time.
    pub repeats: u32,
    /// Lines of one message in that time, whatever they are about. It bounds memory too: so many matters are
    /// remembered for each message.
    pub lines: u32,
}

/// What is to become of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is told.
    Tell,
    /// It is counted only.
    Hold {
        /// It is the first that is held in this window.
        first: bool,
    },
}

/// Lines of one message that were held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held<S> {
    /// Which message.
    pub site: S,
    /// How many.
    pub count: u64,
    /// The text of one of them.
    pub example: String,
}

/// Counts lines by message (a site, `S`) and matter (a hash).
#[derive(Debug)]
pub struct Cap<S> {
    bounds: Bounds,
    /// In the order in which they were first seen. There are as many as the program has log calls.
    sites: Vec<(S, Site)>,
}

#[derive(Debug)]
struct Site {
    ends: Micros,
    told: u32,
    matters: FxHashMap<u64, u32>,
    held: u64,
    /// Held in windows that are over.
    owed: u64,
    example: String,
}

impl<S: PartialEq + Clone> Cap<S> {
    /// Nothing has been told yet.
    pub fn new(bounds: Bounds) -> Cap<S> {
        Cap { bounds, sites: Vec::new() }
    }

    /// Other bounds, from the windows on that are open.
    pub fn set(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Whether another line may be told. `text` gives its text where it is the first that is held.
    pub fn admit(&mut self, site: S, matter: u64, now: Micros, text: impl FnOnce() -> String) -> Verdict {
        let bounds = self.bounds;
        let index = self.sites.iter().position(|(s, _)| *s == site).unwrap_or_else(|| {
            self.sites.push((site, Site::new(now, bounds.window)));
            self.sites.len() - 1
        });
        let Some((_, site)) = self.sites.get_mut(index) else { return Verdict::Tell };
        if now >= site.ends {
            let owed = site.owed + site.held;
            *site =
                Site { owed, example: std::mem::take(&mut site.example), ..Site::new(now, bounds.window) };
        }
        let told = site.matters.get(&matter).copied().unwrap_or(0);
        if site.told < bounds.lines && told < bounds.repeats {
            site.told += 1;
            site.matters.insert(matter, told + 1);
            return Verdict::Tell;
        }
        site.held += 1;
        let first = site.held == 1;
        if first {
            site.example = text();
        }
        Verdict::Hold { first }
    }

    /// What was held back in windows that are over by now. It is given once.
    pub fn over(&mut self, now: Micros) -> Vec<Held<S>> {
        self.take(|site| now >= site.ends)
    }

    /// All that was held back. It is given once.
    pub fn all(&mut self) -> Vec<Held<S>> {
        self.take(|_| true)
    }

    fn take(&mut self, is_over: impl Fn(&Site) -> bool) -> Vec<Held<S>> {
        let mut all = Vec::new();
        for (name, site) in &mut self.sites {
            let held = if is_over(site) { std::mem::take(&mut site.held) } else { 0 };
            let count = std::mem::take(&mut site.owed) + held;
            if count > 0 {
                all.push(Held { site: name.clone(), count, example: site.example.clone() });
            }
        }
        // A site without news is forgotten with all its matters.
        self.sites.retain(|(_, site)| !is_over(site));
        all
    }

    /// When [`Cap::over`] will have something to give; `None` if there is nothing held back.
    pub fn next(&self) -> Option<Micros> {
        let due = |site: &Site| match (site.owed, site.held) {
            (0, 0) => None,
            (0, _) => Some(site.ends),
            _ => Some(Micros::MIN),
        };
        self.sites.iter().filter_map(|(_, site)| due(site)).min()
    }
}

impl Site {
    fn new(now: Micros, window: Micros) -> Site {
        Site {
            ends: now.saturating_add(window),
            told: 0,
            matters: FxHashMap::default(),
            held: 0,
            owed: 0,
            example: String::new(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUNDS: Bounds = Bounds { window: 1_000, repeats: 3, lines: 10 };

    /// The times at which lines of `site` about `matter` are told, of one every microsecond.
    fn told(
        cap: &mut Cap<char>,
        site: char,
        matter: impl Fn(i64) -> u64,
        times: std::ops::Range<i64>,
    ) -> Vec<i64> {
        let tells = |t: &i64| cap.admit(site, matter(*t), *t, || format!("{site}{t}")) == Verdict::Tell;
        times.filter(tells).collect()
    }

    #[test]
    fn repeats_are_held_and_told_once_when_their_window_is_over() {
        let mut cap = Cap::new(BOUNDS);
        assert_eq!(told(&mut cap, 'a', |_| 0, 0..1_000), [0, 1, 2]);
        assert_eq!((cap.next(), cap.over(999)), (Some(1_000), vec![]));
        let held = |count, example: &str| Held { site: 'a', count, example: example.into() };
        assert_eq!(cap.over(1_000), [held(997, "a3")]);
        assert_eq!((cap.next(), cap.over(5_000)), (None, vec![]));
        // A window that ends unseen is owed, and does not make the next one shorter.
        assert_eq!(told(&mut cap, 'a', |_| 0, 5_000..6_500), [5_000, 5_001, 5_002, 6_000, 6_001, 6_002]);
        assert_eq!(cap.next(), Some(Micros::MIN));
        assert_eq!(cap.over(6_600), [held(997, "a6003")]);
        assert_eq!(cap.all(), [held(497, "a6003")]);
    }

    #[test]
    fn a_storm_about_ever_other_matters_hides_no_other_message_and_takes_bounded_memory() {
        let mut cap = Cap::new(BOUNDS);
        assert_eq!(told(&mut cap, 'a', |t| t as u64, 0..1_000), (0..10).collect::<Vec<_>>());
        assert_eq!(told(&mut cap, 'b', |t| t as u64 % 2, 0..1_000), [0, 1, 2, 3, 4, 5]);
        let matters: Vec<usize> = cap.sites.iter().map(|(_, s)| s.matters.len()).collect();
        assert_eq!(matters, [10, 2]);
        let sites: Vec<(char, u64)> = cap.over(1_000).into_iter().map(|h| (h.site, h.count)).collect();
        assert_eq!(sites, [('a', 990), ('b', 994)]);
        assert!(cap.sites.is_empty(), "nothing is kept of what is over");
    }

    #[test]
    fn tighter_bounds_hold_at_once() {
        let mut cap = Cap::new(BOUNDS);
        assert_eq!(told(&mut cap, 'a', |_| 0, 0..1), [0]);
        cap.set(Bounds { repeats: 1, ..BOUNDS });
        assert!(told(&mut cap, 'a', |_| 0, 1..10).is_empty());
    }
}
