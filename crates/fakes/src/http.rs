//! The subset of HTTP/1.1 that the fakes use: bodies with a `content-length`, and one request at a
//! time on a connection.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};

/// The largest number of headers in a message.
const MAX_HEADERS: usize = 32;
/// The largest head of a message, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The largest body, in bytes. A page of a list of keys has up to 512 KiB; the protocol does not
/// limit the answer to a watch.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// The most bytes read from a connection at once.
const READ_CHUNK_BYTES: usize = 4096;

/// A request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// GET, POST or DELETE.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The value of `Retry-After`, in seconds.
    pub retry_after_s: Option<u32>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection is closed after the answer.
    pub close: bool,
}

impl Response {
    /// Creates an answer without `Retry-After` that keeps the connection open.
    pub fn new(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            retry_after_s: None,
            body,
            close: false,
        }
    }
}

/// The head at the start of a buffer, as its length in bytes and its parsed content; `None` if the
/// buffer does not have all of the head yet.
type Head<T> = Option<(usize, T)>;

/// The first line and the headers of a request.
struct RequestHead {
    method: String,
    path: String,
    headers: Headers,
}

/// The headers of a message that are used.
#[derive(Default)]
struct Headers {
    length: usize,
    retry_after_s: Option<u32>,
    close: bool,
}

impl Headers {
    fn read(headers: &[httparse::Header]) -> Result<Headers> {
        let mut found = Headers::default();
        for header in headers {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                found.length = value.parse().map_err(|_| malformed("content-length"))?;
            } else if header.name.eq_ignore_ascii_case("retry-after") {
                found.retry_after_s = value.parse().ok();
            } else if header.name.eq_ignore_ascii_case("connection") {
                found.close = value.eq_ignore_ascii_case("close");
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                return Err(malformed("transfer-encoding"));
            }
        }
        if found.length > MAX_BODY_BYTES {
            return Err(malformed("content-length"));
        }
        Ok(found)
    }
}

fn malformed(what: &str) -> Error {
    Error::new(ErrorKind::InvalidData, format!("invalid HTTP message: {what}"))
}

/// The traffic of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes read.
    pub read: u64,
    /// Bytes written.
    pub written: u64,
}

/// A connection, with the bytes that were read beyond the last message.
pub struct Connection {
    stream: Async<TcpStream>,
    unread: Vec<u8>,
    traffic: Traffic,
}

impl Connection {
    /// Wraps a connected stream.
    pub fn new(stream: Async<TcpStream>) -> Connection {
        stream.get_ref().set_nodelay(true).ok();
        Connection {
            stream,
            unread: vec![],
            traffic: Traffic::default(),
        }
    }

    /// Connects to an address.
    pub async fn open(addr: SocketAddr) -> Result<Connection> {
        Ok(Connection::new(Async::<TcpStream>::connect(addr).await?))
    }

    /// Returns the traffic since the last call of this function.
    pub fn take_traffic(&mut self) -> Traffic {
        std::mem::take(&mut self.traffic)
    }

    /// Returns the local address, at which the peer reaches this side.
    pub fn local_addr(&self) -> Result<SocketAddr> {
        self.stream.get_ref().local_addr()
    }

    /// Reads more bytes; `false` at the end of the stream.
    async fn read_more(&mut self) -> Result<bool> {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        let n = self.stream.read(&mut chunk).await?;
        self.unread.extend_from_slice(&chunk[..n]);
        self.traffic.read += n as u64;
        Ok(n > 0)
    }

    /// Reads until `parse` finds a complete head, removes the head from the buffer and returns its
    /// parsed content; `None` if the stream ends before the head's first byte.
    async fn read_head<T>(&mut self, parse: impl Fn(&[u8]) -> Result<Head<T>>) -> Result<Option<T>> {
        loop {
            if let Some((length, head)) = parse(&self.unread)? {
                self.unread.drain(..length);
                return Ok(Some(head));
            }
            if self.unread.len() > MAX_HEAD_BYTES {
                return Err(malformed("head"));
            }
            if !self.read_more().await? {
                return match self.unread.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    async fn read_body(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.unread.len() < length {
            if !self.read_more().await? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.unread.split_off(length);
        Ok(std::mem::replace(&mut self.unread, rest))
    }

    /// Reads a request; `None` if the peer has closed the connection.
    pub async fn read_request(&mut self) -> Result<Option<Request>> {
        let Some(head) = self.read_head(parse_request_head).await? else {
            return Ok(None);
        };
        let body = self.read_body(head.headers.length).await?;
        let (method, path) = (head.method, head.path);
        Ok(Some(Request { method, path, body }))
    }

    /// Reads an answer.
    pub async fn read_response(&mut self) -> Result<Response> {
        let head = self.read_head(parse_response_head).await?;
        let (status, headers) = head.ok_or(ErrorKind::UnexpectedEof)?;
        Ok(Response {
            status,
            retry_after_s: headers.retry_after_s,
            body: self.read_body(headers.length).await?,
            close: headers.close,
        })
    }

    async fn write(&mut self, head: String, body: &[u8]) -> Result<()> {
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).await?;
        self.traffic.written += bytes.len() as u64;
        Ok(())
    }

    /// Writes a request.
    pub async fn write_request(&mut self, request: &Request) -> Result<()> {
        let head = format!(
            "{} {} HTTP/1.1\r\nhost: glenhaven\r\ncontent-type: application/cbor\r\ncontent-length: {}\r\n\r\n",
            request.method,
            request.path,
            request.body.len()
        );
        self.write(head, &request.body).await
    }

    /// Writes an answer.
    pub async fn write_response(&mut self, response: &Response) -> Result<()> {
        let head = format!(
            "HTTP/1.1 {} {}\r\ncontent-type: application/cbor\r\ncontent-length: {}\r\n\r\n",
            response.status,
            reason_phrase(response.status),
            response.body.len()
        );
        self.write(head, &response.body).await
    }

    /// Sends a request and reads its answer.
    pub async fn call(&mut self, request: &Request) -> Result<Response> {
        self.write_request(request).await?;
        self.read_response().await
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200..=299 => "OK",
        400..=499 => "Refused",
        _ => "Unavailable",
    }
}

fn parse_request_head(bytes: &[u8]) -> Result<Head<RequestHead>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes).map_err(|e| malformed(&e.to_string()))? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(length) => {
            let head = RequestHead {
                method: request.method.unwrap_or("").to_string(),
                path: request.path.unwrap_or("").to_string(),
                headers: Headers::read(request.headers)?,
            };
            Ok(Some((length, head)))
        }
    }
}

fn parse_response_head(bytes: &[u8]) -> Result<Head<(u16, Headers)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(bytes).map_err(|e| malformed(&e.to_string()))? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(length) => {
            let status = response.code.unwrap_or(0);
            Ok(Some((length, (status, Headers::read(response.headers)?))))
        }
    }
}
