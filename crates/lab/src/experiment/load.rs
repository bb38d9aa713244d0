//! Load: how many requests, for which keys, from which clients.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One stream of requests. Arrivals are drawn ahead and do not wait for answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Shown in reports; faults on clients may name it.
    #[serde(default = "usual")]
    pub name: String,
    /// First tries a second, over time.
    pub rate: Rate,
    /// Begins here (seconds from the start).
    #[serde(default)]
    pub from_s: f64,
    /// Ends here; the experiment's end if not given.
    pub until_s: Option<f64>,
    /// Class names with their shares; the classes' own shares if empty.
    #[serde(default)]
    pub mix: BTreeMap<String, f64>,
    /// Which keys.
    #[serde(default)]
    pub keys: Keys,
    /// Client addresses on loopback that the connections come from.
    #[serde(default = "one")]
    pub sources: u32,
    /// Share of the load by node, relative to their sum; evenly if empty.
    #[serde(default)]
    pub node_skew: Vec<f64>,
    /// How connections are used.
    #[serde(default)]
    pub connections: Connections,
    /// What a client does after a failure.
    #[serde(default)]
    pub retries: Retries,
    /// Clients that misbehave, beside the stream.
    #[serde(default)]
    pub bad: Vec<BadClient>,
}

fn usual() -> String {
    "usual".into()
}

fn one() -> u32 {
    1
}

/// First tries a second over time; arrivals are a Poisson process with this rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Rate {
    /// Always the same.
    Steady {
        /// Requests a second.
        per_s: f64,
    },
    /// A sine: `per_s * (1 + swing * sin(2 pi t / period_s))`.
    Wave {
        /// Mean requests a second.
        per_s: f64,
        /// Amplitude, as a share of the mean.
        swing: f64,
        /// Length of one wave (seconds).
        period_s: f64,
    },
    /// Switches between `per_s * (1 + swing)` and `per_s * (1 - swing)` at exponential times.
    Bursty {
        /// Mean requests a second.
        per_s: f64,
        /// Amplitude, as a share of the mean.
        swing: f64,
        /// Mean length of a stretch (seconds).
        stretch_s: f64,
    },
    /// Straight lines between points `[second, requests a second]`; the first and last rate go on outside.
    Points {
        /// In the order of time.
        points: Vec<(f64, f64)>,
    },
}

impl Rate {
    /// The highest rate that it reaches (requests a second).
    pub fn peak(&self) -> f64 {
        match self {
            Rate::Steady { per_s } => *per_s,
            Rate::Wave { per_s, swing, .. } | Rate::Bursty { per_s, swing, .. } => per_s * (1.0 + swing),
            Rate::Points { points } => points.iter().map(|p| p.1).fold(0.0, f64::max),
        }
    }
}

/// Keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Keys {
    /// How many there are at one time.
    pub count: u32,
    /// Exponent of the Zipf law of their popularity; 0 means all alike.
    pub zipf: f64,
    /// Share of the ranks that go to a key never seen before each second.
    pub drift_per_s: f64,
    /// Share of the requests for a key that is asked for only once.
    pub fresh: f64,
    /// Loads with the same number ask for the same keys.
    pub space: u16,
}

impl Default for Keys {
    fn default() -> Self {
        Self { count: 20_000, zipf: 0.9, drift_per_s: 0.0, fresh: 0.0, space: 0 }
    }
}

/// How connections to a node are used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Connections {
    /// The habit.
    pub habit: Habit,
    /// The most to one node from this load; a further request waits for one.
    pub most: u32,
    /// Requests written behind one another before an answer has come.
    pub pipeline: u32,
    /// A reader this slow (bytes a second); 0 means at full speed.
    pub read_bytes_per_s: u64,
    /// A client closes a connection that was idle this long (seconds).
    pub idle_s: f64,
}

impl Default for Connections {
    fn default() -> Self {
        Self { habit: Habit::Keep, most: 64, pipeline: 1, read_bytes_per_s: 0, idle_s: 60.0 }
    }
}

/// What a client does with its connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Habit {
    /// Keeps it for the next request; opens more when all are busy.
    Keep,
    /// Closes it.
    Close,
    /// Asks once and keeps it open for good, unused.
    AskOnce,
}

/// What a client does when it has not been served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// Tries after the first, at the most.
    pub most: u32,
    /// Share of the class's deadline that each try waits, shortest and longest.
    pub try_share: (f64, f64),
    /// The first wait before a retry, shortest and longest (ms); doubles with each.
    pub backoff_ms: (f64, f64),
    /// Share of the clients that heed `busy MS`.
    pub honour: f64,
    /// Marks retries by `r=1`.
    pub mark: bool,
    /// Share of the requests whose client leaves long before its time is up.
    pub impatient: f64,
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            most: 2,
            try_share: (0.4, 0.8),
            backoff_ms: (30.0, 240.0),
            honour: 0.8,
            mark: true,
            impatient: 0.005,
        }
    }
}

/// Clients that misbehave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BadClient {
    /// How.
    pub kind: BadKind,
    /// How many begin in a second.
    pub per_s: f64,
    /// Connections that each opens.
    #[serde(default = "one")]
    pub connections: u32,
}

/// What a bad client does; the names are those of the model's `BadKind`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BadKind {
    /// Bytes that are no command.
    Noise,
    /// A line that does not end.
    EndlessLine,
    /// A value of another length than stated.
    WrongLength,
    /// A negative length.
    NegativeLength,
    /// A length beyond any number, or one that is none.
    HugeLength,
    /// A value of 60 MB, sent whole.
    HugeValue,
    /// A class that does not exist.
    NoClass,
    /// A deadline that is no number.
    BadDeadline,
    /// No id.
    NoId,
    /// The id of another client's open request.
    ForeignId,
    /// Half a command, then a close.
    Half,
    /// Hundreds of commands at once.
    Burst,
    /// Something that cannot be used, and the same again as soon as it is turned away.
    Again,
    /// Says nothing, and connects by hundreds.
    Silent,
}
