//! The shared helper of the node's tests: the real program between stand-ins of members, origin and discovery.

pub mod shim;

use lapisrudder_lab::ledger::{ServerEvent, ServerNo};
use lapisrudder_lab::stand::{Books, Clock, Notice, Reply, Scripted, ServerSpec, Spec, World};
use lapisrudder_model::server::{Class, Dist};
use lapisrudder_model::value::{Key, Maker, RequestId, Uid, check};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex, atomic::AtomicUsize, atomic::Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than anything here takes, on any machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

pub const SETTINGS: &str = r#"{"az":0,"zones":["z"],"host-types":["cache","origin"],"siblings":1,
"discovery":"subscribe","family-info":{"mode":"aside","origin-kind":1},"bounds":{"attempts-cap":3,"cancel":true,
"conn-idle-s":60.0,"connect-timeout-s":0.25,"max-retry-after-s":2.0,"most-held":20000,"multiplex":32,
"second-copies":true},"request-classes":[{"effect":"free","give-up-s":2.5,"group":"all","name":"read",
"slo-s":0.75,"window-s":5.0,"worth":5.0},{"effect":"guarded","give-up-s":5.0,"group":"all","name":"put",
"slo-s":1.5,"window-s":10.0,"worth":15.0}],"rules":{"ask-within-s":10.0,"cold-s":24.0,"drain-grace-s":0.5,
"fall-s":2.0,"start-capacity":0.13,"tip-multiple":3.0}}"#;

/// A world with these cache servers, warm and quick, and no origin.
pub fn spec(servers: &[&str]) -> Spec {
    let class = Class { work: Dist::Fixed(100.0), ..Class::default() };
    let server = |uid: &&str| {
        let mut server = ServerSpec::new(uid, 0);
        server.config.machine.classes = vec![class.clone(); 2];
        server
    };
    let servers = servers.iter().map(server).collect();
    let mut spec = Spec { zones: vec!["z".into()], servers, origin: None, ..Spec::default() };
    spec.discovery.notice = Notice { gone: 0, silent: 0, started: 0 };
    spec
}

/// Starts a world whose servers hold the key of each id that is asked for by [`Client::read`].
pub fn world(spec: Spec, ids: impl Iterator<Item = String>) -> World<Books> {
    let servers: Vec<String> = spec.servers.iter().map(|server| server.uid.clone()).collect();
    let world = World::start(spec, Clock::default(), Books::default(), 1).expect("a world");
    let keys: Vec<Key> = ids.map(|id| Key::of(format!("k{id}").as_bytes())).collect();
    for server in servers {
        world.control().fill(server_no(&world, &server), keys.clone()).expect("filled");
    }
    world
}

/// What a peer has written to somebody waits there to be read.
pub fn lies_unread(from: SocketAddr) -> bool {
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the machine's connections");
    let from = format!("{:08X}:{:04X}", u32::from_ne_bytes([127, 0, 0, 1]), from.port());
    let unread = |line: &str| {
        let mut words = line.split_whitespace().skip(2);
        let (peer, queues) = (words.next(), words.nth(1).and_then(|queues| queues.split_once(':')));
        peer == Some(&from) && queues.is_some_and(|(_, unread)| unread != "00000000")
    };
    sockets.lines().any(unread)
}

/// Ids from 0 up.
pub fn ids(count: usize) -> impl Iterator<Item = String> {
    (0..count).map(|id| id.to_string())
}

pub fn server_no(world: &World<Books>, uid: &str) -> ServerNo {
    world.server(uid).expect("a server of that name")
}

/// How many requests have come to a server.
pub fn asked(world: &World<Books>, uid: &str) -> usize {
    let no = server_no(world, uid);
    let came = |e: &ServerEvent| matches!(e, ServerEvent::LastByte { server, .. } if *server == no);
    world.look(|books| books.servers.records().iter().filter(|r| came(&r.event)).count()).expect("books")
}

/// Waits for what comes to pass.
pub fn wait_until(mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "it does not come to pass");
        thread::sleep(Duration::from_millis(2));
    }
}

pub fn http(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Discovery that tells any text.
pub struct List {
    peer: Scripted,
    shared: Arc<Mutex<Texts>>,
}

#[derive(Default)]
struct Texts {
    next: Option<String>,
    /// A call that waits for the next text.
    waits: Option<Reply>,
}

impl Texts {
    fn send(&mut self) {
        if let Some(reply) = self.waits.take() {
            match self.next.take() {
                Some(text) => reply.send(http(&text)),
                None => self.waits = Some(reply),
            }
        }
    }
}

impl List {
    pub fn start(first: &str) -> List {
        let shared: Arc<Mutex<Texts>> = Arc::default();
        shared.lock().expect("a lock").next = Some(first.into());
        let theirs = shared.clone();
        let peer = Scripted::start(move |_, reply| {
            let mut texts = theirs.lock().expect("a lock");
            texts.waits = Some(reply);
            texts.send();
        });
        List { peer: peer.expect("a peer"), shared }
    }

    /// Answers the call that waits, or the next one, with it.
    pub fn say(&self, text: &str) {
        let mut texts = self.shared.lock().expect("a lock");
        texts.next = Some(text.into());
        texts.send();
    }

    /// The same, and waits until more has been asked for.
    pub fn tell(&self, text: &str) {
        self.say(text);
        self.until_asked();
    }

    /// Waits until a call waits for more than what was told.
    pub fn until_asked(&self) {
        wait_until(|| {
            let texts = self.shared.lock().expect("a lock");
            texts.next.is_none() && texts.waits.is_some()
        });
    }

    pub fn address(&self) -> SocketAddr {
        self.peer.address()
    }
}

pub struct Node {
    pub child: Child,
    name: String,
    pub address: SocketAddr,
    /// The operators' address, where it has one.
    management: Option<SocketAddr>,
    discovery: SocketAddr,
    sockets: u32,
    /// Its `$TMPDIR`.
    folder: Option<String>,
    config: String,
    /// The table of its system calls that fail.
    faults: Option<PathBuf>,
    _output: BufReader<ChildStdout>,
}

/// How a node is started.
struct Start<'a> {
    name: &'a str,
    listen: SocketAddr,
    folder: Option<&'a str>,
    discovery: SocketAddr,
    sockets: u32,
    operators: Option<&'a str>,
    managed: bool,
    settings: &'a str,
    /// The table of system calls that fail; the program is the one that the shim reaches.
    faults: Option<&'a Path>,
}

impl<'a> Start<'a> {
    /// The usual way.
    fn new(discovery: SocketAddr) -> Start<'a> {
        Start {
            name: "n",
            listen: ([127, 0, 0, 1], 0).into(),
            folder: None,
            discovery,
            sockets: 1024,
            operators: None,
            managed: false,
            settings: SETTINGS,
            faults: None,
        }
    }

    fn run(self) -> Node {
        let Start { name, listen, folder, discovery, sockets, operators, managed, settings, faults } = self;
        let config = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"1","limits":{{"sockets":{sockets},"memory_mb":192}},"settings":{settings}}}"#
        );
        let mut program = program(&config, &[("EDGE_DISCOVERY", &discovery.to_string())]);
        program.envs(managed.then_some(("EDGE_MANAGEMENT", "127.0.0.1:0")));
        program.envs(folder.map(|folder| ("TMPDIR", folder)));
        if let Some(table) = faults {
            program = shim::reached_by_it(&program, table);
        }
        let config = program.get_envs().find(|(name, _)| *name == "EDGE_CONFIG").and_then(|(_, file)| file);
        let config = config.expect("a file").to_string_lossy().into_owned();
        if let Some(settings) = operators {
            let file = format!("{config}.toml");
            std::fs::write(&file, settings).expect("a file");
            program.arg("--config").arg(file);
        }
        let mut child = program.spawn().expect("the program starts");
        let mut output = BufReader::new(child.stdout.take().expect("its output"));
        let mut told = || {
            let mut line = String::new();
            output.read_line(&mut line).expect("a line");
            let address = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
            address.unwrap_or_else(|| {
                let _ = child.kill();
                let mut said = String::new();
                child.stderr.take().map(|mut errors| errors.read_to_string(&mut said));
                panic!("it did not start: {line:?} {said}")
            })
        };
        let address = told();
        let management = managed.then(told);
        let folder = folder.map(String::from);
        let name = name.into();
        let faults = faults.map(Path::to_path_buf);
        Node { child, name, address, management, discovery, sockets, folder, config, faults, _output: output }
    }
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
    /// Starts a node in a world.
    pub fn start(world: &World<Books>) -> Node {
        Node::with_descriptor_limit(world, 1024)
    }

    pub fn limited(world: &World<Books>, sockets: u32) -> Node {
        Node::told_by(world.addresses().discovery(0).expect("discovery"), sockets)
    }

    /// Starts a node that asks for its list there.
    pub fn told_by(discovery: SocketAddr, sockets: u32) -> Node {
        let node = Node::spawn(discovery, sockets);
        node.wait_ready();
        node
    }

    /// The same, though it may have no list yet.
    pub fn begin(discovery: SocketAddr, sockets: u32) -> Node {
        Node::with_operator_config(discovery, sockets, None)
    }

    /// The same, under settings of the operators'.
    pub fn under(discovery: SocketAddr, sockets: u32, operators: Option<&str>) -> Node {
        Node::run(discovery, sockets, operators, false)
    }

    /// A ready node with an operators' address.
    pub fn managed(world: &World<Books>, sockets: u32) -> Node {
        let discovery = world.addresses().discovery(0).expect("discovery");
        let node = Node::run(discovery, sockets, None, true);
        node.wait_ready();
        node
    }

    /// A ready node at an address of its own, which another process may take the place of.
    pub fn replaceable(world: &World<Books>, sockets: u32) -> Node {
        Node::replaceable_told_by(world.addresses().discovery(0).expect("discovery"), sockets).once_ready()
    }

    /// The same, told by that discovery; it may have no member yet.
    pub fn replaceable_told_by(discovery: SocketAddr, sockets: u32) -> Node {
        Node::replaceable_under(discovery, sockets, None)
    }

    /// The same; its system calls fail as the table says.
    pub fn replaceable_under(discovery: SocketAddr, sockets: u32, faults: Option<&Path>) -> Node {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        // An address of 127/8 that nobody else has: the port need not be free elsewhere.
        let [a, b] = (std::process::id() as u16).to_be_bytes();
        let host = 1 + COUNT.fetch_add(1, Ordering::SeqCst) % 250;
        let listen = SocketAddr::from(([127, a | 128, b, host as u8], 11211));
        // A short path: that of a Unix socket has at most 107 bytes, wherever this is checked out.
        let folder = std::env::temp_dir().join(format!("lr-{}-{host}", std::process::id()));
        let folder = folder.to_string_lossy().into_owned();
        std::fs::create_dir_all(&folder).expect("a folder");
        let folder = Some(folder.as_str());
        Start { listen, folder, sockets, faults, managed: true, ..Start::new(discovery) }.run()
    }

    /// A node with an operators' address whose system calls fail as the table says; it may have no list yet.
    pub fn failing(discovery: SocketAddr, settings: &str, faults: &Path) -> Node {
        Start { settings, managed: true, faults: Some(faults), ..Start::new(discovery) }.run()
    }

    /// Where operators call.
    pub fn management(&self) -> SocketAddr {
        self.management.expect("an operators' address")
    }

    /// A node of that name under settings of the operators', in a folder where its processes meet.
    pub fn named(name: &str, world: &World<Books>, operators: &str) -> Node {
        let discovery = world.addresses().discovery(0).expect("discovery");
        let first = Node::replaceable_told_by(discovery, 1024);
        let (listen, folder) = (first.address, first.folder.clone());
        drop(first);
        let (folder, operators) = (folder.as_deref(), Some(operators));
        Start { name, listen, folder, operators, managed: true, ..Start::new(discovery) }.run().once_ready()
    }

    /// Writes the operators' file anew and tells the node.
    pub fn operate(&self, operators: &str) {
        std::fs::write(format!("{}.toml", self.config), operators).expect("written");
        self.signal("-HUP");
    }

    /// Another process in the place of this one, once it is ready; the old one is told to stop.
    pub fn replace(&mut self) -> Node {
        let new = Node::beside(self);
        self.signal("-TERM");
        new
    }

    /// Another ready process beside this one.
    pub fn beside(old: &Node) -> Node {
        Node::beside_unready(old).once_ready()
    }

    /// The same, though it may have no member yet.
    pub fn beside_unready(old: &Node) -> Node {
        let operators = std::fs::read_to_string(format!("{}.toml", old.config)).ok();
        let (name, listen, folder) = (old.name.as_str(), old.address, old.folder.as_deref());
        let (sockets, operators, faults) = (old.sockets, operators.as_deref(), old.faults.as_deref());
        Start { name, listen, folder, sockets, operators, faults, managed: true, ..Start::new(old.discovery) }
            .run()
    }

    /// Where the processes of this node meet: the one file there.
    pub fn meeting_place(&self) -> std::path::PathBuf {
        let mut files = std::fs::read_dir(self.folder.as_ref().expect("a folder")).expect("it");
        files.next().expect("a file").expect("it").path()
    }

    fn once_ready(self) -> Node {
        wait_until(|| self.call("status\n") == "ok ready\n");
        self
    }

    fn run(discovery: SocketAddr, sockets: u32, operators: Option<&str>, managed: bool) -> Node {
        Start { sockets, operators, managed, ..Start::new(discovery) }.run()
    }

    /// Starts a node under these settings; it may have no list yet.
    pub fn set(discovery: SocketAddr, settings: &str) -> Node {
        Start { settings, ..Start::new(discovery) }.run()
    }

    /// One line on a connection of its own to the operators' address; gives the answer.
    pub fn call(&self, line: &str) -> String {
        self.caller(line).answer()
    }

    /// The same, but the answer is not waited for.
    pub fn caller(&self, said: &str) -> Client {
        let stream = TcpStream::connect(self.management()).expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let mut caller = Client(BufReader::new(stream));
        caller.send(said);
        caller
    }

    /// Waits until it may be put to use.
    pub fn wait_ready(&self) {
        assert_eq!(self.client().ask("mn\r\n"), "MN\r\n");
    }

    /// Changes the configuration file and tells the node.
    pub fn reload(&self, change: impl Fn(&str) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("the file");
        std::fs::write(&self.config, change(&text)).expect("written");
        self.signal("-HUP");
    }

    /// Stops it where it stands, until it is told to go on with `-CONT`.
    pub fn stand_still(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until(|| std::fs::read_to_string(&stat).is_ok_and(|s| s.contains(") T ")));
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
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
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
    pub fn at(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        Ok(Client(BufReader::new(stream)))
    }

    pub fn send(&mut self, text: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(text.as_ref()).expect("written");
    }

    /// One line, its end included; nothing at the end of the stream.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line in time");
        line
    }

    /// So many bytes.
    pub fn bytes(&mut self, length: usize) -> Vec<u8> {
        let mut bytes = vec![0; length];
        self.0.read_exact(&mut bytes).expect("bytes in time");
        bytes
    }

    /// What comes until the stream ends, or is reset.
    pub fn rest(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        let _ = self.0.read_to_end(&mut rest);
        rest
    }

    /// Ends its sending, or all of it.
    pub fn leave(&self, how: std::net::Shutdown) {
        self.0.get_ref().shutdown(how).expect("shut");
    }

    /// Its connection was reset, be that behind its end.
    pub fn was_reset(&self) -> bool {
        self.0.get_ref().take_error().expect("its state").is_some()
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

    /// One answer; nothing at the end of the stream. A value that a stand-in made for this very request is told by its
    /// maker ([`by`]), any other stands behind its line.
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
            let id = line.split_whitespace().find_map(|w| w.strip_prefix('O')).unwrap_or_default();
            match maker(&value[..length], id) {
                Some(uid) => return Ok(value_from(uid, id)),
                None => line.push_str(&String::from_utf8_lossy(&value)),
            }
        }
        Ok(line)
    }

    /// The answer, if it comes by then.
    pub fn answer_by(&mut self, at: Instant) -> std::io::Result<String> {
        let left = at.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.0.get_ref().set_read_timeout(Some(left))?;
        self.try_answer()
    }

    /// Whether its connection ends by then, however it does.
    pub fn has_ended_by(&mut self, at: Instant) -> bool {
        let mut rest = [0; 4096];
        loop {
            let left = at.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let _ = self.0.get_ref().set_read_timeout(Some(left));
            match self.0.read(&mut rest) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock) => return false,
                Err(_) => return true,
            }
        }
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
        self.begin_read(id, wait_ms);
        self.answer()
    }

    /// Asks as [`Client::read`] does; the answer is not waited for.
    pub fn begin_read(&mut self, id: &str, wait_ms: u64) {
        self.send(format!("mg k{id} v O{id} Pc=read,d={wait_ms}\r\n"));
    }
}

/// The answer that a server of that name made for a read of that id.
pub fn value_from(uid: &str, id: &str) -> String {
    format!("value of {uid} for {id}")
}

/// Who made a value, if every byte of it is as that server made it for this request and the key of [`Client::read`].
pub fn maker(value: &[u8], id: &str) -> Option<&'static str> {
    let made = check(value, Key::of(format!("k{id}").as_bytes())).ok()?;
    let names = ["a", "b", "bad", "c", "good", "gone"].into_iter();
    let named = |name: &&str| made.maker == Maker::Cache(Uid::of(name.as_bytes()));
    names.filter(|_| made.request == Some(RequestId::of(id.as_bytes()))).find(named)
}
