//! A client sends more than the kernel takes, and goes. What of it was read misses, and would be fetched.

use crate::world::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Commands of the client that goes: so many that its end waits behind unread ones, or as many as the node reads.
const MANY: u32 = 700;
const FEW: u32 = 32;
/// Length of a further figure in each command.
const FIGURE: usize = 900;
/// An attempt that begins later than this after the close breaks the rule: 0.1 s, and the 50 ms of the protocol page.
const AFTER_CLOSE_MS: u128 = 150;

pub fn run(root: &str, trouble: bool, record: &Arc<Record>) -> i32 {
    let closed: Arc<Mutex<Option<Instant>>> = Arc::default();
    let late: Arc<Mutex<Vec<String>>> = Arc::default();
    let fetches = {
        let (closed, late, record) = (closed.clone(), late.clone(), record.clone());
        origin(Arc::new(move |asked, out| {
            if let Some(at) = *closed.lock().unwrap() {
                let after = asked.came.saturating_duration_since(at).as_millis();
                record.note(format!("origin is asked {} {after} ms after its client closed", asked.id));
                if after > AFTER_CLOSE_MS {
                    late.lock().unwrap().push(asked.id.clone());
                }
            }
            thread::sleep(ms(30));
            answer_http(out, "value")
        }))
    };
    let misses = || {
        rooster(Arc::new(|asked, out| {
            thread::sleep((asked.came + ms(300)).saturating_duration_since(Instant::now()));
            out.write_all(format!("EN O{} h0\r\n", asked.id).as_bytes()).is_ok()
        }))
    };
    let entries = vec![
        entry("s-1", misses(), "snel"),
        entry("s-2", misses(), "gewoon"),
        entry("s-3", misses(), "oud"),
        entry("o-1", fetches, "origin"),
    ];
    let world = World::new(root, record, entries, 192, 1024);
    world.configure(vec![class("rooster-lezen", "free", 2.5, 0.75, 5.0)]);
    let Some(mut node) = world.start(record) else { return 2 };
    let figure = "x".repeat(FIGURE);
    let read = |n| format!("mg teacher-{n} v Ogone{n} Pc=rooster-lezen,d=2500,size={figure}\r\n");
    let text: String = (0..if trouble { MANY } else { FEW }).map(read).collect();
    let mut stream = TcpStream::connect(world.listen).expect("connect");
    stream.write_all(text.as_bytes()).expect("send");
    thread::sleep(ms(50));
    record.note(format!(
        "client closes; {} of {} bytes have not left it",
        unacknowledged(&stream),
        text.len()
    ));
    drop(stream);
    *closed.lock().unwrap() = Some(Instant::now());
    thread::sleep(ms(4000));
    if node.ended().is_some() {
        record.say("the node has ended");
        return 2;
    }
    let late = late.lock().unwrap();
    record.say(format!("attempts that began late after the close: {}: {late:?}", late.len()));
    i32::from(!late.is_empty())
}
