//! Values of CBOR, the record of a run, and small helpers.

use ciborium::Value;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Builds a map from its entries.
pub fn map(entries: Vec<(&str, Value)>) -> Value {
    Value::Map(entries.into_iter().map(|(k, v)| (Value::Text(k.into()), v)).collect())
}

/// Builds a text.
pub fn text(s: &str) -> Value {
    Value::Text(s.into())
}

/// Builds an integer.
pub fn int(n: u64) -> Value {
    Value::Integer(n.into())
}

/// Returns the field of a map.
pub fn field<'a>(v: &'a Value, name: &str) -> Option<&'a Value> {
    let entries = v.as_map()?;
    entries.iter().find(|(k, _)| k.as_text() == Some(name)).map(|(_, v)| v)
}

/// Returns a field that is an integer.
pub fn int_field(v: &Value, name: &str) -> Option<u64> {
    field(v, name)?.as_integer().and_then(|n| u64::try_from(n).ok())
}

/// Returns a field that is a number.
pub fn num_field(v: &Value, name: &str) -> Option<f64> {
    match field(v, name)? {
        Value::Float(f) => Some(*f),
        Value::Integer(n) => Some(i128::from(*n) as f64),
        _ => None,
    }
}

/// Returns a field that is a text.
pub fn text_field(v: &Value, name: &str) -> Option<String> {
    field(v, name)?.as_text().map(str::to_string)
}

/// Returns the elements of a field that is a list; empty if there is none.
pub fn list_field(v: &Value, name: &str) -> Vec<Value> {
    field(v, name).and_then(|l| l.as_array().cloned()).unwrap_or_default()
}

/// Encodes a value.
pub fn encode(v: &Value) -> Vec<u8> {
    let mut out = vec![];
    ciborium::into_writer(v, &mut out).expect("a vector can be written");
    out
}

/// Decodes a value.
pub fn decode(bytes: &[u8]) -> Option<Value> {
    ciborium::from_reader(bytes).ok()
}

/// Returns the size of a value as JSON, which is how the protocol counts sizes.
pub fn json_size(v: &Value) -> usize {
    match v {
        Value::Text(s) => s.len() + 2,
        Value::Bool(true) | Value::Null => 4,
        Value::Bool(false) => 5,
        Value::Integer(n) => i128::from(*n).to_string().len(),
        Value::Float(f) => format!("{f:?}").len(),
        Value::Array(l) => 2 + l.iter().map(json_size).sum::<usize>() + l.len().saturating_sub(1),
        Value::Map(m) => {
            let sizes = m.iter().map(|(k, v)| json_size(k) + 1 + json_size(v));
            2 + sizes.sum::<usize>() + m.len().saturating_sub(1)
        }
        _ => 0,
    }
}

/// The record of a run: what was sent, answered and run, with the time in seconds since its start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
        }
    }

    /// Returns the time since the start of the run, in seconds.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:8.3} {line}", self.now()).ok();
    }
}

/// Sleeps for a number of seconds.
pub fn sleep(s: f64) {
    std::thread::sleep(Duration::from_secs_f64(s.max(0.0)));
}

/// Waits until a condition holds; returns whether it did within the time.
pub fn wait_for(limit_s: f64, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(limit_s);
    loop {
        if holds() {
            return true;
        }
        if Instant::now() > end {
            return false;
        }
        sleep(0.01);
    }
}

/// A small generator of random numbers between 0 and 1.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}
