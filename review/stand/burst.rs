//! Clients send many reads at once. The platform kills a node over its memory limit.

use crate::world::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 256;
/// Clients; at most a third of the descriptors are theirs.
const CLIENTS: u64 = 32;
/// Reads of a client in a round, and the time between the starts of its rounds: 256 reads a second in all.
const READS: u64 = 32;
const ROUND: Duration = Duration::from_secs(4);
const ROUNDS: u64 = 4;
/// The largest value of the protocol page.
const LENGTH: usize = 64 << 10;
const DEADLINE_MS: u64 = 2500;

/// 50 to 200 ms.
fn work(id: &str) -> Duration {
    ms(50 + (hash(id) >> 7) % 150)
}

/// Requests by how they ended for their clients.
#[derive(Default)]
struct Ends {
    served: AtomicU64,
    refused: AtomicU64,
    unanswered: AtomicU64,
}

pub fn run(root: &str, trouble: bool, record: &Arc<Record>) -> i32 {
    let server = |name, kind| entry(name, keeper(name, record, LENGTH, work), kind);
    let entries = vec![server("s-1", "snel"), server("s-2", "gewoon"), server("s-3", "oud")];
    let world = World::new(root, record, entries, MEMORY_MB, SOCKETS);
    world.configure(vec![
        class("rooster-lezen", "free", 2.5, 0.75, 5.0),
        class("les-boeken", "guarded", 5.0, 1.5, 15.0),
    ]);
    let Some(mut node) = world.start(record) else { return 2 };
    let (ends, killed) = (Arc::new(Ends::default()), Arc::new(AtomicBool::new(false)));
    let at_once = if trouble { READS } else { 1 };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (ends, killed, record, at) = (ends.clone(), killed.clone(), record.clone(), world.listen);
            thread::spawn(move || client(c, at_once, at, &ends, &killed, &record))
        })
        .collect();
    let (mut peak, mut noted) = (0, Instant::now());
    while !clients.iter().all(|c| c.is_finished()) {
        let now = node.status_kb("VmRSS");
        peak = peak.max(now);
        if noted.elapsed() > ms(200) {
            noted = Instant::now();
            record.note(format!("memory of the node: {now} kB"));
        }
        if now > MEMORY_MB * 1024 && !killed.swap(true, SeqCst) {
            record.say(format!("memory of the node: {now} kB, over {MEMORY_MB} MB: the platform kills it"));
            node.signal(SIGKILL);
        }
        thread::sleep(ms(10));
    }
    clients.into_iter().for_each(|c| _ = c.join());
    let crashed = !killed.load(SeqCst) && node.ended().is_some();
    let Ends { served, refused, unanswered } = &*ends;
    record.say(format!(
        "peak {peak} kB of {} kB; served {}, refused or failed {}, without an answer {}",
        MEMORY_MB * 1024,
        served.load(SeqCst),
        refused.load(SeqCst),
        unanswered.load(SeqCst)
    ));
    i32::from(killed.load(SeqCst) || crashed)
}

/// Sends its reads of each round, `at_once` at a time, and reads the answers as they come.
fn client(c: u64, at_once: u64, at: SocketAddr, ends: &Ends, killed: &AtomicBool, record: &Record) {
    let began = Instant::now();
    for round in 0..ROUNDS {
        let start = began + ROUND * round as u32 + ms(c * 997 % 200);
        thread::sleep(start.saturating_duration_since(Instant::now()));
        let Ok(mut stream) = TcpStream::connect(at) else { return };
        for part in 0..READS / at_once {
            // Without the burst a round may take longer; then the rest of it is left out.
            if killed.load(SeqCst) || start.elapsed() > ROUND - ms(500) {
                break;
            }
            let read = |n: u64| {
                let key = (c * 31 + (part * at_once + n) * 7) % 200;
                format!(
                    "mg teacher-{key} v Oc{c}r{round}n{} Pc=rooster-lezen,d={DEADLINE_MS}\r\n",
                    part * at_once + n
                )
            };
            let text: String = (0..at_once).map(read).collect();
            record.note(format!("client {c} sends {at_once} reads, round {round}"));
            let sent = Instant::now();
            let answers = match stream.write_all(text.as_bytes()) {
                Ok(()) => answers(&mut stream, at_once, sent + ms(DEADLINE_MS + 1000)),
                Err(_) => Vec::new(),
            };
            let served = answers.iter().filter(|line| line.starts_with("VA ")).count() as u64;
            let got = answers.len() as u64;
            record.note(format!(
                "client {c} gets {got} answers after {} ms, {served} of them values",
                sent.elapsed().as_millis()
            ));
            ends.served.fetch_add(served, SeqCst);
            ends.refused.fetch_add(got - served, SeqCst);
            ends.unanswered.fetch_add(at_once - got, SeqCst);
            if got < at_once {
                break;
            }
        }
    }
}

/// The first lines of the next `count` answers, or of those that come.
fn answers(stream: &mut TcpStream, count: u64, until: Instant) -> Vec<String> {
    let (mut lines, mut held, mut buffer) = (Vec::new(), Vec::new(), vec![0; 256 << 10]);
    while (lines.len() as u64) < count {
        let left = until.saturating_duration_since(Instant::now()).max(ms(1));
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => held.extend_from_slice(&buffer[..n]),
            _ => break,
        }
        let mut at = 0;
        while let Some(end) = held[at..].iter().position(|b| *b == b'\n') {
            let line = String::from_utf8_lossy(&held[at..at + end]).trim_end().to_string();
            let value = if line.starts_with("VA ") { LENGTH + 2 } else { 0 };
            if held.len() < at + end + 1 + value {
                break;
            }
            lines.push(line);
            at += end + 1 + value;
        }
        held.drain(..at);
    }
    lines
}
