//! Discovery's lists of pool members, as it answers and as a node remembers them.

use crate::options::{Options, digest};
use lapisrudder_decisions::{Listed, Micros, ServerId, Stage};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// A pool member as discovery has it.
#[derive(Clone, Debug)]
pub struct Target {
    /// What the decisions take of it.
    pub listed: Listed,
    /// Where it answers.
    pub endpoint: SocketAddr,
}

/// One answer of discovery, or the remembered list, checked.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    /// The version of the list that this brings it to.
    pub revision: u64,
    /// This is all of the list, and not only what changed.
    pub all: bool,
    /// The members named.
    pub targets: Vec<Target>,
}

/// What is wrong with a list. Nothing of a bad one may be used.
#[derive(Debug, Error)]
pub enum ListError {
    /// It cannot be read at all.
    #[error("bad JSON: {0}")]
    Json(#[from] simd_json::Error),
    /// A member's state is none that there is.
    #[error("{uid}: unknown state {state:?}")]
    State {
        /// The member.
        uid: String,
        /// What stands there.
        state: String,
    },
    /// A member's address is none.
    #[error("{uid}: bad endpoint {endpoint:?}")]
    Endpoint {
        /// The member.
        uid: String,
        /// What stands there.
        endpoint: String,
    },
    /// A member's zone or kind is not among those that the settings name.
    #[error("{uid}: unknown {what} {name:?}")]
    Name {
        /// The member.
        uid: String,
        /// `az` or `model`.
        what: &'static str,
        /// What stands there.
        name: String,
    },
}

/// A list as it is written.
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
    /// Decodes discovery's JSON, in place. `options` tell the names of zones and kinds.
    ///
    /// # Errors
    /// The first thing that is wrong, with the member in question.
    pub fn decode(text: &mut [u8], options: &Options) -> Result<MemberList, ListError> {
        MemberList::check(simd_json::from_slice(text)?, options)
    }

    pub(crate) fn check(raw: RawList, options: &Options) -> Result<MemberList, ListError> {
        let targets = raw.targets.into_iter().map(|t| target(t, options)).collect::<Result<_, _>>()?;
        Ok(MemberList { revision: raw.rev, all: raw.all, targets })
    }
}

fn target(t: RawTarget, options: &Options) -> Result<Target, ListError> {
    let stage = match t.state.as_str() {
        "up" => Stage::Live,
        "draining" => Stage::Draining,
        "removed" => Stage::Gone,
        _ => return Err(ListError::State { uid: t.uid, state: t.state }),
    };
    let index = |names: &[String], name: &str, what: &'static str| {
        let place = names.iter().position(|n| n == name).map(|i| i as u32);
        place.ok_or_else(|| ListError::Name { uid: t.uid.clone(), what, name: name.into() })
    };
    let Ok(endpoint) = t.endpoint.parse() else {
        return Err(ListError::Endpoint { uid: t.uid, endpoint: t.endpoint });
    };
    let listed = Listed {
        server: ServerId(digest(&t.uid)),
        zone: index(&options.zones, &t.az, "az")?,
        kind: index(&options.host_types, &t.model, "model")?,
        cell: t.pod_group,
        stage,
        weight: t.capacity_hint.unwrap_or(1.0),
        since: t.boot_ms.filter(|ms| *ms > 0.0).map(|ms| (ms * 1000.0) as Micros),
    };
    Ok(Target { listed, endpoint })
}
