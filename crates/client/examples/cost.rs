//! Measures the cost of a request in three ways in one run: from the plug-in, through the daemon, and over a
//! raw socket with a hand-written caller. Prints latency, CPU time of the caller's process and of the daemon,
//! and the ratios of latency and CPU time to those of the raw socket.
//!
//! `cargo build --release && cargo run --release -p lapisrudder-client --example cost [SECONDS]`
//!
//! The server is a stub that answers at once. It runs in a process of its own, so that its CPU time is not
//! counted.

#![allow(clippy::disallowed_methods)]

use lapisrudder_client::{Class, Client, FixedMember, Request};
use lapisrudder_lab::stand::Scripted;
use std::error::Error;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

type Outcome<T> = Result<T, Box<dyn Error>>;

/// Length of each value in bytes.
const VALUE_BYTES: usize = 100;
/// Numbers of concurrent callers to measure with.
const CALLERS: [usize; 2] = [1, 16];

/// A child process, killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a child process and reads the address at the end of its first output line.
fn start(mut command: Command) -> Outcome<(Process, SocketAddr)> {
    let mut child = command.stdout(Stdio::piped()).spawn()?;
    let output = child.stdout.take().ok_or("no output")?;
    let child = Process(child);
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line)?;
    Ok((child, line.trim().rsplit(' ').next().unwrap_or_default().parse()?))
}

/// Returns the CPU time that a process has used, from `/proc/PID/stat` (proc(5): fields 14 and 15, in 1/100
/// s).
fn cpu(pid: u32) -> Outcome<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields = stat.rsplit_once(')').ok_or("no stat")?.1.split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).map(|t| t.parse::<u64>().unwrap_or(0)).sum();
    Ok(Duration::from_millis(ticks * 10))
}

/// The result of measuring one way.
struct Measured {
    count: usize,
    median: Duration,
    p99: Duration,
    /// CPU time per request of the caller's process, in microseconds.
    own: f64,
    /// CPU time per request of the daemon, in microseconds.
    daemon: f64,
}

/// Runs `callers` threads for `time`, each sending one request after the other.
fn measure<A: FnMut(u64) -> Outcome<()>>(
    time: Duration,
    callers: usize,
    daemon: u32,
    asker: impl Fn(usize) -> Outcome<A> + Sync,
) -> Outcome<Measured> {
    let own = std::process::id();
    let before = (cpu(own)?, cpu(daemon)?);
    let end = Instant::now() + time;
    let run_caller = |caller: usize| -> Result<Vec<Duration>, String> {
        let mut ask = asker(caller).map_err(|e| e.to_string())?;
        let mut times = Vec::new();
        while Instant::now() < end {
            let started = Instant::now();
            ask(times.len() as u64).map_err(|e| e.to_string())?;
            times.push(started.elapsed());
        }
        Ok(times)
    };
    let mut times = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..callers).map(|caller| scope.spawn(move || run_caller(caller))).collect();
        let mut all = Vec::new();
        for thread in threads {
            all.extend(thread.join().map_err(|_| "a caller failed")??);
        }
        Ok::<_, Box<dyn Error>>(all)
    })?;
    times.sort_unstable();
    let quantile = |share: f64| times.get((times.len() as f64 * share) as usize).copied().unwrap_or_default();
    let per_request = |spent: Duration| spent.as_secs_f64() * 1e6 / times.len().max(1) as f64;
    Ok(Measured {
        count: times.len(),
        median: quantile(0.5),
        p99: quantile(0.99),
        own: per_request(cpu(own)? - before.0),
        daemon: per_request(cpu(daemon)? - before.1),
    })
}

/// A caller that writes memcache commands to a socket and blocks for each answer.
fn raw_socket(at: SocketAddr, caller: usize) -> Outcome<impl FnMut(u64) -> Outcome<()>> {
    let stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    let (mut line, mut value) = (String::new(), vec![0; VALUE_BYTES + 2]);
    Ok(move |n| {
        let text = format!("mg k{} v O{caller}x{n} Pc=read,d=2000\r\n", n % 100);
        stream.get_mut().write_all(text.as_bytes())?;
        line.clear();
        stream.read_line(&mut line)?;
        if !line.starts_with("VA ") {
            return Err(format!("answer {line:?}").into());
        }
        stream.read_exact(&mut value)?;
        Ok(())
    })
}

/// Runs the stub server until standard input is closed.
fn server() -> Outcome<()> {
    let value = "v".repeat(VALUE_BYTES);
    let answer = move |id: &str| format!("VA {VALUE_BYTES} O{id} h1\r\n{value}\r\n");
    let peer = Scripted::answering(move |asked| Some(answer(&asked.id)))?;
    println!("{}", peer.address());
    // Ends when the parent process does.
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}

/// Starts a stub of discovery whose list never changes, and a daemon that uses it.
fn daemon(server: SocketAddr) -> Outcome<(Process, SocketAddr, Scripted)> {
    let list = format!(
        r#"{{"rev":1,"all":true,"targets":[{{"uid":"s","endpoint":"{server}","az":"z","model":"cache","state":"up"}}]}}"#
    );
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    // Watches for changes get no answer.
    let answer_list =
        move |asked: &lapisrudder_lab::stand::Asked| (!asked.key.contains("from=")).then(|| answer.clone());
    let discovery = Scripted::answering(answer_list)?;
    let mut program = std::env::current_exe()?;
    program.pop();
    program.pop();
    program.push("lapisrudder");
    if !program.exists() {
        return Err(format!("{} does not exist: build the daemon first", program.display()).into());
    }
    let file = std::env::temp_dir().join(format!("lapisrudder-cost-{}.json", std::process::id()));
    fs::write(&file, include_str!("settings.json").replace("DISCOVERY", &discovery.address().to_string()))?;
    let mut command = Command::new(program);
    command.arg("serve").env("EDGE_CONFIG", &file).stderr(Stdio::null());
    let (process, at) = start(command)?;
    fs::remove_file(file)?;
    let started = Instant::now();
    let mut ready = String::new();
    while ready != "MN\r\n" {
        if started.elapsed() > Duration::from_secs(20) {
            return Err("the daemon is not ready within 20 s".into());
        }
        let mut stream = BufReader::new(TcpStream::connect(at)?);
        stream.get_mut().write_all(b"mn\r\n")?;
        ready.clear();
        stream.read_line(&mut ready)?;
    }
    Ok((process, at, discovery))
}

fn main() -> Outcome<()> {
    let argument = std::env::args().nth(1);
    if argument.as_deref() == Some("server") {
        return server();
    }
    let seconds: f64 = argument.map_or(Ok(2.0), |a| a.parse()).map_err(|_| "usage: cost [SECONDS]")?;
    let time = Duration::from_secs_f64(seconds);
    let mut this = Command::new(std::env::current_exe()?);
    this.arg("server").stdin(Stdio::piped());
    let (_server, server) = start(this)?;
    let (node, front, _discovery) = daemon(server)?;
    let node = node.0.id();
    let read = Class { latency_target: 750_000, worth: 1.0, ..Class::default() };
    let client = Client::builder()
        .members([FixedMember::cache("s", server)])
        .class("read", read, Duration::from_secs(2))
        .start()?;
    let asker = |_| -> Outcome<_> {
        let client = client.clone();
        Ok(move |n: u64| -> Outcome<()> {
            let request = Request::read(format!("k{}", n % 100));
            futures_executor::block_on(client.ask(request)).map(drop).map_err(Into::into)
        })
    };
    println!(
        "{:>7}  {:<8} {:>9} {:>9} {:>9} {:>12} {:>12}   latency, CPU of caller and daemon against the socket",
        "callers", "way", "requests", "p50 µs", "p99 µs", "caller µs", "daemon µs"
    );
    for callers in CALLERS {
        let socket = measure(time, callers, node, |caller| raw_socket(server, caller))?;
        let direct = measure(time, callers, node, asker)?;
        let hop = measure(time, callers, node, |caller| raw_socket(front, caller))?;
        for (way, m) in [("socket", &socket), ("plug-in", &direct), ("daemon", &hop)] {
            let us = |d: Duration| d.as_secs_f64() * 1e6;
            println!(
                "{callers:>7}  {way:<8} {:>9} {:>9.1} {:>9.1} {:>12.2} {:>12.2}   {:.2} {:.2}",
                m.count,
                us(m.median),
                us(m.p99),
                m.own,
                m.daemon,
                us(m.median) / us(socket.median),
                (m.own + m.daemon) / (socket.own + socket.daemon),
            );
        }
    }
    Ok(())
}
