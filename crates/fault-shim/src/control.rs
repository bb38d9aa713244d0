//! The test's side of the table: rules in, counts out. The file is mapped by the shim; writes to it are seen at once.

use crate::table::{self, Call, Descriptor, rule};
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A rule by which calls fail.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// The call that fails.
    pub call: Call,
    /// The error's number, [`table::SHORT`] or [`table::ONE_BYTE`]; for the wall clock, the seconds that are added (signed).
    pub error: u64,
    /// How often it strikes, of 1.
    pub rate: f64,
    /// How many matching calls in a row fail once it strikes.
    pub burst: u64,
    /// So many matching calls pass first.
    pub skip: u64,
    /// It strikes so many calls at the most; 0 is no limit.
    pub max_failures: u64,
    /// Kinds of descriptor, as bits of [`Descriptor`]; 0 is all.
    pub kinds: u64,
    /// It holds in the first part of each period of the machine's monotonic clock: period and part in milliseconds.
    pub window_ms: Option<(u64, u64)>,
}

impl Rule {
    /// Each call gives this error.
    pub fn always(call: Call, error: i32) -> Rule {
        let error = u64::from(error.unsigned_abs());
        Rule { call, error, rate: 1.0, burst: 1, skip: 0, max_failures: 0, kinds: 0, window_ms: None }
    }

    /// The same, of so many calls of 1.
    pub fn with_rate(call: Call, error: i32, rate: f64) -> Rule {
        Rule { rate, ..Rule::always(call, error) }
    }

    /// Calls that move bytes move a random part of them, of so many calls of 1.
    pub fn short(call: Call, rate: f64) -> Rule {
        Rule { error: table::SHORT, rate, ..Rule::always(call, 0) }
    }

    /// For these kinds of descriptor alone.
    pub fn on(self, kinds: &[Descriptor]) -> Rule {
        Rule { kinds: kinds.iter().map(|k| *k as u64).sum(), ..self }
    }
}

/// A table of rules, and what the processes that map it have counted.
#[derive(Debug)]
pub struct Control {
    file: File,
    path: PathBuf,
    rules: usize,
}

impl Control {
    /// A new table in a file.
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

    /// A table that is there.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn open(path: &Path) -> io::Result<Control> {
        let file = File::options().read(true).write(true).open(path)?;
        Ok(Control { file, path: path.into(), rules: table::MOST_RULES })
    }

    /// Where it is.
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

    /// Adds a rule, which holds from now on.
    ///
    /// # Errors
    /// The file cannot be written, or there are too many rules.
    pub fn add(&mut self, added: Rule) -> io::Result<()> {
        if self.rules == table::MOST_RULES {
            return Err(io::Error::other("too many rules"));
        }
        let at = table::RULES + self.rules * table::RULE_WORDS;
        self.rules += 1;
        let (period, lasts) = added.window_ms.unwrap_or_default();
        for (word, value) in [
            (rule::CALL, added.call as u64),
            (rule::ERROR, added.error),
            (rule::RATE, (added.rate * 1e6) as u64),
            (rule::BURST, added.burst),
            (rule::SKIP, added.skip),
            (rule::MOST, added.max_failures),
            (rule::KINDS, added.kinds),
            (rule::MATCHED, 0),
            (rule::STRUCK, 0),
            (rule::LEFT, 0),
            (rule::PERIOD, period),
            (rule::LASTS, lasts),
            (rule::ON, 1),
        ] {
            self.set(at + word, value)?;
        }
        Ok(())
    }

    /// Ends all rules. Counts stay.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn clear(&mut self) -> io::Result<()> {
        for number in 0..self.rules {
            self.set(table::RULES + number * table::RULE_WORDS + rule::ON, 0)?;
        }
        self.rules = 0;
        Ok(())
    }

    /// How often a call was reached.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn seen(&self, call: Call) -> io::Result<u64> {
        self.get(table::SEEN + call as usize)
    }

    /// How often a call was failed or cut short.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn delivered(&self, call: Call) -> io::Result<u64> {
        self.get(table::DELIVERED + call as usize)
    }
}
