//! The keys that a new configuration must not lose. A file in which a key is missing is broken, also if the
//! key has a default here: that would take the place of a value which the platform has given.
//!
//! Only keys that the platform's pages document as always present count. Others may be absent, or are not
//! known to this build, and may come and go.

use serde_json::Value;
use std::collections::BTreeSet;

/// Keys outside of arrays, with the keys of the objects that they lead to.
const KEYS: &[&str] = &[
    "name",
    "listen",
    "discovery",
    "seed",
    "limits.cores",
    "limits.memory_mb",
    "limits.sockets",
    "settings.az",
    "settings.zones",
    "settings.host-types",
    "settings.siblings",
    "settings.discovery",
    "settings.request-classes",
    "settings.customers",
    "settings.over-share-worth",
    "settings.service-type",
    "settings.worth-by",
    "settings.weights",
    "settings.resolution-s",
    "settings.me",
    "settings.layer",
    "settings.tiers",
    "settings.clients.marks-retry",
    "settings.family-info.mode",
    "settings.family-info.notes",
    "settings.family-info.origin-kind",
    "settings.family-info.origin-fall-multiple",
    "settings.family-info.origin-fall-s",
    "settings.family-info.report-x0",
    "settings.family-info.report-x1",
    "settings.objective-mix.whole",
    "settings.objective-mix.worst-class",
    "settings.objective-mix.worst-tenant",
    "settings.objective-mix.worst-window",
    "settings.bounds.attempts-cap",
    "settings.bounds.cancel",
    "settings.bounds.conn-idle-s",
    "settings.bounds.connect-timeout-s",
    "settings.bounds.cpu-us-per-request",
    "settings.bounds.cpu-us-per-s",
    "settings.bounds.max-retry-after-s",
    "settings.bounds.most-held",
    "settings.bounds.multiplex",
    "settings.bounds.peers",
    "settings.bounds.probes",
    "settings.bounds.retry-after",
    "settings.bounds.second-copies",
    "settings.report.how",
    "settings.report.names",
    "settings.rules.answer-slack-s",
    "settings.rules.ask-within-s",
    "settings.rules.cold-s",
    "settings.rules.drain-grace-s",
    "settings.rules.fall-s",
    "settings.rules.start-capacity",
    "settings.rules.tip-multiple",
    "settings.tariffs.connection",
    "settings.tariffs.cross-zone",
    "settings.tariffs.discovery",
    "settings.tariffs.handshake",
    "settings.tariffs.late-fail",
    "settings.tariffs.moves",
    "settings.tariffs.origin",
    "settings.tariffs.peer",
    "settings.tariffs.probe",
    "settings.tariffs.waste",
];

/// An array of objects, and the keys of each.
struct Array {
    path: &'static str,
    keys: &'static [&'static str],
}

const ARRAYS: &[Array] = &[
    Array {
        path: "settings.request-classes",
        keys: &[
            "name",
            "effect",
            "group",
            "give-up-s",
            "slo-s",
            "late-worth",
            "streamed",
            "window-s",
            "worth",
        ],
    },
    Array { path: "settings.customers", keys: &["name", "quota-per-s", "fraction"] },
];

/// Which of these keys a file has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PresentKeys {
    keys: BTreeSet<&'static str>,
    /// The elements of each of [`ARRAYS`].
    elements: Vec<Vec<Element>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Element {
    name: Option<String>,
    keys: BTreeSet<&'static str>,
}

impl PresentKeys {
    /// The keys of a file with this text.
    pub(crate) fn of(text: &[u8]) -> PresentKeys {
        let document: Value = serde_json::from_slice(text).unwrap_or_default();
        PresentKeys {
            keys: KEYS.iter().copied().filter(|key| find(&document, key).is_some()).collect(),
            elements: ARRAYS.iter().map(|array| elements(&document, array)).collect(),
        }
    }

    /// The keys that `earlier` has and these lack, each as a dotted path in which `[]` stands for the elements
    /// of an array.
    pub(crate) fn lost_since(&self, earlier: &PresentKeys) -> BTreeSet<String> {
        let mut lost: BTreeSet<String> =
            earlier.keys.difference(&self.keys).map(|key| (*key).to_string()).collect();
        for (array, (before, now)) in ARRAYS.iter().zip(earlier.elements.iter().zip(&self.elements)) {
            let expected = now.iter().flat_map(|element| element.keys_lost_since(before));
            lost.extend(expected.map(|key| format!("{}[].{key}", array.path)));
        }
        lost
    }
}

impl Element {
    /// The keys that the element of this name had, or that all elements had, and that this one lacks.
    fn keys_lost_since(&self, before: &[Element]) -> BTreeSet<&'static str> {
        let same_name = before.iter().filter(|element| element.name == self.name);
        let by_name = same_name.flat_map(|element| element.keys.iter().copied());
        let (first, others) = match before.split_first() {
            Some((first, others)) => (first.keys.iter().copied(), others),
            None => return BTreeSet::new(),
        };
        let in_all = first.filter(|key| others.iter().all(|element| element.keys.contains(key)));
        by_name.chain(in_all).filter(|key| !self.keys.contains(key)).collect()
    }
}

/// The value at a dotted path.
fn find<'v>(document: &'v Value, path: &str) -> Option<&'v Value> {
    path.split('.').try_fold(document, |value, key| value.get(key))
}

fn elements(document: &Value, array: &Array) -> Vec<Element> {
    let values = find(document, array.path).and_then(Value::as_array);
    let element = |value: &Value| Element {
        name: value.get("name").and_then(Value::as_str).map(String::from),
        keys: array.keys.iter().copied().filter(|key| value.get(key).is_some()).collect(),
    };
    values.into_iter().flatten().map(element).collect()
}
