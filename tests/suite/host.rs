//! The two hosts of the engine, as the suite sees them: the daemon's process through its memcache front, and the
//! plug-in inside this one.

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

/// What is asked, in terms that both fronts have.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: String,
    pub key: String,
    pub class: &'static str,
    pub wait_ms: u64,
    /// The value of a write.
    pub value: Option<String>,
    pub idempotency: Option<String>,
}

impl Ask {
    /// A read of the key that the world holds for this id.
    pub fn read(id: &str, wait_ms: u64) -> Ask {
        let key = format!("k{id}");
        Ask { id: id.into(), key, class: "read", wait_ms, value: None, idempotency: None }
    }

    /// A write under an idempotency key.
    pub fn book(id: &str, key: &str, value: &str, idempotency: &str) -> Ask {
        let (key, idempotency) = (key.into(), Some(idempotency.into()));
        Ask { key, class: "put", value: Some(value.into()), idempotency, ..Ask::read(id, 5000) }
    }
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// A value: who made it for this very request ([`by`]), or its text.
    Served(String),
    Receipt(String),
    Refused,
    Failed,
    Bad(String),
    /// The host is over.
    Over,
}

impl Said {
    /// Turned away or failed: no answer of a server.
    pub fn without(&self) -> bool {
        matches!(self, Said::Refused | Said::Failed)
    }
}

/// The answer that a server of that name made for a read of that id.
pub fn served(uid: &str, id: &str) -> Said {
    Said::Served(value_from(uid, id))
}

/// Somebody who asks, one request after another or several at once.
pub trait Caller {
    fn send(&mut self, ask: &Ask);

    /// The answer to the first request that has none yet.
    fn answer(&mut self) -> Said;

    fn ask(&mut self, ask: &Ask) -> Said {
        self.send(ask);
        self.answer()
    }

    fn read(&mut self, id: &str, wait_ms: u64) -> Said {
        self.ask(&Ask::read(id, wait_ms))
    }
}

/// A host of the engine.
pub trait Host: Sized {
    type Caller: Caller + Send;

    /// Starts one that asks for its list there. It may have none when this returns.
    fn begin(discovery: SocketAddr) -> Self;

    /// Waits until it has a list with a member.
    fn ready(&self);

    fn caller(&self) -> Self::Caller;

    /// Has it end, without a wait.
    fn stop(&mut self);

    /// Waits until it has ended well.
    fn ended(self);

    fn told_by(discovery: SocketAddr) -> Self {
        let host = Self::begin(discovery);
        host.ready();
        host
    }

    fn start(world: &World<Books>) -> Self {
        Self::told_by(world.addresses().discovery(0).expect("discovery"))
    }
}

// ---- The daemon -----------------------------------------------------------------------------------------

pub struct Daemon(Node);

impl Host for Daemon {
    type Caller = Client;

    fn begin(discovery: SocketAddr) -> Daemon {
        Daemon(Node::spawn(discovery, 1024))
    }

    fn ready(&self) {
        self.0.wait_ready();
    }

    fn caller(&self) -> Client {
        self.0.client()
    }

    fn stop(&mut self) {
        self.0.signal("-TERM");
    }

    fn ended(mut self) {
        assert!(self.0.child.wait().expect("its end").success());
    }
}

impl Caller for Client {
    fn send(&mut self, ask: &Ask) {
        let Ask { id, key, class, wait_ms, value, idempotency } = ask;
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

    fn answer(&mut self) -> Said {
        let answer = Client::answer(self);
        let line = answer.trim_end();
        if let Some(what) = line.strip_prefix("CLIENT_ERROR ") {
            return Said::Bad(what.into());
        }
        match line.split(' ').next().unwrap_or_default() {
            "" => Said::Over,
            "value" => Said::Served(answer),
            "VA" => Said::Served(line.split_once("\r\n").expect("a value").1.into()),
            "HD" => Said::Receipt(line.rsplit_once(" c").expect("a receipt").1.into()),
            "SERVER_ERROR" if line.contains(" busy") => Said::Refused,
            _ => Said::Failed,
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

    /// What the suite's plug-ins are told.
    pub fn builder() -> plug_in::Builder {
        plug_in::Client::builder().settings_json(SETTINGS).expect("settings")
    }
}

impl Host for PlugIn {
    type Caller = Asker;

    fn begin(discovery: SocketAddr) -> PlugIn {
        PlugIn::of(PlugIn::builder().discovery(discovery).start().expect("a plug-in"))
    }

    fn ready(&self) {
        wait(self.client.listed()).expect("a list");
    }

    fn caller(&self) -> Asker {
        Asker { client: self.client.clone(), out: VecDeque::new() }
    }

    fn stop(&mut self) {
        let closed = self.client.close();
        self.closing = Some(thread::spawn(move || wait(closed)));
    }

    fn ended(mut self) {
        self.closing.take().expect("told to stop").join().expect("its end");
        assert_eq!(self.client.stats().phase, plug_in::Phase::Closed);
    }
}

/// A clone of the plug-in, and the futures that it waits for.
pub struct Asker {
    pub client: plug_in::Client,
    pub out: VecDeque<(String, ResponseFuture)>,
}

impl Caller for Asker {
    fn send(&mut self, ask: &Ask) {
        let mut request = match &ask.value {
            None => Request::read(ask.key.clone()),
            Some(value) => Request::write(ask.key.clone(), value.clone()),
        };
        if let Some(key) = &ask.idempotency {
            request = request.idempotency(key.clone());
        }
        let request = request.id(ask.id.clone()).class(ask.class);
        let request = request.within(std::time::Duration::from_millis(ask.wait_ms));
        // A closed one says so to the call, too.
        let _ = wait(poll_fn(|cx| self.client.poll_ready(cx)));
        self.out.push_back((ask.id.clone(), self.client.call(request)));
    }

    fn answer(&mut self) -> Said {
        let (id, future) = self.out.pop_front().expect("a request");
        match wait(future) {
            Ok(Response::Value(value)) => Said::Served(match maker(&value, &id) {
                Some(uid) => value_from(uid, &id),
                None => String::from_utf8_lossy(&value).into_owned(),
            }),
            Ok(Response::Receipt(receipt)) => Said::Receipt(String::from_utf8_lossy(&receipt).into_owned()),
            Err(plug_in::Error::Refused { .. }) => Said::Refused,
            Err(plug_in::Error::Failed { .. } | plug_in::Error::Overdue { .. }) => Said::Failed,
            Err(plug_in::Error::BadRequest(what)) => Said::Bad(what.to_string()),
            Err(plug_in::Error::Closed) => Said::Over,
            Err(other) => panic!("{other}"),
        }
    }
}

/// Wakes a thread that waits for a future: the least that a runtime can be.
struct Unpark(Thread);

impl Wake for Unpark {
    fn wake(self: Arc<Self>) {
        self.0.unpark();
    }
}

/// Waits for a future, though not for ever.
pub fn wait<F: Future>(future: F) -> F::Output {
    let waker = Waker::from(Arc::new(Unpark(thread::current())));
    let (mut future, begun) = (pin!(future), Instant::now());
    loop {
        if let Poll::Ready(output) = future.as_mut().poll(&mut Context::from_waker(&waker)) {
            return output;
        }
        let left = TEST_TIMEOUT.checked_sub(begun.elapsed()).expect("it ends");
        thread::park_timeout(left);
    }
}
