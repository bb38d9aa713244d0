//! Maintenance: servers that operators have taken out by hand, as an overlay on the list from discovery. The
//! balancer sees one effective list, in which such a server is draining, whatever discovery reports. The
//! reports are kept, and apply when the ban ends.

use crate::interface::{Listed, Micros, Scope, ServerId, Stage};
use lru::LruCache;
use std::collections::BTreeMap;

/// Limit on remembered servers that were ever listed. It bounds memory if discovery keeps reporting new
/// servers: 16 Ki of them take 2 MB. A server that is taken out is never forgotten.
const MAX_REMEMBERED: usize = 1 << 14;

/// Why a server cannot be taken out or put back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BanError {
    /// The server was never listed.
    NeverListed,
    /// The server is the origin, which no other server can replace.
    IsOrigin,
}

/// A server's ban, as it is handed over to the next process of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ban {
    /// The server's name for operators.
    pub name: String,
    /// When the server was taken out.
    pub since: Micros,
}

struct Entry<P> {
    /// The server as discovery reports it, with its payload; `None` while it is not listed.
    current: Option<(Listed, P)>,
    /// The start time that the balancer was last given.
    reported_start: Option<Micros>,
}

/// The overlay. `P` is further data of a listed server, such as its address.
pub struct Maintenance<P> {
    servers: LruCache<ServerId, Entry<P>>,
    bans: BTreeMap<ServerId, Ban>,
    origin_kind: Option<u32>,
}

impl<P: Clone> Maintenance<P> {
    /// No server is taken out.
    pub fn new(origin_kind: Option<u32>) -> Self {
        Maintenance { servers: LruCache::unbounded(), bans: BTreeMap::new(), origin_kind }
    }

    /// Changes the kind that marks the origin.
    pub fn set_origin_kind(&mut self, kind: Option<u32>) {
        self.origin_kind = kind;
    }

    /// Whether a server is the origin.
    pub fn is_origin(&self, listed: &Listed) -> bool {
        self.origin_kind == Some(listed.kind)
    }

    /// Converts an update from discovery into the effective update for the balancer.
    pub fn apply_list(&mut self, scope: Scope, list: Vec<(Listed, P)>) -> Vec<(Listed, P)> {
        if matches!(scope, Scope::Full | Scope::Remembered) {
            self.servers.iter_mut().for_each(|(_, entry)| entry.current = None);
        }
        let effective = list.into_iter().map(|(listed, location)| self.apply_one(listed, location)).collect();
        while self.servers.len() > MAX_REMEMBERED
            && let Some((id, entry)) = self.servers.pop_lru()
        {
            if self.bans.contains_key(&id) || entry.current.is_some() {
                self.servers.put(id, entry);
                break;
            }
        }
        effective
    }

    fn apply_one(&mut self, listed: Listed, location: P) -> (Listed, P) {
        let id = listed.server;
        let reported_start = self.servers.get(&id).and_then(|e| e.reported_start);
        let current = (listed.stage != Stage::Gone).then(|| (listed.clone(), location.clone()));
        let effective = match self.bans.contains_key(&id) {
            true => as_draining(listed, reported_start),
            false => listed,
        };
        self.servers.put(id, Entry { current, reported_start: effective.since.max(reported_start) });
        (effective, location)
    }

    /// Takes a server out; calling it again has no effect. Returns the server's effective entry, if it is
    /// listed.
    ///
    /// # Errors
    /// The server can't be taken out.
    pub fn ban(&mut self, id: ServerId, ban: Ban) -> Result<Option<(Listed, P)>, BanError> {
        let entry = self.servers.get(&id).ok_or(BanError::NeverListed)?;
        let effective = entry
            .current
            .clone()
            .map(|(listed, location)| (as_draining(listed, entry.reported_start), location));
        if effective.as_ref().is_some_and(|(listed, _)| self.is_origin(listed)) {
            return Err(BanError::IsOrigin);
        }
        self.bans.entry(id).or_insert(ban);
        Ok(effective)
    }

    /// Adopts a ban from the node's previous process. It applies even if the server was never listed in this
    /// process.
    pub fn adopt(&mut self, id: ServerId, ban: Ban) -> Option<(Listed, P)> {
        if self.servers.get(&id).is_none() {
            self.servers.put(id, Entry { current: None, reported_start: None });
        }
        self.ban(id, ban).unwrap_or_default()
    }

    /// Ends a server's ban, however often it was set; without a ban it has no effect. Returns the server's
    /// effective entry, if it is listed.
    ///
    /// # Errors
    /// The server was never listed.
    pub fn lift(&mut self, id: ServerId, now: Micros) -> Result<Option<(Listed, P)>, BanError> {
        let entry = self.servers.get_mut(&id).ok_or(BanError::NeverListed)?;
        let Some(ban) = self.bans.remove(&id) else { return Ok(None) };
        Ok(entry.current.clone().map(|(listed, location)| {
            // The server may have been restarted during the ban, which discovery reports only seconds later.
            // Until a start time after the ban is known, the server counts as started now, which is not
            // earlier than the real start.
            let since = listed.since.filter(|since| *since > ban.since).unwrap_or(now);
            entry.reported_start = Some(since);
            (Listed { since: Some(since), ..listed }, location)
        }))
    }

    /// The servers that are taken out.
    pub fn bans(&self) -> impl Iterator<Item = (ServerId, &Ban)> {
        self.bans.iter().map(|(id, ban)| (*id, ban))
    }

    /// Servers that were listed and no longer are, with the last known start time; the last to leave comes
    /// first.
    pub fn unlisted_servers(&self) -> impl Iterator<Item = (ServerId, Option<Micros>)> {
        self.servers
            .iter()
            .filter(|(_, entry)| entry.current.is_none())
            .map(|(id, entry)| (*id, entry.reported_start))
    }

    /// The servers that are listed, as discovery reported them.
    pub fn known_servers(&self) -> impl Iterator<Item = &(Listed, P)> {
        self.servers.iter().filter_map(|(_, entry)| entry.current.as_ref())
    }
}

/// The effective entry of a server that is taken out: it is draining. It keeps its former start time, since a
/// later one would end the drain.
fn as_draining(listed: Listed, reported_start: Option<Micros>) -> Listed {
    let stage = if listed.stage == Stage::Live { Stage::Draining } else { listed.stage };
    Listed { stage, since: reported_start, ..listed }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ID: ServerId = ServerId(7);

    fn entry(stage: Stage, since: Option<Micros>) -> (Listed, u8) {
        (Listed { server: ID, stage, since, weight: 1.0, ..Listed::default() }, 9)
    }

    fn stages(list: Vec<(Listed, u8)>) -> Vec<(Stage, Option<Micros>)> {
        list.into_iter().map(|(l, _)| (l.stage, l.since)).collect()
    }

    fn banned(since: Micros) -> Ban {
        Ban { name: "s-7".into(), since }
    }

    #[test]
    fn a_ban_overrides_discovery_and_its_reports_apply_afterwards() {
        use Stage::*;
        // The update during the ban, its effective form, and the server's effective entry after the ban ends
        // at 500.
        type Case = (Scope, Vec<(Listed, u8)>, Vec<(Stage, Option<Micros>)>, Vec<(Stage, Option<Micros>)>);
        let cases: Vec<Case> = vec![
            (Scope::Changes, vec![], vec![], vec![(Live, Some(500))]),
            (
                Scope::Changes,
                vec![entry(Live, Some(300))],
                vec![(Draining, Some(50))],
                vec![(Live, Some(300))],
            ),
            (Scope::Full, vec![entry(Live, Some(50))], vec![(Draining, Some(50))], vec![(Live, Some(500))]),
            (
                Scope::Changes,
                vec![entry(Draining, None)],
                vec![(Draining, Some(50))],
                vec![(Draining, Some(500))],
            ),
            (Scope::Changes, vec![entry(Gone, None)], vec![(Gone, Some(50))], vec![]),
            (Scope::Full, vec![], vec![], vec![]),
        ];
        for (scope, list, during, after) in cases {
            let mut m = Maintenance::new(Some(1));
            assert_eq!(stages(m.apply_list(Scope::Full, vec![entry(Live, Some(50))])), [(Live, Some(50))]);
            let first = m.ban(ID, banned(100)).unwrap();
            assert_eq!(stages(first.into_iter().collect()), [(Draining, Some(50))]);
            m.ban(ID, banned(200)).unwrap();
            assert_eq!(stages(m.apply_list(scope, list.clone())), during, "{list:?}");
            let back = m.lift(ID, 500).unwrap();
            assert_eq!(stages(back.into_iter().collect()), after, "{list:?}");
            assert_eq!(m.lift(ID, 600), Ok(None), "one call ends it");
            assert_eq!(stages(m.apply_list(Scope::Changes, vec![entry(Live, None)])), [(Live, None)]);
        }
    }

    #[test]
    fn a_ban_survives_leaving_and_returning_to_the_list() {
        let mut m = Maintenance::new(None);
        m.apply_list(Scope::Full, vec![entry(Stage::Live, None)]);
        m.ban(ID, banned(100)).unwrap();
        m.apply_list(Scope::Full, vec![]);
        assert_eq!(
            stages(m.apply_list(Scope::Full, vec![entry(Stage::Live, Some(200))])),
            [(Stage::Draining, None)]
        );
        assert_eq!(m.bans().collect::<Vec<_>>(), [(ID, &banned(100))]);
    }

    #[test]
    fn unlisted_servers_and_the_origin_cannot_be_banned() {
        let mut m = Maintenance::new(Some(1));
        assert_eq!(m.ban(ID, banned(1)), Err(BanError::NeverListed));
        assert_eq!(m.lift(ID, 1), Err(BanError::NeverListed));
        let origin = Listed { server: ServerId(8), kind: 1, ..Listed::default() };
        m.apply_list(Scope::Full, vec![(origin, 0)]);
        assert_eq!(m.ban(ServerId(8), banned(1)), Err(BanError::IsOrigin));
        assert_eq!(m.adopt(ID, banned(1)), None);
        assert_eq!(
            stages(m.apply_list(Scope::Full, vec![entry(Stage::Live, None)])),
            [(Stage::Draining, None)]
        );
    }

    #[test]
    fn remembered_servers_are_bounded_and_bans_are_kept() {
        let mut m = Maintenance::new(None);
        m.apply_list(Scope::Full, vec![entry(Stage::Live, None)]);
        m.ban(ID, banned(1)).unwrap();
        for id in 0..2 * MAX_REMEMBERED as u64 {
            m.apply_list(Scope::Full, vec![(Listed { server: ServerId(1000 + id), ..Listed::default() }, 0)]);
        }
        assert!(m.servers.len() <= MAX_REMEMBERED + 1);
        assert_eq!(m.bans().count(), 1);
        assert!(m.lift(ID, 2).is_ok());
    }
}
