//! What was held, opened, reused, refused and lost, and why the number aimed at is what it is.

use super::Pool;
use crate::{MemberId, Micros};
use std::fmt;

/// Why so many connections are aimed at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Because {
    /// Hardly any flows: one is opened when it is needed, and kept while it is used.
    Quiet,
    /// What the load is worth.
    Load,
    /// What the load was worth lately.
    Lately,
    /// A load that is foreseen: the member is about to be warm, or others' keys are about to move to it.
    Foreseen,
    /// The member refused more.
    Refused,
    /// The operators' bound.
    Setting,
    /// The node holds all that it may.
    Descriptors,
}

impl fmt::Display for Because {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Because::Quiet => "hardly any load",
            Because::Load => "the load is worth it",
            Because::Lately => "the load was worth it lately",
            Because::Foreseen => "more load is foreseen",
            Because::Refused => "the member refused more",
            Because::Setting => "pool.per_member",
            Because::Descriptors => "the node holds all that it may",
        })
    }
}

/// What has happened at a member since it was listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connects begun.
    pub opened: u64,
    /// Of those, such as were begun with no flow waiting.
    pub ahead: u64,
    /// Connects refused, or not up in time.
    pub refused: u64,
    /// Flows put on connections.
    pub flows: u64,
    /// Of those, on one that had brought an answer before.
    pub reused: u64,
    /// Of those, behind others.
    pub behind: u64,
    /// Flows that got no connection.
    pub turned_away: u64,
    /// Connections that a flow found dead after standing idle.
    pub dead: u64,
    /// Idle connections that the other side closed, and told.
    pub told: u64,
    /// Connections that failed under work.
    pub failed: u64,
    /// Times that the member reset everything.
    pub resets: u64,
    /// Connections closed by this side, for being idle, old or not needed.
    pub retired: u64,
    /// Most connections up at once.
    pub most_up: u32,
}

impl Counts {
    /// Adds what happened elsewhere.
    pub fn add(&mut self, other: &Counts) {
        self.opened += other.opened;
        self.ahead += other.ahead;
        self.refused += other.refused;
        self.flows += other.flows;
        self.reused += other.reused;
        self.behind += other.behind;
        self.turned_away += other.turned_away;
        self.dead += other.dead;
        self.told += other.told;
        self.failed += other.failed;
        self.resets += other.resets;
        self.retired += other.retired;
        self.most_up = self.most_up.max(other.most_up);
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { opened, ahead, refused, flows, reused, behind, turned_away, .. } = self;
        let Counts { dead, told, failed, resets, retired, most_up, .. } = self;
        write!(
            f,
            "opened {opened} ({ahead} ahead, {refused} in vain), flows {flows} ({reused} reused, {behind} behind others, \
             {turned_away} turned away), dead when used {dead}, closed by peer {told}, failed {failed}, resets of all \
             {resets}, retired {retired}, most up {most_up}"
        )
    }
}

/// How a member stands. Its text is one line for a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Which.
    pub member: MemberId,
    /// Its kind.
    pub kind: u32,
    /// Connections aimed at.
    pub target: u32,
    /// Why so many.
    pub because: Because,
    /// Connections up.
    pub up: u32,
    /// Of those, idle.
    pub idle: u32,
    /// Of those, such as take nothing: they stall, or hold a flow that nobody waits for.
    pub blocked: u32,
    /// Connections on their way.
    pub coming: u32,
    /// Flows on connections.
    pub in_flight: u32,
    /// Flows that wait for one.
    pub waiting: usize,
    /// Flows a second that the target is for.
    pub rate: f64,
    /// Undisturbed mean time of a flow, µs.
    pub time: f64,
    /// Mean flows in flight by these two.
    pub load: f64,
    /// Variance over mean of the number in flight.
    pub peaked: f64,
    /// How much slower flows are taken to get if each node holds one connection more.
    pub cost: f64,
    /// Time until a new connection is up, and what its first answer takes longer, µs.
    pub connect_time: f64,
    /// See `connect_time`.
    pub first_extra: f64,
    /// Idle connections are not used beyond this age.
    pub idle_limit: Micros,
    /// Connections that the member bears, where it was seen to refuse more.
    pub ceiling: Option<u32>,
    /// For how long it has not answered on any connection.
    pub silent_for: Option<Micros>,
    /// Connects in vain since one came up.
    pub fails: u32,
    /// What has happened.
    pub counts: Counts,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |us: f64| us / 1e3;
        write!(
            f,
            "member {}: aims at {} ({}): {:.1} flows/s of {:.2} ms, load {:.2}, bursts {:.1}, one more costs {:.4}; \
             {} up ({} idle, {} blocked), {} coming, {} in flight, {} waiting; connect {:.2} ms and {:.2} ms; idle up \
             to {:.1} s",
            self.member.0,
            self.target,
            self.because,
            self.rate,
            ms(self.time),
            self.load,
            self.peaked,
            self.cost,
            self.up,
            self.idle,
            self.blocked,
            self.coming,
            self.in_flight,
            self.waiting,
            ms(self.connect_time),
            ms(self.first_extra),
            self.idle_limit as f64 / 1e6,
        )?;
        if let Some(most) = self.ceiling {
            write!(f, "; bears {most}")?;
        }
        if let Some(since) = self.silent_for {
            write!(f, "; silent for {:.2} s", since as f64 / 1e6)?;
        }
        if self.fails > 0 {
            write!(f, "; {} connects in vain", self.fails)?;
        }
        write!(f, "; {}", self.counts)
    }
}

impl Pool {
    /// How a member stands, and why.
    #[must_use]
    pub fn explain(&self, now: Micros, member: MemberId) -> Option<Explanation> {
        let m = &self.members[*self.by_id.get(&member)? as usize];
        let load = m.need.rate() * m.need.base_time() / 1e6;
        Some(Explanation {
            member,
            kind: m.info.kind,
            target: m.target,
            because: m.because,
            up: m.up,
            idle: m.idle.len(),
            blocked: m.blocked,
            coming: m.coming,
            in_flight: m.in_flight,
            waiting: m.waiting.len(),
            rate: m.need.rate(),
            time: m.need.base_time(),
            load,
            peaked: m.need.peaked(),
            cost: self.cost(m),
            connect_time: m.connect_time,
            first_extra: m.first_extra,
            idle_limit: m.life.limit(),
            ceiling: m.ceiling.is_learnt().then(|| m.ceiling.most(now)),
            silent_for: m.silent.map(|since| now - since),
            fails: m.backoff.fails(),
            counts: m.counts,
        })
    }

    /// The members that there are, in the order of their ids.
    #[must_use]
    pub fn members(&self) -> Vec<MemberId> {
        let mut all: Vec<MemberId> = self.by_id.keys().copied().collect();
        all.sort_unstable();
        all
    }

    /// What has happened at all members, also at those that are gone.
    #[must_use]
    pub fn totals(&self) -> Counts {
        let mut all = self.past;
        self.by_id.values().for_each(|m| all.add(&self.members[*m as usize].counts));
        all
    }

    /// The share of connections that were found dead by idle age at a member, for a closer look: ages in µs from
    /// which on the share holds, the share, and how many uses it is taken from.
    #[must_use]
    pub fn dead_by_age(&self, member: MemberId) -> Vec<(Micros, f64, f64)> {
        let m = self.by_id.get(&member).and_then(|m| self.members.get(*m as usize));
        m.map_or(Vec::new(), |m| m.life.table.dead_by_age())
    }
}
