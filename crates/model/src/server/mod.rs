//! Model of a cache server, and the parts that it shares with the origin: a machine with cores, a process
//! with slots and a bounded waiting queue, and a connection table.
//!
//! A [`Server`] does no I/O and reads no clock. [`Server::handle`] takes an event and its time,
//! [`Server::poll`] returns what the server does, and [`Server::next`] returns the latest time for the next
//! call. Time never goes backwards: an earlier time than the last one given is treated as the last one.
//! Whatever became due between two calls is carried out at its due time, which [`Order::at`] holds, so a
//! caller that polls late gets the same history.
//!
//! ```
//! use lapisrudder_model::server::{Act, Answer, CacheConfig, CacheServer, ConnId, Event, Kind, Request};
//! use lapisrudder_model::value::{self, Key, RequestId, Uid};
//!
//! let mut server = CacheServer::new(&CacheConfig::default(), Uid(7), 1, true, 0)?;
//! let conn = ConnId(1);
//! server.handle(0, Event::Connect(conn));
//! assert_eq!(server.poll(0).map(|order| order.act), Some(Act::Accepted(conn)));
//!
//! let key = Key::of(b"teacher-12");
//! server.handle(10, Event::Fill { key, version: 3, size: 2000 });
//! server.handle(20, Event::Request(Request {
//!     conn, key, id: RequestId(5), kind: Kind::Read, class: 0, size: 0, keyed: None, left_us: None,
//!     work_us: Some(150.0),
//! }));
//! assert_eq!((server.poll(20), server.next()), (None, Some(170)));
//!
//! // The caller polls late; the order still carries the time at which the answer was ready.
//! let order = server.poll(500).unwrap();
//! let Act::Answer(answered) = order.act else { panic!() };
//! let Answer::Hit { value } = answered.answer else { panic!() };
//! assert_eq!((order.at, value.version, value.request), (170, 3, Some(RequestId(5))));
//! assert_eq!(value::check(&value::make(&value), key), Ok(value));
//! # Ok::<(), lapisrudder_model::server::ConfigError>(())
//! ```
//!
//! The module contains no codec (requests and answers are typed; a driver reads and writes bytes), no network
//! (a connect or an answer takes no time on the way) and no fault plan (the caller sends the [`Fault`]s).

mod active_faults;
mod cache;
mod config;
mod dist;
mod error;
mod expiring;
mod flow;
pub(crate) mod host;
mod message;
mod objects;
pub(crate) mod records;
mod station;
mod stats;
mod storage;
mod table;
pub(crate) mod time;
pub(crate) mod warm_up;

pub use cache::{Cache, CacheServer};
pub use config::{
    Abandoned, CacheConfig, Class, ConcurrencyPenalty, Connections, Eviction, Machine, OriginConfig,
    OverloadOutage, OverloadThreshold, Pauses, Sizes, WarmUp, Writes,
};
pub use dist::Dist;
pub use error::ConfigError;
pub use host::Server;
pub use message::{
    Act, Answer, Answered, BusyReason, CloseKind, ConnId, Effect, Event, Fault, Kind, Noise, NoiseSet, Note,
    Order, Request, State,
};
pub use records::Ledger;
pub use stats::ServerStats;
pub use storage::{Begun, Found, Outbox, Storage};
