//! Bursts of events, and streams that are not read.

use lapisrudder_log::{Bounds, Clock, Format, Log, Micros, Settings};
use std::io::{self, Write};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use tracing::{Level, dispatcher, error, info, warn};

/// A generous limit, which no step of these tests reaches on any machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const BOUNDS: Bounds = Bounds { window: 1_000_000, repeats: 3, lines: 10 };
const SETTINGS: Settings = Settings { level: Level::INFO, format: Format::Text, bounds: BOUNDS };

/// A stream that records what is written, and blocks writes while it is blocked.
#[derive(Clone, Default)]
struct Stream(Arc<Inner>);

/// Whether writes block, and what was written.
type Inner = (Mutex<(bool, Vec<u8>)>, Condvar);

impl Stream {
    fn set_blocked(&self, blocked: bool) {
        self.0.0.lock().unwrap().0 = blocked;
        self.0.1.notify_all();
    }

    fn lines(&self) -> Vec<String> {
        let text = String::from_utf8(self.0.0.lock().unwrap().1.clone()).unwrap();
        text.lines().map(str::to_string).collect()
    }

    /// Waits until a line contains `part`.
    fn await_line(&self, part: &str) {
        let began = Instant::now();
        while !self.lines().iter().any(|l| l.contains(part)) {
            assert!(began.elapsed() < TEST_TIMEOUT, "no line contains {part}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Write for Stream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0.1.wait_while(self.0.0.lock().unwrap(), |state| state.0).unwrap();
        state.1.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A log with a clock that the test sets.
fn log(settings: Settings) -> (Log, Stream, Arc<AtomicI64>) {
    let (stream, time) = (Stream::default(), Arc::new(AtomicI64::new(0)));
    let clock: Clock = Arc::new({
        let time = time.clone();
        move || -> Micros { time.load(Ordering::SeqCst) }
    });
    (Log::new(settings, stream.clone(), clock).unwrap(), stream, time)
}

#[test]
fn burst_of_events_takes_few_lines_and_reports_the_suppressed_count() {
    let (log, stream, time) = log(SETTINGS);
    let began = Instant::now();
    dispatcher::with_default(log.dispatch(), || {
        for n in 0..1_000_000i64 {
            // Two windows of 500,000 iterations, each with an event about a new subject and one about the
            // same subject.
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
    let suppressed = |word: &str| -> u64 {
        let of = lines.iter().filter(|l| l.contains(word)).filter_map(|l| l.split("held=").nth(1));
        of.filter_map(|rest| rest.split(' ').next()?.parse::<u64>().ok()).sum()
    };
    assert_eq!(suppressed("like=\"cannot reach"), 1_000_000 - 20, "{lines:?}");
    assert_eq!(suppressed("like=\"always"), 1_000_000 - 6, "{lines:?}");
    assert!(lines.len() <= 20 + 6 + 1 + 4, "{lines:?}");
    // Far above what it takes: a suppressed event must cost next to nothing.
    assert!(took.as_secs() < 20, "{took:?}");
    println!("{} ns an event", took.as_nanos() / 2_000_000);
}

#[test]
fn suppressed_count_is_logged_after_the_window_without_further_events() {
    let (log, stream, time) = log(SETTINGS);
    let log_times =
        |times: usize| dispatcher::with_default(log.dispatch(), || (0..times).for_each(|_| info!("again")));
    log_times(3);
    stream.await_line("again");
    // The writer thread waits without a timeout by now: it must be woken for the suppressed lines.
    std::thread::sleep(Duration::from_millis(50));
    log_times(7);
    time.store(1_000_000, Ordering::SeqCst);
    stream.await_line("INFO lapisrudder_log: more lines were held back held=7 like=\"again\"");
}

#[test]
fn blocked_stream_does_not_block_logging_and_dropped_lines_are_reported() {
    let bounds = Bounds { repeats: u32::MAX, lines: u32::MAX, ..BOUNDS };
    let (log, stream, _) = log(Settings { bounds, ..SETTINGS });
    stream.set_blocked(true);
    dispatcher::with_default(log.dispatch(), || {
        (0..2_000).for_each(|n| info!("{n}{}", " long".repeat(1_000)));
        (0..20_000).for_each(|n| info!("line {n}"));
    });
    stream.set_blocked(false);
    stream.await_line("lines were dropped");
    let lines = stream.lines();
    let dropped = lines.iter().find_map(|l| l.split("lines=").nth(1)?.parse::<usize>().ok()).unwrap();
    assert_eq!(lines.len() - 1 + dropped, 22_000);
    assert!(lines.iter().map(String::len).sum::<usize>() < 300 << 10, "queued bytes are bounded");
    stream.set_blocked(true);
    dispatcher::with_default(log.dispatch(), || info!("last"));
    // The drop must return although the stream is still blocked.
    drop(log);
}

#[test]
fn settings_apply_at_runtime_and_each_event_is_one_line() {
    let (log, stream, _) = log(SETTINGS);
    let log_events = |what: &str| {
        dispatcher::with_default(log.dispatch(), || {
            tracing::debug!(about = %"10.0.0.1:1", "fine {what}");
            warn!(about = %"10.0.0.1:1", count = 3, "grave {what}");
        })
    };
    log_events("a\nb\r\n");
    log.apply(Settings { level: Level::DEBUG, format: Format::Json, ..SETTINGS });
    log_events("c\nd");
    log.apply(Settings { level: Level::ERROR, bounds: Bounds { repeats: 1, ..BOUNDS }, ..SETTINGS });
    log_events("e");
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
