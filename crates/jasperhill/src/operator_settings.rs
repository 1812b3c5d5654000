//! The operators' settings file: protobuf text format, checked against the schema in
//! `proto/operator.proto` and against the range of each field. Stateless.

use jasperhill_controller::{OperatorSettings, SettingsError};
use jasperhill_wire::Micros;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

/// The name of the schema, for the compiler.
const SCHEMA_FILE: &str = "operator.proto";
/// The text of the schema.
const SCHEMA_SOURCE: &str = include_str!("../proto/operator.proto");

/// The full name of the message that a settings file contains.
const MESSAGE_NAME: &str = "jasperhill.Operator";

/// Resolves the schema from the binary instead of the file system.
struct EmbeddedSchema;

impl protox::file::FileResolver for EmbeddedSchema {
    fn open_file(&self, name: &str) -> Result<protox::file::File, protox::Error> {
        if name == SCHEMA_FILE {
            protox::file::File::from_source(name, SCHEMA_SOURCE)
        } else {
            Err(protox::Error::file_not_found(name))
        }
    }
}

/// An error in one field; the reason is put on one line.
fn settings_error(field: &str, reason: impl std::fmt::Display) -> SettingsError {
    SettingsError {
        field: field.to_owned(),
        reason: reason.to_string().replace('\n', " "),
    }
}

/// The schema of a settings file.
fn message_descriptor() -> Result<MessageDescriptor, SettingsError> {
    let mut compiler = protox::Compiler::with_file_resolver(EmbeddedSchema);
    compiler
        .open_file(SCHEMA_FILE)
        .map_err(|e| settings_error("schema", e))?;
    let pool = DescriptorPool::from_file_descriptor_set(compiler.file_descriptor_set())
        .map_err(|e| settings_error("schema", e))?;
    pool.get_message_by_name(MESSAGE_NAME)
        .ok_or_else(|| settings_error("schema", "incomplete"))
}

/// The value of a numeric field if it is set.
///
/// # Errors
///
/// An error that names the field if its value is not a finite number from `min` to `max`.
fn number(
    message: &DynamicMessage,
    field: &str,
    min: f64,
    max: f64,
) -> Result<Option<f64>, SettingsError> {
    if !message.has_field_by_name(field) {
        return Ok(None);
    }
    let value = message.get_field_by_name(field);
    match value.and_then(|v| v.as_f64().or_else(|| v.as_u32().map(f64::from))) {
        Some(value) if value.is_finite() && (min..=max).contains(&value) => Ok(Some(value)),
        _ => Err(settings_error(
            field,
            format!("must be from {min} to {max}"),
        )),
    }
}

/// Parses the operators' settings; fields that are not set keep their defaults.
///
/// # Errors
///
/// The first syntax error, unknown field or value out of range, on one line.
pub fn parse(text: &str) -> Result<OperatorSettings, SettingsError> {
    let message = DynamicMessage::parse_text_format(message_descriptor()?, text)
        .map_err(|e| settings_error("operator settings", e))?;
    let number = |field, min, max| number(&message, field, min, max);
    let mut settings = OperatorSettings::default();
    let tuning = &mut settings.tuning;
    if let Some(factor) = number("uncertainty_factor", 0.0, 100.0)? {
        tuning.uncertainty = factor;
    }
    if let Some(headroom) = number("headroom", 0.0, 10.0)? {
        tuning.headroom = headroom;
    }
    if let Some(seconds) = number("idle_keep_s", 0.0, 86_400.0)? {
        tuning.idle_retention = Micros::from_secs_f64(seconds);
    }
    if let Some(machines) = number("floor_machines", 0.0, 100_000.0)? {
        tuning.min_machines = machines as u32;
    }
    if let Some(restarts) = number("restless_after", 0.0, 100.0)? {
        settings.crash_loop_threshold = Some(restarts as u32);
    }
    if let Some(share) = number("least_share", 0.0, 1.0)? {
        settings.tuning.minimum_share = share;
    }
    settings.session = number("session_s", 2.0, 600.0)?.map(Micros::from_secs_f64);
    Ok(settings)
}

#[cfg(test)]
mod tests;
