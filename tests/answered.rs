//! Requests that a stopping node answers itself while attempts are still in flight. The servers answer those
//! attempts between the final answer to the client and the end of the process.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Asked, Reply, Scripted, World};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// When the servers answer, counted from the final answer to the last client. The process ends 0.1 s after
/// that answer.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(25);

/// How a server answers an attempt late.
#[derive(Clone, Copy, Debug)]
enum LateAnswer {
    Miss,
    Busy,
    Failed,
    Close,
}

impl LateAnswer {
    const ALL: [LateAnswer; 4] = [LateAnswer::Miss, LateAnswer::Busy, LateAnswer::Failed, LateAnswer::Close];

    fn answer(self, asked: &Asked, reply: &Reply) {
        let id = &asked.id;
        match self {
            _ if asked.http => reply.close(),
            LateAnswer::Miss => reply.send(format!("EN O{id}\r\n")),
            LateAnswer::Busy => reply.send("SERVER_ERROR busy\r\n"),
            LateAnswer::Failed => reply.send("SERVER_ERROR failed\r\n"),
            LateAnswer::Close => reply.close(),
        }
    }
}

/// A world of two cache servers and an origin that leave each attempt to the test to answer.
struct TestAnswered {
    world: World<lapisrudder_lab::stand::Books>,
    _peers: [Scripted; 3],
    attempts: Receiver<(Asked, Reply)>,
}

impl TestAnswered {
    fn start() -> TestAnswered {
        let (sender, attempts) = channel();
        let peers = [(); 3].map(|()| {
            let sender = sender.clone();
            Scripted::start(move |asked, reply| _ = sender.send((asked, reply))).expect("a peer")
        });
        let [c, d, o] = &peers;
        let spec = spec_with_peers(&[], &[("c", "cache", c), ("d", "cache", d), ("o", "origin", o)]);
        let world = world(spec, ids(0));
        TestAnswered { world, _peers: peers, attempts }
    }

    /// A ready node whose classes give up after 0.3 s, so that it ends 0.85 s after SIGTERM.
    fn node(&self) -> Node {
        let settings = SETTINGS.replace(r#""give-up-s":2.5"#, r#""give-up-s":0.3"#);
        let settings = settings.replace(r#""give-up-s":5.0"#, r#""give-up-s":0.3"#);
        let node = Node::with_settings(self.world.addresses().discovery(0).expect("discovery"), &settings);
        node.wait_ready();
        node
    }

    /// All attempts that the servers have received and the test has not taken yet.
    fn new_attempts(&self) -> Vec<(Asked, Reply)> {
        self.attempts.try_iter().collect()
    }
}

/// Fails if a stopping node answers its open requests without cancelling their attempts: misses, rejects and
/// closed connections that arrive before the process ends would then start retries for requests that are
/// already answered.
#[test]
fn a_stopping_node_starts_no_attempt_for_a_request_that_it_has_answered() {
    const CLIENTS: usize = 24;
    let servers = TestAnswered::start();
    let mut node = servers.node();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_read(&n.to_string(), 60_000);
    }
    thread::sleep(Duration::from_millis(50));
    node.signal("-TERM");
    let answers: Vec<String> = clients.iter_mut().map(Client::answer).collect();
    assert!(answers.iter().all(|line| line.starts_with("SERVER_ERROR")), "{answers:?}");
    let answered = Instant::now();
    thread::sleep(LATE_ANSWER_DELAY);
    let in_flight = servers.new_attempts();
    assert!(!in_flight.is_empty(), "no attempt was in flight");
    for ((asked, reply), late_answer) in in_flight.iter().zip(LateAnswer::ALL.iter().cycle()) {
        late_answer.answer(asked, reply);
    }
    // The clients stay connected until the process ends.
    assert!(node.child.wait().expect("its end").success());
    let late: Vec<String> = servers.new_attempts().into_iter().map(|(asked, _)| asked.text).collect();
    assert_eq!(
        late,
        Vec::<String>::new(),
        "{} attempts were answered late, the process ended after {:?}",
        in_flight.len(),
        answered.elapsed()
    );
}
