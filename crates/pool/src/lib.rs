//! Decides how many connections a node keeps to each member, when they open and close, and which carries what.
//!
//! No I/O and no clock: what happened goes in with the time it happened, orders come out. Times are [`Micros`] on the
//! caller's clock, which does not go back. [`Pool`] is the one type that hosts call; what it is made of stands alone
//! beside it, one concern a file. The design note is `docs/design/pool.md`.
//!
//! ```
//! use lapisrudder_pool::{Care, Choice, Deployment, Member, MemberId, Order, Pool, Settings};
//!
//! let mut pool = Pool::new(Settings::default(), Deployment::default(), 7, 0)?;
//! pool.room(0, 512);
//! let (id, member) = (MemberId(1), Member { kind: 0, at_once: 32, draining: false, warm_at: None });
//! pool.list(0, id, &member);
//!
//! // The first flow waits for a connection.
//! let Choice::Wait(flow) = pool.flow(0, id, Care::MayRepeat) else { panic!() };
//! let Some(Order::Connect { conn, .. }) = pool.poll(0) else { panic!() };
//! pool.connected(800, conn);
//! let Some(Order::Take { ticket, place, .. }) = pool.poll(800) else { panic!() };
//! assert_eq!(ticket, flow);
//! pool.answered(4_800, conn);
//!
//! // The next one finds it idle.
//! assert!(matches!(pool.flow(5_000, id, Care::MayRepeat), Choice::On { conn: on, .. } if on == conn));
//! println!("{}", pool.explain(5_000, id).unwrap());
//! # Ok::<(), lapisrudder_pool::SettingsError>(())
//! ```
//!
//! # What it is not
//!
//! Not a policy: whom to ask, whether to ask again and when to stop waiting is `crates/decisions`. Not a transport:
//! bytes, sockets, and the flows themselves are the host's. It never repeats anything; it says what a loss was.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

pub mod ceiling;
pub mod life;
mod list;
mod names;
pub mod need;
pub mod pace;
pub mod pool;
pub mod price;
pub mod settings;
pub mod staffing;
pub mod target;

pub use names::{Care, Choice, ConnId, Deployment, End, Loss, Member, MemberId, Order, Place, Refusal};
pub use names::{Ticket, Why};
pub use pool::Pool;
pub use pool::explain::{Because, Counts, Explanation};
pub use settings::{Settings, SettingsError};

/// Microseconds, as a point on the caller's clock or as a length.
pub type Micros = i64;
