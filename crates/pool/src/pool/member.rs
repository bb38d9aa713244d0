//! State of one member.

use super::conn::{AVAILABLE, Conn, InList, PROGRESS};
use super::explain::{Counts, TargetReason};
use crate::ceiling::Ceiling;
use crate::connect_rate::{Backoff, ConnectRate};
use crate::demand::Demand;
use crate::holding_cost::HoldingCost;
use crate::idle_limit::IdleLimit;
use crate::list::List;
use crate::sliding_max::SlidingMax;
use crate::{Member, MemberId, Micros, Ticket};
use std::collections::VecDeque;

/// Number of lists of busy connections, grouped by the flows on them.
pub(super) const LEVELS: usize = 8;

/// Assumed time to establish a connection before any has been measured, µs.
const CONNECT_PRIOR: f64 = 2_000.0;
/// Weight of one sample in the moving averages of connect time and first-answer time.
const CONNECT_WEIGHT: f64 = 0.1;

/// The list for a connection with `load` flows.
pub(super) fn level(load: u32) -> u8 {
    match load {
        0..=4 => load.saturating_sub(1) as u8,
        5..=6 => 4,
        7..=8 => 5,
        9..=16 => 6,
        _ => 7,
    }
}

/// Connections ended by the peer in quick succession.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EndBurst {
    pub(super) since: Micros,
    pub(super) count: u32,
    /// How many of those were in use just before, and so cannot have died of being idle.
    pub(super) recently_used: u32,
    /// Established connections when the burst began; 0 once it has been classified as a mass reset.
    pub(super) established: u32,
}

/// Sum and number of the flow times in a window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FlowTimes {
    pub(super) sum: f64,
    pub(super) count: f64,
}

#[derive(Debug)]
pub(super) struct MemberState {
    pub(super) id: MemberId,
    pub(super) info: Member,
    /// Index in the pool's `kinds`.
    pub(super) kind: usize,
    /// Draining or removed: takes no new flows.
    pub(super) closed: bool,
    /// No longer listed; dropped with its last connection.
    pub(super) removed: bool,
    pub(super) up: u32,
    pub(super) connecting: u32,
    pub(super) blocked: u32,
    pub(super) in_flight: u32,
    pub(super) idle: List<AVAILABLE>,
    levels: [List<AVAILABLE>; LEVELS],
    /// Bit `n` is set while `levels[n]` is not empty.
    nonempty_levels: u8,
    pub(super) slow: List<AVAILABLE>,
    pub(super) progress: List<PROGRESS>,
    pub(super) waiting: VecDeque<(Ticket, Micros)>,
    pub(super) demand: Demand,
    pub(super) recent_need: SlidingMax,
    pub(super) target: u32,
    pub(super) reason: TargetReason,
    pub(super) holding_cost: HoldingCost,
    pub(super) ceiling: Ceiling,
    pub(super) idle_limit: IdleLimit,
    /// The time of an end by the peer, and the idle limit before it, to be restored if that end proves to be
    /// part of a mass reset or of a failure of the member.
    pub(super) limit_before_end: Option<(Micros, IdleLimit)>,
    pub(super) connect_rate: ConnectRate,
    pub(super) backoff: Backoff,
    /// Mean time to establish a connection, and the additional time of its first answer, µs.
    pub(super) connect_time: f64,
    pub(super) first_answer_extra: f64,
    pub(super) connect_samples: u32,
    pub(super) last_answer: Micros,
    /// Set while the member is unresponsive: the time of its last answer before that.
    pub(super) silent_since: Option<Micros>,
    pub(super) next_probe: Micros,
    /// Start of the last unresponsive period, and when the member answered again on a connection opened after
    /// that start; set until an older connection answers too.
    pub(super) older_unconfirmed: Option<(Micros, Micros)>,
    /// When the last connect began.
    pub(super) last_open: Micros,
    pub(super) end_burst: EndBurst,
    pub(super) times: FlowTimes,
    /// Expected flows per second, and until when.
    pub(super) expected: (f64, Micros),
    pub(super) timer_at: Micros,
    pub(super) counts: Counts,
}

impl MemberState {
    pub(super) fn new(
        now: Micros,
        id: MemberId,
        info: Member,
        kind: usize,
        idle_limit: IdleLimit,
        connect_rate: ConnectRate,
        holding_cost: HoldingCost,
    ) -> Self {
        MemberState {
            id,
            info,
            kind,
            closed: false,
            removed: false,
            up: 0,
            connecting: 0,
            blocked: 0,
            in_flight: 0,
            idle: List::default(),
            levels: [List::default(); LEVELS],
            nonempty_levels: 0,
            slow: List::default(),
            progress: List::default(),
            waiting: VecDeque::new(),
            demand: Demand::new(now),
            recent_need: SlidingMax::new(now),
            target: 0,
            reason: TargetReason::LowLoad,
            holding_cost,
            ceiling: Ceiling::default(),
            idle_limit,
            limit_before_end: None,
            connect_rate,
            backoff: Backoff::default(),
            connect_time: CONNECT_PRIOR,
            first_answer_extra: 0.0,
            connect_samples: 0,
            last_answer: now,
            silent_since: None,
            next_probe: now,
            older_unconfirmed: None,
            last_open: now,
            end_burst: EndBurst::default(),
            times: FlowTimes::default(),
            expected: (0.0, now),
            timer_at: Micros::MAX,
            counts: Counts::default(),
        }
    }

    /// Connections, established or connecting.
    pub(super) fn total(&self) -> u32 {
        self.up + self.connecting
    }

    /// Of those, the ones that take flows or will.
    pub(super) fn usable(&self) -> u32 {
        self.up - self.blocked + self.connecting
    }

    pub(super) fn busy(&self) -> u32 {
        self.up - self.idle.len()
    }

    /// Records the duration of a connect.
    pub(super) fn on_connected(&mut self, took: Micros) {
        let weight = (1.0 / f64::from(self.connect_samples + 1)).max(CONNECT_WEIGHT);
        self.connect_time += (took as f64 - self.connect_time) * weight;
        self.connect_samples = self.connect_samples.saturating_add(1);
    }

    /// Records the additional time of the first answer on a connection.
    pub(super) fn on_first_answer(&mut self, extra: f64) {
        // Limits the effect of a single slow request.
        let extra = extra.clamp(0.0, 4.0 * self.first_answer_extra + 2_000.0);
        self.first_answer_extra += (extra - self.first_answer_extra) * CONNECT_WEIGHT;
    }

    /// Time without progress after which a connection counts as stalled: eight times the mean residual time
    /// of a flow, far beyond normal. The mean is capped at three times the undisturbed one, because otherwise
    /// each pause would raise the threshold for the next.
    pub(super) fn stall_threshold(&self, connect_timeout: Micros) -> Micros {
        if !self.demand.is_learnt() {
            return connect_timeout;
        }
        let time = self.demand.time().min(3.0 * self.demand.base_time());
        let usual = 8.0 * time * (1.0 + self.demand.cv2()) / 2.0;
        (usual as Micros).clamp(connect_timeout / 4, 4 * connect_timeout)
    }

    /// The available busy connection with the fewest flows; among equals the last one added.
    pub(super) fn least_busy(&self) -> Option<u32> {
        if self.nonempty_levels == 0 {
            None
        } else {
            self.levels[self.nonempty_levels.trailing_zeros() as usize].front()
        }
    }

    /// Removes a connection from the list of available connections that it is in.
    pub(super) fn remove_from_list(&mut self, conns: &mut [Conn], at: u32) {
        match std::mem::replace(&mut conns[at as usize].list, InList::None) {
            InList::None => {}
            InList::Idle => self.idle.remove(conns, at),
            InList::Slow => self.slow.remove(conns, at),
            InList::Level(n) => {
                let list = &mut self.levels[usize::from(n)];
                list.remove(conns, at);
                if list.len() == 0 {
                    self.nonempty_levels &= !(1 << n);
                }
            }
        }
    }

    /// Moves a busy connection to the list for its load, or out of the lists if it takes no more flows.
    pub(super) fn relist_busy(&mut self, conns: &mut [Conn], at: u32) {
        self.remove_from_list(conns, at);
        let c = &mut conns[at as usize];
        let load = c.load();
        if c.blocked || load == 0 || load >= self.info.pipeline_depth.max(1) {
            return;
        }
        let n = level(load);
        c.list = InList::Level(n);
        self.levels[usize::from(n)].push_front(conns, at);
        self.nonempty_levels |= 1 << n;
    }

    /// Moves a connection behind all that make normal progress.
    pub(super) fn list_slow(&mut self, conns: &mut [Conn], at: u32) {
        self.remove_from_list(conns, at);
        conns[at as usize].list = InList::Slow;
        self.slow.push_back(conns, at);
    }

    /// Updates the number of blocked connections, which take no flows.
    pub(super) fn update_blocked(&mut self, conn: &mut Conn) {
        let blocked = conn.stalled || conn.abandoned > 0 || conn.retiring;
        if blocked != conn.blocked {
            conn.blocked = blocked;
            if blocked {
                self.blocked += 1;
            } else {
                self.blocked -= 1;
            }
        }
    }

    /// Removes a connection from the list ordered by progress.
    pub(super) fn remove_from_progress(&mut self, conns: &mut [Conn], at: u32) {
        if std::mem::replace(&mut conns[at as usize].in_progress_list, false) {
            self.progress.remove(conns, at);
        }
    }
}
