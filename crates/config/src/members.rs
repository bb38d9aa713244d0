//! Discovery's lists of pool members: its answers, and the list that a node remembers.

use crate::options::{Options, digest};
use lapisrudder_decisions::{Listed, Micros, ServerId, Stage};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// A pool member as discovery lists it.
#[derive(Clone, Debug)]
pub struct Target {
    /// The properties that the decisions use.
    pub listed: Listed,
    /// The member's address.
    pub endpoint: SocketAddr,
}

/// An answer of discovery, or the remembered list, checked.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    /// The version of the list after this answer.
    pub revision: u64,
    /// Whether this is the complete list, and not only its changes.
    pub all: bool,
    /// The members in it.
    pub targets: Vec<Target>,
}

/// What is wrong with a list. An invalid list must not be used, not even in part.
#[derive(Debug, Error)]
pub enum ListError {
    /// It is not valid JSON, or a value has the wrong type.
    #[error("bad JSON: {0}")]
    Json(#[from] simd_json::Error),
    /// A member's state is unknown.
    #[error("{uid}: unknown state {state:?}")]
    State {
        /// The member.
        uid: String,
        /// The value found.
        state: String,
    },
    /// A member's address is invalid.
    #[error("{uid}: bad endpoint {endpoint:?}")]
    Endpoint {
        /// The member.
        uid: String,
        /// The value found.
        endpoint: String,
    },
    /// A member's zone or kind is not one of those in the settings.
    #[error("{uid}: unknown {what} {name:?}")]
    Name {
        /// The member.
        uid: String,
        /// `az` or `model`.
        what: &'static str,
        /// The value found.
        name: String,
    },
}

/// A list as it is written in JSON.
#[derive(Deserialize, Default)]
pub(crate) struct RawList {
    #[serde(default)]
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<RawTarget>,
}

#[derive(Deserialize)]
struct RawTarget {
    uid: String,
    #[serde(default)]
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u32,
    state: String,
    capacity_hint: Option<f64>,
    boot_ms: Option<f64>,
}

impl MemberList {
    /// Decodes discovery's JSON, in place. `options` has the names of zones and kinds.
    ///
    /// # Errors
    /// The first problem, with the member that it is about.
    pub fn decode(text: &mut [u8], options: &Options) -> Result<MemberList, ListError> {
        MemberList::check(simd_json::from_slice(text)?, options)
    }

    pub(crate) fn check(raw: RawList, options: &Options) -> Result<MemberList, ListError> {
        let targets = raw.targets.into_iter().map(|t| member_target(t, options)).collect::<Result<_, _>>()?;
        Ok(MemberList { revision: raw.rev, all: raw.all, targets })
    }
}

fn member_target(t: RawTarget, options: &Options) -> Result<Target, ListError> {
    let stage = match t.state.as_str() {
        "up" => Stage::Live,
        "draining" => Stage::Draining,
        "removed" => Stage::Gone,
        _ => return Err(ListError::State { uid: t.uid, state: t.state }),
    };
    let index_of = |names: &[String], name: &str, what: &'static str| {
        let index = names.iter().position(|n| n == name).map(|i| i as u32);
        index.ok_or_else(|| ListError::Name { uid: t.uid.clone(), what, name: name.into() })
    };
    let Ok(endpoint) = t.endpoint.parse() else {
        return Err(ListError::Endpoint { uid: t.uid, endpoint: t.endpoint });
    };
    let listed = Listed {
        server: ServerId(digest(&t.uid)),
        zone: index_of(&options.zones, &t.az, "az")?,
        kind: index_of(&options.host_types, &t.model, "model")?,
        cell: t.pod_group,
        stage,
        weight: t.capacity_hint.unwrap_or(1.0),
        since: t.boot_ms.filter(|ms| *ms > 0.0).map(|ms| (ms * 1000.0) as Micros),
    };
    Ok(Target { listed, endpoint })
}
