//! The daemon on loopback under faults, checked by the lab's rules over what clients, servers, discovery and
//! the network recorded. These tests cover what needs real sockets; orders of events are tested in memory
//! (`crates/engine/tests`).

use lapisrudder_lab::check::Rule;
use lapisrudder_lab::experiment::{ExperimentFile, Metric};
use lapisrudder_lab::run::{RunOptions, run};
use lapisrudder_lab::stats::Arm;

/// An experiment in a small world with these faults. Its time limits are wide, so that a busy machine breaks
/// no rule.
fn file(rules: &str, faults: &str) -> ExperimentFile {
    let text = format!(
        r#"question = "Which rules does the daemon break?"
duration_s = 4
[[class]]
name = "read"
share = 0.85
work_ms = 4
work_cv = 0.3
aim_ms = 500
deadline_ms = 1500
[[class]]
name = "put"
write = true
effect = "keyed"
window_s = 5
share = 0.1
aim_ms = 500
deadline_ms = 1500
[[class]]
name = "book"
write = true
effect = "unsafe"
share = 0.05
aim_ms = 500
deadline_ms = 1500
[world]
nodes = {{ count = 2, ready_within_s = 20 }}
origin = {{ capacity_per_s = 400, time_ms = 4, sigma = 0.3 }}
discovery = {{ notice_s = 0.1, add_s = 0.1 }}
zones = {{ names = ["a"], same_ms = 0 }}
rules = {{ socket_slack_ms = 2000, drain_grace_ms = 100, {rules} }}
[[world.servers]]
count = 5
cores = 1
speed_cv = 0
cold_from = 0.2
cold_s = 10
warm_by = "time"
connections = {{ most_per_core = 400 }}
[[load]]
rate = {{ steady = {{ per_s = 120 }} }}
keys = {{ count = 60 }}
connections = {{ most = 200 }}
retries = {{ most = 1 }}
[lab]
late_share = 1.0
lag_ms = 9000
lag_share = 1.0
{faults}"#
    );
    ExperimentFile::parse("world", &text).unwrap_or_else(|e| panic!("{e}"))
}

/// Faults of cache servers: drain and restart, kills, lost answers.
const SERVERS: &str = r#"[[fault]]
name = "one drains and comes back under another id"
who = { servers = { count = 1 } }
what = { drain = { drain_s = 0.8, new_ids = true } }
when = { at = [0.5] }
for_s = 0.5
[[fault]]
name = "one is killed and comes back under its own"
who = { servers = { count = 1 } }
what = { kill = {} }
when = { at = [0.8, 2.0] }
for_s = 0.4
[[fault]]
name = "answers never come"
who = { servers = { share = 0.4 } }
what = { swallow = { rate = 0.1 } }
when = { at = [1.0] }
for_s = 1
"#;

/// Faults of the origin, while the servers lose keys.
const ORIGIN: &str = r#"[[fault]]
name = "the origin is killed"
who = "origin"
what = { kill = {} }
when = { at = [0.6] }
for_s = 0.5
[[fault]]
name = "and falls silent"
who = "origin"
what = { swallow = { rate = 0.5 } }
when = { at = [1.8] }
for_s = 0.8
[[fault]]
name = "keys are lost"
who = { servers = {} }
what = { flush = { share = 0.8 } }
when = { at = [0.5, 1.7] }
"#;

/// Resets, corrupt responses and short writes.
const NETWORK: &str = r#"[[fault]]
name = "connections are reset"
who = { network = { from = { nodes = {} }, to = { servers = {} } } }
what = { resets = { per_s = 0.8 } }
when = { at = [0.4] }
for_s = 1.5
[[fault]]
name = "answers are spoilt"
who = { servers = { share = 0.5 } }
what = { spoil = { rate = 0.1 } }
when = { at = [1.0] }
for_s = 1
[[fault]]
name = "bytes come in pieces"
who = { network = { from = { nodes = {} }, to = { servers = {} } } }
what = { short-writes = { bytes = 7 } }
when = { at = [2.0] }
for_s = 1
"#;

/// Faults of discovery, with a drain and a restart of a node.
const LISTS: &str = r#"[[fault]]
name = "discovery lags behind and moves"
who = "discovery"
what = { move = { close_s = 0.3 } }
when = { at = [1.5] }
[[fault]]
name = "one drains before"
who = { servers = { count = 1 } }
what = { drain = { drain_s = 2.0 } }
when = { at = [0.6] }
for_s = 1
[[fault]]
name = "discovery is down"
who = "discovery"
what = { outage = {} }
when = { at = [2.4] }
for_s = 0.5
[[fault]]
name = "a node restarts as planned"
who = { nodes = { count = 1 } }
what = "term"
when = { at = [2.0] }
"#;

/// Fails if the daemon breaks a rule of the lab's checks under faults of servers, origin, network or
/// discovery.
#[test]
fn the_daemon_breaks_no_rule_under_faults_around_it() {
    let cases = [
        ("servers", "", SERVERS),
        ("servers, no second copies", "second_copies = false", SERVERS),
        ("origin", "", ORIGIN),
        ("network", "", NETWORK),
        ("network, no second copies", "second_copies = false", NETWORK),
        ("lists", "", LISTS),
    ];
    std::thread::scope(|scope| {
        for (name, rules, faults) in cases {
            scope.spawn(move || {
                let rules = if rules.is_empty() { "second_copies = true" } else { rules };
                let command = format!("'{}' serve", env!("CARGO_BIN_EXE_lapisrudder"));
                let options = RunOptions { command: Some(command), no_rivals: true, ..RunOptions::default() };
                let results = run(&file(rules, faults), &options).unwrap_or_else(|e| panic!("{name}: {e}"));
                let nodes = results[0].arm(Arm::Nodes).expect("the nodes");
                let broken: Vec<&str> = nodes.broken.keys().map(|rule: &Rule| rule.name()).collect();
                assert!(broken.is_empty(), "{name}: {broken:?}\n{}", nodes.stories.join("\n"));
                let goodput = nodes.figure(Metric::Goodput);
                assert!(
                    goodput > 0.3,
                    "{name}: too little goodput for the rules to mean anything: {goodput}"
                );
            });
        }
    });
}
