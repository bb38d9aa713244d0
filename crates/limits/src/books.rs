//! The books: each connection that is held, each source that holds something, and who is idle since when.
//!
//! Names are places in a slab with a generation, so that a look-up costs one index and an old name finds nothing.
//! Idle connections stand in lists by kind, those idle for longest first, once for all and once for each source:
//! which one is worth least is found by looking at the heads, without a scan.

use crate::Micros;
use crate::chains::{Chains, EMPTY, Ends};
use crate::keep_alive::{CLASSES, class};
use crate::orders::{Activity, ConnId};
use crate::share::Shares;
use crate::source::{KeyedHash, SourceInfo, Source};
use std::collections::{BTreeSet, HashMap};

/// Kinds of lists: one for each class of idle ones, and these.
pub(crate) const KINDS: usize = CLASSES + 4;
/// Idle, never used, and there to learn from. Guards the lists of classes: their heads must be such as can go.
pub(crate) const PROBES_UNUSED: usize = CLASSES;
/// Idle, used, and there to learn from.
pub(crate) const PROBES_USED: usize = CLASSES + 1;
/// Kinds below this are idle.
pub(crate) const IDLE: usize = CLASSES + 2;
/// Part of a command has come.
pub(crate) const UNFINISHED: usize = CLASSES + 2;
/// Only the close remains.
pub(crate) const OVER: usize = CLASSES + 3;

/// What is known of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conn {
    generation: u32,
    /// In use: the place holds a connection.
    live: bool,
    pub(crate) source: u32,
    pub(crate) activity: Activity,
    /// Counted as held: not the victim of a newcomer.
    pub(crate) counted: bool,
    /// Its close was ordered.
    pub(crate) ordered: bool,
    /// The order may be crossed by a request, which is watched.
    pub(crate) watched: bool,
    /// It spoke at once, and has not brought a request yet.
    pub(crate) spoke: bool,
    /// Stays until the settings' times, to learn.
    pub(crate) probe: bool,
    /// Owed the answer to a request that was taken.
    pub(crate) working: bool,
    /// Requests that it brought.
    pub(crate) asked: u32,
    /// Its usual gap between requests.
    gap: Micros,
    /// When it was last idle for the first moment: at its arrival, or after an answer.
    pub(crate) since: Micros,
    /// When it began a command that is not finished.
    pub(crate) begun: Option<Micros>,
    /// For how long it had been idle when something came that is no request yet.
    pub(crate) stirred: Option<Micros>,
    /// Up to this age its idleness has been counted as observed.
    pub(crate) observed: Micros,
    /// The list it stands in, if any.
    kind: Option<u8>,
}

impl Conn {
    /// Its class.
    pub(crate) fn class(&self) -> usize {
        class(self.asked, self.gap)
    }

    /// Idle between requests.
    pub(crate) fn is_idle(&self) -> bool {
        self.activity == Activity::Idle && self.counted
    }

    /// It was idle for so long, and then asked.
    pub(crate) fn asks(&mut self, idle: Option<Micros>) {
        if let Some(idle) = idle.filter(|_| self.asked > 0) {
            self.gap = if self.asked == 1 { idle } else { (self.gap * 7 + idle * 3) / 10 };
        }
        self.asked = self.asked.saturating_add(1);
    }
}

/// What is known of a source that holds something; known clients of one are booked apart from its others.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    pub(crate) source: Source,
    pub(crate) known: bool,
    pub(crate) weight: u32,
    /// Connections in the books, also those that are not counted as held.
    conns: u32,
    pub(crate) held: u32,
    pub(crate) in_flight: u32,
    pub(crate) bytes: u64,
    lists: [Ends; KINDS],
}

/// Counts of one side: known clients, or the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Side {
    /// Connections held.
    pub(crate) held: u64,
    /// Those of them of which only the close remains.
    pub(crate) over: u64,
    /// Those of them that brought a request, and of which more remains.
    pub(crate) used: u64,
    /// Those of them that are there to learn from.
    pub(crate) probes: u64,
    /// Those of them that are owed the answer to one.
    pub(crate) working: u64,
}

/// All connections and all that hold some.
pub(crate) struct Books {
    conns: Vec<Conn>,
    free: Vec<u32>,
    holders: Vec<Holder>,
    free_holders: Vec<u32>,
    by_source: HashMap<(Source, bool), u32, KeyedHash>,
    /// Links of the lists of all, and of those of each source.
    chains: [Chains; 2],
    /// Lists of all, known clients' apart.
    lists: [[Ends; KINDS]; 2],
    /// When those with an unfinished command began.
    unfinished: BTreeSet<(Micros, u32)>,
    /// Counts, known clients' apart.
    pub(crate) sides: [Side; 2],
    /// Connections by holder.
    pub(crate) held: Shares,
    /// Requests in flight by holder.
    pub(crate) flying: Shares,
}

impl Books {
    pub(crate) fn new(seed: u64) -> Books {
        Books {
            conns: Vec::new(),
            free: Vec::new(),
            holders: Vec::new(),
            free_holders: Vec::new(),
            by_source: HashMap::with_hasher(KeyedHash::new(seed, 0x5041)),
            chains: Default::default(),
            lists: [[EMPTY; KINDS]; 2],
            unfinished: BTreeSet::new(),
            sides: [Side::default(); 2],
            held: Shares::new(seed),
            flying: Shares::new(seed ^ 1),
        }
    }

    /// Connections that count as held.
    pub(crate) fn held_in_all(&self) -> u64 {
        self.sides[0].held + self.sides[1].held
    }

    /// Those of them that are not about to close.
    pub(crate) fn staying(&self) -> u64 {
        self.held_in_all() - self.sides[0].over - self.sides[1].over
    }

    /// Those that brought a request, and are not about to close.
    pub(crate) fn used(&self) -> u64 {
        self.sides[0].used + self.sides[1].used
    }

    // ---- Holders --------------------------------------------------------------------------------------

    pub(crate) fn holder(&self, at: u32) -> Option<&Holder> {
        self.holders.get(at as usize)
    }

    pub(crate) fn find(&self, source: Source, known: bool) -> Option<&Holder> {
        self.by_source.get(&(source, known)).and_then(|at| self.holder(*at))
    }

    /// The holder of a source, begun if there is none.
    pub(crate) fn hold(&mut self, listed: SourceInfo) -> u32 {
        let SourceInfo { source, weight, known } = listed;
        if let Some(at) = self.by_source.get(&(source, known)) {
            return *at;
        }
        let holder = Holder {
            source,
            known,
            weight,
            conns: 0,
            held: 0,
            in_flight: 0,
            bytes: 0,
            lists: [EMPTY; KINDS],
        };
        let at = match self.free_holders.pop() {
            Some(at) => {
                self.holders[at as usize] = holder;
                at
            }
            None => {
                self.holders.push(holder);
                self.holders.len() as u32 - 1
            }
        };
        self.by_source.insert((source, known), at);
        at
    }

    /// Changes what a holder holds.
    fn change(&mut self, at: u32, held: i32, in_flight: i32, bytes: i64) {
        let Some(holder) = self.holders.get_mut(at as usize) else { return };
        holder.held = holder.held.saturating_add_signed(held);
        holder.in_flight = holder.in_flight.saturating_add_signed(in_flight);
        holder.bytes = holder.bytes.saturating_add_signed(bytes);
        if held != 0 {
            self.held.set(at, holder.held, holder.weight);
        }
        if in_flight != 0 {
            self.flying.set(at, holder.in_flight, holder.weight);
        }
    }

    /// A connection of a holder enters the books, or leaves them.
    fn join(&mut self, at: u32, by: i32) {
        if let Some(holder) = self.holders.get_mut(at as usize) {
            holder.conns = holder.conns.saturating_add_signed(by);
        }
        self.forget(at);
    }

    /// Forgets a holder that holds nothing any more.
    fn forget(&mut self, at: u32) {
        if let Some(holder) = self.holder(at).filter(|h| h.conns == 0 && h.in_flight == 0) {
            let key = (holder.source, holder.known);
            if self.by_source.get(&key) == Some(&at) {
                self.by_source.remove(&key);
                self.free_holders.push(at);
            }
        }
    }

    /// A holder's requests in flight and their bytes change.
    pub(crate) fn fly(&mut self, at: u32, in_flight: i32, bytes: i64) {
        self.change(at, 0, in_flight, bytes);
        self.forget(at);
    }

    // ---- Connections ----------------------------------------------------------------------------------

    fn slot(&self, conn: ConnId) -> Option<u32> {
        let slot = conn.0 as u32;
        let found = self.conns.get(slot as usize)?;
        (found.live && found.generation == (conn.0 >> 32) as u32).then_some(slot)
    }

    fn name(&self, slot: u32) -> Option<ConnId> {
        let conn = self.conns.get(slot as usize).filter(|c| c.live)?;
        Some(ConnId(u64::from(conn.generation) << 32 | u64::from(slot)))
    }

    pub(crate) fn get(&self, conn: ConnId) -> Option<&Conn> {
        self.conns.get(self.slot(conn)? as usize)
    }

    pub(crate) fn get_mut(&mut self, conn: ConnId) -> Option<&mut Conn> {
        let slot = self.slot(conn)?;
        self.conns.get_mut(slot as usize)
    }

    /// Whether a connection is a known client's.
    pub(crate) fn is_known(&self, conn: ConnId) -> Option<bool> {
        self.holder(self.get(conn)?.source).map(|h| h.known)
    }

    /// The connections in a range of places, for a walk round all of them, and how many places there are.
    pub(crate) fn places(&self, from: usize, most: usize) -> (Vec<ConnId>, usize) {
        let end = (from + most).min(self.conns.len());
        let slots = (from.min(end)..end).filter_map(|s| self.name(s as u32));
        (slots.collect(), self.conns.len())
    }

    /// Takes a connection into the books, idle.
    pub(crate) fn insert(&mut self, now: Micros, listed: SourceInfo, probe: bool, spoke: bool) -> ConnId {
        let at = self.hold(listed);
        let blank = Conn {
            generation: 0,
            live: true,
            source: at,
            activity: Activity::Idle,
            counted: true,
            ordered: false,
            watched: false,
            probe,
            spoke,
            working: false,
            asked: 0,
            gap: 0,
            since: now,
            begun: None,
            stirred: None,
            observed: 0,
            kind: None,
        };
        let slot = match self.free.pop() {
            Some(slot) => {
                let generation = self.conns[slot as usize].generation;
                self.conns[slot as usize] = Conn { generation, ..blank };
                slot
            }
            None => {
                self.conns.push(blank);
                self.conns.len() as u32 - 1
            }
        };
        self.join(at, 1);
        self.count(slot, 1);
        self.line_up(slot);
        ConnId(u64::from(self.conns[slot as usize].generation) << 32 | u64::from(slot))
    }

    /// A connection is gone; what it was is given back.
    pub(crate) fn remove(&mut self, conn: ConnId) -> Option<Conn> {
        let slot = self.slot(conn)?;
        self.step_out(slot);
        let old = *self.conns.get(slot as usize)?;
        if old.counted {
            self.count(slot, -1);
        }
        let place = self.conns.get_mut(slot as usize)?;
        place.live = false;
        place.generation = place.generation.wrapping_add(1);
        self.free.push(slot);
        self.join(old.source, -1);
        Some(old)
    }

    /// Counts a connection as held, or as the victim of a newcomer.
    pub(crate) fn set_counted(&mut self, conn: ConnId, counted: bool) {
        let Some(slot) = self.slot(conn).filter(|s| self.conns[*s as usize].counted != counted) else {
            return;
        };
        if counted {
            self.count(slot, 1);
        } else {
            self.step_out(slot);
            self.count(slot, -1);
        }
        self.conns[slot as usize].counted = counted;
        self.line_up(slot);
    }

    /// Changes what a connection is, keeping counts and lists in step.
    pub(crate) fn update(&mut self, conn: ConnId, change: impl FnOnce(&mut Conn)) {
        let Some(slot) = self.slot(conn) else { return };
        self.step_out(slot);
        let counted = self.conns[slot as usize].counted;
        if counted {
            self.tally(slot, -1);
        }
        change(&mut self.conns[slot as usize]);
        if counted {
            self.tally(slot, 1);
        }
        self.line_up(slot);
    }

    /// A connection turned out to be a known client's.
    pub(crate) fn make_known(&mut self, conn: ConnId) {
        let Some(slot) = self.slot(conn) else { return };
        let Some(holder) = self.holder(self.conns[slot as usize].source).filter(|h| !h.known) else { return };
        let listed = SourceInfo { source: holder.source, weight: holder.weight, known: true };
        self.step_out(slot);
        let counted = self.conns[slot as usize].counted;
        if counted {
            self.count(slot, -1);
        }
        let at = self.hold(listed);
        let old = std::mem::replace(&mut self.conns[slot as usize].source, at);
        self.join(at, 1);
        self.join(old, -1);
        if counted {
            self.count(slot, 1);
        }
        self.line_up(slot);
    }

    fn count(&mut self, slot: u32, by: i32) {
        self.tally(slot, by);
        let at = self.conns[slot as usize].source;
        self.change(at, by, 0, 0);
    }

    fn tally(&mut self, slot: u32, by: i32) {
        let conn = &self.conns[slot as usize];
        let known = self.holder(conn.source).is_some_and(|h| h.known);
        let side = &mut self.sides[usize::from(known)];
        let add = |to: &mut u64, counts: bool| {
            if counts {
                *to = to.saturating_add_signed(i64::from(by));
            }
        };
        add(&mut side.held, true);
        add(&mut side.over, conn.activity == Activity::Closing);
        add(&mut side.used, conn.asked > 0 && conn.activity != Activity::Closing);
        add(&mut side.probes, conn.probe);
        add(&mut side.working, conn.working);
    }

    // ---- Lists ----------------------------------------------------------------------------------------

    fn line_up(&mut self, slot: u32) {
        let conn = &self.conns[slot as usize];
        let kind = match conn.activity {
            _ if !conn.counted => return,
            Activity::Idle if !conn.probe => conn.class(),
            Activity::Idle if conn.asked == 0 => PROBES_UNUSED,
            Activity::Idle => PROBES_USED,
            Activity::Unfinished => UNFINISHED,
            Activity::Closing => OVER,
            Activity::Pending => return,
        };
        if kind == UNFINISHED {
            self.unfinished.insert((conn.begun.unwrap_or(conn.since), slot));
        }
        let Some(holder) = self.holders.get_mut(conn.source as usize) else { return };
        let known = usize::from(holder.known);
        self.conns[slot as usize].kind = Some(kind as u8);
        self.chains[0].push(&mut self.lists[known][kind], slot);
        self.chains[1].push(&mut holder.lists[kind], slot);
    }

    fn step_out(&mut self, slot: u32) {
        let conn = &mut self.conns[slot as usize];
        let Some(kind) = conn.kind.take().map(usize::from) else { return };
        if kind == UNFINISHED {
            let begun = conn.begun.unwrap_or(conn.since);
            self.unfinished.remove(&(begun, slot));
        }
        let Some(holder) = self.holders.get_mut(conn.source as usize) else { return };
        self.chains[0].pull(&mut self.lists[usize::from(holder.known)][kind], slot);
        self.chains[1].pull(&mut holder.lists[kind], slot);
    }

    /// The first few of a list of all, known clients' or the others'.
    pub(crate) fn first(
        &self,
        known: bool,
        kind: usize,
        most: usize,
    ) -> impl Iterator<Item = (ConnId, &Conn)> {
        self.walk(0, &self.lists[usize::from(known)][kind]).take(most)
    }

    /// The first few of some lists of all, with their kind.
    pub(crate) fn heads(
        &self,
        known: bool,
        kinds: std::ops::Range<usize>,
        most: usize,
    ) -> impl Iterator<Item = (usize, ConnId, &Conn)> {
        kinds.flat_map(move |kind| self.first(known, kind, most).map(move |(name, conn)| (kind, name, conn)))
    }

    /// The first few of a list of one holder.
    pub(crate) fn first_of(
        &self,
        at: u32,
        kind: usize,
        most: usize,
    ) -> impl Iterator<Item = (ConnId, &Conn)> {
        let ends = self.holder(at).map_or(&EMPTY, |h| &h.lists[kind]);
        self.walk(1, ends).take(most)
    }

    fn walk(&self, which: usize, ends: &Ends) -> impl Iterator<Item = (ConnId, &Conn)> {
        let slots = self.chains[which].walk(ends);
        slots.filter_map(|slot| Some((self.name(slot)?, self.conns.get(slot as usize)?)))
    }

    /// The unfinished command that was begun first.
    pub(crate) fn oldest_unfinished(&self) -> Option<(Micros, ConnId)> {
        let (since, slot) = self.unfinished.first()?;
        Some((*since, self.name(*slot)?))
    }

    // ---- Memory ---------------------------------------------------------------------------------------

    /// Bytes at most for so many connections held and requests in flight, each by a source of its own.
    pub(crate) fn most_bytes(connections: usize, in_flight: usize, weights: usize) -> usize {
        // Growing vectors and hash tables have up to twice the room they need, hash tables at 7/8 of that.
        let (conns, holders) = (connections + 1, connections + in_flight + 1);
        let entry = size_of::<((Source, bool), u32)>() + 1;
        2 * conns * (size_of::<Conn>() + 4)
            + 2 * Chains::most_bytes(conns)
            + 2 * holders * (size_of::<Holder>() + 4)
            + holders * entry * 16 / 7
            + conns * 2 * (size_of::<(Micros, u32)>() + 8)
            + Shares::max_bytes(holders, connections, weights)
            + Shares::max_bytes(holders, in_flight, weights)
    }

    /// Bytes taken now; the tree of unfinished commands is counted by its entries.
    pub(crate) fn bytes(&self) -> usize {
        let entry = size_of::<((Source, bool), u32)>() + 1;
        self.conns.capacity() * size_of::<Conn>()
            + self.chains[0].bytes()
            + self.chains[1].bytes()
            + self.free.capacity() * 4
            + self.holders.capacity() * size_of::<Holder>()
            + self.free_holders.capacity() * 4
            + self.by_source.capacity() * 8 / 7 * entry
            + self.unfinished.len() * 2 * (size_of::<(Micros, u32)>() + 8)
            + self.held.bytes()
            + self.flying.bytes()
    }

    /// Counts everything anew and compares: for tests of what is counted in passing.
    #[cfg(test)]
    pub(crate) fn audit(&self) -> Result<(), String> {
        let mut sides = [Side::default(); 2];
        let mut held = vec![0u32; self.holders.len()];
        for conn in self.conns.iter().filter(|c| c.live) {
            let holder = self.holder(conn.source).ok_or("a connection without a holder")?;
            if conn.counted {
                let side = &mut sides[usize::from(holder.known)];
                side.held += 1;
                side.over += u64::from(conn.activity == Activity::Closing);
                side.used += u64::from(conn.asked > 0 && conn.activity != Activity::Closing);
                side.probes += u64::from(conn.probe);
                side.working += u64::from(conn.working);
                held[conn.source as usize] += 1;
            }
            if conn.kind.is_some() != (conn.counted && conn.activity != Activity::Pending) {
                return Err(format!("{conn:?} is in the wrong list"));
            }
        }
        if sides != self.sides {
            return Err(format!("{sides:?} but counted {:?}", self.sides));
        }
        for (at, held) in held.iter().enumerate() {
            if *held != self.held.held(at as u32) {
                return Err(format!("holder {at} has {held}, not {}", self.held.held(at as u32)));
            }
        }
        let live = self.holders.len() - self.free_holders.len();
        if live != self.by_source.len() {
            return Err(format!("{live} holders, {} by source", self.by_source.len()));
        }
        let listed =
            |known: bool| (0..KINDS).map(|k| self.first(known, k, usize::MAX).count()).sum::<usize>();
        let lined = self.conns.iter().filter(|c| c.live && c.kind.is_some()).count();
        if listed(false) + listed(true) != lined {
            return Err("lists and connections differ".into());
        }
        Ok(())
    }
}
