//! The share of one service instance in the connection limits that hold for all instances together.

use lapisrudder_decisions::Micros;
use lapisrudder_engine::Limits;

/// Idle timeout of an instance whose share is one connection to each server. There are many such instances,
/// so their idle connections would add up at the servers. In microseconds.
const SINGLE_CONNECTION_IDLE: Micros = 1_000_000;

/// The configured connection limits, before they are divided among the instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of connections to one server, for all instances together.
    pub per_member: usize,
    /// Maximum number of connections to the origin, for all instances together.
    pub to_origin: usize,
    /// Maximum number of connections of one instance to all servers.
    pub per_instance: usize,
    /// Idle timeout of the connections of this instance, if configured.
    pub idle: Option<Micros>,
}

impl Default for ConnectionLimits {
    /// The limits that nodes share among themselves, and 256 connections for one instance.
    fn default() -> Self {
        let unshared = Limits::default();
        ConnectionLimits {
            per_member: unshared.per_member,
            to_origin: unshared.to_origin,
            per_instance: 256,
            idle: None,
        }
    }
}

impl ConnectionLimits {
    /// Returns the limits of one of `copies` instances: an equal share, at least one connection to each
    /// server. Connections are opened only when a request needs one. An instance whose share is one
    /// connection closes it soon after its last use; otherwise a rolling deployment, where instances come and
    /// go, would overload the servers with idle connections.
    pub(crate) fn share(
        &self,
        copies: u32,
        connect_timeout: Micros,
        conn_idle: Micros,
        multiplex: usize,
    ) -> Limits {
        let unshared = Limits::shared(1, connect_timeout, conn_idle, multiplex, self.per_instance.max(1));
        let share_of = |total: usize| (total / copies.max(1) as usize).max(1);
        let (per_member, to_origin) = (share_of(self.per_member), share_of(self.to_origin));
        let idle = if per_member == 1 { unshared.idle.min(SINGLE_CONNECTION_IDLE) } else { unshared.idle };
        // Close idle connections well before the server does: if it closes one while a request is written to
        // it, that request fails.
        let idle = self.idle.map_or(idle, |configured| configured.clamp(1, unshared.idle));
        Limits { per_member, to_origin, idle, ..unshared }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn share_is_at_least_one_connection_and_a_single_one_has_a_short_idle_timeout() {
        let total = ConnectionLimits::default();
        for (copies, per_member, to_origin, idle) in
            [(0, 12, 96, 10_000_000), (1, 12, 96, 10_000_000), (5, 2, 19, 10_000_000), (300, 1, 1, 1_000_000)]
        {
            let limits = total.share(copies, 250_000, 60_000_000, 32);
            assert_eq!((limits.per_member, limits.to_origin, limits.idle), (per_member, to_origin, idle));
        }
        let configured =
            ConnectionLimits { idle: Some(30_000_000), ..total }.share(1, 250_000, 8_000_000, 32);
        assert_eq!(configured.idle, 2_000_000, "a quarter of the idle timeout of the servers");
    }
}
