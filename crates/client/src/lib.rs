//! The client-side plug-in: the engine of a lapisrudder node embedded in a service, behind
//! [tower](tower_service)'s `Service`.
//!
//! A service that reaches its cache servers through a node pays for a network hop. With the plug-in it sends
//! requests to the servers itself and keeps the guarantees of the node: all nodes and all instances of the
//! service agree on which server holds a key, servers with a cold cache get a reduced load, retries and
//! hedged attempts keep to a budget, draining servers get no new requests, a write that may have run is not
//! sent again, and each request gets one answer by its deadline.
//!
//! # Example
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
//!     // Or `discovery(address)`, which follows the list of members as it changes.
//!     .members([FixedMember::cache("s-1", address)])
//!     // Or `settings_json(text)`, with all request classes, in the format that nodes use.
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
//! [`Client`] is a tower `Service<Request>`, so tower's layers for timeouts, limits, retries and tracing can
//! be stacked on it. It works with any async runtime, and without one.
//!
//! # Guarantees
//!
//! - **One answer for each request**: the future of a call resolves to a [`Response`] that a server made for
//!   this request, or to an [`Error`] that says whether the request may have run. It resolves at the latest
//!   10 ms after the deadline, unless the plug-in's thread or the caller's runtime are delayed themselves.
//! - **Dropping a future cancels its request**, whether it was written to a server or not.
//! - **Back-pressure**: [`poll_ready`](tower_service::Service::poll_ready) waits, in first-in, first-out
//!   order, while as many requests are in flight as [`Builder::in_flight`] allows. A request counts as in
//!   flight until its caller has taken the answer, so that answers do not accumulate while a runtime stalls.
//! - **Before the first list of members**: until discovery has answered for the first time, requests wait
//!   within their deadlines; those whose deadlines pass end as [`Error::Overdue`] with `may_have_run: false`.
//!   [`Client::listed`] waits for a list. When the list has no usable server, requests are refused at once.
//! - **Shutdown**: after [`Client::close`], or after the last clone is dropped, no request is accepted, and
//!   all requests accepted before are answered.
//!
//! # Limitations
//!
//! The plug-in is not a cache, and not a connection pool for other protocols. It does not retry where the
//! caller has to decide: a refused request, or a write that may have run. It does not work in a forked child:
//! the child's calls end as [`Error::Closed`]; a service that forks starts its plug-in afterwards.
//!
//! # Implementation
//!
//! One thread, started by [`Builder::start`], owns the engine, all sockets, and the watch on discovery; no
//! thread or task is started for a request. Callers put requests on the thread's queue and wait on a channel
//! each; the thread wakes them by their [wakers](std::task::Waker). [`Client::stats`] and [`Client::watch`]
//! give its counters. It emits [`tracing`] events: a span `lapisrudder` for each request at debug level, and
//! warnings about servers and discovery.
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
