//! What is wrong with the network between clients and each node. Played by the clients' side of the sockets, so that no
//! privileges are needed.

use crate::{Micros, millis};
use lapisrudder_model::clients::ConnectFailure;
use lapisrudder_model::mix::{exponential, keyed_rng, unit};

/// The state of one link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Nothing goes through: neither bytes nor ends, and no connect comes up.
    pub cut: bool,
    /// When a cut ends, connections from before are reset; else what was sent meanwhile arrives after all.
    pub resets_on_heal: bool,
    /// New connections are refused.
    pub refuses: bool,
    /// New connections are reset.
    pub resets_new: bool,
    /// This share of the new connections never comes up.
    pub loses_new: f64,
    /// Mean delay each way (ms).
    pub delay_ms: f64,
    /// Coefficient of variation of the delay, 0 to 1: a fixed part and an exponential one.
    pub jitter: f64,
    /// Share of the open connections that is reset in each second.
    pub resets_per_s: f64,
    /// Most bytes that go in one piece; 0 is any number.
    pub piece: usize,
}

impl Link {
    /// How long bytes take, by the number of their connection and of the piece.
    pub(super) fn delay(&self, conn: u32, piece: u64) -> Micros {
        if self.delay_ms <= 0.0 {
            return 0;
        }
        let jitter = self.jitter.clamp(0.0, 1.0);
        let drawn = exponential(&mut keyed_rng(0, "link delay", u64::from(conn), piece));
        millis(self.delay_ms * (1.0 - jitter + jitter * drawn))
    }

    /// What becomes of a new connection: it is refused or reset, or never comes up (true), or it is opened (false).
    pub(super) fn fate(&self, conn: u32) -> Result<bool, ConnectFailure> {
        let lost = || unit(&mut keyed_rng(0, "link loses", u64::from(conn), 0)) < self.loses_new;
        match () {
            _ if self.refuses => Err(ConnectFailure::Refused),
            _ if self.resets_new => Err(ConnectFailure::Reset),
            _ => Ok(self.cut || lost()),
        }
    }

    /// Whether a connection is reset in a stretch of so many seconds.
    pub(super) fn resets(&self, conn: u32, stretch: u64, seconds: f64) -> bool {
        let share = -libm::expm1(-self.resets_per_s * seconds);
        share > 0.0 && unit(&mut keyed_rng(0, "link reset", u64::from(conn), stretch)) < share
    }
}

/// All links, by node.
#[derive(Clone, Debug, Default)]
pub(super) struct Links(Vec<Link>);

impl Links {
    pub(super) fn get(&self, node: Option<u16>) -> Link {
        node.and_then(|node| self.0.get(usize::from(node))).copied().unwrap_or_default()
    }

    pub(super) fn set(&mut self, node: u16, link: Link) {
        let at = usize::from(node);
        if self.0.len() <= at {
            self.0.resize(at + 1, Link::default());
        }
        if let Some(place) = self.0.get_mut(at) {
            *place = link;
        }
    }

    pub(super) fn any_resets(&self) -> bool {
        self.0.iter().any(|link| link.resets_per_s > 0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn resets_and_delays_have_their_means() {
        let link = Link { delay_ms: 20.0, jitter: 0.5, resets_per_s: 0.3, ..Link::default() };
        let n = 20_000;
        let mean = (0..n).map(|i| link.delay(i, 0)).sum::<Micros>() as f64 / f64::from(n);
        // The deviation is 10 ms, so that of the mean 0.07 ms.
        assert!((mean - 20_000.0).abs() < 300.0, "{mean}");
        let survive = |conn| !(0..10).any(|stretch| link.resets(conn, stretch, 0.1));
        let share = (0..n).filter(|&conn| survive(conn)).count() as f64 / f64::from(n);
        assert!((share - (-0.3f64).exp()).abs() < 0.014, "after a second {share} are left");
        assert_eq!(Link::default().delay(1, 1), 0);
    }
}
