//! One member in the books.

use super::conn::{Conn, In, PROGRESS, TAKERS};
use super::explain::{Because, Counts};
use crate::ceiling::Ceiling;
use crate::life::Life;
use crate::list::List;
use crate::need::Need;
use crate::pace::{Backoff, Pace};
use crate::price::Price;
use crate::target::Held;
use crate::{Member, MemberId, Micros, Ticket};
use std::collections::VecDeque;

/// Lists of connections by how many flows are on them.
pub(super) const LEVELS: usize = 8;

/// Expected time until a connection is up, before any came up, µs.
const CONNECT_PRIOR: f64 = 2_000.0;
/// Weight of one more connect in its mean.
const CONNECT_WEIGHT: f64 = 0.1;

/// The list for so many flows on one connection.
pub(super) fn level(load: u32) -> u8 {
    match load {
        0..=4 => load.saturating_sub(1) as u8,
        5..=6 => 4,
        7..=8 => 5,
        9..=16 => 6,
        _ => 7,
    }
}

/// Ends of connections by the other side, close upon each other.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ends {
    pub(super) since: Micros,
    pub(super) count: u32,
    /// Of those, such as had been at work a moment ago.
    pub(super) young: u32,
    /// Connections that were up before.
    pub(super) held: u32,
}

/// Times of flows within a window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Times {
    pub(super) sum: f64,
    pub(super) count: f64,
}

#[derive(Debug)]
pub(super) struct MemberState {
    pub(super) id: MemberId,
    pub(super) info: Member,
    /// Its kind's place in the pool's list of kinds.
    pub(super) kind: usize,
    /// It drains or is gone: nothing new.
    pub(super) closed: bool,
    /// No longer listed; forgotten with its last connection.
    pub(super) gone: bool,
    pub(super) up: u32,
    pub(super) coming: u32,
    pub(super) blocked: u32,
    pub(super) in_flight: u32,
    pub(super) idle: List<TAKERS>,
    levels: [List<TAKERS>; LEVELS],
    /// A bit for each level that has any.
    filled: u8,
    pub(super) slow: List<TAKERS>,
    pub(super) progress: List<PROGRESS>,
    pub(super) waiting: VecDeque<(Ticket, Micros)>,
    pub(super) need: Need,
    pub(super) held: Held,
    pub(super) target: u32,
    pub(super) because: Because,
    pub(super) price: Price,
    pub(super) ceiling: Ceiling,
    pub(super) life: Life,
    /// The life before a death that may turn out to be a reset of everything, and when that death was.
    pub(super) undo: Option<(Micros, Life)>,
    pub(super) pace: Pace,
    pub(super) backoff: Backoff,
    /// Mean time until a connection is up, and what its first answer takes longer, µs.
    pub(super) connect_time: f64,
    pub(super) first_extra: f64,
    pub(super) connects: u32,
    pub(super) last_answer: Micros,
    /// It has answered on no connection since then, though all busy ones wait.
    pub(super) silent: Option<Micros>,
    pub(super) next_probe: Micros,
    /// Silent since the first, it was heard again at the second on a connection newer than that, and on no older one.
    pub(super) doubt: Option<(Micros, Micros)>,
    /// When a connect began last.
    pub(super) last_open: Micros,
    pub(super) ends: Ends,
    pub(super) times: Times,
    /// So many flows a second are foreseen, until then.
    pub(super) foreseen: (f64, Micros),
    pub(super) armed: Micros,
    pub(super) counts: Counts,
}

impl MemberState {
    pub(super) fn new(
        now: Micros,
        id: MemberId,
        info: Member,
        kind: usize,
        life: Life,
        pace: Pace,
        price: Price,
    ) -> Self {
        MemberState {
            id,
            info,
            kind,
            closed: false,
            gone: false,
            up: 0,
            coming: 0,
            blocked: 0,
            in_flight: 0,
            idle: List::default(),
            levels: [List::default(); LEVELS],
            filled: 0,
            slow: List::default(),
            progress: List::default(),
            waiting: VecDeque::new(),
            need: Need::new(now),
            held: Held::new(now),
            target: 0,
            because: Because::Quiet,
            price,
            ceiling: Ceiling::default(),
            life,
            undo: None,
            pace,
            backoff: Backoff::default(),
            connect_time: CONNECT_PRIOR,
            first_extra: 0.0,
            connects: 0,
            last_answer: now,
            silent: None,
            next_probe: now,
            doubt: None,
            last_open: now,
            ends: Ends::default(),
            times: Times::default(),
            foreseen: (0.0, now),
            armed: Micros::MAX,
            counts: Counts::default(),
        }
    }

    /// Connections there are or will be.
    pub(super) fn all(&self) -> u32 {
        self.up + self.coming
    }

    /// Of those, such as take flows, or will.
    pub(super) fn good(&self) -> u32 {
        self.up - self.blocked + self.coming
    }

    pub(super) fn busy(&self) -> u32 {
        self.up - self.idle.len()
    }

    /// A connect took so long.
    pub(super) fn came_up(&mut self, took: Micros) {
        let weight = (1.0 / f64::from(self.connects + 1)).max(CONNECT_WEIGHT);
        self.connect_time += (took as f64 - self.connect_time) * weight;
        self.connects = self.connects.saturating_add(1);
    }

    /// A first answer took so much longer than others.
    pub(super) fn first_took(&mut self, extra: f64) {
        // Guards against one slow request.
        let extra = extra.clamp(0.0, 4.0 * self.first_extra + 2_000.0);
        self.first_extra += (extra - self.first_extra) * CONNECT_WEIGHT;
    }

    /// From this long without progress on, a connection stalls. Far beyond what flows take: eight times the mean of
    /// what a flow has left when it is looked at. Guards against pauses that teach patience with the next one: the mean
    /// counts as three times the undisturbed one at most.
    pub(super) fn stall_mark(&self, connect_timeout: Micros) -> Micros {
        if !self.need.is_learnt() {
            return connect_timeout;
        }
        let time = self.need.time().min(3.0 * self.need.base_time());
        let usual = 8.0 * time * (1.0 + self.need.cv2()) / 2.0;
        (usual as Micros).clamp(connect_timeout / 4, 4 * connect_timeout)
    }

    /// The taker with the fewest flows, and of those the one that got on last.
    pub(super) fn least_busy(&self) -> Option<u32> {
        if self.filled == 0 { None } else { self.levels[self.filled.trailing_zeros() as usize].front() }
    }

    /// Takes a connection out of its list of takers.
    pub(super) fn unlist(&mut self, conns: &mut [Conn], at: u32) {
        match std::mem::replace(&mut conns[at as usize].list, In::None) {
            In::None => {}
            In::Idle => self.idle.remove(conns, at),
            In::Slow => self.slow.remove(conns, at),
            In::Level(n) => {
                let list = &mut self.levels[usize::from(n)];
                list.remove(conns, at);
                if list.len() == 0 {
                    self.filled &= !(1 << n);
                }
            }
        }
    }

    /// Puts a busy connection among those that take flows, if it does.
    pub(super) fn list_busy(&mut self, conns: &mut [Conn], at: u32) {
        self.unlist(conns, at);
        let c = &mut conns[at as usize];
        let load = c.load();
        if c.blocked || load == 0 || load >= self.info.at_once.max(1) {
            return;
        }
        let n = level(load);
        c.list = In::Level(n);
        self.levels[usize::from(n)].push_front(conns, at);
        self.filled |= 1 << n;
    }

    /// Puts one behind those that get on as usual.
    pub(super) fn list_slow(&mut self, conns: &mut [Conn], at: u32) {
        self.unlist(conns, at);
        conns[at as usize].list = In::Slow;
        self.slow.push_back(conns, at);
    }

    /// Brings the count of those that take nothing up to date.
    pub(super) fn see_blocked(&mut self, conn: &mut Conn) {
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

    /// Takes one out of the list by progress.
    pub(super) fn unmove(&mut self, conns: &mut [Conn], at: u32) {
        if std::mem::replace(&mut conns[at as usize].moving, false) {
            self.progress.remove(conns, at);
        }
    }
}
