//! Configuration of an engine.

use lapisrudder_decisions::{Micros, Settings};

/// Idle connections are closed long before the member's machine may close them while a request is being sent.
const MAX_IDLE: Micros = 10_000_000;
/// Connections to one member, of all nodes together. The fuller a member's connection table, the less
/// capacity is left for requests: with 48, a busy day ended in congestion collapse; with 12, an overloaded
/// member still did better than with 24.
const PER_MEMBER: usize = 12;
/// The same for the origin, whose connections carry one flow each; the decisions limit the number of flows.
const TO_ORIGIN: usize = 96;
/// Number of members in the fleet for which that holds.
const TO_ORIGIN_FLEET: usize = 12;

/// Configuration of an engine.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Settings of the decisions.
    pub settings: Settings,
    /// Seed of the decisions' random numbers, and of this node's own choice among the servers of a hot key.
    pub seed: u64,
    /// Limits on connections.
    pub limits: Limits,
}

/// Limits on connections to members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Time after which a pending connect has failed. A connection whose first flow has waited for as long
    /// counts as stalled: no flow is assigned behind it.
    pub connect_timeout: Micros,
    /// Time after which idle connections are closed, well before the member's machine does so.
    pub idle: Micros,
    /// Maximum number of flows on one connection. Connections to the origin carry one.
    pub multiplex: usize,
    /// Maximum number of connections to one member. As many again may replace stalled ones.
    pub per_member: usize,
    /// Maximum number of idle connections per member, on average: where many balancers share a member's table
    /// it is below one, and most members have none.
    pub idle_per_member: f64,
    /// Minimum of the limit on connections to the origin.
    pub to_origin: usize,
    /// The same limit per listed member: a larger fleet has more misses.
    pub to_origin_per_member: f64,
    /// Maximum number of connections to all members. A member without any may still have one beyond it, as far as
    /// [`Engine::limit_connections`](crate::Engine::limit_connections) allows.
    pub in_all: usize,
}

impl Limits {
    /// The limits for one of several balancers that share the members: `conn_idle` is how long members keep
    /// idle connections, `in_all` how many descriptors the host has for members.
    pub fn shared(
        siblings: u32,
        connect_timeout: Micros,
        conn_idle: Micros,
        multiplex: usize,
        in_all: usize,
    ) -> Limits {
        let siblings = siblings.max(1) as usize;
        let share = |all: usize| all as f64 / siblings as f64;
        Limits {
            connect_timeout,
            idle: (conn_idle / 4).min(MAX_IDLE),
            multiplex,
            per_member: (PER_MEMBER / siblings).max(2),
            idle_per_member: share(PER_MEMBER),
            to_origin: (TO_ORIGIN / siblings).max(2),
            to_origin_per_member: share(TO_ORIGIN / TO_ORIGIN_FLEET),
            in_all,
        }
    }
}

impl Default for Limits {
    /// Limits of a single balancer: 0.25 s to connect, 32 flows on a connection, 512 connections.
    fn default() -> Self {
        Limits::shared(1, 250_000, 60_000_000, 32, 512)
    }
}
