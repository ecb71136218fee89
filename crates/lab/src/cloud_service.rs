//! The cloud behind sockets.

use crate::lab::Lab;
use crate::machines;
use glenhaven::coordination::{CloudAnswer, CloudRequest};
use glenhaven::protocol::cloud::Rent;
use glenhaven_standins::cloud::Rental;
use glenhaven_standins::http::{Request, Response};
use glenhaven_standins::wire;
use std::sync::Arc;

/// Machines in one page of the list.
pub const PAGE: usize = 500;

/// Answers one request.
pub async fn handle(lab: Arc<Lab>, _node: usize, request: Request) -> Option<Response> {
    let Some(request) = wire::cloud_request(&request) else {
        return Some(wire::malformed());
    };
    wire::cloud_response(&execute(&lab, request))
}

fn execute(lab: &Arc<Lab>, request: CloudRequest) -> CloudAnswer {
    let mut fleet = lab.fleet();
    let now = lab.now();
    fleet.cloud.calls += 1;
    match request {
        CloudRequest::Catalogue => CloudAnswer::Catalogue(fleet.cloud.catalogue()),
        CloudRequest::Rent(rent) => {
            drop(fleet);
            execute_rent(lab, rent)
        }
        CloudRequest::Release(hosts) => {
            for name in &hosts.machines {
                fleet.machine_dies(now, name);
            }
            CloudAnswer::Released
        }
        CloudRequest::List { after } => CloudAnswer::List(fleet.cloud.list(now, &after, &fleet.workers)),
    }
}

fn execute_rent(lab: &Arc<Lab>, rent: Rent) -> CloudAnswer {
    let mut fleet = lab.fleet();
    if fleet.zones_out.contains(&rent.zone) {
        return CloudAnswer::NoCapacity;
    }
    let count = match fleet.cloud.rent(&rent) {
        Rental::Answered(answer) => return answer,
        Rental::Machines(count) => count,
    };
    let names = (0..count).map(|_| {
        let boot = machines::boot_time(lab, &mut fleet);
        machines::create(lab, &mut fleet, &rent.zone, rent.spot, boot)
    });
    let names = names.collect();
    fleet.cloud.rented_as(rent, names)
}
