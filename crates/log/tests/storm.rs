//! Storms of events, and streams that nobody reads.

use lapisrudder_log::{Bounds, Clock, Format, Log, Micros, Settings};
use std::io::{self, Write};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use tracing::{Level, dispatcher, error, info, warn};

/// Longer than anything here takes, on any machine.
const WIDE: Duration = Duration::from_secs(60);
const BOUNDS: Bounds = Bounds { window: 1_000_000, repeats: 3, lines: 10 };
const SETTINGS: Settings = Settings { level: Level::INFO, format: Format::Text, bounds: BOUNDS };

/// A stream that keeps what is written, and takes nothing while its gate is shut.
#[derive(Clone, Default)]
struct Stream(Arc<Inner>);

/// Whether the gate is shut, and what was written.
type Inner = (Mutex<(bool, Vec<u8>)>, Condvar);

impl Stream {
    fn shut(&self, shut: bool) {
        self.0.0.lock().unwrap().0 = shut;
        self.0.1.notify_all();
    }

    fn lines(&self) -> Vec<String> {
        let text = String::from_utf8(self.0.0.lock().unwrap().1.clone()).unwrap();
        text.lines().map(str::to_string).collect()
    }

    /// Waits until a line has this in it.
    fn await_line(&self, part: &str) {
        let began = Instant::now();
        while !self.lines().iter().any(|l| l.contains(part)) {
            assert!(began.elapsed() < WIDE, "{part} is not told");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Write for Stream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut held = self.0.1.wait_while(self.0.0.lock().unwrap(), |held| held.0).unwrap();
        held.1.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A log on a clock that the test turns.
fn log(settings: Settings) -> (Log, Stream, Arc<AtomicI64>) {
    let (stream, time) = (Stream::default(), Arc::new(AtomicI64::new(0)));
    let clock: Clock = Arc::new({
        let time = time.clone();
        move || -> Micros { time.load(Ordering::SeqCst) }
    });
    (Log::new(settings, stream.clone(), clock).unwrap(), stream, time)
}

#[test]
fn a_storm_of_a_million_events_takes_a_few_lines_and_says_how_many_more_there_were() {
    let (log, stream, time) = log(SETTINGS);
    let began = Instant::now();
    dispatcher::with_default(log.dispatch(), || {
        for n in 0..1_000_000i64 {
            // Two windows of 500,000 events, about ever other matters and about one.
            time.store(n * 2, Ordering::SeqCst);
            warn!(about = n, "cannot reach {n}");
            error!(about = "one", "always the same");
            if n == 500_000 {
                info!("something else");
            }
        }
    });
    let took = began.elapsed();
    drop(log);
    let lines = stream.lines();
    let count = |part: &str| lines.iter().filter(|l| l.contains(part)).count();
    assert_eq!((count("WARN storm: cannot reach"), count("ERROR storm: always")), (20, 6), "{lines:?}");
    assert_eq!(count("something else"), 1);
    let held = |word: &str| -> u64 {
        let of = lines.iter().filter(|l| l.contains(word)).filter_map(|l| l.split("held=").nth(1));
        of.filter_map(|rest| rest.split(' ').next()?.parse::<u64>().ok()).sum()
    };
    assert_eq!(held("like=\"cannot reach"), 1_000_000 - 20, "{lines:?}");
    assert_eq!(held("like=\"always"), 1_000_000 - 6, "{lines:?}");
    assert!(lines.len() <= 20 + 6 + 1 + 4, "{lines:?}");
    // Far more than it takes: what is held must cost next to nothing.
    assert!(took.as_secs() < 20, "{took:?}");
    println!("{} ns an event", took.as_nanos() / 2_000_000);
}

#[test]
fn what_was_held_is_told_when_its_window_is_over_though_nothing_more_happens() {
    let (log, stream, time) = log(SETTINGS);
    let tell =
        |times: usize| dispatcher::with_default(log.dispatch(), || (0..times).for_each(|_| info!("again")));
    tell(3);
    stream.await_line("again");
    // The thread that writes has nothing left to do: it must be told that there is something to tell of.
    std::thread::sleep(Duration::from_millis(50));
    tell(7);
    time.store(1_000_000, Ordering::SeqCst);
    stream.await_line("INFO lapisrudder_log: more lines were held back held=7 like=\"again\"");
}

#[test]
fn a_stream_that_takes_nothing_holds_up_nobody_and_the_loss_is_told() {
    let bounds = Bounds { repeats: u32::MAX, lines: u32::MAX, ..BOUNDS };
    let (log, stream, _) = log(Settings { bounds, ..SETTINGS });
    stream.shut(true);
    dispatcher::with_default(log.dispatch(), || {
        (0..2_000).for_each(|n| info!("{n}{}", " long".repeat(1_000)));
        (0..20_000).for_each(|n| info!("line {n}"));
    });
    stream.shut(false);
    stream.await_line("lines were dropped");
    let lines = stream.lines();
    let dropped = lines.iter().find_map(|l| l.split("lines=").nth(1)?.parse::<usize>().ok()).unwrap();
    assert_eq!(lines.len() - 1 + dropped, 22_000);
    assert!(lines.iter().map(String::len).sum::<usize>() < 300 << 10, "what waits is bounded in bytes");
    stream.shut(true);
    dispatcher::with_default(log.dispatch(), || info!("last"));
    // It ends though nobody reads.
    drop(log);
}

#[test]
fn level_format_and_bounds_change_while_it_runs_and_an_event_is_one_line() {
    let (log, stream, _) = log(SETTINGS);
    let tell = |what: &str| {
        dispatcher::with_default(log.dispatch(), || {
            tracing::debug!(about = %"10.0.0.1:1", "fine {what}");
            warn!(about = %"10.0.0.1:1", count = 3, "grave {what}");
        })
    };
    tell("a\nb\r\n");
    log.apply(Settings { level: Level::DEBUG, format: Format::Json, ..SETTINGS });
    tell("c\nd");
    log.apply(Settings { level: Level::ERROR, bounds: Bounds { repeats: 1, ..BOUNDS }, ..SETTINGS });
    tell("e");
    drop(log);
    let lines: Vec<String> = stream.lines();
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[0].contains("Z  WARN storm: grave a b   about=10.0.0.1:1 count=3"), "{lines:?}");
    assert!(
        lines[1].contains(r#""level":"DEBUG","message":"fine c\nd","about":"10.0.0.1:1","target":"storm""#),
        "{lines:?}"
    );
    assert!(
        lines[2].contains(r#""level":"WARN","message":"grave c\nd","about":"10.0.0.1:1","count":3"#),
        "{lines:?}"
    );
}
