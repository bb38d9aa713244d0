//! States of clients' connections, as logs tell of them.

use crate::net::client::Client;
use lapisrudder_limits::Activity;
use std::fmt;

/// How many connections there are in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionStates {
    idle: usize,
    unfinished: usize,
    owed: usize,
    over: usize,
    /// Of these, so many go to another process.
    leaving: usize,
}

impl ConnectionStates {
    /// Counts one more.
    pub fn count(&mut self, client: &Client) {
        let state = match client.activity() {
            Activity::Idle => &mut self.idle,
            Activity::Unfinished => &mut self.unfinished,
            Activity::Pending => &mut self.owed,
            Activity::Closing => &mut self.over,
        };
        *state += 1;
        self.leaving += usize::from(client.leaving);
    }
}

impl fmt::Display for ConnectionStates {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConnectionStates { idle, unfinished, owed, over, leaving } = self;
        write!(f, "idle {idle}, unfinished {unfinished}, owed {owed}, over {over}, leaving {leaving}")
    }
}
