//! Tests of the complete pool on a virtual clock.

mod fleet;
mod idle;
mod random;
mod targets;
mod trouble;
mod world;
