//! Typed reading of JSON objects with errors that name the field.

use serde_json::{Map, Value};

/// What is wrong with a message, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct Malformed {
    pub field: &'static str,
    pub reason: &'static str,
}

pub(crate) fn bad<T>(field: &'static str, reason: &'static str) -> Result<T, Malformed> {
    Err(Malformed { field, reason })
}

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
    pub fn opt(&self, field: &str) -> Option<&'a Value> {
        self.0.get(field).filter(|v| !v.is_null())
    }
    fn need(&self, field: &'static str) -> Result<&'a Value, Malformed> {
        self.opt(field).ok_or(Malformed {
            field,
            reason: "missing",
        })
    }
    pub fn text(&self, field: &'static str) -> Result<&'a str, Malformed> {
        Self::as_text(field, self.need(field)?)
    }
    fn as_text(field: &'static str, value: &'a Value) -> Result<&'a str, Malformed> {
        match value.as_str() {
            Some(s) if !s.is_empty() && s.len() <= 200 => Ok(s),
            Some(_) => bad(field, "must have 1 to 200 bytes"),
            None => bad(field, "not a string"),
        }
    }
    pub fn opt_text(&self, field: &'static str) -> Result<Option<&'a str>, Malformed> {
        self.opt(field).map(|v| Self::as_text(field, v)).transpose()
    }
    pub fn opt_texts(&self, field: &'static str) -> Result<Option<Vec<&'a str>>, Malformed> {
        let Some(value) = self.opt(field) else {
            return Ok(None);
        };
        let Some(list) = value.as_array() else {
            return bad(field, "not a list");
        };
        if list.len() > 100 {
            return bad(field, "too long");
        }
        list.iter()
            .map(|v| Self::as_text(field, v))
            .collect::<Result<_, _>>()
            .map(Some)
    }
    pub fn flag(&self, field: &'static str) -> Result<bool, Malformed> {
        self.need(field)?.as_bool().ok_or(Malformed {
            field,
            reason: "not true or false",
        })
    }
    pub fn count(&self, field: &'static str) -> Result<u64, Malformed> {
        self.need(field)?.as_u64().ok_or(Malformed {
            field,
            reason: "not an integer from 0 to 2^64-1",
        })
    }
    fn as_amount(field: &'static str, value: &Value) -> Result<f64, Malformed> {
        match value.as_f64() {
            Some(x) if x.is_finite() && (0.0..=crate::units::AMOUNT_MAX).contains(&x) => Ok(x),
            Some(_) => bad(field, "out of range"),
            None => bad(field, "not a number"),
        }
    }
    pub fn amount(&self, field: &'static str) -> Result<f64, Malformed> {
        Self::as_amount(field, self.need(field)?)
    }
    pub fn opt_amount(&self, field: &'static str) -> Result<Option<f64>, Malformed> {
        self.opt(field)
            .map(|v| Self::as_amount(field, v))
            .transpose()
    }
    /// Missing or null means none.
    pub fn opt_list(&self, field: &'static str) -> Result<&'a [Value], Malformed> {
        match self.opt(field).map(Value::as_array) {
            None => Ok(&[]),
            Some(Some(list)) => Ok(list),
            Some(None) => bad(field, "not a list"),
        }
    }
    pub fn list(&self, field: &'static str) -> Result<&'a [Value], Malformed> {
        match self.need(field)?.as_array() {
            Some(list) => Ok(list),
            None => bad(field, "not a list"),
        }
    }
}
