//! How other members can be reached. Operators and ownership need it to locate a partition.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// How this member reaches another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reachability {
    /// This is the member itself.
    Itself,
    /// It answers this member's probes.
    Directly,
    /// It does not answer this member, but helpers report that it answers them.
    ThroughOthers,
    /// Datagrams from it arrive, but it does not answer: the path to it is broken, or it receives nothing.
    OneWay,
    /// Neither an answer, a helper's report nor a datagram.
    Not,
    /// It has not been probed yet.
    NotAsked,
}

/// When each kind of sign of a member was last seen; 0 for never.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LastHeard {
    /// It answered this member.
    pub(crate) direct: Micros,
    /// It failed to answer by the probe deadline.
    pub(crate) missed: Micros,
    /// A helper reported that it answered.
    pub(crate) indirect: Micros,
    /// A datagram from it arrived. As that may have been replayed, it proves no more than that the path
    /// works.
    pub(crate) datagram: Micros,
}

impl LastHeard {
    /// The reachability from what was seen within the last `window`.
    pub(crate) fn reachability(&self, now: Micros, window: Micros) -> Reachability {
        let recent = |at: Micros| at > 0 && now - at <= window;
        if self.direct > 0 && self.direct >= self.missed {
            return Reachability::Directly;
        }
        match (self.missed > 0, recent(self.datagram), recent(self.indirect)) {
            (false, ..) => Reachability::NotAsked,
            // Datagrams before the last missed probe say nothing about the path since then.
            (_, true, _) if self.datagram > self.missed => Reachability::OneWay,
            (_, _, true) => Reachability::ThroughOthers,
            _ => Reachability::Not,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn broken_path_shows_on_either_side() {
        let heard = |direct, missed, indirect, datagram| LastHeard { direct, missed, indirect, datagram };
        for (last_heard, expected) in [
            (heard(0, 0, 0, 0), Reachability::NotAsked),
            (heard(50, 0, 0, 50), Reachability::Directly),
            (heard(50, 60, 0, 0), Reachability::Not),
            (heard(50, 60, 61, 50), Reachability::ThroughOthers),
            (heard(50, 60, 61, 70), Reachability::OneWay),
            (heard(70, 60, 0, 70), Reachability::Directly),
            (heard(0, 60, 1, 2), Reachability::Not),
        ] {
            assert_eq!(last_heard.reachability(100, 90), expected, "{last_heard:?}");
        }
    }
}
