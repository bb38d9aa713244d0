//! A new configuration puts a `free` class in the place of a `single_shot` one; clients name the old class for a little
//! longer, and connections end under their writes.

use crate::world::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const DEADLINE_MS: u64 = 2500;
/// Clients name the new class from 1.2 s after SIGHUP on.
const NAMED_UNTIL_MS: u64 = 1150;

pub fn run(root: &str, trouble: bool, record: &Arc<Record>) -> i32 {
    let ran: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let seen = AtomicU64::new(0);
    let writes = {
        let (ran, record) = (ran.clone(), record.clone());
        origin(Arc::new(move |asked, out| {
            record.note(format!("origin runs {}", asked.id));
            let again = {
                let mut ran = ran.lock().unwrap();
                let times = ran.entry(asked.id.clone()).or_default();
                *times += 1;
                *times > 1
            };
            thread::sleep(ms(20));
            if asked.write && !again && seen.fetch_add(1, SeqCst) % 4 == 0 {
                record.note(format!("origin ends the connection under {}", asked.id));
                return false;
            }
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
    let world = World::new(root, record, entries, 192, 1024);
    let read = class("rooster-lezen", "free", 2.5, 0.75, 5.0);
    world.configure(vec![read.clone(), class("les-boeken", "single_shot", 2.5, 1.5, 15.0)]);
    let Some(mut node) = world.start(record) else { return 2 };
    thread::sleep(ms(1500));
    let began = Instant::now();
    if trouble {
        record.note("new configuration: les-proef, free, in the place of les-boeken; SIGHUP");
        world.configure(vec![read, class("les-proef", "free", 2.5, 1.5, 15.0)]);
        node.signal(SIGHUP);
    }
    thread::sleep(ms(200));
    let (stop, numbers) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (stop, numbers, record, at) = (stop.clone(), numbers.clone(), record.clone(), world.listen);
            thread::spawn(move || {
                let mut link: Option<TcpStream> = None;
                while !stop.load(SeqCst) {
                    let Some(stream) = &mut link else {
                        link = TcpStream::connect_timeout(&at, ms(200)).ok();
                        continue;
                    };
                    let n = numbers.fetch_add(1, SeqCst);
                    let id = format!("c{n:06}");
                    let text = format!(
                        "ms teacher-{} 5 O{id} Pc=les-boeken,d={DEADLINE_MS},k={n:016x}\r\nhello\r\n",
                        n % 40
                    );
                    record.note(format!("client sends {}", text.lines().next().unwrap_or_default()));
                    let end = match stream.write_all(text.as_bytes()) {
                        Ok(()) => read_answer(stream, Instant::now() + ms(DEADLINE_MS + 500)),
                        Err(_) => End::Closed(0),
                    };
                    record.note(format!("client gets {id}: {end:?}"));
                    if !matches!(end, End::Line(..)) {
                        link = None;
                    }
                    thread::sleep(ms(30));
                }
            })
        })
        .collect();
    thread::sleep(ms(NAMED_UNTIL_MS).saturating_sub(began.elapsed()));
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|c| _ = c.join());
    world.note_log(record, "reload");
    if node.ended().is_some() {
        record.say("the node has ended");
        return 2;
    }
    let ran = ran.lock().unwrap();
    let mut twice: Vec<&String> = ran.iter().filter(|(_, times)| **times > 1).map(|(id, _)| id).collect();
    twice.sort();
    record.say(format!("single_shot writes run: {}; more than once: {}: {twice:?}", ran.len(), twice.len()));
    i32::from(!twice.is_empty())
}
