//! Clients read and write values of 4 MiB slowly, together far over the memory limit: the node goes over it.
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
/// Together less than a third of the descriptors.
const READERS: u64 = 100;
const WRITERS: u64 = 200;
const LARGE: usize = 4 << 20;
const COMMON: usize = 60 << 10;
/// A client reads or writes a piece, and then waits. A whole large value takes 0.6 s to read and 1.3 s to write.
const PIECE: usize = 64 << 10;
const READ_WAIT: Duration = Duration::from_millis(10);
const WRITE_WAIT: Duration = Duration::from_millis(20);
const PLAYED: Duration = Duration::from_secs(15);
/// What a client waits after a refusal or a failure.
const BACKOFF: Duration = Duration::from_millis(500);

fn main() {
    let record = Record::new();
    let broken = run(&record);
    std::process::exit(verdict(&record, &broken));
}

fn run(record: &Record) -> Vec<String> {
    let size = if trouble() { LARGE } else { COMMON };
    let handler: Handler = Arc::new(move |got, out| {
        let value = made_for(&got.key, &got.id, size);
        out.write_all(format!("VA {size} O{} h1\r\n", got.id).as_bytes())?;
        for piece in value.chunks(PIECE) {
            out.write_all(piece)?;
            thread::sleep(ms(2));
        }
        out.write_all(b"\r\n")
    });
    let entries = (0..12).map(|n| Entry::new(&format!("s-{n}"), cache_server(handler.clone()), "gewoon"));
    let mut entries: Vec<Entry> = entries.collect();
    let origin = origin(Arc::new(|got, out| {
        thread::sleep(ms(1500));
        http_200(out, if got.write { b"1-2-3" } else { b"x" })
    }));
    entries.push(Entry::new("o-0", origin, "origin"));
    let discovery = Discovery::start(entries, record);
    let settings = Settings { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Settings::default() };
    let platform = Platform::new(&settings, &discovery, record);
    let mut node = platform.start("node.log");
    let (at, began) = (platform.listen, Instant::now());
    let until = began + PLAYED;
    let readers = (0..READERS).map(|n| thread::spawn(move || reader(at, n, size, until)));
    let mut clients: Vec<_> = readers.collect();
    clients.extend((0..WRITERS).map(|n| thread::spawn(move || writer(at, n, size, until))));
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
    record.line(format!("clients: {} served, {} refused or failed", sums[0], sums[1]));
    record.line(format!("most memory: {most} kB at {most_at} ms; limit {} kB", MEMORY_MB << 10));
    if most > MEMORY_MB << 10 {
        broken.push(format!("the node held {most} kB, over its limit of {} kB, and is killed", MEMORY_MB << 10));
    }
    if sums[0] == 0 {
        cannot_run("nothing was served");
    }
    broken
}

/// Reads values in pieces, one after another.
fn reader(at: SocketAddr, n: u64, size: usize, until: Instant) -> (u64, u64) {
    let (mut served, mut not, mut count) = (0, 0, 0u64);
    while Instant::now() < until {
        count += 1;
        let mut total = 0;
        if let Ok(mut client) = Client::connect(at) {
            let line = mg(&format!("piece-{}", n * 7 + count % 5), &format!("a{n:x}x{count:x}"), "read", 2400);
            let _ = client.send(line.as_bytes());
            let _ = client.stream.set_read_timeout(Some(ms(3000)));
            let mut buffer = vec![0; PIECE];
            while total <= size {
                match client.stream.read(&mut buffer) {
                    Ok(0) | Err(_) => break,
                    Ok(_) if total == 0 && !buffer.starts_with(b"VA") => break,
                    Ok(got) => total += got,
                }
                thread::sleep(READ_WAIT);
            }
        }
        if total > size {
            served += 1;
        } else {
            not += 1;
            thread::sleep(BACKOFF);
        }
    }
    (served, not)
}

/// Writes values in pieces, one after another.
fn writer(at: SocketAddr, n: u64, size: usize, until: Instant) -> (u64, u64) {
    let (mut served, mut not, mut count) = (0, 0, 0u64);
    let value = made_for("piece", &n.to_string(), size);
    while Instant::now() < until {
        count += 1;
        let mut ok = false;
        if let Ok(mut client) = Client::connect(at) {
            let id = format!("b{n:x}x{count:x}");
            let mut sent = client.send(ms_line(&format!("lesson-{n}"), size, &id, "put", 4800, &id).as_bytes());
            for piece in value.chunks(PIECE) {
                sent = sent.and_then(|()| client.send(piece));
                thread::sleep(WRITE_WAIT);
            }
            let _ = sent.and_then(|()| client.send(b"\r\n"));
            ok = matches!(client.answer(ms(5400)), Answer::Receipt { .. });
        }
        if ok {
            served += 1;
        } else {
            not += 1;
            thread::sleep(BACKOFF);
        }
    }
    (served, not)
}
