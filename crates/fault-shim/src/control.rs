//! [`Control`], the side of the test: it writes rules to the table file and reads counts. The preloaded
//! library maps the file into memory, so that a written rule takes effect at once.

use crate::table::{self, Call, Descriptor, rule};
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A rule by which calls fail.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// The call that the rule fails.
    pub call: Call,
    /// The error number, [`table::SHORT`] or [`table::ONE_BYTE`]; for [`Call::WallClock`] the seconds added
    /// to the clock (signed).
    pub error: u64,
    /// The probability that a matching call starts a burst of failures, from 0 to 1.
    pub rate: f64,
    /// How many matching calls in a row fail in a burst.
    pub burst: u64,
    /// How many matching calls succeed before the rule applies.
    pub skip: u64,
    /// Maximum number of calls that the rule fails; 0 is no limit.
    pub max_failures: u64,
    /// The kinds of descriptor that the rule matches, as bits of [`Descriptor`]; 0 matches all.
    pub kinds: u64,
    /// If set, the rule is active only at the beginning of each period of the monotonic clock: the length of
    /// the period and of the active part, in milliseconds.
    pub window_ms: Option<(u64, u64)>,
}

impl Rule {
    /// Fails each call with this error.
    pub fn always(call: Call, error: i32) -> Rule {
        let error = u64::from(error.unsigned_abs());
        Rule { call, error, rate: 1.0, burst: 1, skip: 0, max_failures: 0, kinds: 0, window_ms: None }
    }

    /// Fails calls with this error, with the probability `rate` from 0 to 1.
    pub fn with_rate(call: Call, error: i32, rate: f64) -> Rule {
        Rule { rate, ..Rule::always(call, error) }
    }

    /// Makes calls transfer only a random part of their bytes, with the probability `rate` from 0 to 1.
    pub fn short(call: Call, rate: f64) -> Rule {
        Rule { error: table::SHORT, rate, ..Rule::always(call, 0) }
    }

    /// Restricts the rule to these kinds of descriptor.
    pub fn on(self, kinds: &[Descriptor]) -> Rule {
        Rule { kinds: kinds.iter().map(|k| *k as u64).sum(), ..self }
    }
}

/// A table file: the rules, and the counts of the processes that map it.
#[derive(Debug)]
pub struct Control {
    file: File,
    path: PathBuf,
    rules: usize,
}

impl Control {
    /// Creates a table file without rules.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn create(path: &Path, seed: u64) -> io::Result<Control> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len((table::WORDS * 8) as u64)?;
        let control = Control { file, path: path.into(), rules: 0 };
        control.set(0, table::MAGIC)?;
        control.set(table::SEED, seed)?;
        Ok(control)
    }

    /// Opens an existing table file, to read its counts: no rules can be added.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn open(path: &Path) -> io::Result<Control> {
        let file = File::options().read(true).write(true).open(path)?;
        Ok(Control { file, path: path.into(), rules: table::MAX_RULES })
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets one of the words before the counts, such as [`table::DISCOVERY_PORT`].
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn set(&self, word: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (word * 8) as u64)
    }

    fn get(&self, word: usize) -> io::Result<u64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, (word * 8) as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    /// Adds a rule, which is active from now on.
    ///
    /// # Errors
    /// The file cannot be written, or there are too many rules.
    pub fn add(&mut self, added: Rule) -> io::Result<()> {
        if self.rules == table::MAX_RULES {
            return Err(io::Error::other("too many rules"));
        }
        let start = table::RULES + self.rules * table::RULE_WORDS;
        self.rules += 1;
        let (period, active) = added.window_ms.unwrap_or_default();
        for (word, value) in [
            (rule::CALL, added.call as u64),
            (rule::ERROR, added.error),
            (rule::PER_MILLION, (added.rate * 1e6) as u64),
            (rule::BURST, added.burst),
            (rule::SKIP, added.skip),
            (rule::MAX_FAILURES, added.max_failures),
            (rule::DESCRIPTORS, added.kinds),
            (rule::MATCHED, 0),
            (rule::FAILED, 0),
            (rule::BURST_LEFT, 0),
            (rule::PERIOD_MS, period),
            (rule::ACTIVE_MS, active),
            (rule::ENABLED, 1),
        ] {
            self.set(start + word, value)?;
        }
        Ok(())
    }

    /// Deactivates all rules. The counts stay.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn clear(&mut self) -> io::Result<()> {
        for number in 0..self.rules {
            self.set(table::RULES + number * table::RULE_WORDS + rule::ENABLED, 0)?;
        }
        self.rules = 0;
        Ok(())
    }

    /// Returns how often a call was intercepted.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn seen(&self, call: Call) -> io::Result<u64> {
        self.get(table::SEEN + call as usize)
    }

    /// Returns how often a call was made to fail or shortened.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn delivered(&self, call: Call) -> io::Result<u64> {
        self.get(table::DELIVERED + call as usize)
    }
}
