//! Connection pool for cache servers ("members"): decides how many connections a node holds to each member,
//! when to open and close them, and which of them carries each flow (one attempt of a request).
//!
//! The crate does no I/O and reads no clock: the host reports events with their time and carries out the
//! orders that it gets back. Times are [`Micros`] on the caller's monotonic clock. [`Pool`] is the only type
//! that hosts call; the estimators that it uses each have a module. The design is described in
//! `docs/design/pool.md`.
//!
//! ```
//! use lapisrudder_pool::{Deployment, Member, MemberId, Order, Placement, Pool, RetrySafety, Settings};
//!
//! let mut pool = Pool::new(Settings::default(), Deployment::default(), 7, 0)?;
//! pool.set_capacity(0, 512);
//! let (id, member) = (MemberId(1), Member { kind: 0, pipeline_depth: 32, draining: false, warm_at: None });
//! pool.update_member(0, id, &member);
//!
//! // The first flow is queued until a connection is established.
//! let Placement::Queued(flow) = pool.assign_flow(0, id, RetrySafety::Safe) else { panic!() };
//! let Some(Order::Connect { conn, .. }) = pool.poll(0) else { panic!() };
//! pool.connected(800, conn);
//! let Some(Order::Assign { ticket, .. }) = pool.poll(800) else { panic!() };
//! assert_eq!(ticket, flow);
//! pool.answered(4_800, conn);
//!
//! // The next flow reuses the idle connection.
//! let placement = pool.assign_flow(5_000, id, RetrySafety::Safe);
//! assert!(matches!(placement, Placement::Assigned { conn: on, .. } if on == conn));
//! println!("{}", pool.explain(5_000, id).unwrap());
//! # Ok::<(), lapisrudder_pool::SettingsError>(())
//! ```
//!
//! # Out of scope
//!
//! The choice of the server, retries and timeouts of requests are in `crates/decisions`; sockets, bytes and
//! the flows themselves belong to the host. The pool never repeats a flow; it only classifies the loss of a
//! connection.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

pub mod ceiling;
pub mod connect_rate;
pub mod demand;
pub mod holding_cost;
pub mod idle_limit;
mod list;
pub mod pool;
pub mod settings;
pub mod sliding_max;
pub mod staffing;
mod types;

pub use pool::Pool;
pub use pool::explain::{Counts, Explanation, TargetReason};
pub use settings::{Settings, SettingsError};
pub use types::{CloseReason, Ticket};
pub use types::{
    ConnId, Deployment, End, FlowSeq, Loss, Member, MemberId, Order, Placement, RejectReason, RetrySafety,
};

/// Microseconds: a time on the caller's clock, or a duration.
pub type Micros = i64;
