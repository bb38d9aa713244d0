//! The error for invalid settings.

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {what}")]
pub struct ConfigError {
    /// Name of the setting.
    pub field: &'static str,
    /// What is wrong with it.
    pub what: &'static str,
}

impl ConfigError {
    pub(crate) fn new(field: &'static str, what: &'static str) -> Self {
        Self { field, what }
    }
}
