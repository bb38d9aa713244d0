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

#![allow(dead_code)] // Until the server that joins them is in.

mod books;
mod config;
mod dist;
mod error;
mod message;
mod objects;
mod records;
mod station;
mod time;
mod warmth;

pub use books::Books;
pub use config::{
    Abandoned, CacheConfig, Choke, Class, Connections, Eviction, Machine, OriginConfig, Overdriven, Pauses,
    Sizes, Tip, WarmUp, Writes,
};
pub use dist::Dist;
pub use error::ConfigError;
pub use message::{
    Act, Answer, Answered, BusyReason, CloseKind, ConnId, Effect, Event, Fault, Kind, Noise, NoiseSet, Note,
    Order, Request, State,
};
pub use records::Ledger;
