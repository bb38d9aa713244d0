//! What people would use instead of a node: a client library that goes straight to the servers, and to the origin for
//! what they lack.
//!
//! [`Chooser`] is the policy, without I/O; [`Catalog`] the list of servers that discovery keeps. The load carries both
//! out over sockets.

mod catalog;
mod choose;

pub use catalog::{Catalog, CatalogError, Server};
pub use choose::Chooser;
