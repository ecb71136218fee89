//! Forwarders of the links between controllers. They copy bytes in order, subject to link faults.

use crate::cluster::EmulatedCluster;
use crate::errors::EmulatorError;
use crate::faults::{Delivery, Party, Route};
use crate::server;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::net::TcpStream;
use std::sync::Arc;

/// Largest number of bytes copied at once.
const CHUNK: usize = 16 * 1024;

/// Starts the forwarders of all links between controllers.
pub(crate) fn start(cluster: &Arc<EmulatedCluster>) -> Result<(), EmulatorError> {
    let nodes = cluster.nodes.len();
    for from in 0..nodes {
        for to in (0..nodes).filter(|to| *to != from) {
            let listener = server::listen(cluster.addresses.forwarder(from, to))?;
            let route = Route::between(Party::Node(from), Party::Node(to));
            let (cluster, executor) = (cluster.clone(), cluster.clone());
            let forward = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    cluster
                        .executor
                        .spawn(forward_connection(cluster.clone(), stream, route, to))
                        .detach();
                }
            };
            executor.executor.spawn(forward).detach();
        }
    }
    Ok(())
}

/// Forwards one connection in both directions until either ends.
async fn forward_connection(cluster: Arc<EmulatedCluster>, near: Async<TcpStream>, route: Route, to: usize) {
    let Ok(far) = Async::<TcpStream>::connect(cluster.addresses.peer(to)).await else {
        return;
    };
    near.get_ref().set_nodelay(true).ok();
    far.get_ref().set_nodelay(true).ok();
    let forward = copy(&cluster, &near, &far, route);
    let back = copy(&cluster, &far, &near, route.back());
    forward.or(back).await;
}

/// Copies one direction until one side closes, or a fault resets the connection.
async fn copy(cluster: &EmulatedCluster, from: &Async<TcpStream>, to: &Async<TcpStream>, route: Route) {
    let (mut from, mut to) = (from, to);
    let mut chunk = vec![0u8; CHUNK];
    loop {
        let Ok(n @ 1..) = from.read(&mut chunk).await else {
            return;
        };
        cluster.faults.wait_to_pass(&route, "").await;
        if cluster.faults.delivery(&route, "") == Delivery::Reset {
            // The receiver gets only half of the chunk.
            to.write_all(&chunk[..n / 2]).await.ok();
            return;
        }
        if to.write_all(&chunk[..n]).await.is_err() {
            return;
        }
    }
}
