//! A new configuration drops the class with the longest deadline; some time later the node is restarted as planned.

use crate::world::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Deadlines of the two classes, in seconds. The second is dropped.
const SHORT: f64 = 1.0;
const LONG: f64 = 2.5;
const CLIENTS: u64 = 12;

/// A request whose connection ended without its whole answer: its id, and when its last byte was written.
type Cut = (String, Instant, Instant);

pub fn run(root: &str, trouble: bool, record: &Arc<Record>) -> i32 {
    let work = |id: &str| ms(80 + hash(id) % 60);
    let server = |name, kind| entry(name, keeper(name, record, 100, work), kind);
    let entries = vec![server("s-1", "snel"), server("s-2", "gewoon"), server("s-3", "oud")];
    let world = World::new(root, record, entries, 192, 1024);
    let short = class("rooster-lezen", "free", SHORT, 0.4, 5.0);
    world.configure(vec![short.clone(), class("les-boeken", "guarded", LONG, 1.5, 15.0)]);
    let Some(mut node) = world.start(record) else { return 2 };
    let (stop, numbers) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let cut: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (stop, numbers, cut, record, at) =
                (stop.clone(), numbers.clone(), cut.clone(), record.clone(), world.listen);
            thread::spawn(move || {
                let mut link: Option<TcpStream> = None;
                while !stop.load(SeqCst) {
                    let Some(stream) = &mut link else {
                        link = TcpStream::connect_timeout(&at, ms(200)).ok();
                        thread::sleep(ms(10));
                        continue;
                    };
                    let n = numbers.fetch_add(1, SeqCst);
                    let (id, wait) = (format!("c{n:06}"), (SHORT * 1000.0) as u64);
                    let text = format!("mg teacher-{} v O{id} Pc=rooster-lezen,d={wait}\r\n", n % 50);
                    if stream.write_all(text.as_bytes()).is_err() {
                        link = None;
                        continue;
                    }
                    let sent = Instant::now();
                    record.note(format!("client sends {id}"));
                    match read_answer(stream, sent + Duration::from_secs_f64(SHORT + 0.5)) {
                        End::Line(line, _) => record.note(format!("client gets {id}: {line}")),
                        end => {
                            record.note(format!("client has no answer to {id}: {end:?}"));
                            cut.lock().unwrap().push((id, sent, Instant::now()));
                            link = None;
                        }
                    }
                    thread::sleep(ms(10));
                }
            })
        })
        .collect();
    thread::sleep(ms(2000));
    let mut longest = LONG;
    if trouble {
        record.note("new configuration: les-boeken is dropped; SIGHUP");
        world.configure(vec![short]);
        node.signal(SIGHUP);
        longest = SHORT;
    }
    // By far long enough for any request of the dropped class to be over.
    thread::sleep(ms(6000));
    record.note(format!("SIGTERM; the longest deadline of the configuration is {longest} s"));
    node.signal(SIGTERM);
    let told = Instant::now();
    let until = told + Duration::from_secs_f64(longest.min(3.0) + 0.7);
    while Instant::now() < until && node.ended().is_none() {
        thread::sleep(ms(1));
    }
    let killed = node.ended().is_none().then(Instant::now);
    match killed {
        Some(_) => record.note(format!("SIGKILL {:.3} s after SIGTERM", told.elapsed().as_secs_f64())),
        None => {
            record.note(format!("the node has ended {:.3} s after SIGTERM", told.elapsed().as_secs_f64()))
        }
    }
    node.signal(SIGKILL);
    node.wait();
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|c| _ = c.join());
    // Only what SIGKILL itself cut off counts: a request may cross the close of a connection between requests.
    let lost: Vec<String> = cut
        .lock()
        .unwrap()
        .iter()
        .filter(|(_, sent, ended)| {
            killed.is_some_and(|at| *sent > told + ms(700) && *sent < at && *ended >= at)
        })
        .map(|(id, sent, _)| format!("{id}, sent {:.3} s after SIGTERM", (*sent - told).as_secs_f64()))
        .collect();
    record.say(format!("unanswered at SIGKILL: {}: {lost:?}", lost.len()));
    i32::from(!lost.is_empty())
}
