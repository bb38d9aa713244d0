//! Faults at the worst moment: armed ahead, set off by what happens.

use serde::{Deserialize, Serialize};

/// What sets a strike off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Moment {
    /// The last byte of a request has come to a server; its answer has not gone.
    Asked,
    /// A server's answer has gone out.
    Answered,
    /// Discovery's answer that names a draining or removed server is about to be read by a node.
    ToldDrain,
    /// A node has taken a request.
    Taken,
    /// A node is about to write to a member: the strike comes between two writes of one turn.
    Writes,
    /// A node's connect to a member has come up.
    Connected,
    /// A connect of a client has come to a node.
    Accepted,
}

impl Moment {
    /// All of them.
    pub const ALL: [Moment; 7] = [
        Moment::Asked,
        Moment::Answered,
        Moment::ToldDrain,
        Moment::Taken,
        Moment::Writes,
        Moment::Connected,
        Moment::Accepted,
    ];
}

/// What then happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Blow {
    /// The server's process dies and is back after so many ms.
    KillServer(u32),
    /// The server's machine vanishes for so many ms.
    VanishServer(u32),
    /// The server begins to drain, and discovery tells it at once; it goes 0.5 s later and is back after so many ms.
    DrainServer(u32),
    /// The server stands still for so many ms.
    PauseServer(u32),
    /// The node's process dies and is back after so many ms.
    KillNode(u32),
    /// The node is told to stop.
    TermNode,
    /// The node's loop stands still for so many ms.
    StallNode(u32),
    /// Nothing goes between node and server for so many ms.
    CutLink(u32),
    /// The connection is reset.
    Reset,
    /// Discovery goes down, with resets, for so many ms.
    DiscoveryDown(u32),
    /// Discovery moves, in the same turn.
    MoveDiscovery,
    /// The answer is held until so many microseconds after its request's time is up; less than nothing is before.
    HoldToDeadline(i32),
}

/// One strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// Not before this (ms from the start of the load).
    pub from_ms: u32,
    /// What sets it off.
    pub at: Moment,
    /// The how-manieth such moment from then on, from 0.
    pub after: u32,
    /// What happens.
    pub blow: Blow,
}

/// Who is there when a moment comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Scene {
    pub(super) node: Option<usize>,
    pub(super) server: Option<usize>,
    pub(super) conn: Option<lapisrudder_model::network::Conn>,
}

/// All strikes of a day.
#[derive(Clone, Debug, Default)]
pub(super) struct Strikes {
    armed: Vec<(Strike, u32)>,
    /// Set off, and to be carried out as soon as the party that acts has ended its step.
    pub(super) due: Vec<(Blow, Scene)>,
    pub(super) struck: usize,
}

impl Strikes {
    pub(super) fn new(all: &[Strike]) -> Strikes {
        Strikes { armed: all.iter().map(|s| (*s, s.after)).collect(), ..Strikes::default() }
    }

    /// A moment has come, so many ms after the start of the load. What strikes in it.
    pub(super) fn moment(&mut self, ms: i64, at: Moment, scene: Scene) -> Option<Blow> {
        if self.armed.is_empty() {
            return None;
        }
        let ripe = |s: &Strike| s.at == at && ms >= i64::from(s.from_ms);
        let mut blow = None;
        let mut place = 0;
        while let Some((strike, left)) = self.armed.get_mut(place) {
            if !ripe(strike) {
                place += 1;
                continue;
            }
            if *left > 0 {
                *left -= 1;
                place += 1;
                continue;
            }
            let what = strike.blow;
            self.armed.remove(place);
            self.struck += 1;
            blow = Some(what);
            // What is held is no act of its own.
            if !matches!(what, Blow::HoldToDeadline(_)) {
                self.due.push((what, scene));
            }
        }
        blow
    }
}
