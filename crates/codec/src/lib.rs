//! The protocols of clients, cache servers, the origin, discovery and management: incremental parsers and
//! writers over byte slices, one module per protocol.
//!
//! The crate has no sockets, no clock and no policy: callers read and write the bytes, and decide what is
//! sent where.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

pub mod catalog;
pub mod corrupt;
pub mod http;
pub mod management;
pub mod memcache;
