//! The protocols of clients, cache servers, origin and discovery: incremental parsers and writers over byte
//! slices, one module a protocol.
//!
//! No sockets and no clock, and nothing is decided here: who asks whom is the caller's matter.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

pub mod catalog;
pub mod http;
pub mod management;
pub mod memcache;
pub mod spoil;
