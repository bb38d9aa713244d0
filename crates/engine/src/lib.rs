//! The node's core apart from its sockets: transactions, server-side flows, pool members with the protocol state of
//! their connections, deadlines, and the decisions, behind one type, [`Engine`].
//!
//! In the manner of `quinn-proto`: what happened goes in with the time it happened, orders come out, and the caller
//! owns sockets, clock and loop. The daemon, the plug-in and a simulated day drive the same engine.
//!
//! # What the host owes
//!
//! A turn of its loop is:
//!
//! 1. **Read first.** Tell all that has come by now: [`connected`](Engine::connected),
//!    [`received`](Engine::received), [`ended`](Engine::ended), [`broken`](Engine::broken),
//!    [`writable`](Engine::writable), [`listed`](Engine::listed), [`list_failed`](Engine::list_failed),
//!    [`take`](Engine::take), [`left`](Engine::left); and [`wake`](Engine::wake) when
//!    [`next_wake`](Engine::next_wake) has come. A flow that goes out while its transaction's answer waits unread in
//!    a socket is work for nothing.
//! 2. **Then carry out** what [`poll_order`](Engine::poll_order) gives, each at once, until it gives none. Before a
//!    write the host tells which requests are open by its own record ([`check_write`](Engine::check_write)). What
//!    carrying out brings (a connect that fails, a write that does) is told at once, and may bring more orders.
//! 3. Wait until something happens or [`next_wake`](Engine::next_wake) has come.
//!
//! Time comes in with the calls, in microseconds on any clock that does not go back; members' start times and the
//! deadlines of requests are on the same clock. Answers of members come out while they are read, as slices of the
//! host's buffer, through [`Answers`]; all else comes out of `poll_order`. Each transaction that was taken gets one
//! final answer: by [`Answers::served`] or by [`Order::Answer`], unless the host said that its client has left.
//!
//! A host that is late breaks no rule: what it tells late counts from when it tells it, deadlines that have passed
//! meanwhile are swept before anything new is sent, and nothing piles up for the time in which it was silent.
//!
//! # An example
//!
//! ```
//! use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
//! use lapisrudder_decisions::{Class, Key, Listed, RequestId, Scope, ServerId, Settings};
//! use lapisrudder_engine::{Answer, Config, Engine, Member, Order, Request};
//!
//! let class = Class { aim: 750_000, worth: 1.0, ..Class::default() };
//! let settings = Settings {
//!     classes: vec![class], max_attempts: 3, siblings: 1, second_copies: true, ..Settings::default()
//! };
//! let mut engine = Engine::new(Config { settings, ..Config::default() }, 0);
//!
//! // Discovery names a member.
//! let listed = Listed { server: ServerId(7), weight: 1.0, ..Listed::default() };
//! let endpoint = ([127, 0, 0, 1], 11211).into();
//! engine.listed(Scope::Full, vec![Member { listed, endpoint }]);
//!
//! // A request is taken: the engine wants a connection.
//! let parts = RequestParts { key: b"teacher-12", id: b"a1", class: b"read", wait_ms: 900, ..RequestParts::default() };
//! let command = OwnedRequest::compose(&parts)?;
//! let request = Request::new(command, Key(12), 0, 900_000);
//! engine.take(10, RequestId(1), request)?;
//! let Some(Order::Connect { conn, to }) = engine.poll_order(10) else { panic!() };
//! assert_eq!((to, engine.poll_order(10)), (endpoint, None));
//!
//! // It has come up: the engine wants to write.
//! engine.connected(300, conn);
//! assert_eq!(engine.poll_order(300), Some(Order::Write { conn, look: true }));
//! let bytes: Vec<u8> = engine.transmit(conn).flatten().copied().collect();
//! assert_eq!(bytes, b"mg teacher-12 v Oa1 Pc=read,d=899\r\n");
//! engine.transmitted(conn, bytes.len());
//! assert_eq!(engine.poll_order(300), None);
//!
//! // The member answers; the value is a slice of the host's buffer.
//! let mut served = Vec::new();
//! let mut answers = |id: RequestId, _: &Request, answer: Answer| served.push((id, format!("{answer:?}")));
//! assert!(engine.received(800, conn, b"VA 2 Oa1 h1\r\nhi\r\n", &mut answers));
//! assert_eq!(served, [(RequestId(1), format!("{:?}", Answer::Value(b"hi")))]);
//! assert_eq!((engine.poll_order(800), engine.open()), (None, 0));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! # What it is not
//!
//! Not a front: it does not read clients' commands or word their answers. Not admission: how much is taken in, and
//! from whom, is the host's matter (`lapisrudder-limits`). Not discovery: the host
//! asks (the protocol of that is [`Watch`]), and tells the list. Not the
//! stop of a process: that is the host's, too.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod audit;
mod config;
mod connection;
mod deadlines;
mod engine;
mod flow;
mod generations;
mod order;
mod pool;
pub mod recorder;
mod request;
mod transactions;
mod watch;

pub use audit::Audit;
pub use config::{Config, Limits};
pub use deadlines::{Deadlines, Key as DeadlineKey};
pub use engine::{Answers, AttemptOut, Attempts, Engine, LONGEST_HELD, Member, OVERDUE, TakeError};
pub use order::{Answer, Conn, Final, Order};
pub use request::Request;
pub use watch::{Told, Watch, WatchNews, WatchOrder};
