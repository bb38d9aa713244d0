//! The load of a run: request classes and populations of clients, fixed before the run starts.

use thiserror::Error;

use crate::Micros;
use crate::keys::Keys;
use crate::mix::Spread;
use crate::profile::Profile;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May be executed any number of times.
    #[default]
    Free,
    /// Carries an idempotency key: servers deduplicate repeats within the class's window.
    Guarded,
    /// Must not be executed twice.
    SingleShot,
}

/// A class of requests with the same effect, deadline and worth.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// The class name that is sent in `c=`.
    pub name: String,
    /// True for a write (`ms`), false for a read (`mg`).
    pub write: bool,
    /// Whether a request may be executed more than once.
    pub effect: Effect,
    /// Distribution of the value's size in bytes, for a write.
    pub size: Spread,
    /// How long a client waits in total, over all tries of a request.
    pub give_up: Micros,
    /// A response within this time of the first try's due time earns the full worth.
    pub latency_target: Micros,
    /// Value of a request that is served in time, in the units of the goodput.
    pub worth: f64,
    /// Share of the worth, 0 to 1, that a response after the latency target earns.
    pub late_worth: f64,
    /// How long servers deduplicate repeats of a guarded request; `dropped_by_all` says whether all servers
    /// do.
    pub window: Micros,
    /// All servers deduplicate repeats (`group` is `all`). Only then does a client retry a guarded request
    /// that may have been executed.
    pub dropped_by_all: bool,
}

/// An on-off source: each client alternates between a period with requests and a period without,
/// independently of the other clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OnOff {
    /// Duration of an on period, in which the client sends requests.
    pub on: Spread,
    /// Duration of an off period, in which the client sends nothing.
    pub off: Spread,
}

/// A population of clients with the same request rate, keys and classes.
#[derive(Clone, Debug, PartialEq)]
pub struct Population {
    /// Name in reports and error messages.
    pub name: String,
    /// The zone that the clients are in.
    pub zone: u16,
    /// Number of clients. Each has its own connections.
    pub sources: u32,
    /// Number of clients that share one address.
    pub sources_per_address: u32,
    /// Zipf exponent of the requests' distribution over the clients; 0 is uniform. Not used with `on_off`.
    pub skew: f64,
    /// Requests per second of all clients of the population together.
    pub rate: Profile,
    /// Makes each client an on-off source. The mean rate stays `rate`.
    pub on_off: Option<OnOff>,
    /// The keys that the requests are for.
    pub keys: Keys,
    /// Classes by index in [`Load::classes`], each with its weight.
    pub mix: Vec<(usize, f64)>,
}

impl Default for Population {
    fn default() -> Self {
        Self {
            name: "clients".into(),
            zone: 0,
            sources: 1,
            sources_per_address: 1,
            skew: 0.0,
            rate: Profile::constant(0.0),
            on_off: None,
            keys: Keys::default(),
            mix: vec![(0, 1.0)],
        }
    }
}

impl Population {
    /// The index of a client's address within this population, from 0.
    pub fn address(&self, source: u32) -> u32 {
        source / self.sources_per_address.max(1)
    }
}

/// The load that all clients generate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Length of the plan: no request arrives at or after this time.
    pub span: Micros,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The populations of clients.
    pub populations: Vec<Population>,
}

/// Why a load is invalid.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum LoadError {
    /// A field of a class is invalid.
    #[error("class {class:?}: {field} {fault}")]
    Class {
        /// The class's name.
        class: String,
        /// The field.
        field: &'static str,
        /// Why the field is invalid.
        fault: &'static str,
    },
    /// A field of a population is invalid.
    #[error("population {population:?}: {field} {fault}")]
    Population {
        /// The population's name.
        population: String,
        /// The field.
        field: &'static str,
        /// Why the field is invalid.
        fault: &'static str,
    },
    /// More classes or populations than a plan's 16-bit indices can number.
    #[error("{0} {1}: a plan holds at most 65,535")]
    TooMany(usize, &'static str),
}

fn is_share(x: f64) -> bool {
    (0.0..=1.0).contains(&x)
}

fn is_non_negative(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

impl Class {
    /// The first invalid field and why it is invalid. Messages call `latency_target` by its outer name,
    /// `aim`.
    fn fault(&self) -> Option<(&'static str, &'static str)> {
        if self.give_up <= 0 {
            return Some(("give_up", "must be above 0"));
        }
        if self.latency_target <= 0 || self.latency_target > self.give_up {
            return Some(("aim", "must be above 0 and at most give_up"));
        }
        if self.effect == Effect::Guarded && self.window <= 0 {
            return Some(("window", "must be above 0 for a guarded class"));
        }
        if !is_non_negative(self.worth) {
            return Some(("worth", "must be a finite number of 0 or more"));
        }
        if !is_share(self.late_worth) {
            return Some(("late_worth", "must be from 0 to 1"));
        }
        self.size.fault().map(|fault| ("size", fault))
    }
}

impl Population {
    /// The first invalid field and why it is invalid. Messages call `sources_per_address` by its outer name,
    /// `behind`.
    fn fault(&self, classes: usize) -> Option<(&'static str, &'static str)> {
        if self.sources == 0 {
            return Some(("sources", "must be above 0"));
        }
        if self.sources_per_address == 0 {
            return Some(("behind", "must be above 0"));
        }
        if !is_non_negative(self.skew) {
            return Some(("skew", "must be a finite number of 0 or more"));
        }
        if self.mix.iter().any(|&(class, _)| class >= classes) {
            return Some(("mix", "has the index of a class that does not exist"));
        }
        if self.mix.iter().any(|&(_, share)| !is_non_negative(share))
            || self.mix.iter().all(|&(_, share)| share == 0.0)
        {
            return Some(("mix", "needs weights of 0 or more, at least one of them above 0"));
        }
        if let Some(on_off) = self.on_off {
            if on_off.on.fault().is_some() || on_off.on.mean() < 1.0 {
                return Some(("on_off.on", "must have a mean of 1 microsecond or more"));
            }
            if let Some(fault) = on_off.off.fault() {
                return Some(("on_off.off", fault));
            }
        }
        let keys = &self.keys;
        if keys.population == 0 {
            return Some(("keys.population", "must be above 0"));
        }
        if !is_non_negative(keys.exponent) {
            return Some(("keys.exponent", "must be a finite number of 0 or more"));
        }
        if !is_non_negative(keys.offset) {
            return Some(("keys.offset", "must be a finite number of 0 or more"));
        }
        if matches!(keys.drift, crate::keys::Drift::Renew { every } | crate::keys::Drift::Climb { every } if every <= 0)
        {
            return Some(("keys.drift", "needs a period above 0"));
        }
        if !is_share(keys.fresh) || keys.hot.iter().any(|hot| !is_share(hot.share)) {
            return Some(("keys", "shares must be from 0 to 1"));
        }
        None
    }
}

impl Load {
    /// Validates the load.
    ///
    /// # Errors
    /// The first invalid field, with the name of its class or population.
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
    fn load_error_names_class_or_population_and_field() {
        let class = Class { name: "read".into(), give_up: 10, latency_target: 5, ..Class::default() };
        let valid = Load { span: 1, classes: vec![class], populations: vec![Population::default()] };
        assert_eq!(valid.check(), Ok(()));
        type Case = (fn(&mut Load), &'static str);
        let cases: [Case; 9] = [
            (|l| l.classes[0].give_up = 0, "class \"read\": give_up must be above 0"),
            (|l| l.classes[0].latency_target = 11, "class \"read\": aim must be above 0 and at most give_up"),
            (
                |l| l.classes[0].effect = Effect::Guarded,
                "class \"read\": window must be above 0 for a guarded class",
            ),
            (|l| l.classes[0].worth = f64::NAN, "class \"read\": worth must be a finite number of 0 or more"),
            (
                |l| l.classes[0].size = Spread::Even(2, 1),
                "class \"read\": size needs bounds of 0 or more, the lower one first",
            ),
            (|l| l.populations[0].sources = 0, "population \"clients\": sources must be above 0"),
            (
                |l| l.populations[0].mix = vec![(1, 1.0)],
                "population \"clients\": mix has the index of a class that does not exist",
            ),
            (
                |l| l.populations[0].keys.fresh = 1.5,
                "population \"clients\": keys shares must be from 0 to 1",
            ),
            (
                |l| l.populations[0].keys.drift = crate::keys::Drift::Climb { every: 0 },
                "population \"clients\": keys.drift needs a period above 0",
            ),
        ];
        for (invalidate, message) in cases {
            let mut load = valid.clone();
            invalidate(&mut load);
            assert_eq!(load.check().map_err(|error| error.to_string()), Err(message.to_string()));
        }
    }
}
