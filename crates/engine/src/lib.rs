//! The node's core without its sockets: transactions, server-side flows, pool members with the protocol state
//! of their connections, deadlines, and the balancing decisions, behind one type, [`Engine`].
//!
//! It is a state machine without I/O, in the manner of `quinn-proto`: the caller, called the host, reports
//! each event with the time at which it happened, takes orders in return, and owns the sockets, the clock and
//! the event loop. The daemon, the plug-in and the simulator drive the same engine.
//!
//! # What the host has to do
//!
//! One iteration of its event loop is:
//!
//! 1. **Read first.** Report everything that has arrived: [`connected`](Engine::connected),
//!    [`received`](Engine::received), [`ended`](Engine::ended), [`broken`](Engine::broken),
//!    [`writable`](Engine::writable), [`listed`](Engine::listed), [`list_failed`](Engine::list_failed),
//!    [`take`](Engine::take), [`client_left`](Engine::client_left); and call [`wake`](Engine::wake) when
//!    [`next_wake`](Engine::next_wake) is due. A flow that is sent while the answer to its transaction waits
//!    unread in a socket is wasted work.
//! 2. **Then carry out** the orders of [`poll_order`](Engine::poll_order), each as soon as it is returned,
//!    until it returns none. Before a write the host states which requests are open by its own record
//!    ([`check_write`](Engine::check_write)). Results of an order (a failed connect, a finished write) are
//!    reported immediately, and may lead to more orders.
//! 3. Wait until a socket is ready or [`next_wake`](Engine::next_wake) is due.
//!
//! Time is an argument of the calls, in microseconds of any clock that never goes backwards; the start times
//! of members and the deadlines of requests use the same clock. Answers of members are passed on while they
//! are read, as slices of the host's buffer, through [`Answers`]; everything else is returned by
//! `poll_order`. Each transaction that was taken gets exactly one final answer, by [`Answers::served`] or by
//! [`Order::Answer`], unless the host has reported that its client has left.
//!
//! A host that is late breaks no rule: an event counts from the time at which it is reported, deadlines that
//! have passed in the meantime are handled before anything new is sent, and no work accumulates while the
//! host is stalled.
//!
//! # Example
//!
//! ```
//! use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
//! use lapisrudder_decisions::{Class, Key, Listed, RequestId, Scope, ServerId, Settings};
//! use lapisrudder_engine::{Answer, Config, Engine, Member, Order, Request};
//!
//! let class = Class { latency_target: 750_000, worth: 1.0, ..Class::default() };
//! let settings = Settings {
//!     classes: vec![class], max_attempts: 3, siblings: 1, second_copies: true, ..Settings::default()
//! };
//! let mut engine = Engine::new(Config { settings, ..Config::default() }, 0);
//!
//! // Discovery lists a member.
//! let listed = Listed { server: ServerId(7), weight: 1.0, ..Listed::default() };
//! let endpoint = ([127, 0, 0, 1], 11211).into();
//! engine.listed(Scope::Full, vec![Member { listed, endpoint }]);
//!
//! // A request is taken: the engine orders a connection.
//! let parts = RequestParts { key: b"teacher-12", id: b"a1", class: b"read", wait_ms: 900, ..RequestParts::default() };
//! let command = OwnedRequest::compose(&parts)?;
//! let request = Request::new(command, Key(12), 0, 900_000);
//! engine.take(10, RequestId(1), request)?;
//! let Some(Order::Connect { conn, to }) = engine.poll_order(10) else { panic!() };
//! assert_eq!((to, engine.poll_order(10)), (endpoint, None));
//!
//! // The connection is established: the engine orders a write.
//! engine.connected(300, conn);
//! assert_eq!(engine.poll_order(300), Some(Order::Write { conn, probe: true }));
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
//! assert_eq!((engine.poll_order(800), engine.open_count()), (None, 0));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! # What it does not do
//!
//! It does not parse the commands of clients or encode their answers. It does no admission control: how much
//! is accepted, and from whom, is the host's decision (`lapisrudder-limits`). It does not ask discovery: the
//! host does that (the protocol is [`Watch`]), and reports the list. It does not stop the process; the host
//! does.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod audit;
mod client_ids;
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
pub use client_ids::IdDigest;
pub use config::{Config, Limits};
pub use deadlines::{Deadlines, Key as DeadlineKey};
pub use engine::{
    Answers, Attempts, Engine, MAX_TRANSACTION_TIME, Member, OVERDUE_GRACE, OpenAttempt, TakeError,
};
pub use order::{Answer, Conn, Final, Order};
pub use request::Request;
pub use watch::{DiscoveryAnswer, Watch, WatchEvent, WatchOrder};
