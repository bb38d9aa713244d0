//! The load: the model's client machine, played over sockets by one loop on a thread of its own.
//!
//! Open loop: what comes when is drawn ahead ([`Plan`]), and latency counts from when a try was due, so that neither a
//! node that stalls nor a lab that is late hides it (no coordinated omission). The lab measures its own lateness: each
//! try's in [`Try::late_us`](crate::ledger::Try), the loop's in [`LabEvent::Lag`](crate::ledger::LabEvent).
//!
//! [`LoadThread`] begins at once to ask nodes whether they are there (`mn`); requests come from [`Command::Begin`] on.

mod bad;
mod carrier;
mod driver;
mod line;
mod links;
mod live;
mod net;
pub(crate) mod nodes;
mod plan;
mod policy;
mod probe;
pub(crate) mod reply;
mod wire;

pub use driver::Command;
pub use links::Link;
pub use live::{Board, Seen};
pub(crate) use net::{Happening, Net};
pub use nodes::SlowReaders;
pub(crate) use plan::keys_of;
pub use plan::{Of, Plan};

use crate::Micros;
use crate::experiment::Rival;
use crate::ledger::{Book, ClientBook, LabEvent, NodeEvent, Try};
use crate::stand::Clock;
use calloop::channel::{Sender, channel};
use driver::Driver;
use lapisrudder_model::clients::{BadError, ClientsError};
use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;

/// Why a load cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The loop or its thread.
    #[error("the load's loop: {0}")]
    Loop(#[source] io::Error),
    /// The plan.
    #[error("the load's plan: {0}")]
    Plan(#[from] ClientsError),
    /// The plan of bad clients.
    #[error("the load's bad clients: {0}")]
    Bad(#[from] BadError),
    /// The thread panicked.
    #[error("the load's thread ended in a panic")]
    Panicked,
}

/// What carries the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Through {
    /// Connections to nodes.
    Nodes,
    /// A client library that goes straight to the servers.
    Servers(Rival),
}

/// What to play, and where.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// What clients do.
    pub plan: Plan,
    /// What carries it.
    pub through: Through,
    /// Where each node listens. For a client library only their number counts.
    pub nodes: Vec<SocketAddr>,
    /// Where each node, or the library in its place, finds discovery.
    pub discovery: Vec<SocketAddr>,
    /// How long after a client's time is up its connection is listened to, so that an answer that comes too late is
    /// seen.
    pub linger: Micros,
    /// Clients connect from `127.A.B.x`, each load from a `B` of its own.
    pub net: (u8, u8),
}

/// What the load wrote down.
#[derive(Debug, Default)]
pub struct Books {
    /// All tries, in the order in which their requests ended.
    pub tries: Vec<Try>,
    /// What clients did and saw.
    pub clients: ClientBook,
    /// When nodes answered `MN`.
    pub ready: Book<NodeEvent>,
    /// How late the loop was.
    pub lab: Book<LabEvent>,
}

/// The load's thread. Dropping it ends it.
#[derive(Debug)]
pub struct LoadThread {
    commands: Sender<Command>,
    board: Board,
    thread: JoinHandle<Result<Books, LoadError>>,
}

impl LoadThread {
    /// Starts it.
    ///
    /// # Errors
    /// A plan that cannot be played, or no thread.
    pub fn start(spec: LoadSpec, clock: Clock) -> Result<Self, LoadError> {
        let (commands, received) = channel();
        let board = Board::default();
        let own = board.clone();
        let play = move || Driver::new(spec, clock, own)?.run(received);
        let thread = std::thread::Builder::new().name("load".into()).spawn(play).map_err(LoadError::Loop)?;
        Ok(Self { commands, board, thread })
    }

    /// Tells it something. It does not matter if it has ended: [`LoadThread::finish`] tells why.
    pub fn tell(&self, command: Command) {
        let _ = self.commands.send(command);
    }

    /// What it saw last.
    pub fn seen(&self) -> Seen {
        self.board.seen()
    }

    /// It has ended, which without [`Command::End`] is an error.
    pub fn is_over(&self) -> bool {
        self.thread.is_finished()
    }

    /// Ends it and takes its books.
    ///
    /// # Errors
    /// Why it could not go on.
    pub fn finish(self) -> Result<Books, LoadError> {
        self.tell(Command::End);
        self.thread.join().map_err(|_| LoadError::Panicked)?
    }
}
