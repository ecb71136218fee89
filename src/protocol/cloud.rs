//! The protocol of the cloud: its catalogue, rental requests and the list of machines.
//!
//! Field names on the wire are the serde names and must not change.

use super::amount;
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The name of the machine type.
    #[serde(rename = "label")]
    pub name: String,
    /// The number of CPUs of a machine.
    #[serde(rename = "cores", deserialize_with = "amount")]
    pub cpus: f64,
    /// The number of GPUs of a machine.
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "mem_gb", deserialize_with = "amount")]
    pub memory: f64,
    /// Space for images on a machine, in GB.
    #[serde(deserialize_with = "amount")]
    pub cache_gb: f64,
    /// The rate at which images are fetched, in GB per second.
    #[serde(deserialize_with = "amount")]
    pub fetch_gb_per_s: f64,
    /// The price of an on-demand machine per hour.
    #[serde(deserialize_with = "amount")]
    pub price: f64,
    /// The price of a spot machine per hour.
    #[serde(rename = "market_price", deserialize_with = "amount")]
    pub spot_price: f64,
    /// How long a machine takes to boot, in seconds.
    #[serde(deserialize_with = "amount")]
    pub boot_s: f64,
    /// The zones that offer the machine type.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// The catalogue of machine types.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The machine types.
    #[serde(rename = "flavors")]
    pub types: Vec<MachineType>,
}

/// A rental request. The cloud executes it at most once, even if it is sent repeatedly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// The permanent unique id of the request, by which repetitions are recognised.
    pub claim: String,
    /// The machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to rent spot machines.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The number of machines.
    pub count: u32,
}

/// Names of machines that were rented or that should be released.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// A rented machine in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The name of the machine.
    #[serde(rename = "ref")]
    pub name: String,
    /// The address at which the machine's agent accepts pushed commands.
    pub addr: String,
    /// The machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The phase of the machine.
    pub phase: String,
    /// The time since the machine was rented, in seconds.
    #[serde(rename = "held_s", deserialize_with = "amount")]
    pub age_s: f64,
}

/// A part of the list of rented machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListPage {
    /// The machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more machines after these.
    #[serde(rename = "truncated")]
    pub more: bool,
}
