//! States of clients' connections for logs.

use crate::net::client::Client;
use lapisrudder_limits::Activity;
use std::fmt;

/// Number of connections in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionStates {
    idle: usize,
    unfinished: usize,
    pending: usize,
    over: usize,
    /// How many of these are to be handed to another process.
    leaving: usize,
}

impl ConnectionStates {
    /// Counts one connection.
    pub fn count(&mut self, client: &Client) {
        let state = match client.activity() {
            Activity::Idle => &mut self.idle,
            Activity::Unfinished => &mut self.unfinished,
            Activity::Pending => &mut self.pending,
            Activity::Closing => &mut self.over,
        };
        *state += 1;
        self.leaving += usize::from(client.leaving);
    }
}

impl fmt::Display for ConnectionStates {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConnectionStates { idle, unfinished, pending, over, leaving } = self;
        write!(f, "idle {idle}, unfinished {unfinished}, owed {pending}, over {over}, leaving {leaving}")
    }
}
