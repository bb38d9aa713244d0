//! A client sends several reads of large values at once, or one after the other.

use crate::world::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;

const MEMORY_MB: u64 = 64;
const READS: usize = 6;
const LENGTH: usize = 4 << 20;
/// A value that is held back for 2 s is lost. Half a second is allowed on top.
const HELD_BACK_MS: u64 = 2500;

pub fn run(root: &str, trouble: bool, record: &Arc<Record>) -> i32 {
    let server = |name, kind| entry(name, keeper(name, record, LENGTH, |_| ms(20)), kind);
    let entries = vec![server("s-1", "snel"), server("s-2", "gewoon"), server("s-3", "oud")];
    let world = World::new(root, record, entries, MEMORY_MB, 512);
    world.configure(vec![
        class("rooster-lezen", "free", 2.5, 0.75, 5.0),
        class("les-boeken", "guarded", 5.0, 1.5, 15.0),
    ]);
    let Some(mut node) = world.start(record) else { return 2 };
    let mut stream = TcpStream::connect(world.listen).expect("connect");
    let read = |n: usize| format!("mg les-{n} v Or{n} Pc=rooster-lezen,d=2500\r\n");
    if trouble {
        let text: String = (0..READS).map(read).collect();
        record.note(format!("client sends {READS} reads at once"));
        stream.write_all(text.as_bytes()).expect("send");
    }
    let _ = stream.set_read_timeout(Some(ms(HELD_BACK_MS)));
    let (mut lost, mut held, mut buffer) = (0, Vec::new(), vec![0; 64 << 10]);
    'reads: for n in 0..READS {
        if !trouble {
            record.note(format!("client sends r{n}"));
            stream.write_all(read(n).as_bytes()).expect("send");
        }
        let expected = value(&format!("les-{n}"), LENGTH);
        let mut started = false;
        loop {
            if !started && let Some(end) = held.iter().position(|b| *b == b'\n') {
                let line = String::from_utf8_lossy(&held[..end]).trim_end().to_string();
                held.drain(..=end);
                record.note(format!("client gets the line {line}"));
                if !line.starts_with("VA ") {
                    continue 'reads;
                }
                started = true;
            }
            if started && held.len() >= LENGTH + 2 {
                let whole = held[..LENGTH] == expected[..];
                record.note(format!("client has all of r{n}, as the server gave it: {whole}"));
                lost += usize::from(!whole);
                held.drain(..LENGTH + 2);
                continue 'reads;
            }
            match stream.read(&mut buffer) {
                Ok(got) if got > 0 => held.extend_from_slice(&buffer[..got]),
                end => {
                    let what =
                        if end.is_ok() { "the connection was closed" } else { "nothing more for 2.5 s" };
                    record.say(format!("r{n} ends after {} of {LENGTH} bytes: {what}", held.len()));
                    lost += READS - n;
                    break 'reads;
                }
            }
        }
    }
    if node.ended().is_some() {
        record.say("the node has ended");
        return 2;
    }
    record.say(format!("reads without their whole value: {lost} of {READS}"));
    i32::from(lost > 0)
}
