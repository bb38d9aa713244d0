//! The line on a terminal while a run goes on.

use crate::load::Seen;
use std::io::{IsTerminal, Write, stderr};
use std::time::{Duration, Instant};

/// Writes one line over itself, twice a second; where standard error is no terminal, nothing but whole lines.
pub struct Progress {
    live: bool,
    last: Option<Instant>,
    open: bool,
}

impl Progress {
    /// On standard error, if `wanted` and if that is a terminal.
    pub fn on_terminal(wanted: bool) -> Self {
        Self { live: wanted && stderr().is_terminal(), last: None, open: false }
    }

    /// Shows where a run stands, unless that was done a moment ago.
    pub fn show(&mut self, what: &str, at_s: f64, of_s: f64, seen: &Seen, cpu_share: Option<f64>) {
        let fresh = self.last.is_some_and(|last| last.elapsed() < Duration::from_millis(500));
        if !self.live || fresh {
            return;
        }
        self.last = Some(Instant::now());
        self.open = true;
        // Whoever reads the line may have gone.
        let _ = write!(stderr(), "\r\x1b[K{}", line(what, at_s, of_s, seen, cpu_share));
    }

    /// A line that stays.
    pub fn say(&mut self, text: &str) {
        self.clear();
        let _ = writeln!(stderr(), "{text}");
    }

    /// Takes the running line away.
    pub fn clear(&mut self) {
        if std::mem::take(&mut self.open) {
            let _ = write!(stderr(), "\r\x1b[K");
        }
        self.last = None;
    }
}

fn line(what: &str, at_s: f64, of_s: f64, seen: &Seen, cpu_share: Option<f64>) -> String {
    let ms = |ms: Option<f64>| ms.map_or("-".into(), |ms| format!("{ms:.1}"));
    let goodput = seen.goodput.map_or("-".into(), |g| format!("{:.1}%", g * 100.0));
    let cpu = cpu_share.map_or(String::new(), |share| format!("  node CPU {:.0}%", share * 100.0));
    format!(
        "{what}  {at_s:.0}/{of_s:.0} s  {:.0} req/s  goodput {goodput}  p50 {} ms  p99 {} ms  {} open  {} conns{cpu}",
        seen.per_s,
        ms(seen.p50_ms),
        ms(seen.p99_ms),
        seen.in_flight,
        seen.connections,
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_line_tells_what_is_known_and_a_dash_for_what_is_not() {
        let seen = Seen {
            per_s: 300.4,
            goodput: Some(0.987),
            p99_ms: Some(12.34),
            connections: 7,
            ..Seen::default()
        };
        let text = line("calm", 3.2, 20.0, &seen, Some(0.25));
        assert_eq!(
            text,
            "calm  3/20 s  300 req/s  goodput 98.7%  p50 - ms  p99 12.3 ms  0 open  7 conns  node CPU 25%"
        );
    }
}
