//! Requests that the node itself ends, and what their attempts bring after that. Servers answer at the worst moment: between the
//! final answer and the end of the process.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Asked, Reply, Scripted, World, member};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// The servers come back so long after the last answer; the process stays for 0.1 s after it.
const COME_BACK: Duration = Duration::from_millis(25);

/// How a server that comes back answers an attempt that it was given before.
#[derive(Clone, Copy, Debug)]
enum Comes {
    Miss,
    Busy,
    Failed,
    Close,
}

impl Comes {
    const ALL: [Comes; 4] = [Comes::Miss, Comes::Busy, Comes::Failed, Comes::Close];

    fn answer(self, asked: &Asked, reply: &Reply) {
        let id = &asked.id;
        match self {
            _ if asked.http => reply.close(),
            Comes::Miss => reply.send(format!("EN O{id}\r\n")),
            Comes::Busy => reply.send("SERVER_ERROR busy\r\n"),
            Comes::Failed => reply.send("SERVER_ERROR failed\r\n"),
            Comes::Close => reply.close(),
        }
    }
}

/// Two cache servers and an origin that hold each attempt until the test answers it.
struct Held {
    world: World<lapisrudder_lab::stand::Books>,
    _peers: [Scripted; 3],
    attempts: Receiver<(Asked, Reply)>,
}

impl Held {
    fn start() -> Held {
        let (tell, attempts) = channel();
        let peers = [(); 3].map(|()| {
            let tell = tell.clone();
            Scripted::start(move |asked, reply| _ = tell.send((asked, reply))).expect("a peer")
        });
        let mut spec = spec(&[]);
        let [c, d, o] = peers.each_ref().map(|peer| peer.address().to_string());
        spec.discovery.plan.members = vec![
            member("c", &c, "cache", "z"),
            member("d", &d, "cache", "z"),
            member("o", &o, "origin", "z"),
        ];
        Held { world: world(spec, ids(0)), _peers: peers, attempts }
    }

    /// A ready node whose classes give up after 0.3 s: it ends 0.85 s after it was told to.
    fn node(&self) -> Node {
        let settings = SETTINGS.replace(r#""give-up-s":2.5"#, r#""give-up-s":0.3"#);
        let settings = settings.replace(r#""give-up-s":5.0"#, r#""give-up-s":0.3"#);
        let node = Node::set(self.world.addresses().discovery(0).expect("discovery"), &settings);
        node.wait_ready();
        node
    }

    /// All attempts that have come by now.
    fn so_far(&self) -> Vec<(Asked, Reply)> {
        self.attempts.try_iter().collect()
    }
}

/// Guards against: a stopping node answered at its last call what was open and did not call the attempts off, so that misses,
/// refusals and broken connections that came before the process ended brought further attempts for answered requests.
#[test]
fn no_attempt_begins_for_a_request_that_the_last_call_has_answered() {
    const CLIENTS: usize = 24;
    let held = Held::start();
    let mut node = held.node();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.begin_read(&n.to_string(), 60_000);
    }
    thread::sleep(Duration::from_millis(50));
    node.signal("-TERM");
    let answers: Vec<String> = clients.iter_mut().map(Client::answer).collect();
    assert!(answers.iter().all(|line| line.starts_with("SERVER_ERROR")), "{answers:?}");
    let answered = Instant::now();
    thread::sleep(COME_BACK);
    let before = held.so_far();
    assert!(!before.is_empty(), "no attempt was out");
    for ((asked, reply), comes) in before.iter().zip(Comes::ALL.iter().cycle()) {
        comes.answer(asked, reply);
    }
    // They keep their connections until the process ends.
    assert!(node.child.wait().expect("its end").success());
    let late: Vec<String> = held.so_far().into_iter().map(|(asked, _)| asked.text).collect();
    assert_eq!(
        late,
        Vec::<String>::new(),
        "{} came back, ended after {:?}",
        before.len(),
        answered.elapsed()
    );
}
