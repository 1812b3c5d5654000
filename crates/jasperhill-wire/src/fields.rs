//! Typed reading of JSON objects with errors that name the field.

use crate::units::AMOUNT_MAX;
use serde_json::{Map, Value};

/// Bytes of a text, at most: names go into keys of the store.
const TEXT_BYTES_MAX: usize = 200;
/// Texts in a list, at most: a request is kept whole in its record.
const TEXTS_MAX: usize = 100;

/// What is wrong with a message, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct Malformed {
    /// The field, by its name on the wire; `body` for the whole message.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

/// The error of a field.
pub(crate) fn bad<T>(field: &'static str, reason: &'static str) -> Result<T, Malformed> {
    Err(Malformed { field, reason })
}

/// Reads a body that has to be a JSON object.
pub(crate) fn object(body: &[u8]) -> Result<Map<String, Value>, Malformed> {
    match serde_json::from_slice(body) {
        Ok(Value::Object(map)) => Ok(map),
        Ok(_) => bad("body", "not an object"),
        Err(_) => bad("body", "not JSON"),
    }
}

/// Reads the fields of one object.
pub(crate) struct Fields<'a>(pub &'a Map<String, Value>);

impl<'a> Fields<'a> {
    /// A field that is there and not null.
    pub fn opt(&self, field: &str) -> Option<&'a Value> {
        self.0.get(field).filter(|v| !v.is_null())
    }

    fn required(&self, field: &'static str) -> Result<&'a Value, Malformed> {
        self.opt(field).ok_or(Malformed {
            field,
            reason: "missing",
        })
    }

    /// A text of 1 to [`TEXT_BYTES_MAX`] bytes.
    pub fn text(&self, field: &'static str) -> Result<&'a str, Malformed> {
        Self::as_text(field, self.required(field)?)
    }

    fn as_text(field: &'static str, value: &'a Value) -> Result<&'a str, Malformed> {
        match value.as_str() {
            Some(s) if !s.is_empty() && s.len() <= TEXT_BYTES_MAX => Ok(s),
            Some(_) => bad(field, "must have 1 to 200 bytes"),
            None => bad(field, "not a string"),
        }
    }

    /// The same; missing or null means none.
    pub fn opt_text(&self, field: &'static str) -> Result<Option<&'a str>, Malformed> {
        self.opt(field).map(|v| Self::as_text(field, v)).transpose()
    }

    /// A list of such texts, of [`TEXTS_MAX`] at most; missing or null means none.
    pub fn opt_texts(&self, field: &'static str) -> Result<Option<Vec<&'a str>>, Malformed> {
        let Some(value) = self.opt(field) else {
            return Ok(None);
        };
        let Some(list) = value.as_array() else {
            return bad(field, "not a list");
        };
        if list.len() > TEXTS_MAX {
            return bad(field, "too long");
        }
        list.iter()
            .map(|v| Self::as_text(field, v))
            .collect::<Result<_, _>>()
            .map(Some)
    }

    /// True or false.
    pub fn flag(&self, field: &'static str) -> Result<bool, Malformed> {
        self.required(field)?.as_bool().ok_or(Malformed {
            field,
            reason: "not true or false",
        })
    }

    /// An integer from 0.
    pub fn count(&self, field: &'static str) -> Result<u64, Malformed> {
        self.required(field)?.as_u64().ok_or(Malformed {
            field,
            reason: "not an integer from 0 to 2^64-1",
        })
    }

    fn as_amount(field: &'static str, value: &Value) -> Result<f64, Malformed> {
        match value.as_f64() {
            Some(x) if x.is_finite() && (0.0..=AMOUNT_MAX).contains(&x) => Ok(x),
            Some(_) => bad(field, "out of range"),
            None => bad(field, "not a number"),
        }
    }

    /// A number from 0 to [`AMOUNT_MAX`].
    pub fn amount(&self, field: &'static str) -> Result<f64, Malformed> {
        Self::as_amount(field, self.required(field)?)
    }

    /// The same; missing or null means none.
    pub fn opt_amount(&self, field: &'static str) -> Result<Option<f64>, Malformed> {
        self.opt(field)
            .map(|v| Self::as_amount(field, v))
            .transpose()
    }

    /// A list of anything; missing or null means an empty one.
    pub fn opt_list(&self, field: &'static str) -> Result<&'a [Value], Malformed> {
        match self.opt(field).map(Value::as_array) {
            None => Ok(&[]),
            Some(Some(list)) => Ok(list),
            Some(None) => bad(field, "not a list"),
        }
    }

    /// A list of anything.
    pub fn list(&self, field: &'static str) -> Result<&'a [Value], Malformed> {
        match self.required(field)?.as_array() {
            Some(list) => Ok(list),
            None => bad(field, "not a list"),
        }
    }
}
