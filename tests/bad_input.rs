//! Tests of invalid input over HTTP to one real process: unknown machines, fencing tokens that
//! were never issued, truncated bodies, task names that don't parse, an earlier session.
//!
//! The process must go on with its records unchanged, and log each input in exactly one line.

mod net;

use async_io::Timer;
use ciborium::{cbor, Value};
use futures_lite::future;
use net::*;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const JOB: &str = "run-000001";
const MACHINE: &str = "n-000001";
/// The session in which the machine runs the job's task.
const SESSION: u64 = 2;

/// A controller with one task that runs on one machine.
struct Fixture {
    process: Process,
    public: u16,
    store: Arc<Mutex<Store>>,
    log: PathBuf,
    sequence: u64,
    fencing_token: u64,
    attempt: u64,
    /// Descriptions of invalid inputs that the log did not report in exactly one line.
    log_mismatches: Vec<String>,
}

fn running(task: &str, attempt: u64) -> Value {
    cbor!({"piece" => task, "try" => attempt, "phase" => "running"}).unwrap()
}

fn heartbeat(machine: &str, incarnation: u64, sequence: u64, fencing_token: u64, tasks: Vec<Value>) -> Value {
    cbor!({"host" => machine, "addr" => "127.0.0.1:1", "flavor" => "m", "yard" => "a", "reclaimable" => false,
        "tenure" => incarnation, "serial" => sequence, "fence" => fencing_token, "warning_s" => null, "pieces" => tasks})
    .unwrap()
}

impl Fixture {
    async fn new(name: &str) -> Fixture {
        let (store, state, cloud) = start_fake_services(16.0, 20.0);
        let public = free_port();
        let dir = std::env::temp_dir().join(format!("glenhaven-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let (file, log) = (dir.join("settings.toml"), dir.join("log"));
        std::fs::write(&file, single_node_settings(public, free_port(), state, cloud)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_glenhaven"))
            .arg("--config")
            .arg(&file)
            .stderr(std::fs::File::create(&log).unwrap())
            .spawn()
            .unwrap();
        let mut fixture = Fixture {
            process: Process(child),
            public,
            store,
            log,
            sequence: 0,
            fencing_token: 0,
            attempt: 0,
            log_mismatches: vec![],
        };
        wait_until_ready(public).await;
        assert_eq!(fixture.submit(&job(JOB, 1, 1.0)).await.0, 201);
        fixture.start_task().await;
        fixture
    }

    async fn submit(&self, job: &Value) -> (u16, Value) {
        send_request(self.public, "POST", "/v2/runs", encode(job)).await
    }

    /// Sends heartbeats until an answer starts the job's task, then reports the task as running.
    async fn start_task(&mut self) {
        let began = Instant::now();
        while self.attempt == 0 {
            let (_, body) = self.send_heartbeat(vec![]).await;
            self.fencing_token = number(&body, "fence").unwrap_or(0);
            let commands = field(&body, "orders").and_then(Value::as_array).cloned();
            let start = commands.unwrap_or_default().into_iter().next();
            self.attempt = start.and_then(|command| number(&command, "try")).unwrap_or(0);
            assert!(began.elapsed() < Duration::from_secs(10), "no start for the worker");
            Timer::after(Duration::from_millis(100)).await;
        }
        self.expect_running().await;
    }

    /// Sends the machine's next heartbeat.
    async fn send_heartbeat(&mut self, tasks: Vec<Value>) -> (u16, Value) {
        self.sequence += 1;
        self.post_heartbeat(&heartbeat(MACHINE, SESSION, self.sequence, self.fencing_token, tasks))
            .await
    }

    async fn post_heartbeat(&self, heartbeat: &Value) -> (u16, Value) {
        send_request(self.public, "POST", "/hello", encode(heartbeat)).await
    }

    /// Checks that a heartbeat of the running task is answered without commands, and that the job's
    /// user is informed of one running task.
    async fn expect_running(&mut self) {
        let task = running(&format!("{JOB}/0"), self.attempt);
        let (status, body) = self.send_heartbeat(vec![task]).await;
        let commands = field(&body, "orders").and_then(Value::as_array).map(Vec::len);
        assert_eq!((status, commands), (200, Some(0)), "{body:?}");
        let (status, body) = send_request(self.public, "GET", &format!("/v2/runs/{JOB}"), vec![]).await;
        assert_eq!((status, number(&body, "running")), (200, Some(1)), "{body:?}");
    }

    /// Returns the records of jobs and their tasks in the state service.
    fn records(&self) -> Vec<(String, Value)> {
        let store = self.store.lock().unwrap();
        let of_jobs = |key: &str| key.starts_with("job/") || key.starts_with("open/");
        let rows = store.keys.iter().filter(|(key, _)| of_jobs(key));
        rows.map(|(key, (value, _))| (key.clone(), value.clone())).collect()
    }

    fn log(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap();
        text.lines().map(str::to_string).collect()
    }

    /// Checks that the process and the task go on, that the records are unchanged, and that
    /// exactly one line after the first `lines` of the log contains `expected`. A wrong number of
    /// lines is collected in `log_mismatches`, so that the test still tries the other inputs.
    async fn expect_unchanged(&mut self, what: &str, records: &[(String, Value)], lines: usize, expected: &str) {
        assert!(
            self.process.0.try_wait().unwrap().is_none(),
            "{what}: the process ended"
        );
        self.expect_running().await;
        Timer::after(Duration::from_millis(300)).await;
        assert_eq!(self.records(), records, "{what}");
        let new_lines = self.log().split_off(lines);
        let count = new_lines.iter().filter(|line| line.contains(expected)).count();
        if count != 1 {
            self.log_mismatches
                .push(format!("{what}: {count} lines with {expected:?} in {new_lines:?}"));
        }
    }
}

/// Runs a test on a new controller, and fails at its end if log lines were missing or repeated.
fn run_test(name: &str, test: impl AsyncFnOnce(&mut Fixture)) {
    future::block_on(async {
        let mut fixture = Fixture::new(name).await;
        test(&mut fixture).await;
        assert!(
            fixture.log_mismatches.is_empty(),
            "{}",
            fixture.log_mismatches.join("\n")
        );
    });
}

impl Drop for Fixture {
    fn drop(&mut self) {
        std::fs::remove_dir_all(self.log.parent().unwrap()).ok();
    }
}

#[test]
fn truncated_bodies() {
    run_test("half", async |fixture| {
        let (records, lines) = (fixture.records(), fixture.log().len());
        let half =
            |path: &str| format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nabc").into_bytes();
        assert_eq!(
            send_raw(fixture.public, half("/hello")).await.expect("an answer").0,
            408
        );
        fixture
            .expect_unchanged("a body that is never completed", &records, lines, "/hello")
            .await;

        let mut body = encode(&heartbeat(
            MACHINE,
            SESSION,
            fixture.sequence + 1,
            fixture.fencing_token,
            vec![],
        ));
        body.truncate(body.len() / 2);
        let lines = fixture.log().len();
        assert_eq!(send_request(fixture.public, "POST", "/hello", body).await.0, 400);
        fixture
            .expect_unchanged("half a report", &records, lines, "malformed report")
            .await;

        let mut body = encode(&job("run-000002", 1, 1.0));
        body.truncate(body.len() / 2);
        let lines = fixture.log().len();
        assert_eq!(send_request(fixture.public, "POST", "/v2/runs", body).await.0, 400);
        assert_eq!(
            send_request(fixture.public, "GET", "/v2/runs/run-000002", vec![])
                .await
                .0,
            404
        );
        fixture
            .expect_unchanged("half a submission", &records, lines, "malformed submission")
            .await;
    });
}

#[test]
fn an_unknown_machine() {
    run_test("unknown", async |fixture| {
        let records = fixture.records();
        // The machine reports a task that runs elsewhere, and one of a job that doesn't exist.
        let tasks = vec![
            running(&format!("{JOB}/0"), fixture.attempt),
            running("run-000777/0", 1),
        ];
        let (status, body) = fixture.post_heartbeat(&heartbeat("n-777777", 1, 1, 0, tasks)).await;
        let commands = field(&body, "orders").and_then(Value::as_array).cloned();
        let kills = |command: &Value| text(command, "verb").as_deref() == Some("kill");
        assert_eq!(status, 200);
        assert!(
            commands.is_some_and(|o| o.len() == 2 && o.iter().all(kills)),
            "{body:?}"
        );
        let said = std::fs::read_to_string(&fixture.log).unwrap();
        assert_eq!(said.matches("n-777777").count(), 1, "{said}");
        assert_eq!(
            send_request(fixture.public, "GET", "/v2/runs/run-000777", vec![])
                .await
                .0,
            404
        );
        fixture.expect_running().await;
        assert_eq!(fixture.records(), records);
    });
}

#[test]
fn a_token_that_was_never_issued() {
    run_test("token", async |fixture| {
        let records = fixture.records();
        for fencing_token in [fixture.fencing_token + 1, u64::MAX] {
            let lines = fixture.log().len();
            // If this token were valid, the heartbeat would prove that the start was refused, and
            // the task's placement would be freed.
            fixture.sequence += 1;
            let (status, body) = fixture
                .post_heartbeat(&heartbeat(MACHINE, SESSION, fixture.sequence, fencing_token, vec![]))
                .await;
            let commands = field(&body, "orders").and_then(Value::as_array).map_or(0, Vec::len);
            assert!(status != 200 || commands == 0, "{status} {body:?}");
            fixture
                .expect_unchanged("a token that was never issued", &records, lines, MACHINE)
                .await;
        }
    });
}

#[test]
fn a_task_name_that_does_not_parse() {
    run_test("names", async |fixture| {
        let records = fixture.records();
        let own = format!("{JOB}/0");
        for name in [
            "",
            "/",
            "0",
            "run-000001",
            "run-000001/",
            "run-000001/x",
            "run-000001/+0",
            "run-000001/00",
            "run-000001/99999999999",
        ] {
            let lines = fixture.log().len();
            fixture.sequence += 1;
            let tasks = vec![running(&own, fixture.attempt), running(name, fixture.attempt + 7)];
            let report = heartbeat(MACHINE, SESSION, fixture.sequence, fixture.fencing_token, tasks);
            assert_eq!(fixture.post_heartbeat(&report).await.0, 200, "{name}");
            fixture
                .expect_unchanged(&format!("a task called {name:?}"), &records, lines, MACHINE)
                .await;
        }
    });
}

#[test]
fn a_heartbeat_of_an_earlier_session() {
    run_test("session", async |fixture| {
        let (records, lines) = (fixture.records(), fixture.log().len());
        let earlier = heartbeat(
            MACHINE,
            SESSION - 1,
            fixture.sequence + 5,
            fixture.fencing_token,
            vec![],
        );
        let (_, body) = fixture.post_heartbeat(&earlier).await;
        let commands = field(&body, "orders").and_then(Value::as_array).map_or(0, Vec::len);
        assert_eq!(commands, 0, "{body:?}");
        fixture
            .expect_unchanged("a report of an earlier session", &records, lines, MACHINE)
            .await;
    });
}
