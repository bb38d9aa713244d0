//! The closed loop that measures: each connection has so many requests out at any time, and writes the next as soon as
//! an answer has come.

use crate::load::{Happening, Net};
use crate::stand::Clock;
use lapisrudder_codec::memcache::{Answer, parse_answer};
use lapisrudder_model::clients::Reader;
use lapisrudder_model::mix::mix;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// How requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Connections.
    pub connections: usize,
    /// Requests on each at any time.
    pub depth: usize,
}

/// Why reads cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    /// The loop.
    #[error("the measuring loop: {0}")]
    Loop(#[from] io::Error),
    /// A connection did not come up, or ended.
    #[error("a connection to {0} did not come up or was closed")]
    Closed(SocketAddr),
    /// An answer is not the one that is due.
    #[error("a read at {to} was not served: {why}")]
    NotServed {
        /// Where.
        to: SocketAddr,
        /// What came.
        why: String,
    },
    /// Nothing comes any more.
    #[error("reads at {0} are not answered")]
    Silent(SocketAddr),
}

/// Connections to one address with requests out.
pub(super) struct Asker {
    net: Net,
    clock: Clock,
    to: SocketAddr,
    /// Of each connection, the ids that are out.
    out: BTreeMap<u32, VecDeque<u64>>,
    shape: Shape,
    keys: u64,
    made: u64,
    answered: u64,
}

impl Asker {
    /// Connects; requests are for so many keys.
    pub(super) fn connect(to: SocketAddr, shape: Shape, keys: u64) -> Result<Self, AskError> {
        let clock = Clock::default();
        let mut net = Net::new(clock)?;
        let open = |_| (net.open(to, None, None, Reader::Full), VecDeque::new());
        let out = (0..shape.connections).map(open).collect();
        Ok(Self { net, clock, to, out, shape, keys: keys.max(1), made: 0, answered: 0 })
    }

    /// Asks for so long. Requests that are out at the end stay out, to go on with. How many were answered.
    pub(super) fn ask(&mut self, length: Duration) -> Result<u64, AskError> {
        let before = self.answered;
        let until = self.clock.now() + length.as_micros() as i64;
        let mut last = (self.clock.now(), self.answered);
        while self.clock.now() < until {
            self.net.turn(Duration::from_millis(100))?;
            while let Some((conn, what)) = self.net.next() {
                match what {
                    Happening::Up => self.send(conn, self.shape.depth),
                    Happening::Bytes => self.read(conn)?,
                    Happening::Wrote(_) => {}
                    Happening::NotUp(_) | Happening::Ended(_) => return Err(AskError::Closed(self.to)),
                }
            }
            if self.answered > last.1 {
                last = (self.clock.now(), self.answered);
            } else if self.clock.now() - last.0 > 5_000_000 {
                return Err(AskError::Silent(self.to));
            }
        }
        Ok(self.answered - before)
    }

    /// Writes so many requests at once.
    fn send(&mut self, conn: u32, many: usize) {
        let mut lines = Vec::with_capacity(many * 64);
        let Some(out) = self.out.get_mut(&conn) else { return };
        for _ in 0..many {
            self.made += 1;
            let id = mix(self.made);
            let key = mix(self.made.wrapping_mul(0x9e37_79b9)) % self.keys;
            lines.extend_from_slice(format!("mg {key:016x} v O{id:016x} Pc=read,d=4000\r\n").as_bytes());
            out.push_back(id);
        }
        if many > 0 {
            self.net.write(conn, &lines, None);
        }
    }

    fn read(&mut self, conn: u32) -> Result<(), AskError> {
        let mut next = 0;
        while let Some(id) = self.out.get(&conn).and_then(|out| out.front()) {
            let id = format!("{id:016x}");
            let not_served = |why: String| AskError::NotServed { to: self.to, why };
            match parse_answer(self.net.input(conn), id.as_bytes(), false) {
                Ok(None) => break,
                Ok(Some((Answer::Value { .. }, used))) => {
                    self.net.take(conn, used);
                    self.out.get_mut(&conn).and_then(VecDeque::pop_front);
                    self.answered += 1;
                    next += 1;
                }
                Ok(Some((other, _))) => return Err(not_served(format!("{other:?}"))),
                Err(why) => return Err(not_served(why.into())),
            }
        }
        // As a client does once it has read all that had come.
        self.send(conn, next);
        Ok(())
    }
}
