//! What is held for clients, over all their connections, stays within the memory limit, and is given back.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, Scripted, World};
use std::collections::VecDeque;
use std::io::Read;
use std::thread;
use std::time::Duration;

/// The least memory limit of the platform, in MB, and a node's descriptors with it.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 256;
/// The largest value that is no large value.
const VALUE: usize = 64 << 10;

/// A world whose cache server answers each read at once with a value of this length, and whose origin answers
/// each write after this time.
fn world_of(length: usize, write_time: Duration) -> (World<Books>, [Scripted; 2]) {
    let value = vec![b'v'; length];
    let cache = Scripted::start(move |asked, reply| {
        let head = format!("VA {} O{} h1\r\n", value.len(), asked.id).into_bytes();
        reply.send([&head, &value[..], b"\r\n"].concat());
    });
    let origin = Scripted::start(move |_, reply| {
        thread::spawn(move || {
            thread::sleep(write_time);
            reply.send(http("r-1"));
        });
    });
    let (cache, origin) = (cache.unwrap(), origin.unwrap());
    let spec = spec_with_peers(&[], &[("c", "cache", &cache), ("o", "origin", &origin)]);
    (world(spec, ids(0)), [cache, origin])
}

/// Fails unless the node has stayed within its memory limit, serves a new client, and has given back all that
/// it held for clients, as it logs at its end.
fn assert_within_limit_and_serving(mut node: Node, length: usize) {
    let peak = node.peak_memory_kb();
    assert!(peak <= (MEMORY_MB as usize) << 10, "{peak} kB resident of {MEMORY_MB} MB");
    // It may refuse some while it works off the burst, and has to serve again after that.
    let mut attempts = 0..;
    wait_until(|| {
        let mut client = node.client();
        let id = format!("last{}", attempts.next().unwrap_or(0));
        client.send(format!("mg k0 v O{id} Pc=read,d=5000\r\n"));
        client.read_line() == format!("VA {length} O{id}\r\n")
    });
    node.signal("-TERM");
    let mut log = String::new();
    node.child.stderr.take().expect("its log").read_to_string(&mut log).expect("text");
    let over = log.lines().find(|line| line.contains("about=over")).expect("a line");
    assert!(over.contains("input 0, uploads 0, answers 0, expected 0"), "{over}");
}

/// A write to the slow origin with this many reads behind it, whose ids begin with `name`; `more` goes behind the
/// parameters of each read.
fn write_and_reads(name: &str, reads: usize, more: &str) -> String {
    let write = format!("ms w{name} 1 Ow{name} Pc=put,d=5000,k=k{name}\r\nx\r\n");
    let read = |n| format!("mg k{n} v O{name}n{n} Pc=read,d=5000{more}\r\n");
    write + &(0..reads).map(read).collect::<String>()
}

/// Reads the answer to a write: its receipt, or a refusal, since the slow origin takes only so many at a time.
fn expect_write_ended(client: &mut Client) {
    let answer = client.read_line();
    assert!(answer.starts_with("HD ") || answer.starts_with("SERVER_ERROR busy"), "{answer:?}");
}

/// Fails if values that arrive before the answer that goes before them are held without a limit for all
/// connections, or if any of their requests gets no answer, or if the memory is not given back.
#[test]
fn values_out_of_order_stay_within_the_memory_limit_of_all_connections() {
    const CLIENTS: usize = 32;
    const READS: usize = 31;
    let (world, _servers) = world_of(VALUE, Duration::from_millis(1500));
    let node = Node::with_limits(&world, SOCKETS, MEMORY_MB);
    // Twice: what the first burst held must be there again for the second.
    for burst in 0..2 {
        let mut clients: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
        for (c, client) in clients.iter_mut().enumerate() {
            client.send(write_and_reads(&format!("b{burst}c{c}"), READS, ""));
        }
        for (c, client) in clients.iter_mut().enumerate() {
            expect_write_ended(client);
            for n in 0..READS {
                let line = client.read_line();
                assert_eq!(line, format!("VA {VALUE} Ob{burst}c{c}n{n}\r\n"));
                client.read_bytes(VALUE + 2);
            }
        }
    }
    assert_within_limit_and_serving(node, VALUE);
}

/// Fails if a small write for which there is no room is held all the same, or gets no refusal at its last byte.
#[test]
fn a_small_write_without_room_is_refused_at_its_last_byte() {
    let (world, _servers) = world_of(VALUE, Duration::from_millis(1500));
    let node = Node::with_limits(&world, SOCKETS, MEMORY_MB);
    let mut burst: Vec<Client> = (0..32).map(|_| node.client()).collect();
    for (c, client) in burst.iter_mut().enumerate() {
        client.send(write_and_reads(&format!("c{c}"), 31, ""));
    }
    // The values that wait behind the writes leave less room than a value needs.
    thread::sleep(Duration::from_millis(500));
    let mut client = node.client();
    client.send(format!("ms k {VALUE} Olarge Pc=put,d=5000,k=large\r\n"));
    client.send("v".repeat(VALUE - 1000));
    thread::sleep(Duration::from_millis(200));
    client.send("v".repeat(1000) + "\r\n");
    let answer = client.read_line();
    assert!(answer.starts_with("SERVER_ERROR busy "), "{answer:?}");
    // The connection is still of use.
    client.send("mg k0 v Onext Pc=read,d=5000\r\n");
    assert_eq!(client.read_line(), format!("VA {VALUE} Onext\r\n"));
}

/// Fails if the first pieces of many large values behind another answer are held without a limit.
#[test]
fn pieces_of_large_values_stay_within_the_memory_limit_of_all_connections() {
    const LENGTH: usize = 300 << 10;
    let (world, _servers) = world_of(LENGTH, Duration::from_millis(1500));
    let node = Node::with_limits(&world, SOCKETS, MEMORY_MB);
    let mut clients: Vec<Client> = (0..64).map(|_| node.client()).collect();
    for (c, client) in clients.iter_mut().enumerate() {
        client.send(write_and_reads(&format!("c{c}"), 16, ""));
    }
    clients.iter_mut().for_each(expect_write_ended);
    drop(clients);
    assert_within_limit_and_serving(node, LENGTH);
}

/// Fails if commands that are read and cannot be taken yet are held without a limit for all connections.
#[test]
fn commands_that_wait_stay_within_the_memory_limit_of_all_connections() {
    const LENGTH: usize = 10;
    let (world, _servers) = world_of(LENGTH, Duration::from_millis(1500));
    let node = Node::with_limits(&world, 1024, MEMORY_MB);
    let mut clients: Vec<Client> = (0..200).map(|_| node.client()).collect();
    let padding = format!(",size={}", "x".repeat(850));
    for (c, client) in clients.iter_mut().enumerate() {
        client.send_in_background(&write_and_reads(&format!("c{c}"), 160, &padding));
    }
    clients.iter_mut().for_each(expect_write_ended);
    drop(clients);
    assert_within_limit_and_serving(node, LENGTH);
}

/// Fails if room that is reserved for large writes, but not written to, takes memory: the buffers of earlier
/// writes come back with their pages.
#[test]
fn large_writes_that_have_only_begun_take_no_memory() {
    const WRITERS: usize = 10;
    const LARGE: usize = 4 << 20;
    /// Each writer sends a byte this often, so that it does not count as stopped.
    const DRIP_INTERVAL: Duration = Duration::from_millis(350);
    let (world, _servers) = world_of(VALUE, Duration::ZERO);
    let node = Node::with_limits(&world, SOCKETS, MEMORY_MB);
    let begin = |id: usize| {
        let mut client = node.client();
        client.send(format!("ms w{id} {LARGE} Ow{id} Pc=put,d=60000,k=k{id}\r\n"));
        (client, 0)
    };
    let drip = |writers: &mut VecDeque<(Client, usize)>| {
        for (client, sent) in writers.iter_mut() {
            client.send("v");
            *sent += 1;
        }
        thread::sleep(DRIP_INTERVAL);
    };
    let finish = |(mut client, sent): (Client, usize)| {
        client.send("v".repeat(LARGE - sent) + "\r\n");
        assert!(client.read_line().starts_with("HD "));
    };
    finish(begin(0));
    let mut writers: VecDeque<(Client, usize)> = (1..=WRITERS).map(begin).collect();
    // Until none of them waits for room, or has room for the whole reserved.
    (0..8).for_each(|_| drip(&mut writers));
    let before = node.anonymous_memory_kb();
    for id in 1..=WRITERS {
        finish(writers.pop_front().expect("a writer"));
        writers.push_back(begin(WRITERS + id));
        (0..2).for_each(|_| drip(&mut writers));
        // What one whole write takes may stay: as it was received, and as it was passed on.
        let more = node.anonymous_memory_kb().saturating_sub(before);
        assert!(more <= (2 * LARGE) >> 10, "{more} kB more after {id} whole writes, {WRITERS} have begun");
    }
}
