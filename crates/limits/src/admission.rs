//! The one type that hosts call: what they tell it of connections and requests, and what it has them do.
//!
//! # How a host drives it
//!
//! - Each turn: [`Admission::resources`] (what there is), then callbacks, then [`Admission::poll`] until it gives
//!   `None`, then [`Admission::events`] to the log. Wake at [`Admission::due`].
//! - Accepting: [`Admission::accepting`] says how many connections to take from the kernel's queue now. For each one
//!   look whether something came with it (a peek), and ask [`Admission::arrived`]. Where `accept` fails with EMFILE
//!   or ENFILE: [`Admission::ran_out`].
//! - A connection: [`Admission::state`] whenever what it is doing may have changed (calling it with no change costs
//!   nothing), [`Admission::left`] once it is closed, whoever closed it.
//! - A request: [`Admission::request`] when its last byte is read, [`Admission::ended`] when its final answer is
//!   given or its client is gone.
//! - A name that is not in the books (any more) is passed over in silence: hosts need not keep count of what they
//!   were told.

use crate::Micros;
use crate::orders::{Activity, ConnId, Event, Explanation, Facts, Intake, Order, Situation, Ticket, Verdict};
use crate::settings::{Settings, SettingsError};
use std::net::IpAddr;

/// How much of something is used. A `limit` of 0 means that it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Used {
    /// In use.
    pub used: u64,
    /// As much as there is.
    pub limit: u64,
}

/// What the host can bear, as of now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Connections that clients may hold at this node, in all: its descriptors without those that members,
    /// discovery, the origin and the node itself need.
    pub connections: usize,
    /// Connections that usual clients open at most, all together, where the deployment bounds that (a third of the
    /// node's descriptors). 0: not bound, `connections` counts.
    pub clients_room: usize,
    /// Requests that may be in flight: the intake's limit. May be a limit that follows.
    pub in_flight: usize,
    /// Bytes that may be held for commands. 0: not bound.
    pub buffer_bytes: usize,
    /// Descriptors of the process.
    pub descriptors: Used,
    /// Memory, in bytes.
    pub memory: Used,
    /// Ephemeral ports towards the busiest member.
    pub ports: Used,
}

/// How many connections to take from the kernel's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepting {
    /// Up to so many in this turn. Ask again after them.
    Take(usize),
    /// None until then, or until [`Admission::accepting`] says otherwise.
    Pause {
        /// When to ask again at the latest.
        until: Micros,
    },
}

/// What to do where `accept` found no descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Close the spare descriptor, accept, tell the connection `busy` with so many milliseconds, close it, open the
    /// spare again and report [`Admission::spare`]. Ask [`Admission::accepting`] before the next.
    UseSpare {
        /// Come again after so many milliseconds.
        retry_ms: u32,
    },
    /// Leave the queue alone until then.
    Pause {
        /// When to ask [`Admission::accepting`] again.
        until: Micros,
    },
}

/// Decides who gets in, who keeps room and what is taken in. See the [module](self) for how hosts drive it.
pub struct Admission {
    settings: Settings,
    resources: Resources,
}

impl Admission {
    /// Begins with nobody. `seed` is for the spread of come-again times and for keyed hashes: new with each start,
    /// unknown to clients.
    ///
    /// # Errors
    /// The first setting that cannot be used.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Admission, SettingsError> {
        settings.check()?;
        let _ = (seed, now);
        Ok(Admission { settings, resources: Resources::default() })
    }

    /// Takes other settings on. Nobody is dropped who is owed an answer: where more is in use than allowed now, idle
    /// connections go, and the rest shrinks as requests end.
    ///
    /// # Errors
    /// The first setting that cannot be used; the old ones stay.
    pub fn reload(&mut self, now: Micros, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        let _ = now;
        self.settings = settings;
        Ok(())
    }

    /// What the host can bear now. Cheap: call it each turn, or whenever it changes.
    pub fn resources(&mut self, now: Micros, resources: &Resources) {
        let _ = now;
        self.resources = *resources;
    }

    /// The node is stopping: its clients have only the connections that stay open, so none is closed early.
    pub fn stopping(&mut self) {}

    // ---- Connections ----------------------------------------------------------------------------------

    /// How many connections to take from the kernel's queue now.
    pub fn accepting(&mut self, now: Micros) -> Accepting {
        let _ = now;
        Accepting::Take(64)
    }

    /// A connection was accepted. `speaks`: bytes wait on it already (a peek, or its readiness).
    pub fn arrived(&mut self, now: Micros, address: IpAddr, speaks: bool) -> Verdict {
        let _ = (now, address, speaks);
        Verdict::Keep { conn: ConnId(0) }
    }

    /// Something has come on the victim of [`Verdict::KeepAndClose`]: it stays, and another takes its place. `None`:
    /// there is none, so `conn` is out of the books; the host closes it, or tells it `busy`.
    pub fn instead(&mut self, now: Micros, conn: ConnId, victim: ConnId) -> Option<ConnId> {
        let _ = (now, conn, victim);
        None
    }

    /// `accept` failed with EMFILE (`own`: this process's limit) or ENFILE (the machine's).
    pub fn ran_out(&mut self, now: Micros, own: bool) -> Shortage {
        let _ = own;
        Shortage::Pause { until: now + 50_000 }
    }

    /// Whether the host holds its spare descriptor (at the start, and after each use).
    pub fn spare(&mut self, held: bool) {
        let _ = held;
    }

    /// What a connection is doing now. A connection is idle at its arrival.
    pub fn state(&mut self, now: Micros, conn: ConnId, activity: Activity) {
        let _ = (now, conn, activity);
    }

    /// The front has made sure that a known client is on it (a token).
    pub fn known(&mut self, conn: ConnId) {
        let _ = conn;
    }

    /// An [`Order::Close`] was not carried out, since something had come on the connection.
    pub fn spoke(&mut self, now: Micros, conn: ConnId) {
        let _ = (now, conn);
    }

    /// A request came on a connection after it was closed by an order (seen while lingering).
    pub fn crossed(&mut self, now: Micros, conn: ConnId) {
        let _ = (now, conn);
    }

    /// A connection is closed, whoever closed it.
    pub fn left(&mut self, now: Micros, conn: ConnId) {
        let _ = (now, conn);
    }

    // ---- Requests -------------------------------------------------------------------------------------

    /// A request has come whole on a connection. Counts as [`Activity::Owed`], whatever the verdict.
    pub fn request(&mut self, now: Micros, conn: ConnId, facts: &Facts) -> Intake {
        let _ = (now, conn, facts);
        Intake::Take { ticket: Ticket(0) }
    }

    /// A request that was taken is over: its final answer was given (`served`: a value or a receipt, in time), or
    /// its client is gone.
    pub fn ended(&mut self, now: Micros, ticket: Ticket, served: bool) {
        let _ = (now, ticket, served);
    }

    // ---- What is to be done ---------------------------------------------------------------------------

    /// When to [`poll`](Admission::poll) again, if nothing happens until then.
    pub fn due(&self) -> Option<Micros> {
        None
    }

    /// The next thing to do; `None` when there is nothing (more) now.
    pub fn poll(&mut self, now: Micros) -> Option<Order> {
        let _ = now;
        None
    }

    /// What operators are to be told since the last call.
    pub fn events(&mut self, now: Micros) -> Vec<Event> {
        let _ = now;
        Vec::new()
    }

    /// What would happen to a connection and a request from an address, and why.
    pub fn explain(&self, address: IpAddr, situation: &Situation) -> Explanation {
        let _ = (address, situation);
        Explanation { lines: Vec::new() }
    }

    /// Bytes that the books take at most for so many connections and requests at a time, whatever clients do.
    pub fn most_bytes(&self, connections: usize, in_flight: usize) -> usize {
        let _ = (connections, in_flight);
        0
    }
}
