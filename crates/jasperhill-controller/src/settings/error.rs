//! The error type of invalid settings.

/// A settings field that is missing or has an invalid value.
#[derive(Debug, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    /// Path of the field in the file, such as `params.size`.
    pub field: String,
    /// Why the field is not accepted.
    pub reason: String,
}

/// Returns a [`SettingsError`] for a field.
pub(super) fn invalid_field<T>(
    field: impl Into<String>,
    reason: impl Into<String>,
) -> Result<T, SettingsError> {
    Err(SettingsError {
        field: field.into(),
        reason: reason.into(),
    })
}
