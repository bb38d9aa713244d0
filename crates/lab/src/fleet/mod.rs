//! Fleets on trial: several real processes of the program, faults between them, and what was seen from outside.
//!
//! Each process advertises a socket of the lab's ([`relay`]), which knows a sender by where its datagrams come from and
//! hands them on from that sender's own socket: so the way from each to each can lose, delay, double, disorder, spoil,
//! hold or be cut by itself. Processes are stopped, continued, killed, ended and started, also two by one name. Only
//! such as the lab has started are ever signalled.
//!
//! What was seen is a [`History`]; the rules that it must keep are in [`check::fleet`](crate::check::fleet).

mod file;
mod history;
mod processes;
mod relay;
mod result;
mod run;

pub use file::{FleetFault, FleetFile, Way, What};
pub use history::{History, HistoryError, Record, Row, Seen, State, read, write};
pub use result::{Outcome, judge};
pub use run::{RunError, run};
