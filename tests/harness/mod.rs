//! Shared harness of the daemon's tests: starts the real program against simulated pool members, origin and
//! discovery, and gives a blocking memcache client to talk to it.

pub mod shim;

use lapisrudder_lab::ledger::{ServerEvent, ServerNo};
use lapisrudder_lab::stand::{Books, Clock, Notice, Reply, Scripted, ServerSpec, Spec, World, member};
use lapisrudder_model::server::{Class, Dist};
use lapisrudder_model::value::{Key, Maker, RequestId, Uid, check};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::FileTypeExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex, atomic::AtomicUsize, atomic::Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time-out of every wait in these tests; far longer than any step takes, also on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The platform's settings of a node: a safe class `read`, a guarded class `put`, and cache-aside mode.
pub const SETTINGS: &str = r#"{"az":0,"zones":["z"],"host-types":["cache","origin"],"siblings":1,
"discovery":"subscribe","family-info":{"mode":"aside","origin-kind":1},"bounds":{"attempts-cap":3,"cancel":true,
"conn-idle-s":60.0,"connect-timeout-s":0.25,"max-retry-after-s":2.0,"most-held":20000,"multiplex":32,
"second-copies":true},"request-classes":[{"effect":"free","give-up-s":2.5,"group":"all","name":"read",
"slo-s":0.75,"window-s":5.0,"worth":5.0},{"effect":"guarded","give-up-s":5.0,"group":"all","name":"put",
"slo-s":1.5,"window-s":10.0,"worth":15.0}],"rules":{"ask-within-s":10.0,"cold-s":24.0,"drain-grace-s":0.5,
"fall-s":2.0,"start-capacity":0.13,"tip-multiple":3.0}}"#;

/// The description of a world with these cache servers, each quick and warm, and without an origin.
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

/// The same, with these peers that the test answers for: the name, the type and the peer of each.
pub fn spec_with_peers(servers: &[&str], peers: &[(&str, &str, &Scripted)]) -> Spec {
    let mut spec = spec(servers);
    let listed =
        |(name, kind, peer): &(&str, &str, &Scripted)| member(name, &peer.address().to_string(), kind, "z");
    spec.discovery.plan.members = peers.iter().map(listed).collect();
    spec
}

/// Starts a world whose servers hold the key that [`Client::read`] asks for, for each of the ids.
pub fn world(spec: Spec, ids: impl Iterator<Item = String>) -> World<Books> {
    let servers: Vec<String> = spec.servers.iter().map(|server| server.uid.clone()).collect();
    let world = World::start(spec, Clock::default(), Books::default(), 1).expect("a world");
    let keys: Vec<Key> = ids.map(|id| Key::of(format!("k{id}").as_bytes())).collect();
    for server in servers {
        world.control().fill(server_no(&world, &server), keys.clone()).expect("filled");
    }
    world
}

/// Whether a connection from that local address has received bytes that its owner has not read, by the
/// kernel's socket table.
pub fn has_unread_input(from: SocketAddr) -> bool {
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's socket table");
    let from = format!("{:08X}:{:04X}", u32::from_ne_bytes([127, 0, 0, 1]), from.port());
    let unread = |line: &str| {
        let mut words = line.split_whitespace().skip(2);
        let (peer, queues) = (words.next(), words.nth(1).and_then(|queues| queues.split_once(':')));
        peer == Some(&from) && queues.is_some_and(|(_, unread)| unread != "00000000")
    };
    sockets.lines().any(unread)
}

/// The first `count` request ids: "0", "1" and so on.
pub fn ids(count: usize) -> impl Iterator<Item = String> {
    (0..count).map(|id| id.to_string())
}

/// The number under which the lab's ledger knows a server.
pub fn server_no(world: &World<Books>, uid: &str) -> ServerNo {
    world.server(uid).expect("a server of that name")
}

/// How many requests a server has received in full.
pub fn requests_received(world: &World<Books>, uid: &str) -> usize {
    let no = server_no(world, uid);
    let received = |e: &ServerEvent| matches!(e, ServerEvent::LastByte { server, .. } if *server == no);
    world.look(|books| books.servers.records().iter().filter(|r| received(&r.event)).count()).expect("books")
}

/// Polls until the condition holds, and fails the test after [`TEST_TIMEOUT`].
pub fn wait_until(mut condition: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "the awaited condition did not hold within {TEST_TIMEOUT:?}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// An HTTP response with status 200 and this body.
pub fn http(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A discovery server that answers each long poll with a list given by the test, which may be any text.
pub struct ScriptedDiscovery {
    peer: Scripted,
    shared: Arc<Mutex<PublishedList>>,
}

#[derive(Default)]
struct PublishedList {
    /// The list that the next call gets; none once it is sent.
    unsent: Option<String>,
    /// The long poll that waits for the next list.
    pending_call: Option<Reply>,
}

impl PublishedList {
    fn send(&mut self) {
        if let Some(reply) = self.pending_call.take() {
            match self.unsent.take() {
                Some(text) => reply.send(http(&text)),
                None => self.pending_call = Some(reply),
            }
        }
    }
}

impl ScriptedDiscovery {
    pub fn start(first: &str) -> ScriptedDiscovery {
        let shared: Arc<Mutex<PublishedList>> = Arc::default();
        shared.lock().expect("a lock").unsent = Some(first.into());
        let handler_state = shared.clone();
        let peer = Scripted::start(move |_, reply| {
            let mut published = handler_state.lock().expect("a lock");
            published.pending_call = Some(reply);
            published.send();
        });
        ScriptedDiscovery { peer: peer.expect("a peer"), shared }
    }

    /// Answers the pending call with this list, or else the next call.
    pub fn publish(&self, text: &str) {
        let mut published = self.shared.lock().expect("a lock");
        published.unsent = Some(text.into());
        published.send();
    }

    /// The same, and waits for the next call, which shows that the node has read this list.
    pub fn publish_and_wait(&self, text: &str) {
        self.publish(text);
        self.wait_for_poll();
    }

    /// Waits until all lists have been sent and a new call is pending.
    pub fn wait_for_poll(&self) {
        wait_until(|| {
            let published = self.shared.lock().expect("a lock");
            published.unsent.is_none() && published.pending_call.is_some()
        });
    }

    pub fn address(&self) -> SocketAddr {
        self.peer.address()
    }
}

/// A running process of the daemon; it is killed when this is dropped.
pub struct Node {
    pub child: Child,
    name: String,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where operators connect, if it has a management listener.
    management: Option<SocketAddr>,
    discovery: SocketAddr,
    /// Its limit on descriptors.
    sockets: u32,
    /// Its `$TMPDIR`, in which its take-over socket lies.
    folder: Option<String>,
    /// Path of the platform's configuration file; that of the operators is the same with `.toml` appended.
    config: String,
    /// The fault table: which of its system calls fail.
    faults: Option<PathBuf>,
    _output: BufReader<ChildStdout>,
}

/// The options with which a node is started.
struct Start<'a> {
    name: &'a str,
    listen: SocketAddr,
    folder: Option<&'a str>,
    discovery: SocketAddr,
    sockets: u32,
    /// Its memory limit in MB.
    memory_mb: u32,
    /// Text of the operators' configuration file.
    operators: Option<&'a str>,
    /// Whether it has a management listener.
    managed: bool,
    settings: &'a str,
    /// The fault table; with one, the program that is built for the fault shim is started.
    faults: Option<&'a Path>,
}

impl<'a> Start<'a> {
    /// The defaults.
    fn new(discovery: SocketAddr) -> Start<'a> {
        Start {
            name: "n",
            listen: ([127, 0, 0, 1], 0).into(),
            folder: None,
            discovery,
            sockets: 1024,
            memory_mb: 192,
            operators: None,
            managed: false,
            settings: SETTINGS,
            faults: None,
        }
    }

    fn run(self) -> Node {
        let Start { name, listen, folder, discovery, sockets, memory_mb, .. } = self;
        let Start { operators, managed, settings, faults, .. } = self;
        let config = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"1","limits":{{"sockets":{sockets},"memory_mb":{memory_mb}}},"settings":{settings}}}"#
        );
        let mut program = program(&config, &[("EDGE_DISCOVERY", &discovery.to_string())]);
        program.envs(managed.then_some(("EDGE_MANAGEMENT", "127.0.0.1:0")));
        program.envs(folder.map(|folder| ("TMPDIR", folder)));
        if let Some(table) = faults {
            program = shim::with_shim_loaded(&program, table);
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
        let mut printed_address = || {
            let mut line = String::new();
            output.read_line(&mut line).expect("a line");
            let address = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
            address.unwrap_or_else(|| {
                let _ = child.kill();
                let mut log = String::new();
                child.stderr.take().map(|mut errors| errors.read_to_string(&mut log));
                panic!("the node did not start: {line:?} {log}")
            })
        };
        let address = printed_address();
        let management = managed.then(printed_address);
        let folder = folder.map(String::from);
        let name = name.into();
        let faults = faults.map(Path::to_path_buf);
        Node { child, name, address, management, discovery, sockets, folder, config, faults, _output: output }
    }
}

/// The command that starts the program with this text as its configuration file and with these environment
/// variables, which override the file.
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
    /// Starts a node in a world, and waits until it is ready.
    pub fn start(world: &World<Books>) -> Node {
        Node::with_descriptor_limit(world, 1024)
    }

    pub fn with_descriptor_limit(world: &World<Books>, sockets: u32) -> Node {
        Node::with_discovery(world.addresses().discovery(0).expect("discovery"), sockets)
    }

    /// Starts a node that gets its server list from this discovery, and waits until it is ready.
    pub fn with_discovery(discovery: SocketAddr, sockets: u32) -> Node {
        let node = Node::spawn(discovery, sockets);
        node.wait_ready();
        node
    }

    /// The same without the wait: it may have no server list yet.
    pub fn spawn(discovery: SocketAddr, sockets: u32) -> Node {
        Node::with_operator_config(discovery, sockets, None)
    }

    /// The same, with this text as the operators' configuration file.
    pub fn with_operator_config(discovery: SocketAddr, sockets: u32, operators: Option<&str>) -> Node {
        Node::run(discovery, sockets, operators, false)
    }

    /// A ready node with these limits on descriptors and memory.
    pub fn with_limits(world: &World<Books>, sockets: u32, memory_mb: u32) -> Node {
        let discovery = world.addresses().discovery(0).expect("discovery");
        let node = Start { sockets, memory_mb, ..Start::new(discovery) }.run();
        node.wait_ready();
        node
    }

    /// The most memory that its process has had resident, in kB.
    pub fn peak_memory_kb(&self) -> usize {
        self.memory_kb("VmHWM:")
    }

    /// The memory of the process itself, without its program's file: what the platform limits.
    pub fn anonymous_memory_kb(&self) -> usize {
        self.memory_kb("RssAnon:")
    }

    fn memory_kb(&self, figure: &str) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its status");
        let line = status.lines().find_map(|line| line.strip_prefix(figure)).expect("the figure").trim();
        line.trim_end_matches(" kB").parse().expect("a number")
    }

    /// A ready node with a management listener.
    pub fn with_management(world: &World<Books>, sockets: u32) -> Node {
        let discovery = world.addresses().discovery(0).expect("discovery");
        let node = Node::run(discovery, sockets, None, true);
        node.wait_ready();
        node
    }

    /// A ready node at an address of its own, so that a successor process can take over from it.
    pub fn replaceable(world: &World<Books>, sockets: u32) -> Node {
        Node::replaceable_with_discovery(world.addresses().discovery(0).expect("discovery"), sockets)
            .into_ready()
    }

    /// The same, with this discovery and without the wait: it may have no member yet.
    pub fn replaceable_with_discovery(discovery: SocketAddr, sockets: u32) -> Node {
        Node::replaceable_with_faults(discovery, sockets, None)
    }

    /// The same; its system calls fail as the fault table says.
    pub fn replaceable_with_faults(discovery: SocketAddr, sockets: u32, faults: Option<&Path>) -> Node {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        // An address of 127/8 that no other test or process uses: the port need not be free elsewhere.
        let [a, b] = (std::process::id() as u16).to_be_bytes();
        let host = 1 + COUNT.fetch_add(1, Ordering::SeqCst) % 250;
        let listen = SocketAddr::from(([127, a | 128, b, host as u8], 11211));
        // A short path, since that of a Unix socket has at most 107 bytes and the checkout may lie deep.
        let folder = std::env::temp_dir().join(format!("lr-{}-{host}", std::process::id()));
        let folder = folder.to_string_lossy().into_owned();
        std::fs::create_dir_all(&folder).expect("a folder");
        let folder = Some(folder.as_str());
        Start { listen, folder, sockets, faults, managed: true, ..Start::new(discovery) }.run()
    }

    /// A node with a management listener whose system calls fail as the fault table says; it may have no list
    /// yet.
    pub fn with_faults(discovery: SocketAddr, settings: &str, faults: &Path) -> Node {
        Start { settings, managed: true, faults: Some(faults), ..Start::new(discovery) }.run()
    }

    /// Where operators connect.
    pub fn management(&self) -> SocketAddr {
        self.management.expect("a management listener")
    }

    /// A ready node of this name with this text as the operators' configuration file, which a successor can
    /// take over from.
    pub fn named(name: &str, world: &World<Books>, operators: &str) -> Node {
        let discovery = world.addresses().discovery(0).expect("discovery");
        let first = Node::replaceable_with_discovery(discovery, 1024);
        let (listen, folder) = (first.address, first.folder.clone());
        drop(first);
        let (folder, operators) = (folder.as_deref(), Some(operators));
        Start { name, listen, folder, operators, managed: true, ..Start::new(discovery) }.run().into_ready()
    }

    /// Rewrites the operators' configuration file and has the node reload it.
    pub fn reload_operator_config(&self, operators: &str) {
        std::fs::write(format!("{}.toml", self.config), operators).expect("written");
        self.signal("-HUP");
    }

    /// Starts a successor, waits until it is ready, and sends SIGTERM to this process.
    pub fn replace(&mut self) -> Node {
        let successor = Node::start_successor(self);
        self.signal("-TERM");
        successor
    }

    /// Starts a second process of the same node, which takes over from `old`, and waits until it is ready.
    pub fn start_successor(old: &Node) -> Node {
        Node::spawn_successor(old).into_ready()
    }

    /// The same without the wait: it may have no member yet.
    pub fn spawn_successor(old: &Node) -> Node {
        let operators = std::fs::read_to_string(format!("{}.toml", old.config)).ok();
        let (name, listen, folder) = (old.name.as_str(), old.address, old.folder.as_deref());
        let (sockets, operators, faults) = (old.sockets, operators.as_deref(), old.faults.as_deref());
        Start { name, listen, folder, sockets, operators, faults, managed: true, ..Start::new(old.discovery) }
            .run()
    }

    /// The Unix socket on which a successor asks this node to hand over; it is the only socket in its folder.
    pub fn takeover_socket(&self) -> PathBuf {
        let files = std::fs::read_dir(self.folder.as_ref().expect("a folder")).expect("the folder's files");
        let mut paths = files.map(|entry| entry.expect("an entry"));
        let socket = paths.find(|entry| entry.file_type().expect("its type").is_socket());
        socket.expect("a socket").path()
    }

    /// Waits until the management call `status` says that the node is ready.
    fn into_ready(self) -> Node {
        wait_until(|| self.call("status\n") == "ok ready\n");
        self
    }

    fn run(discovery: SocketAddr, sockets: u32, operators: Option<&str>, managed: bool) -> Node {
        Start { sockets, operators, managed, ..Start::new(discovery) }.run()
    }

    /// Starts a node with these settings of the platform; it may have no list yet.
    pub fn with_settings(discovery: SocketAddr, settings: &str) -> Node {
        Start { settings, ..Start::new(discovery) }.run()
    }

    /// Sends one line on a management connection of its own and gives the answer.
    pub fn call(&self, line: &str) -> String {
        self.open_call(line).answer()
    }

    /// Sends the text on a management connection of its own; the answer is not waited for.
    pub fn open_call(&self, text: &str) -> Client {
        let stream = TcpStream::connect(self.management()).expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let mut caller = Client(BufReader::new(stream));
        caller.send(text);
        caller
    }

    /// Waits until the node is ready, which is when it answers `mn` with `MN`.
    pub fn wait_ready(&self) {
        assert_eq!(self.client().ask("mn\r\n"), "MN\r\n");
    }

    /// Changes the platform's configuration file and has the node reload it.
    pub fn reload(&self, change: impl Fn(&str) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("the file");
        std::fs::write(&self.config, change(&text)).expect("written");
        self.signal("-HUP");
    }

    /// Stalls the process with SIGSTOP and waits until it is stopped; SIGCONT resumes it.
    pub fn pause_process(&self) {
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

    /// A client that connects from this source address.
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

/// A blocking client of the daemon's memcache listener or of its management listener.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        Ok(Client(BufReader::new(stream)))
    }

    pub fn send(&mut self, text: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(text.as_ref()).expect("written");
    }

    /// One line with its line end; empty at the end of the stream.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line in time");
        line
    }

    /// Exactly `length` bytes.
    pub fn read_bytes(&mut self, length: usize) -> Vec<u8> {
        let mut bytes = vec![0; length];
        self.0.read_exact(&mut bytes).expect("bytes in time");
        bytes
    }

    /// All bytes until the stream ends or is reset.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        let _ = self.0.read_to_end(&mut rest);
        rest
    }

    /// Shuts down its sending direction or both.
    pub fn shutdown(&self, how: std::net::Shutdown) {
        self.0.get_ref().shutdown(how).expect("shut");
    }

    /// Whether its connection was reset, also if only after the end of the stream.
    pub fn was_reset(&self) -> bool {
        self.0.get_ref().take_error().expect("its state").is_some()
    }

    /// Sends the text; gives the error if the connection has ended.
    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// Sends the text from a thread of its own, until the peer accepts no more.
    pub fn send_in_background(&self, text: &str) {
        let (mut stream, text) = (self.0.get_ref().try_clone().expect("a stream"), text.to_string());
        thread::spawn(move || stream.write_all(text.as_bytes()));
    }

    /// One answer; empty at the end of the stream. A value that a simulated server made for this very request
    /// is given as [`value_from`] describes it; any other value follows its `VA` line unchanged.
    pub fn answer(&mut self) -> String {
        self.try_answer().expect("an answer in time")
    }

    /// The same; gives the error if the connection fails or times out.
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

    /// The answer, or the error of a time-out at that instant.
    pub fn answer_by(&mut self, at: Instant) -> std::io::Result<String> {
        let left = at.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.0.get_ref().set_read_timeout(Some(left))?;
        self.try_answer()
    }

    /// Whether its connection is closed or reset by that instant.
    pub fn closes_by(&mut self, at: Instant) -> bool {
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

    /// Sends a command; gives its answer, or the error if the connection failed before.
    pub fn try_ask(&mut self, text: &str) -> std::io::Result<String> {
        self.0.get_mut().write_all(text.as_bytes())?;
        self.try_answer()
    }

    /// Sends a command and gives its answer.
    pub fn ask(&mut self, text: &str) -> String {
        self.send(text);
        self.answer()
    }

    /// Reads the key `k{id}` with a deadline of `wait_ms`.
    pub fn read(&mut self, id: &str, wait_ms: u64) -> String {
        self.send_read(id, wait_ms);
        self.answer()
    }

    /// Sends the command of [`Client::read`]; the answer is not waited for.
    pub fn send_read(&mut self, id: &str, wait_ms: u64) {
        self.send(format!("mg k{id} v O{id} Pc=read,d={wait_ms}\r\n"));
    }
}

/// How [`Client::answer`] gives a value that this server made for a read of this id.
pub fn value_from(uid: &str, id: &str) -> String {
    format!("value of {uid} for {id}")
}

/// Which server made a value; none unless every byte is as that server makes it for this request id and the
/// key of [`Client::read`].
pub fn maker(value: &[u8], id: &str) -> Option<&'static str> {
    let made = check(value, Key::of(format!("k{id}").as_bytes())).ok()?;
    let names = ["a", "b", "bad", "c", "good", "gone"].into_iter();
    let named = |name: &&str| made.maker == Maker::Cache(Uid::of(name.as_bytes()));
    names.filter(|_| made.request == Some(RequestId::of(id.as_bytes()))).find(named)
}
