//! Packing of records into a text of bounded size.
//!
//! Some stores accept only text and numbers, in values of a few kilobytes. Records are encoded with
//! `bitcode`, compressed with deflate and written in base64, which takes a fraction of the space of
//! maps with text keys. As many records as fit are packed, in their order.
//!
//! The text to unpack comes from outside: the unpacked size is bounded before memory is allocated,
//! and malformed text is an error, never a panic.
//!
//! ```
//! use glenhaven_compression::{pack, unpack};
//!
//! let names: Vec<String> = (0..1000).map(|n| format!("run-{n:06}/0")).collect();
//! let (text, taken) = pack(&names, 2000);
//! assert!(text.len() <= 2000 && taken > 300);
//! assert_eq!(unpack::<String>(&text).unwrap(), names[..taken]);
//! ```
#![forbid(unsafe_code)]

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use bitcode::{DecodeOwned, Encode};
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;

/// Compression level of deflate, for small values that are written every few seconds.
const DEFLATE_LEVEL: u8 = 6;
/// Maximum size of unpacked records, in bytes.
const MAX_UNPACKED_BYTES: usize = 4 * 1024 * 1024;

/// The reason why a text could not be unpacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnpackError {
    /// The text is not base64.
    Text,
    /// The decoded bytes are not deflate, or unpack to more than the maximum size.
    Compression,
    /// The unpacked bytes are not records of the expected type.
    Records,
}

impl std::fmt::Display for UnpackError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            UnpackError::Text => "not base64",
            UnpackError::Compression => "not deflate, or too large",
            UnpackError::Records => "not records of this kind",
        })
    }
}

impl std::error::Error for UnpackError {}

fn encode_records<T: Encode>(records: &[T]) -> String {
    STANDARD_NO_PAD.encode(compress_to_vec(&bitcode::encode(records), DEFLATE_LEVEL))
}

/// Packs as many of the first records as fit into a text of at most `max_bytes`; returns the text
/// and the number of packed records. Even an empty list takes a few bytes.
pub fn pack<T: Encode>(records: &[T], max_bytes: usize) -> (String, usize) {
    let all = encode_records(records);
    if all.len() <= max_bytes {
        return (all, records.len());
    }
    // The length grows with the number of records, except for variations of a few bytes. Bisection
    // therefore finds a number of records that fits and is close to the largest one.
    let (mut fits, mut over) = (0, records.len());
    let mut text = encode_records::<T>(&[]);
    while over - fits > 1 {
        let middle = fits + (over - fits) / 2;
        let attempt = encode_records(&records[..middle]);
        if attempt.len() <= max_bytes {
            (fits, text) = (middle, attempt);
        } else {
            over = middle;
        }
    }
    (text, fits)
}

/// Unpacks the records of a text.
///
/// # Errors
///
/// Returns [`UnpackError`] if the text was not made by [`pack`] from records of this type.
pub fn unpack<T: DecodeOwned>(text: &str) -> Result<Vec<T>, UnpackError> {
    let packed = STANDARD_NO_PAD.decode(text).map_err(|_| UnpackError::Text)?;
    let bytes = decompress_to_vec_with_limit(&packed, MAX_UNPACKED_BYTES).map_err(|_| UnpackError::Compression)?;
    bitcode::decode(&bytes).map_err(|_| UnpackError::Records)
}
