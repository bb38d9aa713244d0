//! Large values are streamed in both directions, with backpressure.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, Reply, Scripted, World};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// The longest value that the node accepts.
const MAX_LENGTH: usize = 4 << 20;

/// A byte pattern in which a lost or duplicated byte shows.
fn value(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

/// The first line of a server's answer.
fn head(length: usize, id: &str) -> Vec<u8> {
    format!("VA {length} O{id} h1\r\n").into_bytes()
}

/// A server's complete answer.
fn answer(length: usize, id: &str) -> Vec<u8> {
    [head(length, id), value(length), b"\r\n".to_vec()].concat()
}

/// A world whose one cache server passes each request to the test: its id, and the reply to send.
fn scripted() -> (World<Books>, Scripted, Receiver<(String, Reply)>) {
    let (sender, requests) = channel();
    let cache = Scripted::start(move |asked, reply| {
        let _ = sender.send((asked.id, reply));
    });
    let cache = cache.unwrap();
    let spec = spec_with_peers(&[], &[("c", "cache", &cache)]);
    (world(spec, ids(0)), cache, requests)
}

/// Sends a read.
fn send_read(client: &mut Client, id: &str, wait_ms: u64) {
    client.send(format!("mg k{id} v O{id} Pc=read,d={wait_ms}\r\n"));
}

/// Reads an answer and checks each byte of its value.
fn expect_value(client: &mut Client, length: usize, id: &str) {
    assert_eq!(client.read_line(), format!("VA {length} O{id}\r\n"));
    assert!(client.read_bytes(length) == value(length), "every byte of {length} as it was sent");
    assert_eq!(client.read_bytes(2), b"\r\n");
}

/// Fails if a large value is buffered until it is complete, or truncated because its deadline passes while it
/// is streamed.
#[test]
fn a_large_value_is_streamed_and_may_end_past_its_deadline() {
    let (world, _cache, requests) = scripted();
    let node = Node::start(&world);
    let mut client = node.client();
    send_read(&mut client, "1", 1500);
    let (id, reply) = requests.recv().unwrap();
    let all = answer(MAX_LENGTH, &id);
    // The client gets the first bytes before the server has sent the rest.
    reply.send(&all[..100_000]);
    assert_eq!(client.read_line(), format!("VA {MAX_LENGTH} O1\r\n"));
    let first = client.read_bytes(90_000);
    thread::sleep(Duration::from_millis(1600));
    // The rest comes in pieces that also end within the value and within the line end after it.
    let cuts = [100_000, 100_001, 1_000_000, all.len() - 3, all.len() - 1, all.len()];
    cuts.windows(2).for_each(|cut| reply.send(&all[cut[0]..cut[1]]));
    let rest = client.read_bytes(MAX_LENGTH - 90_000);
    assert!([first, rest].concat() == value(MAX_LENGTH), "every byte, past the deadline");
    assert_eq!(client.read_bytes(2), b"\r\n");
    // The connection stays usable.
    send_read(&mut client, "2", 60_000);
    let (id, reply) = requests.recv().unwrap();
    reply.send(answer(5, &id));
    expect_value(&mut client, 5, "2");
}

/// Fails if a value of a length at a buffer's or the limit's edge is damaged, or one over the limit is
/// accepted.
#[test]
fn values_up_to_the_limit_pass_and_one_byte_more_is_rejected() {
    let (world, _cache, requests) = scripted();
    let node = Node::start(&world);
    let mut client = node.client();
    for (n, length) in [0, 1, 65_535, 65_536, 65_537, 200_000, MAX_LENGTH].into_iter().enumerate() {
        let id = n.to_string();
        send_read(&mut client, &id, 60_000);
        let (id, reply) = requests.recv().unwrap();
        reply.send(answer(length, &id));
        expect_value(&mut client, length, &id);
    }
    send_read(&mut client, "9", 1000);
    for (id, reply) in requests.iter() {
        // A length over the limit counts as a corrupt response, whichever server sends it.
        if id == "9" {
            reply.send(head(MAX_LENGTH + 1, &id));
            break;
        }
    }
    assert!(client.read_line().starts_with("SERVER_ERROR"));
    client.send(format!("ms k {} O10 Pc=put,d=9,k=a\r\n", MAX_LENGTH + 1));
    assert_eq!(client.read_line(), "CLIENT_ERROR object too large\r\n");
}

/// Fails if a value that its server truncates leaves the client's connection open, or if it, or a client that
/// disconnects within a value, harms another client.
#[test]
fn a_truncated_value_closes_its_connection_and_harms_no_other() {
    let (world, _cache, requests) = scripted();
    let node = Node::start(&world);
    let (mut truncated, mut other) = (node.client(), node.client());
    send_read(&mut truncated, "1", 60_000);
    let (id, reply) = requests.recv().unwrap();
    reply.send(&answer(MAX_LENGTH, &id)[..1 << 20]);
    assert_eq!(truncated.read_line(), format!("VA {MAX_LENGTH} O1\r\n"));
    reply.close();
    let rest = truncated.read_to_end();
    assert!(
        rest.len() < MAX_LENGTH && value(MAX_LENGTH).starts_with(&rest),
        "a prefix of the value, and then the end"
    );
    // Nor does a client that disconnects within a value harm another one.
    let mut gone = node.client();
    send_read(&mut gone, "2", 60_000);
    let (id, reply) = requests.recv().unwrap();
    reply.send(&answer(MAX_LENGTH, &id)[..1 << 20]);
    gone.read_line();
    drop(gone);
    send_read(&mut other, "3", 60_000);
    let (id, reply) = requests.recv().unwrap();
    reply.send(answer(70_000, &id));
    expect_value(&mut other, 70_000, &id);
}

/// Fails if answers that follow a large value in the pipeline overtake it or mix with it.
#[test]
fn pipelined_answers_keep_their_order_around_a_large_value() {
    let (world, _cache, requests) = scripted();
    let node = Node::start(&world);
    let mut client = node.client();
    for id in ["1", "2", "3"] {
        send_read(&mut client, id, 60_000);
    }
    let mut replies: Vec<(String, Reply)> = (0..3).map(|_| requests.recv().unwrap()).collect();
    replies.sort_by(|a, b| a.0.cmp(&b.0));
    replies[2].1.send(answer(100_000, "3"));
    replies[1].1.send(answer(3, "2"));
    thread::sleep(Duration::from_millis(50));
    replies[0].1.send(answer(MAX_LENGTH, "1"));
    expect_value(&mut client, MAX_LENGTH, "1");
    expect_value(&mut client, 3, "2");
    expect_value(&mut client, 100_000, "3");
}

/// Fails if a large value behind another on its connection is held back for good once its reading from the
/// server was paused, though its client reads on and its server gives.
#[test]
fn large_values_in_a_pipeline_are_all_read_on_after_a_pause() {
    const READS: usize = 8;
    /// Reads ahead of clients stop at a part of this; all values together are several times as long.
    const MEMORY_MB: u32 = 32;
    for slow_first in [false, true] {
        let (world, _cache, requests) = scripted();
        let node = Node::with_limits(&world, 256, MEMORY_MB);
        let mut client = node.client();
        for n in 0..READS {
            send_read(&mut client, &n.to_string(), 60_000);
        }
        let mut replies: Vec<(String, Reply)> =
            (0..READS).map(|_| requests.recv_timeout(TEST_TIMEOUT).unwrap()).collect();
        replies.sort_by(|a, b| a.0.cmp(&b.0));
        if slow_first {
            // All others arrive, and are paused, before the first begins.
            let (id, first) = replies.remove(0);
            replies.iter().for_each(|(id, reply)| reply.send(answer(MAX_LENGTH, id)));
            thread::sleep(Duration::from_millis(300));
            first.send(answer(MAX_LENGTH, &id));
        } else {
            replies.iter().for_each(|(id, reply)| reply.send(answer(MAX_LENGTH, id)));
        }
        // A pause in reading has the first value paused, too.
        thread::sleep(Duration::from_millis(300));
        (0..READS).for_each(|n| expect_value(&mut client, MAX_LENGTH, &n.to_string()));
    }
}

/// Fails if values that their clients do not read are buffered in full, or delay requests of other clients.
#[test]
fn slow_readers_use_little_memory_and_delay_no_other_request() {
    const READERS: usize = 100;
    let (world, _cache, requests) = scripted();
    let node = Node::start(&world);
    let mut slow = Vec::new();
    for n in 0..READERS {
        let mut client = node.client();
        send_read(&mut client, &n.to_string(), 60_000);
        let (id, reply) = requests.recv_timeout(TEST_TIMEOUT).unwrap();
        reply.send(answer(MAX_LENGTH, &id));
        slow.push(client);
    }
    slow.iter_mut()
        .enumerate()
        .for_each(|(n, c)| assert_eq!(c.read_line(), format!("VA {MAX_LENGTH} O{n}\r\n")));
    let mut small = node.client();
    for n in 0..50 {
        let id = format!("f{n}");
        send_read(&mut small, &id, 60_000);
        let (id, reply) = requests.recv().unwrap();
        reply.send(answer(10, &id));
        expect_value(&mut small, 10, &id);
    }
    let peak = node.peak_memory_kb();
    assert!(peak < 40 << 10, "{peak} kB for {READERS} values of 4 MiB");
    for client in &mut slow[..5] {
        assert!(client.read_bytes(MAX_LENGTH) == value(MAX_LENGTH));
    }
}

/// Fails if a large write that arrives in pieces does not reach the origin complete.
#[test]
fn a_large_write_in_pieces_reaches_the_origin_complete() {
    let (sender, requests) = channel();
    let origin = Scripted::start(move |asked, reply| {
        let body = asked.text.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len());
        let _ = sender.send((asked.key, body));
        reply.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nr-77");
    });
    let origin = origin.unwrap();
    let spec = spec_with_peers(&["a"], &[("o", "origin", &origin)]);
    let world = world(spec, ids(0));
    let node = Node::start(&world);
    let writes: Vec<_> = (0..20)
        .map(|n| {
            let mut client = node.client();
            thread::spawn(move || {
                let text = "v".repeat(MAX_LENGTH);
                client.send(format!("ms w{n} {MAX_LENGTH} O{n} Pc=put,d=60000,k=k{n}\r\n"));
                for piece in text.as_bytes().chunks(333_333) {
                    client.send(piece);
                }
                client.send("\r\n");
                (client.read_line(), format!("HD O{n} cr-77\r\n"))
            })
        })
        .collect();
    let mut received: Vec<(String, usize)> =
        (0..20).map(|_| requests.recv_timeout(TEST_TIMEOUT).unwrap()).collect();
    received.sort();
    received.dedup();
    assert!(received.len() == 20 && received.iter().all(|(_, length)| *length == MAX_LENGTH), "{received:?}");
    for write in writes {
        let (answer, receipt) = write.join().unwrap();
        assert_eq!(answer, receipt);
    }
}

/// A read of a large value, and what its server does after the first part of it.
#[derive(Clone, Copy, Debug)]
enum ValueEnd {
    /// It closes the connection.
    Breaks,
    /// It sends nothing more.
    Stalls,
    /// It sends bytes that do not belong to the value, in place of the line end.
    IsMalformed,
}

/// Fails if a command that was sent behind a read gets no answer because the value before it ends short, stalls
/// or is malformed, though it has run and its answer is there.
#[test]
fn commands_behind_a_large_value_that_fails_get_their_answers() {
    const PART: usize = 300_000;
    let write = |id: &str| format!("ms w{id} 1 O{id} Pc=put,d=4000,k={id}\r\nv\r\n");
    for end in [ValueEnd::Breaks, ValueEnd::Stalls, ValueEnd::IsMalformed] {
        let (sender, requests) = channel();
        let cache = Scripted::start(move |asked, reply| _ = sender.send((asked.id, reply))).unwrap();
        let origin = Scripted::start(|_, reply| reply.send(http("r-1"))).unwrap();
        let spec = spec_with_peers(&[], &[("c", "cache", &cache), ("o", "origin", &origin)]);
        let world = world(spec, ids(0));
        let node = Node::start(&world);
        let mut client = node.client();
        let began = Instant::now();
        client.send(format!("mg k v O1 Pc=read,d=1500\r\n{}", write("2")));
        let (id, reply) = requests.recv_timeout(TEST_TIMEOUT).unwrap();
        let whole = answer(MAX_LENGTH, &id);
        match end {
            ValueEnd::Breaks | ValueEnd::Stalls => reply.send(&whole[..PART]),
            ValueEnd::IsMalformed => reply.send([&whole[..whole.len() - 2], b"xx"].concat()),
        }
        if matches!(end, ValueEnd::Breaks) {
            thread::sleep(Duration::from_millis(50));
            reply.close();
        }
        assert_eq!(client.read_line(), "SERVER_ERROR failed\r\n", "{end:?}");
        assert_eq!(client.read_line(), "HD O2 cr-1\r\n", "{end:?}");
        assert!(began.elapsed() < Duration::from_secs(2), "{end:?}: {:?}", began.elapsed());
        // The connection is of use for more.
        client.send(write("3"));
        assert_eq!(client.read_line(), "HD O3 cr-1\r\n", "{end:?}");
    }
}

/// Fails if a command is taken behind a value that is passed on as it comes: its answer would be lost with the
/// connection if the value ended short.
#[test]
fn a_command_that_comes_within_a_large_value_is_taken_behind_it() {
    let (world, _cache, requests) = scripted();
    let node = Node::start(&world);
    let mut client = node.client();
    send_read(&mut client, "1", 60_000);
    let (id, reply) = requests.recv_timeout(TEST_TIMEOUT).unwrap();
    let whole = answer(MAX_LENGTH, &id);
    reply.send(&whole[..300_000]);
    assert_eq!(client.read_line(), format!("VA {MAX_LENGTH} O1\r\n"));
    send_read(&mut client, "2", 60_000);
    assert!(requests.recv_timeout(Duration::from_millis(200)).is_err(), "taken within the value");
    reply.send(&whole[300_000..]);
    assert!(client.read_bytes(MAX_LENGTH) == value(MAX_LENGTH));
    assert_eq!(client.read_line(), "\r\n");
    let (id, reply) = requests.recv_timeout(TEST_TIMEOUT).unwrap();
    reply.send(answer(3, &id));
    expect_value(&mut client, 3, "2");
}
