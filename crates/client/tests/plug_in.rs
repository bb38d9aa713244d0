//! Tests of what only the plug-in does: the limit of requests in flight, cancellation, shutdown, connection
//! limits, and a runtime that stalls. Rules that the plug-in shares with the daemon are tested in
//! `tests/suite` of the root package.

use futures_executor::block_on;
use futures_util::future::{join_all, poll_fn};
use futures_util::{FutureExt, poll};
use lapisrudder_client::{
    BadRequest, Builder, Class, Client, Error, FixedMember, Phase, Request, Response, ResponseFuture,
    StartError,
};
use lapisrudder_lab::stand::{Asked, Reply, Scripted};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Poll;
use std::thread;
use std::time::{Duration, Instant};
use tower::{Service, ServiceExt};

/// Longer than any step of these tests takes, also on a slow machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A scripted cache server that answers at once or on [`Server::release`].
struct Server {
    peer: Scripted,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Answers are withheld.
    holds: bool,
    /// All requests received.
    received: Vec<Asked>,
    /// Requests received without an answer yet.
    unanswered: Vec<(Asked, Reply)>,
}

fn value(asked: &Asked) -> String {
    format!("VA {} O{} h1\r\n{}\r\n", asked.key.len(), asked.id, asked.key)
}

impl Server {
    /// Answers each read with its key, at once or, if `holds`, on [`Server::release`].
    fn start(holds: bool) -> Server {
        let state = Arc::new(Mutex::new(State { holds, ..State::default() }));
        let shared = state.clone();
        let peer = Scripted::start(move |asked, reply| {
            let mut state = shared.lock().unwrap();
            state.received.push(asked.clone());
            match state.holds {
                true => state.unanswered.push((asked, reply)),
                false => reply.send(value(&asked)),
            }
        });
        Server { peer: peer.unwrap(), state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Answers all withheld requests, and from now on each at once.
    fn release(&self) {
        let mut state = self.state();
        state.holds = false;
        state.unanswered.drain(..).for_each(|(asked, reply)| reply.send(value(&asked)));
    }

    fn requests_received(&self) -> usize {
        self.state().received.len()
    }

    fn builder(&self) -> Builder {
        let read = Class { latency_target: 30_000_000, worth: 1.0, ..Class::default() };
        let member = FixedMember::cache("s", self.peer.address());
        Client::builder().members([member]).class("read", read, TEST_TIMEOUT).seed(1)
    }

    fn client(&self) -> Client {
        self.builder().start().unwrap()
    }
}

fn wait_until(mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < TEST_TIMEOUT, "the condition does not come true within {TEST_TIMEOUT:?}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Sends a read without waiting for the answer.
fn call(client: &mut Client, key: &str) -> ResponseFuture {
    block_on(client.ready()).unwrap().call(Request::read(key.to_string()))
}

fn text(answer: Result<Response, Error>) -> String {
    String::from_utf8(answer.unwrap().into_bytes().to_vec()).unwrap()
}

#[test]
fn permits_are_granted_first_in_first_out_and_released_when_the_answer_is_taken() {
    let server = Server::start(false);
    let client = server.builder().in_flight(2).start().unwrap();
    let (mut a, mut b, mut c) = (client.clone(), client.clone(), client.clone());
    let first = call(&mut a, "1");
    let second = call(&mut a, "2");
    // Both are answered, but the answers have not been taken: no permit is free yet.
    wait_until(|| client.stats().served == 2);
    block_on(async {
        let b_ready = &mut poll_fn(|cx| b.poll_ready(cx));
        let c_ready = &mut poll_fn(|cx| c.poll_ready(cx));
        assert_eq!((poll!(&mut *b_ready), poll!(&mut *c_ready)), (Poll::Pending, Poll::Pending));
        assert_eq!(text(second.await), "2");
        assert_eq!((poll!(&mut *c_ready), poll!(&mut *b_ready)), (Poll::Pending, Poll::Ready(Ok(()))));
        drop(first);
        assert_eq!(c_ready.await, Ok(()));
    });
    // A call without a permit ends as an error, and nothing is sent.
    let not_ready = block_on(client.clone().call(Request::read("3")));
    assert_eq!((not_ready, server.requests_received()), (Err(Error::NotReady), 2));
}

#[test]
fn stalled_runtime_gets_its_answers_late_and_answers_do_not_accumulate() {
    const IN_FLIGHT: usize = 50;
    let server = Server::start(false);
    let client = server.builder().in_flight(IN_FLIGHT).start().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let requests = (0..300).map(|n| {
            let client = client.clone();
            tokio::spawn(async move { client.ask(Request::read(format!("k{n}"))).await })
        });
        let requests: Vec<_> = requests.collect();
        // As many as may be in flight are sent; then the only thread of the runtime stalls.
        while server.requests_received() < IN_FLIGHT {
            tokio::task::yield_now().await;
        }
        let before = server.requests_received();
        thread::sleep(Duration::from_millis(1000));
        assert!(
            server.requests_received() <= before + IN_FLIGHT,
            "answers that are not taken keep their permits"
        );
        assert!(client.stats().in_flight <= IN_FLIGHT);
        for (n, request) in requests.into_iter().enumerate() {
            assert_eq!(text(request.await.unwrap()), format!("k{n}"));
        }
    });
    assert_eq!(server.requests_received(), 300, "each was sent once");
}

#[test]
fn dropping_a_future_cancels_its_request_before_during_and_after_the_write() {
    let server = Server::start(true);
    let mut client = server.builder().in_flight(8).start().unwrap();
    for round in 0..50 {
        let future = call(&mut client, &format!("early{round}"));
        // The drop comes from right after the call to long after the write.
        thread::sleep(Duration::from_micros(20 * round));
        drop(future);
    }
    wait_until(|| client.stats().left == 50 && client.stats().in_flight == 0);
    // All permits and connections are usable again, and no answer goes to another request.
    server.release();
    let answers = block_on(join_all((0..8).map(|n| {
        let client = client.clone();
        async move { text(client.ask(Request::read(format!("late{n}"))).await) }
    })));
    assert_eq!(answers, (0..8).map(|n| format!("late{n}")).collect::<Vec<_>>());
    // A request whose answer has arrived is not counted as cancelled.
    let future = call(&mut client, "answered");
    wait_until(|| client.stats().served == 9);
    drop(future);
    assert_eq!(text(block_on(client.ask(Request::read("last")))), "last");
    wait_until(|| client.stats().taken == 60);
    assert_eq!((client.stats().left, client.stats().served), (50, 10));
}

#[test]
fn accepted_requests_are_answered_after_close_and_after_drop_of_the_last_clone() {
    for closes in [false, true] {
        let server = Server::start(true);
        let mut client = server.client();
        let mut stats = client.watch();
        let futures: Vec<ResponseFuture> = (0..5).map(|n| call(&mut client, &format!("k{n}"))).collect();
        wait_until(|| server.requests_received() == 5);
        let closed = closes.then(|| client.close());
        if closes {
            let refused = block_on(client.ask(Request::read("more")));
            assert_eq!(refused, Err(Error::Closed));
        }
        drop(client);
        server.release();
        let answers: Vec<String> = block_on(join_all(futures)).into_iter().map(text).collect();
        assert_eq!(answers, ["k0", "k1", "k2", "k3", "k4"]);
        block_on(async {
            match closed {
                Some(closed) => closed.await,
                None => while stats.changed().await.is_ok() {},
            }
        });
        let stats = stats.borrow().clone();
        assert_eq!((stats.phase, stats.served, stats.in_flight), (Phase::Closed, 5, 0));
        assert_eq!(server.requests_received(), 5);
    }
}

#[test]
fn requests_wait_for_the_first_list_within_their_deadlines_and_are_then_sent() {
    let server = Server::start(false);
    let list = format!(
        r#"{{"rev":1,"all":true,"targets":[{{"uid":"s","endpoint":"{}","model":"cache","az":"a","state":"up"}}]}}"#,
        server.peer.address()
    );
    let calls = Arc::new(Mutex::new(Vec::<Reply>::new()));
    let shared = calls.clone();
    let discovery = Scripted::start(move |_, reply| shared.lock().unwrap().push(reply)).unwrap();
    let settings = r#"{"zones":["a"],"host-types":["cache"],"request-classes":[{"name":"read","effect":"free","slo-s":30}]}"#;
    let client = Client::builder().settings_json(settings).unwrap().discovery(discovery.address());
    let mut client = client.start().unwrap();
    let read_within = |time| Request::read("k").within(Duration::from_millis(time));
    assert_eq!(block_on(client.ask(read_within(30))), Err(Error::Overdue { may_have_run: false }));
    let mut waiting = block_on(client.ready()).unwrap().call(read_within(60_000));
    assert!((&mut waiting).now_or_never().is_none());
    wait_until(|| client.stats().held == 1);
    assert!(
        client.clone().ready().now_or_never().is_some(),
        "requests that wait for the list do not use up all permits"
    );
    let response = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    wait_until(|| {
        // The plug-in repeats a call to discovery that was not answered in time.
        calls.lock().unwrap().drain(..).for_each(|reply| reply.send(response(&list)));
        client.stats().phase == Phase::Serving
    });
    assert_eq!((text(block_on(waiting)), server.requests_received()), ("k".into(), 1));
}

#[test]
fn many_short_lived_instances_open_few_connections_to_a_server() {
    const CONCURRENT: u64 = 20;
    let server = Server::start(false);
    // 120 instances, 20 at a time. Without the limit each would open a connection for each of its 16
    // requests.
    for round in 0..6 {
        let instances: Vec<Client> =
            (0..CONCURRENT).map(|n| server.builder().copies(120).seed(n).start().unwrap()).collect();
        let requests = instances
            .iter()
            .flat_map(|instance| (0..16).map(move |n| instance.ask(Request::read(format!("r{round}k{n}")))));
        let answers = block_on(join_all(requests));
        assert!(answers.iter().all(Result::is_ok), "{answers:?}");
        for instance in &instances {
            wait_until(|| instance.stats().served == 16);
            // One connection, and replacements for connections that stall, as on a busy machine.
            assert!(instance.stats().connects <= 4, "{:?}", instance.stats());
        }
        // Instances that stay close their idle connections soon; instances that end close them at once.
        if round == 0 {
            instances.iter().for_each(|instance| wait_until(|| instance.stats().connections == 0));
        }
        block_on(join_all(instances.iter().map(Client::close)));
    }
}

#[test]
fn request_ids_differ_between_calls_and_between_instances_with_one_seed() {
    let server = Server::start(false);
    let instances = [server.client(), server.client()];
    let request = Request::read("k");
    for _ in 0..50 {
        instances.iter().for_each(|instance| assert_eq!(text(block_on(instance.ask(request.clone()))), "k"));
    }
    let ids: BTreeSet<String> = server.state().received.iter().map(|asked| asked.id.clone()).collect();
    assert_eq!(ids.len(), 100);
}

#[test]
fn invalid_requests_release_their_permit_and_invalid_configurations_are_reported() {
    let server = Server::start(false);
    let client = server.builder().in_flight(1).start().unwrap();
    for (request, reason) in [
        (Request::read("k").class("none"), BadRequest::UnknownClass),
        (Request::read(""), BadRequest::Command("bad key")),
        (Request::read("a b"), BadRequest::Command("control character")),
        (Request::write("k", "v").idempotency("a,b"), BadRequest::Command("bad list")),
    ] {
        assert_eq!(block_on(client.ask(request)), Err(Error::BadRequest(reason)));
    }
    assert_eq!(text(block_on(client.ask(Request::read("k")))), "k", "the only permit is free again");
    let address = server.peer.address();
    let read =
        || Client::builder().class("read", Class { latency_target: 1, ..Class::default() }, TEST_TIMEOUT);
    let cases: [(Builder, &str); 7] = [
        (
            Client::builder().class("r", Class::default(), TEST_TIMEOUT).discovery(address),
            "class \"r\" has no latency target",
        ),
        (Client::builder().discovery(address), "no request classes: give `settings` or `class`"),
        (read(), "no members: give `discovery` or `members`"),
        (read().discovery(address).copies(0), "copies must be more than 0"),
        (read().discovery(address).in_flight(0), "in_flight must be more than 0"),
        (read().discovery(address).zone("b"), "unknown zone \"b\""),
        (read().discovery(address).known("{"), "bad list of known members: bad JSON"),
    ];
    for (builder, expected) in cases {
        let error: StartError = builder.start().unwrap_err();
        assert!(error.to_string().starts_with(expected), "{error}");
    }
    assert!(Client::builder().settings_json("{").is_err());
}
