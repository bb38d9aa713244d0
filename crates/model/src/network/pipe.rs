//! The state of one connection: its two directions and what each side has done.

use std::collections::VecDeque;

use bytes::Bytes;

use super::{ConnectOutcome, Heal, Host, Side};
use crate::Micros;

/// Something sent in one direction of a connection.
#[derive(Clone, Debug)]
pub(super) enum Segment {
    /// The answer to a connect that succeeds.
    Opened,
    /// The answer to a connect that is refused.
    Refused,
    Data(Bytes),
    Fin,
    Reset,
}

/// One direction of a connection.
#[derive(Debug, Default)]
pub(super) struct Direction {
    /// Segments in flight, in order, with their times of arrival.
    pub(super) in_flight: VecDeque<(Micros, Segment)>,
    /// Arrival of the last segment; no later one arrives before it.
    pub(super) last_arrival: Micros,
    /// The arrival of the first segment in flight is scheduled.
    pub(super) scheduled: bool,
    /// Set when something was sent into a cut: what happens when the cut ends.
    pub(super) cut: Option<Heal>,
    /// Segments sent into a cut with [`Heal::Resume`], to send again.
    pub(super) held: VecDeque<Segment>,
    /// Bytes sent and not yet read, which occupy the buffers.
    pub(super) bytes: usize,
    /// The last write was short; the sender waits for `Writable`.
    pub(super) wants_writable: bool,
    /// The sender has sent FIN or a reset.
    pub(super) ended: bool,
    /// FIN has arrived.
    pub(super) end_received: bool,
    /// The receiver has paused reading.
    pub(super) paused: bool,
    /// The receiver has closed the connection; data that arrives is answered by a reset.
    pub(super) closed: bool,
    /// The receiver has reset the connection or got a reset.
    pub(super) reset: bool,
}

/// How far a connect has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The first packet is in flight; the outcome is already decided.
    Connecting(ConnectOutcome),
    /// The first packet has arrived at the server.
    Up,
    /// The connect is lost: in a cut, with what happens when that ends, or (`None`) for another reason.
    Lost(Option<Heal>),
}

/// A connection, from the connect until both sides have finished.
#[derive(Debug)]
pub(super) struct Pipe {
    pub(super) from: Host,
    pub(super) to: Host,
    pub(super) stage: Stage,
    /// A machine has lost its state: what is sent is answered by a reset.
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

    /// Whether both sides have finished and nothing is in flight.
    pub(super) fn is_finished(&self) -> bool {
        let (a, b) = (&self.to_server, &self.to_client);
        let done = |here: &Direction, there: &Direction| {
            here.reset || here.closed || (here.end_received && there.ended)
        };
        done(a, b) && done(b, a) && a.in_flight.is_empty() && b.in_flight.is_empty()
    }
}
