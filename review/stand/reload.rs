//! A new configuration drops a class and makes another `single_shot`; connections end under writes.

use crate::world::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const DEADLINE_MS: u64 = 2500;
/// Of so many writes the origin ends the connection under one.
const ONE_IN: u64 = 4;

pub fn run(root: &str, trouble: bool, record: &Arc<Record>) -> i32 {
    // The origin runs each write as its last byte comes. From `counts` on the case counts what has run.
    let counts = Arc::new(AtomicBool::new(false));
    let ran: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let seen = AtomicU64::new(0);
    let writes = {
        let (counts, ran, record) = (counts.clone(), ran.clone(), record.clone());
        origin(Arc::new(move |asked, out| {
            if !asked.write {
                return answer_http(out, "value");
            }
            record.note(format!("origin runs {}", asked.id));
            if !counts.load(SeqCst) {
                return answer_http(out, &format!("receipt-{}", asked.id));
            }
            let again = {
                let mut ran = ran.lock().unwrap();
                let times = ran.entry(asked.id.clone()).or_default();
                *times += 1;
                *times > 1
            };
            thread::sleep(ms(20));
            if !again && seen.fetch_add(1, SeqCst) % ONE_IN == 0 {
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
    // The only class with `aim-stretch`, a key that may be absent.
    let stretched = class("les-proef", "free", 2.5, 0.75, 5.0).replacen('{', "{\"aim-stretch\":2.0,", 1);
    let before = vec![read.clone(), class("les-boeken", "guarded", 2.5, 1.5, 15.0), stretched];
    let after = vec![read, class("les-boeken", "single_shot", 2.5, 1.5, 15.0)];
    // Without the new configuration the node has the same settings from its start on.
    world.configure(if trouble { before } else { after.clone() });
    let Some(mut node) = world.start(record) else { return 2 };
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
                    let (id, key) = (format!("c{n:06}"), n % 40);
                    let text = if n % 2 == 0 {
                        format!("mg teacher-{key} v O{id} Pc=rooster-lezen,d={DEADLINE_MS}\r\n")
                    } else {
                        format!(
                            "ms teacher-{key} 5 O{id} Pc=les-boeken,d={DEADLINE_MS},k={n:016x}\r\nhello\r\n"
                        )
                    };
                    record.note(format!("client sends {}", text.lines().next().unwrap_or_default()));
                    let end = match stream.write_all(text.as_bytes()) {
                        Ok(()) => read_answer(stream, Instant::now() + ms(DEADLINE_MS + 500)),
                        Err(_) => End::Closed(0),
                    };
                    match end {
                        End::Line(line, _) => record.note(format!("client gets {id}: {line}")),
                        end => {
                            record.note(format!("client has no answer to {id}: {end:?}"));
                            link = None;
                        }
                    }
                    thread::sleep(ms(30));
                }
            })
        })
        .collect();
    thread::sleep(ms(2000));
    if trouble {
        record.note("new configuration: les-proef is dropped, les-boeken is single_shot; SIGHUP");
        world.configure(after);
        node.signal(SIGHUP);
    }
    // The new settings bind 1.2 s after SIGHUP. What was open then has its answer by now, too.
    thread::sleep(ms(5000));
    record.note("from here on writes count");
    counts.store(true, SeqCst);
    thread::sleep(ms(6000));
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
