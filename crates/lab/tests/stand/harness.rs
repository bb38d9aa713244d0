//! A world with one cache server or two, and plain clients of it.

use lapisrudder_lab::Micros;
use lapisrudder_lab::ledger::{DiscoveryEvent, ReqId, ServerEvent, ServerNo};
use lapisrudder_lab::stand::{Books, Clock, Finished, Spec, World};
use lapisrudder_model::server::{Class, Dist, Machine};
use lapisrudder_model::value::{Key, ValueSpec, check};
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longer than anything here takes, on any machine.
pub const WIDE: Duration = Duration::from_secs(30);
/// Long enough to say that nothing comes: a wrong verdict only where the machine stands still.
pub const SILENCE: Duration = Duration::from_millis(200);

pub type Stand = World<Books>;

/// Servers with no trouble and requests of this work (µs).
pub fn machine(work_us: f64) -> Machine {
    let class = Class { work: Dist::Fixed(work_us), ..Class::default() };
    Machine { classes: vec![class.clone(), class], ..Machine::default() }
}

/// `s0` and `s1` with requests of this work, an origin whose requests take 1 ms.
pub fn spec(work_us: f64) -> Spec {
    let mut spec = Spec::default();
    spec.servers.iter_mut().for_each(|server| server.config.machine = machine(work_us));
    spec.origin.as_mut().unwrap().config.machine = machine(1000.0);
    spec.discovery.notice.gone = 1000;
    spec.discovery.notice.silent = 1000;
    spec.discovery.notice.started = 1000;
    spec
}

pub fn start(spec: Spec) -> Stand {
    World::start(spec, Clock::default(), Books::default(), 1).unwrap()
}

pub fn no(world: &Stand, uid: &str) -> ServerNo {
    world.server(uid).unwrap()
}

/// A key by its number, as the wire has it.
pub fn key(n: u64) -> String {
    Key(n).to_string()
}

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn to(at: SocketAddr) -> Self {
        let stream = TcpStream::connect_timeout(&at, WIDE).unwrap();
        stream.set_read_timeout(Some(WIDE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self(BufReader::new(stream))
    }

    /// To a server of a world, as its first node.
    pub fn of(world: &Stand, uid: &str) -> Self {
        Self::to(world.addresses().server(0, no(world, uid)).unwrap())
    }

    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// A read of a key by its number.
    pub fn ask(&mut self, id: u64, key_no: u64) -> String {
        self.send(&read(id, key_no));
        self.answer()
    }

    /// One memcache answer, its value behind its line; `end`, `reset` or `silence` for what is none.
    pub fn answer(&mut self) -> String {
        String::from_utf8_lossy(&self.bytes()).into_owned()
    }

    pub fn bytes(&mut self) -> Vec<u8> {
        let mut line = Vec::new();
        let told = self.0.read_until(b'\n', &mut line);
        if let Some(other) = other(told) {
            return other.into();
        }
        let words = String::from_utf8_lossy(&line).into_owned();
        if words.starts_with("VA ")
            && let Some(length) = words.split(' ').nth(1).and_then(|l| l.parse::<usize>().ok())
        {
            let mut value = vec![0; length + 2];
            match self.0.read_exact(&mut value) {
                Err(e) if e.kind() == ErrorKind::UnexpectedEof => return b"cut".to_vec(),
                read => read.unwrap(),
            }
            line.extend(value);
        }
        line
    }

    /// The value of an answer, if every byte of it is as some server made it.
    pub fn value(&mut self, key_no: u64) -> ValueSpec {
        let answer = self.bytes();
        let at = answer.iter().position(|b| *b == b'\n').unwrap() + 1;
        check(&answer[at..answer.len() - 2], Key(key_no)).unwrap()
    }

    /// One HTTP response: status and body.
    pub fn response(&mut self) -> (u16, String) {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if let Some(other) = other(self.0.read_line(&mut head)) {
                return (0, other.into());
            }
        }
        let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
        let mut body = vec![0; length.unwrap().parse().unwrap()];
        self.0.read_exact(&mut body).unwrap();
        (head[9..12].parse().unwrap(), String::from_utf8_lossy(&body).into_owned())
    }

    pub fn get(&mut self, path: &str) -> (u16, String) {
        self.send(&format!(
            "GET {path} HTTP/1.1\r\nHost: x\r\nReq-Id: {}\r\nReq-Extra: c=read,d=9000\r\n\r\n",
            key(9)
        ));
        self.response()
    }

    /// What the connection says within a short while: `silence` if it says nothing.
    pub fn now(&mut self) -> String {
        self.0.get_ref().set_read_timeout(Some(SILENCE)).unwrap();
        let told = self.answer();
        self.0.get_ref().set_read_timeout(Some(WIDE)).unwrap();
        told
    }

    /// Reads so many bytes away.
    pub fn skip(&mut self, bytes: u64) {
        let skipped = io::copy(&mut (&mut self.0).take(bytes), &mut io::sink()).unwrap();
        assert_eq!(skipped, bytes);
    }
}

fn other(told: io::Result<usize>) -> Option<&'static str> {
    match told {
        Ok(0) => Some("end"),
        Ok(_) => None,
        Err(e) => Some(match e.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => "silence",
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => "reset",
            _ => "error",
        }),
    }
}

pub fn read(id: u64, key_no: u64) -> String {
    format!("mg {} v O{} Pc=read,d=9000\r\n", key(key_no), key(id))
}

/// How a connection that is reset as soon as it is up ends: in the connect, or behind it.
pub fn reset_at_once(at: SocketAddr) -> bool {
    let read = TcpStream::connect_timeout(&at, WIDE).and_then(|mut stream| stream.read(&mut [0]));
    read.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset)
}

/// How a connect ends within a short while: `up`, `refused` or `hangs`.
pub fn connect(at: SocketAddr) -> &'static str {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    match socket.connect_timeout(&SockAddr::from(at), SILENCE) {
        Ok(()) => "up",
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => "refused",
        Err(e) if e.kind() == ErrorKind::TimedOut => "hangs",
        Err(e) => panic!("{e}"),
    }
}

/// Waits until a look at the world gives something.
pub fn until<T>(mut look: impl FnMut() -> Option<T>) -> T {
    let begun = std::time::Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begun.elapsed() < WIDE, "it does not come to pass");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Ends a world; its records in order of time.
pub fn finish(world: Stand) -> Finished<Books> {
    let mut finished = world.finish().unwrap();
    assert_eq!(finished.trouble, Vec::<String>::new());
    finished.sink.servers.sort();
    finished.sink.discovery.sort();
    finished
}

/// What servers wrote about a request, with times, in order.
pub fn about(books: &Books, id: u64) -> Vec<(Micros, ServerEvent)> {
    let records = books.servers.records().iter();
    records.filter(|r| r.event.req() == Some(ReqId(id))).map(|r| (r.at, r.event)).collect()
}

/// Records of servers that fit.
pub fn count(books: &Books, fits: impl Fn(&ServerEvent) -> bool) -> usize {
    books.servers.records().iter().filter(|r| fits(&r.event)).count()
}

/// Records of discovery.
pub fn told(books: &Books) -> Vec<DiscoveryEvent> {
    books.discovery.records().iter().map(|r| r.event).collect()
}
