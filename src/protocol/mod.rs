//! Typed messages of every interface. Wire names stay in this module's files;
//! the rest of the program uses the field's standard terms.

pub mod agents;
pub mod cloud;
pub mod peer;
pub mod store;
pub mod users;

use serde::{de::DeserializeOwned, Deserialize, Deserializer, Serialize};

/// The limit for request bodies, and for responses to workers and users.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Why bytes from outside could not be read as the expected message.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub String);

/// Encodes a message for the outside.
pub fn to_cbor<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to a vector fails only for types that refuse to serialise; ours
    // never do, and an empty body is then read as malformed by the receiver.
    if ciborium::into_writer(message, &mut bytes).is_err() {
        bytes.clear();
    }
    bytes
}

/// Decodes a message from the outside.
pub fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Malformed> {
    let mut rest = bytes;
    let message = ciborium::from_reader(&mut rest).map_err(|e| Malformed(e.to_string()))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(Malformed("bytes after the message".into()))
    }
}

/// The size of a value as the platform counts it: written as JSON.
pub fn json_size<T: Serialize>(value: &T) -> usize {
    struct Count(usize);
    impl std::io::Write for Count {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0 += bytes.len();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut count = Count(0);
    match serde_json::to_writer(&mut count, value) {
        Ok(()) => count.0,
        Err(_) => usize::MAX,
    }
}

/// Reads an amount: a decimal number, or an integer, which some encoders write
/// for amounts without a fraction.
pub fn amount<'de, D: Deserializer<'de>>(input: D) -> Result<f64, D::Error> {
    struct Visit;
    impl serde::de::Visitor<'_> for Visit {
        type Value = f64;
        fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
            f.write_str("a number")
        }
        fn visit_f64<E>(self, v: f64) -> Result<f64, E> {
            Ok(v)
        }
        fn visit_u64<E>(self, v: u64) -> Result<f64, E> {
            Ok(v as f64)
        }
        fn visit_i64<E>(self, v: i64) -> Result<f64, E> {
            Ok(v as f64)
        }
    }
    input.deserialize_any(Visit)
}

#[derive(Deserialize)]
struct Amount(#[serde(deserialize_with = "amount")] f64);

/// Reads an amount that may be null or absent.
pub fn maybe_amount<'de, D: Deserializer<'de>>(input: D) -> Result<Option<f64>, D::Error> {
    Ok(Option::<Amount>::deserialize(input)?.map(|a| a.0))
}
