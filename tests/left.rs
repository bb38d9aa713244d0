//! Clients that leave while the node holds more of their commands than it takes at once.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, Scripted, World};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// The cache server answers each read with a miss after this time.
const MISS_AFTER: Duration = Duration::from_millis(300);
/// No attempt may begin later than this after its client has closed.
const CLOSE_NOTICE_TIME: Duration = Duration::from_millis(150);

/// A node before a cache server that misses every key, and an origin that reports when it was asked.
fn node_before_misses() -> (Node, World<Books>, [Scripted; 2], Receiver<Instant>) {
    let cache = Scripted::start(|asked, reply| {
        thread::spawn(move || {
            thread::sleep(MISS_AFTER);
            reply.send(format!("EN O{} h0\r\n", asked.id));
        });
    });
    let (sender, fetches) = channel();
    let origin = Scripted::start(move |_, reply| {
        let _ = sender.send(Instant::now());
        reply.send(http("value"));
    });
    let (cache, origin) = (cache.expect("a server"), origin.expect("an origin"));
    let spec = spec_with_peers(&[], &[("c", "cache", &cache), ("o", "origin", &origin)]);
    let world = world(spec, ids(0));
    let node = Node::start(&world);
    (node, world, [cache, origin], fetches)
}

/// Reads under ids that begin with `name`, each about `length` bytes long.
fn reads(name: &str, count: usize, length: usize) -> String {
    let figure = "x".repeat(length.saturating_sub(50));
    let read = |n| format!("mg k{n} v O{name}n{n} Pc=read,d=2500,size={figure}\r\n");
    (0..count).map(read).collect()
}

/// Fails if the end of a connection behind commands that are not taken yet is not noticed: fetches would begin
/// for a client that has left.
#[test]
fn no_fetch_begins_for_a_client_that_left_behind_many_commands() {
    let (node, _world, _servers, fetches) = node_before_misses();
    let cases = [(700, 950), (3000, 100), (300, 4000), (33, 950)];
    for (case, (count, length)) in cases.into_iter().enumerate() {
        let text = reads(&format!("c{case}"), count, length);
        // The client leaves after the last command, and within one.
        for (part, sent) in [text.len(), text.len() - length / 2].into_iter().enumerate() {
            let text = text.replace(&format!("Oc{case}n"), &format!("Oc{case}p{part}n"));
            let mut client = node.client();
            client.send(&text[..sent]);
            thread::sleep(Duration::from_millis(50));
            drop(client);
            let closed_at = Instant::now();
            thread::sleep(MISS_AFTER + CLOSE_NOTICE_TIME);
            let late = fetches.try_iter().filter(|at| *at > closed_at + CLOSE_NOTICE_TIME).count();
            assert_eq!(late, 0, "fetches that began late, {count} commands of {length} bytes, {sent} sent");
        }
    }
}

/// Fails if commands that were read while others were pending are lost or answered out of order.
#[test]
fn commands_that_were_read_ahead_are_all_answered_in_order() {
    let (node, _world, _servers, _fetches) = node_before_misses();
    let mut clients: Vec<Client> = (0..4).map(|_| node.client()).collect();
    let counts = [33, 100, 150, 200];
    for (n, (client, count)) in clients.iter_mut().zip(counts).enumerate() {
        client.send(reads(&format!("a{n}"), count, 100 * (n + 1)));
    }
    for (n, (client, count)) in clients.iter_mut().zip(counts).enumerate() {
        for id in (0..count).map(|id| format!("a{n}n{id}")) {
            let line = client.read_line();
            assert!(line.starts_with("SERVER_ERROR") || line == format!("VA 5 O{id}\r\n"), "{id}: {line:?}");
            if line.starts_with("VA ") {
                assert_eq!(client.read_bytes(7), b"value\r\n");
            }
        }
    }
}
