//! Settings by generation: a transaction goes by the class that it was taken under, to its last attempt, however often
//! settings have changed since. Classes have places; one that is no longer named keeps its place until nothing is open
//! under it.

use lapisrudder_decisions::{Class, Settings};

/// The classes of all generations that are in use.
#[derive(Debug)]
pub(crate) struct Generations {
    places: Vec<Class>,
}

impl Generations {
    /// The first generation: each class has the place that the settings give it.
    pub(crate) fn new(settings: &mut Settings) -> Generations {
        stamp(settings);
        Generations { places: settings.classes.clone() }
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Takes other settings on, and gives where each of their classes has its place. `open` tells the places under
    /// which something is open.
    pub(crate) fn next(&mut self, settings: &mut Settings, open: impl Fn(usize) -> bool) -> Vec<usize> {
        stamp(settings);
        let mut places: Vec<Option<usize>> = Vec::with_capacity(settings.classes.len());
        // One that is as before keeps its place, and what was learnt of it.
        for class in &settings.classes {
            let same = |(place, old): (usize, &Class)| {
                (old == class && !places.contains(&Some(place))).then_some(place)
            };
            let place = self.places.iter().enumerate().find_map(same);
            places.push(place);
        }
        for (i, class) in settings.classes.iter().enumerate() {
            if places.get(i).is_some_and(Option::is_none) {
                let free = (0..self.places.len()).find(|p| !open(*p) && !places.contains(&Some(*p)));
                let place = free.unwrap_or(self.places.len());
                match self.places.get_mut(place) {
                    Some(old) => *old = class.clone(),
                    None => self.places.push(class.clone()),
                }
                places[i] = Some(place);
            }
        }
        settings.classes = self.places.clone();
        places.into_iter().flatten().collect()
    }
}

/// Writes the settings' attempts into their classes: later settings may say others.
fn stamp(settings: &mut Settings) {
    let most = settings.max_attempts;
    settings.classes.iter_mut().for_each(|c| _ = c.max_attempts.get_or_insert(most));
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings(max_attempts: u32, aims: &[i64]) -> Settings {
        let classes = aims.iter().map(|aim| Class { latency_target: *aim, ..Class::default() }).collect();
        Settings { classes, max_attempts, ..Settings::default() }
    }

    #[test]
    fn what_is_open_keeps_its_class_and_what_is_free_is_used_again() {
        let mut first = settings(3, &[10, 20]);
        let mut generations = Generations::new(&mut first);
        let all = |_| true;
        // One is added; then attempts change, so that all are new; then one is dropped.
        let mut added = settings(3, &[10, 20, 20]);
        assert_eq!(generations.next(&mut added, all), [0, 1, 2]);
        let mut fewer = settings(2, &[10, 20]);
        assert_eq!(generations.next(&mut fewer, |p| p == 0 || p == 2), [1, 3]);
        assert_eq!(
            (fewer.attempts(0), fewer.attempts(1), fewer.attempts(2), fewer.attempts(3)),
            (3, 2, 3, 2)
        );
        let mut dropped = settings(2, &[20]);
        assert_eq!(generations.next(&mut dropped, |_| false), [3]);
        let mut again = settings(5, &[7]);
        assert_eq!(generations.next(&mut again, |p| p == 3), [0], "the first free place");
        assert_eq!(again.classes[0].latency_target, 7);
        assert_eq!(generations.len(), 4);
    }
}
