//! Compatibility tests between the version in production and this one: golden bytes that
//! production wrote, and real processes of both versions in one cluster.
//!
//! `deploy/service.toml` names production's commit. If the checkout's history lacks that commit,
//! the test with real processes fails with a message that names it.
// A test runs one scenario from beginning to end.
#![allow(clippy::too_many_lines)]

mod net;

use async_io::Timer;
use ciborium::{cbor, Value};
use futures_lite::future;
use glenhaven::protocol::agents::{
    AgentCommand, Cause, Heartbeat, HeartbeatResponse, PushResult, PushedCommands, TaskPhase, TaskStatus,
};
use glenhaven::protocol::peer::{ForwardedBody, PeerMessage, Progress};
use glenhaven::protocol::to_cbor;
use glenhaven::protocol::users::JobSpec;
use glenhaven::storage::records::{
    from_record, from_value, to_record, to_value, AcceptancePage, JobValue, ProxiedMachines, Segment, Term,
};
use net::*;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

include!("golden/messages.rs");

fn decode_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap())
        .collect()
}

/// Each message between controllers is encoded to the same bytes as in production.
#[test]
fn messages_are_those_of_production() {
    let golden: Vec<Vec<u8>> = include_str!("golden/messages.hex").lines().map(decode_hex).collect();
    let all = messages();
    assert_eq!(golden.len(), all.len());
    for (bytes, message) in golden.iter().zip(&all) {
        assert_eq!(bitcode::decode::<PeerMessage>(bytes).ok().as_ref(), Some(message));
        assert_eq!(&bitcode::encode(message), bytes, "{message:?}");
    }
}

/// Each record that production wrote can be read and is written back byte for byte.
#[test]
fn records_are_those_of_production() {
    for line in include_str!("golden/records.hex").lines() {
        let (kind, hex) = line.split_once(' ').unwrap();
        let bytes = decode_hex(hex);
        let value: Value = ciborium::from_reader(&bytes[..]).unwrap();
        let rewritten = match kind {
            "term" => to_value(&from_value::<Term>(&value).unwrap()),
            "accepted" => to_value(&from_value::<AcceptancePage>(&value).unwrap()),
            "job" => to_value(&from_value::<JobValue>(&value).unwrap()),
            "care" => to_value(&from_value::<ProxiedMachines>(&value).unwrap()),
            "page" => to_value(&from_value::<Segment>(&value).unwrap()),
            other => panic!("{other}"),
        };
        assert_eq!(to_cbor(&rewritten), bytes, "{kind}");
    }
}

fn spec_with_dependency() -> JobSpec {
    let mut spec: AcceptancePage = serde_json::from_str(
        r#"{"a":[{"ref":"run-000500","jobclass":"train","owner":"vision","shape":"array","rank":"urgent","pieces":16,
        "cores":8.0,"cards":1.0,"mem_gb":64.0,"bundle":"img-07","size_gb":6.2,"flavors":["g8"],"yard":null,
        "together":false,"apart":false,"reclaimable":true,"expected_s":240.0,"snapshot_every_s":0.0,
        "snapshot_cost_s":0.0,"due_s":900.0,"waits_on":["run-000412"]}]}"#,
    )
    .unwrap();
    spec.jobs.remove(0)
}

/// Production starts no task of a job with dependencies, which it doesn't support.
///
/// The record of such a job is the golden one, which production reads as a job that allows no
/// machine type. The record that production then writes itself is not read as a job that allows
/// every type.
#[test]
fn production_starts_no_job_that_names_others() {
    let record = AcceptancePage {
        jobs: vec![to_record(&spec_with_dependency(), 1_700_000_000_000, 2000).unwrap()],
    };
    let bytes = to_cbor(&to_value(&record));
    if std::env::var_os("GOLDEN").is_some() {
        let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
        std::fs::write("tests/golden/chained.hex", hex + "\n").unwrap();
    }
    assert_eq!(decode_hex(include_str!("golden/chained.hex").trim()), bytes);
    let read = from_record(record.jobs[0].clone());
    assert_eq!(read, Some((spec_with_dependency(), 1_700_000_000_000)));
    let production: AcceptancePage = serde_json::from_str(include_str!("golden/chained.production.json")).unwrap();
    assert_eq!(production.jobs[0].machine_types, Some(vec![]));
    assert_eq!(from_record(production.jobs[0].clone()), None);
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Builds the version in production from the git history, once per commit, and returns the path of
/// its binary.
fn build_production() -> PathBuf {
    let deploy = include_str!("../deploy/service.toml");
    let line = deploy
        .lines()
        .find(|l| l.starts_with("production"))
        .expect("no production version is named");
    let commit = line.split('"').nth(1).expect("a commit");
    let dir = root().join("target/production").join(commit);
    let bin = dir.join("target/release/glenhaven");
    if bin.exists() {
        return bin;
    }
    std::fs::create_dir_all(&dir).unwrap();
    let archive = Command::new("git")
        .current_dir(root())
        .args(["archive", "--format=tar", "-o"])
        .arg(dir.join("source.tar"))
        .arg(commit)
        .status();
    assert!(
        archive.is_ok_and(|s| s.success()),
        "this checkout's history lacks the version in production, {commit}"
    );
    let unpacked = Command::new("tar")
        .current_dir(&dir)
        .args(["xf", "source.tar"])
        .status();
    assert!(
        unpacked.is_ok_and(|s| s.success()),
        "the source of {commit} can't be unpacked"
    );
    // The build uses a target folder of its own, outside this workspace.
    let built = Command::new(env!("CARGO"))
        .current_dir(&dir)
        .args(["build", "--release", "--locked", "--target-dir", "target"])
        .stderr(Stdio::null())
        .status();
    assert!(
        built.is_ok_and(|s| s.success()),
        "the version in production, {commit}, doesn't build"
    );
    bin
}

/// A cluster of three controllers on loopback.
struct Controllers {
    dir: PathBuf,
    public: Vec<u16>,
    running: Vec<Option<Process>>,
}

impl Controllers {
    fn new(state: u16, cloud: u16) -> Controllers {
        let dir = std::env::temp_dir().join(format!("glenhaven-versions-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let public: Vec<u16> = (0..3).map(|_| free_port()).collect();
        let peer: Vec<u16> = (0..3).map(|_| free_port()).collect();
        for n in 0..3 {
            let mut text = format!(
                "node = \"worker-{n}\"\nzone = \"a\"\npublic_addr = \"127.0.0.1:{}\"\npeer_bind = \"127.0.0.1:{}\"\n",
                public[n], peer[n]
            );
            for m in (0..3).filter(|m| *m != n) {
                text += &format!(
                    "[[peers]]\nnode = \"worker-{m}\"\nzone = \"a\"\naddr = \"127.0.0.1:{}\"\n",
                    peer[m]
                );
            }
            text += &format!(
                "[services]\ncloud = \"127.0.0.1:{cloud}\"\nstate = \"127.0.0.1:{state}\"\n[params]\nsize = 3\n\
                 [[params.teams]]\nname = \"blue\"\n[params.workers]\nreport_s = 1.0\nlease_s = 10.0\ncancel_s = 40.0\n\
                 [params.state]\nrps = 500.0\nwrite_rps = 200.0\nvalue_kb = 8.0\ntxn_ops = 24\n\
                 [params.state.next]\nwrite_rps = 100.0\nvalue_kb = 2.0\ntxn_ops = 8\n\
                 [params.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n[params.resources]\ncpu = 0.2\nmem_mb = 100.0\nsockets = 300\n"
            );
            std::fs::write(dir.join(format!("{n}.toml")), text).unwrap();
        }
        Controllers {
            dir,
            public,
            running: (0..3).map(|_| None).collect(),
        }
    }

    fn start(&mut self, n: usize, bin: &Path) {
        self.running[n] = None;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{n}.log")))
            .unwrap();
        let child = Command::new(bin)
            .arg("--config")
            .arg(self.dir.join(format!("{n}.toml")))
            .env("LOG_LEVEL", "info")
            .stderr(log)
            .spawn()
            .unwrap();
        self.running[n] = Some(Process(child));
    }

    fn stop(&mut self, n: usize) {
        self.running[n] = None;
    }

    fn logs(&self) -> String {
        (0..3)
            .map(|n| std::fs::read_to_string(self.dir.join(format!("{n}.log"))).unwrap_or_default())
            .collect()
    }

    /// Waits until this controller is ready.
    async fn ready(&self, n: usize) {
        let began = Instant::now();
        while !matches!(
            send_raw(self.public[n], b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n".to_vec()).await,
            Some((200, _, _))
        ) {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "worker-{n} never became ready:\n{}",
                self.logs()
            );
            Timer::after(Duration::from_millis(50)).await;
        }
    }

    /// Submits a job and repeats that for up to 10 s while the answer is 503; returns the status.
    async fn submit(&self, n: usize, id: &str, needs: &[&str]) -> u16 {
        let mut body = with_field(job(id, 2, 1.0), "expected_s", Value::Float(1.0));
        if !needs.is_empty() {
            let needs = needs.iter().map(|n| Value::Text(n.to_string())).collect();
            body = with_field(body, "waits_on", Value::Array(needs));
        }
        for _ in 0..40 {
            let (status, _) = send_request(self.public[n], "POST", "/v2/runs", encode(&body)).await;
            if status != 503 {
                return status;
            }
            Timer::after(Duration::from_millis(250)).await;
        }
        503
    }

    async fn phase(&self, n: usize, id: &str) -> Option<String> {
        let (status, body) = send_request(self.public[n], "GET", &format!("/v2/runs/{id}"), vec![]).await;
        if status == 404 {
            panic!("worker-{n} answered 404 for {id}:\n{}", self.logs());
        }
        text(&body, "phase")
    }

    /// Waits until this controller reports the job in the given phase.
    async fn wait_for_phase(&self, n: usize, id: &str, phase: &str) {
        let began = Instant::now();
        loop {
            let now = self.phase(n, id).await;
            if now.as_deref() == Some(phase) {
                return;
            }
            assert!(
                began.elapsed() < Duration::from_secs(30),
                "worker-{n} reports {id} as {now:?}, not {phase}:\n{}",
                self.logs()
            );
            Timer::after(Duration::from_millis(100)).await;
        }
    }
}

/// Runs a worker whose tasks take one second each. It moves on to the next controller whenever a
/// heartbeat isn't answered with commands.
async fn run_worker(public: Vec<u16>) {
    let (mut tasks, mut sequence, mut fencing_token, mut node) =
        (BTreeMap::<(String, u64), Instant>::new(), 0u64, 0u64, 0usize);
    loop {
        sequence += 1;
        let pieces: Vec<Value> = tasks
            .iter()
            .map(
                |((task, attempt), since)| match since.elapsed() > Duration::from_secs(1) {
                    true => cbor!({"piece" => task, "try" => attempt, "phase" => "ended", "cause" => "done"}).unwrap(),
                    false => cbor!({"piece" => task, "try" => attempt, "phase" => "running"}).unwrap(),
                },
            )
            .collect();
        let heartbeat = cbor!({"host" => "n-000001", "addr" => "127.0.0.1:1", "flavor" => "m", "yard" => "a",
            "reclaimable" => false, "tenure" => 1, "serial" => sequence, "fence" => fencing_token, "warning_s" => null,
            "pieces" => pieces})
        .unwrap();
        let body = encode(&heartbeat);
        let mut request = format!(
            "POST /hello HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(&body);
        let answer = send_raw(public[node], request).await;
        let commands = answer
            .filter(|a| a.0 == 200)
            .and_then(|a| ciborium::from_reader::<Value, _>(&a.2[..]).ok());
        match commands.filter(|o| number(o, "fence").is_some_and(|f| f >= fencing_token)) {
            Some(commands) => {
                fencing_token = number(&commands, "fence").unwrap_or(fencing_token);
                for command in field(&commands, "orders")
                    .and_then(Value::as_array)
                    .cloned()
                    .unwrap_or_default()
                {
                    let key = (
                        text(&command, "piece").unwrap_or_default(),
                        number(&command, "try").unwrap_or(0),
                    );
                    match text(&command, "verb").as_deref() {
                        Some("run") => {
                            tasks.entry(key).or_insert_with(Instant::now);
                        }
                        _ => {
                            tasks.remove(&key);
                        }
                    }
                }
            }
            None => node = (node + 1) % public.len(),
        }
        Timer::after(Duration::from_millis(200)).await;
    }
}

/// Old and new processes work in one cluster, and leadership passes between them in both
/// directions: jobs accepted by one are known to the other and run, and no message between them
/// is malformed. A job with dependencies is accepted only when no old process is left, and then
/// runs after the jobs that it depends on.
#[test]
fn old_and_new_serve_side_by_side() {
    let (old, new) = (build_production(), PathBuf::from(env!("CARGO_BIN_EXE_glenhaven")));
    let (store, state, cloud) = start_fake_services(64.0, 1.0);
    let mut cluster = Controllers::new(state, cloud);
    let public = cluster.public.clone();
    std::thread::spawn(move || future::block_on(run_worker(public)));
    let terms = |store: &Mutex<Store>| {
        let store = store.lock().unwrap();
        let (term, _) = &store.keys["term"];
        (number(term, "term").unwrap(), text(term, "leader").unwrap())
    };
    future::block_on(async {
        for n in 0..3 {
            cluster.start(n, &old);
        }
        for n in 0..3 {
            cluster.ready(n).await;
        }
        assert_eq!(cluster.submit(0, "run-000001", &[]).await, 201);
        // With one new and two old processes, each knows at once what another has accepted.
        cluster.start(2, &new);
        cluster.ready(2).await;
        assert_eq!(cluster.submit(2, "run-000002", &[]).await, 201);
        assert_eq!(cluster.submit(0, "run-000003", &[]).await, 201);
        for n in 0..3 {
            for id in ["run-000001", "run-000002", "run-000003"] {
                cluster.wait_for_phase(n, id, "done").await;
            }
        }
        // While old processes are alive, a job with dependencies is not accepted: production would
        // not hold it back.
        let with_dependency = with_field(job("run-000009", 1, 1.0), "waits_on", cbor!(["run-000001"]).unwrap());
        assert_eq!(
            send_request(cluster.public[2], "POST", "/v2/runs", encode(&with_dependency))
                .await
                .0,
            503
        );
        // Leadership passes from old to new and from new to old: the leader is killed, and the
        // next one must accept and run jobs.
        let mut leaders_new: Vec<bool> = vec![];
        let both = |leaders_new: &[bool]| {
            [[true, false], [false, true]]
                .iter()
                .all(|pair| leaders_new.windows(2).any(|w| w == pair))
        };
        let mut is_new = [false, false, true];
        for round in 0..16 {
            if both(&leaders_new) {
                break;
            }
            // From the third round on, two of the three processes are new.
            if round == 2 {
                cluster.start(1, &new);
                cluster.ready(1).await;
                is_new[1] = true;
            }
            let (term, leader) = terms(&store);
            let n: usize = leader[7..].parse().unwrap();
            leaders_new.push(is_new[n]);
            cluster.stop(n);
            let began = Instant::now();
            while terms(&store).0 == term {
                assert!(
                    began.elapsed() < Duration::from_secs(20),
                    "no controller leads:\n{}",
                    cluster.logs()
                );
                Timer::after(Duration::from_millis(50)).await;
            }
            let id = format!("run-{:06}", 100 + round);
            let other = (n + 1) % 3;
            assert_eq!(cluster.submit(other, &id, &[]).await, 201);
            cluster.wait_for_phase((n + 2) % 3, &id, "done").await;
            // The killed process restarts with the same version.
            cluster.start(n, if is_new[n] { &new } else { &old });
            cluster.ready(n).await;
        }
        assert!(
            both(&leaders_new),
            "leadership did not pass in both directions: {leaders_new:?}"
        );
        // The update is completed: all processes are new.
        for n in 0..2 {
            cluster.start(n, &new);
            cluster.ready(n).await;
        }
        assert_eq!(cluster.submit(0, "run-000020", &["run-000001"]).await, 201);
        assert_eq!(cluster.submit(1, "run-000021", &["run-000020"]).await, 201);
        assert_eq!(
            cluster.submit(2, "run-000022", &["run-000021", "run-000020"]).await,
            201
        );
        assert_eq!(cluster.submit(2, "run-000023", &["run-999999"]).await, 422);
        for n in 0..3 {
            cluster.wait_for_phase(n, "run-000022", "done").await;
        }
        // Cancelling a job cancels the jobs that depend on it, at once on every controller.
        let long = with_field(job("run-000030", 2, 60.0), "cores", Value::Float(60.0));
        assert_eq!(
            send_request(cluster.public[0], "POST", "/v2/runs", encode(&long))
                .await
                .0,
            201
        );
        assert_eq!(cluster.submit(1, "run-000031", &["run-000030"]).await, 201);
        assert_eq!(cluster.submit(2, "run-000032", &["run-000031"]).await, 201);
        let (status, body) = send_request(cluster.public[0], "POST", "/v2/runs/run-000030/abort", vec![]).await;
        assert_eq!((status, text(&body, "phase").as_deref()), (200, Some("withdrawn")));
        for n in 0..3 {
            assert_eq!(cluster.phase(n, "run-000032").await.as_deref(), Some("withdrawn"));
        }
    });
    let logs = cluster.logs();
    let bad = logs.lines().find(|l| l.contains("malformed") || l.contains("panicked"));
    assert_eq!(bad, None, "{logs}");
    std::fs::remove_dir_all(&cluster.dir).ok();
}
