//! What is wrong with a setting.

/// A setting that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {what}")]
pub struct ConfigError {
    /// Its name.
    pub field: &'static str,
    /// What is wrong with it.
    pub what: &'static str,
}

impl ConfigError {
    pub(crate) fn new(field: &'static str, what: &'static str) -> Self {
        Self { field, what }
    }
}
