//! Admission of connections and requests by a node with real sockets. The decisions are tested in
//! `crates/limits`.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::Scripted;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const FLOODER: [u8; 4] = [127, 0, 0, 66];

/// Reads of `count` ordinary clients, one after another, each from an address of its own on a new connection
/// that stays open. Returns how long each read took. A client whose connection is closed before the answer
/// connects again, up to ten times in total; without an answer after that it was kept out, and its time is
/// missing.
fn reads_of_ordinary_clients(node: &Node, run: u8, count: u8) -> Vec<Duration> {
    let mut kept = Vec::new();
    let read = |n: u8, kept: &mut Vec<Client>| {
        let began = Instant::now();
        for again in 0..10 {
            let id = format!("{run}x{n}x{again}");
            let Ok(mut client) = node.client_from([127, 0, run, n + 1]) else { continue };
            match client.try_ask(&format!("mg k{n} v O{id} Pc=read,d=60000\r\n")) {
                Ok(answer) if answer.starts_with("VA ") => {
                    kept.push(client);
                    return Some(began.elapsed());
                }
                // The client waits as long as the `busy` answer says: ten tries within a millisecond would
                // say nothing about the node.
                Ok(answer) => {
                    let retry_ms = answer.strip_prefix("SERVER_ERROR busy").map(str::trim);
                    assert!(answer.is_empty() || retry_ms.is_some(), "{answer}");
                    let wait = retry_ms.and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    std::thread::sleep(Duration::from_millis(wait));
                }
                Err(e) => assert_ne!(e.kind(), ErrorKind::WouldBlock, "no answer in time"),
            }
        }
        None
    };
    (0..count).filter_map(|n| read(n, &mut kept)).collect()
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() / 2]
}

/// Ends the flood when its scope is left, also by a failed assertion: otherwise its threads and the node
/// would run on.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Times of ordinary clients' reads before and during a flood from one address, and what the flood achieved.
struct FloodReport {
    before: Vec<Duration>,
    during: Vec<Duration>,
    /// Connections that the flood opened.
    connects: usize,
    /// Reads of the flood that were served.
    served: usize,
    lasted: Duration,
}

/// Runs a flood, with `ordinary_clients` clients before it and as many during it.
fn run_flood(operators: Option<&str>, ordinary_clients: u8) -> FloodReport {
    let holder = Scripted::answering(|asked| Some(format!("VA 4 O{} h1\r\nhere\r\n", asked.id))).unwrap();
    let spec = spec_with_peers(&[], &[("c", "cache", &holder)]);
    let world = world(spec, ids(0));
    let node = Node::with_operator_config(world.addresses().discovery(0).unwrap(), 160, operators);
    node.wait_ready();
    let before = reads_of_ordinary_clients(&node, 1, ordinary_clients);
    let over = AtomicBool::new(false);
    let (connects, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    // Opens connections as fast as possible and keeps them; every eighth sends a read.
    let flood = |thread: usize| {
        let mut kept = VecDeque::new();
        for n in (0..).take_while(|_| !over.load(Ordering::SeqCst)) {
            let Ok(mut client) = node.client_from(FLOODER) else { continue };
            connects.fetch_add(1, Ordering::SeqCst);
            let text = format!("mg f{thread}x{n} v Of{thread}x{n} Pc=read,d=60000\r\n");
            if n % 8 == 0 && client.try_ask(&text).is_ok_and(|answer| answer.starts_with("VA ")) {
                served.fetch_add(1, Ordering::SeqCst);
            }
            kept.push_back(client);
            if kept.len() > 200 {
                kept.pop_front();
            }
        }
    };
    let began = Instant::now();
    let during = thread::scope(|scope| {
        let _stop = StopOnDrop(&over);
        let flood = &flood;
        (0..4).for_each(|thread| _ = scope.spawn(move || flood(thread)));
        while connects.load(Ordering::SeqCst) < 400 {
            thread::yield_now();
        }
        reads_of_ordinary_clients(&node, 2, ordinary_clients)
    });
    let (connects, served) = (connects.into_inner(), served.into_inner());
    FloodReport { before, during, connects, served, lasted: began.elapsed() }
}

#[test]
fn a_flood_from_one_address_keeps_no_other_client_out_and_gets_the_rest() {
    let report = run_flood(None, 60);
    assert_eq!((report.before.len(), report.during.len()), (60, 60), "no client was kept out");
    let (before, during) = (median(report.before), median(report.during));
    assert!(during < before * 50 + Duration::from_millis(200), "{during:?}, before {before:?}");
    assert!(report.served > 20, "the flood is served out of free capacity");
}

/// The measurement in docs/design/limits.md: learned early closes against fixed times, alternating in one
/// run.
#[test]
#[ignore = "a measurement that takes long and needs an idle machine"]
fn measure_a_flood_with_learned_closes_on_and_off() {
    let off = "[limits.keep]\nsilent_earliest_ms = 100\nearliest_ms = 2000\nearly_ms = 2000\n";
    for run in 0..3 {
        for (name, operators) in [("on", None), ("off", Some(off))] {
            let mut report = run_flood(operators, 100);
            report.during.sort();
            let (p99, before) = (report.during[report.during.len() * 99 / 100], median(report.before));
            println!(
                "{run} {name}: {} of 100 ordinary clients served, median {:.1} and 99th percentile {:.1} times \
                 the median before the flood, {before:?}; {:.0} connects and {:.0} served reads per second \
                 of the flood",
                report.during.len(),
                median(report.during).as_secs_f64() / before.as_secs_f64(),
                p99.as_secs_f64() / before.as_secs_f64(),
                report.connects as f64 / report.lasted.as_secs_f64(),
                report.served as f64 / report.lasted.as_secs_f64(),
            );
        }
    }
}

#[test]
fn requests_in_flight_are_answered_while_descriptors_run_out_and_the_node_recovers() {
    let held = (0..20).flat_map(|c| (0..8).map(move |n| format!("{c}x{n}")));
    let world = world(spec(&["c"]), held.chain(ids(40)));
    let (c, control) = (server_no(&world, "c"), world.control());
    let node = Node::with_descriptor_limit(&world, 96);
    control.pause(c, 60_000_000).unwrap();
    // Eight requests in flight on each of twenty connections.
    let mut clients: Vec<Client> = (0..20).map(|_| node.client()).collect();
    for (c, client) in clients.iter_mut().enumerate() {
        client
            .send((0..8).map(|n| format!("mg k{c}x{n} v O{c}x{n} Pc=read,d=60000\r\n")).collect::<String>());
    }
    wait_until(|| requests_received(&world, "c") > 0);
    // Far more connections than descriptors; some are accepted, others are answered `busy`.
    let mut crowd: Vec<Client> =
        (0..300).filter_map(|n| node.client_from([127, 0, 3, n as u8]).ok()).collect();
    crowd.iter_mut().for_each(|c| _ = c.try_send("mn\r\n"));
    control.pause(c, 0).unwrap();
    for (c, client) in clients.iter_mut().enumerate() {
        for n in 0..8 {
            let answer = client.answer();
            let expected =
                answer == value_from("c", &format!("{c}x{n}")) || answer.starts_with("SERVER_ERROR ");
            assert!(expected, "{c} {n}: {answer:?}");
        }
    }
    drop(crowd);
    assert!(reads_of_ordinary_clients(&node, 4, 40).len() == 40, "the node serves all clients again");
}

#[test]
fn an_attempt_gets_a_descriptor_although_the_limit_was_lowered_at_run_time() {
    let world = world(spec(&["c"]), ids(40));
    let node = Node::with_descriptor_limit(&world, 200);
    let pid = node.child.id().to_string();
    let lowered = Command::new("prlimit").args(["--nofile=40:40", "--pid", &pid]).status();
    assert!(lowered.expect("prlimit").success());
    // More silent connections than descriptors, before the node has a connection to its server.
    let crowd: Vec<_> = (0..80).filter_map(|n| node.client_from([127, 0, 6, n]).ok()).collect();
    let served = reads_of_ordinary_clients(&node, 4, 40).len();
    assert!(crowd.len() >= 40 && served == 40, "{served} of 40");
}

/// Fails if the connections to members take the descriptors of everything else, or more than there are, where the
/// list has more members than the node has descriptors for them.
#[test]
fn members_beyond_the_number_of_descriptors_do_not_take_those_of_others() {
    const SOCKETS: u32 = 128;
    const CLIENTS: usize = 30;
    const AT_ONCE: usize = 6;
    let names: Vec<String> = (0..120).map(|n| format!("s{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let world = world(spec(&names), ids(CLIENTS * AT_ONCE));
    let node = Node::with_descriptor_limit(&world, SOCKETS);
    let pause = |micros| {
        names.iter().for_each(|name| world.control().pause(server_no(&world, name), micros).expect("paused"));
    };
    pause(60_000_000);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
    let id = |client: usize, n: usize| client * AT_ONCE + n;
    for (c, client) in clients.iter_mut().enumerate() {
        client.send(
            (0..AT_ONCE).map(|n| format!("mg k{0} v O{0} Pc=read,d=60000\r\n", id(c, n))).collect::<String>(),
        );
    }
    thread::sleep(Duration::from_millis(500));
    let descriptors =
        || std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).expect("a process").count();
    let held = descriptors();
    assert!(held <= SOCKETS as usize, "{held} descriptors of {SOCKETS}");
    pause(0);
    for client in &mut clients {
        (0..AT_ONCE).for_each(|_| assert!(!client.answer().is_empty()));
    }
}
