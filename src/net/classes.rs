//! The request classes that clients may name, and the index of each in the engine.

use lapisrudder::Micros;
use lapisrudder_config::{Options, RequestClass};
use std::fmt;

/// A class that the settings no longer contain stays known for this long: clients receive the new settings up
/// to 1.2 s after the node, and name the old class until then.
const DROPPED_CLASS_GRACE: Micros = 2_000_000;

/// The properties of a class that the clients' side needs.
pub struct Class {
    name: String,
    /// Its index in the engine.
    pub index: usize,
    /// The value of a request.
    pub worth: f64,
    /// A request may be recalled after it was taken.
    pub recallable: bool,
    /// For a class that the settings no longer contain: it is unknown from then on.
    expires_at: Option<Micros>,
}

/// All known classes.
pub struct Classes(Vec<Class>);

impl Classes {
    /// The classes of the first settings, with their positions as indices.
    pub fn new(options: &Options) -> Classes {
        let all = options.request_classes.iter().enumerate();
        Classes(all.map(|(index, class)| Class::of(class, index)).collect())
    }

    /// The engine's indices of the classes that stay known although other settings do not contain them.
    pub fn retained(&self, options: &Options, now: Micros) -> Vec<usize> {
        let stays = |class: &&Class| class.is_known(now) && !is_named(options, &class.name);
        self.0.iter().filter(stays).map(|class| class.index).collect()
    }

    /// Applies other settings; `indices` has the engine's index of each class.
    pub fn update(&mut self, options: &Options, indices: &[usize], now: Micros) {
        let mut old = std::mem::take(&mut self.0);
        old.retain(|class| class.is_known(now) && !is_named(options, &class.name));
        old.iter_mut().for_each(|class| _ = class.expires_at.get_or_insert(now + DROPPED_CLASS_GRACE));
        let new = options.request_classes.iter().zip(indices).map(|(class, index)| Class::of(class, *index));
        self.0 = new.chain(old).collect();
    }

    /// The class of that name.
    pub fn find(&self, name: &[u8], now: Micros) -> Option<&Class> {
        self.0.iter().find(|class| class.name.as_bytes() == name && class.is_known(now))
    }
}

/// Whether the settings contain a class of this name.
fn is_named(options: &Options, name: &str) -> bool {
    options.request_classes.iter().any(|class| class.name == name)
}

impl Class {
    /// Whether clients may name it.
    fn is_known(&self, now: Micros) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }

    fn of(class: &RequestClass, index: usize) -> Class {
        let (worth, recallable) = (class.worth, class.may_repeat());
        Class { name: class.name.clone(), index, worth, recallable, expires_at: None }
    }
}

impl fmt::Display for Classes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = self.0.iter().filter(|c| c.expires_at.is_none()).map(|c| c.name.as_str());
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
    fn a_removed_class_stays_known_for_a_while_and_is_replaced_when_added_again() {
        let mut classes = Classes::new(&options(&["a", "b"]));
        let index = |classes: &Classes, name: &str, now| classes.find(name.as_bytes(), now).map(|c| c.index);
        assert_eq!(classes.retained(&options(&["b", "c"]), 100), [0]);
        classes.update(&options(&["b", "c"]), &[1, 2], 100);
        // A further change finds the class dropped before it, as long as it is known.
        assert_eq!(classes.retained(&options(&["b"]), 100 + DROPPED_CLASS_GRACE - 1), [2, 0]);
        assert_eq!(classes.retained(&options(&["b"]), 100 + DROPPED_CLASS_GRACE), [2]);
        assert_eq!(index(&classes, "a", 100 + DROPPED_CLASS_GRACE - 1), Some(0));
        assert_eq!(index(&classes, "a", 100 + DROPPED_CLASS_GRACE), None);
        assert_eq!((index(&classes, "b", 100), index(&classes, "c", 100)), (Some(1), Some(2)));
        classes.update(&options(&["a"]), &[3], 200);
        assert_eq!(
            (index(&classes, "a", 9 * DROPPED_CLASS_GRACE), index(&classes, "c", 300)),
            (Some(3), Some(2))
        );
        assert_eq!(classes.to_string(), "a");
    }
}
