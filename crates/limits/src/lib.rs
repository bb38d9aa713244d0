//! Decides who gets in, who keeps room, and how much may be in flight somewhere.
//!
//! No I/O and no clock: what happened goes in with the time it happened, and what is to be done comes out. Times
//! are [`Micros`] on the caller's clock. Models to read for the manner: quinn-proto (`poll`, `poll_timeout`) and
//! tower.
//!
//! [`Admission`] is the one type that hosts call. What it is made of stands alone beside it, one concern a file.
//!
//! ```
//! use lapisrudder_limits::{Activity, Admission, Facts, Intake, Resources, Settings, Verdict};
//!
//! let mut admission = Admission::new(Settings::default(), 7, 0).expect("the defaults are sound");
//! admission.resources(0, &Resources { connections: 2, in_flight: 100, ..Resources::default() });
//! let Verdict::Keep { conn } = admission.arrived(0, "192.0.2.7".parse().unwrap(), true) else { panic!() };
//! let facts = Facts { worth: 5.0, left: 480_000, bytes: 60, ..Facts::default() };
//! let Intake::Take { ticket } = admission.request(1_000, conn, &facts) else { panic!() };
//! admission.ended(9_000, ticket, true);
//! admission.state(9_000, conn, Activity::Idle);
//! assert_eq!(admission.poll(9_000), None);
//! assert_eq!(admission.due(), Some(2_059_000), "idle for 2.05 s by then");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

pub mod admission;
mod books;
pub mod budget;
pub mod caps;
mod chains;
pub mod drain;
mod flights;
pub mod hazard;
mod intake;
pub mod keep;
pub mod meter;
pub mod orders;
pub mod reserve;
pub mod resources;
pub mod exhaustion;
pub mod settings;
pub mod share;
pub mod source;
pub mod spells;
pub use admission::Admission;
pub use orders::{Activity, ConnId, Event, EventKind, Explanation, RequestInfo, Intake, Order, Situation, Ticket};
pub use orders::{Verdict, Why};
pub use resources::{Accepting, Resources, Shortage, Usage};
pub use settings::{Settings, SettingsError};
pub use source::Source;
pub mod adaptive_limit;
pub mod held;

/// Microseconds, as a point on the caller's clock or as a length.
pub type Micros = i64;
