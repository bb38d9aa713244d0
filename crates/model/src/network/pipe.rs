//! The state of one connection: two ordered ways and what either side has done.

use std::collections::VecDeque;

use bytes::Bytes;

use super::{Fate, Heal, Host, Side};
use crate::Micros;

/// What travels one way of a connection, in order.
#[derive(Clone, Debug)]
pub(super) enum Segment {
    /// The answer to a connect.
    Opened,
    Refused,
    Data(Bytes),
    Fin,
    Reset,
}

/// One direction of a connection.
#[derive(Debug, Default)]
pub(super) struct Direction {
    /// Under way, in order, with the time of arrival.
    pub(super) in_flight: VecDeque<(Micros, Segment)>,
    /// Nothing sent from now on arrives before this.
    pub(super) last_arrival: Micros,
    /// A wake-up for the first of them is in the heap.
    pub(super) scheduled: bool,
    /// Something was sent into a cut, which does this when it ends.
    pub(super) cut: Option<Heal>,
    /// What was sent into a cut that resumes.
    pub(super) held: VecDeque<Segment>,
    /// Bytes that take up buffers.
    pub(super) bytes: usize,
    /// The last write was short.
    pub(super) wants_writable: bool,
    /// The sender has sent its end.
    pub(super) ended: bool,
    /// The end has arrived.
    pub(super) end_received: bool,
    /// The receiver does not read.
    pub(super) paused: bool,
    /// The receiver has closed: what arrives is answered by a reset.
    pub(super) closed: bool,
    /// The receiver has reset the connection or got a reset.
    pub(super) reset: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The first packet is under way; what becomes of it is known.
    Connecting(Fate),
    /// The server has heard of it.
    Up,
    /// A connect that does not come up: into a cut that does this at its end, or for another reason.
    Lost(Option<Heal>),
}

#[derive(Debug)]
pub(super) struct Pipe {
    pub(super) from: Host,
    pub(super) to: Host,
    pub(super) stage: Stage,
    /// A machine has lost its memory: what is sent is answered by a reset.
    pub(super) peer_lost_state: bool,
    pub(super) to_server: Direction,
    pub(super) to_client: Direction,
}

impl Pipe {
    /// The direction that ends at a side.
    pub(super) fn direction(&mut self, to: Side) -> &mut Direction {
        if to == Side::Server { &mut self.to_server } else { &mut self.to_client }
    }

    /// Hosts of the direction that ends at a side.
    pub(super) fn hosts(&self, to: Side) -> (Host, Host) {
        if to == Side::Server { (self.from, self.to) } else { (self.to, self.from) }
    }

    /// Both sides are done with it, and nothing is under way.
    pub(super) fn is_finished(&self) -> bool {
        let (a, b) = (&self.to_server, &self.to_client);
        let done = |here: &Direction, there: &Direction| {
            here.reset || here.closed || (here.end_received && there.ended)
        };
        done(a, b) && done(b, a) && a.in_flight.is_empty() && b.in_flight.is_empty()
    }
}
