//! What clients ask for, as written down before a run.

use thiserror::Error;

use crate::Micros;
use crate::keys::Keys;
use crate::mix::Spread;
use crate::profile::Profile;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated freely.
    #[default]
    Free,
    /// Carries an idempotency key: repeats are dropped within the class's window.
    Guarded,
    /// Must not run twice.
    SingleShot,
}

/// One class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// The name in `c=`.
    pub name: String,
    /// Written with `ms`, else read with `mg`.
    pub write: bool,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// Bytes of the value of a write.
    pub size: Spread,
    /// How long a client waits in total, over all of its tries.
    pub give_up: Micros,
    /// Full worth is earned inside this time from when the first try was due.
    pub aim: Micros,
    /// What a request is worth.
    pub worth: f64,
    /// Share of the worth, 0 to 1, for an answer after the aim.
    pub late_worth: f64,
    /// Repeats of a guarded request are dropped for this long, by all servers or only by some.
    pub window: Micros,
    /// All servers drop repeats (`group` is `all`): only then does a client repeat a guarded request that may have
    /// run.
    pub dropped_by_all: bool,
}

/// Sources that speak for a while and are silent for a while, each on its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OnOff {
    /// How long a source speaks.
    pub on: Spread,
    /// How long it is silent.
    pub off: Spread,
}

/// Clients alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Population {
    /// For reports.
    pub name: String,
    /// The zone they are in.
    pub zone: u16,
    /// How many clients, each with connections of its own.
    pub sources: u32,
    /// How many clients share an address.
    pub behind: u32,
    /// Zipf's exponent of requests over clients; 0 is even. Not used with `on_off`.
    pub skew: f64,
    /// Requests a second of all its clients together.
    pub rate: Profile,
    /// Clients speak and are silent in turn; the rate above stays the mean.
    pub on_off: Option<OnOff>,
    /// The keys they ask for.
    pub keys: Keys,
    /// Classes by their place in the load, with shares in proportion.
    pub mix: Vec<(usize, f64)>,
}

impl Default for Population {
    fn default() -> Self {
        Self {
            name: "clients".into(),
            zone: 0,
            sources: 1,
            behind: 1,
            skew: 0.0,
            rate: Profile::constant(0.0),
            on_off: None,
            keys: Keys::default(),
            mix: vec![(0, 1.0)],
        }
    }
}

impl Population {
    /// The address of a client, as a number from 0 within this population.
    pub fn address(&self, source: u32) -> u32 {
        source / self.behind.max(1)
    }
}

/// All that clients will ask for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// No request comes at or after this time.
    pub span: Micros,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Populations of clients.
    pub populations: Vec<Population>,
}

/// What is wrong with a load.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum LoadError {
    /// A field of a class cannot be used.
    #[error("class {class:?}: {field} {fault}")]
    Class {
        /// The class's name.
        class: String,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        fault: &'static str,
    },
    /// A field of a population cannot be used.
    #[error("population {population:?}: {field} {fault}")]
    Population {
        /// The population's name.
        population: String,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        fault: &'static str,
    },
    /// More classes or populations than fit the plan.
    #[error("{0} {1}: at most 65,535 fit a plan")]
    TooMany(usize, &'static str),
}

fn share(x: f64) -> bool {
    (0.0..=1.0).contains(&x)
}

fn size(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

impl Class {
    fn fault(&self) -> Option<(&'static str, &'static str)> {
        if self.give_up <= 0 {
            return Some(("give_up", "must be above 0"));
        }
        if self.aim <= 0 || self.aim > self.give_up {
            return Some(("aim", "must be above 0 and at most give_up"));
        }
        if self.effect == Effect::Guarded && self.window <= 0 {
            return Some(("window", "must be above 0 for a guarded class"));
        }
        if !size(self.worth) {
            return Some(("worth", "must be a number of 0 or more"));
        }
        if !share(self.late_worth) {
            return Some(("late_worth", "must be from 0 to 1"));
        }
        self.size.fault().map(|fault| ("size", fault))
    }
}

impl Population {
    fn fault(&self, classes: usize) -> Option<(&'static str, &'static str)> {
        if self.sources == 0 {
            return Some(("sources", "must be above 0"));
        }
        if self.behind == 0 {
            return Some(("behind", "must be above 0"));
        }
        if !size(self.skew) {
            return Some(("skew", "must be a number of 0 or more"));
        }
        if self.mix.iter().any(|&(class, _)| class >= classes) {
            return Some(("mix", "names a class that there is not"));
        }
        if self.mix.iter().any(|&(_, share)| !size(share)) || self.mix.iter().all(|&(_, share)| share == 0.0)
        {
            return Some(("mix", "needs shares of 0 or more, one of them above 0"));
        }
        if let Some(on_off) = self.on_off {
            if on_off.on.fault().is_some() || on_off.on.mean() < 1.0 {
                return Some(("on_off.on", "must last a microsecond or more"));
            }
            if let Some(fault) = on_off.off.fault() {
                return Some(("on_off.off", fault));
            }
        }
        let keys = &self.keys;
        if keys.population == 0 {
            return Some(("keys.population", "must be above 0"));
        }
        if !size(keys.exponent) {
            return Some(("keys.exponent", "must be a number of 0 or more"));
        }
        if !size(keys.offset) {
            return Some(("keys.offset", "must be a number of 0 or more"));
        }
        if matches!(keys.drift, crate::keys::Drift::Renew { every } | crate::keys::Drift::Climb { every } if every <= 0)
        {
            return Some(("keys.drift", "needs a time above 0"));
        }
        if !share(keys.fresh) || keys.hot.iter().any(|hot| !share(hot.share)) {
            return Some(("keys", "shares must be from 0 to 1"));
        }
        None
    }
}

impl Load {
    /// Whether a plan can be drawn from it.
    ///
    /// # Errors
    /// The first field that cannot be used, with the name of its class or population.
    pub fn check(&self) -> Result<(), LoadError> {
        for (len, what) in [(self.classes.len(), "classes"), (self.populations.len(), "populations")] {
            if len > usize::from(u16::MAX) {
                return Err(LoadError::TooMany(len, what));
            }
        }
        for class in &self.classes {
            if let Some((field, fault)) = class.fault() {
                return Err(LoadError::Class { class: class.name.clone(), field, fault });
            }
        }
        for population in &self.populations {
            if let Some((field, fault)) = population.fault(self.classes.len()) {
                return Err(LoadError::Population { population: population.name.clone(), field, fault });
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_fault_names_its_place() {
        let class = Class { name: "read".into(), give_up: 10, aim: 5, ..Class::default() };
        let good = Load { span: 1, classes: vec![class], populations: vec![Population::default()] };
        assert_eq!(good.check(), Ok(()));
        type Case = (fn(&mut Load), &'static str);
        let cases: [Case; 9] = [
            (|l| l.classes[0].give_up = 0, "class \"read\": give_up must be above 0"),
            (|l| l.classes[0].aim = 11, "class \"read\": aim must be above 0 and at most give_up"),
            (
                |l| l.classes[0].effect = Effect::Guarded,
                "class \"read\": window must be above 0 for a guarded class",
            ),
            (|l| l.classes[0].worth = f64::NAN, "class \"read\": worth must be a number of 0 or more"),
            (
                |l| l.classes[0].size = Spread::Even(2, 1),
                "class \"read\": size must go from a low to a high bound",
            ),
            (|l| l.populations[0].sources = 0, "population \"clients\": sources must be above 0"),
            (
                |l| l.populations[0].mix = vec![(1, 1.0)],
                "population \"clients\": mix names a class that there is not",
            ),
            (
                |l| l.populations[0].keys.fresh = 1.5,
                "population \"clients\": keys shares must be from 0 to 1",
            ),
            (
                |l| l.populations[0].keys.drift = crate::keys::Drift::Climb { every: 0 },
                "population \"clients\": keys.drift needs a time above 0",
            ),
        ];
        for (spoil, line) in cases {
            let mut load = good.clone();
            spoil(&mut load);
            assert_eq!(load.check().map_err(|error| error.to_string()), Err(line.to_string()));
        }
    }
}
