//! A node's configuration, checked: the platform's part (environment variables and JSON), the operators' part
//! (TOML), and the command line. [`Sources`] names these and loads them. Each problem is reported as one line
//! with file, line and key.
//!
//! The crate only reads and checks. It does not implement what a setting does, does not watch files, and
//! keeps no state: to see changes, callers load again.
//!
//! ```
//! use lapisrudder_config::{Level, Operators};
//! use std::path::Path;
//!
//! let (operators, lines) = Operators::parse("[log]\nlevel = \"warn\"\n", Path::new("rudder.toml")).unwrap();
//! assert_eq!(operators.log.level, Level::Warn);
//! assert_eq!(lines["log.level"], 2);
//!
//! let problems = Operators::parse("[log]\nlevle = \"warn\"\n", Path::new("rudder.toml")).unwrap_err();
//! assert!(problems[0].to_string().starts_with("rudder.toml:2: log.levle: unknown field"));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod effective;
mod fleet;
mod json;
mod members;
mod operators;
mod options;
mod platform;
mod problem;
mod required_keys;
mod sections;
mod sources;

pub use effective::{Owner, Setting, Source, to_toml};
pub use fleet::Fleet;
pub use members::{ListError, MemberList, Target};
pub use operators::{InvalidSetting, Operators, Section};
pub use options::{Bounds, Customer, FamilyInfo, Options, RequestClass, Rules, digest, micros};
pub use platform::{Environment, MIN_SOCKETS, Platform};
pub use problem::{Location, Problem, ProblemKind, Problems};
pub use sections::{Format, Level, Log, UnknownWord};
pub use sources::{Arguments, Config, Sources};
