//! The stand-ins on real sockets, asked by plain clients.

mod faults;
mod harness;
mod lists;
mod serving;
