//! How many connections one of many copies may have.

use lapisrudder_decisions::Micros;
use lapisrudder_engine::Limits;

/// Idle connections of a copy whose share is a single one close after this long: there are many such copies.
const IDLE_SINGLE: Micros = 1_000_000;

/// What all copies together may hold, and what else limits go by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Totals {
    /// Connections to one server, by all copies.
    pub per_member: usize,
    /// Connections to the origin, by all copies.
    pub to_origin: usize,
    /// Connections of one copy to all servers.
    pub in_all: usize,
    /// How long this copy keeps an idle connection, if it is told.
    pub idle: Option<Micros>,
}

impl Default for Totals {
    /// Those that nodes use among themselves; 256 for one copy in all.
    fn default() -> Self {
        let alone = Limits::default();
        Totals { per_member: alone.per_member, to_origin: alone.to_origin, in_all: 256, idle: None }
    }
}

impl Totals {
    /// The limits of one of so many copies: its share, at least one connection. A copy opens one only when a request
    /// needs it. Guards servers against deploys: copies whose share is one close it soon after its last use, so that
    /// those that came and went do not add up.
    pub(crate) fn share(
        &self,
        copies: u32,
        connect_timeout: Micros,
        conn_idle: Micros,
        multiplex: usize,
    ) -> Limits {
        let alone = Limits::shared(1, connect_timeout, conn_idle, multiplex, self.in_all.max(1));
        let of = |total: usize| (total / copies.max(1) as usize).max(1);
        let (per_member, to_origin) = (of(self.per_member), of(self.to_origin));
        let idle = if per_member == 1 { alone.idle.min(IDLE_SINGLE) } else { alone.idle };
        // Danger: a connection that its server's machine closes under a request costs that request.
        let idle = self.idle.map_or(idle, |told| told.clamp(1, alone.idle));
        Limits { per_member, to_origin, idle, ..alone }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_share_is_at_least_one_and_a_single_connection_does_not_stay() {
        let totals = Totals::default();
        for (copies, per_member, to_origin, idle) in
            [(0, 12, 96, 10_000_000), (1, 12, 96, 10_000_000), (5, 2, 19, 10_000_000), (300, 1, 1, 1_000_000)]
        {
            let limits = totals.share(copies, 250_000, 60_000_000, 32);
            assert_eq!((limits.per_member, limits.to_origin, limits.idle), (per_member, to_origin, idle));
        }
        let told = Totals { idle: Some(30_000_000), ..totals }.share(1, 250_000, 8_000_000, 32);
        assert_eq!(told.idle, 2_000_000, "well before the servers do");
    }
}
