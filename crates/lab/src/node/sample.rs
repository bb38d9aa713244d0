//! What a process uses, from `/proc`.

use std::fs;
use std::io;

/// User and system time, memory and descriptors of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// User and system time of all of its threads since its start (microseconds).
    pub cpu_us: u64,
    /// Resident memory (KiB).
    pub rss_kib: u32,
    /// Open descriptors.
    pub fds: u32,
}

/// Reads it now.
///
/// # Errors
/// The process is gone, or `/proc` cannot be read.
pub fn usage(pid: u32) -> io::Result<Usage> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let rss = rss.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0);
    let fds = fs::read_dir(format!("/proc/{pid}/fd"))?.count();
    Ok(Usage { cpu_us: cpu_us(pid)?, rss_kib: rss, fds: u32::try_from(fds).unwrap_or(u32::MAX) })
}

/// User and system time of a process (microseconds): of its running threads from the scheduler's count in nanoseconds,
/// since the ticks of 10 ms in `stat` are too coarse; those ticks where threads that have ended used more.
///
/// # Errors
/// The process is gone, or `/proc` cannot be read.
pub fn cpu_us(pid: u32) -> io::Result<u64> {
    let mut running = 0;
    for task in fs::read_dir(format!("/proc/{pid}/task"))?.flatten() {
        // A thread may end meanwhile.
        let Ok(text) = fs::read_to_string(task.path().join("schedstat")) else { continue };
        running += text.split_whitespace().next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok((running / 1000).max(ticks_us(pid)?.saturating_sub(TICK_US)))
}

/// Microseconds of a tick of `/proc/PID/stat`: Linux has 100 a second there on every machine.
const TICK_US: u64 = 10_000;

fn ticks_us(pid: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in brackets may hold anything, also spaces and brackets.
    let rest = text.rsplit_once(')').map_or("", |split| split.1);
    let field = |at: usize| rest.split_whitespace().nth(at).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    Ok((field(11) + field(12)) * TICK_US)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::{Duration, Instant};

    #[test]
    fn work_and_descriptors_of_this_process_show() {
        let pid = std::process::id();
        let before = usage(pid).unwrap_or_default();
        let open: Vec<_> = (0..20).map(|_| fs::File::open("/proc/self/stat")).collect();
        let begun = Instant::now();
        let (mut x, mut after) = (1u64, before);
        // Until the count shows it, however busy the machine is. The count falls when the thread of another test ends: it
        // is the look that ended this that is judged, not one after it.
        while after.cpu_us < before.cpu_us + 30_000 && begun.elapsed() < Duration::from_secs(20) {
            x = (0..10_000).fold(x, |x, n| std::hint::black_box(x.wrapping_mul(n)));
            after = usage(pid).unwrap_or_default();
        }
        assert!(after.cpu_us >= before.cpu_us + 30_000, "{before:?} {after:?}");
        assert!(after.fds >= 20 && after.rss_kib > 1000 && open.len() == 20, "{after:?}");
        assert!(usage(0).is_err());
    }
}
