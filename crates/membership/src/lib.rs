//! Who is in the fleet, in what state, and how many nodes count for shares.
//!
//! A state machine after SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN 2018),
//! without I/O, clock or threads: datagrams and the time go in ([`Membership::receive`], [`Membership::wake`]), orders
//! come out ([`Membership::poll`]), and [`Membership::next_wake`] says when it wants to be called again. Random numbers
//! are from a seed, so that the same calls give the same orders.
//!
//! It is *not* a consensus: two members may see the fleet differently for a while, and a half that is cut off sees
//! itself as all. What must be true of one side only is the matter of ownership; what is safe whatever a cut makes of
//! the views is [`Census`].
//!
//! A *fleet member* is a node. A *pool member*, elsewhere in this project, is a cache server.
//!
//! ```
//! use lapisrudder_membership::{Config, Membership, Output, Settings, State};
//!
//! let at = |n: u16| format!("127.0.0.1:{n}").parse().unwrap();
//! let node = |n: u16, seeds| Membership::new(Config {
//!     name: format!("n{n}").parse().unwrap(), at: at(n), zone: String::new(), start: 1, seeds, seed: n.into(),
//!     settings: Settings::default(),
//! }, 0);
//! let mut nodes = [node(1, vec![]), node(2, vec![at(1)])];
//! for now in (0..2_000_000).step_by(1_000) {
//!     for n in 0..2 {
//!         nodes[n].wake(now);
//!         while let Some(order) = nodes[n].poll() {
//!             if let Output::Send { body, .. } = order { nodes[1 - n].receive(now, at(n as u16 + 1), &body); }
//!         }
//!     }
//! }
//! assert!(nodes.iter().all(|n| n.members(2_000_000).filter(|m| m.state == State::Alive).count() == 2));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod awareness;
mod broadcast;
mod budget;
mod census;
mod core;
mod envelope;
mod exchange;
mod heard;
mod merge;
mod packet;
mod planted;
mod probe;
mod settings;
mod suspicion;
mod table;
mod timers;

pub use census::Census;
pub use core::{Change, Config, Counts, Inherited, MAX_SEEDS, Membership, Output};
pub use envelope::{BadDatagram, Envelope, Key, MOST_DATAGRAM};
pub use heard::Heard;
pub use packet::{BadName, Name, State};
#[cfg(feature = "planted")]
pub use planted::Planted;
pub use settings::{Settings, SettingsError};
pub use table::View;

/// Microseconds, as a point on the caller's clock or as a length.
pub type Micros = i64;
