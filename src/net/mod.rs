//! The node on real sockets: one thread, one loop.

mod callers;
mod classes;
mod client;
mod deadlines;
mod fleet;
mod management;
mod node;
mod requests;
mod takeover;
mod virtual_server;

use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle};
use lapisrudder_config::{self as config, Config, Platform, Sources};
use lapisrudder_engine::Conn;
use lapisrudder_host::Noted;
use lapisrudder_io::{Operation, is_momentary, keep_trying};
use lapisrudder_log::{self as log, Log};
use node::{Node, START_PATIENCE};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::{Level, error, info, warn};

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
}

/// A configuration that could not be read is read again so soon, and for so long after SIGHUP at the most.
const RELOAD_AGAIN: Duration = Duration::from_millis(20);
const RELOADS_FOR: Duration = Duration::from_secs(3);
/// After the loop has failed it is tried again so soon.
const LOOP_AGAIN: Duration = Duration::from_millis(1);

/// Runs the node until it is told to stop and has answered all that it took. On SIGHUP the sources are read again.
pub fn serve(sources: Sources, config: Config) -> Result<(), Error> {
    let mut events: EventLoop<Ready> =
        keep_trying(START_PATIENCE, EventLoop::try_new, may_pass).map_err(Error::Start)?;
    let told = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    let signals = keep_trying(START_PATIENCE, || Signals::new(&told), may_pass).map_err(Error::Signals)?;
    // Danger: threads begun before the signals are blocked would take them, and SIGTERM would kill the node.
    let log = Log::start(log_settings(&config.operators.log), io::stderr())?;
    watch_signals(&events.handle(), signals)?;
    let force = config.platform.clone();
    let mut node = Node::new(config, &events.handle())?;
    let mut reloads = Reloads { sources: &sources, force, log: &log, again: None };
    let mut ready = Ready::default();
    while !node.is_over() {
        let wait = node.begin_wait();
        let wait = reloads.again.map_or(wait, |again| wait.min(again.left()));
        let looked = events.dispatch(wait, &mut ready);
        let found = looked.is_err() || !ready.sockets.is_empty() || !ready.signals.is_empty();
        let came_after = node.end_wait(found);
        if let Err(e) = looked {
            // Danger: one failed call of the loop ended the process with all that it owed.
            warn!("the loop failed, all is looked at: {e}");
            node.look_at_all();
            std::thread::sleep(LOOP_AGAIN);
        }
        for signal in ready.signals.drain(..) {
            match signal {
                Signal::SIGHUP => reloads.begin(&mut node),
                signal => {
                    info!(?signal, "told to stop");
                    node.stop(came_after);
                }
            }
        }
        reloads.wake(&mut node);
        node.turn(ready.sockets.drain(..), came_after);
    }
    info!("ended");
    Ok(())
}

/// Puts the signals on the loop.
fn watch_signals(handle: &Handle, signals: Signals) -> Result<(), Error> {
    let mut source = Some(signals);
    let insert = || {
        let Some(signals) = source.take() else { return Ok(()) };
        let inserted = handle.insert_source(signals, |event, _, ready| ready.signals.push(event.signal()));
        inserted.map(drop).map_err(|failed| {
            source = Some(failed.inserted);
            failed.error
        })
    };
    keep_trying(START_PATIENCE, insert, may_pass).map_err(Error::Signals)
}

/// A failure of the loop at the start that the next try may not meet.
fn may_pass(error: &calloop::Error) -> bool {
    matches!(error, calloop::Error::IoError(e) if is_momentary(Operation::Open, e))
}

/// When a configuration is read again that could not be read.
#[derive(Clone, Copy)]
struct Again {
    at: Instant,
    /// It is given up then.
    until: Instant,
}

impl Again {
    fn left(&self) -> Duration {
        self.at.saturating_duration_since(Instant::now())
    }
}

/// Configuration that is read while the node runs.
struct Reloads<'a> {
    sources: &'a Sources,
    /// What the platform's file said last.
    force: Platform,
    log: &'a Log,
    again: Option<Again>,
}

impl Reloads<'_> {
    /// SIGHUP has come.
    fn begin(&mut self, node: &mut Node) {
        self.read(Instant::now() + RELOADS_FOR, node);
    }

    /// Reads again what could not be read, if it is time.
    fn wake(&mut self, node: &mut Node) {
        if let Some(again) = self.again.filter(|again| again.left().is_zero()) {
            self.read(again.until, node);
        }
    }

    /// Reads all configuration again. If anything is wrong with it, nothing of it is used. Danger: a new one was passed over
    /// since a call had failed for a moment.
    fn read(&mut self, until: Instant, node: &mut Node) {
        self.again = None;
        let path = self.sources.environment.config.as_deref().unwrap_or(Path::new(""));
        let sound = |config: Config| config.platform.check_no_key_lost(&self.force, path).map(|()| config);
        match self.sources.reload().and_then(sound) {
            Ok(config) => {
                self.force = config.platform.clone();
                self.log.apply(log_settings(&config.operators.log));
                node.reload(config);
            }
            Err(problems) if problems.is_momentary() && Instant::now() < until => {
                warn!("reload: it is read again shortly: {problems}");
                self.again = Some(Again { at: Instant::now() + RELOAD_AGAIN, until });
            }
            Err(problems) => error!("reload: the old configuration stays: {problems}"),
        }
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
