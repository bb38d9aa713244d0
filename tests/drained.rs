//! A node that operators drain: 4 s after the call no client connection is open, whatever clients, servers
//! and a second process of the node do. Open connections are counted in the kernel's socket table.

#[allow(dead_code)]
mod harness;

use harness::shim::{new_fault_table, start_node};
use harness::*;
use lapisrudder_fault_shim::errno::EMFILE;
use lapisrudder_fault_shim::{Call, Descriptor, Rule};
use lapisrudder_lab::stand::{Books, Scripted, World};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// After a drain of this length no client connection may be open.
const DRAIN_LIMIT: Duration = Duration::from_secs(4);
/// Number of keys that the servers hold.
const KEYS: usize = 1000;
/// How late a management call may be accepted; its answer is due within 1 s.
const CALL_DELAY: Duration = Duration::from_millis(800);
/// Bytes of a large value.
const LARGE: usize = 4 << 20;
/// For how long a stall lasts here: the longest that a node has to tolerate, less the time that the signals
/// take.
const STALL: Duration = Duration::from_millis(125);

/// The states of the client connections at this local address that a process has open, or that wait to be
/// accepted.
fn open_connections(address: SocketAddr) -> Vec<String> {
    const ESTABLISHED: &str = "01";
    const LISTENING: &str = "0A";
    let SocketAddr::V4(at) = address else { return Vec::new() };
    let local = format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's socket table");
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
struct ClientLoad {
    clients: usize,
    /// Requests that each client has in flight at a time.
    outstanding: usize,
    /// Time between an answer and the next request.
    think_time: Duration,
}

impl ClientLoad {
    /// Each client sends its next request as soon as it has an answer.
    fn busy(clients: usize, outstanding: usize) -> ClientLoad {
        ClientLoad { clients, outstanding, think_time: Duration::ZERO }
    }
}

/// Sends requests until its connection ends.
fn send_until_closed(mut client: Client, number: usize, load: ClientLoad) -> End {
    let ask = |n: usize| format!("mg k{} v O{number}x{n} Pc=read,d=60000\r\n", n % KEYS);
    let first: String = (0..load.outstanding).map(ask).collect();
    let mut sent = client.try_send(&first);
    for n in load.outstanding.. {
        match sent.and_then(|()| client.try_answer()) {
            Ok(line) if line.is_empty() => return End::Closed,
            Ok(_) => {
                thread::sleep(load.think_time);
                sent = client.try_send(&ask(n));
            }
            Err(e) if e.kind() == ErrorKind::BrokenPipe => return End::Closed,
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::ConnectionReset, "{e}");
                return End::Reset;
            }
        }
    }
    unreachable!("the loop ends only with its connection")
}

/// Starts clients that send requests until their connections end; the result waits for them and gives how
/// many were reset.
fn start_clients(node: &Node, load: ClientLoad) -> impl FnOnce() -> usize + use<> {
    let begin = |n| {
        let client = node.client();
        thread::spawn(move || send_until_closed(client, n, load))
    };
    let clients: Vec<_> = (0..load.clients).map(begin).collect();
    move || clients.into_iter().map(|c| c.join().expect("a client")).filter(|end| *end == End::Reset).count()
}

/// Has the node drain; gives when the call was made.
fn drain(node: &Node) -> Instant {
    let drain_start = Instant::now();
    assert_eq!(node.call("standby\n"), "ok draining\n");
    drain_start
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// The connections that are open when a drain that began at `drain_start` is over, as a message; none if all
/// closed.
fn open_after_drain(what: &str, node: &Node, drain_start: Instant) -> Option<String> {
    sleep_until(drain_start + DRAIN_LIMIT);
    let open = open_connections(node.address);
    (!open.is_empty()).then(|| format!("{what}: {} open, in states {open:?}", open.len()))
}

/// A message if any client connection was reset.
fn reset_message(what: &str, resets: usize) -> Option<String> {
    (resets > 0).then(|| format!("{what}: {resets} reset"))
}

/// Has the servers stop answering, or answer again.
fn silence(world: &World<Books>, silent: bool) {
    let micros = if silent { 60_000_000 } else { 0 };
    let servers = ["a", "b"].into_iter();
    servers.for_each(|uid| world.control().pause(server_no(world, uid), micros).expect("paused"));
}

/// A world of two servers that hold all keys.
fn warm_world() -> World<Books> {
    world(spec(&["a", "b"]), ids(KEYS))
}

fn clients_with_unread_requests() -> Vec<String> {
    let world = warm_world();
    let node = Node::with_management(&world, 1024);
    let ends = start_clients(&node, ClientLoad::busy(12, 64));
    thread::sleep(Duration::from_millis(200));
    let drain_start = drain(&node);
    let open = open_after_drain("clients that always have unread requests", &node, drain_start);
    open.into_iter().chain(reset_message("clients that always have unread requests", ends())).collect()
}

fn stalls_while_clients_never_pause() -> Vec<String> {
    let world = warm_world();
    let node = Node::with_management(&world, 1024);
    let ends = start_clients(&node, ClientLoad::busy(24, 1));
    let drain_start = drain(&node);
    for _ in 0..18 {
        let stalled = Instant::now();
        node.pause_process();
        thread::sleep(STALL.saturating_sub(stalled.elapsed()));
        node.signal("-CONT");
        thread::sleep(Duration::from_millis(20));
    }
    let open = open_after_drain("stalls while clients never pause", &node, drain_start);
    open.into_iter().chain(reset_message("stalls while clients never pause", ends())).collect()
}

/// A successor starts 1.2 s after the drain; if `silent`, the servers stop answering once it has the clients.
fn late_successor(load: ClientLoad, silent: bool) -> Vec<String> {
    let world = warm_world();
    let node = Node::replaceable(&world, 384);
    let ends = start_clients(&node, load);
    let drain_start = drain(&node);
    sleep_until(drain_start + Duration::from_millis(1200));
    let new = Node::spawn_successor(&node);
    sleep_until(drain_start + Duration::from_millis(1600));
    silence(&world, silent);
    let open = open_after_drain(&format!("a late successor, silent {silent}"), &node, drain_start);
    drop((node, new));
    ends();
    open.into_iter().collect()
}

fn late_successor_with_unread_requests() -> Vec<String> {
    late_successor(ClientLoad::busy(12, 64), false)
}

fn late_successor_then_silent_servers() -> Vec<String> {
    late_successor(ClientLoad { clients: 48, outstanding: 1, think_time: Duration::from_millis(20) }, true)
}

fn successor_dies() -> Vec<String> {
    let world = warm_world();
    let node = Node::replaceable(&world, 384);
    // Connections with a pending answer stay with the old process.
    silence(&world, true);
    let ends = start_clients(
        &node,
        ClientLoad { clients: 12, outstanding: 1, think_time: Duration::from_millis(300) },
    );
    wait_until(|| requests_received(&world, "a") + requests_received(&world, "b") == 12);
    let drain_start = drain(&node);
    let new = Node::spawn_successor(&node);
    wait_until(|| node.call("status\n") == "fail replaced by another process\n");
    drop(new);
    wait_until(|| node.call("status\n") == "fail draining\n");
    silence(&world, false);
    let open = open_after_drain("the successor dies", &node, drain_start);
    drop(node);
    ends();
    open.into_iter().collect()
}

fn answers_pending_at_the_end() -> Vec<String> {
    let world = warm_world();
    let node = Node::with_management(&world, 1024);
    silence(&world, true);
    let mut clients: Vec<Client> = (0..12).map(|_| node.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_read(&n.to_string(), 60_000);
    }
    let drain_start = drain(&node);
    let answers = thread::spawn(move || clients.iter_mut().map(Client::answer).collect::<Vec<_>>());
    let open = open_after_drain("answers pending at the end", &node, drain_start);
    drop(node);
    let unanswered = answers.join().expect("answers").iter().filter(|line| line.is_empty()).count();
    let lost =
        (unanswered > 0).then(|| format!("answers pending at the end: {unanswered} requests got no answer"));
    open.into_iter().chain(lost).collect()
}

fn call_accepted_late() -> Vec<String> {
    let world = warm_world();
    let mut control = new_fault_table(1);
    let node = start_node(world.addresses().discovery(0).expect("discovery"), &control);
    node.wait_ready();
    let ends = start_clients(&node, ClientLoad::busy(12, 64));
    control.add(Rule::always(Call::Accept, EMFILE).on(&[Descriptor::Management])).expect("a rule");
    let drain_start = Instant::now();
    let mut caller = node.open_call("standby\n");
    sleep_until(drain_start + CALL_DELAY);
    control.clear().expect("an end");
    assert_eq!(caller.answer(), "ok draining\n");
    silence(&world, true);
    let open = open_after_drain("a call accepted late", &node, drain_start);
    ends();
    open.into_iter().collect()
}

/// A node whose one server answers each read with a value of 4 MiB.
fn node_with_large_values() -> (World<Books>, Scripted, Node) {
    let server = Scripted::answering(|asked| {
        let value = "v".repeat(LARGE);
        Some(format!("VA {LARGE} O{}\r\n{value}\r\n", asked.id))
    });
    let server = server.expect("a server");
    let spec = spec_with_peers(&[], &[("c", "cache", &server)]);
    let world = world(spec, ids(0));
    let node = Node::with_management(&world, 1024);
    (world, server, node)
}

fn unread_answer() -> Vec<String> {
    let (_world, _server, node) = node_with_large_values();
    let mut clients: Vec<Client> = (0..4).map(|_| node.client()).collect();
    clients.iter_mut().enumerate().for_each(|(n, client)| client.send_read(&n.to_string(), 60_000));
    let drain_start = drain(&node);
    open_after_drain("an answer that its client does not read", &node, drain_start).into_iter().collect()
}

/// Fails if the drain's deadline does not count from the call: if it starts anew at a successor, is forgotten
/// when the successor dies or counts from when the call was accepted; or if connections with unread requests,
/// pending answers or answers that the client does not read stay open past it.
#[test]
fn no_connection_is_open_when_a_drain_is_over() {
    let cases: [fn() -> Vec<String>; 8] = [
        clients_with_unread_requests,
        stalls_while_clients_never_pause,
        late_successor_with_unread_requests,
        late_successor_then_silent_servers,
        successor_dies,
        answers_pending_at_the_end,
        call_accepted_late,
        unread_answer,
    ];
    let runs = cases.map(thread::spawn);
    let wrong: Vec<String> = runs.into_iter().flat_map(|run| run.join().expect("a run")).collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Fails if the end of a drain truncates a large value that the client is still reading, which loses the
/// request.
#[test]
fn a_drain_does_not_truncate_a_value_that_its_client_keeps_reading() {
    const VALUES: usize = 3;
    const PIECE: usize = 200 << 10;
    let (_world, _server, node) = node_with_large_values();
    let mut client = node.client();
    (0..VALUES).for_each(|n| client.send_read(&n.to_string(), 60_000));
    let drain_start = drain(&node);
    for n in 0..VALUES {
        assert_eq!(client.read_line(), format!("VA {LARGE} O{n}\r\n"));
        let mut left = LARGE;
        while left > 0 {
            let piece = left.min(PIECE);
            assert_eq!(client.read_bytes(piece).len(), piece);
            left -= piece;
            thread::sleep(Duration::from_millis(90));
        }
        assert_eq!(client.read_bytes(2), b"\r\n");
    }
    assert!(
        drain_start.elapsed() > DRAIN_LIMIT,
        "the client read on past the drain: {:?}",
        drain_start.elapsed()
    );
    assert!(
        client.closes_by(Instant::now() + Duration::from_secs(1)),
        "the connection closes after the last value"
    );
}

/// Fails if one of a node's two processes keeps draining, or keeps serving, after operators have called the
/// other one to do the opposite and that process has died.
#[test]
fn a_drain_state_set_at_one_process_holds_at_the_other_after_it_dies() {
    let world = warm_world();
    let old = Node::replaceable(&world, 384);
    drain(&old);
    let new = Node::spawn_successor(&old);
    wait_until(|| new.call("status\n") == "fail draining\n");
    assert_eq!(
        new.client().ask("mn\r\n"),
        "SERVER_ERROR draining\r\n",
        "the successor drains from its start"
    );
    assert_eq!(new.call("active\n"), "ok serving\n");
    drop(new);
    wait_until(|| old.call("status\n") == "ok ready\n");
    assert_eq!(old.client().read("1", 60_000).len(), value_from("a", "1").len());
    let new = Node::start_successor(&old);
    assert_eq!(new.call("standby\n"), "ok draining\n");
    drop(new);
    wait_until(|| old.call("status\n") == "fail draining\n");
}

/// Fails if a request that crosses the close of its connection gets a reset: as soon as its first bytes are
/// read, or 0.1 s after the close, a time that a stall of the node shortens.
#[test]
fn a_request_that_crosses_a_close_resets_nothing() {
    /// How late a client may see the close.
    const CLOSE_DELAY: Duration = Duration::from_millis(130);
    let world = warm_world();
    let node = Node::with_management(&world, 1024);
    let mut clients: Vec<Client> = (0..16).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.ask("mn\r\n"), "MN\r\n"));
    drain(&node);
    let cross = |(n, mut client): (usize, Client)| {
        assert_eq!(client.answer(), "", "the connection closes between requests");
        thread::sleep(CLOSE_DELAY * u32::from(n.is_multiple_of(2)));
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
        node.pause_process();
        thread::sleep(STALL);
        node.signal("-CONT");
    }
    let reset: Vec<usize> =
        crossed.into_iter().filter_map(|client| client.join().expect("a client")).collect();
    assert_eq!(reset, Vec::<usize>::new());
}
