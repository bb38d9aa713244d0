//! Gossip membership of the fleet: which nodes there are, in what state, and how many count for shares.
//!
//! A state machine after SWIM (Das, Gupta, Motivala, DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN
//! 2018), without I/O, clock or threads. Datagrams and the time are passed in ([`Membership::receive`],
//! [`Membership::wake`]), outputs are taken out ([`Membership::poll`]), and [`Membership::next_wake`] says
//! when the next call is due. Random numbers come from a seed, so that the same calls give the same outputs.
//!
//! It gives *no* consensus: two members may see the fleet differently for a while, and each side of a
//! partition sees only itself as alive. What has to hold on one side alone needs the grant of a majority
//! (ownership), which is not part of this crate. What stays safe however a partition splits the views is
//! [`Census`].
//!
//! A *fleet member* is a node. A *pool member*, elsewhere in this project, is a cache server.
//!
//! ```
//! use lapisrudder_membership::{Config, Membership, Output, Settings, State};
//!
//! let at = |n: u16| format!("127.0.0.1:{n}").parse().unwrap();
//! let node = |n: u16, seeds| Membership::new(Config {
//!     name: format!("n{n}").parse().unwrap(), at: at(n), zone: String::new(), start: 1, seeds,
//!     seed: n.into(), settings: Settings::default(),
//! }, 0);
//! let mut nodes = [node(1, vec![]), node(2, vec![at(1)])];
//! for now in (0..2_000_000).step_by(1_000) {
//!     for n in 0..2 {
//!         nodes[n].wake(now);
//!         while let Some(output) = nodes[n].poll() {
//!             if let Output::Send { body, .. } = output {
//!                 nodes[1 - n].receive(now, at(n as u16 + 1), &body);
//!             }
//!         }
//!     }
//! }
//! assert!(nodes.iter().all(|n| n.members(2_000_000).filter(|m| m.state == State::Alive).count() == 2));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod ablation;
mod awareness;
mod broadcast;
mod budget;
mod census;
mod core;
mod envelope;
mod merge;
mod packet;
mod probe;
mod push_pull;
mod reachability;
mod settings;
mod suspicion;
mod table;
mod timers;

#[cfg(feature = "planted")]
pub use ablation::Ablation;
pub use census::Census;
pub use core::{Change, Config, Counts, Inherited, MAX_SEEDS, Membership, Output};
pub use envelope::{BadDatagram, Envelope, Key, MAX_DATAGRAM};
pub use packet::{BadName, Name, State};
pub use reachability::Reachability;
pub use settings::{Settings, SettingsError};
pub use table::View;

/// Microseconds: a time on the caller's clock, or a duration.
pub type Micros = i64;
