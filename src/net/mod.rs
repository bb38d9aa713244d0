//! The node on real sockets: one thread that runs one event loop.

mod classes;
mod client;
mod control_listener;
mod deadlines;
mod fleet;
mod management;
mod node;
mod read_ahead;
mod receiving;
mod requests;
mod shared_ids;
mod takeover;
mod virtual_server;

use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle};
use lapisrudder_config::{self as config, Config, Platform, Sources};
use lapisrudder_engine::Conn;
use lapisrudder_host::ReadinessHandler;
use lapisrudder_io::{Operation, is_momentary, retry_with_backoff};
use lapisrudder_log::{self as log, Log};
use node::{Node, START_TIMEOUT};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::{Level, error, info, warn};

/// Descriptors that belong to no client and no member: standard streams, event loop, listener, discovery, and
/// the spare descriptor.
pub const OWN_DESCRIPTORS: usize = 24;
/// Clients hold at most one part in this many of the descriptors that the platform gives a node: a third.
pub const CLIENT_SHARE_DIVISOR: usize = 3;

/// The object that a socket belongs to.
#[derive(Clone, Copy, Debug)]
pub enum Owner {
    Listener,
    Client(u64),
    Member(Conn),
    Discovery,
    /// The listener for management calls.
    Management,
    /// A connection that makes a management call.
    ManagementClient(u64),
    /// The local listener on which another process of this node asks to take over, the connection to that
    /// process, and the connection to the process that ran before this one.
    TakeoverListener,
    Successor,
    Predecessor,
    /// The socket for membership datagrams of other nodes.
    Fleet,
    /// The listener for `fleet look` calls, and a connection that makes one.
    FleetView,
    FleetViewClient(u64),
}

impl From<Conn> for Owner {
    fn from(conn: Conn) -> Owner {
        Owner::Member(conn)
    }
}

/// Sockets and signals that one dispatch of the event loop has reported.
#[derive(Default)]
pub struct Ready {
    sockets: Vec<Owner>,
    signals: Vec<Signal>,
}

impl ReadinessHandler for Ready {
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
    #[error("cannot start the event loop: {0}")]
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

/// Interval at which a configuration that could not be read is read again, and the time after SIGHUP for
/// which it is tried.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(20);
const RELOAD_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a failed dispatch of the event loop.
const LOOP_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Runs the node until a stop signal has arrived and every request that was taken is answered. SIGHUP reloads
/// the configuration.
pub fn serve(sources: Sources, config: Config) -> Result<(), Error> {
    let mut events: EventLoop<Ready> =
        retry_with_backoff(START_TIMEOUT, EventLoop::try_new, is_transient).map_err(Error::Start)?;
    let handled = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
    let signals =
        retry_with_backoff(START_TIMEOUT, || Signals::new(&handled), is_transient).map_err(Error::Signals)?;
    // The log's thread starts after the signals are blocked: a thread that does not block SIGTERM would
    // receive it, and the default action would kill the process.
    let log = Log::start(log_settings(&config.operators.log), io::stderr())?;
    watch_signals(&events.handle(), signals)?;
    let platform = config.platform.clone();
    let mut node = Node::new(config, &events.handle())?;
    let mut reloader = ConfigReloader { sources: &sources, platform, log: &log, retry: None };
    let mut ready = Ready::default();
    while !node.is_over() {
        let wait = node.begin_wait();
        let wait = reloader.retry.map_or(wait, |retry| wait.min(retry.left()));
        let dispatched = events.dispatch(wait, &mut ready);
        let has_events = dispatched.is_err() || !ready.sockets.is_empty() || !ready.signals.is_empty();
        let came_after = node.end_wait(has_events);
        if let Err(e) = dispatched {
            // A failed dispatch must not end the process: the requests in progress would be lost.
            warn!("event loop failed; rechecking all sockets: {e}");
            node.recheck_all();
            std::thread::sleep(LOOP_RETRY_DELAY);
        }
        for signal in ready.signals.drain(..) {
            match signal {
                Signal::SIGHUP => reloader.begin(&mut node),
                signal => {
                    info!(?signal, "received stop signal");
                    node.stop(came_after);
                }
            }
        }
        reloader.retry_if_due(&mut node);
        node.run_iteration(ready.sockets.drain(..), came_after);
    }
    info!("node ended");
    Ok(())
}

/// Registers the signals in the event loop.
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
    retry_with_backoff(START_TIMEOUT, insert, is_transient).map_err(Error::Signals)
}

/// Whether an error at the start is transient, so that another try may succeed.
fn is_transient(error: &calloop::Error) -> bool {
    matches!(error, calloop::Error::IoError(e) if is_momentary(Operation::Open, e))
}

/// When to retry reading a configuration that could not be read.
#[derive(Clone, Copy)]
struct ReloadRetry {
    at: Instant,
    /// After this time no further try is made.
    give_up_at: Instant,
}

impl ReloadRetry {
    fn left(&self) -> Duration {
        self.at.saturating_duration_since(Instant::now())
    }
}

/// Reloads the configuration while the node runs.
struct ConfigReloader<'a> {
    sources: &'a Sources,
    /// The platform's part of the last valid configuration.
    platform: Platform,
    log: &'a Log,
    retry: Option<ReloadRetry>,
}

impl ConfigReloader<'_> {
    /// Starts a reload on SIGHUP.
    fn begin(&mut self, node: &mut Node) {
        self.read(Instant::now() + RELOAD_RETRY_TIMEOUT, node);
    }

    /// Retries a failed read of the configuration when it is due.
    fn retry_if_due(&mut self, node: &mut Node) {
        if let Some(retry) = self.retry.filter(|retry| retry.left().is_zero()) {
            self.read(retry.give_up_at, node);
        }
    }

    /// Reads the complete configuration. If any of it is invalid, none of it is applied. A read that failed
    /// with a transient error is retried: otherwise a new configuration would be ignored because of one
    /// failed system call.
    fn read(&mut self, give_up_at: Instant, node: &mut Node) {
        self.retry = None;
        let path = self.sources.environment.config.as_deref().unwrap_or(Path::new(""));
        let check = |config: Config| config.platform.check_no_key_lost(&self.platform, path).map(|()| config);
        match self.sources.reload().and_then(check) {
            Ok(config) => {
                self.platform = config.platform.clone();
                self.log.apply(log_settings(&config.operators.log));
                node.reload(config);
            }
            Err(problems) if problems.is_momentary() && Instant::now() < give_up_at => {
                warn!("reload: configuration could not be read, retrying: {problems}");
                self.retry = Some(ReloadRetry { at: Instant::now() + RELOAD_RETRY_INTERVAL, give_up_at });
            }
            Err(problems) => error!("reload: the old configuration stays: {problems}"),
        }
    }
}

/// Converts the `[log]` section to the settings of the log.
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
