//! The parser of the operators' settings file, which is in protobuf text format.
//!
//! [`parse`] checks the file against the schema in `proto/operator.proto` and each field against its
//! range. Stateless.

use jasperhill_controller::{OperatorSettings, SettingsError};
use jasperhill_wire::Micros;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

/// The file name under which the protobuf compiler opens the schema.
const SCHEMA_FILE_NAME: &str = "operator.proto";
/// The source text of the protobuf schema.
const SCHEMA_SOURCE: &str = include_str!("../proto/operator.proto");

/// The full protobuf name of the message type that a settings file contains.
const MESSAGE_NAME: &str = "jasperhill.Operator";

/// A protobuf file resolver that opens the schema embedded in the binary instead of a file on disk.
struct EmbeddedSchema;

impl protox::file::FileResolver for EmbeddedSchema {
    fn open_file(&self, name: &str) -> Result<protox::file::File, protox::Error> {
        if name == SCHEMA_FILE_NAME {
            protox::file::File::from_source(name, SCHEMA_SOURCE)
        } else {
            Err(protox::Error::file_not_found(name))
        }
    }
}

/// Returns a settings error for one field. Line breaks in the reason are replaced by spaces.
fn settings_error(field: &str, reason: impl std::fmt::Display) -> SettingsError {
    SettingsError {
        field: field.to_owned(),
        reason: reason.to_string().replace('\n', " "),
    }
}

/// Compiles the schema and returns the descriptor of the settings message.
///
/// # Errors
///
/// Returns an error for the field `schema` if the embedded schema is invalid.
fn message_descriptor() -> Result<MessageDescriptor, SettingsError> {
    let mut compiler = protox::Compiler::with_file_resolver(EmbeddedSchema);
    compiler
        .open_file(SCHEMA_FILE_NAME)
        .map_err(|e| settings_error("schema", e))?;
    let descriptor_pool = DescriptorPool::from_file_descriptor_set(compiler.file_descriptor_set())
        .map_err(|e| settings_error("schema", e))?;
    descriptor_pool
        .get_message_by_name(MESSAGE_NAME)
        .ok_or_else(|| settings_error("schema", "incomplete"))
}

/// Returns the value of a numeric field; `None` if the field is not set.
///
/// # Errors
///
/// Returns an error that names the field if its value is not a finite number from `min` to `max`.
fn number_in_range(
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

/// Parses the operators' settings. Fields that are not set keep their defaults.
///
/// # Errors
///
/// Returns the first syntax error, unknown field or value out of range, as an error on one line.
pub fn parse(text: &str) -> Result<OperatorSettings, SettingsError> {
    let message = DynamicMessage::parse_text_format(message_descriptor()?, text)
        .map_err(|e| settings_error("operator settings", e))?;
    let number = |field, min, max| number_in_range(&message, field, min, max);
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
