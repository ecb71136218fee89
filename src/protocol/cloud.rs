//! The protocol of the cloud: its catalogue, rental requests and the list of machines.
//!
//! The serde names are those of the wire.

use super::amount;
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs of a machine.
    #[serde(rename = "cores", deserialize_with = "amount")]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "mem_gb", deserialize_with = "amount")]
    pub memory: f64,
    /// Space for images on a machine, in GB.
    #[serde(deserialize_with = "amount")]
    pub cache_gb: f64,
    /// How fast images are fetched, in GB per second.
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
    /// The zones that offer it.
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

/// A rental request, which is executed once however often it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Identifies the request for ever.
    pub claim: String,
    /// The machine type.
    /// The machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is spot capacity.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The number of machines.
    pub count: u32,
}

/// Names of machines: those that were rented, or those to be released.
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
    /// The address at which its agent takes pushes.
    pub addr: String,
    /// The machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is spot capacity.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The phase of the machine.
    pub phase: String,
    /// How long ago it was rented, in seconds.
    #[serde(rename = "held_s", deserialize_with = "amount")]
    pub age_s: f64,
}

/// A part of the list of rented machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListPage {
    /// The machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are more.
    #[serde(rename = "truncated")]
    pub more: bool,
}
