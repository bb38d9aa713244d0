//! What a served read costs a node, against a plain byte relay in the same run.

mod ask;
mod peers;

pub use ask::{AskError, Shape};
pub use peers::relay;
