//! Writes of large values: slow or stopped clients keep no others from their answers.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, Scripted, World};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// The least memory limit of the platform, in MB.
const MEMORY_MB: u32 = 32;
const KIB: usize = 1 << 10;
/// How long clients wait for the answers to their writes, in ms.
const WAIT_MS: u64 = 2000;
/// A client that stops within a command is owed an error or a close within this time.
const STOPPED_CLIENT_TIME: Duration = Duration::from_secs(3);
/// A server may be told this much more time than its client has left.
const TOLD_TIME_SLACK_MS: u64 = 150;

/// A write as the origin received it.
struct Received {
    id: String,
    /// How long its client waits, as the origin was told.
    told_ms: u64,
    came_at: Instant,
}

/// A node with little memory before an origin that answers each write at once, and reports it.
fn node_and_origin() -> (Node, World<Books>, Scripted, Receiver<Received>) {
    let (sender, writes) = channel();
    let origin = Scripted::start(move |asked, reply| {
        let told =
            asked.text.split(",d=").nth(1).and_then(|rest| rest.split([',', '\r']).next()?.parse().ok());
        let told_ms = told.unwrap_or(u64::MAX);
        let _ = sender.send(Received { id: asked.id, told_ms, came_at: Instant::now() });
        reply.send(http("r-1"));
    });
    let origin = origin.unwrap();
    let spec = spec_with_peers(&["a"], &[("o", "origin", &origin)]);
    let world = world(spec, ids(0));
    let node = Node::with_limits(&world, 256, MEMORY_MB);
    (node, world, origin, writes)
}

/// A client that has begun a write of `length` bytes and sent the first `sent` of its value.
fn begin_write(node: &Node, id: &str, length: usize, sent: usize) -> Client {
    let mut client = node.client();
    client.send(format!("ms w{id} {length} O{id} Pc=put,d={WAIT_MS},k={id}\r\n"));
    client.send("v".repeat(sent));
    client
}

/// Sends a whole write, and gives its client with the time of the last byte.
fn write(node: &Node, id: &str, length: usize) -> (Client, Instant) {
    let mut client = begin_write(node, id, length, length);
    client.send("\r\n");
    (client, Instant::now())
}

/// Reads the final answer to a write, and fails if it comes later than its client waits.
fn answer_in_time(mut client: Client, sent_at: Instant) -> String {
    let answer = client.answer_by(sent_at + Duration::from_millis(WAIT_MS));
    answer.unwrap_or_else(|e| panic!("no answer after {:?}: {e}", sent_at.elapsed()))
}

/// Fails if writes wait without an answer for room that slow clients keep and do not use.
#[test]
fn writes_are_answered_while_other_clients_write_slowly() {
    let (node, _world, _origin, _writes) = node_and_origin();
    for length in [70 * KIB, 150 * KIB, 1000 * KIB, 4096 * KIB] {
        let begin = |n| begin_write(&node, &format!("s{length}n{n}"), length, KIB);
        let mut slow: Vec<Client> = (0..60).map(begin).collect();
        for n in 0..8 {
            slow.iter_mut().for_each(|client| client.send("v"));
            let (client, sent_at) = write(&node, &format!("f{length}n{n}"), 150 * KIB);
            let answer = answer_in_time(client, sent_at);
            assert!(answer.starts_with("HD ") || answer.starts_with("SERVER_ERROR busy"), "{answer:?}");
            thread::sleep(Duration::from_millis(100));
        }
        // By then no room is kept for what the slow ones have not sent.
        let (client, sent_at) = write(&node, &format!("l{length}"), 150 * KIB);
        assert_eq!(answer_in_time(client, sent_at), format!("HD Ol{length} cr-1\r\n"));
    }
}

/// Fails if a client that stops within a large write and stays, with or without room, hears nothing for 3 s.
#[test]
fn a_client_that_stops_within_a_large_write_is_closed() {
    let (node, _world, _origin, _writes) = node_and_origin();
    let begin = |n| (Instant::now(), begin_write(&node, &format!("s{n}"), 4096 * KIB, KIB * n));
    let stopped: Vec<(Instant, Client)> = (0..20).map(begin).collect();
    for (n, (stopped_at, mut client)) in stopped.into_iter().enumerate() {
        assert!(client.closes_by(stopped_at + STOPPED_CLIENT_TIME), "client {n}");
    }
}

/// Fails if the time of a write that waited for room counts from when it was read: its server would be told
/// more time than its client has left.
#[test]
fn the_time_of_a_write_that_waited_for_room_counts_from_its_last_byte() {
    let (node, _world, _origin, writes) = node_and_origin();
    // Nearly all room is reserved for this one for a while.
    let _slow = begin_write(&node, "slow", 4096 * KIB, KIB);
    thread::sleep(Duration::from_millis(50));
    let (client, sent_at) = write(&node, "late", 1500 * KIB);
    assert_eq!(answer_in_time(client, sent_at), "HD Olate cr-1\r\n");
    let Received { id, told_ms, came_at } = writes.recv_timeout(TEST_TIMEOUT).unwrap();
    let waited_ms = came_at.duration_since(sent_at).as_millis() as u64;
    assert!(id == "late" && waited_ms > 2 * TOLD_TIME_SLACK_MS, "{id} came after {waited_ms} ms");
    let left_ms = WAIT_MS.saturating_sub(waited_ms);
    assert!(told_ms <= left_ms + TOLD_TIME_SLACK_MS, "told {told_ms} ms, its client has {left_ms} ms left");
}

/// Fails if clients that write at full speed are refused because the process stalled: the time of their
/// reservations passed while nothing was read.
#[test]
fn writes_at_full_speed_outlast_a_stall_of_the_process() {
    /// Longer than room is reserved for a write.
    const STALL: Duration = Duration::from_millis(700);
    const LENGTH: usize = 2048 * KIB;
    const CLIENTS: usize = 5;
    let (node, _world, _origin, _writes) = node_and_origin();
    let begin = |n| {
        let mut client = node.client();
        client.send(format!("ms w{n} {LENGTH} O{n} Pc=put,d=20000,k={n}\r\nv"));
        client
    };
    let begun: Vec<Client> = (0..CLIENTS).map(begin).collect();
    // Room is reserved for the first of them.
    thread::sleep(Duration::from_millis(50));
    node.pause_process();
    let finish = |mut client: Client| {
        thread::spawn(move || {
            client.send("v".repeat(LENGTH - 1) + "\r\n");
            client.answer()
        })
    };
    let writes: Vec<_> = begun.into_iter().map(finish).collect();
    thread::sleep(STALL);
    node.signal("-CONT");
    for (n, write) in writes.into_iter().enumerate() {
        assert_eq!(write.join().expect("an answer"), format!("HD O{n} cr-1\r\n"));
    }
}

/// Fails if a write for which there is no room gets no refusal at its last byte, or if its connection or the
/// node is of no use after that.
#[test]
fn a_write_without_room_is_refused_at_its_last_byte() {
    let (node, _world, _origin, _writes) = node_and_origin();
    let begin = |n| begin_write(&node, &format!("s{n}"), 4096 * KIB, 1300 * KIB);
    let mut slow: Vec<Client> = (0..6).map(begin).collect();
    thread::sleep(Duration::from_millis(1200));
    for length in [1000 * KIB, 2000 * KIB, 4096 * KIB] {
        slow.iter_mut().for_each(|client| client.send("v"));
        let mut client = begin_write(&node, &format!("f{length}"), length, length);
        thread::sleep(Duration::from_millis(100));
        client.send("\r\n");
        let answer = client.answer_by(Instant::now() + Duration::from_millis(WAIT_MS)).unwrap();
        let served = length < 4096 * KIB && answer.starts_with("HD ");
        assert!(served || answer.starts_with("SERVER_ERROR busy "), "{length}: {answer:?}");
        client.send(format!("ms k 1 Oa{length} Pc=put,d={WAIT_MS},k=a{length}\r\nx\r\n"));
        assert_eq!(client.read_line(), format!("HD Oa{length} cr-1\r\n"));
    }
    let peak = node.peak_memory_kb();
    assert!(peak <= (MEMORY_MB as usize) << 10, "{peak} kB resident of {MEMORY_MB} MB");
    drop(slow);
    let (client, sent_at) = write(&node, "last", 4096 * KIB);
    assert_eq!(answer_in_time(client, sent_at), "HD Olast cr-1\r\n");
}
