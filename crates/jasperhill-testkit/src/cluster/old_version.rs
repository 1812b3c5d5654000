//! Translation between the formats of the old version and the state service, for controllers that
//! have not been upgraded.

use jasperhill_http::{Request, Response};
use serde_json::Value;

/// Removes from a transaction all records and fields that the old version does not know.
pub(crate) fn without_unknown_records_in_transaction(mut request: Request) -> Request {
    if request.path() == "/txn" {
        let mut body: Value = serde_json::from_slice(&request.body).unwrap();
        if let Some(changes) = body["then"].as_array_mut() {
            changes.retain_mut(|change| {
                let key = change["write"].as_str().unwrap_or_default().to_owned();
                !strip_unknown_fields(&key, &mut change["data"])
            });
        }
        request.body = body.to_string().into_bytes();
    }
    request
}

/// Removes from an answer all records and fields that the old version does not know.
pub(crate) fn without_unknown_records_in_answer(mut answer: Response) -> Response {
    let Ok(mut body) = serde_json::from_slice::<Value>(&answer.body) else {
        return answer;
    };
    for (list, name) in [("pairs", "k"), ("news", "write")] {
        if let Some(items) = body[list].as_array_mut() {
            items.retain_mut(|item| {
                let key = item[name].as_str().unwrap_or_default().to_owned();
                !strip_unknown_fields(&key, &mut item["data"])
            });
        }
    }
    if body.is_object() {
        let is_null_field = |v: &mut Value, k: &str| {
            v.as_object_mut()
                .is_some_and(|o| o.get(k).is_some_and(Value::is_null))
        };
        for k in ["pairs", "news"] {
            if is_null_field(&mut body, k) {
                body.as_object_mut().unwrap().remove(k);
            }
        }
        answer.body = body.to_string().into_bytes();
    }
    answer
}

/// Removes the fields that the old version does not know from a record. Returns true if the old
/// version does not know the record's kind.
fn strip_unknown_fields(key: &str, value: &mut Value) -> bool {
    if let Some(fields) = value.as_object_mut() {
        if key.starts_with("jh/session/") {
            fields.remove("f");
        }
        if let Some(request) = fields.get_mut("r").and_then(Value::as_object_mut) {
            request.remove("w");
        }
    }
    key.starts_with("jh/format/") || key.starts_with("jh/types/")
}
