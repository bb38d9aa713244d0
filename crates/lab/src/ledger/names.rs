//! Who the numbers in records are.

use serde::{Deserialize, Serialize};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $of:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $of);

        impl $name {
            /// As a place in a table.
            pub fn index(self) -> usize {
                usize::from(self.0)
            }
        }
    };
}

number!(
    /// A node, `n0` on.
    NodeNo, u16);
number!(
    /// A cache server or the origin: a place in [`Names::servers`]. A machine that replaces another gets a new one.
    ServerNo, u16);
number!(
    /// A class: a place in the experiment's classes.
    ClassNo, u8);
number!(
    /// A load: a place in the experiment's loads.
    LoadNo, u8);
number!(
    /// A zone: a place in the experiment's zones.
    ZoneNo, u8);

/// A server as records refer to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Its id in discovery's list.
    pub name: String,
    /// Its kind (`origin` for the origin).
    pub kind: String,
    /// Its zone.
    pub zone: ZoneNo,
    /// It is the origin.
    pub origin: bool,
    /// Work that it can do in a second when warm, on standard cores (microseconds of work a second).
    pub capacity: f64,
}

/// Who the numbers are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Names {
    /// Nodes by number.
    pub nodes: Vec<String>,
    /// Cache servers and the origin by number, also those that came later.
    pub servers: Vec<ServerInfo>,
    /// Classes by number.
    pub classes: Vec<String>,
    /// Loads by number.
    pub loads: Vec<String>,
    /// Zones by number.
    pub zones: Vec<String>,
}

impl Names {
    /// A node's name.
    pub fn node(&self, node: NodeNo) -> &str {
        self.nodes.get(node.index()).map_or("?", String::as_str)
    }

    /// A server's name.
    pub fn server(&self, server: ServerNo) -> &str {
        self.servers.get(server.index()).map_or("?", |s| s.name.as_str())
    }

    /// A class's name.
    pub fn class(&self, class: ClassNo) -> &str {
        self.classes.get(class.index()).map_or("?", String::as_str)
    }

    /// That server is the origin.
    pub fn is_origin(&self, server: ServerNo) -> bool {
        self.servers.get(server.index()).is_some_and(|s| s.origin)
    }
}
