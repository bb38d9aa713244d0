//! The node on real sockets: one thread, one loop.

mod classes;
mod client;
mod deadlines;
mod fleet;
mod management;
mod node;
mod takeover;
mod virtual_server;

use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle};
use lapisrudder_config::{self as config, Config, Platform, Sources};
use lapisrudder_engine::Conn;
use lapisrudder_host::Noted;
use lapisrudder_log::{self as log, Log};
use node::Node;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;
use tracing::{Level, error, info};

/// Descriptors that are neither a client's nor a member's: standard streams, loop, listener, discovery, the spare.
pub const OWN_SOCKETS: usize = 24;
/// Clients hold at most this part of the descriptors that the platform gives a node: a third.
pub const CLIENTS_SHARE: usize = 3;

/// Whose socket it is.
#[derive(Clone, Copy, Debug)]
pub enum Owner {
    Listener,
    Client(u64),
    Member(Conn),
    Discovery,
    /// The operators' address.
    Management,
    /// Somebody who calls there.
    Caller(u64),
    /// Where another process of this node may ask to take its place, the one that does, and the one before this.
    Door,
    Successor,
    Predecessor,
    /// Datagrams of other nodes.
    Fleet,
    /// Where operators look at the fleet, and one that does.
    Look,
    Looker(u64),
}

impl From<Conn> for Owner {
    fn from(conn: Conn) -> Owner {
        Owner::Member(conn)
    }
}

/// What one dispatch of the loop has told of.
#[derive(Default)]
pub struct Ready {
    sockets: Vec<Owner>,
    signals: Vec<Signal>,
}

impl Noted for Ready {
    type Owner = Owner;

    fn ready(&mut self, owner: Owner) {
        self.sockets.push(owner);
    }
}

type Handle = LoopHandle<'static, Ready>;
type Socket = lapisrudder_host::Socket<Ready>;

/// Why the node could not start, or had to end.
#[derive(Debug, Error)]
pub enum Error {
    #[error("cannot start the loop: {0}")]
    Start(#[source] calloop::Error),
    #[error("cannot listen for signals: {0}")]
    Signals(#[source] calloop::Error),
    #[error(transparent)]
    Log(#[from] log::StartError),
    #[error("cannot listen on {at}: {source}")]
    Listen { at: SocketAddr, source: io::Error },
    #[error("management: cannot listen on {at}: {source}")]
    Management { at: SocketAddr, source: io::Error },
    #[error(transparent)]
    Limits(#[from] lapisrudder_limits::SettingsError),
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    #[error("the loop failed: {0}")]
    Loop(#[source] calloop::Error),
}

/// Runs the node until it is told to stop and has answered all that it took. On SIGHUP the sources are read again.
pub fn serve(sources: Sources, config: Config) -> Result<(), Error> {
    let mut events: EventLoop<Ready> = EventLoop::try_new().map_err(Error::Start)?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(Error::Signals)?;
    // Danger: threads begun before the signals are blocked would take them, and SIGTERM would kill the node.
    let log = Log::start(log_settings(&config.operators.log), io::stderr())?;
    events
        .handle()
        .insert_source(signals, |event, _, ready| ready.signals.push(event.signal()))
        .map_err(|e| Error::Signals(e.error))?;
    let mut force = config.platform.clone();
    let mut node = Node::new(config, &events.handle())?;
    let mut ready = Ready::default();
    while !node.is_over() {
        let wait = node.begin_wait();
        events.dispatch(wait, &mut ready).map_err(Error::Loop)?;
        let found = !ready.sockets.is_empty() || !ready.signals.is_empty();
        let came_after = node.end_wait(found);
        for signal in ready.signals.drain(..) {
            match signal {
                Signal::SIGHUP => reload(&sources, &mut force, &log, &mut node),
                signal => {
                    info!(?signal, "told to stop");
                    node.stop(came_after);
                }
            }
        }
        node.turn(ready.sockets.drain(..), came_after);
    }
    info!("ended");
    Ok(())
}

/// Reads all configuration again. If anything is wrong with it, nothing of it is used.
fn reload(sources: &Sources, force: &mut Platform, log: &Log, node: &mut Node) {
    let path = sources.environment.config.as_deref().unwrap_or(Path::new(""));
    let sound = |config: Config| config.platform.has_all_of(force, path).map(|()| config);
    match sources.reload().and_then(sound) {
        Ok(config) => {
            *force = config.platform.clone();
            log.apply(log_settings(&config.operators.log));
            node.reload(config);
        }
        Err(problems) => error!("reload: the old configuration stays: {problems}"),
    }
}

/// `[log]` in the log's own terms.
fn log_settings(section: &config::Log) -> log::Settings {
    log::Settings {
        level: match section.level {
            config::Level::Error => Level::ERROR,
            config::Level::Warn => Level::WARN,
            config::Level::Info => Level::INFO,
            config::Level::Debug => Level::DEBUG,
            config::Level::Trace => Level::TRACE,
        },
        format: match section.format {
            config::Format::Text => log::Format::Text,
            config::Format::Json => log::Format::Json,
        },
        bounds: log::Bounds {
            window: i64::from(section.window_ms) * 1000,
            repeats: section.repeats,
            lines: section.lines,
        },
    }
}
