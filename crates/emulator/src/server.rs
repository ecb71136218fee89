//! Serves the controllers' HTTP requests to the state service and the cloud, with link faults.

use crate::cluster::{EmulatedCluster, Side};
use crate::errors::EmulatorError;
use crate::faults::{Delivery, Party, Route};
use async_io::{Async, Timer};
use glenhaven_fakes::http::{Connection, Request, Response};
use glenhaven_fakes::wire::unavailable;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// Time for which a connection stays open after a response was lost.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(8);

/// Binds a listener to an address.
pub(crate) fn listen(addr: SocketAddr) -> Result<Async<TcpListener>, EmulatorError> {
    Async::<TcpListener>::bind(addr).map_err(|source| match source.kind() {
        std::io::ErrorKind::AddrInUse => EmulatorError::PortInUse { addr },
        _ => EmulatorError::Listen { addr, source },
    })
}

/// Serves one controller on its listener. The connection is closed if the handler returns no
/// response.
pub(crate) async fn serve<H, F>(
    cluster: Arc<EmulatedCluster>,
    listener: Async<TcpListener>,
    node: usize,
    side: Side,
    handler: H,
) where
    H: Fn(Arc<EmulatedCluster>, usize, Request) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response>> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let (shared, handler) = (cluster.clone(), handler.clone());
        let connection = Connection::new(stream);
        cluster
            .executor
            .spawn(serve_connection(shared, connection, node, side, handler))
            .detach();
    }
}

/// Serves the requests on one connection.
async fn serve_connection<H, F>(
    cluster: Arc<EmulatedCluster>,
    mut connection: Connection,
    node: usize,
    side: Side,
    handler: H,
) where
    H: Fn(Arc<EmulatedCluster>, usize, Request) -> F,
    F: Future<Output = Option<Response>>,
{
    let service = if side == Side::Cloud {
        Party::Cloud
    } else {
        Party::State
    };
    let route = Route::between(Party::Node(node), service);
    while let Ok(Some(request)) = connection.read_request().await {
        cluster.faults.wait_to_pass(&route, "").await;
        let delivery = cluster.faults.delivery(&route, "");
        let response = match delivery {
            Delivery::Reset => return,
            Delivery::Refuse => Some(unavailable()),
            Delivery::Late(after) => {
                Timer::after(after).await;
                handler(cluster.clone(), node, request).await;
                return;
            }
            Delivery::Deliver | Delivery::LoseAnswer => handler(cluster.clone(), node, request).await,
        };
        let Some(response) = response else { return };
        if delivery == Delivery::LoseAnswer {
            Timer::after(LOST_RESPONSE_DELAY).await;
            return;
        }
        cluster.faults.wait_to_pass(&route.back(), "").await;
        if cluster.faults.delivery(&route.back(), "") == Delivery::Reset {
            return;
        }
        let written = connection.write_response(&response).await;
        cluster.nodes[node].count(side, connection.take_traffic());
        if written.is_err() {
            return;
        }
    }
}
