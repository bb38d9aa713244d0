//! Sources: which client addresses are counted as one source, its weight, and whether it is a known client.

use crate::settings::{Known, Sources};
use ipnet::IpNet;
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::fmt;
use std::hash::{BuildHasher, Hasher};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// An address, or a prefix of the configured length: all clients inside it count as one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Source {
    /// The prefix; IPv4 as v4-mapped.
    bits: u128,
    /// Length of the prefix, of the 128 bits.
    len: u8,
}

/// Prefix length of the v4-mapped addresses within IPv6 (RFC 4291, 2.5.5.2).
const MAPPED: u8 = 96;

/// The bits of an address, and whether it is IPv4. An IPv4 address and its v4-mapped form are the same.
fn bits(address: IpAddr) -> (u128, bool) {
    match address.to_canonical() {
        IpAddr::V4(v4) => (v4.to_ipv6_mapped().to_bits(), true),
        IpAddr::V6(v6) => (v6.to_bits(), false),
    }
}

/// The bits with all but the first `len` cleared.
fn masked(bits: u128, len: u8) -> u128 {
    bits & u128::MAX.checked_shl(128 - u32::from(len)).unwrap_or(0)
}

impl Source {
    /// The source that an address belongs to.
    pub fn of(address: IpAddr, settings: &Sources) -> Source {
        let (bits, v4) = bits(address);
        let len = if v4 { MAPPED + settings.v4_prefix.min(32) } else { settings.v6_prefix.min(128) };
        Source { bits: masked(bits, len), len }
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let address = Ipv6Addr::from_bits(self.bits);
        match address.to_ipv4_mapped() {
            Some(v4) if self.len == 128 => write!(f, "{v4}"),
            Some(v4) if self.len > MAPPED => write!(f, "{v4}/{}", self.len - MAPPED),
            _ if self.len == 128 => write!(f, "{address}"),
            _ => write!(f, "{address}/{}", self.len),
        }
    }
}

/// A keyed hash for values that attackers choose: without the key they cannot find addresses that collide in a
/// table (SipHash, Aumasson and Bernstein 2012).
#[derive(Clone, Copy, Debug)]
pub struct KeyedHash(u64, u64);

impl KeyedHash {
    /// An independent hash function for each pair of numbers.
    pub fn new(seed: u64, stream: u64) -> KeyedHash {
        KeyedHash(seed, stream)
    }
}

impl BuildHasher for KeyedHash {
    type Hasher = SipHasher13;

    fn build_hasher(&self) -> SipHasher13 {
        SipHasher13::new_with_keys(self.0, self.1)
    }
}

impl KeyedHash {
    /// The hash of a source.
    pub fn hash(&self, source: &Source) -> u64 {
        let mut hasher = self.build_hasher();
        hasher.write_u128(source.bits);
        hasher.write_u8(source.len);
        hasher.finish()
    }
}

/// A map from prefixes to values by longest-prefix match; a lookup costs one hash lookup for each length in
/// use.
#[derive(Clone, Debug)]
pub struct Prefixes<T> {
    /// Prefix lengths in use, longest first.
    lengths: Vec<u8>,
    by_prefix: HashMap<(u8, u128), T>,
}

impl<T> Default for Prefixes<T> {
    fn default() -> Self {
        Prefixes { lengths: Vec::new(), by_prefix: HashMap::new() }
    }
}

impl<T> FromIterator<(IpNet, T)> for Prefixes<T> {
    fn from_iter<I: IntoIterator<Item = (IpNet, T)>>(list: I) -> Self {
        let mut prefixes = Prefixes::default();
        for (net, value) in list {
            let (bits, v4) = bits(net.addr());
            // A prefix that is written in its mapped form (::ffff:10.0.0.0/104) has an IPv6 prefix length
            // already.
            let len =
                if v4 && net.max_prefix_len() == 32 { MAPPED + net.prefix_len() } else { net.prefix_len() };
            prefixes.by_prefix.insert((len, masked(bits, len)), value);
            prefixes.lengths.push(len);
        }
        prefixes.lengths.sort_unstable_by(|a, b| b.cmp(a));
        prefixes.lengths.dedup();
        prefixes
    }
}

impl<T> Prefixes<T> {
    /// The value of the longest prefix that contains the address.
    pub fn get(&self, address: IpAddr) -> Option<&T> {
        let (bits, _) = bits(address);
        self.lengths.iter().find_map(|&len| self.by_prefix.get(&(len, masked(bits, len))))
    }
}

/// What the settings say about client addresses.
#[derive(Clone, Debug)]
pub struct Directory {
    sources: Sources,
    weights: Prefixes<u32>,
    known: Prefixes<()>,
}

/// What the settings say about one address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SourceInfo {
    /// The source that the address belongs to.
    pub source: Source,
    /// How many ordinary clients the source stands for.
    pub weight: u32,
    /// The address is in the list of known clients.
    pub known: bool,
}

impl Directory {
    /// Prepares the lists of the settings for lookups.
    pub fn new(sources: &Sources, known: &Known) -> Directory {
        Directory {
            sources: sources.clone(),
            weights: sources.weights.iter().map(|w| (w.prefix, w.weight)).collect(),
            known: known.prefixes.iter().map(|p| (*p, ())).collect(),
        }
    }

    /// The source, weight and list entry of an address.
    pub fn look_up(&self, address: IpAddr) -> SourceInfo {
        SourceInfo {
            source: Source::of(address, &self.sources),
            weight: self.weights.get(address).copied().unwrap_or(1),
            known: self.known.get(address).is_some(),
        }
    }
}

/// Stands for a peer address that could not be determined.
pub const UNKNOWN_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

#[cfg(test)]
mod tests {
    use super::*;

    fn source(address: &str, v4: u8, v6: u8) -> String {
        let sources = Sources { v4_prefix: v4, v6_prefix: v6, weights: Vec::new() };
        Source::of(address.parse().unwrap(), &sources).to_string()
    }

    #[test]
    fn addresses_count_by_prefix_and_mapped_ones_as_ipv4() {
        for (address, v4, v6, shown) in [
            ("10.1.2.3", 32, 64, "10.1.2.3"),
            ("10.1.2.3", 24, 64, "10.1.2.0/24"),
            ("::ffff:10.1.2.3", 24, 64, "10.1.2.0/24"),
            ("2001:db8:1:ff77::9", 32, 64, "2001:db8:1:ff77::/64"),
            ("2001:db8:1:ff77::9", 32, 56, "2001:db8:1:ff00::/56"),
            ("2001:db8::9", 32, 128, "2001:db8::9"),
        ] {
            assert_eq!(source(address, v4, v6), shown, "{address}");
        }
    }

    #[test]
    fn the_longest_matching_prefix_decides() {
        let nets =
            [("10.0.0.0/8", 1), ("10.1.0.0/16", 2), ("2001:db8::/32", 3), ("::ffff:172.16.0.0/108", 4)];
        let prefixes: Prefixes<i32> = nets.iter().map(|(net, v)| (net.parse().unwrap(), *v)).collect();
        for (address, value) in [
            ("10.9.9.9", Some(1)),
            ("10.1.9.9", Some(2)),
            ("::ffff:10.1.9.9", Some(2)),
            ("2001:db8:5::1", Some(3)),
            ("172.17.0.1", Some(4)),
            ("11.0.0.1", None),
            ("2001:db9::1", None),
        ] {
            assert_eq!(prefixes.get(address.parse().unwrap()).copied(), value, "{address}");
        }
    }

    #[test]
    fn a_zero_length_prefix_matches_its_whole_address_family() {
        let all: Prefixes<()> = [("0.0.0.0/0".parse().unwrap(), ())].into_iter().collect();
        assert!(all.get("203.0.113.9".parse().unwrap()).is_some());
        assert!(all.get("2001:db8::1".parse().unwrap()).is_none());
    }
}
