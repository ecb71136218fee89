//! Typed messages of every interface, and their encoding.
//!
//! The names on the wire are given by the platform and stay in this module's files, as serde names;
//! the rest of the program uses the field's standard terms. Nothing here decides anything.

pub mod agents;
pub mod cloud;
pub mod peer;
pub mod store;
pub mod users;

use serde::{de::DeserializeOwned, Deserialize, Deserializer, Serialize};

/// The limit for request bodies, and for responses to agents and users.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Bytes from outside could not be read as the expected message, for this reason.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub String);

/// Encodes a message for the outside.
pub fn to_cbor<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to a vector fails only for types that refuse to serialise. Ours never do; if one
    // did, the receiver would read the empty body as malformed.
    if ciborium::into_writer(message, &mut bytes).is_err() {
        bytes.clear();
    }
    bytes
}

/// Decodes a message from the outside.
///
/// # Errors
///
/// If the bytes are not exactly one message of this type.
pub fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Malformed> {
    let mut rest = bytes;
    let message = ciborium::from_reader(&mut rest).map_err(|e| Malformed(e.to_string()))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(Malformed("bytes after the message".into()))
    }
}

/// The size of a value in bytes as the platform counts it: written as JSON. The largest number if it
/// can't be written.
pub fn json_size<T: Serialize>(value: &T) -> usize {
    struct ByteCounter(usize);
    impl std::io::Write for ByteCounter {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0 += bytes.len();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX,
    }
}

/// Reads an amount: a decimal number, or an integer, which some encoders write
/// for amounts without a fraction.
pub fn amount<'de, D: Deserializer<'de>>(input: D) -> Result<f64, D::Error> {
    struct AmountVisitor;
    impl serde::de::Visitor<'_> for AmountVisitor {
        type Value = f64;
        fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
            f.write_str("a number")
        }
        fn visit_f64<E>(self, value: f64) -> Result<f64, E> {
            Ok(value)
        }
        fn visit_u64<E>(self, value: u64) -> Result<f64, E> {
            Ok(value as f64)
        }
        fn visit_i64<E>(self, value: i64) -> Result<f64, E> {
            Ok(value as f64)
        }
    }
    input.deserialize_any(AmountVisitor)
}

#[derive(Deserialize)]
struct Amount(#[serde(deserialize_with = "amount")] f64);

/// Reads an amount that may be null or absent.
pub fn maybe_amount<'de, D: Deserializer<'de>>(input: D) -> Result<Option<f64>, D::Error> {
    Ok(Option::<Amount>::deserialize(input)?.map(|Amount(value)| value))
}
