//! What must hold: metrics, and the little language of conditions on them.

use super::Rival;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

macro_rules! metrics {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $better:ident;)*) => {
        /// A figure of a run.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Metric {
            $($(#[$doc])* $name,)*
        }

        impl Metric {
            /// All of them.
            pub const ALL: &[Metric] = &[$(Metric::$name),*];

            /// As files and results name it.
            pub fn name(self) -> &'static str {
                match self { $(Metric::$name => $text),* }
            }

            /// Whether more or less of it is better.
            pub fn better(self) -> Better {
                match self { $(Metric::$name => Better::$better),* }
            }
        }
    };
}

/// Which way is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Better {
    /// More.
    Higher,
    /// Less.
    Lower,
}

metrics! {
    /// Worth answered within the aims over worth asked for (0 to 1); a retry counts to its first try.
    Goodput = "goodput", Higher;
    /// The lowest goodput of any second with at least 20 first tries.
    WorstSecond = "worst_second", Higher;
    /// The lowest goodput of any class.
    WorstClass = "worst_class", Higher;
    /// Median latency from the due time of a try (ms).
    P50Ms = "p50_ms", Lower;
    /// 99th percentile of it (ms).
    P99Ms = "p99_ms", Lower;
    /// 99.9th percentile of it (ms).
    P999Ms = "p999_ms", Lower;
    /// Rules broken, counted by violation.
    RulesBroken = "rules_broken", Lower;
    /// Share of tries refused (`busy`).
    RefusedShare = "refused_share", Lower;
    /// Share of tries failed.
    FailedShare = "failed_share", Lower;
    /// Share of tries that their client gave up.
    UnansweredShare = "unanswered_share", Lower;
    /// Share of reads at cache servers that hit.
    HitShare = "hit_share", Higher;
    /// Requests a second at the origin.
    OriginPerS = "origin_per_s", Lower;
    /// The most requests that the origin was sent in one second.
    OriginPeakPerS = "origin_peak_per_s", Lower;
    /// Requests at the origin over first tries.
    OriginShare = "origin_share", Lower;
    /// Attempts at cache servers and the origin over tries.
    AttemptsPerTry = "attempts_per_try", Lower;
    /// Tries over first tries.
    TriesPerFirst = "tries_per_first", Lower;
    /// Work sent to the busiest cache server over the mean, by capacity.
    Imbalance = "imbalance", Lower;
    /// The most connections open at the servers together.
    ServerConnections = "server_connections", Lower;
    /// Connections opened to servers in a second.
    HandshakesPerS = "handshakes_per_s", Lower;
    /// Connections that servers refused.
    ConnectionsRefused = "connections_refused", Lower;
    /// User and system time of the nodes over tries answered (microseconds).
    CpuUsPerRequest = "cpu_us_per_request", Lower;
    /// The most memory that a node had (MiB).
    MemoryMb = "memory_mb", Lower;
    /// The most descriptors that a node had.
    Descriptors = "descriptors", Lower;
    /// Share of bad clients' connections with neither an error nor a close in time.
    BadUnanswered = "bad_unanswered", Lower;
    /// From the end of the last fault until goodput is back at 0.95 of what it was before the first, for 2 s (seconds);
    /// infinite if it never is.
    RecoveryS = "recovery_s", Lower;
}

impl Metric {
    /// It is also kept for each class.
    pub fn by_class(self) -> bool {
        use Metric::*;
        matches!(
            self,
            Goodput | WorstSecond | P50Ms | P99Ms | P999Ms | RefusedShare | FailedShare | UnansweredShare
        )
    }

    /// It makes sense for a part of the run.
    pub fn by_window(self) -> bool {
        !matches!(self, Metric::RulesBroken | Metric::RecoveryS)
    }
}

impl fmt::Display for Metric {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Metric {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        Metric::ALL.iter().copied().find(|m| m.name() == s).ok_or_else(|| {
            let names: Vec<_> = Metric::ALL.iter().map(|m| m.name()).collect();
            format!("no metric `{s}`; there are {}", names.join(", "))
        })
    }
}

/// How a figure is held against its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// `>=`
    AtLeast,
    /// `>`
    Above,
    /// `<=`
    AtMost,
    /// `<`
    Below,
    /// `==`
    Equal,
}

impl Op {
    /// The sign.
    pub fn sign(self) -> &'static str {
        match self {
            Op::AtLeast => ">=",
            Op::Above => ">",
            Op::AtMost => "<=",
            Op::Below => "<",
            Op::Equal => "==",
        }
    }

    /// Whether a figure keeps to a bound. A figure that is not there (NaN) keeps to none.
    pub fn holds(self, seen: f64, bound: f64) -> bool {
        match self {
            Op::AtLeast => seen >= bound,
            Op::Above => seen > bound,
            Op::AtMost => seen <= bound,
            Op::Below => seen < bound,
            Op::Equal => seen == bound,
        }
    }
}

/// `METRIC OP NUMBER [* RIVAL]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// What is looked at.
    pub metric: Metric,
    /// How.
    pub op: Op,
    /// The bound, or what the rival's figure is multiplied by.
    pub bound: f64,
    /// Whose figure of the same metric.
    pub rival: Option<Rival>,
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.metric, self.op.sign(), self.bound)?;
        self.rival.map_or(Ok(()), |r| write!(f, " * {}", r.name()))
    }
}

impl FromStr for Condition {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let words: Vec<_> = s.split_whitespace().collect();
        let (metric, op, bound, rival) = match words[..] {
            [metric, op, bound] => (metric, op, bound, None),
            [metric, op, bound, "*", rival] => (metric, op, bound, Some(rival)),
            _ => {
                return Err(
                    "must read `METRIC OP NUMBER` or `METRIC OP NUMBER * RIVAL`, with spaces between".into(),
                );
            }
        };
        let ops = [Op::AtLeast, Op::Above, Op::AtMost, Op::Below, Op::Equal];
        let op = ops
            .into_iter()
            .find(|o| o.sign() == op)
            .ok_or(format!("no comparison `{op}`; there are >= > <= < =="))?;
        let bound: f64 =
            bound.parse().ok().filter(|b: &f64| b.is_finite()).ok_or(format!("`{bound}` is no number"))?;
        let rival = match rival {
            None => None,
            Some(name) => {
                let all = [Rival::Random, Rival::Ketama, Rival::Bounded];
                let found = all.into_iter().find(|r| r.name() == name);
                Some(found.ok_or(format!("no rival `{name}`; there are random, ketama, bounded"))?)
            }
        };
        Ok(Condition { metric: metric.parse()?, op, bound, rival })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn conditions_come_back_as_they_were_written() {
        for text in ["goodput >= 0.9", "p99_ms < 400", "rules_broken == 0", "goodput >= 1.1 * random"] {
            assert_eq!(text.parse::<Condition>().map(|c| c.to_string()), Ok(text.into()));
        }
        for m in Metric::ALL {
            assert_eq!(m.name().parse(), Ok(*m));
        }
        let holds = |text: &str, seen| text.parse::<Condition>().map(|c| c.op.holds(seen, c.bound));
        assert_eq!(holds("p99_ms < 400", 400.0), Ok(false));
        assert_eq!(holds("p99_ms <= 400", 400.0), Ok(true));
        assert_eq!(holds("goodput >= 0.9", f64::NAN), Ok(false));
    }
}
