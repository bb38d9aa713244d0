//! What a node is told, checked: by the platform (variables and JSON), by its operators (TOML), and on the command
//! line. [`Sources`] names them all and loads them; each problem is one line with file, line and key.
//!
//! This crate only reads and checks. It does not decide what a setting does, it watches no file, and it keeps
//! nothing: who wants to know again loads again.
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
mod sections;
mod sources;

pub use effective::{Part, Setting, Source, to_toml};
pub use fleet::Fleet;
pub use members::{ListError, MemberList, Target};
pub use operators::{InvalidSetting, Operators, Section};
pub use options::{Bounds, Customer, FamilyInfo, Options, RequestClass, Rules, digest, micros};
pub use platform::{Environment, LEAST_SOCKETS, Platform};
pub use problem::{Fault, Place, Problem, Problems};
pub use sections::{Format, Level, Log, NoSuchWord};
pub use sources::{Arguments, Config, Sources};
