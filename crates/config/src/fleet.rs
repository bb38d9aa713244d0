//! `[fleet]` of the operators' file: the node's membership in a fleet of nodes. Without the section the node
//! is in none.

use crate::operators::{InvalidSetting, Section};
use lapisrudder_membership::{Key, MAX_SEEDS, Name, Settings};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Maximum number of keys in a key file: the one that seals, and during a change of keys the previous or next
/// one.
const MAX_KEYS: usize = 2;

/// How a node joins its fleet, and how many nodes the fleet has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// The fleet's name. Datagrams of other fleets are ignored. Default `lapisrudder`.
    pub name: String,
    /// The address on which datagrams of other nodes are received (UDP). Default `127.0.0.1:7946`.
    pub listen: SocketAddr,
    /// The address to which other nodes send them, if it differs from `listen`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Nodes that this one asks to let it join, at the start and whenever they are no members. Default: none.
    pub seeds: Vec<SocketAddr>,
    /// The expected number of nodes: this node's shares are never larger than those of a node in a fleet of
    /// this size. Default 1.
    pub expected: u32,
    /// For how many seconds a node that has left still counts when shares are computed. Default 30.
    pub hold_s: u32,
    /// The node's zone, which it announces to the others. Default: none.
    pub zone: String,
    /// A file with one key per line, 64 hexadecimal digits each, at most two: the first seals datagrams, both
    /// open them. Without a key file only loopback addresses may be used.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_file: Option<PathBuf>,
    /// The address on which `lapisrudder fleet` reads the node's view of the fleet (TCP, on loopback).
    /// Default: none, and the command does not work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub look: Option<SocketAddr>,
    /// Timers and counts of the membership protocol.
    pub timing: Settings,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            name: "lapisrudder".into(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 7946)),
            advertise: None,
            seeds: Vec::new(),
            expected: 1,
            hold_s: 30,
            zone: String::new(),
            key_file: None,
            look: None,
            timing: Settings::default(),
        }
    }
}

impl Fleet {
    /// The address to which other nodes send datagrams for this one.
    #[must_use]
    pub fn advertised_addr(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// The keys in the key file; none if there is no key file.
    ///
    /// # Errors
    /// The file cannot be read, a line of it is no key, or it has no key or more than two.
    pub fn keys(&self) -> Result<Vec<Key>, InvalidSetting> {
        let Some(path) = &self.key_file else { return Ok(Vec::new()) };
        let text = lapisrudder_io::read_text(path)
            .map_err(|e| invalid("key_file", format!("cannot read {}: {e}", path.display())))?;
        let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
        let keys: Vec<Key> = lines
            .map(|(n, line)| {
                let what = format!("{}:{}: a key is 64 hexadecimal digits", path.display(), n + 1);
                parse_key(line.trim()).ok_or_else(|| invalid("key_file", what))
            })
            .collect::<Result<_, _>>()?;
        match keys.len() {
            1..=MAX_KEYS => Ok(keys),
            n => Err(invalid("key_file", format!("{} has {n} keys, not 1 or 2", path.display()))),
        }
    }
}

fn parse_key(text: &str) -> Option<Key> {
    let mut key = Key::default();
    if text.len() != 2 * key.len() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    for (n, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * n..2 * n + 2)?, 16).ok()?;
    }
    Some(key)
}

fn invalid(key: &str, what: String) -> InvalidSetting {
    InvalidSetting { key: format!("fleet.{key}"), what }
}

impl Section for Fleet {
    fn check(&self) -> Result<(), InvalidSetting> {
        if let Err(e) = self.name.parse::<Name>() {
            return Err(invalid("name", e.to_string()));
        }
        if self.zone.len() > 32 || !self.zone.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(invalid(
                "zone",
                format!("{:?} must have at most 32 visible ASCII characters", self.zone),
            ));
        }
        if !(1..=100_000).contains(&self.expected) {
            return Err(invalid("expected", format!("{} is not within 1 to 100000", self.expected)));
        }
        if self.hold_s > 86_400 {
            return Err(invalid("hold_s", format!("{} is not within 0 to 86400", self.hold_s)));
        }
        if self.seeds.len() > MAX_SEEDS {
            return Err(invalid("seeds", format!("{} are more than {MAX_SEEDS}", self.seeds.len())));
        }
        let cannot_be_sent_to =
            |at: &SocketAddr| at.port() == 0 || at.ip().is_unspecified() || at.ip().is_multicast();
        if cannot_be_sent_to(&self.advertised_addr()) {
            let key = if self.advertise.is_some() { "advertise" } else { "listen" };
            return Err(invalid(key, format!("others cannot send to {}", self.advertised_addr())));
        }
        if let Some(seed) = self.seeds.iter().find(|at| cannot_be_sent_to(at)) {
            return Err(invalid("seeds", format!("nobody can send to {seed}")));
        }
        if let Some(look) = self.look.filter(|at| !at.ip().is_loopback()) {
            return Err(invalid("look", format!("{look} is not on loopback")));
        }
        let reached = self.advertised_addr();
        for (key, at) in [("listen", &self.listen), ("advertise", &reached)]
            .into_iter()
            .chain(self.seeds.iter().map(|at| ("seeds", at)))
        {
            if self.key_file.is_none() && !at.ip().is_loopback() {
                return Err(invalid(key, format!("{at} is not on loopback: that needs a key_file")));
            }
        }
        self.timing
            .check()
            .map_err(|e| InvalidSetting { key: format!("fleet.timing.{}", e.key), what: e.what })?;
        self.keys().map(|_| ())
    }
}

#[cfg(test)]
#[allow(clippy::disallowed_methods)]
mod tests {
    use crate::Operators;
    use std::path::Path;

    #[test]
    fn each_invalid_value_is_reported_with_its_line_and_key() {
        let dir = std::env::temp_dir().join(format!("lapisrudder-keys-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let file = |name: &str, text: &str| {
            let path = dir.join(name);
            std::fs::write(&path, text).unwrap();
            path.display().to_string()
        };
        let key = "0f".repeat(32);
        let good = file("good", &format!("{key}\n\n{key}\n"));
        let (short, many, none) =
            (file("short", "0f0f\n"), file("many", &format!("{key}\n").repeat(3)), file("none", "\n"));
        for (line, expected) in [
            (
                "listen = \"192.0.2.1:7946\"",
                "fleet.listen: 192.0.2.1:7946 is not on loopback: that needs a key_file",
            ),
            ("listen = \"0.0.0.0:7946\"", "fleet.listen: others cannot send to 0.0.0.0:7946"),
            ("advertise = \"127.0.0.1:0\"", "fleet.advertise: others cannot send to 127.0.0.1:0"),
            ("seeds = [\"127.0.0.1:0\"]", "fleet.seeds: nobody can send to 127.0.0.1:0"),
            ("look = \"192.0.2.1:1\"", "fleet.look: 192.0.2.1:1 is not on loopback"),
            ("expected = 0", "fleet.expected: 0 is not within 1 to 100000"),
            ("zone = \"a b\"", "fleet.zone: \"a b\" must have at most 32 visible ASCII characters"),
            ("name = \"\"", "fleet.name: \"\" is no name: it must have 1 to 64 visible ASCII characters"),
            ("timing.probe_every_ms = 1", "fleet.timing.probe_every_ms: 1 is not within 20 to 60000"),
            (
                "timing.suspect_most_ms = 100",
                "fleet.timing.suspect_most_ms: 100 is below suspect_least_ms (1500)",
            ),
            (
                &format!("key_file = \"{short}\""),
                &format!("fleet.key_file: {short}:1: a key is 64 hexadecimal digits"),
            ),
            (&format!("key_file = \"{many}\""), &format!("fleet.key_file: {many} has 3 keys, not 1 or 2")),
            (&format!("key_file = \"{none}\""), &format!("fleet.key_file: {none} has 0 keys, not 1 or 2")),
        ] {
            let problems = Operators::parse(&format!("[fleet]\n{line}\n"), Path::new("t")).expect_err(line);
            assert_eq!(
                problems.iter().map(ToString::to_string).collect::<Vec<_>>(),
                [format!("t:2: {expected}")]
            );
        }
        let text = format!("[fleet]\nlisten = \"192.0.2.1:7946\"\nkey_file = \"{good}\"\n");
        let fleet = Operators::parse(&text, Path::new("t")).unwrap().0.fleet.unwrap();
        assert_eq!(fleet.keys().unwrap(), [[15; 32]; 2]);
        assert_eq!(Operators::parse("", Path::new("t")).unwrap().0.fleet, None);
    }
}
