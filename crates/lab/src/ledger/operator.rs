//! The operators' side: calls on a node's second address.

use super::{NodeNo, ServerNo};
use serde::{Deserialize, Serialize};

/// What an operator asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Whether the process is ready to serve.
    Status,
    /// Take that server out; no number stands for an id that was never listed.
    Out(Option<ServerNo>),
    /// It may serve again; the same.
    Back(Option<ServerNo>),
    /// Drain.
    Standby,
    /// End of the drain.
    Active,
    /// Nothing, or half a call: no answer is owed.
    Nothing,
}

/// What an operator did or saw. `call` numbers the calls of a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum OperatorEvent {
    /// The call was written whole.
    Called {
        /// Its number.
        call: u32,
        /// To this node.
        node: NodeNo,
        /// What it was.
        asks: Call,
    },
    /// The whole answer was read.
    Answered {
        /// The call.
        call: u32,
        /// It begins with `ok`, and not with `fail`.
        ok: bool,
    },
}

impl OperatorEvent {
    /// The call's number.
    pub fn call(&self) -> u32 {
        match *self {
            Self::Called { call, .. } | Self::Answered { call, .. } => call,
        }
    }
}
