//! The subset of HTTP/1.1 that the stand-ins use: one request at a time on a connection, bodies with
//! a `content-length`, one thread for each connection.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request.
pub struct Request {
    /// GET, POST or DELETE.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a parameter of the query; empty if it is missing.
    pub fn parameter(&self, name: &str) -> String {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map_or(String::new(), |(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = vec![];
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection, with the bytes that were read beyond the last message.
pub struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        Connection { stream, unread: vec![] }
    }

    /// Opens a connection.
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self, deadline: Option<Instant>) -> Result<bool> {
        let left = match deadline {
            Some(deadline) => {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(ErrorKind::TimedOut.into());
                }
                Some(left)
            }
            None => None,
        };
        self.stream.set_read_timeout(left)?;
        let mut chunk = [0u8; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.unread.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a head and a body; `None` if the other side has closed the connection.
    fn read_message(&mut self, deadline: Option<Instant>) -> Result<Option<(String, Vec<u8>)>> {
        let end = loop {
            if let Some(end) = self.unread.windows(4).position(|w| w == b"\r\n\r\n") {
                break end + 4;
            }
            if !self.fill(deadline)? {
                return match self.unread.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        let length = head
            .lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
            .map_or(0, |(_, value)| value.trim().parse().unwrap_or(0usize));
        while self.unread.len() < end + length {
            if !self.fill(deadline)? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.unread.split_off(end + length);
        let whole = std::mem::replace(&mut self.unread, rest);
        Ok(Some((head, whole[end..].to_vec())))
    }

    /// Sends a request and reads the status and body of the response.
    pub fn call(&mut self, method: &str, path: &str, body: &[u8], timeout: Duration) -> Result<(u16, Vec<u8>)> {
        let deadline = Instant::now() + timeout;
        self.stream.set_write_timeout(Some(timeout))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: glenhaven\r\ncontent-type: application/cbor\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all(&[head.as_bytes(), body].concat())?;
        let (head, body) = self.read_message(Some(deadline))?.ok_or(ErrorKind::UnexpectedEof)?;
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
        Ok((status.ok_or_else(|| Error::from(ErrorKind::InvalidData))?, body))
    }
}

/// Makes one call on a connection of its own; `None` if no response arrives in time.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &[u8], timeout: Duration) -> Option<(u16, Vec<u8>)> {
    let mut connection = Connection::open(address, timeout).ok()?;
    connection.call(method, path, body, timeout).ok()
}

/// Serves requests on a free loopback port and returns its address. A handler that returns `None`
/// closes the connection without a response.
pub fn serve<H>(handler: H) -> SocketAddr
where
    H: Fn(Request) -> Option<(u16, Vec<u8>)> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("the address of a bound socket");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(Connection::new(stream), &*handler));
        }
    });
    address
}

fn serve_connection(mut connection: Connection, handler: &dyn Fn(Request) -> Option<(u16, Vec<u8>)>) {
    while let Ok(Some((head, body))) = connection.read_message(None) {
        let mut words = head.split(' ');
        let method = words.next().unwrap_or("").to_string();
        let target = words.next().unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request {
            method,
            path: path.to_string(),
            query: query.to_string(),
            body,
        };
        let Some((status, body)) = handler(request) else { return };
        let reason = if status < 300 { "OK" } else { "Refused" };
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\ncontent-type: application/cbor\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if connection.stream.write_all(&[head.as_bytes(), &body].concat()).is_err() {
            return;
        }
    }
}
