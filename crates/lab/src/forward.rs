//! Forwarders of the links between controllers: they copy bytes, in order, as far as the link's
//! faults let them.

use crate::errors::LabError;
use crate::faults::{Fate, Party, Route};
use crate::lab::Lab;
use crate::server;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::net::TcpStream;
use std::sync::Arc;

/// Bytes that are copied at once.
const CHUNK: usize = 16 * 1024;

/// Forwards every link from one controller to another, until the experiment ends.
pub fn start(lab: &Arc<Lab>) -> Result<(), LabError> {
    let nodes = lab.nodes.len();
    for from in 0..nodes {
        for to in (0..nodes).filter(|to| *to != from) {
            let listener = server::listen(lab.addresses.forwarder(from, to))?;
            let there = Route::between(Party::Node(from), Party::Node(to));
            let (lab, executor) = (lab.clone(), lab.clone());
            let forward = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    lab.executor.spawn(forward_one(lab.clone(), stream, there, to)).detach();
                }
            };
            executor.executor.spawn(forward).detach();
        }
    }
    Ok(())
}

async fn forward_one(lab: Arc<Lab>, near: Async<TcpStream>, there: Route, to: usize) {
    let Ok(far) = Async::<TcpStream>::connect(lab.addresses.peer(to)).await else {
        return;
    };
    near.get_ref().set_nodelay(true).ok();
    far.get_ref().set_nodelay(true).ok();
    let forth = copy(&lab, &near, &far, there);
    let back = copy(&lab, &far, &near, there.back());
    forth.or(back).await;
}

/// Copies one direction until one side closes, or a fault resets the connection.
async fn copy(lab: &Lab, from: &Async<TcpStream>, to: &Async<TcpStream>, route: Route) {
    let (mut from, mut to) = (from, to);
    let mut chunk = vec![0u8; CHUNK];
    loop {
        let Ok(n @ 1..) = from.read(&mut chunk).await else {
            return;
        };
        lab.faults.passes(&route, "").await;
        if lab.faults.fate(&route, "") == Fate::Reset {
            // Half of what was sent arrives.
            to.write_all(&chunk[..n / 2]).await.ok();
            return;
        }
        if to.write_all(&chunk[..n]).await.is_err() {
            return;
        }
    }
}
