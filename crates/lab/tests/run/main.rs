//! Whole runs over real sockets: an honest node breaks no rule, and each saboteur just its own.

mod recorded;
mod saboteur;

use lapisrudder_lab::experiment::{ExperimentFile, Metric};
use lapisrudder_lab::run::{RunOptions, run};
use lapisrudder_lab::stats::{Arm, LastLine, RunResult};
use std::time::Duration;

/// Not a test: the process of a node, which the others start by the name of this program.
#[test]
#[ignore = "the process of a node, started by the other tests"]
fn node_process() {
    saboteur::run();
}

/// The command line of a node that does this wrong.
fn node(wrong: &str) -> String {
    let program = std::env::current_exe().expect("this program");
    format!("env SABOTAGE={wrong} '{}' --ignored --exact node_process --nocapture", program.display())
}

/// A world with wide limits in time, so that a busy machine breaks no rule; faults go behind it.
fn file(faults: &str) -> ExperimentFile {
    // What would push a cold server over is little for five.
    let per_s = if faults == COLD { 250 } else { 90 };
    let impatient = if faults == LEAVE { 0.3 } else { 0.0 };
    let text = format!(
        r#"question = "Which rules does this node break?"
duration_s = 2.5
[[class]]
name = "read"
share = 0.9
work_ms = 5
work_cv = 0.3
aim_ms = 500
deadline_ms = 1000
[[class]]
name = "book"
write = true
effect = "unsafe"
share = 0.1
aim_ms = 500
deadline_ms = 1000
[world]
nodes = {{ count = 1, ready_within_s = 8 }}
origin = {{ capacity_per_s = 2000, time_ms = 2, sigma = 0.1 }}
discovery = {{ notice_s = 0.1, add_s = 0.1 }}
zones = {{ names = ["a"], same_ms = 0 }}
rules = {{ socket_slack_ms = 1000, drain_grace_ms = 50, tip_multiple = 2.5, fall_s = 1.0 }}
[[world.servers]]
count = 5
cores = 1
speed_cv = 0
cold_from = 0.15
cold_s = 20
warm_by = "time"
connections = {{ most_per_core = 400 }}
[[load]]
rate = {{ steady = {{ per_s = {per_s} }} }}
keys = {{ count = 100 }}
connections = {{ most = 200 }}
retries = {{ most = 0, try_share = [1.0, 1.0], impatient = {impatient} }}
[lab]
late_share = 1.0
lag_ms = 9000
lag_share = 1.0
{faults}"#
    );
    ExperimentFile::parse("world", &text).unwrap_or_else(|e| panic!("{e}"))
}

fn one_run(file: &ExperimentFile, options: &RunOptions) -> RunResult {
    run(file, options).unwrap_or_else(|e| panic!("{e}")).remove(0)
}

fn broken(result: &RunResult) -> Vec<&'static str> {
    result.arm(Arm::Nodes).expect("the nodes").broken.keys().map(|rule| rule.name()).collect()
}

const DRAIN: &str = r#"[[fault]]
name = "one drains"
who = { servers = { names = ["s0"] } }
what = { drain = { drain_s = 1.6 } }
when = { at = [0.4] }
for_s = 5
"#;

/// No fault, but clients of whom some leave early.
const LEAVE: &str = "# Some clients leave.\n";

const COLD: &str = r#"[[fault]]
name = "one is replaced"
who = { servers = { names = ["s0"] } }
what = { kill = { new_ids = true } }
when = { at = [0.4] }
"#;

/// What is wrong, the faults that it needs to show, the rule that it breaks, and others that may go with it.
const CASES: [Case; 16] = [
    ("nothing", "", "", &[]),
    ("nothing", DRAIN, "", &[]),
    ("nothing", COLD, "", &[]),
    ("nothing", LEAVE, "", &[]),
    ("leaves", LEAVE, "left", &[]),
    ("twice", "", "one-answer", &[]),
    ("late", "", "in-time", &[]),
    ("lost", "", "lost", &[]),
    ("foreign", "", "genuine", &[]),
    ("repeats", "", "effects", &[]),
    ("attempts", "", "attempts", &[]),
    ("drains", DRAIN, "drains", &[]),
    ("floods", COLD, "cold", &[]),
    ("greedy", "", "limits", &[]),
    // A booking that is sent again was carried out before; and a close that comes late crosses nothing.
    ("crossing", "", "crossing", &["effects", "lost"]),
    // What a process that dies held ends with it.
    ("dies", "", "alive", &["lost", "crossing", "effects"]),
];

#[test]
fn each_saboteur_is_caught_by_its_rule_and_the_honest_node_by_none() {
    for some in CASES.chunks(16) {
        std::thread::scope(|scope| some.iter().for_each(|case| drop(scope.spawn(|| one_case(*case)))));
    }
}

type Case = (&'static str, &'static str, &'static str, &'static [&'static str]);

fn one_case((wrong, faults, rule, with): Case) {
    let options = RunOptions { command: Some(node(wrong)), ..RunOptions::default() };
    let result = one_run(&file(faults), &options);
    let found = broken(&result);
    let nodes = result.arm(Arm::Nodes).expect("the nodes");
    let stories = nodes.stories.join("\n");
    let others: Vec<_> = found.iter().filter(|f| **f != rule && !with.contains(f)).collect();
    assert!(others.is_empty(), "{wrong}: also {others:?}\n{stories}");
    assert_eq!(found.contains(&rule), !rule.is_empty(), "{wrong}: {found:?}");
    assert_eq!(result.ok, rule.is_empty(), "{wrong}");
    if rule.is_empty() {
        let goodput = nodes.figure(Metric::Goodput);
        assert!(goodput > 0.6, "{wrong}: {goodput}");
    } else if with.is_empty() {
        assert!(stories.contains(rule), "the rule is named: {stories}");
    }
}

#[test]
fn a_node_that_never_comes_up_is_told() {
    let options = RunOptions { command: Some(node("never-up")), ..RunOptions::default() };
    let mut file = file("");
    file.experiment.world.nodes.ready_within_s = 0.5;
    let file = file.with(&[("world.nodes.ready_within_s".into(), 0.5.into())]).expect("a sound file");
    let result = one_run(&file, &options);
    assert_eq!(broken(&result), ["alive"]);
    let story = result.arms[0].stories.join("");
    assert!(story.contains("n0 never came up"), "{story}");
}

#[test]
fn a_lab_that_stands_still_makes_the_run_void() {
    let file = file("").with(&[("lab.lag_ms".into(), 250.0.into())]).expect("a sound file");
    let stall = Some((Duration::from_secs(1), Duration::from_millis(600)));
    let options = RunOptions { command: Some(node("nothing")), stall, ..RunOptions::default() };
    let result = one_run(&file, &options);
    assert!(result.void().is_some_and(|why| why.contains("stood still")), "{:?}", result.void());
    let last = LastLine::of(&[result]);
    assert_eq!((last.ok, last.void, last.status()), (false, true, 3));
}

#[test]
fn simple_policies_play_the_same_plan_and_all_is_kept() {
    let file = file("").with(&[
        ("rivals".into(), vec!["random", "ketama", "bounded"].into()),
        ("duration_s".into(), 1.0.into()),
    ]);
    let out = lapisrudder_lab::node::scratch("run-test").expect("a folder");
    let options = RunOptions {
        command: Some(node("nothing")),
        out: Some(out.path().to_owned()),
        keep_records: true,
        ..RunOptions::default()
    };
    let result = one_run(&file.expect("a sound file"), &options);
    assert_eq!(result.arms.len(), 4);
    for arm in &result.arms {
        let goodput = arm.figure(Metric::Goodput);
        assert!(goodput > 0.8 && arm.broken.is_empty(), "{}: {goodput} {:?}", arm.arm.name(), arm.stories);
    }
    assert!(result.arms[0].figure(Metric::CpuUsPerRequest) > 1.0);
    let line = serde_json::to_value(LastLine::of(&[result])).expect("JSON");
    for key in ["ok", "rules_broken", "void", "goodput", "p50_ms", "p99_ms", "p999_ms", "cpu_us_per_request"]
    {
        assert!(line.get(key).is_some_and(|v| !v.is_null()), "{key}: {line}");
    }
    for kept in ["report.html", "results.jsonl", "world-1-nodes.jsonl", "world-1-ketama.jsonl"] {
        assert!(out.path().join(kept).is_file(), "{kept}");
    }
}

/// Each kind of fault, on each party that it can be on: who, what.
const FAULTS: [(&str, &str); 36] = [
    ("{ servers = { count = 1 } }", "{ pauses = { ms = 20, every_s = 0.1 } }"),
    ("{ servers = { count = 1 } }", "{ slow = { times = 2 } }"),
    ("{ servers = { count = 1 } }", "{ errors = { rate = 0.1 } }"),
    ("{ servers = { count = 1 } }", "{ spoil = { rate = 0.1 } }"),
    ("{ servers = { count = 1 } }", "{ swallow = { rate = 0.1 } }"),
    ("{ servers = { count = 1 } }", "\"full-table\""),
    ("{ servers = { count = 1 } }", "{ flush = { share = 0.5 } }"),
    ("{ servers = { names = [\"s1\"] } }", "{ drain = { drain_s = 0.2 } }"),
    ("{ servers = { names = [\"s2\"] } }", "{ kill = { new_ids = true } }"),
    ("{ servers = { names = [\"s3\"] } }", "\"vanish\""),
    ("\"origin\"", "{ pauses = { ms = 20, every_s = 0.1 } }"),
    ("\"origin\"", "{ slow = { times = 2 } }"),
    ("\"origin\"", "{ errors = { rate = 0.1 } }"),
    ("\"origin\"", "{ kill = {} }"),
    ("\"discovery\"", "{ slow = { times = 3 } }"),
    ("\"discovery\"", "{ outage = { how = \"reset\" } }"),
    ("\"discovery\"", "\"stale\""),
    ("\"discovery\"", "{ lag = { s = 0.5 } }"),
    ("\"discovery\"", "{ kill = {} }"),
    ("\"discovery\"", "{ move = { close_s = 0.2 } }"),
    (
        "{ network = { from = { nodes = {} }, to = { servers = { count = 1 } } } }",
        "{ delay = { ms = 5, jitter = 0.5 } }",
    ),
    (
        "{ network = { from = { nodes = {} }, to = { servers = { count = 1 } } } }",
        "{ cut = { heal = \"reset\" } }",
    ),
    ("{ network = { from = { nodes = {} }, to = { servers = { count = 1 } } } }", "\"refuse-connects\""),
    (
        "{ network = { from = { nodes = {} }, to = { servers = { count = 1 } } } }",
        "{ lose-connects = { share = 0.5 } }",
    ),
    ("{ network = { from = { nodes = {} }, to = \"origin\" } }", "{ resets = { per_s = 2 } }"),
    ("{ network = { from = { nodes = {} }, to = \"origin\" } }", "{ short-writes = { bytes = 50 } }"),
    ("{ network = { from = { nodes = {} }, to = \"discovery\" } }", "{ delay = { ms = 5 } }"),
    ("{ network = { from = { nodes = {} }, to = \"clients\" } }", "{ delay = { ms = 2 } }"),
    ("{ network = { from = { nodes = {} }, to = \"clients\" } }", "\"reset-connects\""),
    ("{ clients = {} }", "{ surge = { times = 2 } }"),
    ("{ clients = {} }", "{ hot-caller = { share = 0.5, keys = 2 } }"),
    ("{ clients = {} }", "{ flood = { kind = \"silent\", per_s = 100 } }"),
    ("{ clients = {} }", "{ slow-readers = { bytes_per_s = 100000, share = 0.5 } }"),
    ("{ nodes = { names = [\"n0\"] } }", "{ hup = { set = { seed = \"1\" } } }"),
    ("{ nodes = { names = [\"n0\"] } }", "\"term\""),
    ("{ nodes = { count = 1 } }", "{ kill = {} }"),
];

#[test]
fn every_kind_of_fault_begins_and_ends() {
    let at = |n: usize| 0.2 + n as f64 * 0.05;
    let fault = |(n, (who, what)): (usize, &(&str, &str))| {
        let at = at(n);
        format!(
            "[[fault]]\nname = \"{n}\"\nwho = {who}\nwhat = {what}\nwhen = {{ at = [{at}] }}\nfor_s = 0.3\n"
        )
    };
    let mut faults: String = FAULTS.iter().enumerate().map(fault).collect();
    // And one that waits for what is seen, on the clients, so that its load is added then.
    faults += "[[fault]]\nname = \"more\"\nwho = { clients = {} }\nwhat = { surge = { times = 3 } }\nfor_s = 0.3\n\
               when = { once = { metric = \"origin_per_s\", above = 1, from_s = 0.8 } }\n";
    let file = file(&faults);
    let options = RunOptions { command: Some(node("nothing")), ..RunOptions::default() };
    let result = one_run(&file, &options);
    for (n, (who, what)) in FAULTS.iter().enumerate() {
        let shade = result.faults.iter().find(|s| s.name == n.to_string());
        let shade = shade.unwrap_or_else(|| panic!("{what} on {who} did not begin"));
        let late = shade.from_s - at(n);
        assert!((0.0..2.0).contains(&late), "{what} on {who} began {late} s late");
        assert!(shade.until_s >= shade.from_s, "{what} on {who}");
    }
    assert!(result.faults.iter().any(|s| s.name == "more"), "{:?}", result.faults);
}
