//! System calls of the real program that fail temporarily, with errors that the manual pages of Linux
//! document, must cost no request. `lapisrudder-fault-shim` makes them fail; each test checks that faults
//! were in fact injected.

#[allow(dead_code)]
mod harness;

use harness::shim::{faults_delivered, new_fault_table, start_node};
use harness::*;
use lapisrudder_fault_shim::errno::{
    EADDRNOTAVAIL, EAGAIN, ECANCELED, ECONNABORTED, EINTR, EIO, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC,
    EPROTO,
};
use lapisrudder_fault_shim::{Call, Control, Descriptor, Rule, table as faults};
use lapisrudder_lab::stand::{Books, Scripted, World};
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 12;
/// Requests of each client.
const REQUESTS: usize = 50;
const WAIT_MS: u64 = 1000;
/// Added to each time limit that is measured at a client's socket.
const SLACK: Duration = Duration::from_millis(50);
/// Clients send no further requests after this time.
const MAX_RUN: Duration = Duration::from_secs(8);

/// Counts of the requests of a run, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tally {
    asked: usize,
    served: usize,
    refused: usize,
    failed: usize,
    /// The connection was closed without an answer.
    closed: usize,
    /// The connection was reset before the answer.
    reset: usize,
    late: usize,
}

impl Tally {
    fn record(&mut self, answer: std::io::Result<String>, id: &str, took: Duration) {
        self.asked += 1;
        match answer {
            Ok(line) if line == value_from("a", id) || line == value_from("b", id) => self.served += 1,
            Ok(line) if line.starts_with("SERVER_ERROR busy") => self.refused += 1,
            Ok(line) if line.is_empty() => self.closed += 1,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => self.reset += 1,
            _ => self.failed += 1,
        }
        self.late += usize::from(took > Duration::from_millis(WAIT_MS) + SLACK);
    }

    fn add(self, other: Tally) -> Tally {
        Tally {
            asked: self.asked + other.asked,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            closed: self.closed + other.closed,
            reset: self.reset + other.reset,
            late: self.late + other.late,
        }
    }

    fn is_all_served(&self) -> bool {
        self.served == CLIENTS * REQUESTS && self.late == 0
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Tally { asked, served, refused, failed, closed, reset, late } = self;
        write!(f, "{asked} asked, {served} served, {refused} refused, {failed} failed, ")?;
        write!(f, "{closed} closed, {reset} reset, {late} late")
    }
}

/// One client's requests, one after the other as long as `may_continue`; two clients in three keep their
/// connection.
fn run_client(address: SocketAddr, number: usize, may_continue: impl Fn() -> bool) -> Tally {
    let mut tally = Tally::default();
    let mut kept = None;
    for id in (0..REQUESTS).map(|n| (number * REQUESTS + n).to_string()) {
        if !may_continue() {
            break;
        }
        let asked = Instant::now();
        let client = kept.take().map_or_else(|| Client::connect(address), Ok);
        let answered = client.and_then(|mut client| {
            let answer = client.try_ask(&format!("mg k{id} v O{id} Pc=read,d={WAIT_MS}\r\n"))?;
            Ok((client, answer))
        });
        let (client, answer) = match answered {
            Ok((client, answer)) => (Some(client).filter(|_| !answer.is_empty()), Ok(answer)),
            Err(e) => (None, Err(e)),
        };
        tally.record(answer, &id, asked.elapsed());
        kept = client.filter(|_| !number.is_multiple_of(3));
    }
    tally
}

/// Runs clients against a node whose calls fail by these rules; gives the outcome of their requests.
fn run_with_faults(rules: &[Rule]) -> (Tally, Control) {
    let world = world(spec(&["a", "b"]), ids(CLIENTS * REQUESTS));
    let mut control = new_fault_table(1);
    let node = start_node(world.addresses().discovery(0).expect("discovery"), &control);
    node.wait_ready();
    rules.iter().for_each(|rule| control.add(*rule).expect("a rule"));
    let end = Instant::now() + MAX_RUN;
    let node = &node;
    let tally = thread::scope(|scope| {
        let ask = |n| scope.spawn(move || run_client(node.address, n, || Instant::now() < end));
        let clients: Vec<_> = (0..CLIENTS).map(ask).collect();
        clients.into_iter().map(|c| c.join().expect("a client")).fold(Tally::default(), Tally::add)
    });
    (tally, control)
}

/// Makes calls fail at random, three in a row each time.
fn often(call: Call, error: i32) -> Rule {
    Rule { burst: 3, ..Rule::with_rate(call, error, 0.1) }
}

/// Makes the next three calls fail.
fn first(call: Call, error: i32) -> Rule {
    Rule { burst: 3, max_failures: 3, ..Rule::always(call, error) }
}

/// Makes three calls in ten transfer a single byte.
fn one_byte(call: Call) -> Rule {
    Rule { error: faults::ONE_BYTE, ..Rule::with_rate(call, 0, 0.3) }
}

/// Runs all cases, a few at a time; gives a message for each that lost a request or injected no fault.
fn failures_of(cases: Vec<(String, Vec<Rule>)>) -> Vec<String> {
    const PARALLEL: usize = 4;
    let check = |(name, rules): &(String, Vec<Rule>)| {
        let (tally, control) = run_with_faults(rules);
        let calls: Vec<Call> = rules.iter().map(|rule| rule.call).collect();
        let injected = faults_delivered(&control, &calls);
        eprintln!("{name}: {injected} calls failed; {tally}");
        if injected == 0 {
            return Some(format!("{name}: no fault was injected"));
        }
        (!tally.is_all_served()).then(|| format!("{name}: {tally}"))
    };
    cases
        .chunks(PARALLEL)
        .flat_map(|some| {
            thread::scope(|scope| {
                let runs: Vec<_> = some.iter().map(|case| scope.spawn(move || check(case))).collect();
                runs.into_iter().filter_map(|run| run.join().expect("a run")).collect::<Vec<_>>()
            })
        })
        .collect()
}

/// A case for each error with which the call can fail.
fn cases(call: Call, errors: &[i32], kinds: &[Descriptor]) -> Vec<(String, Vec<Rule>)> {
    let case = |error: &i32| (format!("{call:?} errno {error}"), vec![often(call, *error).on(kinds)]);
    errors.iter().map(case).collect()
}

/// Fails if a single failed call is taken for a lasting condition: a failed `accept` for a shortage of
/// descriptors, so that idle clients are closed and others rejected; a failed `read` for a client that has
/// left; a short count for a socket that is full or empty, after which no further edge-triggered event comes;
/// a failed `epoll_ctl` for a fatal error.
#[test]
fn temporary_call_failures_cost_no_request() {
    let mut all =
        cases(Call::Accept, &[EMFILE, ENFILE, ENOBUFS, ENOMEM, ECONNABORTED, EINTR, EPROTO, EAGAIN], &[]);
    all.extend(cases(Call::Socket, &[EMFILE, ENFILE, ENOBUFS, ENOMEM], &[]));
    all.extend(cases(Call::Connect, &[EINTR, EAGAIN, EADDRNOTAVAIL, ENOBUFS], &[]));
    all.extend(cases(Call::EpollCtl, &[ENOMEM, ENOSPC], &[]));
    all.extend(cases(Call::EpollWait, &[EINTR], &[]));
    all.extend(cases(Call::TimerfdSettime, &[ECANCELED], &[]));
    all.extend(cases(Call::Poll, &[EINTR, ENOMEM], &[]));
    all.extend(cases(Call::Setsockopt, &[ENOMEM, ENOBUFS], &[]));
    all.extend(cases(Call::Getsockopt, &[ENOBUFS], &[]));
    all.extend(cases(Call::Getpeername, &[ENOBUFS], &[]));
    all.extend(cases(Call::Close, &[EINTR, EIO], &[]));
    let sockets = [Descriptor::Client, Descriptor::Server, Descriptor::Discovery, Descriptor::Unknown];
    for call in [Call::Recv, Call::Send] {
        all.extend(cases(call, &[EINTR, EAGAIN, ENOMEM, ENOBUFS], &sockets));
        all.push((format!("{call:?} short"), vec![Rule::short(call, 0.3).on(&sockets)]));
        all.push((format!("{call:?} one byte"), vec![one_byte(call).on(&sockets)]));
    }
    let wrong = failures_of(all);
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Operators drain a node while its calls fail. Fails if connections that queue while `accept` is paused are
/// accepted only after the load balancer in front of the nodes has stopped sending them, or not by then; or
/// if the 3 s for the rest of a half-sent command are counted from its beginning, whatever the drain.
#[test]
fn a_drain_ends_in_time_while_calls_fail() {
    /// After a drain of this length no client connection may be open.
    const DRAIN_LIMIT: Duration = Duration::from_secs(4);
    /// For how long after the call new clients connect: the load balancer in front of the nodes asks each ten
    /// times a second whether it may be used, and sends connections for another 0.2 s.
    const CONNECT_FOR: Duration = Duration::from_millis(300);
    const NEW: usize = 100;
    let world = world(spec(&["a", "b"]), ids(NEW));
    let mut control = new_fault_table(1);
    let node = start_node(world.addresses().discovery(0).expect("discovery"), &control);
    node.wait_ready();
    let mut kept: Vec<Client> = (0..40).map(|_| node.client()).collect();
    kept.iter_mut().for_each(|client| assert_eq!(client.ask("mn\r\n"), "MN\r\n"));
    control.add(Rule::with_rate(Call::Accept, EMFILE, 0.8).on(&[Descriptor::Listener])).expect("a rule");
    control.add(Rule::short(Call::Recv, 0.3)).expect("a rule");
    assert_eq!(node.call("standby\n"), "ok draining\n");
    let drain_start = Instant::now();
    // The last half command begins at the end of a connection's stay, 1.5 s after the call.
    let mut halves: Vec<Client> = kept.drain(..10).collect();
    let (unserved, open) = thread::scope(|scope| {
        let new = scope.spawn(|| {
            let clients = (0..NEW).map(|n| {
                let mut client = node.client();
                client.send_read(&n.to_string(), WAIT_MS);
                thread::sleep(CONNECT_FOR / NEW as u32);
                client
            });
            clients.collect::<Vec<Client>>()
        });
        for (n, half) in halves.iter_mut().enumerate() {
            thread::sleep(
                (drain_start + Duration::from_millis(140 * n as u64))
                    .saturating_duration_since(Instant::now()),
            );
            let _ = half.try_send("mg k");
        }
        let mut new = new.join().expect("new clients");
        let mut unserved = Vec::new();
        for (n, client) in new.iter_mut().enumerate() {
            let (line, id) = (client.answer_by(drain_start + DRAIN_LIMIT).unwrap_or_default(), n.to_string());
            if line != value_from("a", &id) && line != value_from("b", &id) {
                unserved.push((n, line));
            }
        }
        let all = new.into_iter().chain(kept).chain(halves);
        let open =
            all.map(|mut client| client.closes_by(drain_start + DRAIN_LIMIT)).filter(|ended| !ended).count();
        (unserved, open)
    });
    assert!(control.delivered(Call::Accept).expect("a count") > 0, "no fault was injected");
    assert_eq!((unserved, open), (Vec::new(), 0), "requests not served, and connections open after 4 s");
}

/// Runs a node from start to end while its calls fail by these rules: it starts, serves, reloads, answers a
/// management call and stops on SIGTERM.
fn run_whole_life(world: &World<Books>, rules: &[Rule], first_id: usize) -> Result<Control, String> {
    let mut control = new_fault_table(1);
    rules.iter().for_each(|rule| control.add(*rule).expect("a rule"));
    let discovery = world.addresses().discovery(0).expect("discovery");
    let mut node = start_node(discovery, &control);
    node.wait_ready();
    let (mut kept, mut wrong) = (node.client(), Vec::new());
    for id in (first_id..first_id + 4).map(|id| id.to_string()) {
        for answer in [kept.read(&id, WAIT_MS), node.client().read(&format!("{id}x"), WAIT_MS)] {
            if !answer.starts_with("value of") {
                wrong.push(answer);
            }
        }
    }
    node.reload(str::to_string);
    let status = node.call("status\n");
    if status != "ok ready\n" {
        wrong.push(status);
    }
    node.signal("-TERM");
    drop(kept);
    let ended = node.child.wait().expect("its end");
    if !ended.success() {
        wrong.push(ended.to_string());
    }
    if wrong.is_empty() { Ok(control) } else { Err(wrong.join(", ")) }
}

/// Fails if a call that is made only once, at the start or the end of the process, is not retried after a
/// temporary failure.
#[test]
fn a_node_tolerates_a_temporary_failure_of_each_of_its_calls() {
    /// How many calls of each kind are failed, each in a run of its own and together with the call after it.
    const MAX_PER_CALL: u64 = 24;
    const PARALLEL: usize = 12;
    let failures = [
        (Call::Accept, EMFILE),
        (Call::Socket, ENFILE),
        (Call::Connect, EADDRNOTAVAIL),
        (Call::Bind, ENOMEM),
        (Call::EpollCreate, EMFILE),
        (Call::EpollCtl, ENOSPC),
        (Call::EpollWait, EINTR),
        (Call::Poll, ENOMEM),
        (Call::Read, EINTR),
        (Call::Recv, ENOMEM),
        (Call::Send, ENOBUFS),
        (Call::Write, EIO),
        (Call::Shutdown, ENOBUFS),
        (Call::Getsockopt, ENOBUFS),
        (Call::Setsockopt, ENOMEM),
        (Call::Getpeername, ENOBUFS),
        (Call::Getsockname, ENOBUFS),
        (Call::Fcntl, EINTR),
        (Call::Ioctl, EINTR),
        (Call::Open, EIO),
        (Call::Thread, EAGAIN),
        (Call::TimerfdCreate, EMFILE),
        (Call::TimerfdSettime, ECANCELED),
        (Call::Signalfd, ENFILE),
        (Call::Close, EIO),
    ];
    let world = world(spec(&["a", "b"]), (0..8000).flat_map(|n| [n.to_string(), format!("{n}x")]));
    let clean = run_whole_life(&world, &[], 0).expect("a run without faults");
    let mut runs = Vec::new();
    for (call, error) in failures {
        let seen = clean.seen(call).expect("a count");
        assert!(seen > 0 || matches!(call, Call::Fcntl | Call::Ioctl), "{call:?} is never called");
        runs.extend((0..seen.min(MAX_PER_CALL)).map(|skip| Rule {
            burst: 2,
            max_failures: 2,
            skip,
            ..Rule::always(call, error)
        }));
    }
    let mut wrong = Vec::new();
    for (number, some) in runs.chunks(PARALLEL).enumerate() {
        thread::scope(|scope| {
            let world = &world;
            let first = |n| 4 + 4 * (number * PARALLEL + n);
            let threads = some
                .iter()
                .enumerate()
                .map(|(n, rule)| scope.spawn(move || run_whole_life(world, &[*rule], first(n))));
            for (rule, thread) in some.iter().zip(threads.collect::<Vec<_>>()) {
                let what = thread.join().unwrap_or_else(|_| Err("the run panicked".into()));
                wrong.extend(what.err().map(|what| format!("{:?} number {}: {what}", rule.call, rule.skip)));
            }
        });
    }
    eprintln!("{} runs", runs.len());
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Fails if one failed call keeps a successor from taking over, loses a client connection and its request
/// during the hand-over, or keeps all later successors from connecting.
#[test]
fn a_successor_takes_over_despite_temporary_call_failures() {
    let all = [Descriptor::HandOver, Descriptor::File, Descriptor::Client, Descriptor::Listener];
    let cases = [
        vec![first(Call::Connect, EAGAIN).on(&[Descriptor::HandOver])],
        vec![often(Call::Dup, EMFILE), often(Call::Fcntl, EINTR), often(Call::Ioctl, EINTR)],
        vec![first(Call::Bind, ENOSPC), first(Call::Rename, EIO), first(Call::Unlink, EIO)],
        vec![often(Call::Sendmsg, ENOBUFS), often(Call::Recvmsg, ENOMEM)],
        vec![often(Call::Sendmsg, EAGAIN), often(Call::Recvmsg, EAGAIN)],
        vec![often(Call::EpollCtl, ENOMEM), often(Call::Accept, ENFILE)],
        vec![often(Call::Recv, ENOBUFS).on(&all), Rule::short(Call::Send, 0.3).on(&all)],
    ];
    let take_over = |rules: &[Rule]| {
        let world = world(spec(&["a", "b"]), ids(CLIENTS * REQUESTS));
        let mut control = new_fault_table(1);
        let discovery = world.addresses().discovery(0).expect("discovery");
        control.set(faults::DISCOVERY_PORT, discovery.port().into()).expect("set");
        let mut node = Node::replaceable_with_faults(discovery, 384, Some(control.path()));
        wait_until(|| node.call("status\n") == "ok ready\n");
        rules.iter().for_each(|rule| control.add(*rule).expect("a rule"));
        let (address, stop) = (node.address, AtomicBool::new(false));
        let tally = thread::scope(|scope| {
            let stop = &stop;
            let pace = move || {
                thread::sleep(Duration::from_millis(10));
                !stop.load(Ordering::SeqCst)
            };
            let clients: Vec<_> =
                (0..CLIENTS).map(|n| scope.spawn(move || run_client(address, n, pace))).collect();
            for _ in 0..2 {
                let new = node.replace();
                assert!(node.child.wait().expect("its end").success());
                node = new;
            }
            stop.store(true, Ordering::SeqCst);
            clients.into_iter().map(|c| c.join().expect("a client")).fold(Tally::default(), Tally::add)
        });
        let calls: Vec<Call> = rules.iter().map(|rule| rule.call).collect();
        eprintln!("{calls:?}: {} calls failed; {tally}", faults_delivered(&control, &calls));
        assert!(faults_delivered(&control, &calls) > 0, "{calls:?}: no fault was injected");
        assert!(tally.served > 0 && tally.served == tally.asked && tally.late == 0, "{calls:?}: {tally}");
    };
    thread::scope(|scope| cases.iter().for_each(|rules| _ = scope.spawn(move || take_over(rules))));
}

/// Fails if a temporary call failure makes a node skip a new configuration, or truncate or omit the answer to
/// a management call.
#[test]
fn management_calls_and_reloads_work_despite_temporary_call_failures() {
    let world = world(spec(&["a", "b"]), ids(1));
    let mut control = new_fault_table(1);
    let node = start_node(world.addresses().discovery(0).expect("discovery"), &control);
    node.wait_ready();
    for rule in [
        often(Call::Accept, EMFILE),
        often(Call::EpollCtl, ENOMEM),
        often(Call::Recv, ENOBUFS),
        one_byte(Call::Send),
    ] {
        control.add(rule.on(&[Descriptor::Management])).expect("a rule");
    }
    for _ in 0..40 {
        assert_eq!(node.call("status\n"), "ok ready\n");
    }
    assert!(
        faults_delivered(&control, &[Call::Accept, Call::EpollCtl, Call::Recv, Call::Send]) > 0,
        "no fault was injected"
    );
    control.clear().expect("cleared");
    // More failures than one read of the file retries.
    control.add(Rule { max_failures: 40, ..Rule::always(Call::Open, EIO) }).expect("a rule");
    node.reload(|text| text.replace(r#""name":"put""#, r#""name":"book""#));
    wait_until(|| {
        let answer = node.client().ask("mg k0 v O0 Pc=book,d=1000\r\n");
        answer != "CLIENT_ERROR unknown class\r\n"
    });
    assert_eq!(control.delivered(Call::Open).expect("a count"), 40);
}

/// Fails if failures of `accept` between which no connection was waiting count as consecutive: the node would
/// then assume a shortage of descriptors, close idle clients, and answer late under the connection limit that
/// it learnt.
#[test]
fn occasional_accept_failures_are_no_descriptor_shortage() {
    /// Longer than `accept` has to fail without a break before the node assumes a shortage.
    const PAUSE: Duration = Duration::from_millis(300);
    const ROUNDS: usize = 8;
    const KEPT: usize = 40;
    let world = world(spec(&["a", "b"]), ids(ROUNDS * (KEPT + 1)));
    let mut control = new_fault_table(1);
    let node = start_node(world.addresses().discovery(0).expect("discovery"), &control);
    node.wait_ready();
    let mut kept: Vec<Client> = (0..KEPT).map(|_| node.client()).collect();
    control.add(Rule::with_rate(Call::Accept, ENFILE, 0.7).on(&[Descriptor::Listener])).expect("a rule");
    for round in 0..ROUNDS {
        let mut ids = (round * (KEPT + 1)..).map(|id| id.to_string());
        let new = std::iter::once(node.client());
        for (mut client, id) in new.chain(kept.drain(..)).zip(ids.by_ref()).collect::<Vec<_>>() {
            let answer = client.read(&id, WAIT_MS);
            assert!(answer.starts_with("value of"), "round {round}: {answer:?}");
            kept.push(client);
        }
        kept.truncate(KEPT);
        thread::sleep(PAUSE);
    }
    assert!(control.delivered(Call::Accept).expect("a count") > 0, "no fault was injected");
}

/// Fails if the close of a connection, while `accept` is about to be retried, cancels the retry: the failures
/// before it would count together with those at a later connection, and the node would close idle clients.
#[test]
fn failures_of_accept_before_and_after_a_close_are_no_descriptor_shortage() {
    /// Longer than `accept` has to fail without a break before the node assumes a shortage.
    const PAUSE: Duration = Duration::from_millis(300);
    const KEPT: usize = 20;
    let world = world(spec(&["a", "b"]), ids(2 * KEPT + 2));
    let mut control = new_fault_table(1);
    let node = start_node(world.addresses().discovery(0).expect("discovery"), &control);
    node.wait_ready();
    let mut kept: Vec<Client> = (0..=KEPT).map(|_| node.client()).collect();
    let read = |kept: &mut Vec<Client>, first: usize| {
        for (n, client) in kept.iter_mut().enumerate() {
            let answer = client.read(&(first + n).to_string(), WAIT_MS);
            assert!(answer.starts_with("value of"), "client {n}: {answer:?}");
        }
    };
    read(&mut kept, 0);
    // The call that takes the new connection works. The calls after it, which look for another one, fail.
    let failures = Rule { skip: 1, max_failures: 12, ..Rule::always(Call::Accept, ENFILE) };
    control.add(failures.on(&[Descriptor::Listener])).expect("a rule");
    let new = node.client();
    wait_until(|| control.delivered(Call::Accept).expect("a count") >= 6);
    drop(kept.pop());
    thread::sleep(PAUSE);
    kept.push(new);
    kept.push(node.client());
    read(&mut kept, KEPT);
    thread::sleep(PAUSE);
    read(&mut kept, 0);
    assert_eq!(control.delivered(Call::Accept).expect("a count"), 12);
}

/// Fails if a large write keeps the event loop for as long as its server takes more of it, however little at a
/// time: the requests of other clients would wait meanwhile.
#[test]
fn a_large_write_that_is_taken_in_small_parts_delays_no_other_request() {
    const LENGTH: usize = 4 << 20;
    let origin = Scripted::start(|_, _| {}).expect("an origin");
    let spec = spec_with_peers(&["a", "b"], &[("o", "origin", &origin)]);
    let world = world(spec, ids(20));
    let mut control = new_fault_table(1);
    let node = start_node(world.addresses().discovery(0).expect("discovery"), &control);
    node.wait_ready();
    let calls = [Call::Send, Call::Sendmsg, Call::Write, Call::Writev];
    for call in calls {
        let one_byte = Rule { error: faults::ONE_BYTE, ..Rule::always(call, 0) };
        control.add(one_byte.on(&[Descriptor::Server])).expect("a rule");
    }
    let mut writer = node.client();
    writer.send(format!("ms w {LENGTH} Ow Pc=put,d=60000,k=w\r\n"));
    writer.send("v".repeat(LENGTH) + "\r\n");
    // More than the heads of requests: the value is being written.
    wait_until(|| faults_delivered(&control, &calls) > 1000);
    for id in ids(20) {
        let asked = Instant::now();
        let answer = node.client().read(&id, WAIT_MS);
        assert!(answer.starts_with("value of"), "{id} after {:?}: {answer:?}", asked.elapsed());
        assert!(asked.elapsed() < Duration::from_millis(WAIT_MS) + SLACK, "{id}: {:?}", asked.elapsed());
    }
}

/// Fails if events, those of new connections among them, are not handled while each call of the event loop's
/// timer or each `epoll_wait` fails.
#[test]
fn a_node_serves_while_the_event_loops_own_calls_keep_failing() {
    let world = world(spec(&["a", "b"]), ids(400));
    let mut control = new_fault_table(1);
    let node = start_node(world.addresses().discovery(0).expect("discovery"), &control);
    node.wait_ready();
    let mut kept = node.client();
    assert!(kept.read("0", WAIT_MS).starts_with("value of"));
    for (round, call) in [Call::TimerfdSettime, Call::EpollWait].into_iter().enumerate() {
        control.add(Rule::always(call, if round == 0 { ECANCELED } else { EIO })).expect("a rule");
        for id in (1..20).map(|n| (round * 20 + n).to_string()) {
            let mut new = node.client();
            let asked = Instant::now();
            let answers = [kept.read(&id, WAIT_MS), new.read(&format!("{id}0"), WAIT_MS)];
            assert!(answers.iter().all(|answer| answer.starts_with("value of")), "{call:?}: {answers:?}");
            assert!(
                asked.elapsed() < Duration::from_millis(WAIT_MS) + SLACK,
                "{call:?}: {:?}",
                asked.elapsed()
            );
        }
        assert_eq!(node.call("status\n"), "ok ready\n");
        assert!(control.delivered(call).expect("a count") > 0, "{call:?}: no fault was injected");
        control.clear().expect("cleared");
    }
}
