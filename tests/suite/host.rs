//! The two hosts of the engine under one interface: the daemon's process through its memcache front-end, and
//! the plug-in in the test's process.

use crate::harness::{Client, Node, SETTINGS, TEST_TIMEOUT, maker, value_from};
use lapisrudder_client::{self as plug_in, Request, Response, ResponseFuture};
use lapisrudder_lab::stand::{Books, World};
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use std::thread::{self, JoinHandle, Thread};
use std::time::Instant;
use tower_service::Service;

/// A request, in terms that both hosts support.
#[derive(Clone, Debug)]
pub struct TestCall {
    pub id: String,
    pub key: String,
    pub class: &'static str,
    pub wait_ms: u64,
    /// The value to write; none for a read.
    pub value: Option<String>,
    pub idempotency: Option<String>,
}

impl TestCall {
    /// A read of the key that the world's servers hold for this id.
    pub fn read(id: &str, wait_ms: u64) -> TestCall {
        let key = format!("k{id}");
        TestCall { id: id.into(), key, class: "read", wait_ms, value: None, idempotency: None }
    }

    /// A write under an idempotency key.
    pub fn write(id: &str, key: &str, value: &str, idempotency: &str) -> TestCall {
        let (key, idempotency) = (key.into(), Some(idempotency.into()));
        TestCall { key, class: "put", value: Some(value.into()), idempotency, ..TestCall::read(id, 5000) }
    }
}

/// The final answer of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A value: as text, or if a server made it for this request, the server and the id ([`value_from`]).
    Served(String),
    Receipt(String),
    Refused,
    Failed,
    BadRequest(String),
    /// The host has closed the connection or ended.
    Closed,
}

impl FinalAnswer {
    /// Refused or failed: there is no answer of a server.
    pub fn is_unserved(&self) -> bool {
        matches!(self, FinalAnswer::Refused | FinalAnswer::Failed)
    }
}

/// The answer of the server `uid` to the read `id`.
pub fn served(uid: &str, id: &str) -> FinalAnswer {
    FinalAnswer::Served(value_from(uid, id))
}

/// A client that sends requests, one after another or pipelined.
pub trait TestClient {
    fn send(&mut self, call: &TestCall);

    /// The answer to the earliest request without one.
    fn answer(&mut self) -> FinalAnswer;

    fn call(&mut self, call: &TestCall) -> FinalAnswer {
        self.send(call);
        self.answer()
    }

    fn read(&mut self, id: &str, wait_ms: u64) -> FinalAnswer {
        self.call(&TestCall::read(id, wait_ms))
    }
}

/// A host of the engine.
pub trait Host: Sized {
    type TestClient: TestClient + Send;

    /// Starts a host that uses this discovery server, without waiting for its list.
    fn begin(discovery: SocketAddr) -> Self;

    /// Waits until the host has a list with a member.
    fn ready(&self);

    fn client(&self) -> Self::TestClient;

    /// Asks the host to stop, without waiting for its end.
    fn stop(&mut self);

    /// Waits until the host has ended without an error.
    fn wait_for_exit(self);

    fn with_discovery(discovery: SocketAddr) -> Self {
        let host = Self::begin(discovery);
        host.ready();
        host
    }

    fn start(world: &World<Books>) -> Self {
        Self::with_discovery(world.addresses().discovery(0).expect("discovery"))
    }
}

// ---- The daemon -----------------------------------------------------------------------------------------

pub struct Daemon(Node);

impl Host for Daemon {
    type TestClient = Client;

    fn begin(discovery: SocketAddr) -> Daemon {
        Daemon(Node::spawn(discovery, 1024))
    }

    fn ready(&self) {
        self.0.wait_ready();
    }

    fn client(&self) -> Client {
        self.0.client()
    }

    fn stop(&mut self) {
        self.0.signal("-TERM");
    }

    fn wait_for_exit(mut self) {
        assert!(self.0.child.wait().expect("the daemon ends").success());
    }
}

impl TestClient for Client {
    fn send(&mut self, call: &TestCall) {
        let TestCall { id, key, class, wait_ms, value, idempotency } = call;
        let keyed = idempotency.as_ref().map(|k| format!(",k={k}")).unwrap_or_default();
        match value {
            None => Client::send(self, format!("mg {key} v O{id} Pc={class},d={wait_ms}{keyed}\r\n")),
            Some(value) => {
                let size = value.len();
                let text = format!("ms {key} {size} O{id} Pc={class},d={wait_ms}{keyed}\r\n{value}\r\n");
                Client::send(self, &text);
            }
        }
    }

    fn answer(&mut self) -> FinalAnswer {
        let answer = Client::answer(self);
        let line = answer.trim_end();
        if let Some(what) = line.strip_prefix("CLIENT_ERROR ") {
            return FinalAnswer::BadRequest(what.into());
        }
        match line.split(' ').next().unwrap_or_default() {
            "" => FinalAnswer::Closed,
            "value" => FinalAnswer::Served(answer),
            "VA" => FinalAnswer::Served(line.split_once("\r\n").expect("a value").1.into()),
            "HD" => FinalAnswer::Receipt(line.rsplit_once(" c").expect("a receipt").1.into()),
            "SERVER_ERROR" if line.contains(" busy") => FinalAnswer::Refused,
            _ => FinalAnswer::Failed,
        }
    }
}

// ---- The plug-in ----------------------------------------------------------------------------------------

pub struct PlugIn {
    client: plug_in::Client,
    closing: Option<JoinHandle<()>>,
}

impl PlugIn {
    pub fn of(client: plug_in::Client) -> PlugIn {
        PlugIn { client, closing: None }
    }

    /// A builder with the settings of these tests.
    pub fn builder() -> plug_in::Builder {
        plug_in::Client::builder().settings_json(SETTINGS).expect("settings")
    }
}

impl Host for PlugIn {
    type TestClient = PlugInClient;

    fn begin(discovery: SocketAddr) -> PlugIn {
        PlugIn::of(PlugIn::builder().discovery(discovery).start().expect("a plug-in"))
    }

    fn ready(&self) {
        wait(self.client.listed()).expect("a list");
    }

    fn client(&self) -> PlugInClient {
        PlugInClient { client: self.client.clone(), out: VecDeque::new() }
    }

    fn stop(&mut self) {
        let closed = self.client.close();
        self.closing = Some(thread::spawn(move || wait(closed)));
    }

    fn wait_for_exit(mut self) {
        self.closing.take().expect("stop was called").join().expect("the plug-in ends");
        assert_eq!(self.client.stats().phase, plug_in::Phase::Closed);
    }
}

/// A clone of the plug-in, and the futures of its pending requests by id.
pub struct PlugInClient {
    pub client: plug_in::Client,
    pub out: VecDeque<(String, ResponseFuture)>,
}

impl TestClient for PlugInClient {
    fn send(&mut self, call: &TestCall) {
        let mut request = match &call.value {
            None => Request::read(call.key.clone()),
            Some(value) => Request::write(call.key.clone(), value.clone()),
        };
        if let Some(key) = &call.idempotency {
            request = request.idempotency(key.clone());
        }
        let request = request.id(call.id.clone()).class(call.class);
        let request = request.within(std::time::Duration::from_millis(call.wait_ms));
        // A closed plug-in is reported by the call below, too.
        let _ = wait(poll_fn(|cx| self.client.poll_ready(cx)));
        self.out.push_back((call.id.clone(), self.client.call(request)));
    }

    fn answer(&mut self) -> FinalAnswer {
        let (id, future) = self.out.pop_front().expect("a request");
        match wait(future) {
            Ok(Response::Value(value)) => FinalAnswer::Served(match maker(&value, &id) {
                Some(uid) => value_from(uid, &id),
                None => String::from_utf8_lossy(&value).into_owned(),
            }),
            Ok(Response::Receipt(receipt)) => {
                FinalAnswer::Receipt(String::from_utf8_lossy(&receipt).into_owned())
            }
            Err(plug_in::Error::Refused { .. }) => FinalAnswer::Refused,
            Err(plug_in::Error::Failed { .. } | plug_in::Error::Overdue { .. }) => FinalAnswer::Failed,
            Err(plug_in::Error::BadRequest(what)) => FinalAnswer::BadRequest(what.to_string()),
            Err(plug_in::Error::Closed) => FinalAnswer::Closed,
            Err(other) => panic!("{other}"),
        }
    }
}

/// Unparks a thread that waits for a future: a minimal runtime.
struct Unpark(Thread);

impl Wake for Unpark {
    fn wake(self: Arc<Self>) {
        self.0.unpark();
    }
}

/// Waits for a future, up to a time limit.
pub fn wait<F: Future>(future: F) -> F::Output {
    let waker = Waker::from(Arc::new(Unpark(thread::current())));
    let (mut future, begun) = (pin!(future), Instant::now());
    loop {
        if let Poll::Ready(output) = future.as_mut().poll(&mut Context::from_waker(&waker)) {
            return output;
        }
        let left = TEST_TIMEOUT.checked_sub(begun.elapsed()).expect("the future completes in time");
        thread::park_timeout(left);
    }
}
