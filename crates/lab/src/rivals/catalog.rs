//! The list of servers as a client library holds it.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What is wrong with an answer of discovery.
#[derive(Debug, thiserror::Error)]
pub enum CatalogError {
    /// It is not in discovery's form.
    #[error("discovery's answer cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// A server's address is none.
    #[error("discovery lists {uid} at {endpoint:?}, which is no address and port")]
    Endpoint {
        /// The server.
        uid: String,
        /// What stands there.
        endpoint: String,
    },
}

/// A server in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
}

#[derive(Deserialize)]
struct Listing {
    rev: u64,
    all: bool,
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: String,
    #[serde(default)]
    model: String,
    state: String,
}

/// All servers that are up, and the origin.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// The version that it is of.
    pub rev: u64,
    servers: BTreeMap<String, SocketAddr>,
    origin: Option<(String, SocketAddr)>,
}

impl Catalog {
    /// Takes in an answer of discovery. Only servers that are `up` stay.
    ///
    /// # Errors
    /// What cannot be read; the list then stays as it was.
    pub fn take(&mut self, body: &[u8]) -> Result<(), CatalogError> {
        let listing: Listing = serde_json::from_slice(body)?;
        let mut next = if listing.all { Self::default() } else { self.clone() };
        next.rev = listing.rev;
        for t in listing.targets {
            let up = t.state == "up";
            if !up {
                next.servers.remove(&t.uid);
                if next.origin.as_ref().is_some_and(|o| o.0 == t.uid) {
                    next.origin = None;
                }
                continue;
            }
            let endpoint = t
                .endpoint
                .parse()
                .map_err(|_| CatalogError::Endpoint { uid: t.uid.clone(), endpoint: t.endpoint.clone() })?;
            if t.model == "origin" {
                next.origin = Some((t.uid, endpoint));
            } else {
                next.servers.insert(t.uid, endpoint);
            }
        }
        *self = next;
        Ok(())
    }

    /// Servers that are up, by id.
    pub fn servers(&self) -> Vec<Server> {
        let server =
            |(uid, endpoint): (&String, &SocketAddr)| Server { uid: uid.clone(), endpoint: *endpoint };
        self.servers.iter().map(server).collect()
    }

    /// Where the origin is.
    pub fn origin(&self) -> Option<SocketAddr> {
        self.origin.as_ref().map(|o| o.1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_are_laid_over_the_list_and_bad_ones_are_not() {
        let mut catalog = Catalog::default();
        let entry = |uid: &str, port: u16, model: &str, state: &str| {
            format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:{port}","model":"{model}","state":"{state}"}}"#)
        };
        let list = |rev, all, entries: &[String]| {
            format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, entries.join(","))
        };
        let first = [entry("b", 2, "m", "up"), entry("a", 1, "m", "up"), entry("o", 9, "origin", "up")];
        assert!(catalog.take(list(3, true, &first).as_bytes()).is_ok());
        let names = |c: &Catalog| c.servers().into_iter().map(|s| s.uid).collect::<Vec<_>>().join(" ");
        assert_eq!((names(&catalog).as_str(), catalog.origin().map(|o| o.port())), ("a b", Some(9)));
        let change = [entry("a", 1, "m", "draining"), entry("c", 3, "m", "up")];
        assert!(catalog.take(list(4, false, &change).as_bytes()).is_ok());
        assert_eq!((names(&catalog).as_str(), catalog.rev), ("b c", 4));
        for bad in ["{", &list(5, true, &[entry("x", 1, "m", "up").replace("127.0.0.1:1", "nowhere")])] {
            assert!(catalog.take(bad.as_bytes()).is_err());
            assert_eq!((names(&catalog).as_str(), catalog.rev), ("b c", 4));
        }
    }
}
