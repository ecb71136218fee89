//! A stand-in for the users.

use crate::http::call;
use crate::record::Record;
use crate::value::{cbor, decode, encode, json, text, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A description of a job with the fields that the cases vary.
pub struct Job {
    /// The job's id.
    pub id: String,
    /// Its class.
    pub class: &'static str,
    /// Its team.
    pub team: &'static str,
    /// `array` or `standing`.
    pub shape: &'static str,
    /// Its priority.
    pub rank: &'static str,
    /// The number of tasks.
    pub pieces: u32,
    /// What each task takes.
    pub cores: f64,
    /// What each task takes.
    pub mem_gb: f64,
    /// Whether it may use spot machines.
    pub reclaimable: bool,
    /// The size of the image.
    pub size_gb: f64,
    /// The allowed machine types, or none for any.
    pub flavors: Option<Vec<&'static str>>,
    /// The only allowed zone, or none for any.
    pub yard: Option<&'static str>,
    /// The owner's estimate of a task's run time, in seconds.
    pub expected_s: f64,
}

impl Job {
    /// Returns the body of the submission.
    pub fn body(&self) -> Value {
        cbor!({"ref" => self.id, "jobclass" => self.class, "owner" => self.team, "shape" => self.shape,
            "rank" => self.rank, "pieces" => self.pieces, "cores" => self.cores, "cards" => 0.0,
            "mem_gb" => self.mem_gb, "bundle" => format!("img-{}", self.class), "size_gb" => self.size_gb, "flavors" => self.flavors,
            "yard" => self.yard, "together" => false, "apart" => false, "reclaimable" => self.reclaimable,
            "expected_s" => self.expected_s, "snapshot_every_s" => 0.0, "snapshot_cost_s" => 0.0, "due_s" => null})
        .unwrap()
    }
}

/// Makes a request at one of the controllers, and repeats it at the next one a second later while it
/// is not decided, for up to 60 s. Returns the status and the answer.
pub fn ask(
    record: &Record,
    nodes: &[(String, SocketAddr)],
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<(u16, Value)> {
    let began = Instant::now();
    let mut at = (record.now() * 7.0) as usize;
    while began.elapsed() < Duration::from_secs(60) {
        let (name, address) = &nodes[at % nodes.len()];
        at += 1;
        let limit = Duration::from_secs(if method == "GET" { 2 } else { 5 });
        let answer = call(*address, method, path, body, limit);
        let shown = answer.as_ref().map_or("no response".to_string(), |(status, body)| {
            format!("{status} {}", decode(body).map_or(String::new(), |body| json(&body)))
        });
        record.note(format!("user: {method} {path} at {name}: {shown}"));
        match answer {
            Some((status @ (200 | 201 | 400 | 404 | 422), body)) => {
                return Some((status, decode(&body).unwrap_or(Value::Null)));
            }
            _ => std::thread::sleep(Duration::from_secs(1)),
        }
    }
    None
}

/// Submits a job and returns the status.
pub fn submit(record: &Record, nodes: &[(String, SocketAddr)], job: &Job) -> u16 {
    record.note(format!("user: submits {}", json(&job.body())));
    ask(record, nodes, "POST", "/v2/runs", &encode(&job.body())).map_or(0, |(status, _)| status)
}

/// Returns the phase of a job; empty if no controller answers.
pub fn poll(record: &Record, nodes: &[(String, SocketAddr)], job: &str) -> String {
    let answer = ask(record, nodes, "GET", &format!("/v2/runs/{job}"), &[]);
    answer.map_or(String::new(), |(_, state)| text(&state, "phase"))
}
