//! Faults: what, on whom, when, for how long.

use super::BadKind;
use serde::{Deserialize, Serialize};

/// One thing that goes wrong, once or many times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Shown in reports and beside the shaded stretch of plots.
    pub name: String,
    /// On whom.
    pub who: Who,
    /// What.
    pub what: What,
    /// When it begins: exactly one of its forms.
    pub when: When,
    /// How long each occurrence lasts (seconds). What happens at one instant (flush, kill, a signal) needs none.
    #[serde(default)]
    pub for_s: f64,
}

/// When a fault begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum When {
    /// At these times (seconds from the start).
    At(Vec<f64>),
    /// At times drawn from the seed.
    Random(RandomTimes),
    /// Once what is seen has been past a bound for a while; at most `most` times.
    Once {
        /// What is looked at, over the last second.
        metric: SeenMetric,
        /// Holds when above this.
        above: Option<f64>,
        /// Holds when below this.
        below: Option<f64>,
        /// For this long without a break (seconds).
        #[serde(default)]
        for_s: f64,
        /// Not before (seconds from the start).
        #[serde(default)]
        from_s: f64,
        /// How often at the most.
        #[serde(default = "once")]
        most: u32,
    },
}

fn once() -> u32 {
    1
}

/// Times of a Poisson process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RandomTimes {
    /// Mean number in a minute.
    pub per_min: f64,
    /// From here (seconds from the start).
    #[serde(default)]
    pub from_s: f64,
    /// Until here; the end of the experiment if not given.
    pub until_s: Option<f64>,
}

/// What a condition can look at while a run goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SeenMetric {
    /// Worth answered within aims over worth asked for.
    Goodput,
    /// 99th percentile of latency (ms).
    P99Ms,
    /// Requests a second at the origin.
    OriginPerS,
    /// Share of reads that hit.
    HitShare,
    /// Requests that clients wait for.
    InFlight,
    /// Share of tries refused.
    RefusedShare,
}

/// On whom.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Who {
    /// Cache servers.
    Servers(Pick),
    /// The origin.
    Origin,
    /// Discovery.
    Discovery,
    /// The network between two sides.
    Network {
        /// One side.
        from: Side,
        /// The other.
        to: Side,
    },
    /// The clients of a load by its name, or all.
    Clients {
        /// The load.
        load: Option<String>,
    },
    /// Nodes.
    Nodes(Pick),
}

impl Who {
    /// As files name it.
    pub fn name(&self) -> &'static str {
        match self {
            Who::Servers(_) => "servers",
            Who::Origin => "origin",
            Who::Discovery => "discovery",
            Who::Network { .. } => "network",
            Who::Clients { .. } => "clients",
            Who::Nodes(_) => "nodes",
        }
    }
}

/// Some of many: what is given must all fit, then `share` or `count` picks among these, drawn anew each time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pick {
    /// These, by name: servers `s0`, `s1` ..., nodes `n0`, `n1` ...
    pub names: Vec<String>,
    /// Of this kind.
    pub kind: Option<String>,
    /// In this zone.
    pub zone: Option<String>,
    /// This share of them, at least one.
    pub share: Option<f64>,
    /// This many of them.
    pub count: Option<usize>,
}

/// One side of the network.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// All clients.
    Clients,
    /// Some nodes.
    Nodes(Pick),
    /// Some servers.
    Servers(Pick),
    /// The origin.
    Origin,
    /// Discovery.
    Discovery,
}

/// What goes wrong. The comment of each tells on whom it can be.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// Servers, origin: stands still for `ms` every `every_s` on average.
    Pauses {
        /// Mean length of one (ms).
        ms: f64,
        /// Mean time from one to the next (seconds).
        every_s: f64,
    },
    /// Servers, origin, discovery: everything takes this many times as long.
    Slow {
        /// Factor, above 1.
        times: f64,
    },
    /// Servers, origin: this share of requests ends in an error after it has run.
    Errors {
        /// Share.
        rate: f64,
    },
    /// Servers, origin: this share of answers is spoilt.
    Spoil {
        /// Share.
        rate: f64,
        /// In which ways; all if empty.
        #[serde(default)]
        ways: Vec<Spoil>,
    },
    /// Servers: drain, then go; they come back warm-up cold with their ids after `for_s`, with other ids if `new_ids`.
    Drain {
        /// From the drain to the end of the process (seconds).
        drain_s: f64,
        /// They come back as new machines.
        #[serde(default)]
        new_ids: bool,
    },
    /// Servers, origin, discovery, nodes: the process is killed; it is back `for_s` later.
    Kill {
        /// They come back under new ids (servers only).
        #[serde(default)]
        new_ids: bool,
    },
    /// Servers: the machine vanishes without a word, and is back, empty and cold, after `for_s`.
    Vanish,
    /// Servers: this share of keys loses its copies everywhere, at once.
    Flush {
        /// Share of the keys.
        share: f64,
    },
    /// Servers, origin: this share of requests is carried out and never answered.
    Swallow {
        /// Share.
        rate: f64,
    },
    /// Servers, origin: no new connection is taken, as if the table were full.
    FullTable,
    /// Discovery: is down.
    Outage {
        /// How calls end.
        #[serde(default)]
        how: OutageHow,
    },
    /// Discovery: goes on telling what it knew when this began.
    Stale,
    /// Discovery: tells what it knew so long ago.
    Lag {
        /// How long (seconds).
        s: f64,
    },
    /// Discovery: moves to another address. Nodes get a changed file and SIGHUP; the old address takes no new
    /// connection and closes the open ones after `close_s`.
    Move {
        /// How long the old address serves the open ones on (seconds).
        close_s: f64,
    },
    /// Network: this much more delay each way.
    Delay {
        /// Mean (ms).
        ms: f64,
        /// Coefficient of variation.
        #[serde(default)]
        jitter: f64,
    },
    /// Network: silent. What is open stays open, new connects never come up.
    Cut {
        /// What becomes of open connections when it ends.
        #[serde(default)]
        heal: Heal,
    },
    /// Network: new connections are refused.
    RefuseConnects,
    /// Network: new connections are reset as soon as they are up.
    ResetConnects,
    /// Network: this share of the new connections never comes up.
    LoseConnects {
        /// Share; 1 for all.
        share: f64,
    },
    /// Network: this share of open connections is reset in each second.
    Resets {
        /// Share.
        per_s: f64,
    },
    /// Network: bytes come in pieces of this size.
    ShortWrites {
        /// Bytes.
        bytes: usize,
    },
    /// Clients: this many times as many requests.
    Surge {
        /// Factor.
        times: f64,
    },
    /// Clients: one caller adds this share of the load, for a few keys of its own.
    HotCaller {
        /// Share of the load that it adds.
        share: f64,
        /// Keys that it asks for.
        keys: u64,
        /// How long it takes to rise and to fall (seconds).
        #[serde(default)]
        ramp_s: f64,
    },
    /// Clients: connections by the hundred.
    Flood {
        /// What each does once connected.
        kind: BadKind,
        /// How many are opened in a second.
        per_s: f64,
    },
    /// Clients: read at this speed.
    SlowReaders {
        /// Bytes a second.
        bytes_per_s: u64,
        /// Share of the connections.
        share: f64,
    },
    /// Nodes: SIGTERM, killed at the latest when the longest deadline and 0.7 s are over, started `for_s` after it
    /// has ended.
    Term,
    /// Nodes: as `term`; meanwhile all servers hang, from a drawn moment of the shutdown to one between the node's last
    /// call and its end.
    TermHang,
    /// Nodes: operators tell them to drain, and `for_s` later to serve again. Real processes alone.
    Standby,
    /// Nodes: a changed configuration file and SIGHUP.
    Hup(SignalSet),
    /// Nodes: the machine holds the process up, now and then, for up to `ms`.
    HoldUps {
        /// The longest (ms); a node has to bear [`LONGEST_HOLD_UP_MS`].
        ms: f64,
        /// Mean time from one to the next (seconds).
        every_s: f64,
    },
}

/// The longest hold-up that a node has to bear (ms).
pub const LONGEST_HOLD_UP_MS: f64 = 150.0;

impl What {
    /// As files name it.
    pub fn name(&self) -> &'static str {
        match self {
            What::Pauses { .. } => "pauses",
            What::Slow { .. } => "slow",
            What::Errors { .. } => "errors",
            What::Spoil { .. } => "spoil",
            What::Drain { .. } => "drain",
            What::Kill { .. } => "kill",
            What::Vanish => "vanish",
            What::Flush { .. } => "flush",
            What::Swallow { .. } => "swallow",
            What::FullTable => "full-table",
            What::Outage { .. } => "outage",
            What::Stale => "stale",
            What::Lag { .. } => "lag",
            What::Move { .. } => "move",
            What::Delay { .. } => "delay",
            What::Cut { .. } => "cut",
            What::RefuseConnects => "refuse-connects",
            What::ResetConnects => "reset-connects",
            What::LoseConnects { .. } => "lose-connects",
            What::Resets { .. } => "resets",
            What::ShortWrites { .. } => "short-writes",
            What::Surge { .. } => "surge",
            What::HotCaller { .. } => "hot-caller",
            What::Flood { .. } => "flood",
            What::SlowReaders { .. } => "slow-readers",
            What::Term => "term",
            What::TermHang => "term-hang",
            What::Standby => "standby",
            What::Hup(_) => "hup",
            What::HoldUps { .. } => "hold-ups",
        }
    }

    /// On whom it can be, as [`Who::name`] has it.
    pub fn parties(&self) -> &'static [&'static str] {
        match self {
            What::Pauses { .. }
            | What::Errors { .. }
            | What::Spoil { .. }
            | What::Swallow { .. }
            | What::FullTable => &["servers", "origin"],
            What::Slow { .. } => &["servers", "origin", "discovery"],
            What::Kill { .. } => &["servers", "origin", "discovery", "nodes"],
            What::Drain { .. } | What::Vanish | What::Flush { .. } => &["servers"],
            What::Outage { .. } | What::Stale | What::Lag { .. } | What::Move { .. } => &["discovery"],
            What::Delay { .. }
            | What::Cut { .. }
            | What::RefuseConnects
            | What::ResetConnects
            | What::LoseConnects { .. }
            | What::Resets { .. }
            | What::ShortWrites { .. } => &["network"],
            What::Surge { .. } | What::HotCaller { .. } | What::Flood { .. } | What::SlowReaders { .. } => {
                &["clients"]
            }
            What::Term | What::TermHang | What::Standby | What::Hup(_) | What::HoldUps { .. } => &["nodes"],
        }
    }

    /// It happens at one instant, and needs no length; a `for_s` of 0 for the others makes no sense. What is killed
    /// with a length of 0 is back at once.
    pub fn instant(&self) -> bool {
        matches!(
            self,
            What::Flush { .. }
                | What::Kill { .. }
                | What::Term
                | What::TermHang
                | What::Hup(_)
                | What::Move { .. }
                | What::Drain { .. }
        )
    }
}

/// What changes in a node's configuration file before a SIGHUP.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SignalSet {
    /// Keys laid over the file.
    pub set: toml::Table,
    /// The file is replaced by one that cannot be read.
    pub broken: bool,
}

/// How calls end while discovery is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageHow {
    /// With 503.
    #[default]
    Unavailable,
    /// With a reset.
    Reset,
    /// Not at all until it is back; then with a reset.
    Silent,
}

/// What becomes of open connections when a cut ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Heal {
    /// What was sent meanwhile arrives after all, as TCP sends again.
    #[default]
    Resend,
    /// Where something was sent meanwhile, nothing is ever heard again.
    Silent,
    /// What is sent on them is answered by a reset.
    Reset,
}

/// How an answer is spoilt, or what comes with it; the names are those of the model's `Noise`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spoil {
    /// Random bytes in the place of the answer.
    Garbage,
    /// A line that cannot be read.
    BadLine,
    /// A line that does not end.
    EndlessLine,
    /// A length that does not fit what follows.
    WrongLength,
    /// A value said to have 3 GB that keeps coming.
    Huge,
    /// The id of another request.
    OtherId,
    /// A good head and another value's bytes.
    OtherValue,
    /// Part of the answer, then the end of the connection.
    Cut,
    /// A good answer with interim lines (1xx) ahead.
    Interim,
    /// A good answer with a load report that cannot be read.
    BadReport,
    /// A good answer and a second copy of it, if nothing else waits on the connection.
    SecondCopy,
    /// A good answer with noise right behind, if nothing else waits on the connection.
    NoiseBehind,
}
