//! What is to be done with nobody asking: closes when their time has come, or early under want.

use super::Admission;
use crate::Micros;
use crate::books::IDLE;
use crate::keep_alive::{ONCE, UNUSED, micros};
use crate::orders::{Activity, ConnId, EventKind, Order, Why};

/// Whom to close early is looked at this often, while there is reason to.
const LOOK: Micros = 20_000;
/// Connections whose idleness is counted at each look.
const WALK: usize = 64;
/// The shortest time within which a next request must be likely.
const SOONEST: Micros = 100_000;
/// Places for clients are to last so long, in s, at the rate at which they are taken.
const AHEAD: f64 = 0.3;
/// While something runs short, one that is less likely than this to be used soon is closed early.
const LEAN: f64 = 0.5;

impl Admission {
    /// When to [`poll`](Admission::poll) again, if nothing happens until then.
    pub fn due(&self) -> Option<Micros> {
        if !self.orders.is_empty() {
            return Some(self.now);
        }
        let expiry = micros(self.settings.keep.unfinished_close_ms);
        let unfinished = self.books.oldest_unfinished().map(|(begun, _)| begun + expiry);
        let idle = self.heads_of_classes().map(|(class, _, since)| since + self.worth.close_after(class));
        idle.chain(unfinished).chain(self.next_look).min()
    }

    /// The longest idle of each kind whose time can come, with its class.
    fn heads_of_classes(&self) -> impl Iterator<Item = (usize, ConnId, Micros)> {
        let heads = [false, true].into_iter().flat_map(|side| self.books.heads(side, 0..IDLE, 1));
        heads
            .map(|(_, name, conn)| (conn.class(), name, conn.since))
            .filter(|(class, ..)| !self.stopping || *class == UNUSED)
    }

    /// The next thing to do; `None` when there is nothing (more) now.
    pub fn poll(&mut self, now: Micros) -> Option<Order> {
        self.tick(now);
        if let Some(order) = self.orders.pop_front() {
            return Some(order);
        }
        if let Some(order) = self.time_over(now) {
            return Some(order);
        }
        if self.next_look.is_some_and(|at| at <= now) {
            if let Some(order) = self.over_limit(now).or_else(|| self.early(now)) {
                return Some(order);
            }
            self.look(now);
        }
        self.orders.pop_front()
    }

    /// Those whose time has come though there is room.
    fn time_over(&mut self, now: Micros) -> Option<Order> {
        let expiry = micros(self.settings.keep.unfinished_close_ms);
        if let Some((begun, conn)) = self.books.oldest_unfinished()
            && begun + expiry <= now
        {
            self.order(now, conn, Why::Unfinished, false);
            return Some(Order::Expire { conn });
        }
        let over =
            |(class, _, since): &(usize, ConnId, Micros)| since + self.worth.close_after(*class) <= now;
        let (class, conn, _) = self.heads_of_classes().find(over)?;
        Some(self.close(now, conn, if class == UNUSED { Why::Silent } else { Why::Idle }, false))
    }

    fn close(&mut self, now: Micros, conn: ConnId, why: Why, early: bool) -> Order {
        // Lingering costs a descriptor for a moment: only while there is room.
        let linger = early && self.books.held_in_all() < self.most();
        self.order(now, conn, why, linger);
        Order::Close { conn, why, linger }
    }

    fn order(&mut self, now: Micros, conn: ConnId, why: Why, watched: bool) {
        self.observe_rest(now, conn);
        // Those whose time is over are no news.
        if !matches!(why, Why::Silent | Why::Idle) {
            let source = self.source_of(conn);
            self.spells.note(now, EventKind::Closed(why), source);
        }
        self.books.update(conn, |c| {
            (c.activity, c.ordered, c.watched) = (Activity::Closing, true, watched);
        });
    }

    /// More are held than may be, since settings or resources changed: idle ones go.
    fn over_limit(&mut self, now: Micros) -> Option<Order> {
        if self.books.staying() <= self.most() {
            return None;
        }
        let known = self.books.sides[1].held > self.settings.known.connections as u64;
        let (books, worth, stopping) = (&self.books, &self.worth, self.stopping);
        let sides = [false, true].into_iter().filter(|side| known || !side);
        let (_, conn) = sides
            .flat_map(|side| books.heads(side, 0..IDLE, 1))
            .map(|(_, name, conn)| (conn.class(), name, conn))
            .filter(|(class, _, conn)| {
                (!stopping || *class == UNUSED) && now - conn.since >= worth.earliest(*class)
            })
            .map(|(class, name, conn)| (worth.of(class, now - conn.since), name))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        Some(self.close(now, conn, Why::OverLimit, false))
    }

    /// The clients' room, in connections, where that is bound.
    pub(super) fn clients_room(&self) -> Option<u64> {
        match (self.settings.keep.clients_room, self.resources.clients_room) {
            (0, 0) => None,
            (0, room) | (room, _) => Some(room as u64),
        }
    }

    /// What worth is too little for a used connection to stay, now. Guards clients that keep asking on what they
    /// have: while places last for longer than [`AHEAD`] at the rate at which they are taken, nobody wants more.
    fn too_little(&self) -> f64 {
        if self.stopping {
            return 0.0;
        }
        let too_little = self.clients_room().map_or(0.0, |room| {
            let (room, used) = (room as f64, self.books.used() as f64);
            let wanted = self.burst.per_s(self.now) * AHEAD / (room - used).max(1.0);
            self.worth.too_little(used / room) * wanted.min(1.0)
        });
        if self.stages.stage() > 0 { too_little.max(LEAN) } else { too_little }
    }

    /// Used connections that are idle go early while much of the clients' room is taken, if they are not likely to
    /// be used soon.
    fn early(&mut self, now: Micros) -> Option<Order> {
        let too_little = self.too_little();
        if too_little <= 0.0 {
            return None;
        }
        let room = self.clients_room().unwrap_or(self.books.used());
        let turnover = room as f64 / self.newly_used.per_s(now).max(1e-3) * 1e6;
        // A place that others would have by then is not kept for one that comes later.
        let most = micros(self.settings.keep.soon_ms);
        self.worth.soon = (turnover.min(1e12) as Micros).clamp(SOONEST.min(most), most);
        let known = self.books.sides[1].held > self.settings.known.connections as u64;
        let sides = [false, true].into_iter().filter(|side| known || !side);
        let unlearnt = self.worth.early_after(self.books.used() as f64 / room.max(1) as f64);
        let (books, worth) = (&self.books, &self.worth);
        let (_, conn) = sides
            .flat_map(|side| books.heads(side, ONCE..IDLE, 1))
            .filter(|(_, _, conn)| conn.class() != UNUSED)
            .filter_map(|(_, name, conn)| {
                let (class, age) = (conn.class(), now - conn.since);
                let learnt = !conn.probe && worth.is_learnt(now, class, age);
                let sure = age >= worth.earliest(class) && (learnt || age >= unlearnt);
                let worth = worth.of(class, age);
                (sure && worth < too_little).then_some((worth, name))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        let why = if self.stages.stage() > 0 { Why::RunOut } else { Why::ClientsRoom };
        Some(self.close(now, conn, why, true))
    }

    /// Counts how long some have been idle, and says when to look again. Guards against learning only from those
    /// whose time is over: that some have not asked yet is known before.
    fn look(&mut self, now: Micros) {
        let (names, places) = self.books.places(self.cursor, WALK);
        self.cursor = if self.cursor + WALK >= places { 0 } else { self.cursor + WALK };
        for name in names {
            let Some(conn) = self.books.get_mut(name).filter(|c| c.is_idle()) else { continue };
            let age = now - conn.since;
            let (class, from) = (conn.class(), std::mem::replace(&mut conn.observed, age));
            self.worth.observe(now, class, from, age, false);
        }
        self.worth.freshen(now);
        self.next_look = self.is_wanted().then_some(now + LOOK);
    }

    /// There is reason to look whom to close early.
    fn is_wanted(&mut self) -> bool {
        self.books.staying() >= self.most() || self.too_little() > 0.0
    }

    /// Something happened that may give reason to look.
    pub(super) fn look_if_wanted(&mut self, now: Micros) {
        if self.next_look.is_none() && self.is_wanted() {
            self.next_look = Some(now);
        }
    }
}
