//! Records in plain words, for stories.

use super::{Answer, CancelledIn, ClientEvent, Closer, DiscoveryEvent, Listed, Names, NodeEvent};
use super::{RefusedWhy, ServerEvent, ServerState, Signal};

/// A record's party and what it did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Who wrote it.
    pub who: String,
    /// What.
    pub what: String,
}

fn told(who: impl Into<String>, what: impl Into<String>) -> Told {
    Told { who: who.into(), what: what.into() }
}

fn answer(answer: Answer, digest: u64) -> String {
    let kind = match answer {
        Answer::Value => "a value",
        Answer::Receipt => "a receipt",
        Answer::Miss => "a miss",
        Answer::Busy => "busy",
        Answer::Failed => "failed",
    };
    if digest == 0 { kind.to_owned() } else { format!("{kind} (digest {digest:016x})") }
}

fn closed(by: Closer) -> &'static str {
    match by {
        Closer::Us => "closed here",
        Closer::Them => "closed by the other end",
        Closer::Reset => "reset by the other end",
        Closer::RunOver => "open when the run ended",
    }
}

impl ClientEvent {
    /// In plain words.
    pub fn words(&self, names: &Names) -> Told {
        let what = match *self {
            Self::Opened { conn, node, bad } => {
                format!(
                    "connection {} to {} is up{}",
                    conn.0,
                    names.node(node),
                    if bad { " (bad client)" } else { "" }
                )
            }
            Self::ConnectFailed { node } => format!("no connection to {}", names.node(node)),
            Self::Sent { conn, .. } => format!("last byte of the request written on connection {}", conn.0),
            Self::Answered { conn, answer: a, digest, retry_ms, fits, .. } => {
                let again =
                    if retry_ms > 0 { format!(", come again after {retry_ms} ms") } else { String::new() };
                let wrong = if fits { "" } else { ", NOT made for this key and request" };
                format!("answered {} on connection {}{again}{wrong}", answer(a, digest), conn.0)
            }
            Self::Broken { conn, .. } => format!("answer on connection {} is not whole", conn.0),
            Self::GivenUp { early, .. } => {
                if early { "left before its time was up" } else { "time is up" }.into()
            }
            Self::Crossed { conn, .. } => {
                format!("crossed by the close of connection {}; sent once more", conn.0)
            }
            Self::Closed { conn, by } => format!("connection {} {}", conn.0, closed(by)),
            Self::Unasked { conn, bytes } => format!("{bytes} bytes unasked on connection {}", conn.0),
            Self::BadSent { conn, .. } => format!("bad client has written all on connection {}", conn.0),
            Self::BadServed { conn, .. } => format!("bad client was served on connection {}", conn.0),
            Self::BadError { conn } => format!("bad client was given an error on connection {}", conn.0),
        };
        told("client", what)
    }
}

impl ServerEvent {
    /// In plain words.
    pub fn words(&self, names: &Names) -> Told {
        let what = match *self {
            Self::Opened { conn, node, .. } => {
                format!("connection {} from {} is up", conn.0, names.node(node))
            }
            Self::Refused { node, why, .. } => {
                let why = if why == RefusedWhy::Full { "the table is full" } else { "it is down" };
                format!("connection from {} refused: {why}", names.node(node))
            }
            Self::Closed { conn, by, .. } => format!("connection {} {}", conn.0, closed(by)),
            Self::FirstByte { conn, .. } => format!("first byte on connection {}", conn.0),
            Self::LastByte { conn, work_us, .. } => {
                format!("last byte on connection {}, work {:.2} ms", conn.0, f64::from(work_us) / 1e3)
            }
            Self::Begun { .. } => "work begins".into(),
            Self::Answered { conn, answer: a, spoilt, digest, .. } => {
                format!(
                    "answers {} on connection {}{}",
                    answer(a, digest),
                    conn.0,
                    if spoilt { ", spoilt" } else { "" }
                )
            }
            Self::Cancelled { how, .. } => match how {
                CancelledIn::Queue => "node left; dropped from the queue".into(),
                CancelledIn::Work => "node left; dropped in work".into(),
                CancelledIn::GoesOn => "node left; work goes on".into(),
            },
            Self::Effect { repeat, .. } => {
                if repeat { "repeat dropped" } else { "write takes effect" }.into()
            }
            Self::Stored { .. } => "value stored here".into(),
            Self::State { state, .. } => match state {
                ServerState::Cold => "starts cold",
                ServerState::Warm => "is warm",
                ServerState::Draining => "drains",
                ServerState::Gone => "is gone",
                ServerState::Paused => "stands still",
                ServerState::Resumed => "goes on",
                ServerState::Fallen => "was overdriven and stops",
            }
            .into(),
            Self::Capacity { per_s, .. } => format!("can do {:.2} cores' work", f64::from(per_s) / 1e6),
            Self::Held { working, waiting, connections, .. } => {
                format!("{working} in work, {waiting} waiting, {connections} connections")
            }
        };
        told(names.server(self.server()), what)
    }
}

fn listed(state: Listed) -> &'static str {
    match state {
        Listed::Up => "up",
        Listed::Draining => "draining",
        Listed::Removed => "removed",
    }
}

impl DiscoveryEvent {
    /// In plain words.
    pub fn words(&self, names: &Names) -> Told {
        let what = match *self {
            Self::Changed { server, state, rev } => {
                format!("lists {} as {} (rev {rev})", names.server(server), listed(state))
            }
            Self::Told { node, server, state, rev } => {
                format!(
                    "tells {}: {} is {} (rev {rev})",
                    names.node(node),
                    names.server(server),
                    listed(state)
                )
            }
            Self::Called { node, hold_ms: 0 } => format!("{} asks", names.node(node)),
            Self::Called { node, hold_ms } => format!("{} watches for {hold_ms} ms", names.node(node)),
            Self::Failed { node } => format!("call of {} fails", names.node(node)),
        };
        told("discovery", what)
    }
}

impl NodeEvent {
    /// In plain words.
    pub fn words(&self, names: &Names) -> Told {
        let what = match *self {
            Self::Started { pid, .. } => format!("started (process {pid})"),
            Self::Ready { .. } => "ready".into(),
            Self::Signalled { signal: Signal::Term, .. } => "is sent SIGTERM".into(),
            Self::Signalled { signal: Signal::Hup, .. } => "is sent SIGHUP".into(),
            Self::Signalled { signal: Signal::Kill, .. } => "is killed".into(),
            Self::Signalled { signal: Signal::Stop, .. } => "is held up".into(),
            Self::Signalled { signal: Signal::Continue, .. } => "goes on".into(),
            Self::Ended { status: Some(status), .. } => format!("ended with status {status}"),
            Self::Ended { status: None, .. } => "ended by a signal".into(),
            Self::Sampled { cpu_us, rss_kib, fds, .. } => {
                format!("{:.2} s CPU, {} MiB, {fds} descriptors", cpu_us as f64 / 1e6, rss_kib / 1024)
            }
        };
        told(names.node(self.node()), what)
    }
}
