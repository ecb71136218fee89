//! HTTP/1.1 with one request at a time on a connection: a server with a thread for each connection,
//! and a client.

use crate::util::{decode, encode};
use ciborium::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request that a server received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
    /// When its connection was opened.
    pub connected_at: Instant,
}

impl Request {
    /// Returns a parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.path.split_once('?')?.1;
        let (_, value) = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .find(|(k, _)| *k == name)?;
        Some(percent_decode(value))
    }

    /// Returns the path without the query, decoded.
    pub fn plain_path(&self) -> String {
        percent_decode(self.path.split('?').next().unwrap_or(""))
    }

    pub fn value(&self) -> Value {
        decode(&self.body).unwrap_or(Value::Null)
    }
}

/// Decodes `%XX`.
fn percent_decode(s: &str) -> String {
    let bytes = s.as_bytes();
    let (mut out, mut i) = (vec![], 0);
    while i < bytes.len() {
        let hex = s.get(i + 1..i + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(b)) => {
                out.push(b);
                i += 3;
            }
            (b, _) => {
                out.push(b);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Value),
    /// The connection is closed without an answer.
    Nothing,
}

/// Reads a message: its first line and its body; `None` at the end of the stream. Returns the bytes
/// beyond it in `rest`.
fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0u8; 16384];
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        rest.extend_from_slice(&chunk[..n]);
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    let length = head
        .lines()
        .filter_map(|l| l.split_once(':'))
        .find(|(k, _)| k.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, v)| v.trim().parse::<usize>().ok())
        .unwrap_or(0);
    let total = head_end + 4 + length;
    while rest.len() < total {
        let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        rest.extend_from_slice(&chunk[..n]);
    }
    let body = rest[head_end + 4..total].to_vec();
    rest.drain(..total);
    Some((head.lines().next().unwrap_or("").to_string(), body))
}

/// Serves requests at an address of the loopback interface, and returns the address.
pub fn serve(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let spawned = std::thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || serve_connection(stream, &*handler));
            drop(spawned);
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(Request) -> Reply) {
    stream.set_nodelay(true).ok();
    let connected_at = Instant::now();
    let mut rest = vec![];
    while let Some((line, body)) = read_message(&mut stream, &mut rest) {
        let mut words = line.split_whitespace();
        let request = Request {
            method: words.next().unwrap_or("").into(),
            path: words.next().unwrap_or("").into(),
            body,
            connected_at,
        };
        let Reply::Answer(status, value) = handler(request) else {
            return;
        };
        let body = encode(&value);
        let head = format!(
            "HTTP/1.1 {status} S\r\ncontent-type: application/cbor\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all(&[head.as_bytes(), &body].concat()).is_err() {
            return;
        }
    }
}

/// A client that keeps its connection open.
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, stream: None }
    }

    /// Drops the connection.
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Makes a call; `None` if no answer comes within the time.
    pub fn call(&mut self, method: &str, path: &str, body: Option<&Value>, limit: Duration) -> Option<(u16, Value)> {
        let answer = self.exchange(method, path, body, limit);
        if answer.is_none() {
            self.stream = None;
        }
        answer
    }

    fn exchange(&mut self, method: &str, path: &str, body: Option<&Value>, limit: Duration) -> Option<(u16, Value)> {
        let end = Instant::now() + limit;
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, limit).ok()?;
            stream.set_nodelay(true).ok();
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut()?;
        let body = body.map(encode).unwrap_or_default();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: cluster\r\ncontent-type: application/cbor\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.set_write_timeout(Some(limit)).ok()?;
        stream.write_all(&[head.as_bytes(), &body].concat()).ok()?;
        let left = end
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).ok()?;
        let (line, body) = read_message(stream, &mut vec![])?;
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        Some((status, decode(&body).unwrap_or(Value::Null)))
    }
}
