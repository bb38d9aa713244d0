//! A node's watch on discovery without I/O: what `src/net/discovery.rs` of the daemon decides, apart from its sockets.
//! One call after another on one connection, as long as it answers.

use crate::Micros;
use lapisrudder_codec::http;
use lapisrudder_config::{MemberList, Options, Target};
use lapisrudder_decisions::Scope;
use std::net::SocketAddr;

/// A watch is answered after this long, news or none.
pub(super) const HOLD: Micros = 4_000_000;
/// How much longer an answer is waited for.
pub(super) const GRACE: Micros = 1_500_000;
/// Answers longer than this are not read.
const LONGEST: usize = 4 << 20;

/// News of the list, or that a call failed.
#[derive(Debug)]
pub(super) enum News {
    List { scope: Scope, targets: Vec<Target> },
    Failed,
}

/// What its host has to do, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Do {
    /// Connect to discovery, then tell [`Watch::up`] or [`Watch::not_up`].
    Connect(SocketAddr),
    /// Write what [`Watch::transmit`] gives, as soon as it is up.
    Write,
    /// Close the connection.
    Close,
}

pub(super) struct Watch {
    at: SocketAddr,
    connected: bool,
    up: bool,
    calls: u32,
    output: Vec<u8>,
    sent: usize,
    input: Vec<u8>,
    /// A call is out until then.
    deadline: Option<Micros>,
    revision: Option<u64>,
    pub(super) todo: Vec<Do>,
}

impl Watch {
    pub(super) fn new(at: SocketAddr, revision: Option<u64>) -> Watch {
        Watch {
            at,
            connected: false,
            up: false,
            calls: 0,
            output: Vec::new(),
            sent: 0,
            input: Vec::new(),
            deadline: None,
            revision,
            todo: Vec::new(),
        }
    }

    pub(super) fn next(&self) -> Option<Micros> {
        self.deadline
    }

    /// Goes to another address, and asks for all of the list there.
    pub(super) fn move_to(&mut self, at: SocketAddr, now: Micros) {
        self.drop_socket();
        (self.at, self.revision, self.deadline) = (at, None, None);
        self.watch(now);
    }

    /// Begins a watch, unless one is out.
    pub(super) fn watch(&mut self, now: Micros) {
        if self.deadline.is_some() {
            return;
        }
        let hold = if self.revision.is_some() { HOLD } else { 0 };
        self.deadline = Some(now + hold + GRACE);
        self.call();
    }

    fn call(&mut self) {
        let path = match self.revision {
            Some(revision) => format!("/catalog/members?from={revision}&hold_ms={}", HOLD / 1000),
            None => "/catalog/members".to_string(),
        };
        self.output.clear();
        http::write_get(&path, self.at, &mut self.output);
        (self.sent, self.calls) = (0, self.calls + 1);
        self.input.clear();
        if !self.connected {
            self.calls = 1;
            (self.connected, self.up) = (true, false);
            self.todo.push(Do::Connect(self.at));
        } else if self.up {
            self.todo.push(Do::Write);
        }
    }

    pub(super) fn transmit(&self) -> &[u8] {
        self.output.get(self.sent..).unwrap_or_default()
    }

    pub(super) fn transmitted(&mut self, bytes: usize) {
        self.sent += bytes;
    }

    /// Its connection may be written to.
    pub(super) fn up(&mut self) {
        self.up = true;
        if !self.transmit().is_empty() {
            self.todo.push(Do::Write);
        }
    }

    pub(super) fn not_up(&mut self) -> News {
        self.fail()
    }

    /// Bytes have come, or the end of the stream.
    pub(super) fn received(
        &mut self,
        bytes: &[u8],
        ended: bool,
        options: &Options,
        now: Micros,
    ) -> Option<News> {
        if !self.connected {
            return None;
        }
        self.input.extend_from_slice(bytes);
        if self.deadline.is_none() {
            // Nothing is asked: it closed an idle connection, or spoke out of turn.
            self.drop_socket();
            return None;
        }
        let (status, keep, mut body) = match http::parse_response(&self.input, ended, LONGEST) {
            Ok(Some((response, _))) => (response.status, response.keep, response.body.into_owned()),
            Ok(None) if ended => return self.broken(),
            Ok(None) => return None,
            Err(_) => return Some(self.fail()),
        };
        if ended || !keep {
            self.drop_socket();
        }
        if status != 200 {
            return Some(self.fail());
        }
        Some(match MemberList::decode(&mut body, options) {
            Ok(MemberList { revision, all, targets }) => {
                self.revision = Some(revision);
                self.deadline = None;
                let scope = if all { Scope::Full } else { Scope::Changes };
                // A watch goes on only if the next call comes at once.
                self.watch(now);
                News::List { scope, targets }
            }
            Err(_) => {
                // The same version would only bring the same answer: next time all of the list.
                self.revision = None;
                self.fail()
            }
        })
    }

    /// A connection that was kept from an earlier call may have been closed meanwhile; a new one is tried once.
    fn broken(&mut self) -> Option<News> {
        if self.calls > 1 && self.input.is_empty() {
            self.drop_socket();
            self.call();
            return None;
        }
        Some(self.fail())
    }

    pub(super) fn on_deadline(&mut self) -> News {
        self.fail()
    }

    fn fail(&mut self) -> News {
        self.drop_socket();
        self.deadline = None;
        News::Failed
    }

    fn drop_socket(&mut self) {
        if std::mem::take(&mut self.connected) {
            self.todo.push(Do::Close);
        }
        self.up = false;
    }
}
