//! The world of an experiment: nodes, servers by kind, origin, discovery, zones, and the figures of the rules.

use serde::{Deserialize, Serialize};

/// Everything but the clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct World {
    /// The nodes under test.
    pub nodes: Nodes,
    /// Kinds of cache servers; at least one.
    pub servers: Vec<ServerKind>,
    /// The slow origin behind them.
    pub origin: Origin,
    /// The service that lists the servers.
    pub discovery: Discovery,
    /// Zones and the delays between them.
    pub zones: Zones,
    /// The figures of the rules, as the nodes' settings tell them.
    pub rules: Rules,
}

impl Default for World {
    fn default() -> Self {
        Self {
            nodes: Nodes::default(),
            servers: vec![ServerKind::default()],
            origin: Origin::default(),
            discovery: Discovery::default(),
            zones: Zones::default(),
            rules: Rules::default(),
        }
    }
}

/// The nodes: how many, what each may use, how one is started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Nodes {
    /// How many.
    pub count: usize,
    /// Cores for each: what the lab holds its CPU use against (it does not cap it).
    pub cores: f64,
    /// Memory limit, told to the node and checked (MiB).
    pub memory_mb: u64,
    /// Descriptor limit, told to the node, set for its process, and checked.
    pub sockets: u32,
    /// Command line in place of the built node (`lapisrudder serve`).
    pub command: Option<String>,
    /// How long a node may take to answer `MN` (seconds).
    pub ready_within_s: f64,
    /// The list of servers as the node last held it (`known` in its configuration).
    pub known: bool,
    /// How long the front goes on dealing connections to a node that has died (ms).
    pub notice_ms: f64,
    /// Keys laid over the `settings` of the node's configuration.
    pub settings: toml::Table,
}

impl Default for Nodes {
    fn default() -> Self {
        Self {
            count: 3,
            cores: 1.0,
            memory_mb: 192,
            sockets: 1024,
            command: None,
            ready_within_s: 10.0,
            known: true,
            notice_ms: 1500.0,
            settings: toml::Table::new(),
        }
    }
}

/// Cache servers of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerKind {
    /// As in discovery's `model`.
    pub name: String,
    /// How many run at the start.
    pub count: usize,
    /// Zones that they are placed in by turns; empty means all.
    pub zones: Vec<String>,
    /// Cores that work at once.
    pub cores: u32,
    /// Speed of a core against a standard one.
    pub speed: f64,
    /// Coefficient of variation of the speed between servers.
    pub speed_cv: f64,
    /// Requests in work at once, for each core.
    pub slots_per_core: f64,
    /// Places in the waiting room, for each core; past it a request is turned away.
    pub queue_per_core: f64,
    /// Efficiency lost for each time that the held requests per core exceed `thrash_at` once more.
    pub thrash: f64,
    /// Requests held per core from which the server grows less efficient.
    pub thrash_at: f64,
    /// Share of its capacity that a server starts with.
    pub cold_from: f64,
    /// How long it takes to get warm (seconds).
    pub cold_s: f64,
    /// What warms it.
    pub warm_by: WarmBy,
    /// Work that warms it whole, in seconds of its full capacity (where requests do).
    pub warm_work_s: f64,
    /// Memory for values (MiB).
    pub memory_mb: f64,
    /// Holds, when the run begins, what it would have been asked for lately; else it begins empty. Either way it begins
    /// warm. What starts later is empty and cold.
    pub filled: bool,
    /// What goes first when memory is full.
    pub evict: Eviction,
    /// How long a copy is good (seconds); 0 means for ever.
    pub ttl_s: f64,
    /// Stops of its own, as a garbage collector makes them.
    pub pauses: OwnPauses,
    /// Share of requests that end in an error after they have run.
    pub error_rate: f64,
    /// What becomes of a request whose node has left.
    pub cancel: Cancel,
    /// Drops requests whose `d` is over when their turn comes.
    pub drops_expired: bool,
    /// Tells hits and misses (`h1`, `h0`).
    pub tells_hit: bool,
    /// Its connections.
    pub connections: ServerConnections,
}

impl Default for ServerKind {
    fn default() -> Self {
        Self {
            name: "cache".into(),
            count: 9,
            zones: Vec::new(),
            cores: 2,
            speed: 1.0,
            speed_cv: 0.1,
            slots_per_core: 12.0,
            queue_per_core: 20.0,
            thrash: 0.05,
            thrash_at: 4.0,
            cold_from: 0.25,
            cold_s: 12.0,
            warm_by: WarmBy::Requests,
            warm_work_s: 4.0,
            memory_mb: 1.5,
            filled: true,
            evict: Eviction::Lru,
            ttl_s: 0.0,
            pauses: OwnPauses::default(),
            error_rate: 0.0,
            cancel: Cancel::Queued,
            drops_expired: false,
            tells_hit: true,
            connections: ServerConnections::default(),
        }
    }
}

/// What warms a cold server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WarmBy {
    /// Time alone.
    Time,
    /// The work that it has done, never slower than by time.
    Requests,
}

/// Which object goes when memory is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Eviction {
    /// The one used longest ago.
    Lru,
    /// The one stored longest ago.
    Fifo,
}

/// What a server does with a request that nobody waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cancel {
    /// Works on it to its end.
    None,
    /// Drops it while it waits for its turn.
    Queued,
    /// Drops it also in work.
    All,
}

/// Pauses that a server makes by itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OwnPauses {
    /// Mean time between them (seconds); 0 means none.
    pub every_s: f64,
    /// Mean length (ms).
    pub ms: f64,
}

/// A server's connections and what they cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerConnections {
    /// The most that it holds, for each core.
    pub most_per_core: f64,
    /// Requests on one connection that it works on at once.
    pub streams: u32,
    /// Time that the first request on a connection waits, as for a TLS handshake (ms).
    pub handshake_ms: f64,
    /// Work of a new connection on a standard core (ms).
    pub handshake_work_ms: f64,
    /// Share of capacity that a full table of connections takes.
    pub full_tax: f64,
    /// Closes a connection that has stood idle for this long (seconds).
    pub idle_s: f64,
    /// How it closes an idle one.
    pub idle_close: IdleClose,
}

impl Default for ServerConnections {
    fn default() -> Self {
        Self {
            most_per_core: 24.0,
            streams: 32,
            handshake_ms: 0.5,
            handshake_work_ms: 0.5,
            full_tax: 0.2,
            idle_s: 60.0,
            idle_close: IdleClose::Tell,
        }
    }
}

/// How an idle connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdleClose {
    /// The end of the stream is told.
    Tell,
    /// Nothing is told; what is written from then on ends in a reset.
    Silent,
}

/// The origin: slow, shared by all, overdriven easily.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Origin {
    /// Its zone; the first one if not named.
    pub zone: Option<String>,
    /// Median length of a value (bytes).
    pub value_bytes: u32,
    /// Sigma of the log-normal length.
    pub value_sigma: f64,
    /// Share of the keys whose objects change by themselves each second.
    pub changes_per_s: f64,
    /// Fetches that it can do in a second when not crowded.
    pub capacity_per_s: f64,
    /// Mean time of one fetch alone (ms).
    pub time_ms: f64,
    /// Sigma of the log-normal time.
    pub sigma: f64,
    /// Time of a write against that of a read.
    pub write_times: f64,
    /// Requests that wait at most; past it one is declined (503, never ran).
    pub queue: u32,
    /// Efficiency lost for each time that held requests exceed what it can do at once.
    pub thrash: f64,
    /// Goes on with work that nobody waits for.
    pub works_on: bool,
    /// Stops when sent over this many times its capacity for `fall_s`; 0 means never.
    pub fall_multiple: f64,
    /// How long it must be overdriven to stop (seconds).
    pub fall_s: f64,
    /// How long it stops (seconds).
    pub down_s: f64,
    /// Share of requests that end in 500 after they have run.
    pub error_rate: f64,
    /// The most connections that it holds.
    pub connections: u32,
}

impl Default for Origin {
    fn default() -> Self {
        Self {
            zone: None,
            value_bytes: 1024,
            value_sigma: 0.6,
            changes_per_s: 0.0,
            capacity_per_s: 300.0,
            time_ms: 25.0,
            sigma: 0.4,
            write_times: 1.5,
            queue: 200,
            thrash: 0.1,
            works_on: true,
            fall_multiple: 0.0,
            fall_s: 3.0,
            down_s: 5.0,
            error_rate: 0.0,
            connections: 512,
        }
    }
}

/// Discovery: late, and one service of fixed capacity for all nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// How long until it knows that a server drains or has gone (seconds).
    pub notice_s: f64,
    /// How long until it knows that a silent one has gone (seconds).
    pub silent_notice_s: f64,
    /// How long until it lists a server that has started (seconds).
    pub add_s: f64,
    /// List lines that it writes in a second, for all nodes together.
    pub lines_per_s: f64,
    /// Lines that a call costs beside its entries.
    pub call_lines: f64,
    /// Time of a call alone (ms).
    pub call_ms: f64,
    /// A call that waits longer for its turn fails (ms).
    pub timeout_ms: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            notice_s: 1.0,
            silent_notice_s: 6.0,
            add_s: 1.0,
            lines_per_s: 4000.0,
            call_lines: 20.0,
            call_ms: 1.0,
            timeout_ms: 2000.0,
        }
    }
}

/// Zones, and the time that bytes take (one way).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Zones {
    /// Their names. Nodes and servers are placed in them by turns.
    pub names: Vec<String>,
    /// Within one zone (ms).
    pub same_ms: f64,
    /// Between two zones (ms).
    pub cross_ms: f64,
    /// Coefficient of variation of both.
    pub jitter: f64,
}

impl Default for Zones {
    fn default() -> Self {
        Self { names: vec!["a".into(), "b".into(), "c".into()], same_ms: 0.2, cross_ms: 2.0, jitter: 0.2 }
    }
}

/// The figures of the rules. Nodes are told those that their settings have a key for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// How long after a deadline a final answer still counts (ms).
    pub answer_slack_ms: f64,
    /// What real sockets add to each time limit (ms).
    pub socket_slack_ms: f64,
    /// A taken request with no answer when its time is up: broken rule, or merely failed.
    pub silence_breaks: bool,
    /// How long a node may send to a server after it was told that it drains or has gone (ms).
    pub drain_grace_ms: f64,
    /// What discovery has to tell counts as told this long after it has it, whether or not it arrived (seconds).
    pub told_within_s: f64,
    /// Where a call of the node is held open then, not before this long after its wait is over (seconds).
    pub told_after_hold_s: f64,
    /// A node that has neither watched nor asked for this long is treated as told (seconds).
    pub ask_within_s: f64,
    /// A cold server that is sent over this many times its present capacity ...
    pub tip_multiple: f64,
    /// ... for this long topples (seconds).
    pub fall_s: f64,
    /// Slack on that budget for chance, as a share of it.
    pub tip_slack: f64,
    /// A server starts at this share of its capacity or higher.
    pub start_capacity: f64,
    /// And is warm no later than this (seconds).
    pub cold_s: f64,
    /// Attempts for one request at the most.
    pub attempts: u32,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// A bad client is owed an error or a close in this time (seconds).
    pub bad_within_s: f64,
    /// An operator is owed an answer in this time (seconds).
    pub management_within_s: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            answer_slack_ms: 20.0,
            socket_slack_ms: 50.0,
            silence_breaks: true,
            drain_grace_ms: 500.0,
            told_within_s: 6.0,
            told_after_hold_s: 2.0,
            ask_within_s: 10.0,
            tip_multiple: 3.0,
            fall_s: 2.0,
            tip_slack: 0.1,
            start_capacity: 0.13,
            cold_s: 24.0,
            attempts: 3,
            second_copies: true,
            bad_within_s: 3.0,
            management_within_s: 1.0,
        }
    }
}
