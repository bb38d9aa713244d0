//! The platform's JSON beyond its values: on which line a key stands, and what is wrong with a file that
//! cannot be read. Files are decoded by simd-json, which tells neither; this is for the few times when it matters.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

/// The line, from 1, of the value at a dotted path, in which a number is a place in a list; `None` where there is
/// none.
pub(crate) fn line_of(text: &[u8], path: &str) -> Option<usize> {
    let text = std::str::from_utf8(text).ok()?;
    let mut at = text;
    for key in path.split('.') {
        at = match key.parse::<usize>() {
            Ok(place) => serde_json::from_str::<Vec<&RawValue>>(at).ok()?.get(place)?.get(),
            Err(_) => level(at)?.get(key)?.get(),
        };
    }
    // What was found is a slice of the text.
    let offset = at.as_ptr() as usize - text.as_ptr() as usize;
    Some(line_at(text, offset))
}

fn level(text: &str) -> Option<BTreeMap<Cow<'_, str>, &RawValue>> {
    #[derive(serde::Deserialize)]
    #[serde(transparent)]
    struct Level<'t>(#[serde(borrow)] BTreeMap<Cow<'t, str>, &'t RawValue>);
    serde_json::from_str::<Level>(text).ok().map(|level| level.0)
}

/// Every dotted key of a text. Places in a list are told by `[]`, alike for all.
pub(crate) fn keys(text: &[u8]) -> BTreeSet<String> {
    fn walk(value: &serde_json::Value, at: &str, keys: &mut BTreeSet<String>) {
        match value {
            serde_json::Value::Object(fields) => fields.iter().for_each(|(name, value)| {
                let key = if at.is_empty() { name.clone() } else { format!("{at}.{name}") };
                walk(value, &key, keys);
                keys.insert(key);
            }),
            serde_json::Value::Array(values) => {
                values.iter().for_each(|value| walk(value, &format!("{at}[]"), keys));
            }
            _ => {}
        }
    }
    let mut keys = BTreeSet::new();
    walk(&serde_json::from_slice(text).unwrap_or_default(), "", &mut keys);
    keys
}

/// The line, from 1, on which an offset lies.
pub(crate) fn line_at(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|b| *b == b'\n').count()
}

/// Why a text does not give a `T`: the line, the dotted key (empty for the whole), and what is wrong. `None` where
/// it does.
pub(crate) fn diagnose<T: DeserializeOwned>(text: &[u8]) -> Option<(usize, String, String)> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let failed = match serde_path_to_error::deserialize::<_, T>(&mut json) {
        Ok(_) => return json.end().err().map(|e| (e.line(), String::new(), plain(&e))),
        Err(failed) => failed,
    };
    let key = match failed.inner().is_data() {
        true => Some(failed.path().to_string()).filter(|p| p != ".").unwrap_or_default(),
        false => String::new(),
    };
    let error = failed.inner();
    Some((error.line(), key, plain(error)))
}

/// The message without the position, which is told by itself.
fn plain(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split(" at line ").next().unwrap_or_default().to_string()
}
