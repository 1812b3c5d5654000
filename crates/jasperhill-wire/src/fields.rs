//! Typed accessors for the fields of JSON objects, with errors that name the field.
//!
//! Malformed input produces a [`Malformed`] error, which users receive as the text of a response.
//! Numbers, strings and lists of strings are limited in size here.

use crate::units::AMOUNT_MAX;
use serde_json::{Map, Value};

/// Longest accepted string, in bytes. Strings such as names become part of keys in the state
/// service.
const STRING_BYTES_MAX: usize = 200;
/// Most strings accepted in a list. The state service stores the complete request in the job's
/// record.
const STRING_LIST_LEN_MAX: usize = 100;

/// The error for a message that is malformed: the field and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct Malformed {
    /// The field's name on the wire, or `body` if the message as a whole is malformed.
    pub field: &'static str,
    /// Why the field was rejected.
    pub reason: &'static str,
}

/// Returns the [`Malformed`] error for a field.
pub(crate) fn field_error<T>(field: &'static str, reason: &'static str) -> Result<T, Malformed> {
    Err(Malformed { field, reason })
}

/// Parses a message body as a JSON object.
pub(crate) fn parse_object(body: &[u8]) -> Result<Map<String, Value>, Malformed> {
    match serde_json::from_slice(body) {
        Ok(Value::Object(object)) => Ok(object),
        Ok(_) => field_error("body", "not an object"),
        Err(_) => field_error("body", "not JSON"),
    }
}

/// Typed accessors for the fields of a JSON object.
pub(crate) struct Fields<'a>(pub &'a Map<String, Value>);

impl<'a> Fields<'a> {
    /// Returns the field's value; `None` if the field is missing or null.
    pub fn optional(&self, field: &str) -> Option<&'a Value> {
        self.0.get(field).filter(|value| !value.is_null())
    }

    fn required(&self, field: &'static str) -> Result<&'a Value, Malformed> {
        self.optional(field).ok_or(Malformed {
            field,
            reason: "missing",
        })
    }

    /// Returns a required string of 1 to [`STRING_BYTES_MAX`] bytes.
    pub fn string(&self, field: &'static str) -> Result<&'a str, Malformed> {
        Self::check_string(field, self.required(field)?)
    }

    fn check_string(field: &'static str, value: &'a Value) -> Result<&'a str, Malformed> {
        match value.as_str() {
            Some(text) if !text.is_empty() && text.len() <= STRING_BYTES_MAX => Ok(text),
            Some(_) => field_error(field, "must have 1 to 200 bytes"),
            None => field_error(field, "not a string"),
        }
    }

    /// Returns an optional string of 1 to [`STRING_BYTES_MAX`] bytes; `None` if the field is
    /// missing or null.
    pub fn optional_string(&self, field: &'static str) -> Result<Option<&'a str>, Malformed> {
        self.optional(field)
            .map(|value| Self::check_string(field, value))
            .transpose()
    }

    /// Returns an optional list of at most [`STRING_LIST_LEN_MAX`] strings, each of 1 to
    /// [`STRING_BYTES_MAX`] bytes; `None` if the field is missing or null.
    pub fn optional_strings(&self, field: &'static str) -> Result<Option<Vec<&'a str>>, Malformed> {
        let Some(value) = self.optional(field) else {
            return Ok(None);
        };
        let Some(list) = value.as_array() else {
            return field_error(field, "not a list");
        };
        if list.len() > STRING_LIST_LEN_MAX {
            return field_error(field, "too long");
        }
        list.iter()
            .map(|value| Self::check_string(field, value))
            .collect::<Result<_, _>>()
            .map(Some)
    }

    /// Returns a required boolean.
    pub fn boolean(&self, field: &'static str) -> Result<bool, Malformed> {
        self.required(field)?.as_bool().ok_or(Malformed {
            field,
            reason: "not true or false",
        })
    }

    /// Returns a required unsigned integer.
    pub fn unsigned_integer(&self, field: &'static str) -> Result<u64, Malformed> {
        self.required(field)?.as_u64().ok_or(Malformed {
            field,
            reason: "not an integer from 0 to 2^64-1",
        })
    }

    fn check_amount(field: &'static str, value: &Value) -> Result<f64, Malformed> {
        match value.as_f64() {
            Some(amount) if amount.is_finite() && (0.0..=AMOUNT_MAX).contains(&amount) => {
                Ok(amount)
            }
            Some(_) => field_error(field, "out of range"),
            None => field_error(field, "not a number"),
        }
    }

    /// Returns a required number from 0 to [`AMOUNT_MAX`].
    pub fn amount(&self, field: &'static str) -> Result<f64, Malformed> {
        Self::check_amount(field, self.required(field)?)
    }

    /// Returns an optional number from 0 to [`AMOUNT_MAX`]; `None` if the field is missing or null.
    pub fn optional_amount(&self, field: &'static str) -> Result<Option<f64>, Malformed> {
        self.optional(field)
            .map(|value| Self::check_amount(field, value))
            .transpose()
    }

    /// Returns a list of arbitrary values; empty if the field is missing or null.
    pub fn optional_list(&self, field: &'static str) -> Result<&'a [Value], Malformed> {
        match self.optional(field).map(Value::as_array) {
            None => Ok(&[]),
            Some(Some(list)) => Ok(list),
            Some(None) => field_error(field, "not a list"),
        }
    }

    /// Returns a required list of arbitrary values.
    pub fn list(&self, field: &'static str) -> Result<&'a [Value], Malformed> {
        match self.required(field)?.as_array() {
            Some(list) => Ok(list),
            None => field_error(field, "not a list"),
        }
    }
}
