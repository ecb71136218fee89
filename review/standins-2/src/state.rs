//! The state service. Each controller has an address of its own, so that a single one can be refused.

use crate::http::{serve, Reply, Request};
use crate::util::{field, int, int_field, json_size, list_field, map, text, text_field};
use ciborium::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Changes that are kept for watches.
const KEPT_CHANGES: usize = 10_000;

/// The limits that the settings name.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Row {
    value: Value,
    stamp: u64,
    grant: Option<u64>,
}

struct Content {
    rows: BTreeMap<String, Row>,
    epoch: u64,
    /// Changes: revision, key, and the new value unless the key was deleted.
    news: Vec<(u64, String, Option<Value>)>,
    forgotten: u64,
    holds: BTreeMap<u64, (Duration, Instant)>,
    last_grant: u64,
    outage: bool,
    refused: Vec<bool>,
    tokens: (f64, f64, Instant),
}

/// The state service.
pub struct State {
    content: Mutex<Content>,
    changed: Condvar,
    limits: Limits,
}

fn epoch(n: u64) -> Value {
    map(vec![("epoch", int(n))])
}

fn error(why: &str) -> Value {
    map(vec![("error", text(why))])
}

impl State {
    /// Starts the service and returns it with its address for each controller.
    pub fn start(nodes: usize, limits: Limits) -> (Arc<State>, Vec<SocketAddr>) {
        let state = Arc::new(State {
            content: Mutex::new(Content {
                rows: BTreeMap::new(),
                epoch: 1,
                news: vec![],
                forgotten: 0,
                holds: BTreeMap::new(),
                last_grant: 0,
                outage: false,
                refused: vec![false; nodes],
                tokens: (limits.rps, limits.write_rps, Instant::now()),
            }),
            changed: Condvar::new(),
            limits,
        });
        let ticking = state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            ticking.expire();
        });
        let serve_node = |node: usize| {
            let state = state.clone();
            serve(move |request| state.answer(node, request))
        };
        let addresses = (0..nodes).map(serve_node).collect();
        (state, addresses)
    }

    /// Begins or ends an outage, after which every lease has its full time again.
    pub fn set_outage(&self, on: bool) {
        let mut content = self.content.lock().unwrap();
        if content.outage && !on {
            for (life, until) in content.holds.values_mut() {
                *until = Instant::now() + *life;
            }
        }
        content.outage = on;
        self.changed.notify_all();
    }

    /// Begins or ends to refuse one controller, whose open watches then wait.
    pub fn refuse(&self, node: usize, on: bool) {
        self.content.lock().unwrap().refused[node] = on;
        self.changed.notify_all();
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.content.lock().unwrap().rows.get(key).map(|r| r.value.clone())
    }

    fn expire(&self) {
        let mut content = self.content.lock().unwrap();
        if content.outage {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> = content
            .holds
            .iter()
            .filter(|(_, (_, until))| *until < now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            content.end_hold(id);
            self.changed.notify_all();
        }
    }

    fn answer(&self, node: usize, request: Request) -> Reply {
        let path = request.plain_path();
        if request.method == "GET" && path == "/follow" {
            return self.follow(node, &request);
        }
        let mut content = self.content.lock().unwrap();
        if content.outage || content.refused[node] {
            return Reply::Answer(503, error("trouble"));
        }
        let changes = if path == "/txn" {
            list_field(&request.value(), "apply").len()
        } else {
            0
        };
        if !content.allow(&self.limits, changes as f64) {
            return Reply::Answer(429, error("too many requests"));
        }
        let (status, body) = match (request.method.as_str(), path.as_str()) {
            ("GET", "/kv") => content.list(&request),
            ("GET", _) => content.get(path.strip_prefix("/kv/").unwrap_or("")),
            ("POST", "/txn") => content.transaction(&request.value(), &self.limits),
            ("POST", "/holds") => content.grant(&request.value()),
            (method, _) => content.on_hold(method, &path),
        };
        self.changed.notify_all();
        Reply::Answer(status, body)
    }

    fn follow(&self, node: usize, request: &Request) -> Reply {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (after, until) = (
            number("after"),
            Instant::now() + Duration::from_millis(number("wait_ms").min(60_000)),
        );
        let mut content = self.content.lock().unwrap();
        if content.outage || content.refused[node] {
            return Reply::Answer(503, error("trouble"));
        }
        if !content.allow(&self.limits, 0.0) {
            return Reply::Answer(429, error("too many requests"));
        }
        loop {
            let blocked = content.outage || content.refused[node];
            if !blocked && after < content.forgotten {
                return Reply::Answer(410, error("too old"));
            }
            if !blocked {
                let news = content.news_after(&prefix, after);
                if !news.is_empty() || Instant::now() >= until {
                    let body = map(vec![("epoch", int(content.epoch)), ("news", Value::Array(news))]);
                    return Reply::Answer(200, body);
                }
            }
            let left = until
                .saturating_duration_since(Instant::now())
                .max(Duration::from_millis(20));
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

impl Content {
    fn allow(&mut self, limits: &Limits, changes: f64) -> bool {
        let now = Instant::now();
        let span = now.duration_since(self.tokens.2).as_secs_f64();
        let requests = (self.tokens.0 + span * limits.rps).min(limits.rps);
        let writes = (self.tokens.1 + span * limits.write_rps).min(limits.write_rps);
        let allowed = requests >= 1.0 && writes >= changes;
        let (taken, written) = if allowed { (1.0, changes) } else { (0.0, 0.0) };
        self.tokens = (requests - taken, writes - written, now);
        allowed
    }

    fn news_after(&self, prefix: &str, after: u64) -> Vec<Value> {
        let first = self.news.partition_point(|(at, ..)| *at <= after);
        let matching = self.news[first..].iter().filter(|(_, key, _)| key.starts_with(prefix));
        let event = |(at, key, value): &(u64, String, Option<Value>)| match value {
            Some(v) => map(vec![("put", text(key)), ("value", v.clone()), ("stamp", int(*at))]),
            None => map(vec![("delete", text(key)), ("stamp", int(*at))]),
        };
        matching.map(event).collect()
    }

    fn get(&self, key: &str) -> (u16, Value) {
        match self.rows.get(key) {
            Some(r) => {
                let mut entries = vec![("key", text(key)), ("value", r.value.clone()), ("stamp", int(r.stamp))];
                entries.extend(r.grant.map(|g| ("grant", int(g))));
                (200, map(entries))
            }
            None => (404, epoch(self.epoch)),
        }
    }

    fn list(&self, request: &Request) -> (u16, Value) {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let most = request
            .query("most")
            .and_then(|m| m.parse().ok())
            .unwrap_or(1000usize)
            .min(1000);
        let (mut rows, mut bytes, mut truncated) = (vec![], 0, false);
        for (key, r) in self.rows.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after) {
            let row = map(vec![
                ("key", text(key)),
                ("value", r.value.clone()),
                ("stamp", int(r.stamp)),
            ]);
            bytes += json_size(&row);
            if rows.len() >= most || bytes > 512 * 1024 {
                truncated = true;
                break;
            }
            rows.push(row);
        }
        let body = map(vec![
            ("rows", Value::Array(rows)),
            ("truncated", Value::Bool(truncated)),
            ("epoch", int(self.epoch)),
        ]);
        (200, body)
    }

    fn transaction(&mut self, txn: &Value, limits: &Limits) -> (u16, Value) {
        let (when, apply) = (list_field(txn, "when"), list_field(txn, "apply"));
        let large = apply
            .iter()
            .filter_map(|c| field(c, "value"))
            .any(|v| json_size(v) as f64 > limits.value_kb * 1024.0);
        if apply.len() > limits.txn_ops || when.len() > 4 * limits.txn_ops || large || json_size(txn) > 64 * 1024 {
            return (400, error("over the limits"));
        }
        let grants = apply.iter().filter_map(|c| int_field(c, "grant"));
        if grants.into_iter().any(|g| !self.holds.contains_key(&g)) {
            return (400, error("no such lease"));
        }
        let stamp_of = |key: &str| self.rows.get(key).map_or(0, |r| r.stamp);
        let fails =
            |c: &&Value| stamp_of(&text_field(c, "key").unwrap_or_default()) != int_field(c, "stamp").unwrap_or(0);
        let failed: Vec<Value> = when
            .iter()
            .filter(fails)
            .filter_map(|c| field(c, "key").cloned())
            .collect();
        if !failed.is_empty() {
            return (
                409,
                map(vec![("failed", Value::Array(failed)), ("epoch", int(self.epoch))]),
            );
        }
        if !apply.is_empty() {
            self.epoch += 1;
        }
        for change in &apply {
            if let (Some(key), Some(value)) = (text_field(change, "put"), field(change, "value")) {
                let row = Row {
                    value: value.clone(),
                    stamp: self.epoch,
                    grant: int_field(change, "grant"),
                };
                self.rows.insert(key.clone(), row);
                self.note(key, Some(value.clone()));
            } else if let Some(key) = text_field(change, "delete") {
                if self.rows.remove(&key).is_some() {
                    self.note(key, None);
                }
            }
        }
        (200, epoch(self.epoch))
    }

    fn note(&mut self, key: String, value: Option<Value>) {
        self.news.push((self.epoch, key, value));
        if self.news.len() > KEPT_CHANGES + 1000 {
            let over = self.news.len() - KEPT_CHANGES;
            self.forgotten = self.news[over - 1].0;
            self.news.drain(..over);
        }
    }

    fn grant(&mut self, body: &Value) -> (u16, Value) {
        let life = Duration::from_millis(int_field(body, "life_ms").unwrap_or(1000).clamp(100, 600_000));
        self.last_grant += 1;
        let id = self.last_grant;
        self.holds.insert(id, (life, Instant::now() + life));
        (200, map(vec![("grant", int(id))]))
    }

    fn on_hold(&mut self, method: &str, path: &str) -> (u16, Value) {
        let mut parts = path.trim_start_matches("/holds/").split('/');
        let id = parts.next().and_then(|i| i.parse::<u64>().ok()).unwrap_or(0);
        let Some((life, until)) = self.holds.get_mut(&id) else {
            return (404, error("no such lease"));
        };
        if method == "DELETE" {
            self.end_hold(id);
        } else {
            *until = Instant::now() + *life;
        }
        (200, map(vec![("grant", int(id))]))
    }

    /// Ends a lease, and deletes the keys that are attached to it.
    fn end_hold(&mut self, id: u64) {
        self.holds.remove(&id);
        let attached: Vec<String> = self
            .rows
            .iter()
            .filter(|(_, r)| r.grant == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in attached {
            self.rows.remove(&key);
            self.epoch += 1;
            self.note(key, None);
        }
    }
}
