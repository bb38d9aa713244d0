//! Servers that operators have taken out by hand: an overlay on discovery's list. The rules see one effective list,
//! in which such a server drains, whatever discovery says of it meanwhile; that is kept, and holds when the ban ends.

use crate::interface::{Listed, Micros, Scope, ServerId, Stage};
use lru::LruCache;
use std::collections::BTreeMap;

/// Servers of which it is remembered that they were listed once. Guards memory against a discovery that names ever
/// new ones: 16 Ki of them are 2 MB. One that is out is never forgotten.
const REMEMBERED: usize = 1 << 14;

/// Why a server cannot be taken out or put back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BanError {
    /// No list ever named it.
    NeverListed,
    /// It is the origin, which nothing could stand in for.
    IsOrigin,
}

/// A ban, as it is handed over to another process of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ban {
    /// The server's name as operators know it.
    pub name: String,
    /// When it was taken out.
    pub since: Micros,
}

struct Entry<P> {
    /// As discovery has it, and where it is; `None` while no list names it.
    told: Option<(Listed, P)>,
    /// The start that the rules were last told of.
    shown: Option<Micros>,
}

/// The overlay. `P` is what else a list tells of a server, such as where it answers.
pub struct Maintenance<P> {
    servers: LruCache<ServerId, Entry<P>>,
    bans: BTreeMap<ServerId, Ban>,
    origin_kind: Option<u32>,
}

impl<P: Clone> Maintenance<P> {
    /// None is out.
    pub fn new(origin_kind: Option<u32>) -> Self {
        Maintenance { servers: LruCache::unbounded(), bans: BTreeMap::new(), origin_kind }
    }

    /// Another kind is the origin's from now on.
    pub fn set_origin_kind(&mut self, kind: Option<u32>) {
        self.origin_kind = kind;
    }

    /// It is of the origin's kind.
    pub fn is_origin(&self, listed: &Listed) -> bool {
        self.origin_kind == Some(listed.kind)
    }

    /// The effective form of what discovery tells.
    pub fn listed(&mut self, scope: Scope, list: Vec<(Listed, P)>) -> Vec<(Listed, P)> {
        if matches!(scope, Scope::Full | Scope::Remembered) {
            self.servers.iter_mut().for_each(|(_, entry)| entry.told = None);
        }
        let effective = list.into_iter().map(|(listed, place)| self.one(listed, place)).collect();
        while self.servers.len() > REMEMBERED
            && let Some((id, entry)) = self.servers.pop_lru()
        {
            if self.bans.contains_key(&id) || entry.told.is_some() {
                self.servers.put(id, entry);
                break;
            }
        }
        effective
    }

    fn one(&mut self, listed: Listed, place: P) -> (Listed, P) {
        let id = listed.server;
        let shown = self.servers.get(&id).and_then(|e| e.shown);
        let told = (listed.stage != Stage::Gone).then(|| (listed.clone(), place.clone()));
        let effective = match self.bans.contains_key(&id) {
            true => hidden(listed, shown),
            false => listed,
        };
        self.servers.put(id, Entry { told, shown: effective.since.max(shown) });
        (effective, place)
    }

    /// Takes a server out; again is no harm. Gives how the rules are to see it from now on, if a list names it.
    ///
    /// # Errors
    /// It cannot be.
    pub fn ban(&mut self, id: ServerId, ban: Ban) -> Result<Option<(Listed, P)>, BanError> {
        let entry = self.servers.get(&id).ok_or(BanError::NeverListed)?;
        let effective = entry.told.clone().map(|(listed, place)| (hidden(listed, entry.shown), place));
        if effective.as_ref().is_some_and(|(listed, _)| self.is_origin(listed)) {
            return Err(BanError::IsOrigin);
        }
        self.bans.entry(id).or_insert(ban);
        Ok(effective)
    }

    /// A ban that another process of the node holds: it binds though no list may have named the server here.
    pub fn adopt(&mut self, id: ServerId, ban: Ban) -> Option<(Listed, P)> {
        if self.servers.get(&id).is_none() {
            self.servers.put(id, Entry { told: None, shown: None });
        }
        self.ban(id, ban).unwrap_or_default()
    }

    /// Ends a ban, however often it was called; nothing if there is none. Gives how the rules are to see the server.
    ///
    /// # Errors
    /// No list ever named it.
    pub fn lift(&mut self, id: ServerId, now: Micros) -> Result<Option<(Listed, P)>, BanError> {
        let entry = self.servers.get_mut(&id).ok_or(BanError::NeverListed)?;
        let Some(ban) = self.bans.remove(&id) else { return Ok(None) };
        Ok(entry.told.clone().map(|(listed, place)| {
            // Danger: it was restarted meanwhile, and discovery tells so only seconds later. Until a start after the
            // ban is told it counts as cold from now on, which is no earlier than it is.
            let since = listed.since.filter(|since| *since > ban.since).unwrap_or(now);
            entry.shown = Some(since);
            (Listed { since: Some(since), ..listed }, place)
        }))
    }

    /// Those that are out.
    pub fn bans(&self) -> impl Iterator<Item = (ServerId, &Ban)> {
        self.bans.iter().map(|(id, ban)| (*id, ban))
    }

    /// Those that were listed and no longer are, with the start that was last told, the latest to leave first.
    pub fn gone(&self) -> impl Iterator<Item = (ServerId, Option<Micros>)> {
        self.servers.iter().filter(|(_, entry)| entry.told.is_none()).map(|(id, entry)| (*id, entry.shown))
    }

    /// What discovery has told and not taken back, as it was told.
    pub fn told(&self) -> impl Iterator<Item = &(Listed, P)> {
        self.servers.iter().filter_map(|(_, entry)| entry.told.as_ref())
    }
}

/// How the rules see a server that is out: it drains. Its start is that of before: a later one would lift the drain.
fn hidden(listed: Listed, shown: Option<Micros>) -> Listed {
    let stage = if listed.stage == Stage::Live { Stage::Draining } else { listed.stage };
    Listed { stage, since: shown, ..listed }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ID: ServerId = ServerId(7);

    fn told(stage: Stage, since: Option<Micros>) -> (Listed, u8) {
        (Listed { server: ID, stage, since, weight: 1.0, ..Listed::default() }, 9)
    }

    fn seen(list: Vec<(Listed, u8)>) -> Vec<(Stage, Option<Micros>)> {
        list.into_iter().map(|(l, _)| (l.stage, l.since)).collect()
    }

    fn banned(since: Micros) -> Ban {
        Ban { name: "s-7".into(), since }
    }

    #[test]
    fn a_ban_holds_whatever_discovery_says_and_its_word_holds_afterwards() {
        use Stage::*;
        // What discovery says during the ban, how the rules see that, and how they see the server put back at 500.
        type Case = (Scope, Vec<(Listed, u8)>, Vec<(Stage, Option<Micros>)>, Vec<(Stage, Option<Micros>)>);
        let cases: Vec<Case> = vec![
            (Scope::Changes, vec![], vec![], vec![(Live, Some(500))]),
            (
                Scope::Changes,
                vec![told(Live, Some(300))],
                vec![(Draining, Some(50))],
                vec![(Live, Some(300))],
            ),
            (Scope::Full, vec![told(Live, Some(50))], vec![(Draining, Some(50))], vec![(Live, Some(500))]),
            (
                Scope::Changes,
                vec![told(Draining, None)],
                vec![(Draining, Some(50))],
                vec![(Draining, Some(500))],
            ),
            (Scope::Changes, vec![told(Gone, None)], vec![(Gone, Some(50))], vec![]),
            (Scope::Full, vec![], vec![], vec![]),
        ];
        for (scope, list, during, after) in cases {
            let mut m = Maintenance::new(Some(1));
            assert_eq!(seen(m.listed(Scope::Full, vec![told(Live, Some(50))])), [(Live, Some(50))]);
            let first = m.ban(ID, banned(100)).unwrap();
            assert_eq!(seen(first.into_iter().collect()), [(Draining, Some(50))]);
            m.ban(ID, banned(200)).unwrap();
            assert_eq!(seen(m.listed(scope, list.clone())), during, "{list:?}");
            let back = m.lift(ID, 500).unwrap();
            assert_eq!(seen(back.into_iter().collect()), after, "{list:?}");
            assert_eq!(m.lift(ID, 600), Ok(None), "one call ends it");
            assert_eq!(seen(m.listed(Scope::Changes, vec![told(Live, None)])), [(Live, None)]);
        }
    }

    #[test]
    fn one_that_left_the_list_and_came_back_is_still_out() {
        let mut m = Maintenance::new(None);
        m.listed(Scope::Full, vec![told(Stage::Live, None)]);
        m.ban(ID, banned(100)).unwrap();
        m.listed(Scope::Full, vec![]);
        assert_eq!(
            seen(m.listed(Scope::Full, vec![told(Stage::Live, Some(200))])),
            [(Stage::Draining, None)]
        );
        assert_eq!(m.bans().collect::<Vec<_>>(), [(ID, &banned(100))]);
    }

    #[test]
    fn what_was_never_listed_gets_a_no_and_so_does_the_origin() {
        let mut m = Maintenance::new(Some(1));
        assert_eq!(m.ban(ID, banned(1)), Err(BanError::NeverListed));
        assert_eq!(m.lift(ID, 1), Err(BanError::NeverListed));
        let origin = Listed { server: ServerId(8), kind: 1, ..Listed::default() };
        m.listed(Scope::Full, vec![(origin, 0)]);
        assert_eq!(m.ban(ServerId(8), banned(1)), Err(BanError::IsOrigin));
        assert_eq!(m.adopt(ID, banned(1)), None);
        assert_eq!(seen(m.listed(Scope::Full, vec![told(Stage::Live, None)])), [(Stage::Draining, None)]);
    }

    #[test]
    fn what_is_remembered_is_bounded_and_bans_are_kept() {
        let mut m = Maintenance::new(None);
        m.listed(Scope::Full, vec![told(Stage::Live, None)]);
        m.ban(ID, banned(1)).unwrap();
        for id in 0..2 * REMEMBERED as u64 {
            m.listed(Scope::Full, vec![(Listed { server: ServerId(1000 + id), ..Listed::default() }, 0)]);
        }
        assert!(m.servers.len() <= REMEMBERED + 1);
        assert_eq!(m.bans().count(), 1);
        assert!(m.lift(ID, 2).is_ok());
    }
}
