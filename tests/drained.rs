//! A node that operators have told to drain: whatever its clients, servers and neighbours do, no client's connection is held 4 s
//! after the call. The judge is the kernel's own table of sockets.

#[allow(dead_code)]
mod harness;

use harness::shim::{start, table};
use harness::*;
use lapisrudder_fault_shim::errno::EMFILE;
use lapisrudder_fault_shim::{Call, Descriptor, Rule};
use lapisrudder_lab::stand::{Books, Scripted, World, member};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// When no client's connection may be held any more.
const OVER: Duration = Duration::from_secs(4);
/// Keys that the servers hold.
const KEYS: usize = 1000;
/// A call may be heard so late: its answer is due within 1 s.
const HEARD_AFTER: Duration = Duration::from_millis(800);
/// Bytes of a large value.
const LARGE: usize = 4 << 20;
/// The longest hold-up, less what the signals take.
const HELD_FOR: Duration = Duration::from_millis(125);

/// Sockets of clients that somebody holds at that address, or that wait to be accepted there, by state.
fn held_at(address: SocketAddr) -> Vec<String> {
    const ESTABLISHED: &str = "01";
    const LISTENING: &str = "0A";
    let SocketAddr::V4(at) = address else { return Vec::new() };
    let local = format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the machine's connections");
    let state = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let (state, inode) = (*words.get(3)?, *words.get(9)?);
        let ours = words.get(1) == Some(&local.as_str()) && state != LISTENING;
        (ours && (inode != "0" || state == ESTABLISHED)).then(|| state.to_string())
    };
    sockets.lines().filter_map(state).collect()
}

/// How a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

/// How clients use their connections until these end.
#[derive(Clone, Copy)]
struct Habit {
    clients: usize,
    /// Requests of each that are out at a time.
    outstanding: usize,
    /// Between an answer and the next request.
    rest: Duration,
}

impl Habit {
    /// No rest.
    fn busy(clients: usize, outstanding: usize) -> Habit {
        Habit { clients, outstanding, rest: Duration::ZERO }
    }
}

/// Asks on and on until its connection ends.
fn ask_on(mut client: Client, number: usize, habit: Habit) -> End {
    let ask = |n: usize| format!("mg k{} v O{number}x{n} Pc=read,d=60000\r\n", n % KEYS);
    let first: String = (0..habit.outstanding).map(ask).collect();
    let mut sent = client.try_send(&first);
    for n in habit.outstanding.. {
        match sent.and_then(|()| client.try_answer()) {
            Ok(line) if line.is_empty() => return End::Closed,
            Ok(_) => {
                thread::sleep(habit.rest);
                sent = client.try_send(&ask(n));
            }
            Err(e) if e.kind() == ErrorKind::BrokenPipe => return End::Closed,
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::ConnectionReset, "{e}");
                return End::Reset;
            }
        }
    }
    unreachable!("it asks on until its connection ends")
}

/// Clients that ask on and on; gives how many were reset.
fn crowd(node: &Node, habit: Habit) -> impl FnOnce() -> usize + use<> {
    let begin = |n| {
        let client = node.client();
        thread::spawn(move || ask_on(client, n, habit))
    };
    let clients: Vec<_> = (0..habit.clients).map(begin).collect();
    move || clients.into_iter().map(|c| c.join().expect("a client")).filter(|end| *end == End::Reset).count()
}

/// Tells the node to drain; gives when.
fn drain(node: &Node) -> Instant {
    let told = Instant::now();
    assert_eq!(node.call("standby\n"), "ok draining\n");
    told
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// What is wrong with a drain that began then: connections that are held when it is over.
fn held_when_over(what: &str, node: &Node, told: Instant) -> Option<String> {
    sleep_until(told + OVER);
    let held = held_at(node.address);
    (!held.is_empty()).then(|| format!("{what}: {} held, in states {held:?}", held.len()))
}

fn reset(what: &str, resets: usize) -> Option<String> {
    (resets > 0).then(|| format!("{what}: {resets} reset"))
}

/// The servers fall silent, or go on.
fn silence(world: &World<Books>, silent: bool) {
    let micros = if silent { 60_000_000 } else { 0 };
    let servers = ["a", "b"].into_iter();
    servers.for_each(|uid| world.control().pause(server_no(world, uid), micros).expect("paused"));
}

fn warm() -> World<Books> {
    world(spec(&["a", "b"]), ids(KEYS))
}

fn always_unread() -> Vec<String> {
    let world = warm();
    let node = Node::managed(&world, 1024);
    let ends = crowd(&node, Habit::busy(12, 64));
    thread::sleep(Duration::from_millis(200));
    let told = drain(&node);
    let held = held_when_over("always something unread", &node, told);
    held.into_iter().chain(reset("always something unread", ends())).collect()
}

fn no_pause_and_hold_ups() -> Vec<String> {
    let world = warm();
    let node = Node::managed(&world, 1024);
    let ends = crowd(&node, Habit::busy(24, 1));
    let told = drain(&node);
    for _ in 0..18 {
        let held = Instant::now();
        node.stand_still();
        thread::sleep(HELD_FOR.saturating_sub(held.elapsed()));
        node.signal("-CONT");
        thread::sleep(Duration::from_millis(20));
    }
    let held = held_when_over("no pause, and hold-ups", &node, told);
    held.into_iter().chain(reset("no pause, and hold-ups", ends())).collect()
}

/// Servers fall silent once the next process has the clients.
fn late_replacement(habit: Habit, silent: bool) -> Vec<String> {
    let world = warm();
    let node = Node::replaceable(&world, 384);
    let ends = crowd(&node, habit);
    let told = drain(&node);
    sleep_until(told + Duration::from_millis(1200));
    let new = Node::beside_unready(&node);
    sleep_until(told + Duration::from_millis(1600));
    silence(&world, silent);
    let held = held_when_over(&format!("a late replacement, silent {silent}"), &node, told);
    drop((node, new));
    ends();
    held.into_iter().collect()
}

fn late_replacement_always_unread() -> Vec<String> {
    late_replacement(Habit::busy(12, 64), false)
}

fn late_replacement_then_silence() -> Vec<String> {
    late_replacement(Habit { clients: 48, outstanding: 1, rest: Duration::from_millis(20) }, true)
}

fn replacement_dies() -> Vec<String> {
    let world = warm();
    let node = Node::replaceable(&world, 384);
    // What is owed stays with the old process.
    silence(&world, true);
    let ends = crowd(&node, Habit { clients: 12, outstanding: 1, rest: Duration::from_millis(300) });
    wait_until(|| requests_received(&world, "a") + requests_received(&world, "b") == 12);
    let told = drain(&node);
    let new = Node::beside_unready(&node);
    wait_until(|| node.call("status\n") == "fail replaced by another process\n");
    drop(new);
    wait_until(|| node.call("status\n") == "fail draining\n");
    silence(&world, false);
    let held = held_when_over("a replacement dies", &node, told);
    drop(node);
    ends();
    held.into_iter().collect()
}

fn owed_at_the_end() -> Vec<String> {
    let world = warm();
    let node = Node::managed(&world, 1024);
    silence(&world, true);
    let mut clients: Vec<Client> = (0..12).map(|_| node.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.begin_read(&n.to_string(), 60_000);
    }
    let told = drain(&node);
    let answers = thread::spawn(move || clients.iter_mut().map(Client::answer).collect::<Vec<_>>());
    let held = held_when_over("owed at the end", &node, told);
    drop(node);
    let unanswered = answers.join().expect("answers").iter().filter(|line| line.is_empty()).count();
    let lost = (unanswered > 0).then(|| format!("owed at the end: {unanswered} without an answer"));
    held.into_iter().chain(lost).collect()
}

fn call_heard_late() -> Vec<String> {
    let world = warm();
    let mut control = table(1);
    let node = start(world.addresses().discovery(0).expect("discovery"), &control);
    node.wait_ready();
    let ends = crowd(&node, Habit::busy(12, 64));
    control.add(Rule::always(Call::Accept, EMFILE).on(&[Descriptor::Management])).expect("a rule");
    let told = Instant::now();
    let mut caller = node.caller("standby\n");
    sleep_until(told + HEARD_AFTER);
    control.clear().expect("an end");
    assert_eq!(caller.answer(), "ok draining\n");
    silence(&world, true);
    let held = held_when_over("a call heard late", &node, told);
    ends();
    held.into_iter().collect()
}

/// A node whose one server has a value of 4 MiB for all who ask.
fn large() -> (World<Books>, Scripted, Node) {
    let server = Scripted::answering(|asked| {
        let value = "v".repeat(LARGE);
        Some(format!("VA {LARGE} O{}\r\n{value}\r\n", asked.id))
    });
    let server = server.expect("a server");
    let mut spec = spec(&[]);
    spec.discovery.plan.members = vec![member("c", &server.address().to_string(), "cache", "z")];
    let world = world(spec, ids(0));
    let node = Node::managed(&world, 1024);
    (world, server, node)
}

fn unread_answer() -> Vec<String> {
    let (_world, _server, node) = large();
    let mut clients: Vec<Client> = (0..4).map(|_| node.client()).collect();
    clients.iter_mut().enumerate().for_each(|(n, client)| client.begin_read(&n.to_string(), 60_000));
    let told = drain(&node);
    held_when_over("an answer that its client does not read", &node, told).into_iter().collect()
}

/// Danger: a drain's time was an outcome of looking round: it began anew at the next process, it was forgotten when that died, and
/// it counted from when the call was heard; who always had something unread, owed answers or unread ones stayed.
#[test]
fn no_connection_is_held_when_a_drain_is_over() {
    let cases: [fn() -> Vec<String>; 8] = [
        always_unread,
        no_pause_and_hold_ups,
        late_replacement_always_unread,
        late_replacement_then_silence,
        replacement_dies,
        owed_at_the_end,
        call_heard_late,
        unread_answer,
    ];
    let plays = cases.map(thread::spawn);
    let wrong: Vec<String> = plays.into_iter().flat_map(|play| play.join().expect("a play")).collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against: the end of a drain cut a large value that its client was taking, which loses the request.
#[test]
fn a_drain_does_not_cut_a_value_that_its_client_takes_on() {
    const VALUES: usize = 3;
    const PIECE: usize = 200 << 10;
    let (_world, _server, node) = large();
    let mut client = node.client();
    (0..VALUES).for_each(|n| client.begin_read(&n.to_string(), 60_000));
    let told = drain(&node);
    for n in 0..VALUES {
        assert_eq!(client.line(), format!("VA {LARGE} O{n}\r\n"));
        let mut left = LARGE;
        while left > 0 {
            let piece = left.min(PIECE);
            assert_eq!(client.bytes(piece).len(), piece);
            left -= piece;
            thread::sleep(Duration::from_millis(90));
        }
        assert_eq!(client.bytes(2), b"\r\n");
    }
    assert!(told.elapsed() > OVER, "it was taken on past the drain: {:?}", told.elapsed());
    assert!(client.has_ended_by(Instant::now() + Duration::from_secs(1)), "it ends behind the last value");
}

/// Guards against: of two processes of a node one drained on, or served on, after operators had told the other one otherwise and
/// that had died.
#[test]
fn what_operators_tell_one_process_holds_in_the_other_though_that_dies() {
    let world = warm();
    let old = Node::replaceable(&world, 384);
    drain(&old);
    let new = Node::beside_unready(&old);
    wait_until(|| new.call("status\n") == "fail draining\n");
    assert_eq!(
        new.client().ask("mn\r\n"),
        "SERVER_ERROR draining\r\n",
        "the next process drains from its start"
    );
    assert_eq!(new.call("active\n"), "ok serving\n");
    drop(new);
    wait_until(|| old.call("status\n") == "ok ready\n");
    assert_eq!(old.client().read("1", 60_000).len(), value_from("a", "1").len());
    let new = Node::beside(&old);
    assert_eq!(new.call("standby\n"), "ok draining\n");
    drop(new);
    wait_until(|| old.call("status\n") == "fail draining\n");
}

/// Guards against: a request that crossed the close of its connection had that reset as soon as its first bytes were read, or
/// 0.1 s after the close, which a hold-up of the node makes less.
#[test]
fn a_request_that_crosses_a_close_resets_nothing() {
    /// A client may see the close so late.
    const SEES_LATE: Duration = Duration::from_millis(130);
    let world = warm();
    let node = Node::managed(&world, 1024);
    let mut clients: Vec<Client> = (0..16).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.ask("mn\r\n"), "MN\r\n"));
    drain(&node);
    let cross = |(n, mut client): (usize, Client)| {
        assert_eq!(client.answer(), "", "it is closed between requests");
        thread::sleep(SEES_LATE * u32::from(n.is_multiple_of(2)));
        let sent = ["mg k1 v", " O1 Pc=re", "ad,d=60000\r\n"].map(|part| {
            let sent = client.try_send(part);
            thread::sleep(Duration::from_millis(10));
            sent
        });
        (sent.iter().any(Result::is_err) || client.was_reset()).then_some(n)
    };
    let crossed = clients.into_iter().enumerate().map(|client| thread::spawn(move || cross(client)));
    let crossed: Vec<_> = crossed.collect();
    for _ in 0..4 {
        thread::sleep(Duration::from_millis(200));
        node.stand_still();
        thread::sleep(HELD_FOR);
        node.signal("-CONT");
    }
    let reset: Vec<usize> =
        crossed.into_iter().filter_map(|client| client.join().expect("a client")).collect();
    assert_eq!(reset, Vec::<usize>::new());
}
