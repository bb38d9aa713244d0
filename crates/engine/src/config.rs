//! What an engine is told at its start.

use lapisrudder_decisions::{Micros, Settings};

/// Idle connections close long before the member's machine may close them under a request.
const IDLE_MOST: Micros = 10_000_000;
/// Connections to one member, by all nodes. Guards a member's capacity: the fuller its table, the less it has
/// left to serve with. At 48 a busy day tipped into a jam; at 12 an overloaded one still did better than at 24.
const PER_MEMBER: usize = 12;
/// The same for the origin, whose connections carry one flow each; the decisions bound how many flows it gets.
const TO_ORIGIN: usize = 96;
/// Members of the fleet in which that was found.
const TO_ORIGIN_AT: usize = 12;

/// What an engine is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// What the decisions go by.
    pub settings: Settings,
    /// For the decisions' random numbers, and their own draw among the servers of a hot key.
    pub seed: u64,
    /// Limits on connections.
    pub limits: Limits,
}

/// Limits on connections to members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// A connection that is not up after this long has failed. One whose first flow has waited as long is taken for
    /// stalled: nothing goes behind it.
    pub connect_timeout: Micros,
    /// Idle connections are closed after this long, well before the member's machine does so.
    pub idle: Micros,
    /// Flows on one connection at a time. The origin's connections carry one.
    pub multiplex: usize,
    /// Connections to one member. Up to as many again may take the place of stalled ones.
    pub per_member: usize,
    /// Idle connections for each member there is, on the mean over them: where many balancers share a member's table
    /// this is under one, and most members have none.
    pub idle_per_member: f64,
    /// Connections to the origin at the least.
    pub to_origin: usize,
    /// The same for each member there is: what a larger fleet lacks is more, too.
    pub to_origin_per_member: f64,
    /// Connections to all of them. A member without any may still have one beyond.
    pub in_all: usize,
}

impl Limits {
    /// The limits of one of so many balancers: `conn_idle` is for how long members keep idle connections, `in_all`
    /// how many descriptors the host can spare for members.
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
            idle: (conn_idle / 4).min(IDLE_MOST),
            multiplex,
            per_member: (PER_MEMBER / siblings).max(2),
            idle_per_member: share(PER_MEMBER),
            to_origin: (TO_ORIGIN / siblings).max(2),
            to_origin_per_member: share(TO_ORIGIN / TO_ORIGIN_AT),
            in_all,
        }
    }
}

impl Default for Limits {
    /// Those of a balancer that serves alone: 0.25 s to connect, 32 flows on a connection, 512 connections.
    fn default() -> Self {
        Limits::shared(1, 250_000, 60_000_000, 32, 512)
    }
}
