//! A folder of results, as a run of three seeds would write it, and the page made from it. The folder stays in cargo's
//! place for test files, so that the page can be looked at: `lapisrudder-lab report target/tmp/report`.

use lapisrudder_lab::experiment::{ExperimentFile, Point, schedule};
use lapisrudder_lab::ledger::*;
use lapisrudder_lab::report::{self, Folder};
use lapisrudder_lab::stats::{Arm, LastLine, RunResult, judge};
use lapisrudder_model::draw::stream;
use rand::Rng;
use std::path::{Path, PathBuf};
use std::{fs, process};

const S: i64 = 1_000_000;

const EXPERIMENT: &str = r#"question = "What if a third of the servers stalls <again & again>?"
shows = "The nodes keep nine tenths of the worth and do better than random choice."
duration_s = 30
seeds = [1, 2, 3]
rivals = ["random", "ketama"]
[[load]]
rate = { steady = { per_s = 200 } }
[[fault]]
name = "a third of the servers pauses"
who = { servers = { share = 0.33 } }
what = { pauses = { ms = 300, every_s = 1 } }
when = { at = [8] }
for_s = 10
[[fault]]
name = "one server is killed"
who = { servers = { count = 1 } }
what = { kill = {} }
when = { at = [24] }
[[hold]]
that = "goodput >= 1.05 * random"
why = "that is what a node is for"
[[hold]]
that = "p99_ms < 20"
"#;

/// Books of a run in which requests slow down while the first fault is on, more with a simple policy.
fn ledger(file: &ExperimentFile, seed: u64, arm: Arm) -> Ledger {
    let mut l = Ledger::default();
    for n in 0..10 {
        let origin = n == 9;
        let name = if origin { "origin".into() } else { format!("s{n}") };
        let info = ServerInfo { name, kind: "cache".into(), zone: ZoneNo(0), origin, capacity: 2e5 };
        l.names.servers.push(info);
    }
    l.names.classes = file.experiment.classes.iter().map(|c| c.name.clone()).collect();
    let mut draws = stream(seed, arm.name(), 0);
    let factor = match arm {
        Arm::Nodes => 1.0,
        Arm::Random => 6.0,
        _ => 3.0,
    };
    for n in 0..6000u64 {
        let due = n as i64 * 5000;
        let slow = (8 * S..18 * S).contains(&due) && draws.random::<f64>() < 0.05 * factor;
        let took =
            (3000.0 - 2000.0 * draws.random::<f64>().max(1e-6).ln()) as i64 + if slow { 300_000 } else { 0 };
        let (req, conn, server) = (ReqId(n + 1), ConnNo(n as u32 % 50), ServerNo(draws.random_range(0..9)));
        let t = Try { id: req, first: req, due, first_due: due, patience_us: 500_000, ..Try::default() };
        l.tries.push(t);
        l.clients.push(due, ClientEvent::Sent { req, conn });
        l.servers.push(due + 500, ServerEvent::FirstByte { server, conn, req });
        l.servers.push(due + 600, ServerEvent::LastByte { server, conn, req, work_us: 4000 });
        let missed = draws.random::<f64>() < 0.1;
        let (answer, digest) = if missed { (Answer::Miss, 0) } else { (Answer::Value, n + 1) };
        l.servers
            .push(due + took / 2, ServerEvent::Answered { server, conn, req, answer, spoilt: false, digest });
        if missed {
            let (server, digest) = (ServerNo(9), n + 1);
            l.servers.push(due + took / 2, ServerEvent::LastByte { server, conn, req, work_us: 9000 });
            let answer = Answer::Value;
            l.servers.push(
                due + took - 100,
                ServerEvent::Answered { server, conn, req, answer, spoilt: false, digest },
            );
        }
        let event = ClientEvent::Answered {
            req,
            conn,
            answer: Answer::Value,
            retry_ms: 0,
            digest: n + 1,
            fits: true,
        };
        l.clients.push(due + took, event);
    }
    for o in schedule(&file.experiment, seed).occurrences {
        let fault = o.fault as u16;
        l.lab.push(o.from, LabEvent::FaultBegan { fault });
        l.lab.push(o.until, LabEvent::FaultEnded { fault });
    }
    if arm == Arm::Nodes {
        for n in 0..3 {
            let node = NodeNo(n);
            l.names.nodes.push(format!("n{n}"));
            l.nodes.push(-S, NodeEvent::Started { node, pid: 1 });
            l.nodes.push(-S / 2, NodeEvent::Ready { node });
            for s in 0..30u32 {
                let cpu_us = u64::from(s * 6000 + u32::from(n) * 100);
                let event = NodeEvent::Sampled { node, cpu_us, rss_kib: 20_000 + s * 100, fds: 60 + s % 7 };
                l.nodes.push(i64::from(s) * S + 10, event);
            }
        }
    }
    l
}

fn runs(file: &ExperimentFile) -> Vec<RunResult> {
    let arms =
        |seed| [Arm::Nodes, Arm::Random, Arm::Ketama].map(|arm| (arm, ledger(file, seed, arm))).to_vec();
    [1, 2, 3].map(|seed| judge(&file.experiment, &Point::default(), seed, arms(seed))).to_vec()
}

fn folder() -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join("report")
}

#[test]
fn results_come_back_and_make_a_page_that_needs_nothing_else() {
    let file = ExperimentFile::parse("stalls.toml", EXPERIMENT).unwrap();
    let runs = runs(&file);
    let out = Folder::create(&folder(), &file).unwrap();
    runs.iter().for_each(|r| out.append(r).unwrap());
    let stored = report::read(&folder()).unwrap();
    assert!(stored.runs == runs, "results did not come back as they were");
    assert!(!LastLine::of(&runs).ok, "p99 cannot hold here");

    let page = fs::read_to_string(report::write(&folder()).unwrap()).unwrap();
    let wanted = [
        "&lt;again &amp; again&gt;",
        "1 of 2 conditions did not hold",
        "<td>goodput &gt;= 1.05 * random",
        "yes, 3 of 3",
        "no, 0 of 3",
        "that is what a node is for",
        "a third of the servers pauses: 8.00 to 18.0 s",
        "one server is killed: at 24.0 s",
        "Load per server",
        "CPU of each node",
        "seed 3",
    ];
    for text in wanted {
        assert!(page.contains(text), "`{text}` is not in the page");
    }
    assert_eq!(page.matches("<svg").count(), 3 * 11, "all plots of all runs");
    let outside = page.replace("http://www.w3.org/", "");
    assert!(
        !outside.contains("http") && !outside.contains("src=") && !outside.contains("<script"),
        "needs the net"
    );
}

#[test]
fn a_folder_that_is_not_whole_is_told_by_file_and_line() {
    let dir = std::env::temp_dir().join(format!("lapisrudder-lab-report-{}", process::id()));
    let file = ExperimentFile::parse("stalls.toml", EXPERIMENT).unwrap();
    let missing = report::write(&dir.join("nowhere")).unwrap_err().to_string();
    assert!(missing.contains("experiment.toml") && missing.contains("cannot be read"), "{missing}");
    Folder::create(&dir, &file).unwrap();
    let stray = r#"{"point":"-","seed":9,"arm":"nodes","t":0,"first":1,"tries":1,"served":1,"refused":0,"failed":0,
        "unanswered":0,"goodput":1.0,"p50_ms":1.0,"p99_ms":1.0,"hit_share":1.0,"origin":0,"connections":1,"load":[],
        "nodes":[]}"#;
    fs::write(dir.join("series.jsonl"), stray.split_whitespace().collect::<String>()).unwrap();
    let error = report::write(&dir).unwrap_err().to_string();
    assert!(error.ends_with("series.jsonl:1: a row of a run that is not in results.jsonl"), "{error}");
    fs::write(dir.join("results.jsonl"), "{}\n").unwrap();
    let error = report::write(&dir).unwrap_err().to_string();
    assert!(error.contains("results.jsonl:1: missing field"), "{error}");
    fs::remove_dir_all(&dir).unwrap();
}
