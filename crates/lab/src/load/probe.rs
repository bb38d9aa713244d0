//! The front's question to each node whether it is there: `mn`, on a connection of its own.

use super::carrier::Cx;
use super::net::Happening;
use crate::Micros;
use lapisrudder_model::clients::{Event, NodeId, Reader};
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, Default)]
struct Probe {
    conn: Option<u32>,
    up: bool,
    /// When it was asked, while the answer is owed.
    asked: Option<Micros>,
}

/// One connection to each node.
pub(super) struct Probes {
    nodes: Vec<SocketAddr>,
    probes: Vec<Probe>,
}

/// A node that has not answered by then has not answered.
const LIMIT: Micros = 1_000_000;

impl Probes {
    pub(super) fn new(nodes: Vec<SocketAddr>) -> Self {
        let probes = vec![Probe::default(); nodes.len()];
        Self { nodes, probes }
    }

    /// Asks a node, if no answer is owed from before.
    pub(super) fn ask(&mut self, cx: &mut Cx, node: NodeId) {
        let at = node.0 as usize;
        let (Some(probe), Some(&to)) = (self.probes.get_mut(at), self.nodes.get(at)) else { return };
        match probe.asked {
            Some(asked) if cx.now - asked < LIMIT => return,
            Some(_) => {
                if let Some(conn) = probe.conn.take() {
                    cx.net.close(conn);
                }
                *probe = Probe::default();
                cx.events.push((0, Event::Probed(node, false)));
            }
            None => {}
        }
        probe.asked = Some(cx.now);
        match probe.conn {
            Some(conn) if probe.up => cx.net.write(conn, b"mn\r\n", None),
            Some(_) => {}
            None => probe.conn = Some(cx.net.open(to, None, Some(node.0 as u16), Reader::Full)),
        }
    }

    /// Something happened on a connection of the net; false if it is none of these. The node is told that answered.
    pub(super) fn happened(&mut self, cx: &mut Cx, conn: u32, what: Happening) -> Option<Option<NodeId>> {
        let at = self.probes.iter().position(|p| p.conn == Some(conn))?;
        let node = NodeId(at as u32);
        let probe = self.probes.get_mut(at)?;
        match what {
            Happening::Up => {
                probe.up = true;
                cx.net.write(conn, b"mn\r\n", None);
            }
            Happening::Wrote(_) => {}
            Happening::Bytes => {
                let input = cx.net.input(conn);
                let line = input.split_inclusive(|b| *b == b'\n').next().filter(|line| line.ends_with(b"\n"));
                let Some(line) = line else { return Some(None) };
                let (used, ok) = (line.len(), line.starts_with(b"MN"));
                cx.net.take(conn, used);
                probe.asked = None;
                cx.events.push((0, Event::Probed(node, ok)));
                return Some(ok.then_some(node));
            }
            Happening::NotUp(_) | Happening::Ended(_) => {
                cx.net.close(conn);
                // A node may close a connection that has brought nothing for a while.
                let owed = probe.asked.is_some();
                *probe = Probe::default();
                if owed {
                    cx.events.push((0, Event::Probed(node, false)));
                }
            }
        }
        Some(None)
    }
}
