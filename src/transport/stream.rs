//! A TCP stream that can be cloned, as async-h1 requires.

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};
use std::io::Result;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// A shared handle of a TCP stream. async-io implements reading and writing only for references,
/// while async-h1 takes an owned handle that can be cloned.
#[derive(Clone, Debug)]
pub struct Stream(Arc<Async<TcpStream>>);

impl Stream {
    /// Wraps a connected stream and disables Nagle's algorithm, so that small messages don't wait
    /// for the acknowledgement of earlier ones.
    pub fn new(stream: Async<TcpStream>) -> Stream {
        stream.get_ref().set_nodelay(true).ok();
        Stream(Arc::new(stream))
    }
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(cx, buf)
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(cx)
    }
    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut &*self.0).poll_close(cx)
    }
}
