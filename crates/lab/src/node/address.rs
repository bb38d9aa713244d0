//! Addresses on loopback that nobody listens on.

use super::NodeError;
use lapisrudder_model::mix::mix;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};

/// Ports below those that the system deals out, so that no connection takes one before its node does.
const FIRST_PORT: u16 = 11_211;
static DRAWN: AtomicU64 = AtomicU64::new(0);

/// For so many nodes: one address of 127.64.0.0/10, and ports from 11211 on.
///
/// # Errors
/// None is free.
pub fn addresses(count: usize) -> Result<Vec<SocketAddr>, NodeError> {
    let mut source = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..100 {
        // Two labs at once draw others, and so do two runs of one lab.
        let turn = DRAWN.fetch_add(1, Ordering::Relaxed);
        let [a, b, c, ..] = mix(u64::from(std::process::id()) << 32 | turn).to_le_bytes();
        let ip = Ipv4Addr::new(127, 64 + a % 64, b, c.clamp(1, 254));
        let all: Vec<SocketAddr> =
            (0..count).map(|n| SocketAddr::from((ip, FIRST_PORT + n as u16))).collect();
        match all.iter().try_for_each(|address| TcpListener::bind(address).map(drop)) {
            Ok(()) => return Ok(all),
            Err(e) => source = e,
        }
    }
    Err(NodeError::Address { count, source })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nobody_listens_there() {
        let (first, second) = (addresses(3).unwrap_or_default(), addresses(3).unwrap_or_default());
        assert!(first.len() == 3 && first.iter().all(|a| !second.contains(a) && a.ip().is_loopback()));
    }
}
