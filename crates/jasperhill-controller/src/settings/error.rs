//! The error of settings that are not accepted.

/// A field whose value is missing or not allowed.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// The field, by its path in the file.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

/// The error of a field.
pub(super) fn invalid<T>(
    field: impl Into<String>,
    reason: impl Into<String>,
) -> Result<T, SettingsError> {
    Err(SettingsError {
        field: field.into(),
        reason: reason.into(),
    })
}
