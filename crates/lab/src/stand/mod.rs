//! Stand-ins on loopback: cache servers, an origin and discovery that real nodes can be put between.
//!
//! They drive the state machines of [`lapisrudder_model`] by sockets: what a server does and when is the model's, what
//! the network between it and a node does is the model's too, and the ledger has what was really read and written. All
//! stand-ins of a [`World`] live on one loop on one thread, whose own lateness is measured and written down.
//!
//! Each party has an address of its own (127.x.y.z, a free port) for each node, so that nodes can be told apart and cut
//! off one by one. How faults are made without privileges is told in `docs/design/lab-stand.md`.
//!
//! ```
//! use lapisrudder_lab::stand::{Books, Clock, Spec, World};
//! use std::io::{Read, Write};
//!
//! let world = World::start(Spec::default(), Clock::default(), Books::default(), 1)?;
//! let mut node = std::net::TcpStream::connect(world.addresses().server(0, world.server("s0").unwrap()).unwrap())?;
//! node.write_all(b"mg 7f3a9c21e0b4d655 v O9b1f03aa5c7e2d41 Pc=read,d=480\r\n")?;
//! let mut answer = [0; 25];
//! node.read_exact(&mut answer)?;
//! assert_eq!(&answer, b"EN O9b1f03aa5c7e2d41 h0\r\n");
//! let finished = world.finish()?;
//! assert!(finished.sink.servers.records().len() > 4);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod acts;
pub(crate) mod asked;
mod build;
mod clock;
mod conn;
mod control;
mod deadlines;
mod discovery;
mod door;
mod lag;
pub(crate) mod missed;
mod of_experiment;
mod peers;
mod run;
mod scripted;
pub(crate) mod server;
mod sink;
mod socket;
mod spec;
mod watch;
mod way;

pub use build::{Addresses, Finished, StandError, World};
pub use clock::Clock;
pub use control::{Comeback, Control, ControlError, End};
pub use lapisrudder_model::discovery::{Member, Outage};
pub use lapisrudder_model::network::{Fault as LinkFault, FaultId, Heal};
pub use lapisrudder_model::server::{CloseKind, Fault, Noise, NoiseSet};
pub use of_experiment::spec_of;
pub use scripted::{Asked, Reply, Scripted};
pub use sink::{Books, Sink};
pub use spec::{ClassSpec, DiscoverySpec, NodeSpec, Notice, OriginSpec, ServerSpec, Spec, member};
