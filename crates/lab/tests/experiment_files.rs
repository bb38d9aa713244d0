//! Experiment files: good ones with their defaults, bad ones with one clear line, and plans that a seed fixes.

use lapisrudder_lab::experiment::{ExperimentFile, Metric, schedule};
use std::fs;
use std::path::Path;
use std::process::Command;
use toml::{Table, Value};

const GOOD: &str = r#"question = "Does it hold?"
duration_s = 20
seeds = [1, 2]
rivals = ["random"]

[world.nodes]
count = 2

[[world.servers]]
name = "big"
count = 4
cores = 2

[[load]]
rate = { steady = { per_s = 300 } }

[[fault]]
name = "half of them pause"
who = { servers = { share = 0.5 } }
what = { pauses = { ms = 300, every_s = 1 } }
when = { at = [5] }
for_s = 5

[[fault]]
name = "now and then one is killed"
who = { servers = { count = 1 } }
what = { kill = { new_ids = true } }
when = { random = { per_min = 20 } }
for_s = 2

[[hold]]
that = "goodput >= 1.1 * random"
from_s = 5
"#;

/// Replace the first text by the second (or, if the first is empty, append); expect that line and key, and a text
/// that contains the last.
const BAD: &[(&str, &str, usize, &str, &str)] = &[
    ("[world.nodes]", "[world.nodes", 6, "", "unclosed table"),
    ("count = 2", "cuont = 2", 7, "world.nodes.cuont", "unknown field `cuont`"),
    ("count = 2", "count = \"two\"", 7, "world.nodes.count", "invalid type"),
    ("count = 2", "count = 0", 7, "world.nodes.count", "1 to 300"),
    ("question = \"Does it hold?\"", "question = \" \"", 1, "question", "empty"),
    ("question = \"Does it hold?\"\n", "", 1, "", "missing field `question`"),
    ("duration_s = 20", "duration_s = nan", 2, "duration_s", "must be 0.5 to"),
    ("duration_s = 20", "duration_s = 20\nwarmup_s = 20", 3, "warmup_s", "end before"),
    ("seeds = [1, 2]", "seeds = [1, -2]", 3, "seeds.1", "invalid value"),
    ("seeds = [1, 2]", "seeds = [7, 7]", 3, "seeds", "differ"),
    ("rivals = [\"random\"]", "rivals = [\"magic\"]", 4, "rivals.0", "unknown variant `magic`"),
    ("rivals = [\"random\"]", "rivals = []", 32, "hold.0.that", "not among `rivals`"),
    ("name = \"big\"", "name = \"origin\"", 10, "world.servers.0.name", "taken"),
    ("cores = 2", "cores = 0", 12, "world.servers.0.cores", "1 to 1024"),
    ("cores = 2", "cold_from = 0.01", 12, "world.servers.0.cold_from", "colder"),
    ("cores = 2", "zones = [\"a\", \"x\"]", 12, "world.servers.0.zones.1", "no zone `x`"),
    (
        "{ steady = { per_s = 300 } }",
        "{ steady = { per_s = 300, swing = 1 } }",
        15,
        "load.0.rate.steady.swing",
        "unexpected keys in table: swing",
    ),
    (
        "{ steady = { per_s = 300 } }",
        "{ wobbly = { per_s = 300 } }",
        15,
        "load.0.rate.wobbly",
        "unknown variant `wobbly`",
    ),
    ("{ steady = { per_s = 300 } }", "{ steady = { per_s = 0 } }", 15, "load.0.rate.steady.per_s", "is 0"),
    (
        "{ steady = { per_s = 300 } }",
        "{ points = { points = [[5, 1], [2, 1]] } }",
        15,
        "load.0.rate.points.points",
        "rise in time",
    ),
    ("[[fault]]", "mix = { raed = 1 }\n[[fault]]", 17, "load.0.mix.raed", "no class"),
    ("[[load]]", "[load]", 14, "load", "expected a sequence"),
    ("share = 0.5", "share = 1.5", 19, "fault.0.who.servers.share", "must be 0 to 1"),
    ("share = 0.5", "names = [\"s4\"]", 19, "fault.0.who.servers.names.0", "`s0` to `s3`"),
    (
        "who = { servers = { share = 0.5 } }",
        "who = \"discovery\"",
        20,
        "fault.0.what",
        "can be on servers, origin",
    ),
    ("when = { at = [5] }", "when = { at = [25] }", 21, "fault.0.when.at", "must be 0 to 20"),
    (
        "when = { at = [5] }",
        "when = { once = { metric = \"goodput\" } }",
        21,
        "fault.0.when.once.above",
        "either `above` or `below`",
    ),
    ("for_s = 5\n", "", 17, "fault.0.for_s", "how long"),
    ("goodput >= 1.1 * random", "goodput > = 1", 32, "hold.0.that", "METRIC OP NUMBER"),
    ("goodput >= 1.1 * random", "godput >= 1", 32, "hold.0.that", "no metric `godput`"),
    ("goodput >= 1.1 * random", "rules_broken == 0", 32, "hold.0.that", "whole run"),
    ("from_s = 5", "class = \"write\"", 33, "hold.0.class", "no class"),
    ("", "[sweep]\n\"world.nodes.count\" = []\n", 35, "sweep.world.nodes.count", "at least one value"),
    (
        "",
        "[sweep]\n\"world.nodes.count\" = [1, 0]\n",
        35,
        "sweep.world.nodes.count",
        "at world.nodes.count=0",
    ),
    (
        "",
        "[sweep]\n\"world.servers.small.count\" = [1]\n",
        35,
        "sweep.world.servers.small.count",
        "no entry `small`",
    ),
    ("", "[sweep]\n\"world.nodes.cuont\" = [1]\n", 35, "sweep.world.nodes.cuont", "unknown field `cuont`"),
    ("", "[[class]]\nname = \"a b\"\n", 35, "class.0.name", "letters, digits"),
    ("", "[[class]]\nname = \"a\"\neffect = \"unsafe\"\n", 36, "class.0.effect", "of a read"),
];

#[test]
fn each_bad_file_gives_one_clear_line() {
    assert!(
        ExperimentFile::parse("x.toml", GOOD).is_ok(),
        "{:?}",
        ExperimentFile::parse("x.toml", GOOD).err()
    );
    let mut wrong = Vec::new();
    for (old, new, line, key, text) in BAD {
        let bad = if old.is_empty() { format!("{GOOD}{new}") } else { GOOD.replacen(old, new, 1) };
        assert_ne!(bad, GOOD, "`{old}` is not in the good file");
        let said = match ExperimentFile::parse("x.toml", &bad) {
            Ok(_) => "nothing".to_owned(),
            Err(e) => e.to_string(),
        };
        let key = if key.is_empty() { String::new() } else { format!("{key}: ") };
        if !said.starts_with(&format!("x.toml:{line}: {key}")) || !said.contains(text) || said.contains('\n')
        {
            wrong.push(format!("`{new}`: wanted line {line}, `{key}`, `{text}`; got: {said}"));
        }
    }
    assert!(wrong.is_empty(), "\n{}", wrong.join("\n"));
}

#[test]
fn sweeps_and_changes_reach_named_entries_and_defaults() {
    let swept = format!(
        "{GOOD}[sweep]\n\"world.servers.big.cores\" = [1, 4]\n\"world.zones.cross_ms\" = [1, 2, 3]\n"
    );
    let file = ExperimentFile::parse("x.toml", &swept).unwrap();
    let all = file.experiments().unwrap();
    let points: Vec<_> = all.iter().map(|(p, _)| p.to_string()).collect();
    assert_eq!(points.len(), 6);
    assert_eq!(points[5], "world.servers.big.cores=4,world.zones.cross_ms=3");
    assert_eq!((all[5].1.world.servers[0].cores, all[5].1.world.zones.cross_ms), (4, 3.0));
    let changed = file.with(&[("load.0.rate.steady.per_s".into(), Value::Integer(50))]).unwrap();
    assert_eq!(changed.experiment.loads[0].rate.peak(), 50.0);
    assert!(file.with(&[("load.usual.keys.zpif".into(), Value::Float(1.0))]).is_err());
}

#[test]
fn a_seed_fixes_the_plan_of_faults() {
    let e = ExperimentFile::parse("x.toml", GOOD).unwrap().experiment;
    let plan = schedule(&e, 7);
    assert_eq!(format!("{plan:?}"), format!("{:?}", schedule(&e, 7)));
    assert_ne!(plan, schedule(&e, 8));
    let of = |fault| plan.occurrences.iter().filter(move |o| o.fault == fault);
    let pause: Vec<_> = of(0).collect();
    assert_eq!((pause.len(), pause[0].from, pause[0].until), (1, 5_000_000, 10_000_000));
    assert_eq!(pause[0].servers.len(), 2, "half of four");
    assert!(of(1).count() > 1 && of(1).all(|o| o.servers.len() == 1 && o.from < 20_000_000));
    // A fault more leaves the draws of the others as they are.
    let mut more = e.clone();
    more.faults.push(e.faults[0].clone());
    let kept = schedule(&more, 7).occurrences.into_iter().filter(|o| o.fault < 2).collect::<Vec<_>>();
    assert_eq!(kept, plan.occurrences);
}

#[test]
fn the_experiments_of_this_repository_are_sound() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let mut names = Vec::new();
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        // Fleets have files of their own kind in a folder, and tests/fleet.rs plays each.
        if path.is_dir() {
            continue;
        }
        let file = ExperimentFile::read(&path).unwrap_or_else(|e| panic!("{e}"));
        let e = &file.experiment;
        assert!(!e.shows.is_empty(), "{}: says nothing of what it must show", file.name);
        assert!(e.holds.iter().any(|h| h.that == "rules_broken == 0"), "{}: lets rules be broken", file.name);
        let mut last = schedule(e, e.seeds[0]).occurrences.iter().map(|o| o.until).max().unwrap_or(0);
        last -= (e.duration_s * 1e6) as i64;
        assert!(last <= -5_000_000, "{}: leaves no time to recover", file.name);
        names.push(path.file_stem().unwrap().to_string_lossy().into_owned());
    }
    names.sort();
    let wanted = "all-at-once ask-once calm cold-restarts connection-flood flush hot-caller origin-overdriven pauses shrink";
    let missing: Vec<_> = wanted.split(' ').filter(|n| !names.iter().any(|m| m == n)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

/// The reference in the docs, with every default written out, says what a file with none of them says.
#[test]
fn the_reference_names_each_key_with_its_default() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operate/lab.md");
    let page = fs::read_to_string(page).unwrap();
    let full = page.split("```toml\n").nth(1).and_then(|rest| rest.split("```").next()).unwrap();
    let full =
        ExperimentFile::parse("docs/operate/lab.md", full).unwrap_or_else(|e| panic!("{e}")).experiment;
    let least =
        "question = 'What is this about?'\nduration_s = 30\n[[load]]\nrate = { steady = { per_s = 1000 } }\n";
    let least = ExperimentFile::parse("least", least).unwrap().experiment;
    assert_eq!(full, least);
    // And nothing is left out.
    let all = Table::try_from(&least).unwrap();
    let mut missing = Vec::new();
    keys(&all, &mut |key| {
        if !page.contains(&format!("{key} = "))
            && !page.contains(&format!("{key}]"))
            && !page.contains(&format!("[{key}."))
        {
            missing.push(key.to_owned());
        }
    });
    assert!(missing.is_empty(), "{missing:?}");
    for metric in Metric::ALL {
        assert!(page.contains(&format!("`{metric}`")), "{metric}");
    }
}

/// One fault of each kind, on each party that it can be on: all parse, and the reference has them.
#[test]
fn every_kind_of_fault_can_be_written_and_is_in_the_reference() {
    let kinds = [
        "{ pauses = { ms = 300, every_s = 1 } }",
        "{ slow = { times = 3 } }",
        "{ errors = { rate = 0.1 } }",
        "{ spoil = { rate = 0.1, ways = ['garbage', 'bad-line', 'endless-line', 'wrong-length', 'huge', 'other-id', \
         'other-value', 'cut', 'interim', 'bad-report', 'second-copy', 'noise-behind'] } }",
        "{ swallow = { rate = 0.1 } }",
        "'full-table'",
        "{ drain = { drain_s = 2, new_ids = true } }",
        "{ kill = {} }",
        "'vanish'",
        "{ flush = { share = 0.5 } }",
        "{ outage = { how = 'silent' } }",
        "'stale'",
        "{ lag = { s = 5 } }",
        "{ move = { close_s = 1.5 } }",
        "{ delay = { ms = 5 } }",
        "{ cut = { heal = 'reset' } }",
        "'refuse-connects'",
        "'reset-connects'",
        "{ lose-connects = { share = 0.5 } }",
        "{ resets = { per_s = 0.1 } }",
        "{ short-writes = { bytes = 1 } }",
        "{ surge = { times = 2 } }",
        "{ hot-caller = { share = 0.5, keys = 3 } }",
        "{ flood = { kind = 'silent', per_s = 100 } }",
        "{ slow-readers = { bytes_per_s = 100, share = 0.5 } }",
        "'term'",
        "{ hup = { set = { discovery = '127.0.0.1:1' } } }",
    ];
    let parties = [
        ("servers", "{ servers = { share = 0.3 } }"),
        ("origin", "'origin'"),
        ("discovery", "'discovery'"),
        ("network", "{ network = { from = { nodes = {} }, to = { servers = { zone = 'a' } } } }"),
        ("clients", "{ clients = { load = 'usual' } }"),
        ("nodes", "{ nodes = { names = ['n0'] } }"),
    ];
    let page =
        fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operate/lab.md")).unwrap();
    for kind in kinds {
        for (party, who) in parties {
            let fault = format!(
                "[[fault]]\nname = 'f'\nwho = {who}\nwhat = {kind}\nwhen = {{ at = [5] }}\nfor_s = 5\n"
            );
            let parsed = ExperimentFile::parse("x.toml", &format!("{GOOD}{fault}"));
            match parsed {
                Ok(file) => {
                    let fault = file.experiment.faults.last().unwrap();
                    assert!(fault.what.parties().contains(&party), "{kind} on {party}");
                    assert!(
                        page.contains(&format!("`{{ {} =", fault.what.name()))
                            || page.contains(&format!("`\"{}\"`", fault.what.name()))
                    );
                }
                Err(e) => {
                    assert!(e.text.contains("cannot be on") && e.line == Some(37), "{kind} on {party}: {e}")
                }
            }
        }
    }
}

/// The program itself: what it prints and the status it ends with.
#[test]
fn check_prints_what_a_run_would_be_or_one_line_of_error() {
    let run = |args: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_lapisrudder-lab")).args(args).output().unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (out.status.code(), text(&out.stdout), text(&out.stderr))
    };
    let calm = concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments/calm.toml");
    let (status, out, err) =
        run(&["check", calm, "--set", "load.0.rate.wave.per_s=500", "--set", "question=Why?"]);
    assert!(status == Some(0) && err.is_empty(), "{status:?} {err}");
    assert!(out.contains(": sound\n  Why?\n") && out.contains("at most 650 requests/s"), "{out}");
    let (status, out, err) = run(&["check", calm, "--set", "world.nodes.count=0"]);
    assert_eq!((status, out.as_str(), err.lines().count()), (Some(2), "", 1), "{err}");
    assert!(err.contains("calm.toml: world.nodes.count: must be 1 to 300"), "{err}");
    let (status, _, err) = run(&["check", "no-such-file.toml"]);
    assert!(status == Some(2) && err.starts_with("no-such-file.toml: cannot be read"), "{status:?} {err}");
}

fn keys(table: &Table, each: &mut dyn FnMut(&str)) {
    for (key, value) in table {
        each(key);
        match value {
            Value::Table(t) => keys(t, each),
            Value::Array(a) => a.iter().filter_map(Value::as_table).for_each(|t| keys(t, each)),
            _ => {}
        }
    }
}
