//! How much the stand-ins carry: requests in a closed loop over connections, and the CPU time of the stand-ins' thread.
//!
//! `cargo run --release -p lapisrudder-lab --example stand_speed -- [CONNECTIONS] [DEPTH] [SECONDS]`

use lapisrudder_lab::ledger::LabEvent;
use lapisrudder_lab::stand::{Books, Clock, Spec, World};
use lapisrudder_model::server::{Class, Dist};
use lapisrudder_model::value::Key;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// CPU time of the thread of that name (µs), where the system tells.
fn cpu_us(name: &str) -> Option<u64> {
    let tasks = std::fs::read_dir("/proc/self/task").ok()?.flatten();
    let stat = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok());
    let mine = stat.into_iter().find(|text| text.contains(&format!("({name})")))?;
    let ticks: Vec<u64> =
        mine.rsplit(')').next()?.split_whitespace().filter_map(|w| w.parse().ok()).collect();
    // Behind the state: the 10th and 11th number are user and system time in hundredths of a second.
    Some((ticks.get(10)? + ticks.get(11)?) * 10_000)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut args = std::env::args().skip(1).filter_map(|a| a.parse::<u64>().ok());
    let (connections, depth, seconds) =
        (args.next().unwrap_or(64), args.next().unwrap_or(1), args.next().unwrap_or(3));
    let mut spec = Spec::default();
    for server in &mut spec.servers {
        server.config.machine.classes = vec![Class { work: Dist::Fixed(10.0), ..Class::default() }];
    }
    let world = World::start(spec, Clock::default(), Books::default(), 1)?;
    let keys = 1000;
    let servers: Vec<_> = world.addresses().servers(0).take(2).collect();
    for (no, _) in &servers {
        world.control().fill(*no, (0..keys).map(Key).collect())?;
    }
    let (served, over) = (AtomicU64::new(0), Instant::now() + Duration::from_secs(seconds));
    let before = cpu_us("stand-ins");
    thread::scope(|scope| {
        for c in 0..connections {
            let (served, at) = (&served, servers[c as usize % servers.len()].1);
            scope.spawn(move || -> std::io::Result<()> {
                let mut stream = TcpStream::connect(at)?;
                stream.set_nodelay(true)?;
                let (mut id, mut buffer) = (c << 40, vec![0; 256 << 10]);
                while Instant::now() < over {
                    let mut text = String::new();
                    let mut due = 0;
                    for _ in 0..depth {
                        id += 1;
                        text.push_str(&format!("mg {} v O{id:016x} Pc=read,d=900\r\n", Key(id % keys)));
                    }
                    stream.write_all(text.as_bytes())?;
                    // Values hold no `VA `: answers are counted by their lines and lengths.
                    let mut input = Vec::new();
                    while due < depth {
                        let n = stream.read(&mut buffer)?;
                        input.extend_from_slice(&buffer[..n]);
                        while let Some(line) = input.iter().position(|b| *b == b'\n') {
                            let words = String::from_utf8_lossy(&input[..line]).into_owned();
                            let length: usize =
                                words.split(' ').nth(1).and_then(|l| l.parse().ok()).unwrap_or(0);
                            let whole = line + 1 + length + 2;
                            if input.len() < whole {
                                break;
                            }
                            input.drain(..whole);
                            due += 1;
                        }
                    }
                    served.fetch_add(depth, Ordering::Relaxed);
                }
                Ok(())
            });
        }
    });
    let after = cpu_us("stand-ins");
    let served = served.into_inner();
    let worst = world.look(|books| {
        let lags = books.lab.records().iter().filter_map(|r| match r.event {
            LabEvent::Lag { us, .. } => Some(us),
            _ => None,
        });
        lags.max().unwrap_or(0)
    });
    let cpu = after.zip(before).map_or(f64::NAN, |(a, b)| (a - b) as f64);
    println!(
        "{connections} connections, {depth} deep: {:.0} requests/s, {:.1} µs of CPU each, worst lag {} µs",
        served as f64 / seconds as f64,
        cpu / served as f64,
        worst.unwrap_or(0),
    );
    Ok(())
}
