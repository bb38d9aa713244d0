//! 64-bit numbers as 16 hex digits in JSON, where readers may hold numbers as floating point.

use serde::{Deserialize, Deserializer, Serializer, de::Error};

pub(super) fn serialize<S: Serializer>(n: &u64, s: S) -> Result<S::Ok, S::Error> {
    s.collect_str(&format_args!("{n:016x}"))
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    let text = std::borrow::Cow::<'de, str>::deserialize(d)?;
    u64::from_str_radix(&text, 16)
        .map_err(|e| D::Error::custom(format!("`{text}` is no hexadecimal number: {e}")))
}
