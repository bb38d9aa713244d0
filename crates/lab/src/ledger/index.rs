//! Finding records by request and by connection, without a walk over the books for each.

use super::{ClientEvent, ConnNo, Ledger, NodeNo, Record, ReqId, ServerEvent, ServerNo, Try};
use crate::Micros;
use rustc_hash::FxHashMap;

/// A sorted ledger with ways into it. Never iterates over its hash tables, so that no order leaks into results.
pub struct Index<'a> {
    /// The ledger.
    pub ledger: &'a Ledger,
    tries: FxHashMap<ReqId, u32>,
    clients: Vec<(ReqId, u32)>,
    servers: Vec<(ReqId, u32)>,
    client_conns: Vec<(ConnNo, u32)>,
    chains: Vec<(ReqId, u32)>,
    server_conns: FxHashMap<(ServerNo, ConnNo), ServerConn>,
}

/// A connection as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerConn {
    /// The node at the other end.
    pub node: NodeNo,
    /// When it came up.
    pub opened: Micros,
    /// When it ended.
    pub closed: Option<Micros>,
}

impl<'a> Index<'a> {
    /// Of a ledger whose books are sorted ([`Ledger::sort`]).
    pub fn of(ledger: &'a Ledger) -> Self {
        let places = || 0u32..;
        let tries = ledger.tries.iter().zip(places()).map(|(t, at)| (t.id, at)).collect();
        let mut chains: Vec<_> = ledger.tries.iter().zip(places()).map(|(t, at)| (t.first, at)).collect();
        let client_records = || ledger.clients.records().iter().zip(places());
        let mut clients: Vec<_> = client_records().filter_map(|(r, at)| Some((r.event.req()?, at))).collect();
        let mut client_conns: Vec<_> =
            client_records().filter_map(|(r, at)| Some((r.event.conn()?, at))).collect();
        let mut servers = Vec::new();
        let mut server_conns = FxHashMap::default();
        for (r, at) in ledger.servers.records().iter().zip(places()) {
            if let Some(req) = r.event.req() {
                servers.push((req, at));
            }
            match r.event {
                ServerEvent::Opened { server, conn, node } => {
                    server_conns.insert((server, conn), ServerConn { node, opened: r.at, closed: None });
                }
                ServerEvent::Closed { server, conn, .. } => {
                    if let Some(conn) = server_conns.get_mut(&(server, conn)) {
                        conn.closed = Some(r.at);
                    }
                }
                _ => {}
            }
        }
        // Places come last in the keys: records of one request stay in order of time.
        chains.sort_unstable();
        clients.sort_unstable();
        client_conns.sort_unstable();
        servers.sort_unstable();
        Self { ledger, tries, clients, servers, client_conns, chains, server_conns }
    }

    /// The try of that id.
    pub fn find(&self, req: ReqId) -> Option<&'a Try> {
        self.ledger.tries.get(*self.tries.get(&req)? as usize)
    }

    /// All tries of a first try, itself included, in order of their due times.
    pub fn chain(&self, first: ReqId) -> impl Iterator<Item = &'a Try> {
        of_key(&self.chains, first).filter_map(|at| self.ledger.tries.get(at))
    }

    /// What clients wrote about a try, in order of time.
    pub fn client(&self, req: ReqId) -> impl Iterator<Item = &'a Record<ClientEvent>> {
        of_key(&self.clients, req).filter_map(|at| self.ledger.clients.records().get(at))
    }

    /// What clients wrote about one of their connections, in order of time.
    pub fn client_conn(&self, conn: ConnNo) -> impl Iterator<Item = &'a Record<ClientEvent>> {
        of_key(&self.client_conns, conn).filter_map(|at| self.ledger.clients.records().get(at))
    }

    /// What servers and the origin wrote about a try, in order of time.
    pub fn server(&self, req: ReqId) -> impl Iterator<Item = &'a Record<ServerEvent>> {
        of_key(&self.servers, req).filter_map(|at| self.ledger.servers.records().get(at))
    }

    /// A server's connection.
    pub fn server_conn(&self, server: ServerNo, conn: ConnNo) -> Option<ServerConn> {
        self.server_conns.get(&(server, conn)).copied()
    }

    /// When the last record of any book was written.
    pub fn end(&self) -> Micros {
        let l = self.ledger;
        let ends = [
            l.tries.last().map(|t| t.due),
            l.clients.records().last().map(|r| r.at),
            l.servers.records().last().map(|r| r.at),
            l.nodes.records().last().map(|r| r.at),
            l.operators.records().last().map(|r| r.at),
            l.lab.records().last().map(|r| r.at),
        ];
        ends.into_iter().flatten().max().unwrap_or(0)
    }
}

/// The places of a key in a table sorted by key.
fn of_key<K: Ord + Copy>(table: &[(K, u32)], key: K) -> impl Iterator<Item = usize> {
    let from = table.partition_point(|(k, _)| *k < key);
    table
        .get(from..)
        .unwrap_or_default()
        .iter()
        .take_while(move |(k, _)| *k == key)
        .map(|(_, at)| *at as usize)
}
