//! What is kept in the state service: keys, records, and how they are read
//! back. Knows nothing of how decisions are made.

pub mod keys;
pub mod records;
