//! A small node that keeps every rule but the one that it is told to break.
//!
//! Consistent hashing over the servers of discovery's list; a miss, an error or no answer in half of the time sends a
//! read to the origin, where writes go at once. One thread a client connection, each with connections of its own.

use lapisrudder_codec::http::{self, write_get, write_request};
use lapisrudder_codec::memcache::{Answer, Command, Request, parse_answer, parse_command};
use lapisrudder_lab::experiment::Rival;
use lapisrudder_lab::rivals::{Catalog, Chooser};
use lapisrudder_model::value::Key;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Node {
    wrong: String,
    list: Mutex<List>,
    /// Requests so far.
    count: AtomicUsize,
    /// The last value that was served: another's for whoever comes next.
    last_value: Mutex<Vec<u8>>,
}

/// The servers, and which of them is a key's.
#[derive(Clone)]
struct List {
    catalog: Catalog,
    chooser: Arc<Chooser>,
}

/// Runs until it is ended, configured as any node is; `SABOTAGE` says what it does wrong.
pub fn run() -> Option<()> {
    let wrong = std::env::var("SABOTAGE").ok()?;
    match wrong.as_str() {
        "never-up" => loop {
            thread::sleep(Duration::from_secs(1));
        },
        "dies" => drop(thread::spawn(|| {
            thread::sleep(Duration::from_millis(1500));
            std::process::exit(3);
        })),
        _ => {}
    }
    let address = |name: &str| std::env::var(name).ok()?.parse::<SocketAddr>().ok();
    let listener = TcpListener::bind(address("EDGE_LISTEN")?).ok()?;
    let discovery = address("EDGE_DISCOVERY")?;
    let list = List { catalog: Catalog::default(), chooser: Arc::new(Chooser::new(Rival::Ketama)) };
    let (list, last_value) = (Mutex::new(list), Mutex::default());
    let node = Arc::new(Node { wrong, list, count: AtomicUsize::new(0), last_value });
    let watched = node.clone();
    thread::spawn(move || {
        loop {
            // A call that fails is made again; a node that does not ask is held to have been told.
            watch(&watched, discovery);
            thread::sleep(Duration::from_millis(20));
        }
    });
    for stream in listener.incoming().flatten() {
        let node = node.clone();
        thread::spawn(move || serve(&node, stream));
    }
    None
}

fn watch(node: &Node, discovery: SocketAddr) -> Option<()> {
    let mut stream = TcpStream::connect(discovery).ok()?;
    loop {
        let rev = node.list.lock().ok()?.catalog.rev;
        let path = match rev {
            0 => "/catalog/members".to_owned(),
            rev => format!("/catalog/members?from={rev}&hold_ms=20000"),
        };
        let mut bytes = Vec::new();
        write_get(&path, discovery, &mut bytes);
        stream.write_all(&bytes).ok()?;
        let (status, body) = response(&mut stream, None)?;
        let mut text = String::from_utf8(body).ok().filter(|_| status == 200)?;
        if node.wrong == "drains" {
            text = text.replace("draining", "up");
        }
        let mut list = node.list.lock().ok()?;
        list.catalog.take(text.as_bytes()).ok()?;
        let mut chooser = Chooser::new(Rival::Ketama);
        chooser.set(list.catalog.servers());
        list.chooser = Arc::new(chooser);
    }
}

fn response(stream: &mut TcpStream, until: Option<Instant>) -> Option<(u16, Vec<u8>)> {
    let mut buffer = Vec::new();
    loop {
        if let Some((r, _)) = http::parse_response(&buffer, false, 1 << 24).ok()? {
            return Some((r.status, r.body.into_owned()));
        }
        more(stream, &mut buffer, until)?;
    }
}

fn more(stream: &mut TcpStream, buffer: &mut Vec<u8>, until: Option<Instant>) -> Option<()> {
    let left = until.map(|until| until.saturating_duration_since(Instant::now()));
    stream.set_read_timeout(left.map(|left| left.max(Duration::from_millis(1)))).ok()?;
    let mut bytes = [0; 16_384];
    match stream.read(&mut bytes) {
        Ok(n) if n > 0 => buffer.extend_from_slice(&bytes[..n]),
        _ => return None,
    }
    Some(())
}

/// One client's connection.
fn serve(node: &Node, mut stream: TcpStream) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut peers, mut nth) = (Vec::new(), HashMap::new(), 0);
    loop {
        while let Some((command, used)) = parse_command(&buffer).ok()? {
            match command {
                Command::Ready => {
                    let known = !node.list.lock().ok()?.catalog.servers().is_empty();
                    stream.write_all(if known { b"MN\r\n" } else { b"SERVER_ERROR not yet\r\n" }).ok()?;
                }
                Command::Request(r) => {
                    nth += 1;
                    if node.wrong == "leaves" {
                        wait_for_leavers(&stream);
                    }
                    let answer = answer(node, &mut peers, &r);
                    spoil(node, &mut stream, &r, answer, nth)?;
                }
                Command::Quit => return None,
                Command::Bad(what) => stream.write_all(format!("CLIENT_ERROR {what}\r\n").as_bytes()).ok()?,
            }
            buffer.drain(..used);
        }
        more(&mut stream, &mut buffer, None)?;
    }
}

/// Waits for clients that leave early, and with the requests of those who did until long after.
fn wait_for_leavers(stream: &TcpStream) {
    thread::sleep(Duration::from_millis(400));
    let _ = stream.set_nonblocking(true);
    let left = matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_nonblocking(false);
    if left {
        thread::sleep(Duration::from_millis(1600));
    }
}

/// Answers the client, or does what is wrong now and then. `None` closes the connection.
fn spoil(node: &Node, stream: &mut TcpStream, r: &Request, answer: Vec<u8>, nth: usize) -> Option<()> {
    let now_and_then = node.count.fetch_add(1, Ordering::Relaxed) % 20 == 19;
    let wait = Duration::from_millis(r.wait_ms().unwrap_or(1000));
    let is = |wrong: &str| now_and_then && node.wrong == wrong;
    if is("late") {
        thread::sleep(wait + Duration::from_millis(1300));
    }
    if is("lost") {
        // Later than any close between requests could cross it.
        thread::sleep(Duration::from_millis(150));
        return None;
    }
    if is("crossing") && nth > 1 {
        // As if unread, though it has been sent on.
        return None;
    }
    if is("greedy") {
        // Touched, so that the memory is there.
        std::hint::black_box(vec![1u8; 64 << 20].leak());
    }
    let mut answer = answer;
    if let Ok(Some((Answer::Value { value, .. }, _))) = parse_answer(&answer, r.id, r.write) {
        let value = value.to_vec();
        let mut last = node.last_value.lock().ok()?;
        if is("foreign") && !last.is_empty() {
            let id = String::from_utf8_lossy(r.id);
            answer = [format!("VA {} O{id}\r\n", last.len()).as_bytes(), &last, b"\r\n"].concat();
        }
        *last = value;
    }
    stream.write_all(&answer).ok()?;
    if is("twice") {
        stream.write_all(&answer).ok()?;
    }
    Some(())
}

/// The answer that an honest node would give.
fn answer(node: &Node, peers: &mut HashMap<SocketAddr, TcpStream>, r: &Request) -> Vec<u8> {
    let begun = Instant::now();
    let wait = Duration::from_millis(r.wait_ms().unwrap_or(1000));
    let (half, whole) = (begun + wait / 2, begun + wait * 9 / 10);
    let Ok(List { catalog, chooser }) = node.list.lock().map(|list| list.clone()) else { return Vec::new() };
    let times = match node.wrong.as_str() {
        "repeats" if r.write => 2,
        "attempts" if !r.write => 4,
        _ => 1,
    };
    let home = chooser.choose(Key::of(r.key).0, 0).map(|s| s.endpoint);
    // One that came later has a new id.
    let newest = catalog.servers().into_iter().find(|s| s.uid.contains('-')).map(|s| s.endpoint);
    let server = if node.wrong == "floods" { newest.or(home) } else { home };
    if let Some(server) = server.filter(|_| !r.write) {
        for _ in 1..times {
            ask_server(peers, server, r, half);
        }
        if let Some(value) = ask_server(peers, server, r, half) {
            return value;
        }
    }
    let Some(origin) = catalog.origin() else { return b"SERVER_ERROR failed\r\n".to_vec() };
    for _ in 1..times {
        ask_origin(peers, origin, r, whole);
    }
    ask_origin(peers, origin, r, whole).unwrap_or_else(|| b"SERVER_ERROR failed\r\n".to_vec())
}

fn peer(peers: &mut HashMap<SocketAddr, TcpStream>, to: SocketAddr) -> Option<TcpStream> {
    match peers.remove(&to) {
        Some(stream) => Some(stream),
        None => {
            let stream = TcpStream::connect_timeout(&to, Duration::from_millis(200)).ok()?;
            stream.set_nodelay(true).ok()?;
            Some(stream)
        }
    }
}

fn left_ms(until: Instant) -> u64 {
    until.saturating_duration_since(Instant::now()).as_millis().max(1) as u64
}

fn ask_server(
    peers: &mut HashMap<SocketAddr, TcpStream>,
    to: SocketAddr,
    r: &Request,
    until: Instant,
) -> Option<Vec<u8>> {
    let mut stream = peer(peers, to)?;
    let (mut bytes, mut buffer) = (Vec::new(), Vec::new());
    r.write(left_ms(until), &mut bytes);
    stream.write_all(&bytes).ok()?;
    loop {
        match parse_answer(&buffer, r.id, r.write).ok()? {
            Some((Answer::Value { value, .. }, used)) => {
                let id = String::from_utf8_lossy(r.id);
                let found = [format!("VA {} O{id}\r\n", value.len()).as_bytes(), value, b"\r\n"].concat();
                if used == buffer.len() {
                    peers.insert(to, stream);
                }
                return Some(found);
            }
            Some(_) => {
                peers.insert(to, stream);
                return None;
            }
            None => more(&mut stream, &mut buffer, Some(until))?,
        }
    }
}

fn ask_origin(
    peers: &mut HashMap<SocketAddr, TcpStream>,
    to: SocketAddr,
    r: &Request,
    until: Instant,
) -> Option<Vec<u8>> {
    let mut stream = peer(peers, to)?;
    let mut bytes = Vec::new();
    write_request(r, to, left_ms(until), &mut bytes);
    stream.write_all(&bytes).ok()?;
    let (status, body) = response(&mut stream, Some(until))?;
    peers.insert(to, stream);
    let id = String::from_utf8_lossy(r.id);
    match (status, r.write) {
        (200, false) => Some([format!("VA {} O{id}\r\n", body.len()).as_bytes(), &body, b"\r\n"].concat()),
        (200, true) => Some(format!("HD O{id} c{}\r\n", String::from_utf8_lossy(&body)).into_bytes()),
        (503, _) => Some(b"SERVER_ERROR busy\r\n".to_vec()),
        _ => None,
    }
}
