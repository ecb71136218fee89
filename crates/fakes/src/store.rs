//! A fake of the state service, which also checks the records that controllers write to it.

use crate::{MS, SEC};
use ciborium::Value;
use glenhaven::protocol::store::{
    Change, Row, Rows, StoreRequest, StoreResponse, Transaction, WatchEvent, WatchEvents,
};
use glenhaven::protocol::{json_size, store::Condition};
use std::collections::{BTreeMap, BTreeSet};

/// Rows in one page of a list by default. It is small so that tests exercise paging.
const DEFAULT_PAGE_SIZE: usize = 40;

struct Entry {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: u64,
    expires_at: u64,
}

/// The content of the state service, and its limits.
pub struct Store {
    keys: BTreeMap<String, Entry>,
    /// The current revision. Each transaction with changes, expired key and granted lease
    /// increments it.
    pub revision: u64,
    leases: BTreeMap<u64, Lease>,
    log: Vec<WatchEvent>,
    /// Changes up to this revision are no longer in the log.
    compacted: u64,
    /// Rows in one page of a list.
    pub page_size: usize,
    /// Whether each written segment of the write-ahead log is compared with all others. The cost
    /// grows with their number.
    pub checks_placements: bool,
    /// Whether the service is unavailable.
    pub unavailable: bool,
    rps: f64,
    write_rps: f64,
    txn_ops: usize,
    value_kb: f64,
    /// The lower limits that are announced: KiB of a value, operations of a transaction, and
    /// changes a second.
    pub announced_limits: Option<(f64, usize, f64)>,
    /// The tokens left for requests and for changes, and when they were computed.
    tokens: (f64, f64, u64),
    /// Requests refused by the rate limits.
    pub refused: u64,
    /// Changes made.
    pub changes: u64,
    /// The number of requests in each second, also of those refused.
    pub requests_by_second: BTreeMap<u64, u64>,
    /// Requests that break the protocol or the rules of records, as text.
    pub problems: Vec<String>,
    /// The jobs that a page of acceptances has ever named.
    accepted: BTreeSet<String>,
}

impl Store {
    /// Creates an empty service with these limits.
    pub fn new(rps: f64, write_rps: f64, txn_ops: usize, value_kb: f64) -> Store {
        Store {
            keys: BTreeMap::new(),
            revision: 1,
            leases: BTreeMap::new(),
            log: vec![],
            compacted: 0,
            page_size: DEFAULT_PAGE_SIZE,
            checks_placements: true,
            unavailable: false,
            rps,
            write_rps,
            txn_ops,
            value_kb,
            announced_limits: None,
            tokens: (rps, write_rps, 0),
            refused: 0,
            changes: 0,
            requests_by_second: BTreeMap::new(),
            problems: vec![],
            accepted: BTreeSet::new(),
        }
    }

    /// Returns the number of segments of the write-ahead log ever used; their keys are never
    /// removed.
    pub fn log_segments(&self) -> usize {
        use glenhaven::storage::keys;
        self.keys.keys().filter(|k| k.starts_with(keys::LOG_SEGMENTS)).count()
    }

    /// Returns whether a job's own key records it as cancelled.
    pub fn is_cancelled(&self, job: &str) -> bool {
        use glenhaven::storage::{keys, records};
        let entry = self.keys.get(&keys::job(job));
        let value = entry.and_then(|e| records::from_value::<records::JobValue>(&e.value));
        value.is_some_and(|v| v.phase == glenhaven::protocol::users::Phase::Cancelled)
    }

    /// Returns a job's final phase, if the job has ended.
    pub fn final_phase(&self, job: &str) -> Option<glenhaven::protocol::users::Phase> {
        use glenhaven::storage::{keys, records};
        let entry = self.keys.get(&keys::job(job))?;
        let value = records::from_value::<records::JobValue>(&entry.value)?;
        Some(value.phase).filter(|phase| phase.is_final())
    }

    /// Returns whether a page of acceptances has ever named a job.
    pub fn was_accepted(&self, job: &str) -> bool {
        self.accepted.contains(job)
    }

    /// Puts the announced lower limits into effect.
    pub fn apply_announced_limits(&mut self) {
        if let Some((value_kb, ops, writes)) = self.announced_limits.take() {
            (self.value_kb, self.txn_ops, self.write_rps) = (value_kb, ops, writes);
        }
    }

    /// Stores an open job as earlier releases accepted jobs: under a key of its own.
    pub fn put_inherited_job(&mut self, spec: &glenhaven::protocol::users::JobSpec) {
        use glenhaven::storage::{keys, records};
        let value = records::to_value(&records::JobValue {
            phase: glenhaven::protocol::users::Phase::Pending,
            spec: Some(spec.clone()),
        });
        let change = Change::Put {
            key: keys::job(&spec.id),
            value,
            lease: None,
        };
        self.apply(&Transaction {
            conditions: vec![],
            changes: vec![change],
        });
    }

    /// Stores the record with which a controller of the previous release announces itself.
    pub fn put_old_release(&mut self, node: &str) {
        use glenhaven::storage::{keys, records};
        let value = records::to_value(&records::Release {
            release: records::CURRENT_RELEASE - 1,
            began_ms: 1,
        });
        let key = format!("{}{node}", keys::RELEASES);
        let put = Change::Put {
            key,
            value,
            lease: None,
        };
        self.apply(&Transaction {
            conditions: vec![],
            changes: vec![put],
        });
    }

    /// Writes a value that is malformed for every type of record.
    pub fn put_malformed(&mut self, key: String) {
        let value = Value::Array(vec![Value::Text("what is this?".into()), Value::Null]);
        let put = Change::Put {
            key,
            value,
            lease: None,
        };
        self.apply(&Transaction {
            conditions: vec![],
            changes: vec![put],
        });
    }

    /// Returns the number of the current term; 0 if there is none.
    pub fn term(&self) -> u64 {
        use glenhaven::storage::{keys, records};
        let value = self
            .keys
            .get(keys::TERM)
            .and_then(|e| records::from_value::<records::Term>(&e.value));
        value.map_or(0, |t| t.term)
    }

    /// Returns the leader of the current term.
    pub fn leader(&self) -> Option<String> {
        use glenhaven::storage::{keys, records};
        let entry = self.keys.get(keys::TERM)?;
        records::from_value::<records::Term>(&entry.value).map(|t| t.leader)
    }

    /// Begins or ends an outage. At the end of an outage every lease gets its full duration again.
    pub fn set_unavailable(&mut self, unavailable: bool, now: u64) {
        if self.unavailable && !unavailable {
            for lease in self.leases.values_mut() {
                lease.expires_at = now + lease.ttl;
            }
        }
        self.unavailable = unavailable;
    }

    /// Ends the expired leases and deletes the keys bound to them; does nothing during an outage.
    pub fn expire(&mut self, now: u64) {
        if self.unavailable {
            return;
        }
        let over: BTreeSet<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires_at < now)
            .map(|(id, _)| *id)
            .collect();
        self.leases.retain(|id, _| !over.contains(id));
        let gone: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.lease.is_some_and(|l| over.contains(&l)))
            .map(|(k, _)| k.clone())
            .collect();
        for key in gone {
            self.keys.remove(&key);
            self.revision += 1;
            let version = self.revision;
            self.log.push(WatchEvent::Delete { key, version });
        }
    }

    /// Applies the rate limits to a request with this number of changes. The token buckets hold one
    /// second's worth of requests and of changes.
    ///
    /// # Errors
    ///
    /// Returns `Limited` for a request with changes, and `Refused` for any other.
    pub fn allow(&mut self, writes: f64, now: u64) -> Result<(), StoreResponse> {
        *self.requests_by_second.entry(now / SEC).or_default() += 1;
        let span = (now - self.tokens.2) as f64 / SEC as f64;
        self.tokens.0 = (self.tokens.0 + span * self.rps).min(self.rps);
        self.tokens.1 = (self.tokens.1 + span * self.write_rps).min(self.write_rps);
        self.tokens.2 = now;
        if self.tokens.0 < 1.0 || self.tokens.1 < writes {
            self.refused += 1;
            return Err(if writes > 0.0 {
                StoreResponse::Limited
            } else {
                StoreResponse::Refused
            });
        }
        self.tokens.0 -= 1.0;
        self.tokens.1 -= writes;
        self.changes += writes as u64;
        Ok(())
    }

    fn condition_holds(&self, c: &Condition) -> bool {
        self.keys.get(&c.key).map_or(0, |e| e.version) == c.version
    }

    /// Executes a transaction, and checks its changes against the rules of records.
    pub fn apply(&mut self, txn: &Transaction) -> StoreResponse {
        if let Some(rejection) = self.rejection(txn) {
            return rejection;
        }
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| !self.condition_holds(c))
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return StoreResponse::Conflict {
                failed,
                revision: self.revision,
            };
        }
        if !txn.changes.is_empty() {
            self.revision += 1;
        }
        self.check_rules(txn);
        for change in &txn.changes {
            self.execute(change.clone());
        }
        StoreResponse::Committed {
            revision: self.revision,
        }
    }

    /// Returns the answer to a transaction that is rejected whatever its conditions: one above the
    /// limits, or one that binds a value to a lease that has ended.
    fn rejection(&mut self, txn: &Transaction) -> Option<StoreResponse> {
        let size = json_size(txn);
        let large = txn.changes.iter().any(|c| match c {
            Change::Put { value, .. } => json_size(value) as f64 > self.value_kb * 1024.0,
            Change::Delete { .. } => false,
        });
        if txn.changes.len() > self.txn_ops || txn.conditions.len() > 4 * self.txn_ops || size > 64 * 1024 || large {
            self.problems.push(format!(
                "transaction over the limits: {} changes, {} conditions, {size} bytes",
                txn.changes.len(),
                txn.conditions.len()
            ));
            return Some(StoreResponse::Malformed);
        }
        let lease_is_over = |change: &Change| match change {
            Change::Put { lease: Some(lease), .. } => !self.leases.contains_key(lease),
            _ => false,
        };
        txn.changes.iter().any(lease_is_over).then_some(StoreResponse::NoLease)
    }

    /// Checks what a transaction is about to write against what is stored.
    fn check_rules(&mut self, txn: &Transaction) {
        // A job that the transaction itself records as done counts as done.
        let is_done = |v: &Value| {
            let value = glenhaven::storage::records::from_value::<glenhaven::storage::records::JobValue>(v);
            value.is_some_and(|v| v.phase == glenhaven::protocol::users::Phase::Done)
        };
        let done: Vec<String> = txn
            .changes
            .iter()
            .filter(|c| matches!(c, Change::Put { value, .. } if is_done(value)))
            .map(|c| c.key().to_string())
            .collect();
        for change in &txn.changes {
            if let Change::Put { key, value, .. } = change {
                if self.checks_placements {
                    self.check_placements(key, value, &done);
                }
                self.check_overwrite(key, value, txn);
            }
        }
    }

    /// Makes one change at the current revision.
    fn execute(&mut self, change: Change) {
        let version = self.revision;
        match change {
            Change::Put { key, value, lease } => {
                self.record_acceptances(&key, &value);
                self.log.push(WatchEvent::Put {
                    key: key.clone(),
                    value: value.clone(),
                    version,
                });
                self.keys.insert(key, Entry { value, version, lease });
            }
            Change::Delete { key } => {
                if self.keys.remove(&key).is_some() {
                    self.log.push(WatchEvent::Delete { key, version });
                }
            }
        }
    }

    fn record_acceptances(&mut self, key: &str, value: &Value) {
        use glenhaven::storage::{keys, records};
        if keys::parse_acceptance_page(key).is_some() {
            let page = records::from_value::<records::AcceptancePage>(value).unwrap_or_default();
            self.accepted.extend(page.jobs.into_iter().map(|spec| spec.id));
        }
    }

    /// Checks a write against the value that it replaces. A final phase never changes. The
    /// acceptance of an open job is not overwritten. A segment of the write-ahead log only replaces
    /// one with a lower sequence number, and is written in the current term.
    fn check_overwrite(&mut self, key: &str, value: &Value, txn: &Transaction) {
        use glenhaven::storage::{keys, records};
        let before = self.keys.get(key).map(|e| &e.value);
        if keys::parse_segment(key).is_some() {
            let Some(page) = records::from_value::<records::Segment>(value) else {
                return;
            };
            let old = before.and_then(records::from_value::<records::Segment>);
            if old.is_some_and(|old| old.seq >= page.seq) {
                self.problems
                    .push(format!("log segment {key} was overwritten by an older one"));
            }
            if page.term != self.term() {
                self.problems.push(format!(
                    "log segment {key} was written in term {}, which is not the current one",
                    page.term
                ));
            }
        } else if keys::parse_acceptance_page(key).is_some() {
            let jobs = |v: &Value| {
                records::from_value::<records::AcceptancePage>(v)
                    .unwrap_or_default()
                    .jobs
            };
            let stay: BTreeSet<String> = jobs(value).into_iter().map(|spec| spec.id).collect();
            for spec in before.map(jobs).unwrap_or_default() {
                let own = keys::job(&spec.id);
                let ends = txn.changes.iter().any(|c| c.key() == own);
                if !stay.contains(&spec.id) && !ends && !self.keys.contains_key(&own) {
                    self.problems.push(format!(
                        "the acceptance of {} was overwritten, but the job is open",
                        spec.id
                    ));
                }
            }
        } else if key.starts_with(keys::JOBS) {
            let phase = |v: &Value| records::from_value::<records::JobValue>(v).map(|v| v.phase);
            let old = before.and_then(phase).filter(|p| p.is_final());
            if old.is_some() && old != phase(value) {
                self.problems
                    .push(format!("{key} was {old:?} and is {:?} now", phase(value)));
            }
        }
    }

    /// Checks the placements that a segment of the write-ahead log adds. Their job must be open and
    /// accepted, and all jobs on which it depends must be recorded as done, or be recorded so by
    /// the same transaction, whose keys of jobs that become done are in `ends`.
    fn check_placements(&mut self, key: &str, value: &Value, ends: &[String]) {
        use glenhaven::storage::{keys, records};
        if keys::parse_segment(key).is_none() {
            return;
        }
        let rows = |v: &Value| -> Vec<(String, u32, u64)> {
            let page = records::from_value::<records::Segment>(v).unwrap_or_default();
            let mut rows = vec![];
            for entry in page.entries {
                if let records::Entry::TaskRangeRecord(p) = entry {
                    rows.extend(p.placements.iter().map(|r| (p.job.clone(), r.0, r.1)));
                }
            }
            rows
        };
        let new = rows(value);
        if new.is_empty() {
            return;
        }
        let segments = self
            .keys
            .range(keys::LOG_SEGMENTS.to_string()..)
            .take_while(|(k, _)| k.starts_with(keys::LOG_SEGMENTS));
        let before: std::collections::BTreeSet<_> = segments.flat_map(|(_, e)| rows(&e.value)).collect();
        for row in new.iter().filter(|r| !before.contains(*r)) {
            let phase = self
                .keys
                .get(&keys::job(&row.0))
                .and_then(|e| records::from_value::<records::JobValue>(&e.value))
                .map(|v| v.phase);
            let pages = self
                .keys
                .range(keys::ACCEPTANCE_PAGES.to_string()..)
                .take_while(|(k, _)| k.starts_with(keys::ACCEPTANCE_PAGES));
            let mut accepted = pages.filter_map(|(_, e)| records::from_value::<records::AcceptancePage>(&e.value));
            let named = accepted.find_map(|page| page.jobs.into_iter().find(|spec| spec.id == row.0));
            for dependency in named.iter().flat_map(|spec| &spec.dependencies) {
                let key = keys::job(dependency);
                let value = self.keys.get(&key).map(|e| &e.value);
                let done = value
                    .and_then(records::from_value::<records::JobValue>)
                    .map(|v| v.phase);
                if done != Some(glenhaven::protocol::users::Phase::Done) && !ends.contains(&key) {
                    self.problems.push(format!(
                        "a start of {} was recorded, but {dependency} is {done:?}",
                        row.0
                    ));
                }
            }
            let named = named.is_some();
            let inherited = phase == Some(glenhaven::protocol::users::Phase::Pending);
            if !inherited && (phase.is_some() || !named) {
                self.problems
                    .push(format!("a start was recorded for {}, which is {phase:?}", row.0));
            }
        }
    }

    /// Executes a request and returns its answer. A watch that waits is answered as malformed: the
    /// caller has to serve it, by `has_events_since` and `events_since`.
    pub fn answer(&mut self, request: &StoreRequest, now: u64) -> StoreResponse {
        match request {
            StoreRequest::Get { key } => match self.keys.get(key) {
                Some(e) => StoreResponse::Row(Row {
                    key: key.clone(),
                    value: e.value.clone(),
                    version: e.version,
                }),
                None => StoreResponse::Missing {
                    revision: self.revision,
                },
            },
            StoreRequest::List { prefix, after } => self.list(prefix, after),
            StoreRequest::Transaction(txn) => self.apply(txn),
            StoreRequest::Grant { ttl_ms } => {
                self.revision += 1;
                let id = self.revision;
                let ttl = ttl_ms * MS;
                self.leases.insert(
                    id,
                    Lease {
                        ttl,
                        expires_at: now + ttl,
                    },
                );
                StoreResponse::Lease(id)
            }
            StoreRequest::Renew { lease } => match self.leases.get_mut(lease) {
                Some(l) => {
                    l.expires_at = now + l.ttl;
                    StoreResponse::Lease(*lease)
                }
                None => StoreResponse::NoLease,
            },
            StoreRequest::Drop { lease } => match self.leases.get_mut(lease) {
                Some(l) => {
                    l.expires_at = 0;
                    self.expire(now);
                    StoreResponse::Lease(*lease)
                }
                None => StoreResponse::NoLease,
            },
            StoreRequest::Watch {
                prefix,
                after,
                wait_ms: 0,
            } => self.changes_or_compacted(prefix, *after),
            StoreRequest::Watch { .. } => StoreResponse::Malformed,
        }
    }

    /// Returns a page of the keys with this prefix after a key.
    fn list(&self, prefix: &str, after: &str) -> StoreResponse {
        let rows: Vec<Row> = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after)
            .map(|(k, e)| Row {
                key: k.clone(),
                value: e.value.clone(),
                version: e.version,
            })
            .collect();
        let more = rows.len() > self.page_size;
        StoreResponse::Rows(Rows {
            items: rows.into_iter().take(self.page_size).collect(),
            more,
            revision: self.revision,
        })
    }

    /// Returns the answer to a watch from this revision that waits no longer.
    pub fn changes_or_compacted(&self, prefix: &str, after: u64) -> StoreResponse {
        if self.is_compacted(after) {
            return StoreResponse::Compacted;
        }
        StoreResponse::Events(self.events_since(prefix, after))
    }

    /// Removes all but the latest `most` changes from the log; see `is_compacted`.
    pub fn compact(&mut self, most: usize) {
        let over = self.log.len().saturating_sub(most);
        if let Some(last) = over.checked_sub(1) {
            self.compacted = event_version(&self.log[last]);
            self.log.drain(..over);
        }
    }

    /// Returns whether changes after this revision were removed from the log, so that a watch from
    /// it must be refused.
    pub fn is_compacted(&self, after: u64) -> bool {
        after < self.compacted
    }

    /// Returns whether a key with this prefix has changed since a revision.
    pub fn has_events_since(&self, prefix: &str, after: u64) -> bool {
        self.changes_since(after).any(|e| event_key(e).starts_with(prefix))
    }

    /// Returns the changes of keys with this prefix since a revision, oldest first.
    pub fn events_since(&self, prefix: &str, after: u64) -> WatchEvents {
        let of_prefix = self.changes_since(after).filter(|e| event_key(e).starts_with(prefix));
        let mut events: Vec<WatchEvent> = of_prefix.cloned().collect();
        events.reverse();
        WatchEvents {
            revision: self.revision,
            events,
        }
    }

    /// Returns the changes since a revision, latest first.
    fn changes_since(&self, after: u64) -> impl Iterator<Item = &WatchEvent> {
        self.log.iter().rev().take_while(move |e| event_version(e) > after)
    }
}

fn event_version(e: &WatchEvent) -> u64 {
    match e {
        WatchEvent::Put { version, .. } | WatchEvent::Delete { version, .. } => *version,
    }
}

fn event_key(e: &WatchEvent) -> &str {
    match e {
        WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. } => key,
    }
}
