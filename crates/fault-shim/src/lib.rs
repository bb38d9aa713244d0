//! Fault injection: makes system calls of a process under test fail, by rules in a shared file, and counts
//! the calls and the injected failures.
//!
//! The crate has two halves, which share the layout in [`table`]: the library that the process under test
//! preloads (`LD_PRELOAD`, built with the feature `interpose`), and [`Control`], with which a test writes the
//! rules and reads the counts while the process runs.
//!
//! Only calls that go through the C library can be intercepted. The program under test is therefore built
//! with `--cfg rustix_use_libc`, the documented switch of rustix. [`Control::seen`] returns how often a call
//! was intercepted.
#![cfg_attr(not(feature = "interpose"), forbid(unsafe_code))]
#![warn(missing_docs)]

mod control;
pub mod errno;
#[cfg(feature = "interpose")]
mod interpose;
pub mod table;

pub use control::{Control, Rule};
pub use table::{Call, Descriptor};
