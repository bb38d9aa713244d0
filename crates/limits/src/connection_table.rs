//! The connection table: every connection, and an account of connections and requests for each source.
//!
//! Connections and accounts are kept in slabs. An identifier is an index with a generation, so a look-up
//! costs one array access, and an identifier of a removed connection finds nothing. Connections that may be
//! closed are kept in lists by kind, longest idle first, once for all connections and once for each source:
//! the connection of the lowest worth is found among the heads of the lists, without a scan.

use crate::Micros;
use crate::keep_alive::{CLASSES, class};
use crate::linked_lists::{EMPTY, LinkedLists, ListEnds};
use crate::orders::{Activity, ConnId};
use crate::share::Shares;
use crate::source::{KeyedHash, Source, SourceInfo};
use std::collections::{BTreeSet, HashMap};

/// Number of lists: one for each class of idle connections, and those below.
pub(crate) const LISTS: usize = CLASSES + 4;
/// Probe connections that are idle and have never been used (see [`Conn::probe`]). They have lists of their
/// own, as the connections at the head of a class's list must be closable early.
pub(crate) const PROBES_UNUSED: usize = CLASSES;
/// Probe connections that are idle and have been used.
pub(crate) const PROBES_USED: usize = CLASSES + 1;
/// Lists below this index hold idle connections.
pub(crate) const IDLE: usize = CLASSES + 2;
/// Connections on which part of a command has arrived.
pub(crate) const UNFINISHED: usize = CLASSES + 2;
/// Connections of which only the close remains.
pub(crate) const CLOSING: usize = CLASSES + 3;

/// State of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conn {
    generation: u32,
    /// The slot holds a connection.
    live: bool,
    pub(crate) account: u32,
    pub(crate) activity: Activity,
    /// Counts as held: it is not being evicted for a newcomer.
    pub(crate) counted: bool,
    /// The host has been ordered to close it.
    pub(crate) close_ordered: bool,
    /// The host lingers after the close and reports a request that crosses it; see
    /// [`Order::Close`](crate::Order::Close).
    pub(crate) watched: bool,
    /// Input had arrived by the time of the accept, and no complete request so far.
    pub(crate) had_input: bool,
    /// A probe: it is not closed or evicted early for what is learnt, so that the gaps to its next requests
    /// are observed for longer and what is learnt stays correct.
    pub(crate) probe: bool,
    /// A request that was taken on it has no final answer yet.
    pub(crate) working: bool,
    /// Number of requests that it has brought.
    pub(crate) requests: u32,
    /// Moving average of its gaps between requests.
    gap: Micros,
    /// Start of its latest idle time: its accept, or its last answer.
    pub(crate) idle_since: Micros,
    /// Start of a command that is not complete.
    pub(crate) command_began: Option<Micros>,
    /// How long it had been idle when input arrived that is not a complete request yet.
    pub(crate) idle_before_input: Option<Micros>,
    /// Up to this age its idle time has been recorded in the reuse estimator.
    pub(crate) observed_until: Micros,
    /// Index of the list that it is in, if any.
    list: Option<u8>,
}

impl Conn {
    /// Its class for the reuse estimator.
    pub(crate) fn class(&self) -> usize {
        class(self.requests, self.gap)
    }

    /// Idle between requests.
    pub(crate) fn is_idle(&self) -> bool {
        self.activity == Activity::Idle && self.counted
    }

    /// Counts a request that came after this idle time.
    pub(crate) fn record_request(&mut self, idle: Option<Micros>) {
        if let Some(idle) = idle.filter(|_| self.requests > 0) {
            self.gap = if self.requests == 1 { idle } else { (self.gap * 7 + idle * 3) / 10 };
        }
        self.requests = self.requests.saturating_add(1);
    }
}

/// Account of a source with connections or requests. Known clients of a source have an account apart from its
/// unknown clients.
#[derive(Clone, Debug)]
pub(crate) struct SourceAccount {
    pub(crate) source: Source,
    pub(crate) known: bool,
    pub(crate) weight: u32,
    /// Connections in the table, including those that do not count as held.
    conns: u32,
    pub(crate) held: u32,
    pub(crate) in_flight: u32,
    pub(crate) bytes: u64,
    lists: [ListEnds; LISTS],
}

/// Totals of known clients, or of unknown clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct GroupTotals {
    /// Connections that count as held.
    pub(crate) held: u64,
    /// Of these, connections of which only the close remains.
    pub(crate) closing: u64,
    /// Of these, connections that brought a request and are not closing.
    pub(crate) used: u64,
    /// Of these, probes.
    pub(crate) probes: u64,
    /// Of these, connections with a request in progress.
    pub(crate) working: u64,
}

/// All connections, and the accounts of their sources.
pub(crate) struct ConnectionTable {
    conns: Vec<Conn>,
    free: Vec<u32>,
    accounts: Vec<SourceAccount>,
    free_accounts: Vec<u32>,
    by_source: HashMap<(Source, bool), u32, KeyedHash>,
    /// Links of the lists of all connections, and links of the lists of each source.
    links: [LinkedLists; 2],
    /// Lists of all connections: of unknown clients, then of known clients.
    lists: [[ListEnds; LISTS]; 2],
    /// Connections with an incomplete command, by the start of the command.
    unfinished: BTreeSet<(Micros, u32)>,
    /// Totals of unknown clients, then of known clients.
    pub(crate) totals: [GroupTotals; 2],
    /// Connections held, by account.
    pub(crate) held_shares: Shares,
    /// Requests in flight, by account.
    pub(crate) in_flight_shares: Shares,
}

impl ConnectionTable {
    pub(crate) fn new(seed: u64) -> ConnectionTable {
        ConnectionTable {
            conns: Vec::new(),
            free: Vec::new(),
            accounts: Vec::new(),
            free_accounts: Vec::new(),
            by_source: HashMap::with_hasher(KeyedHash::new(seed, 0x5041)),
            links: Default::default(),
            lists: [[EMPTY; LISTS]; 2],
            unfinished: BTreeSet::new(),
            totals: [GroupTotals::default(); 2],
            held_shares: Shares::new(seed),
            in_flight_shares: Shares::new(seed ^ 1),
        }
    }

    /// Connections that count as held.
    pub(crate) fn held_in_all(&self) -> u64 {
        self.totals[0].held + self.totals[1].held
    }

    /// Number of connections held that are not closing.
    pub(crate) fn held_not_closing(&self) -> u64 {
        self.held_in_all() - self.totals[0].closing - self.totals[1].closing
    }

    /// Number of connections held that brought a request and are not closing.
    pub(crate) fn used(&self) -> u64 {
        self.totals[0].used + self.totals[1].used
    }

    // ---- Accounts -------------------------------------------------------------------------------------

    pub(crate) fn account(&self, at: u32) -> Option<&SourceAccount> {
        self.accounts.get(at as usize)
    }

    pub(crate) fn find_account(&self, source: Source, known: bool) -> Option<&SourceAccount> {
        self.by_source.get(&(source, known)).and_then(|at| self.account(*at))
    }

    /// Index of a source's account, which is created if there is none.
    pub(crate) fn account_for(&mut self, info: SourceInfo) -> u32 {
        let SourceInfo { source, weight, known } = info;
        if let Some(at) = self.by_source.get(&(source, known)) {
            return *at;
        }
        let account = SourceAccount {
            source,
            known,
            weight,
            conns: 0,
            held: 0,
            in_flight: 0,
            bytes: 0,
            lists: [EMPTY; LISTS],
        };
        let at = match self.free_accounts.pop() {
            Some(at) => {
                self.accounts[at as usize] = account;
                at
            }
            None => {
                self.accounts.push(account);
                self.accounts.len() as u32 - 1
            }
        };
        self.by_source.insert((source, known), at);
        at
    }

    /// Adds to an account's connections held, requests in flight and buffer bytes.
    fn adjust(&mut self, at: u32, held: i32, in_flight: i32, bytes: i64) {
        let Some(account) = self.accounts.get_mut(at as usize) else { return };
        account.held = account.held.saturating_add_signed(held);
        account.in_flight = account.in_flight.saturating_add_signed(in_flight);
        account.bytes = account.bytes.saturating_add_signed(bytes);
        if held != 0 {
            self.held_shares.set(at, account.held, account.weight);
        }
        if in_flight != 0 {
            self.in_flight_shares.set(at, account.in_flight, account.weight);
        }
    }

    /// Adds to the number of an account's connections in the table.
    fn adjust_connections(&mut self, at: u32, by: i32) {
        if let Some(account) = self.accounts.get_mut(at as usize) {
            account.conns = account.conns.saturating_add_signed(by);
        }
        self.remove_if_empty(at);
    }

    /// Removes an account without connections and requests.
    fn remove_if_empty(&mut self, at: u32) {
        if let Some(account) = self.account(at).filter(|h| h.conns == 0 && h.in_flight == 0) {
            let key = (account.source, account.known);
            if self.by_source.get(&key) == Some(&at) {
                self.by_source.remove(&key);
                self.free_accounts.push(at);
            }
        }
    }

    /// Adds to an account's requests in flight and their buffer bytes.
    pub(crate) fn adjust_in_flight(&mut self, at: u32, in_flight: i32, bytes: i64) {
        self.adjust(at, 0, in_flight, bytes);
        self.remove_if_empty(at);
    }

    // ---- Connections ----------------------------------------------------------------------------------

    fn slot_of(&self, conn: ConnId) -> Option<u32> {
        let slot = conn.0 as u32;
        let found = self.conns.get(slot as usize)?;
        (found.live && found.generation == (conn.0 >> 32) as u32).then_some(slot)
    }

    fn id_of(&self, slot: u32) -> Option<ConnId> {
        let conn = self.conns.get(slot as usize).filter(|c| c.live)?;
        Some(ConnId(u64::from(conn.generation) << 32 | u64::from(slot)))
    }

    pub(crate) fn get(&self, conn: ConnId) -> Option<&Conn> {
        self.conns.get(self.slot_of(conn)? as usize)
    }

    pub(crate) fn get_mut(&mut self, conn: ConnId) -> Option<&mut Conn> {
        let slot = self.slot_of(conn)?;
        self.conns.get_mut(slot as usize)
    }

    /// Whether the connection belongs to a known client.
    pub(crate) fn is_known(&self, conn: ConnId) -> Option<bool> {
        self.account(self.get(conn)?.account).map(|h| h.known)
    }

    /// The connections in a range of slots, for a walk over all of them, and the number of slots.
    pub(crate) fn ids_in_range(&self, from: usize, limit: usize) -> (Vec<ConnId>, usize) {
        let end = (from + limit).min(self.conns.len());
        let slots = (from.min(end)..end).filter_map(|s| self.id_of(s as u32));
        (slots.collect(), self.conns.len())
    }

    /// Inserts a connection, idle.
    pub(crate) fn insert(&mut self, now: Micros, info: SourceInfo, probe: bool, had_input: bool) -> ConnId {
        let at = self.account_for(info);
        let blank = Conn {
            generation: 0,
            live: true,
            account: at,
            activity: Activity::Idle,
            counted: true,
            close_ordered: false,
            watched: false,
            probe,
            had_input,
            working: false,
            requests: 0,
            gap: 0,
            idle_since: now,
            command_began: None,
            idle_before_input: None,
            observed_until: 0,
            list: None,
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
        self.adjust_connections(at, 1);
        self.count_held(slot, 1);
        self.link(slot);
        ConnId(u64::from(self.conns[slot as usize].generation) << 32 | u64::from(slot))
    }

    /// Removes a connection and returns its last state.
    pub(crate) fn remove(&mut self, conn: ConnId) -> Option<Conn> {
        let slot = self.slot_of(conn)?;
        self.unlink(slot);
        let old = *self.conns.get(slot as usize)?;
        if old.counted {
            self.count_held(slot, -1);
        }
        let entry = self.conns.get_mut(slot as usize)?;
        entry.live = false;
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(slot);
        self.adjust_connections(old.account, -1);
        Some(old)
    }

    /// Sets whether a connection counts as held; one that is being evicted for a newcomer does not.
    pub(crate) fn set_counted(&mut self, conn: ConnId, counted: bool) {
        let Some(slot) = self.slot_of(conn).filter(|s| self.conns[*s as usize].counted != counted) else {
            return;
        };
        if counted {
            self.count_held(slot, 1);
        } else {
            self.unlink(slot);
            self.count_held(slot, -1);
        }
        self.conns[slot as usize].counted = counted;
        self.link(slot);
    }

    /// Changes a connection's state, and updates totals and lists.
    pub(crate) fn update(&mut self, conn: ConnId, change: impl FnOnce(&mut Conn)) {
        let Some(slot) = self.slot_of(conn) else { return };
        self.unlink(slot);
        let counted = self.conns[slot as usize].counted;
        if counted {
            self.count_totals(slot, -1);
        }
        change(&mut self.conns[slot as usize]);
        if counted {
            self.count_totals(slot, 1);
        }
        self.link(slot);
    }

    /// Moves a connection to the account of its source's known clients.
    pub(crate) fn make_known(&mut self, conn: ConnId) {
        let Some(slot) = self.slot_of(conn) else { return };
        let Some(account) = self.account(self.conns[slot as usize].account).filter(|h| !h.known) else {
            return;
        };
        let info = SourceInfo { source: account.source, weight: account.weight, known: true };
        self.unlink(slot);
        let counted = self.conns[slot as usize].counted;
        if counted {
            self.count_held(slot, -1);
        }
        let at = self.account_for(info);
        let old = std::mem::replace(&mut self.conns[slot as usize].account, at);
        self.adjust_connections(at, 1);
        self.adjust_connections(old, -1);
        if counted {
            self.count_held(slot, 1);
        }
        self.link(slot);
    }

    fn count_held(&mut self, slot: u32, by: i32) {
        self.count_totals(slot, by);
        let at = self.conns[slot as usize].account;
        self.adjust(at, by, 0, 0);
    }

    fn count_totals(&mut self, slot: u32, by: i32) {
        let conn = &self.conns[slot as usize];
        let known = self.account(conn.account).is_some_and(|h| h.known);
        let totals = &mut self.totals[usize::from(known)];
        let add = |to: &mut u64, counts: bool| {
            if counts {
                *to = to.saturating_add_signed(i64::from(by));
            }
        };
        add(&mut totals.held, true);
        add(&mut totals.closing, conn.activity == Activity::Closing);
        add(&mut totals.used, conn.requests > 0 && conn.activity != Activity::Closing);
        add(&mut totals.probes, conn.probe);
        add(&mut totals.working, conn.working);
    }

    // ---- Lists ----------------------------------------------------------------------------------------

    fn link(&mut self, slot: u32) {
        let conn = &self.conns[slot as usize];
        let list = match conn.activity {
            _ if !conn.counted => return,
            Activity::Idle if !conn.probe => conn.class(),
            Activity::Idle if conn.requests == 0 => PROBES_UNUSED,
            Activity::Idle => PROBES_USED,
            Activity::Unfinished => UNFINISHED,
            Activity::Closing => CLOSING,
            Activity::Pending => return,
        };
        if list == UNFINISHED {
            self.unfinished.insert((conn.command_began.unwrap_or(conn.idle_since), slot));
        }
        let Some(account) = self.accounts.get_mut(conn.account as usize) else { return };
        let known = usize::from(account.known);
        self.conns[slot as usize].list = Some(list as u8);
        self.links[0].push_back(&mut self.lists[known][list], slot);
        self.links[1].push_back(&mut account.lists[list], slot);
    }

    fn unlink(&mut self, slot: u32) {
        let conn = &mut self.conns[slot as usize];
        let Some(list) = conn.list.take().map(usize::from) else { return };
        if list == UNFINISHED {
            let command_began = conn.command_began.unwrap_or(conn.idle_since);
            self.unfinished.remove(&(command_began, slot));
        }
        let Some(account) = self.accounts.get_mut(conn.account as usize) else { return };
        self.links[0].remove(&mut self.lists[usize::from(account.known)][list], slot);
        self.links[1].remove(&mut account.lists[list], slot);
    }

    /// The first `limit` connections in a list of all connections of known or of unknown clients.
    pub(crate) fn first_in_list(
        &self,
        known: bool,
        list: usize,
        limit: usize,
    ) -> impl Iterator<Item = (ConnId, &Conn)> {
        self.iter_list(0, &self.lists[usize::from(known)][list]).take(limit)
    }

    /// The first `limit` connections in each of some lists, with the index of the list.
    pub(crate) fn heads(
        &self,
        known: bool,
        lists: std::ops::Range<usize>,
        limit: usize,
    ) -> impl Iterator<Item = (usize, ConnId, &Conn)> {
        lists.flat_map(move |list| {
            self.first_in_list(known, list, limit).map(move |(id, conn)| (list, id, conn))
        })
    }

    /// The first `limit` connections in a list of one account.
    pub(crate) fn first_of_account(
        &self,
        at: u32,
        list: usize,
        limit: usize,
    ) -> impl Iterator<Item = (ConnId, &Conn)> {
        let ends = self.account(at).map_or(&EMPTY, |h| &h.lists[list]);
        self.iter_list(1, ends).take(limit)
    }

    fn iter_list(&self, which: usize, ends: &ListEnds) -> impl Iterator<Item = (ConnId, &Conn)> {
        let slots = self.links[which].iter(ends);
        slots.filter_map(|slot| Some((self.id_of(slot)?, self.conns.get(slot as usize)?)))
    }

    /// The incomplete command that was begun first.
    pub(crate) fn oldest_unfinished(&self) -> Option<(Micros, ConnId)> {
        let (since, slot) = self.unfinished.first()?;
        Some((*since, self.id_of(*slot)?))
    }

    // ---- Memory ---------------------------------------------------------------------------------------

    /// Maximum memory in bytes for this many connections held and requests in flight, each of a source of its
    /// own, with this number of different weights.
    pub(crate) fn max_bytes(connections: usize, in_flight: usize, weights: usize) -> usize {
        // A vector or hash table that grows has a capacity of up to twice its entries, and a hash table is
        // filled to 7/8 at most.
        let (conns, accounts) = (connections + 1, connections + in_flight + 1);
        let entry = size_of::<((Source, bool), u32)>() + 1;
        2 * conns * (size_of::<Conn>() + 4)
            + 2 * LinkedLists::max_bytes(conns)
            + 2 * accounts * (size_of::<SourceAccount>() + 4)
            + accounts * entry * 16 / 7
            + conns * 2 * (size_of::<(Micros, u32)>() + 8)
            + Shares::max_bytes(accounts, connections, weights)
            + Shares::max_bytes(accounts, in_flight, weights)
    }

    /// Memory now, in bytes; the tree of incomplete commands is estimated by its entries.
    pub(crate) fn bytes(&self) -> usize {
        let entry = size_of::<((Source, bool), u32)>() + 1;
        self.conns.capacity() * size_of::<Conn>()
            + self.links[0].bytes()
            + self.links[1].bytes()
            + self.free.capacity() * 4
            + self.accounts.capacity() * size_of::<SourceAccount>()
            + self.free_accounts.capacity() * 4
            + self.by_source.capacity() * 8 / 7 * entry
            + self.unfinished.len() * 2 * (size_of::<(Micros, u32)>() + 8)
            + self.held_shares.bytes()
            + self.in_flight_shares.bytes()
    }

    /// Counts everything afresh and compares the result with the totals that are kept up to date; for tests.
    #[cfg(test)]
    pub(crate) fn audit(&self) -> Result<(), String> {
        let mut totals = [GroupTotals::default(); 2];
        let mut held = vec![0u32; self.accounts.len()];
        for conn in self.conns.iter().filter(|c| c.live) {
            let account = self.account(conn.account).ok_or("a connection without an account")?;
            if conn.counted {
                let totals = &mut totals[usize::from(account.known)];
                totals.held += 1;
                totals.closing += u64::from(conn.activity == Activity::Closing);
                totals.used += u64::from(conn.requests > 0 && conn.activity != Activity::Closing);
                totals.probes += u64::from(conn.probe);
                totals.working += u64::from(conn.working);
                held[conn.account as usize] += 1;
            }
            if conn.list.is_some() != (conn.counted && conn.activity != Activity::Pending) {
                return Err(format!("{conn:?} is in the wrong list"));
            }
        }
        if totals != self.totals {
            return Err(format!("counted {totals:?}, but kept {:?}", self.totals));
        }
        for (at, held) in held.iter().enumerate() {
            if *held != self.held_shares.held(at as u32) {
                return Err(format!("account {at} has {held}, not {}", self.held_shares.held(at as u32)));
            }
        }
        let live = self.accounts.len() - self.free_accounts.len();
        if live != self.by_source.len() {
            return Err(format!("{live} accounts, {} by source", self.by_source.len()));
        }
        let in_lists =
            |known: bool| (0..LISTS).map(|k| self.first_in_list(known, k, usize::MAX).count()).sum::<usize>();
        let marked = self.conns.iter().filter(|c| c.live && c.list.is_some()).count();
        if in_lists(false) + in_lists(true) != marked {
            return Err("the lists do not hold the connections that are marked as listed".into());
        }
        Ok(())
    }
}
