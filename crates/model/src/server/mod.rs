//! The cache server, and what it has in common with the origin: a machine with cores, a process with slots and a
//! waiting room, and a connection table.
//!
//! A [`Server`] is free of I/O and of the clock. [`Server::handle`] takes what happens with the time it happens,
//! [`Server::poll`] gives out what the server does, and [`Server::next`] tells when to call again at the latest.
//! Times never go back; an earlier one is taken as the last. Whatever fell due between two calls is carried out at
//! its own time, and [`Order::at`] tells it: a late caller does not change the history.
//!
//! What it is *not*: a codec (requests and answers are typed; a driver reads and writes bytes), a network (a connect
//! or an answer takes no time on the way), or a fault plan (somebody else sends [`Fault`]s).

mod books;
mod cache;
mod config;
mod dist;
mod error;
mod expiring;
mod flow;
pub(crate) mod host;
mod keeper;
mod message;
mod objects;
pub(crate) mod records;
mod station;
mod table;
pub(crate) mod time;
mod troubles;
pub(crate) mod warmth;

pub use books::Books;
pub use cache::{Cache, CacheServer};
pub use config::{
    Abandoned, CacheConfig, Choke, Class, Connections, Eviction, Machine, OriginConfig, Overdriven, Pauses,
    Sizes, Tip, WarmUp, Writes,
};
pub use dist::Dist;
pub use error::ConfigError;
pub use host::Server;
pub use keeper::{Begun, Found, Keeper, Outbox};
pub use message::{
    Act, Answer, Answered, BusyReason, CloseKind, ConnId, Effect, Event, Fault, Kind, Noise, NoiseSet, Note,
    Order, Request, State,
};
pub use records::Ledger;
