//! Fixtures of the tests through real sockets: a minimal HTTP client and server, a fake state
//! service and cloud, and child processes that are killed at the end of a test.
#![allow(dead_code)]
// A test runs one scenario from beginning to end.
#![allow(clippy::too_many_lines)]

use async_io::{Async, Timer};
use ciborium::{cbor, Value};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::process::Child;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub(crate) fn encode(value: &Value) -> Vec<u8> {
    let mut out = vec![];
    ciborium::into_writer(value, &mut out).unwrap();
    out
}

pub(crate) fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    value
        .as_map()?
        .iter()
        .find(|(k, _)| k.as_text() == Some(name))
        .map(|(_, v)| v)
}

pub(crate) fn text(value: &Value, name: &str) -> Option<String> {
    field(value, name)?.as_text().map(str::to_string)
}

pub(crate) fn number(value: &Value, name: &str) -> Option<u64> {
    field(value, name)?.as_integer().and_then(|i| u64::try_from(i).ok())
}

/// Reads one HTTP message, and returns its start line with the headers, and its body.
pub(crate) async fn read_message(stream: &mut Async<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut data = vec![];
    let mut buf = [0u8; 4096];
    let head = loop {
        if let Some(i) = data.windows(4).position(|w| w == b"\r\n\r\n") {
            break i;
        }
        let n = stream.read(&mut buf).await.ok()?;
        if n == 0 {
            return None;
        }
        data.extend_from_slice(&buf[..n]);
    };
    let headers = String::from_utf8_lossy(&data[..head]).to_string();
    let length = headers
        .lines()
        .filter_map(|l| l.split_once(':'))
        .find(|(k, _)| k.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, v)| v.trim().parse().unwrap_or(0));
    let mut body = data.split_off(head + 4);
    while body.len() < length {
        let n = stream.read(&mut buf).await.ok()?;
        if n == 0 {
            return None;
        }
        body.extend_from_slice(&buf[..n]);
    }
    Some((headers, body))
}

/// The content of the fake state service.
#[derive(Default)]
pub(crate) struct Store {
    /// Values and the revisions at which they were written, by key.
    pub keys: BTreeMap<String, (Value, u64)>,
    pub revision: u64,
    /// Duration and end of each lease, by lease ID.
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// The lease that each attached key belongs to.
    attached: BTreeMap<String, u64>,
    /// Keys removed because their lease ended, and the revisions of their removal.
    deleted: Vec<(String, u64)>,
}

impl Store {
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| now < *until);
        let gone: Vec<String> = self
            .attached
            .iter()
            .filter(|(_, lease)| !self.leases.contains_key(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.attached.remove(&key);
            self.keys.remove(&key);
            self.revision += 1;
            self.deleted.push((key, self.revision));
        }
    }

    /// Executes a request, given by its start line and body, and returns status and body.
    pub(crate) fn answer(&mut self, line: &str, body: &[u8]) -> (u16, Value) {
        self.expire();
        let mut words = line.split_whitespace();
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let prefix = path
            .split("prefix=")
            .nth(1)
            .map(|p| p.split('&').next().unwrap_or("").to_string());
        let rows = |store: &Store| -> Vec<Value> {
            store
                .keys
                .iter()
                .filter(|(k, _)| k.starts_with(prefix.as_deref().unwrap_or("")))
                .map(|(k, (v, s))| cbor!({"key" => k, "value" => v, "stamp" => s}).unwrap())
                .collect()
        };
        let revision = self.revision;
        if method == "GET" && path.starts_with("/kv?") {
            return (
                200,
                cbor!({"rows" => rows(self), "truncated" => false, "epoch" => revision}).unwrap(),
            );
        }
        if method == "GET" && path.starts_with("/follow") {
            let after: u64 = path
                .split("after=")
                .nth(1)
                .unwrap()
                .split('&')
                .next()
                .unwrap()
                .parse()
                .unwrap();
            let within = |k: &String, s: u64| k.starts_with(prefix.as_deref().unwrap_or("")) && s > after;
            let puts = self.keys.iter().filter(|(k, (_, s))| within(k, *s));
            let puts = puts.map(|(k, (v, s))| (*s, cbor!({"put" => k, "value" => v, "stamp" => s}).unwrap()));
            let deletes = self.deleted.iter().filter(|(k, s)| within(k, *s));
            let deletes = deletes.map(|(k, s)| (*s, cbor!({"delete" => k, "stamp" => s}).unwrap()));
            let mut events: Vec<(u64, Value)> = puts.chain(deletes).collect();
            events.sort_by_key(|n| n.0);
            let events: Vec<Value> = events.into_iter().map(|n| n.1).collect();
            return (200, cbor!({"epoch" => revision, "news" => events}).unwrap());
        }
        if let Some(key) = path.strip_prefix("/kv/") {
            return match self.keys.get(key) {
                Some((v, s)) => (200, cbor!({"key" => key, "value" => v, "stamp" => s}).unwrap()),
                None => (404, cbor!({"epoch" => revision}).unwrap()),
            };
        }
        if path == "/holds" {
            let grant: Value = ciborium::from_reader(body).unwrap();
            let life = Duration::from_millis(number(&grant, "life_ms").unwrap_or(1000));
            self.revision += 1;
            self.leases.insert(self.revision, (life, Instant::now() + life));
            return (200, cbor!({"grant" => self.revision}).unwrap());
        }
        if let Some(rest) = path.strip_prefix("/holds/") {
            let lease = rest.split('/').next().and_then(|l| l.parse().ok()).unwrap_or(0u64);
            let Some((life, until)) = self.leases.get_mut(&lease) else {
                return (404, Value::Null);
            };
            *until = Instant::now() + if method == "DELETE" { Duration::ZERO } else { *life };
            return (200, cbor!({"grant" => lease}).unwrap());
        }
        let txn: Value = ciborium::from_reader(body).unwrap();
        let empty = vec![];
        let list = |name: &str| {
            field(&txn, name)
                .and_then(Value::as_array)
                .cloned()
                .unwrap_or(empty.clone())
        };
        let failed: Vec<String> = list("when")
            .iter()
            .filter_map(|c| {
                let key = text(c, "key")?;
                let have = self.keys.get(&key).map_or(0, |k| k.1);
                (number(c, "stamp") != Some(have)).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return (409, cbor!({"failed" => failed, "epoch" => revision}).unwrap());
        }
        if !list("apply").is_empty() {
            self.revision += 1;
        }
        for change in list("apply") {
            if let Some(key) = text(&change, "put") {
                match number(&change, "grant") {
                    Some(lease) => self.attached.insert(key.clone(), lease),
                    None => self.attached.remove(&key),
                };
                self.keys
                    .insert(key, (field(&change, "value").unwrap().clone(), self.revision));
            } else if let Some(key) = text(&change, "delete") {
                self.keys.remove(&key);
            }
        }
        (200, cbor!({"epoch" => self.revision}).unwrap())
    }
}

/// Serves HTTP requests with the given handler, which gets the head and body of each. Answers to
/// watches are delayed by 20 ms.
pub(crate) async fn serve(
    listener: Async<TcpListener>,
    answer: impl Fn(&str, &[u8]) -> (u16, Value) + Send + Sync + 'static,
) {
    let ex = async_executor::LocalExecutor::new();
    let answer = &answer;
    ex.run(async {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            ex.spawn(async move {
                while let Some((head, body)) = read_message(&mut stream).await {
                    if head.starts_with("GET /follow") {
                        Timer::after(Duration::from_millis(20)).await;
                    }
                    let (status, value) = answer(&head, &body);
                    let body = encode(&value);
                    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n", body.len());
                    let mut out = head.into_bytes();
                    out.extend_from_slice(&body);
                    if stream.write_all(&out).await.is_err() {
                        return;
                    }
                }
            })
            .detach();
        }
    })
    .await
}

/// First port for processes under test. The range lies below the ephemeral ports: an outgoing
/// connection could otherwise take a port between its choice and the start of the process.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 18_000;

/// Number of ports that this process has tried.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns a port on which nothing listens and that this process has not returned before.
pub(crate) fn free_port() -> u16 {
    let first = std::process::id().wrapping_mul(97);
    loop {
        let number = first.wrapping_add(PORTS_TRIED.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST_PORT + number % PORT_COUNT).unwrap();
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A child process that is killed on drop.
pub(crate) struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

/// Sends raw bytes to a new connection, and returns status, lower-case head and body of the
/// answer; `None` if no whole answer arrives within 8 s.
pub(crate) async fn send_raw(port: u16, request: Vec<u8>) -> Option<(u16, String, Vec<u8>)> {
    let exchange = async {
        let mut stream = Async::<TcpStream>::connect(([127, 0, 0, 1], port)).await.ok()?;
        stream.write_all(&request).await.ok()?;
        let (head, body) = read_message(&mut stream).await?;
        let status = head.split_whitespace().nth(1)?.parse().ok()?;
        Some((status, head.to_ascii_lowercase(), body))
    };
    let timeout = async {
        Timer::after(Duration::from_secs(8)).await;
        None
    };
    exchange.or(timeout).await
}

/// Sends a request and returns the answer's status and decoded body, `Null` if the body is not
/// CBOR.
///
/// # Panics
///
/// Panics if there is no answer.
pub(crate) async fn send_request(port: u16, method: &str, path: &str, body: Vec<u8>) -> (u16, Value) {
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    request.extend_from_slice(&body);
    let (status, _, body) = send_raw(port, request).await.expect("an answer");
    (status, ciborium::from_reader(&body[..]).unwrap_or(Value::Null))
}

/// Returns the submission of a job.
pub(crate) fn job(id: &str, pieces: u64, cores: f64) -> Value {
    cbor!({
        "ref" => id, "jobclass" => "train", "owner" => "blue", "shape" => "array", "rank" => "standard",
        "pieces" => pieces, "cores" => cores, "cards" => 0.0, "mem_gb" => 2.0, "bundle" => "img", "size_gb" => 1.0,
        "flavors" => null, "yard" => null, "together" => false, "apart" => false, "reclaimable" => false,
        "expected_s" => 5.0, "snapshot_every_s" => 0.0, "snapshot_cost_s" => 0.0, "due_s" => null
    })
    .unwrap()
}

/// Returns the map with one field set.
pub(crate) fn with_field(mut value: Value, name: &str, new: Value) -> Value {
    if let Value::Map(map) = &mut value {
        map.retain(|(k, _)| k.as_text() != Some(name));
        map.push((Value::Text(name.into()), new));
    }
    value
}

/// Returns the map without one field.
pub(crate) fn without_field(mut value: Value, name: &str) -> Value {
    if let Value::Map(map) = &mut value {
        map.retain(|(k, _)| k.as_text() != Some(name));
    }
    value
}

/// Starts a fake state service and a fake cloud on loopback. The cloud has one machine type and
/// no capacity. Returns the content of the state service and the ports of both.
pub(crate) fn start_fake_services(cores: f64, boot_s: f64) -> (Arc<Mutex<Store>>, u16, u16) {
    let listen = || Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let (state, cloud) = (listen(), listen());
    let port = |l: &Async<TcpListener>| l.get_ref().local_addr().unwrap().port();
    let ports = (port(&state), port(&cloud));
    let store = Arc::new(Mutex::new(Store::default()));
    let state_store = store.clone();
    std::thread::spawn(move || {
        future::block_on(serve(state, move |head, body| {
            state_store.lock().unwrap().answer(head, body)
        }))
    });
    std::thread::spawn(move || {
        future::block_on(serve(cloud, move |head, _| {
            let kind =
                cbor!({"label" => "m", "cores" => cores, "cards" => 0, "mem_gb" => cores * 4.0, "cache_gb" => 50,
                "fetch_gb_per_s" => 1.0, "price" => 1.0, "market_price" => 0.4, "boot_s" => boot_s, "yards" => ["a"]})
                .unwrap();
            if head.starts_with("GET /catalog") {
                (200, cbor!({"flavors" => [kind]}).unwrap())
            } else if head.starts_with("GET") {
                (200, cbor!({"hosts" => [], "truncated" => false}).unwrap())
            } else if head.starts_with("POST /machines/release") {
                (200, cbor!({}).unwrap())
            } else {
                (503, cbor!({"error" => "no capacity"}).unwrap())
            }
        }))
    });
    (store, ports.0, ports.1)
}

/// Returns the settings of a cluster of one controller, given its ports and those of its services.
pub(crate) fn single_node_settings(public: u16, peer: u16, state: u16, cloud: u16) -> String {
    format!(
        r#"
node = "worker-0"
zone = "a"
public_addr = "127.0.0.1:{public}"
peer_bind = "127.0.0.1:{peer}"
something_new = true
[services]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"
[params]
size = 1
[[params.teams]]
name = "blue"
cpus_max = 20.0
[params.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[params.state]
rps = 200.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 24
[params.cloud]
rps = 8.0
list_lag_s = 1.0
[params.resources]
cpu = 0.2
mem_mb = 100.0
sockets = 100
"#
    )
}

/// Waits until the controller with this public port is ready.
pub(crate) async fn wait_until_ready(public: u16) {
    let began = Instant::now();
    while !matches!(
        send_raw(public, b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n".to_vec()).await,
        Some((200, _, _))
    ) {
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "the controller never became ready"
        );
        Timer::after(Duration::from_millis(50)).await;
    }
}
