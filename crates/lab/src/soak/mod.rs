//! The soak test: a fleet of real processes under many overlapping faults, drawn from a seed and checked by
//! all rules.
//!
//! Each seed enables a random subset of the kinds of fault, so that no kind always hides another (swarm
//! testing; Groce and others, ISSTA 2012), and draws the strength and the times of each. Every run also
//! stalls the nodes' processes.

mod system_calls;

pub use system_calls::{Tables, system_call_rules};

use crate::experiment::{ExperimentFile, FileError};
use lapisrudder_model::draw::stream;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

/// The size of a soak test.
#[derive(Clone, Copy, Debug)]
pub struct SoakSize {
    /// The number of nodes, each a process.
    pub nodes: usize,
    /// The number of cache servers.
    pub servers: usize,
    /// Requests per second at all nodes together, without the clients' retries.
    pub requests_per_s: f64,
    /// The duration of the load (seconds).
    pub seconds: f64,
}

impl Default for SoakSize {
    /// 24 nodes for 20 s.
    fn default() -> Self {
        SoakSize { nodes: 24, servers: 10, requests_per_s: 400.0, seconds: 20.0 }
    }
}

/// The share of the kinds of fault that a seed enables.
const ENABLED_SHARE: f64 = 0.45;
/// The share of the seeds with short deadlines.
const SHORT_DEADLINES: f64 = 0.25;
/// The earliest start of a random fault (seconds).
const FIRST_FAULT: f64 = 1.5;

/// The experiment of a seed.
///
/// # Errors
/// The size does not give a valid experiment.
pub fn soak(seed: u64, size: &SoakSize) -> Result<ExperimentFile, FileError> {
    let name = format!("soak-{seed}");
    ExperimentFile::parse(&name, &text(seed, size))
}

/// The text of a seed's experiment file.
pub fn text(seed: u64, size: &SoakSize) -> String {
    let draws = &mut stream(seed, "soak", 0);
    let mut text = world(draws, seed, size);
    let mut kinds: Vec<Kind> = KINDS.to_vec();
    kinds.shuffle(draws);
    for (number, kind) in kinds.into_iter().enumerate() {
        // Drawn for each kind, enabled or not, so that enabling a kind or not does not change the draws
        // for the others.
        let fault = kind(draws);
        let per_min = between(draws, 2.0, 8.0);
        let lasts = between(draws, 0.3, size.seconds / 4.0);
        if draws.random_bool(ENABLED_SHARE) {
            let until = size.seconds - 1.0;
            let when = format!(
                "random = {{ per_min = {per_min:.1}, from_s = {FIRST_FAULT}, until_s = {until:.1} }}"
            );
            add_fault(&mut text, &format!("{}-{number}", fault.kind()), &fault, &when, lasts);
        }
    }
    let stalls = DrawnFault::new("{ nodes = {} }", "{ hold-ups = { ms = 120, every_s = 1.5 } }");
    add_fault(&mut text, "hold-ups", &stalls, "at = [1.0]", size.seconds - 1.0);
    text
}

/// A fault that was drawn: its target and its kind, as TOML values.
struct DrawnFault {
    who: String,
    what: String,
    /// The duration (seconds), for a fault that needs one of its own.
    lasts: Option<f64>,
}

impl DrawnFault {
    fn new(who: impl Into<String>, what: impl Into<String>) -> DrawnFault {
        DrawnFault { who: who.into(), what: what.into(), lasts: None }
    }

    /// The name of the kind of fault.
    fn kind(&self) -> &str {
        self.what.split(['{', '"', '=']).map(str::trim).find(|word| !word.is_empty()).unwrap_or("fault")
    }
}

/// Draws a fault of one kind.
type Kind = fn(&mut ChaCha8Rng) -> DrawnFault;

const KINDS: [Kind; 24] = [
    |d| {
        DrawnFault::new(
            some_servers(d),
            format!("{{ pauses = {{ ms = {:.0}, every_s = 0.6 }} }}", between(d, 20.0, 400.0)),
        )
    },
    |d| {
        DrawnFault::new(some_servers(d), format!("{{ swallow = {{ rate = {:.2} }} }}", between(d, 0.05, 0.8)))
    },
    |d| DrawnFault::new(some_servers(d), format!("{{ errors = {{ rate = {:.2} }} }}", between(d, 0.05, 0.5))),
    |d| DrawnFault::new(some_servers(d), format!("{{ slow = {{ times = {:.1} }} }}", between(d, 2.0, 10.0))),
    |d| {
        DrawnFault::new(
            some_servers(d),
            format!("{{ drain = {{ drain_s = {:.1}, new_ids = true }} }}", between(d, 0.3, 2.0)),
        )
    },
    |d| DrawnFault::new(some_servers(d), "{ kill = { new_ids = true } }"),
    |d| DrawnFault::new(some_servers(d), "\"vanish\""),
    |d| {
        DrawnFault::new(
            "{ servers = {} }",
            format!("{{ flush = {{ share = {:.2} }} }}", between(d, 0.1, 0.6)),
        )
    },
    |d| {
        DrawnFault::new(
            "\"origin\"",
            format!("{{ pauses = {{ ms = {:.0}, every_s = 1.0 }} }}", between(d, 50.0, 300.0)),
        )
    },
    |d| DrawnFault::new("\"origin\"", format!("{{ swallow = {{ rate = {:.2} }} }}", between(d, 0.05, 0.4))),
    |d| {
        DrawnFault::new(
            "\"discovery\"",
            format!("{{ outage = {{ how = \"{}\" }} }}", OUTAGES[d.random_range(0..OUTAGES.len())]),
        )
    },
    |d| DrawnFault::new("\"discovery\"", format!("{{ slow = {{ times = {:.0} }} }}", between(d, 2.0, 60.0))),
    |d| DrawnFault::new("\"discovery\"", format!("{{ move = {{ close_s = {:.1} }} }}", between(d, 0.2, 1.5))),
    |d| {
        DrawnFault::new(
            servers_network(d),
            format!("{{ resets = {{ per_s = {:.2} }} }}", between(d, 0.05, 0.6)),
        )
    },
    |d| {
        DrawnFault::new(
            servers_network(d),
            format!("{{ lose-connects = {{ share = {:.2} }} }}", between(d, 0.05, 0.6)),
        )
    },
    |d| {
        DrawnFault::new(
            servers_network(d),
            format!("{{ cut = {{ heal = \"{}\" }} }}", HEALS[d.random_range(0..HEALS.len())]),
        )
    },
    |d| {
        DrawnFault::new(
            servers_network(d),
            format!("{{ delay = {{ ms = {:.0}, jitter = 0.5 }} }}", between(d, 2.0, 60.0)),
        )
    },
    |d| DrawnFault::new(some_nodes(d), "\"term\""),
    // Several nodes are told to stop at nearly the same time.
    |_| DrawnFault::new("{ nodes = { count = 6 } }", "\"term\""),
    // Servers hang during the node's shutdown and resume between its last call and the end of its process.
    |d| DrawnFault::new(some_nodes(d), "\"term-hang\""),
    // Long enough for the rule on drained nodes to apply, which checks their connections 4 s after the call.
    |d| DrawnFault { lasts: Some(5.0), ..DrawnFault::new(some_nodes(d), "\"standby\"") },
    // Many silent clients, which exhaust the node's descriptors.
    |d| {
        DrawnFault::new(
            "{ clients = {} }",
            format!("{{ flood = {{ kind = \"silent\", per_s = {:.0} }} }}", between(d, 100.0, 600.0)),
        )
    },
    |d| DrawnFault::new(some_nodes(d), "{ kill = {} }"),
    |d| DrawnFault::new(some_nodes(d), "{ hup = {} }"),
];

const OUTAGES: [&str; 3] = ["unavailable", "reset", "silent"];
const HEALS: [&str; 3] = ["resend", "silent", "reset"];

/// A uniform draw from `low` to `high`.
fn between(draws: &mut ChaCha8Rng, low: f64, high: f64) -> f64 {
    draws.random_range(low..high)
}

fn some_servers(draws: &mut ChaCha8Rng) -> String {
    format!("{{ servers = {{ count = {} }} }}", draws.random_range(1..=3))
}

fn some_nodes(draws: &mut ChaCha8Rng) -> String {
    format!("{{ nodes = {{ count = {} }} }}", draws.random_range(1..=3))
}

fn servers_network(draws: &mut ChaCha8Rng) -> String {
    format!("{{ network = {{ from = {{ nodes = {{}} }}, to = {} }} }}", some_servers(draws))
}

/// Adds a fault to the experiment's text.
fn add_fault(text: &mut String, name: &str, fault: &DrawnFault, when: &str, lasts: f64) {
    let DrawnFault { who, what, lasts: own } = fault;
    let lasts = own.unwrap_or(lasts);
    let _ = write!(
        text,
        "[[fault]]\nname = \"{name}\"\nwho = {who}\nwhat = {what}\nwhen = {{ {when} }}\nfor_s = {lasts:.1}\n"
    );
}

/// The experiment's text without its faults.
fn world(draws: &mut ChaCha8Rng, seed: u64, size: &SoakSize) -> String {
    let (usual, short) = (between(draws, 500.0, 1500.0), between(draws, 250.0, 500.0));
    let deadline = if draws.random_bool(SHORT_DEADLINES) { short } else { usual };
    let effect = ["safe", "keyed", "unsafe"][draws.random_range(0..3)];
    format!(
        r#"question = "Do all rules hold while faults of many kinds overlap?"
duration_s = {seconds:.1}
seeds = [{seed}]
[[class]]
name = "read"
share = 0.9
work_ms = 4
aim_ms = {aim:.0}
deadline_ms = {deadline:.0}
[[class]]
name = "book"
write = true
effect = "{effect}"
share = 0.1
work_ms = 4
window_s = {window:.1}
aim_ms = {aim:.0}
deadline_ms = {deadline:.0}
[world.nodes]
count = {nodes}
ready_within_s = 20
[world.origin]
capacity_per_s = {origin:.0}
[world.discovery]
notice_s = {notice:.2}
add_s = 0.3
[[world.servers]]
count = {servers}
cores = 1
[[load]]
rate = {{ bursty = {{ per_s = {rate:.0}, swing = 0.4, stretch_s = 2 }} }}
keys = {{ count = 4000 }}
sources = 16
connections = {{ habit = "{habit}", pipeline = {pipeline}, idle_s = {idle:.1} }}
retries = {{ impatient = {impatient:.2} }}
bad = [{{ kind = "noise", per_s = 1 }}, {{ kind = "half", per_s = 1 }}, {{ kind = "foreign-id", per_s = 0.5 }}]
"#,
        seconds = size.seconds,
        aim = deadline / 3.0,
        window = between(draws, 1.0, 6.0),
        nodes = size.nodes,
        origin = size.requests_per_s,
        notice = between(draws, 0.1, 1.2),
        servers = size.servers,
        rate = size.requests_per_s,
        habit = if draws.random_bool(0.7) { "keep" } else { "close" },
        pipeline = if draws.random_bool(0.3) { 4 } else { 1 },
        idle = between(draws, 0.5, 20.0),
        impatient = between(draws, 0.0, 0.2),
    )
}
