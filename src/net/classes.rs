//! The classes that clients may name, and where the engine has them.

use lapisrudder::Micros;
use lapisrudder_config::{Options, RequestClass};
use std::fmt;

/// A class that the settings have dropped is still known for this long: clients are told of other settings up to 1.2 s
/// after the node is, and name the old class until then.
const KNOWN_ON: Micros = 2_000_000;

/// What the front needs to know of a class.
pub struct Class {
    name: String,
    /// Where the engine has it.
    pub place: usize,
    /// What a request is worth.
    pub worth: f64,
    /// A request may be given up once taken.
    pub recallable: bool,
    /// Nobody may name it from then on.
    until: Option<Micros>,
}

/// All of them.
pub struct Classes(Vec<Class>);

impl Classes {
    /// Those of the first settings, in their places.
    pub fn new(options: &Options) -> Classes {
        let all = options.request_classes.iter().enumerate();
        Classes(all.map(|(place, class)| Class::of(class, place)).collect())
    }

    /// Those of other settings, and where the engine has each.
    pub fn next(&mut self, options: &Options, places: &[usize], now: Micros) {
        let mut old = std::mem::take(&mut self.0);
        let named = |name: &str| options.request_classes.iter().any(|class| class.name == name);
        old.retain(|class| !named(&class.name) && class.until.is_none_or(|until| now < until));
        old.iter_mut().for_each(|class| _ = class.until.get_or_insert(now + KNOWN_ON));
        let new = options.request_classes.iter().zip(places).map(|(class, place)| Class::of(class, *place));
        self.0 = new.chain(old).collect();
    }

    /// The one of that name.
    pub fn find(&self, name: &[u8], now: Micros) -> Option<&Class> {
        self.0.iter().find(|c| c.name.as_bytes() == name && c.until.is_none_or(|until| now < until))
    }
}

impl Class {
    fn of(class: &RequestClass, place: usize) -> Class {
        let (worth, recallable) = (class.worth, class.may_repeat());
        Class { name: class.name.clone(), place, worth, recallable, until: None }
    }
}

impl fmt::Display for Classes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = self.0.iter().filter(|c| c.until.is_none()).map(|c| c.name.as_str());
        f.write_str(&named.collect::<Vec<_>>().join(" "))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn options(names: &[&str]) -> Options {
        let class = |name: &&str| RequestClass { name: (*name).into(), ..RequestClass::default() };
        Options { request_classes: names.iter().map(class).collect(), ..Options::default() }
    }

    #[test]
    fn a_dropped_class_is_known_for_a_while_and_one_that_is_back_is_another() {
        let mut classes = Classes::new(&options(&["a", "b"]));
        let place = |classes: &Classes, name: &str, now| classes.find(name.as_bytes(), now).map(|c| c.place);
        classes.next(&options(&["b", "c"]), &[1, 2], 100);
        assert_eq!(place(&classes, "a", 100 + KNOWN_ON - 1), Some(0));
        assert_eq!(place(&classes, "a", 100 + KNOWN_ON), None);
        assert_eq!((place(&classes, "b", 100), place(&classes, "c", 100)), (Some(1), Some(2)));
        classes.next(&options(&["a"]), &[3], 200);
        assert_eq!((place(&classes, "a", 9 * KNOWN_ON), place(&classes, "c", 300)), (Some(3), Some(2)));
        assert_eq!(classes.to_string(), "a");
    }
}
