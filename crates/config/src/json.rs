//! The line of a key in the platform's JSON, and the reason why a file does not decode. Files are decoded by
//! simd-json, which reports neither; the slower parsing here is for problems only.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// The line, from 1, of the value at a dotted path, in which a number is an index into an array; `None` if
/// there is no such value.
pub(crate) fn line_of(text: &[u8], path: &str) -> Option<usize> {
    let text = std::str::from_utf8(text).ok()?;
    let mut at = text;
    for key in path.split('.') {
        at = match key.parse::<usize>() {
            Ok(index) => serde_json::from_str::<Vec<&RawValue>>(at).ok()?.get(index)?.get(),
            Err(_) => object_fields(at)?.get(key)?.get(),
        };
    }
    // `at` is a slice of `text`, so the difference of their addresses is its offset.
    let offset = at.as_ptr() as usize - text.as_ptr() as usize;
    Some(line_at(text, offset))
}

/// The fields of a JSON object, each value as its source text.
fn object_fields(text: &str) -> Option<BTreeMap<Cow<'_, str>, &RawValue>> {
    #[derive(serde::Deserialize)]
    #[serde(transparent)]
    struct Fields<'t>(#[serde(borrow)] BTreeMap<Cow<'t, str>, &'t RawValue>);
    serde_json::from_str::<Fields>(text).ok().map(|fields| fields.0)
}

/// The line, from 1, at a byte offset.
pub(crate) fn line_at(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|b| *b == b'\n').count()
}

/// Why a text does not decode to a `T`: the line, the dotted key (empty for the whole text) and the message.
/// `None` if it does decode.
pub(crate) fn diagnose<T: DeserializeOwned>(text: &[u8]) -> Option<(usize, String, String)> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let failed = match serde_path_to_error::deserialize::<_, T>(&mut json) {
        Ok(_) => return json.end().err().map(|e| (e.line(), String::new(), message_without_position(&e))),
        Err(failed) => failed,
    };
    let key = match failed.inner().is_data() {
        true => Some(failed.path().to_string()).filter(|p| p != ".").unwrap_or_default(),
        false => String::new(),
    };
    let error = failed.inner();
    Some((error.line(), key, message_without_position(error)))
}

/// The message of an error without its position, which is reported separately.
fn message_without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split(" at line ").next().unwrap_or_default().to_string()
}
