//! Recorded histories: what stand-ins, clients and discovery of real runs wrote down, cut to the requests in question and
//! kept as text in `tests/histories` (the form is told in `lapisrudder_lab::check`). Each file's name begins with the rule
//! that it breaks, or with `honest`; where a process dies, what it had in hand breaks another with it, named behind `+`.

use lapisrudder_lab::check::{History, Rule, Violation, check_ledger, read_history, write_history};
use lapisrudder_lab::experiment::ExperimentFile;
use lapisrudder_lab::ledger::{
    Book, ClientEvent, ConnNo, LabEvent, Ledger, NodeEvent, Record, ReqId, ServerEvent, ServerNo, read_jsonl,
};
use lapisrudder_lab::run::RunOptions;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::BufReader;
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/histories")
}

fn read(path: &Path) -> History {
    let file = File::open(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    read_history(BufReader::new(file)).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn judge(history: &History) -> Vec<Violation> {
    check_ledger(&mut history.ledger.clone(), &history.file.experiment)
}

#[test]
fn each_recorded_history_breaks_just_the_rule_in_its_name_each_time_it_is_judged() {
    let mut seen: BTreeSet<String> = BTreeSet::new();
    let mut files: Vec<PathBuf> =
        fs::read_dir(folder()).expect("the folder").map(|f| f.expect("a file").path()).collect();
    files.sort();
    for path in files {
        let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
        let (first, second) = (judge(&read(&path)), judge(&read(&path)));
        assert_eq!(first, second, "{name}: the same verdict each time");
        let broken: BTreeSet<&str> = first.iter().map(|v| v.rule.name()).collect();
        let rules = name.split('_').next().unwrap_or_default();
        let named: BTreeSet<&str> = rules.split('+').filter(|rule| *rule != "honest").collect();
        assert!(named.iter().all(|rule| Rule::ALL.iter().any(|r| r.name() == *rule)), "{name} names no rule");
        assert_eq!(broken, named, "{name}: {first:#?}");
        seen.extend(named.into_iter().map(str::to_owned));
    }
    // Operators' calls are in the tests of the checks alone: the lab's runs make none.
    let wanted: BTreeSet<String> =
        Rule::ALL.iter().filter(|r| **r != Rule::Management).map(|r| r.name().to_owned()).collect();
    assert_eq!(seen, wanted, "a history for each rule that a node can break on sockets");
}

/// Keeps what a history needs: the requests that break a rule with all that is on their connections, a few more, and of
/// a cold server all that came to it.
fn cut(ledger: &Ledger, broken: &[Violation]) -> Ledger {
    let mut reqs: BTreeSet<ReqId> = ledger.tries.iter().take(4).map(|t| t.id).collect();
    reqs.extend(broken.iter().take(1).filter_map(|v| v.req));
    let all_of: BTreeSet<ServerNo> =
        broken.iter().filter(|v| v.rule == Rule::Cold).filter_map(|v| v.server).collect();
    let mut conns: BTreeSet<ConnNo> = BTreeSet::new();
    loop {
        let before = (reqs.len(), conns.len());
        for Record { event, .. } in ledger.clients.records() {
            if event.req().is_some_and(|r| reqs.contains(&r))
                || event.conn().is_some_and(|c| conns.contains(&c))
            {
                conns.extend(event.conn());
                reqs.extend(event.req());
            }
        }
        if (reqs.len(), conns.len()) == before {
            break;
        }
    }
    let mut theirs: BTreeSet<(ServerNo, ConnNo)> = BTreeSet::new();
    for Record { event, .. } in ledger.servers.records() {
        if let ServerEvent::FirstByte { server, conn, req } = *event
            && (reqs.contains(&req) || all_of.contains(&server))
        {
            theirs.insert((server, conn));
        }
    }
    let samples = broken.iter().any(|v| v.rule == Rule::Limits);
    let mut kept = Ledger { names: ledger.names.clone(), ..Ledger::default() };
    kept.tries = ledger.tries.iter().filter(|t| reqs.contains(&t.id)).copied().collect();
    keep(&ledger.clients, &mut kept.clients, |e: &ClientEvent| {
        e.req().is_some_and(|r| reqs.contains(&r)) || e.conn().is_some_and(|c| conns.contains(&c))
    });
    keep(&ledger.servers, &mut kept.servers, |e: &ServerEvent| match *e {
        ServerEvent::Opened { server, conn, .. } | ServerEvent::Closed { server, conn, .. } => {
            theirs.contains(&(server, conn))
        }
        ServerEvent::State { .. } => true,
        ServerEvent::Capacity { server, .. } => all_of.contains(&server),
        ServerEvent::Held { .. } | ServerEvent::Refused { .. } => false,
        _ => all_of.contains(&e.server()) || e.req().is_some_and(|r| reqs.contains(&r)),
    });
    keep(&ledger.discovery, &mut kept.discovery, |_| true);
    keep(&ledger.nodes, &mut kept.nodes, |e: &NodeEvent| samples || !matches!(e, NodeEvent::Sampled { .. }));
    keep(&ledger.lab, &mut kept.lab, |e: &LabEvent| !matches!(e, LabEvent::Lag { .. }));
    kept
}

fn keep<E: Copy>(from: &Book<E>, to: &mut Book<E>, fits: impl Fn(&E) -> bool) {
    from.records().iter().filter(|r| fits(&r.event)).for_each(|r| to.push(r.at, r.event));
}

/// Not a test: records them anew (`cargo test -p lapisrudder-lab --test run -- --ignored record`).
#[test]
#[ignore = "records the histories anew"]
fn record() {
    for (place, (wrong, faults, rule, _)) in super::CASES.into_iter().enumerate() {
        let scratch = std::env::temp_dir().join(format!("lapisrudder-record-{}-{place}", std::process::id()));
        let file = super::file(faults);
        let options = RunOptions {
            command: Some(super::node(wrong)),
            out: Some(scratch.clone()),
            keep_records: true,
            ..RunOptions::default()
        };
        super::one_run(&file, &options);
        let record = fs::read_dir(&scratch).expect("it").filter_map(Result::ok).map(|f| f.path());
        let mut records = record.filter(|p| p.extension().is_some_and(|e| e == "jsonl"));
        let ledger =
            records.find_map(|p| read_jsonl(BufReader::new(File::open(p).ok()?)).ok()).expect("a ledger");
        fs::remove_dir_all(&scratch).expect("removed");
        let text = file.text.clone();
        let history = |ledger| History { file: ExperimentFile::parse("history", &text).expect("it"), ledger };
        let mut broken = judge(&history(ledger.clone()));
        broken.sort_by_key(|v| v.rule.name() != rule);
        let cut = history(cut(&ledger, &broken));
        let found: BTreeSet<&str> = judge(&cut).iter().map(|v| v.rule.name()).collect();
        println!("{wrong}: breaks {found:?}");
        let name = match (rule, faults) {
            ("", super::DRAIN) => "honest_drain".to_owned(),
            ("", super::COLD) => "honest_cold".to_owned(),
            ("", super::LEAVE) => "honest_leave".to_owned(),
            ("", _) => "honest_plain".to_owned(),
            _ => format!("{}_{wrong}", found.iter().copied().collect::<Vec<_>>().join("+")),
        };
        let to = File::create(folder().join(name + ".jsonl")).expect("a file");
        write_history(&cut, to).expect("written");
    }
}
