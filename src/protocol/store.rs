//! What the state service takes and answers.

use ciborium::Value;
use serde::{Deserialize, Serialize};

/// A condition: the key has this version; 0 means that it does not exist.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "put")]
        key: String,
        value: Value,
        #[serde(rename = "grant", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
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

/// A transaction.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub key: String,
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    #[serde(rename = "rows")]
    pub items: Vec<Row>,
    #[serde(rename = "truncated")]
    pub more: bool,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    Put {
        #[serde(rename = "put")]
        key: String,
        value: Value,
        #[serde(rename = "stamp")]
        version: u64,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// The answer of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvents {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// A revision, as transactions and missing keys answer it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A lease to be made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NewLease {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    #[serde(rename = "grant")]
    pub lease: u64,
}

/// A request to the state service; also written as it is when another controller is
/// asked to make it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreRequest {
    Get {
        key: String,
    },
    List {
        prefix: String,
        after: String,
    },
    #[serde(rename = "Txn")]
    Transaction(Transaction),
    Grant {
        ttl_ms: u64,
    },
    Renew {
        lease: u64,
    },
    /// Ends a lease at once.
    Drop {
        lease: u64,
    },
    Watch {
        prefix: String,
        after: u64,
        wait_ms: u64,
    },
}

/// What came of a request to the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreResponse {
    Row(Row),
    Missing {
        revision: u64,
    },
    Rows(Rows),
    Committed {
        revision: u64,
    },
    Conflict {
        failed: Vec<String>,
        revision: u64,
    },
    Lease(u64),
    Events(WatchEvents),
    /// The watch starts before what the service keeps.
    Compacted,
    /// The lease is over.
    NoLease,
    /// Not executed: 429 to changes, which are too many. Only within a process.
    Limited,
    /// Not executed: 429 or 503, or the connection was never made.
    Refused,
    /// The service calls the request malformed.
    Malformed,
    /// No usable answer: the request may have been executed, or may be later.
    Unknown,
}
