//! A server breaks off a large value; a write that its client had sent behind that read has run, and gets no answer.
#[path = "../stand-2/stand.rs"]
mod stand;

use stand::*;
use std::io::{Error, ErrorKind, Write};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Bytes of the large value, and how many of them the server gives before its connection ends.
const LARGE: usize = 1 << 20;
const GIVEN: usize = 300 << 10;

fn main() {
    let record = Record::new();
    let broken = run(&record);
    std::process::exit(verdict(&record, &broken));
}

fn run(record: &Record) -> Vec<String> {
    let log = record.clone();
    let handler: Handler = Arc::new(move |got, out| {
        log.line(format!("server: got mg {} O{}", got.key, got.id));
        if !got.key.starts_with("large") {
            return va(out, &got.id, &made_for(&got.key, &got.id, 200));
        }
        let value = made_for(&got.key, &got.id, LARGE);
        out.write_all(format!("VA {LARGE} O{} h1\r\n", got.id).as_bytes())?;
        if !trouble() {
            out.write_all(&value)?;
            return out.write_all(b"\r\n");
        }
        out.write_all(&value[..GIVEN])?;
        thread::sleep(ms(50));
        log.line(format!("server: breaks off O{} after {GIVEN} bytes", got.id));
        Err(Error::from(ErrorKind::ConnectionReset))
    });
    let entries = (0..3).map(|n| Entry::new(&format!("s-{n}"), cache_server(handler.clone()), "gewoon"));
    let mut entries: Vec<Entry> = entries.collect();
    let log = record.clone();
    let ran = Arc::new(Mutex::new(BTreeSet::new()));
    let runs = ran.clone();
    let origin = origin(Arc::new(move |got, out| {
        if !got.write {
            return http_200(out, &made_for(&got.key, &got.id, 200));
        }
        log.line(format!("origin: ran PUT {} O{}, receipt r-{}", got.key, got.id, got.id));
        runs.lock().unwrap().insert(got.id.clone());
        http_200(out, format!("r-{}", got.id).as_bytes())
    }));
    entries.push(Entry::new("o-0", origin, "origin"));
    let discovery = Discovery::start(entries, record);
    let platform = Platform::new(&Settings::default(), &discovery, record);
    let mut node = platform.start("node.log");
    let mut broken = Vec::new();
    for n in 0..20 {
        let mut client = Client::connect(platform.listen).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let ids = [format!("{n:08x}a"), format!("{n:08x}b")];
        let write = ms_line(&format!("lesson-{n}"), 5, &ids[1], "put", 4000, &format!("{n:016x}"));
        let text = mg(&format!("large-{n}"), &ids[0], "read", 2000) + &write + "hello\r\n";
        let sent = Instant::now();
        client.send(text.as_bytes()).unwrap_or_else(|e| cannot_run(&e.to_string()));
        for id in &ids {
            let answer = client.answer(ms(4600));
            let took = sent.elapsed().as_millis();
            record.line(format!("client {n}: O{id} sent at {} got {} after {took} ms", record.ms() as u128 - took, answer.short()));
            if id == &ids[1] && matches!(answer, Answer::Nothing(_) | Answer::Cut(_)) {
                let has_run = ran.lock().unwrap().contains(id);
                let run = if has_run { "has run" } else { "has not run" };
                broken.push(format!("write O{id} was taken and {run}, and the node closed its connection with no answer"));
            }
        }
    }
    if node.has_ended() {
        broken.push("the node ended".into());
    }
    broken
}
