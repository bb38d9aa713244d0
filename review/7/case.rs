//! Connections to many servers take all descriptors: once discovery has been down the node cannot call it any more, does
//! not learn that servers drain, and goes on sending to them.
#[path = "../stand-2/stand.rs"]
mod stand;

use stand::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: u64 = 200;
const SOCKETS: usize = 256;
/// Less than a third of the descriptors, each with one connection.
const CLIENTS: u64 = 76;
/// Commands that a client sends at once.
const AT_ONCE: u64 = 4;
/// Discovery goes down, is back, and a quarter of the servers begin to drain, so long after the clients came.
const DOWN: Duration = Duration::from_secs(4);
const BACK: Duration = Duration::from_secs(12);
const DRAIN: Duration = Duration::from_secs(14);
const PLAYED: Duration = Duration::from_secs(30);
/// A change counts as told so long after discovery had it and could be reached, at the latest.
const TOLD: Duration = Duration::from_millis(6000);
/// The grace of the settings, the 50 ms of sockets, and 150 ms for this program's own delay.
const GRACE: Duration = Duration::from_millis(500 + 50 + 150);

fn main() {
    let record = Record::new();
    let broken = run(&record);
    std::process::exit(verdict(&record, &broken));
}

/// What a server got late: which server, the request, and when.
type Late = Arc<Mutex<Vec<(u64, String, Instant)>>>;

fn run(record: &Record) -> Vec<String> {
    let got: Late = Late::default();
    let server = |n: u64| {
        let got = got.clone();
        let handler: Handler = Arc::new(move |request, out| {
            // What is no command of this case's clients does not count: the port may be known to a stranger.
            if request.id.contains('x') {
                got.lock().unwrap().push((n, request.id.clone(), request.at));
            }
            thread::sleep(ms(120));
            va(out, &request.id, &made_for(&request.key, &request.id, 200))
        });
        Entry::new(&format!("s-{n:03}"), cache_server(handler), "gewoon")
    };
    let mut entries: Vec<Entry> = (0..SERVERS).map(server).collect();
    let origin = origin(Arc::new(|got, out| http_200(out, &made_for(&got.key, &got.id, 200))));
    entries.push(Entry::new("z-origin", origin, "origin"));
    let discovery = Discovery::start(entries, record);
    let settings = Settings { sockets: SOCKETS, enforce_sockets: true, ..Settings::default() };
    let platform = Platform::new(&settings, &discovery, record);
    let mut node = platform.start("node.log");
    thread::sleep(ms(1500));
    let (at, began) = (platform.listen, Instant::now());
    let sums = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let sums = sums.clone();
            thread::spawn(move || client(at, n, began + PLAYED, &sums))
        })
        .collect();
    let mut next_line = began;
    let (mut was_down, mut is_back, mut drains_at) = (false, false, None);
    while began.elapsed() < PLAYED && !node.has_ended() {
        thread::sleep(ms(5));
        if trouble() && !was_down && began.elapsed() >= DOWN {
            was_down = true;
            discovery.go_down();
        }
        if was_down && !is_back && began.elapsed() >= BACK {
            is_back = true;
            discovery.come_back();
        }
        if drains_at.is_none() && began.elapsed() >= DRAIN {
            drains_at = Some(Instant::now());
            for n in 0..SERVERS / 4 {
                discovery.set(&format!("s-{n:03}"), |e| e.state = "draining".into());
            }
            record.line("discovery: a quarter of the servers drains from here on");
        }
        if Instant::now() >= next_line {
            next_line += ms(1000);
            let [served, not] = [0, 1].map(|i| sums[i].load(Ordering::SeqCst));
            record.line(format!("descriptors {}, clients: {served} served, {not} refused or failed", node.descriptors()));
        }
    }
    let mut broken = Vec::new();
    if node.has_ended() {
        broken.push("the node ended".into());
    }
    clients.into_iter().for_each(|client| _ = client.join());
    let Some(drains_at) = drains_at else { cannot_run("no drain was played") };
    let got = got.lock().unwrap();
    let to_draining: Vec<_> = got.iter().filter(|(n, _, when)| *n < SERVERS / 4 && *when > drains_at).collect();
    let late: Vec<_> = to_draining.iter().filter(|(.., when)| *when > drains_at + TOLD + GRACE).collect();
    for (n, id, when) in &late {
        record.line(format!("server s-{n:03} got O{id} {} ms after it began to drain", (*when - drains_at).as_millis()));
    }
    record.line(format!("sent to draining servers: {} in all, {} later than {} ms", to_draining.len(), late.len(), (TOLD + GRACE).as_millis()));
    if let Some((n, id, when)) = late.last() {
        broken.push(format!(
            "{} requests were sent to draining servers more than {} ms after discovery had the change, the last (O{id} to s-{n:03}) {} ms after",
            late.len(), (TOLD + GRACE).as_millis(), (*when - drains_at).as_millis()
        ));
    }
    if sums[0].load(Ordering::SeqCst) < 500 {
        cannot_run("too little was served");
    }
    broken
}

fn client(at: std::net::SocketAddr, n: u64, until: Instant, sums: &[AtomicU64; 2]) {
    let mut open: Option<Client> = None;
    let mut count = 0u64;
    while Instant::now() < until {
        count += 1;
        let mut client = match open.take().map_or_else(|| Client::connect(at), Ok) {
            Ok(client) => client,
            Err(_) => {
                thread::sleep(ms(200));
                continue;
            }
        };
        let key = |part: u64| (n * 131 + count * 17 + part * 7919) % 5000;
        let line = |part| mg(&format!("week-{}", key(part)), &format!("{n:x}x{count:x}p{part}"), "read", 2400);
        let _ = client.send((0..AT_ONCE).map(line).collect::<String>().as_bytes());
        let mut over = false;
        for _ in 0..AT_ONCE {
            let answer = if over { Answer::Nothing(String::new()) } else { client.answer(ms(3000)) };
            over |= matches!(answer, Answer::Nothing(_) | Answer::Cut(_));
            sums[usize::from(!matches!(answer, Answer::Value { .. }))].fetch_add(1, Ordering::SeqCst);
        }
        if !over {
            open = Some(client);
        }
        thread::sleep(ms(50));
    }
}
