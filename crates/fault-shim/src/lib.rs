//! Makes system calls of a process under test fail, as rules in a shared file say, and counts what it did.
//!
//! Two halves share [`table`]: the library that a test process preloads (`LD_PRELOAD`, built with the feature `interpose`),
//! and [`Control`], with which a test writes the rules and reads the counts while the process runs.
//!
//! Only calls that go through the C library are reached. The program under test is therefore built with
//! `--cfg rustix_use_libc`, the documented switch of rustix; [`Control::seen`] tells which calls were reached.
#![cfg_attr(not(feature = "interpose"), forbid(unsafe_code))]
#![warn(missing_docs)]

mod control;
pub mod errno;
#[cfg(feature = "interpose")]
mod interpose;
pub mod table;

pub use control::{Control, Rule};
pub use table::{Call, Descriptor};
