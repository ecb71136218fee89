//! Records packed into a bounded text.
//!
//! Some stores take values of a few kilobytes, and text and numbers only. Records go in
//! as `bitcode`, compressed with deflate, written in base64: a fraction of what they take
//! as maps with text keys. As many as fit are taken, in their order.
//!
//! What is unpacked comes from outside: its size is bounded before it is allocated, and
//! anything malformed is an error, never a panic.
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

/// Deflate's level: small values, written every few seconds.
const LEVEL: u8 = 6;
/// The most bytes that a text unpacks to.
const MOST: usize = 4 * 1024 * 1024;

/// Why a text could not be unpacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// It is not base64.
    Text,
    /// It is not deflate, or larger than any value may be.
    Compression,
    /// Its records are not of this kind.
    Records,
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Malformed::Text => "not base64",
            Malformed::Compression => "not deflate, or too large",
            Malformed::Records => "not records of this kind",
        })
    }
}

impl std::error::Error for Malformed {}

fn text_of<T: Encode>(records: &[T]) -> String {
    STANDARD_NO_PAD.encode(compress_to_vec(&bitcode::encode(records), LEVEL))
}

/// Packs the first of these records into a text of at most so many bytes; says how many
/// it took. Even none takes a few bytes.
pub fn pack<T: Encode>(records: &[T], bytes: usize) -> (String, usize) {
    let all = text_of(records);
    if all.len() <= bytes {
        return (all, records.len());
    }
    // Lengths grow with the number of records but for a few bytes, so halving finds
    // nearly the most that fits; what it finds does fit.
    let (mut fits, mut over) = (0, records.len());
    let mut text = text_of::<T>(&[]);
    while over - fits > 1 {
        let middle = fits + (over - fits) / 2;
        let tried = text_of(&records[..middle]);
        if tried.len() <= bytes {
            (fits, text) = (middle, tried);
        } else {
            over = middle;
        }
    }
    (text, fits)
}

/// The records of a text.
pub fn unpack<T: DecodeOwned>(text: &str) -> Result<Vec<T>, Malformed> {
    let packed = STANDARD_NO_PAD.decode(text).map_err(|_| Malformed::Text)?;
    let bytes = decompress_to_vec_with_limit(&packed, MOST).map_err(|_| Malformed::Compression)?;
    bitcode::decode(&bytes).map_err(|_| Malformed::Records)
}
