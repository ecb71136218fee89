//! The typed messages of all interfaces, and their encoding.
//!
//! The platform defines the names on the wire. They appear only in this module's files, as serde
//! names; the identifiers in the rest of the program are the usual terms of cluster scheduling.
//! This module validates messages but contains no scheduling decisions.

pub mod agents;
pub mod cloud;
pub mod peer;
pub mod store;
pub mod users;

use serde::{de::DeserializeOwned, Deserialize, Deserializer, Serialize};

/// The maximum size of request bodies, and of responses to agents and users, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// The error for received bytes that are not the expected message, with the reason.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub String);

/// Encodes a message for another service, an agent or a user as CBOR.
pub fn to_cbor<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to a vector fails only if a type's `Serialize` returns an error, which no message
    // does. If one did, the receiver would reject the empty body as malformed.
    if ciborium::into_writer(message, &mut bytes).is_err() {
        bytes.clear();
    }
    bytes
}

/// Decodes a CBOR message from another service, an agent or a user.
///
/// # Errors
///
/// Returns [`Malformed`] if the bytes are not exactly one message of this type.
pub fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Malformed> {
    let mut rest = bytes;
    let message = ciborium::from_reader(&mut rest).map_err(|e| Malformed(e.to_string()))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(Malformed("bytes after the message".into()))
    }
}

/// Returns the size of a value in bytes as the platform counts it, which is that of its JSON form;
/// `usize::MAX` if the value can't be written as JSON.
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

/// Deserializes an amount: a floating-point number, or an integer, which some encoders write for
/// amounts without a fraction.
///
/// # Errors
///
/// Fails for any value that is not a number.
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

/// Deserializes an amount that may be null. A field that may also be absent needs serde's
/// `default`.
///
/// # Errors
///
/// Fails for any value that is neither a number nor null.
pub fn optional_amount<'de, D: Deserializer<'de>>(input: D) -> Result<Option<f64>, D::Error> {
    Ok(Option::<Amount>::deserialize(input)?.map(|Amount(value)| value))
}
