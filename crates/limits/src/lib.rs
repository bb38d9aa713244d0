//! Admission control: which client connections are accepted and kept, and how many requests may be in flight.
//!
//! The crate does no I/O and reads no clock: the caller passes events with their times, and gets back what to
//! do. Times are [`Micros`] on the caller's clock. The interface follows quinn-proto (`poll`, `poll_timeout`)
//! and tower.
//!
//! [`Admission`] is the one type that hosts call. Each of its components has a module of its own.
//!
//! ```
//! use lapisrudder_limits::{Activity, Admission, Intake, RequestInfo, Resources, Settings, Verdict};
//!
//! let mut admission = Admission::new(Settings::default(), 7, 0).expect("the defaults are valid");
//! admission.set_resources(0, &Resources { connections: 2, in_flight: 100, ..Resources::default() });
//! let verdict = admission.on_accepted(0, "192.0.2.7".parse().unwrap(), true);
//! let Verdict::Keep { conn } = verdict else { panic!() };
//! let request = RequestInfo { worth: 5.0, left: 480_000, bytes: 60, ..RequestInfo::default() };
//! let Intake::Take { ticket } = admission.request(1_000, conn, &request) else { panic!() };
//! admission.ended(9_000, ticket, true);
//! admission.set_activity(9_000, conn, Activity::Idle);
//! assert_eq!(admission.poll(9_000), None);
//! assert_eq!(admission.due(), Some(2_059_000), "the connection is closed after 2.05 s idle");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

pub mod adaptive_limit;
pub mod admission;
pub mod caps;
pub mod coalescing_queue;
mod connection_table;
pub mod drain;
pub mod event_aggregator;
pub mod exhaustion;
pub mod hazard_rate;
mod in_flight;
pub mod keep_alive;
mod linked_lists;
mod load_shedding;
pub mod memory_account;
pub mod meter;
pub mod orders;
pub mod reserve;
pub mod resources;
pub mod settings;
pub mod share;
pub mod source;
pub mod upload;
pub use admission::Admission;
pub use orders::{
    Activity, ConnId, Event, EventKind, Explanation, Intake, Order, RequestInfo, Situation, Ticket,
};
pub use orders::{Reason, Verdict};
pub use resources::{Accepting, Resources, Shortage, Usage};
pub use settings::{Settings, SettingsError};
pub use source::Source;

/// Microseconds: a time on the caller's clock, or a duration.
pub type Micros = i64;
