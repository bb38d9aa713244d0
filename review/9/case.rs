//! Servers give values of the common size slowly: what the node keeps of them until they are whole counts in no account,
//! and the node goes over its memory limit.
#[path = "../stand-2/stand.rs"]
mod stand;

use stand::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SOCKETS: usize = 1024;
const SERVERS: u64 = 150;
/// Less than a third of the descriptors, each with one connection.
const CLIENTS: u64 = 300;
/// Commands that a client sends at once.
const AT_ONCE: u64 = 4;
/// Less than 64 KiB.
const SIZE: usize = 65_000;
/// A server writes a piece, and then waits: half a second for a value.
const PIECE: usize = 4 << 10;
const SERVER_WAIT: Duration = Duration::from_millis(30);
/// A client reads a piece, and then waits: a third of a second for a value.
const CLIENT_PIECE: usize = 8 << 10;
const CLIENT_WAIT: Duration = Duration::from_millis(40);
const PLAYED: Duration = Duration::from_secs(12);
/// What a client waits after a refusal or a failure.
const BACKOFF: Duration = Duration::from_millis(300);

fn main() {
    let record = Record::new();
    let broken = run(&record);
    std::process::exit(verdict(&record, &broken));
}

fn run(record: &Record) -> Vec<String> {
    let handler: Handler = Arc::new(|got, out| {
        let value = made_for(&got.key, &got.id, SIZE);
        if !trouble() {
            return va(out, &got.id, &value);
        }
        out.write_all(format!("VA {SIZE} O{} h1\r\n", got.id).as_bytes())?;
        for piece in value.chunks(PIECE) {
            out.write_all(piece)?;
            thread::sleep(SERVER_WAIT);
        }
        out.write_all(b"\r\n")
    });
    let entries = (0..SERVERS).map(|n| Entry::new(&format!("s-{n:03}"), cache_server(handler.clone()), "gewoon"));
    let mut entries: Vec<Entry> = entries.collect();
    let origin = origin(Arc::new(|got, out| http_200(out, &made_for(&got.key, &got.id, 200))));
    entries.push(Entry::new("z-origin", origin, "origin"));
    let discovery = Discovery::start(entries, record);
    let settings = Settings { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Settings::default() };
    let platform = Platform::new(&settings, &discovery, record);
    let mut node = platform.start("node.log");
    let (at, until) = (platform.listen, Instant::now() + PLAYED);
    let clients: Vec<_> = (0..CLIENTS).map(|n| thread::spawn(move || client(at, n, until))).collect();
    let (mut most, mut most_at, mut next_line) = (0, 0, Instant::now());
    while Instant::now() < until && !node.has_ended() {
        thread::sleep(ms(5));
        let held = node.memory_kb("RssAnon").unwrap_or(0);
        if held > most {
            (most, most_at) = (held, record.ms());
        }
        if Instant::now() >= next_line {
            next_line += ms(500);
            record.line(format!("memory of the process alone (RssAnon): {held} kB, descriptors {}", node.descriptors()));
        }
    }
    let mut broken = Vec::new();
    if node.has_ended() {
        broken.push("the node ended".into());
    }
    let mut sums = [0u64; 2];
    for client in clients {
        let (served, not) = client.join().unwrap_or((0, 0));
        sums = [sums[0] + served, sums[1] + not];
    }
    record.line(format!("clients: {} values read, {} tries with a refusal or a failure", sums[0], sums[1]));
    record.line(format!("most memory: {most} kB at {most_at} ms; limit {} kB", MEMORY_MB << 10));
    if most > MEMORY_MB << 10 {
        broken.push(format!("the node held {most} kB, over its limit of {} kB, and is killed", MEMORY_MB << 10));
    }
    if sums[0] == 0 {
        cannot_run("nothing was served");
    }
    broken
}

/// Sends some reads at once, reads their answers slowly, and begins again.
fn client(at: SocketAddr, n: u64, until: Instant) -> (u64, u64) {
    let (mut served, mut not, mut count) = (0, 0, 0u64);
    let mut open: Option<Client> = None;
    while Instant::now() < until {
        count += 1;
        let Ok(mut client) = open.take().map_or_else(|| Client::connect(at), Ok) else {
            thread::sleep(BACKOFF);
            continue;
        };
        let key = |part: u64| (n * 131 + count * 17 + part * 7919) % 3000;
        let line = |part| mg(&format!("week-{}", key(part)), &format!("{n:x}x{count:x}p{part}"), "read", 2450);
        let _ = client.send((0..AT_ONCE).map(line).collect::<String>().as_bytes());
        let _ = client.stream.set_read_timeout(Some(ms(3500)));
        let mut text = Vec::new();
        let mut buffer = vec![0; CLIENT_PIECE];
        let began = Instant::now();
        let (mut values, mut others) = (0, 0);
        while values + others < AT_ONCE && began.elapsed() < ms(9000) {
            match client.stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(got) => text.extend_from_slice(&buffer[..got]),
            }
            // Whole answers are taken off the front.
            while let Some(end) = text.iter().position(|b| *b == b'\n') {
                let length = if text.starts_with(b"VA ") { end + 1 + SIZE + 2 } else { end + 1 };
                if text.len() < length {
                    break;
                }
                if text.starts_with(b"VA ") {
                    values += 1;
                } else {
                    others += 1;
                }
                text.drain(..length);
            }
            thread::sleep(CLIENT_WAIT);
        }
        served += values;
        if values < AT_ONCE {
            not += 1;
            thread::sleep(BACKOFF);
        }
        if values + others == AT_ONCE {
            open = Some(client);
        }
    }
    (served, not)
}
