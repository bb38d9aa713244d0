//! While the process of a node is replaced, a bad client that uses the id of another client's open request is served.
#[path = "../stand-2/stand.rs"]
mod stand;

use stand::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// How long a server takes for the usual client's read.
const SLOW_MS: u64 = 1800;
const ROUNDS: u64 = 3;

fn main() {
    let record = Record::new();
    let broken = run(&record);
    std::process::exit(verdict(&record, &broken));
}

fn run(record: &Record) -> Vec<String> {
    let ran = Arc::new(Mutex::new(Vec::<(String, String)>::new()));
    let (log, runs) = (record.clone(), ran.clone());
    let handler: Handler = Arc::new(move |got, out| {
        log.line(format!("server: runs mg {} O{}", got.key, got.id));
        runs.lock().unwrap().push((got.id.clone(), got.key.clone()));
        thread::sleep(ms(if got.key.starts_with("slow") { SLOW_MS } else { 20 }));
        va(out, &got.id, &made_for(&got.key, &got.id, 100))
    });
    let entries = (0..6).map(|n| Entry::new(&format!("s-{n}"), cache_server(handler.clone()), "gewoon"));
    let mut entries: Vec<Entry> = entries.collect();
    let origin = origin(Arc::new(|got, out| http_200(out, &made_for(&got.key, &got.id, 100))));
    entries.push(Entry::new("z-origin", origin, "origin"));
    let discovery = Discovery::start(entries, record);
    let platform = Platform::new(&Settings::default(), &discovery, record);
    let mut node = platform.start("node-0.log");
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        let id = format!("{round:x}f03aa5c7e2d41");
        let mut usual = Client::connect(platform.listen).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let sent = Instant::now();
        let _ = usual.send(mg(&format!("slow-{round}"), &id, "read", 2400).as_bytes());
        record.line(format!("usual client: sent mg slow-{round} O{id}"));
        thread::sleep(ms(100));
        let mut old = None;
        if trouble() {
            record.line("platform: starts `run` a second time");
            let new = platform.start(&format!("node-{}.log", round + 1));
            record.line("platform: the new process says yes: SIGTERM to the old one");
            node.signal("TERM");
            old = Some(std::mem::replace(&mut node, new));
        }
        thread::sleep(ms(300));
        let mut bad = Client::connect(platform.listen).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let _ = bad.send(mg(&format!("other-{round}"), &id, "read", 2400).as_bytes());
        record.line(format!("bad client: sent mg other-{round} with the same id O{id}"));
        let answer = bad.answer(ms(3000));
        let open = sent.elapsed() < ms(SLOW_MS - 100);
        record.line(format!("bad client: got {} while the other request was {}", answer.short(), if open { "open" } else { "over" }));
        let usual_answer = usual.answer(ms(3000));
        record.line(format!("usual client: got {} after {} ms", usual_answer.short(), sent.elapsed().as_millis()));
        if open && matches!(answer, Answer::Value { .. }) {
            broken.push(format!("the bad client's read with the id of the open request O{id} was served"));
        }
        if let Answer::Value { id: of, value } = usual_answer {
            if of != id || !value.starts_with(format!("slow-{round}/").as_bytes()) {
                broken.push(format!("the usual client's O{id} got the value of another request"));
            }
        }
        if let Some(mut old) = old {
            let until = Instant::now() + ms(3700);
            while !old.has_ended() && Instant::now() < until {
                thread::sleep(ms(20));
            }
            record.line("platform: the old process is gone");
        }
    }
    for id in (0..ROUNDS).map(|round| format!("{round:x}f03aa5c7e2d41")) {
        let keys: Vec<String> = ran.lock().unwrap().iter().filter(|(of, _)| *of == id).map(|(_, k)| k.clone()).collect();
        record.line(format!("servers ran for O{id}: {keys:?}"));
    }
    broken
}
