//! The emulated cloud: executes the controllers' HTTP requests on the simulated cloud.

use crate::cluster::EmulatedCluster;
use crate::machines;
use glenhaven::coordination::{CloudRequest, CloudResponse};
use glenhaven::protocol::cloud::ProvisionRequest;
use glenhaven_fakes::cloud::Rental;
use glenhaven_fakes::http::{Request, Response};
use glenhaven_fakes::wire;
use std::sync::Arc;

/// Machines per page of the machine list.
pub(crate) const PAGE_SIZE: usize = 500;

/// Answers one request.
pub(crate) async fn handle(cluster: Arc<EmulatedCluster>, _node: usize, request: Request) -> Option<Response> {
    let Some(request) = wire::cloud_request(&request) else {
        return Some(wire::malformed());
    };
    wire::cloud_response(&execute(&cluster, request))
}

fn execute(cluster: &Arc<EmulatedCluster>, request: CloudRequest) -> CloudResponse {
    let mut fleet = cluster.fleet();
    let now = cluster.now();
    fleet.cloud.calls += 1;
    match request {
        CloudRequest::Catalogue => CloudResponse::Catalogue(fleet.cloud.catalogue()),
        CloudRequest::Provision(rent) => {
            drop(fleet);
            execute_rent(cluster, rent)
        }
        CloudRequest::Release(hosts) => {
            for name in &hosts.machines {
                fleet.terminate_machine(now, name);
            }
            CloudResponse::Released
        }
        CloudRequest::List { after } => CloudResponse::List(fleet.cloud.list(now, &after, &fleet.workers)),
    }
}

/// Rents machines, unless the zone is out or the simulated cloud answers otherwise.
fn execute_rent(cluster: &Arc<EmulatedCluster>, rent: ProvisionRequest) -> CloudResponse {
    let mut fleet = cluster.fleet();
    if fleet.zones_out.contains(&rent.zone) {
        return CloudResponse::NoCapacity;
    }
    let count = match fleet.cloud.rent(&rent) {
        Rental::Answered(answer) => return answer,
        Rental::Machines(count) => count,
    };
    let names = (0..count).map(|_| {
        let boot = machines::boot_time(cluster, &mut fleet);
        machines::create(cluster, &mut fleet, &rent.zone, rent.spot, boot)
    });
    let names = names.collect();
    fleet.cloud.fulfil_rental(rent, names)
}
