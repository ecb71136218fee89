//! The protocol of the state service: requests and their outcomes.
//!
//! Field names on the wire are the serde names and must not change.

use ciborium::Value;
use serde::{Deserialize, Serialize};

/// A condition of a transaction on the version of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version that the key must have; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of a key by a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value. If it is bound to a lease, it is deleted when the lease ends.
    Put {
        /// The key that is written.
        #[serde(rename = "put")]
        key: String,
        /// Its new value.
        value: Value,
        /// The lease that the value is bound to.
        #[serde(rename = "grant", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes the key.
    Delete {
        /// The key that is deleted.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Change {
    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A transaction: all changes are executed if all conditions hold, and none otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// The changes.
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A part of a list of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    /// The keys, in their order.
    #[serde(rename = "rows")]
    pub items: Vec<Row>,
    /// Whether there are more keys after the last one.
    #[serde(rename = "truncated")]
    pub more: bool,
    /// The revision of the read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// The key has a new value.
    Put {
        /// The key that was written.
        #[serde(rename = "put")]
        key: String,
        /// Its new value.
        value: Value,
        /// Its new version.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// The key was deleted.
    Delete {
        /// The key that was deleted.
        #[serde(rename = "delete")]
        key: String,
        /// The version of the deletion.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// The answer to a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvents {
    /// The revision up to which all changes are reported.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes, in the order of their revisions.
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// The answer to a transaction, or to a read of a key that does not exist.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// The revision of the transaction or read.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NewLease {
    /// The duration of the lease without a renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The number of the lease.
    #[serde(rename = "grant")]
    pub lease: u64,
}

/// A request to the state service. Controllers also forward requests to each other in this form, so
/// that its serde names must not change either.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads the keys with a prefix that come after `after`.
    List {
        /// The prefix.
        prefix: String,
        /// The key after which the list begins.
        after: String,
    },
    /// Executes a transaction.
    #[serde(rename = "Txn")]
    Transaction(Transaction),
    /// Requests a lease that lasts `ttl_ms` milliseconds without a renewal.
    Grant {
        /// The duration of the lease without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// The number of the lease.
        lease: u64,
    },
    /// Ends a lease at once.
    Drop {
        /// The number of the lease.
        lease: u64,
    },
    /// Waits up to `wait_ms` milliseconds for changes of keys with a prefix after the revision
    /// `after`.
    Watch {
        /// The prefix.
        prefix: String,
        /// The revision after which changes are reported.
        after: u64,
        /// The maximum time to wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

/// The outcome of a request to the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreResponse {
    /// The key that was read.
    Row(Row),
    /// The key does not exist at this revision.
    Missing {
        /// The revision of the read.
        revision: u64,
    },
    /// A part of a list.
    Rows(Rows),
    /// The transaction was executed at this revision.
    Committed {
        /// The revision of its changes.
        revision: u64,
    },
    /// The conditions on these keys failed at this revision; nothing was executed.
    Conflict {
        /// The keys.
        failed: Vec<String>,
        /// The revision at which they were compared.
        revision: u64,
    },
    /// The lease that was granted or renewed.
    Lease(u64),
    /// The changes that a watch reports.
    Events(WatchEvents),
    /// The service no longer has the changes since the revision of the watch.
    Compacted,
    /// The lease has ended.
    NoLease,
    /// Not executed: refused with 429 because of too many changes. Never sent to another process.
    Limited,
    /// Not executed: refused with 429 or 503, or the connection failed.
    Refused,
    /// Not executed: rejected as malformed.
    Malformed,
    /// The outcome is unknown: the request may have been executed, or may still be executed.
    Unknown,
}
