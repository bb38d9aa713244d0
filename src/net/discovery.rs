//! Discovery: one watch after another on one connection, as long as it answers.

use super::deadlines::{Deadline, Deadlines, Key};
use super::socket::{Handle, Owner, Socket};
use lapisrudder::{Micros, Scope};
use lapisrudder_codec::http;
use lapisrudder_config::{MemberList, Options, Target};
use std::io::IoSlice;
use std::net::SocketAddr;
use tracing::{info, warn};

/// A watch is answered after this long, news or none. Short, since a silent discovery is noticed only then.
const HOLD: Micros = 4_000_000;
/// How much longer an answer is waited for. What is told counts as told 2 s after the hold.
const GRACE: Micros = 1_500_000;
/// Answers longer than this are not read.
const LONGEST: usize = 4 << 20;

/// News of the list, or that a call failed.
pub enum News {
    List { scope: Scope, targets: Vec<Target> },
    Failed,
}

pub struct Discovery {
    at: SocketAddr,
    path: &'static str,
    handle: Handle,
    socket: Option<Socket>,
    /// Calls made on this connection.
    calls: u32,
    output: Vec<u8>,
    sent: usize,
    input: Vec<u8>,
    /// A call is out until then.
    deadline: Option<Key>,
    /// The list in hand; `None` asks for all of it.
    revision: Option<u64>,
    /// Calls that failed since the last that did not.
    failed: u32,
}

impl Discovery {
    pub fn new(at: SocketAddr, revision: u64, handle: &Handle) -> Discovery {
        Discovery {
            at,
            path: "/catalog/members",
            handle: handle.clone(),
            socket: None,
            calls: 0,
            output: Vec::new(),
            sent: 0,
            input: Vec::new(),
            deadline: None,
            revision: Some(revision).filter(|r| *r > 0),
            failed: 0,
        }
    }

    /// Goes to another address. Guards against a call to the old one that hangs: it is dropped, and all of the
    /// list is asked for at once, since nobody knows that versions count the same there.
    pub fn move_to(&mut self, at: SocketAddr, now: Micros, deadlines: &mut Deadlines) -> Option<News> {
        (self.at, self.socket, self.revision) = (at, None, None);
        deadlines.remove(self.deadline.take());
        self.watch(now, deadlines)
    }

    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// Begins a watch, unless one is out.
    pub fn watch(&mut self, now: Micros, deadlines: &mut Deadlines) -> Option<News> {
        if self.deadline.is_some() {
            return None;
        }
        let hold = if self.revision.is_some() { HOLD } else { 0 };
        self.deadline = Some(deadlines.add(now + hold + GRACE, Deadline::Discovery));
        self.call(deadlines)
    }

    fn call(&mut self, deadlines: &mut Deadlines) -> Option<News> {
        let path = match self.revision {
            Some(revision) => format!("{}?from={revision}&hold_ms={}", self.path, HOLD / 1000),
            None => self.path.to_string(),
        };
        self.output.clear();
        http::write_get(&path, self.at, &mut self.output);
        (self.sent, self.calls) = (0, self.calls + 1);
        self.input.clear();
        if self.socket.is_none() {
            self.calls = 1;
            match Socket::connect(self.at, &self.handle, Owner::Discovery) {
                Ok(socket) => self.socket = Some(socket),
                Err(e) => return Some(self.fail(format!("cannot connect: {e}"), deadlines)),
            }
        }
        self.flush(deadlines)
    }

    fn flush(&mut self, deadlines: &mut Deadlines) -> Option<News> {
        let Some(socket) = &self.socket else { return None };
        match socket.is_up() {
            Ok(true) => {}
            Ok(false) => return None,
            Err(e) => return Some(self.fail(format!("cannot connect: {e}"), deadlines)),
        }
        while self.sent < self.output.len() {
            match socket.write(&[IoSlice::new(&self.output[self.sent..])]) {
                Ok(0) => break,
                Ok(n) => self.sent += n,
                Err(e) => return self.broken(format!("cannot write: {e}"), deadlines),
            }
        }
        None
    }

    /// Its connection has something to tell.
    pub fn on_ready(
        &mut self,
        scratch: &mut [u8],
        options: &Options,
        now: Micros,
        deadlines: &mut Deadlines,
    ) -> Option<News> {
        if let Some(failed) = self.flush(deadlines) {
            return Some(failed);
        }
        loop {
            let ended = match self.socket.as_ref()?.read(scratch) {
                Ok(None) => return None,
                Ok(Some(0)) | Err(_) => true,
                Ok(Some(n)) => {
                    self.input.extend_from_slice(&scratch[..n]);
                    false
                }
            };
            if self.deadline.is_none() {
                // Nothing is asked: it closed an idle connection, or spoke out of turn.
                self.socket = None;
                return None;
            }
            let (status, keep, mut body) = match http::parse_response(&self.input, ended, LONGEST) {
                Ok(Some((response, _))) => (response.status, response.keep, response.body.into_owned()),
                Ok(None) if ended => return self.broken("it closed the connection".into(), deadlines),
                Ok(None) => continue,
                Err(what) => return Some(self.fail(what.into(), deadlines)),
            };
            if ended || !keep {
                self.socket = None;
            }
            if status != 200 {
                return Some(self.fail(format!("status {status}"), deadlines));
            }
            return Some(match MemberList::decode(&mut body, options) {
                Ok(MemberList { revision, all, targets }) => {
                    self.revision = Some(revision);
                    let failed = std::mem::take(&mut self.failed);
                    if failed > 0 {
                        info!(about = %self.at, failed, "discovery: answers again");
                    }
                    deadlines.remove(self.deadline.take());
                    let scope = if all { Scope::Full } else { Scope::Changes };
                    // A watch goes on only if the next call comes at once.
                    match self.watch(now, deadlines) {
                        Some(failed) => failed,
                        None => News::List { scope, targets },
                    }
                }
                Err(what) => {
                    // The same version would only bring the same answer: next time all of the list.
                    self.revision = None;
                    self.fail(format!("bad list, the old one is kept: {what}"), deadlines)
                }
            });
        }
    }

    /// A connection that was kept from an earlier call may have been closed meanwhile; a new one is tried once.
    fn broken(&mut self, what: String, deadlines: &mut Deadlines) -> Option<News> {
        if self.calls > 1 && self.input.is_empty() {
            self.socket = None;
            return self.call(deadlines);
        }
        Some(self.fail(what, deadlines))
    }

    pub fn on_deadline(&mut self, deadlines: &mut Deadlines) -> News {
        self.fail("no answer in time".into(), deadlines)
    }

    fn fail(&mut self, what: String, deadlines: &mut Deadlines) -> News {
        self.failed += 1;
        warn!(about = %self.at, "discovery: {what}");
        self.socket = None;
        deadlines.remove(self.deadline.take());
        News::Failed
    }
}
