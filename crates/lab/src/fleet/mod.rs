//! Experiments with fleets: several real processes of the program with faults between them, observed from
//! outside.
//!
//! Each process advertises a socket of the lab's relay ([`relay`]). The relay identifies a sender by the
//! source address of its datagrams and forwards them from that sender's own socket, so each link between two
//! processes can lose, delay, duplicate, reorder, corrupt, hold back or block datagrams independently.
//! Processes are stopped, resumed, killed, ended and started, also two with the same name. Only processes
//! that the lab has started are signalled.
//!
//! The records of a run are a [`History`]; the rules that it must keep are in
//! [`check::fleet`](crate::check::fleet).

mod file;
mod history;
mod processes;
mod relay;
mod result;
mod run;

pub use file::{FleetFault, FleetFile, Way, What};
pub use history::{FleetEvent, History, HistoryError, Record, Row, State, read, write};
pub use result::{Outcome, judge};
pub use run::{RunError, run};
