//! Tests of one real process through its sockets and command line, with a fake state service and
//! cloud over HTTP: requests of users and workers, the checks of settings, and peer connections.
// A test runs one scenario from beginning to end.
#![allow(clippy::too_many_lines)]

mod net;

use async_io::Timer;
use ciborium::{cbor, Value};
use futures_lite::future;
use glenhaven::protocol::peer::PeerMessage;
use net::*;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

#[test]
fn requests_to_a_real_process() {
    let (store, state_port, cloud_port) = start_fake_services(16.0, 20.0);
    let public = free_port();
    let dir = std::env::temp_dir().join(format!("glenhaven-test-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("settings.toml");
    std::fs::write(&file, single_node_settings(public, free_port(), state_port, cloud_port)).unwrap();
    let bin = env!("CARGO_BIN_EXE_glenhaven");
    let child = Command::new(bin)
        .arg("--config")
        .arg(&file)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let _process = Process(child);
    future::block_on(async {
        wait_until_ready(public).await;
        // Submissions that must be refused.
        let good = job("run-000001", 2, 1.0);
        let bad: Vec<(&str, Value)> = vec![
            ("not a map", cbor!([1, 2]).unwrap()),
            ("a field is missing", without_field(good.clone(), "cores")),
            (
                "a wrong type",
                with_field(good.clone(), "pieces", Value::Text("2".into())),
            ),
            ("negative", with_field(good.clone(), "mem_gb", Value::Float(-1.0))),
            (
                "not a number",
                with_field(good.clone(), "cores", Value::Float(f64::NAN)),
            ),
            (
                "infinite",
                with_field(good.clone(), "expected_s", Value::Float(f64::INFINITY)),
            ),
            (
                "zero count",
                with_field(good.clone(), "pieces", Value::Integer(0.into())),
            ),
            (
                "too many",
                with_field(good.clone(), "pieces", Value::Integer(100_001.into())),
            ),
            (
                "unknown shape",
                with_field(good.clone(), "shape", Value::Text("ring".into())),
            ),
            (
                "unknown rank",
                with_field(good.clone(), "rank", Value::Text("royal".into())),
            ),
            (
                "malformed ref",
                with_field(good.clone(), "ref", Value::Text("job-1".into())),
            ),
        ];
        for (what, value) in bad {
            assert_eq!(
                send_request(public, "POST", "/v2/runs", encode(&value)).await.0,
                400,
                "{what}"
            );
        }
        assert_eq!(
            send_request(public, "POST", "/v2/runs", b"\xff\xff\xff".to_vec())
                .await
                .0,
            400
        );
        for value in [
            with_field(good.clone(), "owner", Value::Text("green".into())),
            with_field(good.clone(), "cores", Value::Float(17.0)),
            with_field(good.clone(), "yard", Value::Text("z".into())),
        ] {
            assert_eq!(send_request(public, "POST", "/v2/runs", encode(&value)).await.0, 422);
        }
        // A body over the size limit is refused on its announced length.
        let big = b"POST /v2/runs HTTP/1.1\r\nhost: x\r\ncontent-length: 70000\r\n\r\n".to_vec();
        assert_eq!(send_raw(public, big).await.expect("an answer").0, 413);
        // An incomplete request times out, and the controller still answers others.
        let half = b"POST /v2/runs HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nabc".to_vec();
        assert_eq!(send_raw(public, half).await.expect("an answer").0, 408);
        assert_eq!(send_request(public, "GET", "/nowhere", vec![]).await.0, 404);
        assert_eq!(send_request(public, "GET", "/v2/runs", vec![]).await.0, 405);
        assert_eq!(send_request(public, "POST", "/hello", b"junk".to_vec()).await.0, 400);
        assert_eq!(send_request(public, "GET", "/v2/runs/run-000009", vec![]).await.0, 404);
        assert_eq!(
            send_request(public, "POST", "/v2/runs/run-000009/abort", vec![])
                .await
                .0,
            404
        );
        // A repeated submission of an accepted job is answered 200, whatever its fields are.
        let (status, body) = send_request(public, "POST", "/v2/runs", encode(&good)).await;
        assert_eq!((status, text(&body, "phase").as_deref()), (201, Some("pending")));
        let in_page = |v: &Value| {
            let jobs = field(v, "a").and_then(Value::as_array).cloned().unwrap_or_default();
            jobs.iter().any(|j| text(j, "ref").as_deref() == Some("run-000001"))
        };
        let pages = |(k, (v, _)): (&String, &(Value, u64))| k.starts_with("job/@") && in_page(v);
        assert!(
            store.lock().unwrap().keys.iter().any(pages),
            "accepted before the commit"
        );
        assert_eq!(send_request(public, "POST", "/v2/runs", encode(&good)).await.0, 200);
        let broken = without_field(good.clone(), "cores");
        assert_eq!(send_request(public, "POST", "/v2/runs", encode(&broken)).await.0, 200);
        let foreign = with_field(good.clone(), "owner", Value::Text("green".into()));
        assert_eq!(send_request(public, "POST", "/v2/runs", encode(&foreign)).await.0, 200);
        // A new worker receives the starts of both tasks, with the fencing token of the term.
        let began = Instant::now();
        let mut sequence = 0;
        let commands = loop {
            sequence += 1;
            let heartbeat = cbor!({"host" => "n-000001", "addr" => "127.0.0.1:1", "flavor" => "m", "yard" => "a",
                "reclaimable" => false, "tenure" => 1, "serial" => sequence, "fence" => 0, "warning_s" => null, "pieces" => []})
            .unwrap();
            let (status, body) = send_request(public, "POST", "/hello", encode(&heartbeat)).await;
            if status == 200 && number(&body, "fence").unwrap_or(0) > 0 {
                let commands = field(&body, "orders")
                    .and_then(Value::as_array)
                    .cloned()
                    .unwrap_or_default();
                if commands.len() == 2 {
                    break commands;
                }
            }
            assert!(began.elapsed() < Duration::from_secs(10), "no start for the worker");
            Timer::after(Duration::from_millis(100)).await;
        };
        assert!(commands.iter().all(|o| text(o, "verb").as_deref() == Some("run")));
        let (status, body) = send_request(public, "POST", "/v2/runs/run-000001/abort", vec![]).await;
        assert_eq!((status, text(&body, "phase").as_deref()), (200, Some("withdrawn")));
        let (_, body) = send_request(public, "GET", "/v2/runs/run-000001", vec![]).await;
        assert_eq!(text(&body, "phase").as_deref(), Some("withdrawn"));
    });
    std::fs::remove_dir_all(&dir).ok();
}

#[test]
fn settings_are_checked() {
    let dir = std::env::temp_dir().join(format!("glenhaven-settings-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let run = |text: &str, name: &str| {
        let file = dir.join(name);
        std::fs::write(&file, text).unwrap();
        let out = Command::new(env!("CARGO_BIN_EXE_glenhaven"))
            .arg("--check")
            .arg("--config")
            .arg(&file)
            .output()
            .unwrap();
        (out.status.success(), String::from_utf8_lossy(&out.stderr).to_string())
    };
    let good = single_node_settings(1, 2, 3, 4);
    assert!(run(&good, "good.toml").0);
    let cases = [
        (good.replace("lease_s = 10.0", ""), "lease_s"),
        (good.replace("rps = 200.0", "rps = -1.0"), "params.state.rps"),
        (good.replace("127.0.0.1:3", "nowhere"), "services.state"),
        (good.replace("lease_s = 10.0", "lease_s = \"ten\""), "lease_s"),
    ];
    for (text, field) in cases {
        let (fine, message) = run(&text, "bad.toml");
        assert!(
            !fine && message.contains(field) && message.lines().count() == 1,
            "{field}: {message}"
        );
    }
    let operator = dir.join("operator.scm");
    let named = format!("operator_file = {:?}\n{good}", operator.to_str().unwrap());
    std::fs::write(&operator, "((idle-s . 30.0) (headroom . 0.2))").unwrap();
    assert_eq!(run(&named, "op.toml"), (true, String::new()));
    std::fs::write(&operator, "((idle-s . -3.0))").unwrap();
    assert!(run(&named, "op.toml").1.contains("idle-s"));
    std::fs::write(&operator, "((idel-s . 3.0))").unwrap();
    assert!(run(&named, "op.toml").1.contains("idel-s"));
    std::fs::write(&operator, "((idle-s . 3.0)").unwrap();
    let (fine, message) = run(&named, "op.toml");
    assert!(!fine && message.contains("line"), "{message}");
    assert!(!run("", "empty.toml").0);
    let missing = Command::new(env!("CARGO_BIN_EXE_glenhaven"))
        .arg("--config")
        .arg(dir.join("none"))
        .output()
        .unwrap();
    assert!(!missing.status.success());
    std::fs::remove_dir_all(&dir).ok();
}

/// A connection to a peer is replaced when its messages are not acknowledged.
///
/// After a long pause of this process the peer may have given up the connection, while writes
/// still succeed. Without the check for acknowledgements, the controller's messages would never
/// reach its peers again.
#[test]
fn a_dead_connection_is_replaced() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (to, queue) = async_channel::bounded(64);
    std::thread::spawn(move || async_io::block_on(glenhaven::transport::peers::send_messages(addr, queue, |_| {})));
    let (opened, links) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        // Connections stay open, but are neither read nor acknowledged.
        for stream in listener.incoming() {
            opened.send(stream.unwrap()).ok();
        }
    });
    let mut held = vec![];
    for _ in 0..60 {
        to.try_send(PeerMessage::Alive {
            sent_at_us: 0,
            links: vec![],
            node: "node-0".into(),
            term: 1,
            store_verified: true,
            leads: true,
            changes_per_1000_s: 0,
            agent_count: 0,
        })
        .ok();
        held.extend(links.try_recv().ok());
        if held.len() >= 2 {
            return;
        }
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    panic!("no second connection was opened");
}
