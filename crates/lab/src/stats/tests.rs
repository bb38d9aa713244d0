//! Figures of runs whose numbers are known.

use super::*;
use crate::experiment::{Experiment, ExperimentFile, Metric, Point};
use crate::ledger::*;

const MS: Micros = 1000;
const S: Micros = 1_000_000;

fn experiment() -> Experiment {
    let text = "question = 'q'\nduration_s = 10\nrivals = ['random']\n\
        [[class]]\nname = 'read'\naim_ms = 50\ndeadline_ms = 100\nlate_worth = 0.5\nworth = 2\n\
        [[class]]\nname = 'put'\nwrite = true\naim_ms = 50\ndeadline_ms = 100\nworth = 6\n\
        [[load]]\nrate = { steady = { per_s = 100 } }\n\
        [[hold]]\nthat = 'goodput >= 1.1 * random'\n[[hold]]\nthat = 'goodput == 1'\nclass = 'put'\nfrom_s = 1\n";
    ExperimentFile::parse("stats", text).unwrap().experiment
}

/// A run of 10 s with a try every 10 ms, each of which is told how it ends.
#[derive(Default)]
struct Run {
    ledger: Ledger,
    next: u64,
}

impl Run {
    fn of(take: impl Fn(i64) -> Micros) -> Self {
        let mut run = Run::default();
        for n in 0..1000 {
            run.read(n * 10 * MS, take(n));
        }
        run
    }

    fn add(&mut self, due: Micros, first: Option<&Try>, class: u8) -> Try {
        self.next += 1;
        let id = ReqId(self.next);
        let t = Try {
            id,
            first: first.map_or(id, |f| f.id),
            due,
            first_due: first.map_or(due, |f| f.due),
            class: ClassNo(class),
            ..Try::default()
        };
        self.ledger.tries.push(t);
        let conn = ConnNo(self.next as u32);
        self.ledger.clients.push(due, ClientEvent::Sent { req: id, conn });
        t
    }

    fn end(&mut self, t: &Try, at: Micros, answer: Answer) {
        let conn = ConnNo(t.id.0 as u32);
        let event = ClientEvent::Answered { req: t.id, conn, answer, retry_ms: 0, digest: 9, fits: true };
        self.ledger.clients.push(at, event);
        let server = ServerNo(0);
        let event = ServerEvent::Answered { server, conn, req: t.id, answer, spoilt: false, digest: 9 };
        self.ledger.servers.push(at - MS, event);
    }

    fn read(&mut self, due: Micros, took: Micros) {
        let t = self.add(due, None, 0);
        self.end(&t, due + took, Answer::Value);
    }

    fn figure(&mut self, metric: Metric, part: Option<Part>) -> f64 {
        self.ledger.sort();
        let (e, index) = (experiment(), Index::of(&self.ledger));
        let m = Measured::of(&index, &e, 0);
        m.figure(metric, part.unwrap_or(m.whole()))
    }
}

fn near(seen: f64, wanted: f64) {
    assert!((seen - wanted).abs() <= 0.002 * wanted.abs(), "{seen}, wanted {wanted}");
}

#[test]
fn percentiles_come_from_due_times_and_silence_counts() {
    // Latencies 1 to 1000 ms, in a mixed order.
    let mut run = Run::of(|n| ((n * 7) % 1000 + 1) * MS);
    for (metric, wanted) in [(Metric::P50Ms, 500.0), (Metric::P99Ms, 990.0), (Metric::P999Ms, 999.0)] {
        near(run.figure(metric, None), wanted);
    }
    // As many that are given up after 2 s: the median of all is where the answers end.
    for n in 0..1000 {
        let t = run.add(n * 10 * MS, None, 0);
        run.ledger.clients.push(t.due + 2 * S, ClientEvent::GivenUp { req: t.id, early: false });
    }
    near(run.figure(Metric::P50Ms, None), 1000.0);
    near(run.figure(Metric::P99Ms, None), 2000.0);
    near(run.figure(Metric::UnansweredShare, None), 0.5);
}

#[test]
fn goodput_follows_aims_and_retries_count_to_their_first_try() {
    let mut run = Run::default();
    // Worth 2 each: in time, late (half), too late, and refused with a retry that is in time of the first try.
    run.read(0, 50 * MS);
    run.read(0, 60 * MS);
    run.read(0, 101 * MS);
    let first = run.add(0, None, 0);
    run.end(&first, 5 * MS, Answer::Busy);
    let again = run.add(20 * MS, Some(&first), 0);
    run.end(&again, 45 * MS, Answer::Value);
    near(run.figure(Metric::Goodput, None), (2.0 + 1.0 + 0.0 + 2.0) / 8.0);
    near(run.figure(Metric::RefusedShare, None), 0.2);
    near(run.figure(Metric::TriesPerFirst, None), 5.0 / 4.0);
    // A retry that comes in its own time, but not in its first try's.
    let first = run.add(0, None, 1);
    run.end(&first, 5 * MS, Answer::Failed);
    let again = run.add(90 * MS, Some(&first), 1);
    run.end(&again, 110 * MS, Answer::Receipt);
    near(run.figure(Metric::Goodput, None), 5.0 / 14.0);
    let part = Part { from: 0, until: S, class: Some(ClassNo(0)) };
    near(run.figure(Metric::Goodput, Some(part)), 5.0 / 8.0);
    assert!(run.figure(Metric::Goodput, Some(Part { from: S, ..part })).is_nan());
}

#[test]
fn parts_and_worst_seconds_and_recovery_are_found() {
    // From 4 s to 7 s all is late; the fault is on from 4 s to 5 s.
    let mut run = Run::of(|n| if (400..700).contains(&n) { 200 * MS } else { 10 * MS });
    run.ledger.lab.push(4 * S, LabEvent::FaultBegan { fault: 0 });
    run.ledger.lab.push(5 * S, LabEvent::FaultEnded { fault: 0 });
    near(run.figure(Metric::Goodput, None), 0.7);
    near(run.figure(Metric::WorstSecond, None) + 1.0, 1.0);
    near(run.figure(Metric::RecoveryS, None), 2.0);
    let part = Part { from: 3 * S, until: 5 * S, class: None };
    near(run.figure(Metric::Goodput, Some(part)), 0.5);
    let mut never = Run::of(|n| if n >= 400 { 200 * MS } else { 10 * MS });
    never.ledger.lab.push(4 * S, LabEvent::FaultBegan { fault: 0 });
    assert_eq!(never.figure(Metric::RecoveryS, None), f64::INFINITY);
}

#[test]
fn nodes_and_servers_are_counted() {
    let mut run = Run::of(|_| 10 * MS);
    let names = &mut run.ledger.names;
    for n in 0..3 {
        let (name, zone) = (format!("s{n}"), ZoneNo(0));
        names.servers.push(ServerInfo { name, kind: "cache".into(), zone, origin: n == 2, capacity: 1e6 });
    }
    let node = NodeNo(0);
    run.ledger.nodes.push(-S, NodeEvent::Started { node, pid: 1 });
    run.ledger.nodes.push(-MS, NodeEvent::Sampled { node, cpu_us: 70_000, rss_kib: 90_000, fds: 9 });
    for s in 0..5 {
        let cpu_us = 70_000 + (s as u64 + 1) * 20_000;
        run.ledger.nodes.push(s * S, NodeEvent::Sampled { node, cpu_us, rss_kib: 51_200, fds: 7 });
    }
    // A new process counts from 0.
    run.ledger.nodes.push(5 * S, NodeEvent::Started { node, pid: 2 });
    run.ledger.nodes.push(6 * S, NodeEvent::Sampled { node, cpu_us: 100_000, rss_kib: 20_000, fds: 7 });
    for n in 0..100u32 {
        let (server, conn, req) = (ServerNo(n as u16 % 3 / 2 * 2), ConnNo(n), ReqId(1));
        let at = Micros::from(n) * 50 * MS;
        run.ledger.servers.push(at, ServerEvent::Opened { server, conn, node });
        run.ledger.servers.push(at, ServerEvent::LastByte { server, conn, req, work_us: 1000 });
        run.ledger.servers.push(at + 125 * MS, ServerEvent::Closed { server, conn, by: Closer::Them });
    }
    let at_1 = |conn| ServerEvent::LastByte {
        server: ServerNo(1),
        conn: ConnNo(conn),
        req: ReqId(1),
        work_us: 33_500,
    };
    run.ledger.servers.push(S, at_1(500));
    let cases = [
        (Metric::CpuUsPerRequest, 200.0),
        (Metric::MemoryMb, 50.0),
        (Metric::Descriptors, 7.0),
        (Metric::OriginPerS, 3.3),
        (Metric::OriginPeakPerS, 7.0),
        (Metric::OriginShare, 0.033),
        (Metric::AttemptsPerTry, 0.101),
        (Metric::ServerConnections, 3.0),
        (Metric::HandshakesPerS, 10.0),
        (Metric::Imbalance, 67.0 / 50.25),
        (Metric::HitShare, 1.0),
    ];
    for (metric, wanted) in cases {
        let seen = run.figure(metric, None);
        assert!((seen - wanted).abs() < 0.01 * wanted, "{metric}: {seen}, wanted {wanted}");
    }
    let (e, index) = (experiment(), Index::of(&run.ledger));
    let rows = Measured::of(&index, &e, 0).rows();
    assert_eq!(rows.len(), 10);
    assert_eq!(rows.iter().map(|r| r.tries).sum::<u32>(), 1000);
    assert_eq!((rows[0].origin, rows[1].connections, rows[1].nodes[0].fds), (6, 2, 7), "two are open at 2 s");
    assert!((rows[1].nodes[0].cores - 0.02).abs() < 1e-4 && (rows[1].load[1] - 0.0335).abs() < 1e-4);
    assert!((rows[6].nodes[0].cores - 0.1).abs() < 1e-4, "{:?}", rows[6].nodes);
}

#[test]
fn verdicts_hold_the_nodes_against_bounds_and_rivals() {
    let good = || Run::of(|_| 10 * MS).ledger;
    let poor = || Run::of(|n| if n % 5 == 0 { 500 * MS } else { 10 * MS }).ledger;
    let with_put = |mut ledger: Ledger| {
        let mut run = Run { next: 5000, ledger: Ledger::default() };
        let put = run.add(5 * S, None, 1);
        run.end(&put, 5 * S + MS, Answer::Receipt);
        ledger.tries.extend(run.ledger.tries);
        ledger.clients.absorb(run.ledger.clients);
        ledger.servers.absorb(run.ledger.servers);
        ledger
    };
    let judged = |nodes, random| {
        judge(&experiment(), &Point::default(), 1, vec![(Arm::Random, random), (Arm::Nodes, nodes)])
    };
    let all = judged(with_put(good()), poor());
    assert!(all.ok, "{:?} {:?}", all.verdicts, all.arms[0].stories);
    assert!((all.verdicts[0].bound.unwrap() - 0.88).abs() < 1e-9);
    assert_eq!(all.verdicts[1].that, "goodput == 1 for put from 1 s to 10 s");
    // Not better than random by a tenth; nothing of the class seen; rule broken; void.
    let no_better = judged(with_put(good()), good());
    assert_eq!(no_better.verdicts.iter().map(|v| v.held).collect::<Vec<_>>(), [false, true]);
    assert!(!judged(good(), poor()).verdicts[1].held, "nothing seen does not hold");
    let mut unmade = with_put(good());
    unmade.servers = Book::default();
    let broken = judged(unmade, poor());
    assert!(!broken.ok && broken.verdicts.iter().all(|v| v.held));
    let mut late = with_put(good());
    late.tries.iter_mut().take(100).for_each(|t| t.late_us = 20_000);
    let void = judged(late, poor());
    assert!(!void.ok && void.void().unwrap().contains("over 10 ms late"), "{:?}", void.void());

    let line = LastLine::of(&[all.clone(), void.clone()]);
    assert_eq!(
        (line.status(), LastLine::of(&[all]).status(), LastLine::of(&[no_better]).status()),
        (3, 0, 1)
    );
    let json = serde_json::to_value(&line).unwrap();
    for key in ["ok", "rules_broken", "void", "goodput", "p50_ms", "p99_ms", "p999_ms", "cpu_us_per_request"]
    {
        assert!(json.get(key).is_some(), "{key}");
    }
    let back: RunResult = serde_json::from_str(&serde_json::to_string(&void).unwrap()).unwrap();
    assert_eq!(back, void);
}
