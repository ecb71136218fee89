//! CBOR values: reading, writing, and their size in the JSON form in which the pages count limits.

pub use ciborium::{cbor, Value};

/// Encodes a value.
pub fn encode(value: &Value) -> Vec<u8> {
    let mut bytes = vec![];
    ciborium::into_writer(value, &mut bytes).expect("writing to a vector");
    bytes
}

/// Decodes a value; `None` if the bytes are not CBOR.
pub fn decode(bytes: &[u8]) -> Option<Value> {
    ciborium::from_reader(bytes).ok()
}

/// Returns the field of a map.
pub fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let pairs = value.as_map()?;
    pairs
        .iter()
        .find(|(key, _)| key.as_text() == Some(name))
        .map(|(_, value)| value)
}

/// Returns a text field; empty if it is missing.
pub fn text(value: &Value, name: &str) -> String {
    field(value, name).and_then(Value::as_text).unwrap_or("").to_string()
}

/// Returns an integer field; 0 if it is missing.
pub fn integer(value: &Value, name: &str) -> u64 {
    let number = field(value, name).and_then(Value::as_integer);
    number.and_then(|n| u64::try_from(n).ok()).unwrap_or(0)
}

/// Returns an amount; 0 if it is missing.
pub fn amount(value: &Value, name: &str) -> f64 {
    match field(value, name) {
        Some(Value::Float(number)) => *number,
        Some(Value::Integer(number)) => i128::from(*number) as f64,
        _ => 0.0,
    }
}

/// Returns a boolean field; false if it is missing.
pub fn flag(value: &Value, name: &str) -> bool {
    field(value, name).and_then(Value::as_bool).unwrap_or(false)
}

/// Returns the elements of a list; none if it is missing.
pub fn list(value: &Value, name: &str) -> Vec<Value> {
    field(value, name)
        .and_then(Value::as_array)
        .cloned()
        .unwrap_or_default()
}

/// Writes a value as JSON.
pub fn json(value: &Value) -> String {
    match value {
        Value::Null => "null".into(),
        Value::Bool(flag) => flag.to_string(),
        Value::Integer(number) => i128::from(*number).to_string(),
        Value::Float(number) => format!("{number:?}"),
        Value::Text(text) => format!("{text:?}"),
        Value::Array(values) => format!("[{}]", values.iter().map(json).collect::<Vec<_>>().join(",")),
        Value::Map(pairs) => {
            let pairs = pairs
                .iter()
                .map(|(key, value)| format!("{}:{}", json(key), json(value)));
            format!("{{{}}}", pairs.collect::<Vec<_>>().join(","))
        }
        _ => "null".into(),
    }
}
