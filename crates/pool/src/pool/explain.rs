//! Counters of connections and flows, and the explanation of a member's target.

use super::Pool;
use crate::{MemberId, Micros};
use std::fmt;

/// What determines the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetReason {
    /// Hardly any flows: connections are opened on demand and kept while in use.
    LowLoad,
    /// The present load.
    Load,
    /// A higher load within the last `hold_ms`.
    RecentLoad,
    /// Expected load: the member is about to be warm, or keys are about to move to it.
    ExpectedLoad,
    /// The member refused more connections.
    MemberLimit,
    /// The setting `pool.per_member`.
    ConfiguredLimit,
    /// The node is near its connection limit.
    NodeLimit,
}

impl fmt::Display for TargetReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TargetReason::LowLoad => "low load",
            TargetReason::Load => "load",
            TargetReason::RecentLoad => "recent load",
            TargetReason::ExpectedLoad => "expected load",
            TargetReason::MemberLimit => "limit of the member",
            TargetReason::ConfiguredLimit => "pool.per_member",
            TargetReason::NodeLimit => "connection limit of the node",
        })
    }
}

/// Counters of a member since it was listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connects begun.
    pub opened: u64,
    /// Of those, begun while no flow was queued.
    pub preconnected: u64,
    /// Connects refused or timed out.
    pub refused: u64,
    /// Flows assigned to connections.
    pub flows: u64,
    /// Of those, on a connection that had answered before.
    pub reused: u64,
    /// Of those, behind other flows.
    pub pipelined: u64,
    /// Flows rejected for lack of a connection.
    pub rejected: u64,
    /// Connections found dead by a flow after being idle.
    pub found_dead: u64,
    /// Idle connections closed visibly by the peer.
    pub closed_by_peer: u64,
    /// Connections that failed in use.
    pub failed: u64,
    /// Mass resets by the member.
    pub resets: u64,
    /// Connections closed by this side: idle, at their maximum lifetime, surplus, evicted or at the host's
    /// request.
    pub retired: u64,
    /// Highest number of established connections.
    pub max_up: u32,
}

impl Counts {
    /// Adds the counters of another member.
    pub fn add(&mut self, other: &Counts) {
        self.opened += other.opened;
        self.preconnected += other.preconnected;
        self.refused += other.refused;
        self.flows += other.flows;
        self.reused += other.reused;
        self.pipelined += other.pipelined;
        self.rejected += other.rejected;
        self.found_dead += other.found_dead;
        self.closed_by_peer += other.closed_by_peer;
        self.failed += other.failed;
        self.resets += other.resets;
        self.retired += other.retired;
        self.max_up = self.max_up.max(other.max_up);
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { opened, preconnected, refused, flows, reused, pipelined, rejected, .. } = self;
        let Counts { found_dead, closed_by_peer, failed, resets, retired, max_up, .. } = self;
        write!(
            f,
            "opened {opened} ({preconnected} pre-connected, {refused} failed), flows {flows} ({reused} on \
             reused connections, {pipelined} pipelined, {rejected} rejected), found dead {found_dead}, \
             closed by peer {closed_by_peer}, failed in use {failed}, mass resets {resets}, retired \
             {retired}, max up {max_up}"
        )
    }
}

/// State of a member. The `Display` text is one log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The member.
    pub member: MemberId,
    /// Its kind.
    pub kind: u32,
    /// Target number of connections.
    pub target: u32,
    /// What determines the target.
    pub reason: TargetReason,
    /// Established connections.
    pub up: u32,
    /// Of those, idle.
    pub idle: u32,
    /// Of those, blocked: stalled, retiring, or with an abandoned flow, so that they take no flows.
    pub blocked: u32,
    /// Connections being established.
    pub connecting: u32,
    /// Flows on connections.
    pub in_flight: u32,
    /// Queued flows.
    pub waiting: usize,
    /// Flows per second to provide connections for, as measured.
    pub rate: f64,
    /// Undisturbed mean duration of a flow, µs.
    pub time: f64,
    /// Mean number of flows in flight, the product of `rate` and `time`.
    pub load: f64,
    /// Variance of the number in flight divided by its mean.
    pub peakedness: f64,
    /// Estimated relative slow-down of flows if each node holds one more connection.
    pub cost: f64,
    /// Mean time to establish a connection, µs.
    pub connect_time: f64,
    /// Additional time of the first answer on a connection, µs.
    pub first_answer_extra: f64,
    /// Maximum idle time after which a connection is still used.
    pub idle_limit: Micros,
    /// Maximum number of connections, if the member was seen to refuse more.
    pub ceiling: Option<u32>,
    /// For how long an unresponsive member has not answered, µs.
    pub silent_for: Option<Micros>,
    /// Failed connects since the last success.
    pub consecutive_failures: u32,
    /// Counters.
    pub counts: Counts,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |us: f64| us / 1e3;
        write!(
            f,
            "member {}: target {} ({}): {:.1} flows/s of {:.2} ms, load {:.2}, peakedness {:.1}, cost per \
             connection {:.4}; {} up ({} idle, {} blocked), {} connecting, {} in flight, {} queued; connect \
             {:.2} ms, first answer +{:.2} ms; idle up to {:.1} s",
            self.member.0,
            self.target,
            self.reason,
            self.rate,
            ms(self.time),
            self.load,
            self.peakedness,
            self.cost,
            self.up,
            self.idle,
            self.blocked,
            self.connecting,
            self.in_flight,
            self.waiting,
            ms(self.connect_time),
            ms(self.first_answer_extra),
            self.idle_limit as f64 / 1e6,
        )?;
        if let Some(most) = self.ceiling {
            write!(f, "; accepts at most {most}")?;
        }
        if let Some(since) = self.silent_for {
            write!(f, "; unresponsive for {:.2} s", since as f64 / 1e6)?;
        }
        if self.consecutive_failures > 0 {
            write!(f, "; {} consecutive failed connects", self.consecutive_failures)?;
        }
        write!(f, "; {}", self.counts)
    }
}

impl Pool {
    /// Explains the state of a member.
    #[must_use]
    pub fn explain(&self, now: Micros, member: MemberId) -> Option<Explanation> {
        let m = &self.members[*self.by_id.get(&member)? as usize];
        let load = m.demand.rate() * m.demand.base_time() / 1e6;
        Some(Explanation {
            member,
            kind: m.info.kind,
            target: m.target,
            reason: m.reason,
            up: m.up,
            idle: m.idle.len(),
            blocked: m.blocked,
            connecting: m.connecting,
            in_flight: m.in_flight,
            waiting: m.waiting.len(),
            rate: m.demand.rate(),
            time: m.demand.base_time(),
            load,
            peakedness: m.demand.peakedness(),
            cost: self.cost(m),
            connect_time: m.connect_time,
            first_answer_extra: m.first_answer_extra,
            idle_limit: m.idle_limit.limit(),
            ceiling: m.ceiling.is_learnt().then(|| m.ceiling.limit(now)),
            silent_for: m.silent_since.map(|since| now - since),
            consecutive_failures: m.backoff.consecutive_failures(),
            counts: m.counts,
        })
    }

    /// Ids of all members, ascending.
    #[must_use]
    pub fn members(&self) -> Vec<MemberId> {
        let mut all: Vec<MemberId> = self.by_id.keys().copied().collect();
        all.sort_unstable();
        all
    }

    /// Counters of all members, including removed ones.
    #[must_use]
    pub fn totals(&self) -> Counts {
        let mut all = self.removed_counts;
        self.by_id.values().for_each(|m| all.add(&self.members[*m as usize].counts));
        all
    }

    /// Estimated share of dead connections by idle age at a member, for diagnosis: for each step the age in
    /// µs at which it begins, the share, and the number of observations.
    #[must_use]
    pub fn death_share_by_age(&self, member: MemberId) -> Vec<(Micros, f64, f64)> {
        let m = self.by_id.get(&member).and_then(|m| self.members.get(*m as usize));
        m.map_or(Vec::new(), |m| m.idle_limit.table.death_share_by_age())
    }
}
