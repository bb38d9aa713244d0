//! Ids of open requests while two processes of a node run: each id belongs to one request of the whole node.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, Reply, Scripted, World};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

const IN_USE: &str = "CLIENT_ERROR request id in use\r\n";
/// A node notices within this time that a client has left.
const LEFT_NOTICED: Duration = Duration::from_millis(300);
/// An id of a process that has ended is free again within this time.
const FREED_WITHIN: Duration = Duration::from_secs(1);

/// A node before a cache server whose answers the test gives.
struct Held {
    node: Node,
    asked: Receiver<(String, Reply)>,
    _world: World<Books>,
    _servers: [Scripted; 2],
}

fn node_before_held_answers() -> Held {
    let (sender, asked) = channel();
    let script = move || {
        let sender = sender.clone();
        Scripted::start(move |asked, reply| _ = sender.send((asked.key, reply))).expect("a server")
    };
    let servers = [script(), script()];
    let spec = spec_with_peers(&[], &[("c", "cache", &servers[0]), ("o", "origin", &servers[1])]);
    let world = world(spec, ids(0));
    let node = Node::replaceable(&world, 384);
    Held { node, asked, _world: world, _servers: servers }
}

impl Held {
    /// The answer to the next request that reaches a server, which must have this key.
    fn next(&self, key: &str) -> Reply {
        let (asked, reply) = self.asked.recv_timeout(TEST_TIMEOUT).expect("a request");
        assert_eq!(asked, key);
        reply
    }

    /// Replaces the process; gives the one that ends.
    fn replace(&mut self) -> Node {
        let successor = self.node.replace();
        std::mem::replace(&mut self.node, successor)
    }
}

fn read(key: &str, id: &str) -> String {
    format!("mg {key} v O{id} Pc=read,d=60000\r\n")
}

fn write(key: &str, id: &str) -> String {
    format!("ms {key} 1 O{id} Pc=put,d=60000,k=1\r\nv\r\n")
}

fn value(id: &str) -> String {
    format!("VA 1 O{id} h1\r\nv\r\n")
}

/// Fails if an id that is open in the old process is served in the new one, over three replacements in a row,
/// or if it stays in use behind its final answer.
#[test]
fn an_id_open_in_the_old_process_is_refused_by_the_new_one() {
    let mut held = node_before_held_answers();
    for round in 0..3 {
        let (reads, writes) = (format!("r{round}"), format!("w{round}"));
        let (mut reader, mut writer) = (held.node.client(), held.node.client());
        reader.send(read("kept", &reads));
        let kept = held.next("kept");
        writer.send(write("put", &writes));
        let put = held.next("put");
        let _old = held.replace();
        let mut other = held.node.client();
        for id in [&reads, &writes] {
            assert_eq!(other.ask(&read("other", id)), IN_USE, "round {round}");
            assert_eq!(other.ask(&write("other", id)), IN_USE, "round {round}");
        }
        kept.send(value(&reads));
        put.send(http("r-1"));
        assert_eq!(reader.answer(), format!("VA 1 O{reads}\r\nv\r\n"));
        assert_eq!(writer.answer(), format!("HD O{writes} cr-1\r\n"));
        other.send(read("again", &reads));
        held.next("again").send(value(&reads));
        assert_eq!(other.answer(), format!("VA 1 O{reads}\r\nv\r\n"), "the id is free again");
    }
}

/// Fails if an id that is open in the new process is served on a connection that the old one still reads.
#[test]
fn an_id_open_in_the_new_process_is_refused_by_the_old_one() {
    let mut held = node_before_held_answers();
    let mut stays = held.node.client();
    // A connection whose command is incomplete stays at the old process: what was read of it is too long.
    stays.send(format!("ms large 100000 O1 Pc=put,d=60000,k=1\r\n{}", "v".repeat(70_000)));
    thread::sleep(Duration::from_millis(50));
    let successor = Node::start_successor(&held.node);
    let old = std::mem::replace(&mut held.node, successor);
    let mut opens = held.node.client();
    opens.send(read("kept", "1"));
    let kept = held.next("kept");
    stays.send("v".repeat(30_000) + "\r\n");
    assert_eq!(stays.answer(), IN_USE);
    kept.send(value("1"));
    assert_eq!(opens.answer(), "VA 1 O1\r\nv\r\n");
    drop(old);
}

/// Fails if the ids of a process that was killed stay in use.
#[test]
fn the_ids_of_a_killed_process_are_free() {
    let mut held = node_before_held_answers();
    let mut waits = held.node.client();
    waits.send(read("kept", "1"));
    let _kept = held.next("kept");
    let mut old = held.replace();
    let mut other = held.node.client();
    assert_eq!(other.ask(&read("other", "1")), IN_USE);
    old.child.kill().expect("killed");
    old.child.wait().expect("its end");
    let killed_at = Instant::now();
    other.send(read("again", "1"));
    held.next("again").send(value("1"));
    assert_eq!(other.answer(), "VA 1 O1\r\nv\r\n");
    assert!(killed_at.elapsed() < FREED_WITHIN, "{:?}", killed_at.elapsed());
}

/// Fails if a process refuses ids, or serves one twice, after its successor has died before it was ready.
#[test]
fn a_successor_that_dies_early_leaves_no_id_in_use() {
    let held = node_before_held_answers();
    let mut waits = held.node.client();
    waits.send(read("kept", "1"));
    let kept = held.next("kept");
    for _ in 0..3 {
        let mut successor = Node::spawn_successor(&held.node);
        successor.child.kill().expect("killed");
        successor.child.wait().expect("its end");
        assert_eq!(held.node.client().ask(&read("other", "1")), IN_USE);
    }
    kept.send(value("1"));
    assert_eq!(waits.answer(), "VA 1 O1\r\nv\r\n");
    let mut other = held.node.client();
    for id in ["1", "2"] {
        other.send(read("again", id));
        held.next("again").send(value(id));
        assert_eq!(other.answer(), format!("VA 1 O{id}\r\nv\r\n"));
    }
}

/// Fails if a write whose client has left runs again when its id comes again: at the same process, at its
/// successor beside it, and at that one when the old process has ended.
#[test]
fn a_write_whose_client_left_does_not_run_again_under_its_id() {
    let mut held = node_before_held_answers();
    let mut leaves = held.node.client();
    leaves.send(write("put", "1"));
    let _put = held.next("put");
    drop(leaves);
    thread::sleep(LEFT_NOTICED);
    assert_eq!(held.node.client().ask(&write("put", "1")), IN_USE, "at the same process");
    let mut stays = held.node.client();
    stays.send(read("kept", "2"));
    let kept = held.next("kept");
    let mut old = held.replace();
    assert_eq!(held.node.client().ask(&write("put", "1")), IN_USE, "beside the old process");
    kept.send(value("2"));
    assert_eq!(stays.answer(), "VA 1 O2\r\nv\r\n");
    drop(stays);
    assert!(old.child.wait().expect("its end").success());
    assert_eq!(held.node.client().ask(&write("put", "1")), IN_USE, "after the old process");
    assert!(held.asked.try_recv().is_err(), "nothing ran again");
}

/// Fails if the id of a read whose client has left, or of a write that never ran, is refused.
#[test]
fn an_id_without_an_effect_is_free_once_its_client_has_left() {
    let held = node_before_held_answers();
    let mut leaves = held.node.client();
    leaves.send(read("kept", "1"));
    let _kept = held.next("kept");
    drop(leaves);
    thread::sleep(LEFT_NOTICED);
    let mut other = held.node.client();
    other.send(read("again", "1"));
    held.next("again").send(value("1"));
    assert_eq!(other.answer(), "VA 1 O1\r\nv\r\n");
}
