//! The shared helper of the node's tests: the real program between toy members, origin and discovery.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex, atomic::AtomicUsize, atomic::Ordering};
use std::thread;
use std::time::Duration;

/// Longer than anything here takes, on any machine.
pub const WIDE: Duration = Duration::from_secs(60);

pub const SETTINGS: &str = r#"{"az":0,"zones":["z"],"host-types":["cache","origin"],"siblings":1,
"discovery":"subscribe","family-info":{"mode":"aside","origin-kind":1},"bounds":{"attempts-cap":3,"cancel":true,
"conn-idle-s":60.0,"connect-timeout-s":0.25,"max-retry-after-s":2.0,"most-held":20000,"multiplex":32,
"second-copies":true},"request-classes":[{"effect":"free","give-up-s":2.5,"group":"all","name":"read",
"slo-s":0.75,"window-s":5.0,"worth":5.0},{"effect":"guarded","give-up-s":5.0,"group":"all","name":"put",
"slo-s":1.5,"window-s":10.0,"worth":15.0}],"rules":{"ask-within-s":10.0,"cold-s":24.0,"drain-grace-s":0.5,
"fall-s":2.0,"start-capacity":0.13,"tip-multiple":3.0}}"#;

/// One request as a toy server got it: its head, up to the empty line where it is HTTP.
pub fn read_request(from: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    from.read_line(&mut head).ok().filter(|n| *n > 0)?;
    if head.starts_with("GET ") || head.starts_with("PUT ") {
        while !head.ends_with("\r\n\r\n") {
            from.read_line(&mut head).ok().filter(|n| *n > 0)?;
        }
        let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
        let mut body = vec![0; length.map_or(0, |l| l.parse().expect("a length"))];
        from.read_exact(&mut body).ok()?;
        head.push_str(&String::from_utf8_lossy(&body));
    }
    Some(head)
}

/// A toy server. What `answer` gives for a request is written; `None` stays silent.
pub fn server(answer: impl Fn(&str) -> Option<String> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while let Some(request) = read_request(&mut reader) {
                    let bytes = answer(&request).unwrap_or_default();
                    if (&stream).write_all(bytes.as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

pub fn http(body: &str) -> Option<String> {
    Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// The word of a memcache command that begins with this letter, without it.
pub fn flag(command: &str, letter: char) -> &str {
    command.split_whitespace().skip(2).find_map(|w| w.strip_prefix(letter)).unwrap_or_default()
}

/// A cache server that holds every key; its values name it and the request's id.
pub fn holder(name: &'static str, asked: Arc<AtomicUsize>) -> SocketAddr {
    server(move |command| {
        asked.fetch_add(1, Ordering::SeqCst);
        let (id, value) = (flag(command, 'O'), format!("{name}:{}", flag(command, 'O')));
        Some(format!("VA {} O{id} h1\r\n{value}\r\n", value.len()))
    })
}

pub fn entry(uid: &str, at: SocketAddr, model: &str, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"z","model":"{model}","pod_group":0,"state":"{state}"}}"#
    )
}

/// Discovery. A watch waits until the text set here is another than the last that was sent.
#[derive(Clone, Default)]
pub struct List(Arc<Mutex<(u64, String)>>, Arc<AtomicUsize>);

impl List {
    /// The answer to the next call.
    pub fn set(&self, text: impl FnOnce(u64) -> String) {
        let mut list = self.0.lock().expect("a lock");
        list.0 += 1;
        list.1 = text(list.0);
    }

    pub fn entries(&self, entries: &[String]) {
        self.set(|rev| format!(r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#, entries.join(",")));
    }

    /// Waits until discovery has sent what was set last.
    pub fn told(&self) {
        while self.0.lock().expect("a lock").0 as usize != self.1.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn serve(self) -> SocketAddr {
        let sent = self.1.clone();
        server(move |_| {
            for _ in 0..200 {
                let list = self.0.lock().expect("a lock").clone();
                if list.0 as usize != sent.swap(list.0 as usize, Ordering::SeqCst) {
                    return http(&list.1);
                }
                thread::sleep(Duration::from_millis(10));
            }
            http(&format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, sent.load(Ordering::SeqCst)))
        })
    }
}

pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    pub list: List,
    config: String,
    _output: BufReader<ChildStdout>,
}

/// The program on a configuration file; what is not in `variables` is in the file.
pub fn program(config: &str, variables: &[(&str, &str)]) -> Command {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    let file = format!("{}/node-{}-{count}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&file, config).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lapisrudder"));
    command.arg("serve").env("EDGE_CONFIG", file).envs(variables.iter().copied());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

impl Node {
    /// Starts a node that discovery tells of these entries.
    pub fn start(entries: &[String]) -> Node {
        Node::limited(entries, 1024)
    }

    pub fn limited(entries: &[String], sockets: u32) -> Node {
        let list = List::default();
        list.entries(entries);
        let discovery = list.clone().serve();
        let config = format!(
            r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1","limits":{{"sockets":{sockets},"memory_mb":192}},"settings":{SETTINGS}}}"#
        );
        let mut program = program(&config, &[("EDGE_DISCOVERY", &discovery.to_string())]);
        let config = program.get_envs().find(|(name, _)| *name == "EDGE_CONFIG").and_then(|(_, file)| file);
        let config = config.expect("a file").to_string_lossy().into_owned();
        let mut child = program.spawn().expect("the program starts");
        let mut output = BufReader::new(child.stdout.take().expect("its output"));
        let mut line = String::new();
        output.read_line(&mut line).expect("a line");
        let address = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        let node = Node { child, address, list, config, _output: output };
        assert_eq!(node.client().ask("mn\r\n"), "MN\r\n");
        node
    }

    /// Changes the configuration file and tells the node.
    pub fn reload(&self, change: impl Fn(&str) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("the file");
        std::fs::write(&self.config, change(&text)).expect("written");
        self.signal("-HUP");
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill").success());
    }

    pub fn client(&self) -> Client {
        self.client_from([127, 0, 0, 1]).expect("a connection")
    }

    /// A client at another address of this machine.
    pub fn client_from(&self, ip: [u8; 4]) -> std::io::Result<Client> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.bind(&SocketAddr::from((ip, 0)).into())?;
        socket.connect(&self.address.into())?;
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(WIDE))?;
        Ok(Client(BufReader::new(stream)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }

    /// Sends, unless the connection has ended.
    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// Sends on the side, as far as the peer takes it.
    pub fn flood(&self, text: &str) {
        let (mut stream, text) = (self.0.get_ref().try_clone().expect("a stream"), text.to_string());
        thread::spawn(move || stream.write_all(text.as_bytes()));
    }

    /// One answer, its value behind its line; nothing at the end of the stream.
    pub fn answer(&mut self) -> String {
        self.try_answer().expect("an answer in time")
    }

    pub fn try_answer(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        self.0.read_line(&mut line)?;
        if line.starts_with("VA ") {
            let length: usize = line.split(' ').nth(1).and_then(|l| l.parse().ok()).expect("a length");
            let mut value = vec![0; length + 2];
            self.0.read_exact(&mut value)?;
            line.push_str(&String::from_utf8_lossy(&value));
        }
        Ok(line)
    }

    /// Asks, and gives the answer if one came before the connection ended.
    pub fn try_ask(&mut self, text: &str) -> std::io::Result<String> {
        self.0.get_mut().write_all(text.as_bytes())?;
        self.try_answer()
    }

    pub fn ask(&mut self, text: &str) -> String {
        self.send(text);
        self.answer()
    }

    pub fn read(&mut self, id: &str, wait_ms: u64) -> String {
        self.ask(&format!("mg k{id} v O{id} Pc=read,d={wait_ms}\r\n"))
    }
}
