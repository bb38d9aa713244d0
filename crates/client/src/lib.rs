//! The plug-in: the engine of a lapisrudder node inside a service, behind [tower](tower_service)'s `Service`.
//!
//! A service that uses cache servers ("rooster servers") through a node pays for a hop. With the plug-in it asks them
//! itself, and keeps what the node gives: a key's server is the one that all nodes and copies agree on, cold servers
//! are spared, further attempts keep to a budget, drains are kept to, a write that may have run is not sent again,
//! and each request gets one answer by its deadline.
//!
//! # An example
//!
//! ```
//! use lapisrudder_client::{Class, Client, FixedMember, Request, Response};
//! use std::time::Duration;
//!
//! # let server = lapisrudder_lab::stand::Scripted::answering(|asked| {
//! #     Some(format!("VA 2 O{} h1\r\nhi\r\n", asked.id))
//! # })?;
//! # let address = server.address();
//! # futures_executor::block_on(async {
//! let read = Class { latency_target: 750_000, worth: 1.0, ..Class::default() };
//! let client = Client::builder()
//!     .name("lessons")
//!     // Or `discovery(address)`, which follows the list of members.
//!     .members([FixedMember::cache("s-1", address)])
//!     // Or `settings_json(text)`, with all classes as nodes have them.
//!     .class("read", read, Duration::from_millis(900))
//!     .copies(3)
//!     .start()?;
//!
//! let request = Request::read("teacher-12").class("read").within(Duration::from_millis(480));
//! assert_eq!(client.ask(request).await?, Response::Value("hi".into()));
//! client.close().await;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! # })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! [`Client`] is a tower `Service<Request>`, so that tower's layers go round it: timeouts, limits, retries, tracing.
//! It works on any async runtime, and on none.
//!
//! # What it promises
//!
//! - **One answer for each request**: the future of a call ends with a [`Response`] of a server that made it for this
//!   request, or with an [`Error`] that tells whether it may have run; at the latest 10 ms after its deadline, unless
//!   thread or runtime are late themselves.
//! - **Dropping a future calls its request off**, whether it was written or not.
//! - **Back-pressure**: [`poll_ready`](tower_service::Service::poll_ready) waits, first come, first served, while as
//!   many requests are in flight as the [builder](Builder::in_flight) allows. An answer counts until its caller has
//!   taken it, so that nothing piles up while a runtime stalls.
//! - **No list yet**: until discovery has answered for the first time, requests wait within their deadlines, and end
//!   as [`Error::Overdue`] that has not run. [`Client::listed`] tells when there is a list. Once there is one, a list
//!   without a usable server refuses requests at once.
//! - **The end**: [`Client::close`] and the drop of the last clone take no more, and answer all that was taken.
//!
//! # What it is not
//!
//! Not a cache, and not a pool for other protocols. It does not retry what a caller should decide on: a refused
//! request, or a write that may have run. It does nothing after a `fork`: the child's calls end as
//! [`Error::Closed`]; a service that forks starts its plug-in afterwards.
//!
//! # How it runs
//!
//! One thread, started by [`Builder::start`], has the engine, all sockets, and the watch on discovery; nothing is
//! started for a request. Callers put requests on its queue and wait on a channel each; the thread wakes them by
//! their [wakers](std::task::Waker). [`Client::stats`] and [`Client::watch`] show what it does, and it speaks in
//! [`tracing`] events: a span `lapisrudder` for each request at debug level, and warnings of servers and discovery.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod builder;
mod client;
mod future;
mod queue;
mod request;
mod response;
mod share;
mod stats;
mod thread;

pub use builder::{Builder, FixedMember, StartError};
pub use client::Client;
pub use future::ResponseFuture;
pub use lapisrudder_config::Options;
pub use lapisrudder_decisions::{Class, Effect, Group};
pub use request::Request;
pub use response::{BadRequest, Error, Response};
pub use stats::{MemberStats, Phase, Stats};
