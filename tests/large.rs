//! Large values: passed on as they come, with backpressure, in both directions.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, Reply, Scripted, World, member};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

const MOST: usize = 4 << 20;

/// Bytes that differ wherever one is lost or doubled.
fn value(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

fn head(length: usize, id: &str) -> Vec<u8> {
    format!("VA {length} O{id} h1\r\n").into_bytes()
}

fn whole(length: usize, id: &str) -> Vec<u8> {
    [head(length, id), value(length), b"\r\n".to_vec()].concat()
}

/// A world whose one cache server hands each request to the test: its id, and where the answer goes.
fn scripted() -> (World<Books>, Scripted, Receiver<(String, Reply)>) {
    let (tell, asked) = channel();
    let cache = Scripted::start(move |asked, reply| {
        let _ = tell.send((asked.id, reply));
    });
    let cache = cache.unwrap();
    let mut spec = spec(&[]);
    spec.discovery.plan.members = vec![member("c", &cache.address().to_string(), "cache", "z")];
    (world(spec, ids(0)), cache, asked)
}

fn ask(client: &mut Client, id: &str, wait_ms: u64) {
    client.send(format!("mg k{id} v O{id} Pc=read,d={wait_ms}\r\n"));
}

fn takes(client: &mut Client, length: usize, id: &str) {
    assert_eq!(client.line(), format!("VA {length} O{id}\r\n"));
    assert!(client.bytes(length) == value(length), "every byte of {length} as it was given");
    assert_eq!(client.bytes(2), b"\r\n");
}

#[test]
fn a_large_value_is_passed_on_as_it_comes_and_past_its_deadline() {
    let (world, _cache, asked) = scripted();
    let node = Node::start(&world);
    let mut client = node.client();
    ask(&mut client, "1", 1500);
    let (id, reply) = asked.recv().unwrap();
    let all = whole(MOST, &id);
    // The first bytes arrive while the rest has not been given yet.
    reply.send(&all[..100_000]);
    assert_eq!(client.line(), format!("VA {MOST} O1\r\n"));
    let first = client.bytes(90_000);
    thread::sleep(Duration::from_millis(1600));
    // Cut anywhere: in the value, and in the line end behind it.
    let cuts = [100_000, 100_001, 1_000_000, all.len() - 3, all.len() - 1, all.len()];
    cuts.windows(2).for_each(|cut| reply.send(&all[cut[0]..cut[1]]));
    let rest = client.bytes(MOST - 90_000);
    assert!([first, rest].concat() == value(MOST), "every byte, past the deadline");
    assert_eq!(client.bytes(2), b"\r\n");
    // The connection goes on.
    ask(&mut client, "2", 60_000);
    let (id, reply) = asked.recv().unwrap();
    reply.send(whole(5, &id));
    takes(&mut client, 5, "2");
}

#[test]
fn lengths_from_nothing_to_the_limit_pass_and_one_over_is_refused() {
    let (world, _cache, asked) = scripted();
    let node = Node::start(&world);
    let mut client = node.client();
    for (n, length) in [0, 1, 65_535, 65_536, 65_537, 200_000, MOST].into_iter().enumerate() {
        let id = n.to_string();
        ask(&mut client, &id, 60_000);
        let (id, reply) = asked.recv().unwrap();
        reply.send(whole(length, &id));
        takes(&mut client, length, &id);
    }
    ask(&mut client, "9", 1000);
    for (id, reply) in asked.iter() {
        // A length over the limit is a spoilt answer, whoever gives it.
        if id == "9" {
            reply.send(head(MOST + 1, &id));
            break;
        }
    }
    assert!(client.line().starts_with("SERVER_ERROR"));
    client.send(format!("ms k {} O10 Pc=put,d=9,k=a\r\n", MOST + 1));
    assert_eq!(client.line(), "CLIENT_ERROR object too large\r\n");
}

#[test]
fn a_value_that_breaks_off_ends_its_connection_and_costs_no_other() {
    let (world, _cache, asked) = scripted();
    let node = Node::start(&world);
    let (mut torn, mut other) = (node.client(), node.client());
    ask(&mut torn, "1", 60_000);
    let (id, reply) = asked.recv().unwrap();
    reply.send(&whole(MOST, &id)[..1 << 20]);
    assert_eq!(torn.line(), format!("VA {MOST} O1\r\n"));
    reply.close();
    let rest = torn.rest();
    assert!(rest.len() < MOST && value(MOST).starts_with(&rest), "what came of it, and then the end");
    // A client that goes in the middle harms nobody either.
    let mut gone = node.client();
    ask(&mut gone, "2", 60_000);
    let (id, reply) = asked.recv().unwrap();
    reply.send(&whole(MOST, &id)[..1 << 20]);
    gone.line();
    drop(gone);
    ask(&mut other, "3", 60_000);
    let (id, reply) = asked.recv().unwrap();
    reply.send(whole(70_000, &id));
    takes(&mut other, 70_000, &id);
}

#[test]
fn answers_keep_their_order_round_a_large_one() {
    let (world, _cache, asked) = scripted();
    let node = Node::start(&world);
    let mut client = node.client();
    for id in ["1", "2", "3"] {
        ask(&mut client, id, 60_000);
    }
    let mut replies: Vec<(String, Reply)> = (0..3).map(|_| asked.recv().unwrap()).collect();
    replies.sort_by(|a, b| a.0.cmp(&b.0));
    replies[2].1.send(whole(100_000, "3"));
    replies[1].1.send(whole(3, "2"));
    thread::sleep(Duration::from_millis(50));
    replies[0].1.send(whole(MOST, "1"));
    takes(&mut client, MOST, "1");
    takes(&mut client, 3, "2");
    takes(&mut client, 100_000, "3");
}

#[test]
fn a_hundred_slow_readers_of_large_values_take_little_memory_and_hold_up_no_small_request() {
    const READERS: usize = 100;
    let (world, _cache, asked) = scripted();
    let node = Node::start(&world);
    let mut slow = Vec::new();
    for n in 0..READERS {
        let mut client = node.client();
        ask(&mut client, &n.to_string(), 60_000);
        let (id, reply) = asked.recv_timeout(TEST_TIMEOUT).unwrap();
        reply.send(whole(MOST, &id));
        slow.push(client);
    }
    slow.iter_mut().enumerate().for_each(|(n, c)| assert_eq!(c.line(), format!("VA {MOST} O{n}\r\n")));
    let mut small = node.client();
    for n in 0..50 {
        let id = format!("f{n}");
        ask(&mut small, &id, 60_000);
        let (id, reply) = asked.recv().unwrap();
        reply.send(whole(10, &id));
        takes(&mut small, 10, &id);
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap().trim();
    let peak: usize = peak.trim_end_matches(" kB").parse().unwrap();
    assert!(peak < 40 << 10, "{peak} kB for {READERS} values of 4 MiB");
    for client in &mut slow[..5] {
        assert!(client.bytes(MOST) == value(MOST));
    }
}

#[test]
fn a_large_write_comes_in_pieces_and_goes_to_the_origin_whole() {
    let (tell, asked) = channel();
    let origin = Scripted::start(move |asked, reply| {
        let body = asked.text.split_once("\r\n\r\n").map_or(0, |(_, body)| body.len());
        let _ = tell.send((asked.key, body));
        reply.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nr-77");
    });
    let origin = origin.unwrap();
    let mut spec = spec(&["a"]);
    spec.discovery.plan.members = vec![member("o", &origin.address().to_string(), "origin", "z")];
    let world = world(spec, ids(0));
    let node = Node::start(&world);
    let writes: Vec<_> = (0..20)
        .map(|n| {
            let mut client = node.client();
            thread::spawn(move || {
                let text = "v".repeat(MOST);
                client.send(format!("ms w{n} {MOST} O{n} Pc=put,d=60000,k=k{n}\r\n"));
                for piece in text.as_bytes().chunks(333_333) {
                    client.send(piece);
                }
                client.send("\r\n");
                (client.line(), format!("HD O{n} cr-77\r\n"))
            })
        })
        .collect();
    let mut got: Vec<(String, usize)> = (0..20).map(|_| asked.recv_timeout(TEST_TIMEOUT).unwrap()).collect();
    got.sort();
    got.dedup();
    assert!(got.len() == 20 && got.iter().all(|(_, length)| *length == MOST), "{got:?}");
    for write in writes {
        let (answer, receipt) = write.join().unwrap();
        assert_eq!(answer, receipt);
    }
}
