//! How a member is heard: operators and ownership need to know where a cut runs.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// How a member is heard here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Heard {
    /// It is this member.
    Itself,
    /// It answers.
    Directly,
    /// It does not answer, but others say that it answers them.
    ThroughOthers,
    /// Something of it arrives, but it does not answer: the way to it is cut, or it hears nothing.
    OneWay,
    /// Neither of these.
    Not,
    /// It was not asked yet.
    NotAsked,
}

/// When what was last heard of a member; 0 for never.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Times {
    /// It answered this member.
    pub(crate) direct: Micros,
    /// It did not.
    pub(crate) missed: Micros,
    /// Others said that it answered them.
    pub(crate) through: Micros,
    /// A datagram of its own arrived. It may have been played again: it is evidence of nothing but a way.
    pub(crate) from: Micros,
}

impl Times {
    /// As heard within the last `window`.
    pub(crate) fn heard(&self, now: Micros, window: Micros) -> Heard {
        let within = |at: Micros| at > 0 && now - at <= window;
        if self.direct > 0 && self.direct >= self.missed {
            return Heard::Directly;
        }
        match (self.missed > 0, within(self.from), within(self.through)) {
            (false, ..) => Heard::NotAsked,
            // What came before it last failed to answer says nothing of the way since.
            (_, true, _) if self.from > self.missed => Heard::OneWay,
            (_, _, true) => Heard::ThroughOthers,
            _ => Heard::Not,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_way_that_is_cut_shows_on_either_side() {
        let times = |direct, missed, through, from| Times { direct, missed, through, from };
        for (times, expected) in [
            (times(0, 0, 0, 0), Heard::NotAsked),
            (times(50, 0, 0, 50), Heard::Directly),
            (times(50, 60, 0, 0), Heard::Not),
            (times(50, 60, 61, 50), Heard::ThroughOthers),
            (times(50, 60, 61, 70), Heard::OneWay),
            (times(70, 60, 0, 70), Heard::Directly),
            (times(0, 60, 1, 2), Heard::Not),
        ] {
            assert_eq!(times.heard(100, 90), expected, "{times:?}");
        }
    }
}
