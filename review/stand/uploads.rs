//! Many clients write large values slowly; a few others write values of the same size at full speed.

use crate::world::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 256;
/// The size of every value; up to 4 MiB are allowed.
const LENGTH: usize = 150 << 10;
/// Clients that write slowly, and what each writes at a time: a value takes 8 s.
const SLOW: u64 = 50;
const PIECE: usize = 2400;
const PAUSE: Duration = Duration::from_millis(125);
/// Clients that write at full speed.
const FAST: u64 = 4;
/// Time that clients wait for the answer, from the request's last byte.
const DEADLINE: Duration = Duration::from_millis(2500);
/// Half a second after its time, and the 50 ms of the protocol page, a request without its final answer is lost.
const SLACK: Duration = Duration::from_millis(550);

#[derive(Default)]
struct Ends {
    answered: AtomicU64,
    lost: Mutex<Vec<String>>,
}

pub fn run(root: &str, trouble: bool, record: &Arc<Record>) -> i32 {
    let writes = {
        let record = record.clone();
        origin(Arc::new(move |asked, out| {
            record.note(format!("origin runs {}", asked.id));
            thread::sleep(ms(50));
            answer_http(out, &format!("receipt-{}", asked.id))
        }))
    };
    let server = |name, kind| entry(name, keeper(name, record, 100, |_| ms(20)), kind);
    let entries = vec![
        server("s-1", "snel"),
        server("s-2", "gewoon"),
        server("s-3", "oud"),
        entry("o-1", writes, "origin"),
    ];
    let world = World::new(root, record, entries, MEMORY_MB, SOCKETS);
    world.configure(vec![
        class("rooster-lezen", "free", 2.5, 0.75, 5.0),
        class("les-boeken", "guarded", 5.0, 1.5, 15.0),
    ]);
    let Some(mut node) = world.start(record) else { return 2 };
    let (ends, stop) = (Arc::new(Ends::default()), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for c in 0..SLOW + FAST {
        let (ends, stop, record, at) = (ends.clone(), stop.clone(), record.clone(), world.listen);
        clients.push(thread::spawn(move || {
            if c < SLOW {
                // One value each.
                thread::sleep(ms(c * 20));
                write(&format!("slow{c}"), trouble, at, &ends, &record);
                return;
            }
            thread::sleep(ms(1500 + (c - SLOW) * 200));
            let mut n = 0;
            while !stop.load(SeqCst) {
                write(&format!("fast{}n{n}", c - SLOW), false, at, &ends, &record);
                n += 1;
                thread::sleep(ms(500));
            }
        }));
    }
    thread::sleep(ms(12_000));
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|c| _ = c.join());
    record.note(format!("peak memory of the node: {} kB", node.status_kb("VmHWM")));
    if node.ended().is_some() {
        record.say("the node has ended");
        return 2;
    }
    let lost = ends.lost.lock().unwrap();
    record.say(format!(
        "answered {}; without a final answer in time {}: {lost:?}",
        ends.answered.load(SeqCst),
        lost.len()
    ));
    i32::from(!lost.is_empty())
}

/// Writes a value, slowly or at full speed, and waits for the answer.
fn write(id: &str, slowly: bool, at: SocketAddr, ends: &Ends, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(at) else { return };
    let wait = DEADLINE.as_millis();
    let mut text =
        format!("ms teacher-{id} {LENGTH} O{id} Pc=les-boeken,d={wait},k={:016x}\r\n", hash(id)).into_bytes();
    text.extend_from_slice(&value(id, LENGTH));
    text.extend_from_slice(b"\r\n");
    record.note(format!("client begins to write {id}"));
    for piece in text.chunks(if slowly { PIECE } else { LENGTH }) {
        if stream.write_all(piece).is_err() {
            return record.note(format!("{id} cannot be written to its end"));
        }
        if slowly {
            thread::sleep(PAUSE);
        }
    }
    let sent = Instant::now();
    // Counted only where all of it has reached the node's machine.
    thread::sleep(ms(200));
    let left = unacknowledged(&stream);
    record.note(format!(
        "client has written the last byte of {id}; {left} bytes are not on the node's machine yet"
    ));
    let end = read_answer(&mut stream, sent + DEADLINE + SLACK);
    record.note(format!("client gets {id} after {} ms: {end:?}", sent.elapsed().as_millis()));
    match end {
        End::Line(..) => _ = ends.answered.fetch_add(1, SeqCst),
        _ if left != 0 => record.note(format!("{id} does not count")),
        _ => ends.lost.lock().unwrap().push(id.into()),
    }
}
