//! Large values: passed on as they come, with backpressure, in both directions.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, Reply, Scripted, World, member};
use std::io::{Read, Write};
use std::net::TcpStream;
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

struct Raw(TcpStream);

impl Raw {
    fn of(node: &Node) -> Raw {
        let stream = TcpStream::connect(node.address).unwrap();
        stream.set_read_timeout(Some(WIDE)).unwrap();
        Raw(stream)
    }

    fn ask(&mut self, id: &str, wait_ms: u64) {
        self.0.write_all(format!("mg k{id} v O{id} Pc=read,d={wait_ms}\r\n").as_bytes()).unwrap();
    }

    fn line(&mut self) -> String {
        let (mut line, mut byte) = (String::new(), [0]);
        while !line.ends_with('\n') && self.0.read(&mut byte).unwrap() > 0 {
            line.push(byte[0].into());
        }
        line
    }

    fn bytes(&mut self, length: usize) -> Vec<u8> {
        let mut bytes = vec![0; length];
        self.0.read_exact(&mut bytes).unwrap();
        bytes
    }

    fn takes(&mut self, length: usize, id: &str) {
        assert_eq!(self.line(), format!("VA {length} O{id}\r\n"));
        assert!(self.bytes(length) == value(length), "every byte of {length} as it was given");
        assert_eq!(self.bytes(2), b"\r\n");
    }
}

#[test]
fn a_large_value_is_passed_on_as_it_comes_and_past_its_deadline() {
    let (world, _cache, asked) = scripted();
    let node = Node::start(&world);
    let mut client = Raw::of(&node);
    client.ask("1", 1500);
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
    client.ask("2", 60_000);
    let (id, reply) = asked.recv().unwrap();
    reply.send(whole(5, &id));
    client.takes(5, "2");
}

#[test]
fn lengths_from_nothing_to_the_limit_pass_and_one_over_is_refused() {
    let (world, _cache, asked) = scripted();
    let node = Node::start(&world);
    let mut client = Raw::of(&node);
    for (n, length) in [0, 1, 65_535, 65_536, 65_537, 200_000, MOST].into_iter().enumerate() {
        let id = n.to_string();
        client.ask(&id, 60_000);
        let (id, reply) = asked.recv().unwrap();
        reply.send(whole(length, &id));
        client.takes(length, &id);
    }
    client.ask("9", 1000);
    for (id, reply) in asked.iter() {
        // A length over the limit is a spoilt answer, whoever gives it.
        if id == "9" {
            reply.send(head(MOST + 1, &id));
            break;
        }
    }
    assert!(client.line().starts_with("SERVER_ERROR"));
    client.0.write_all(format!("ms k {} O10 Pc=put,d=9,k=a\r\n", MOST + 1).as_bytes()).unwrap();
    assert_eq!(client.line(), "CLIENT_ERROR object too large\r\n");
}

#[test]
fn a_value_that_breaks_off_ends_its_connection_and_costs_no_other() {
    let (world, _cache, asked) = scripted();
    let node = Node::start(&world);
    let (mut torn, mut other) = (Raw::of(&node), Raw::of(&node));
    torn.ask("1", 60_000);
    let (id, reply) = asked.recv().unwrap();
    reply.send(&whole(MOST, &id)[..1 << 20]);
    assert_eq!(torn.line(), format!("VA {MOST} O1\r\n"));
    reply.close();
    let mut rest = Vec::new();
    let _ = torn.0.read_to_end(&mut rest);
    assert!(rest.len() < MOST && value(MOST).starts_with(&rest), "what came of it, and then the end");
    // A client that goes in the middle harms nobody either.
    let mut gone = Raw::of(&node);
    gone.ask("2", 60_000);
    let (id, reply) = asked.recv().unwrap();
    reply.send(&whole(MOST, &id)[..1 << 20]);
    gone.line();
    drop(gone);
    other.ask("3", 60_000);
    let (id, reply) = asked.recv().unwrap();
    reply.send(whole(70_000, &id));
    other.takes(70_000, &id);
}

#[test]
fn answers_keep_their_order_round_a_large_one() {
    let (world, _cache, asked) = scripted();
    let node = Node::start(&world);
    let mut client = Raw::of(&node);
    for id in ["1", "2", "3"] {
        client.ask(id, 60_000);
    }
    let mut replies: Vec<(String, Reply)> = (0..3).map(|_| asked.recv().unwrap()).collect();
    replies.sort_by(|a, b| a.0.cmp(&b.0));
    replies[2].1.send(whole(100_000, "3"));
    replies[1].1.send(whole(3, "2"));
    thread::sleep(Duration::from_millis(50));
    replies[0].1.send(whole(MOST, "1"));
    client.takes(MOST, "1");
    client.takes(3, "2");
    client.takes(100_000, "3");
}

#[test]
fn a_hundred_slow_readers_of_large_values_take_little_memory_and_hold_up_no_small_request() {
    const READERS: usize = 100;
    let (world, _cache, asked) = scripted();
    let node = Node::start(&world);
    let mut slow = Vec::new();
    for n in 0..READERS {
        let mut client = Raw::of(&node);
        client.ask(&n.to_string(), 60_000);
        let (id, reply) = asked.recv_timeout(WIDE).unwrap();
        reply.send(whole(MOST, &id));
        slow.push(client);
    }
    slow.iter_mut().enumerate().for_each(|(n, c)| assert_eq!(c.line(), format!("VA {MOST} O{n}\r\n")));
    let mut small = Raw::of(&node);
    for n in 0..50 {
        let id = format!("f{n}");
        small.ask(&id, 60_000);
        let (id, reply) = asked.recv().unwrap();
        reply.send(whole(10, &id));
        small.takes(10, &id);
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
            let mut client = Raw::of(&node);
            thread::spawn(move || {
                let text = "v".repeat(MOST);
                client
                    .0
                    .write_all(format!("ms w{n} {MOST} O{n} Pc=put,d=60000,k=k{n}\r\n").as_bytes())
                    .unwrap();
                for piece in text.as_bytes().chunks(333_333) {
                    client.0.write_all(piece).unwrap();
                }
                client.0.write_all(b"\r\n").unwrap();
                (client.line(), format!("HD O{n} cr-77\r\n"))
            })
        })
        .collect();
    let mut got: Vec<(String, usize)> = (0..20).map(|_| asked.recv_timeout(WIDE).unwrap()).collect();
    got.sort();
    got.dedup();
    assert!(got.len() == 20 && got.iter().all(|(_, length)| *length == MOST), "{got:?}");
    for write in writes {
        let (answer, receipt) = write.join().unwrap();
        assert_eq!(answer, receipt);
    }
}
