//! What the cloud offers and answers.

use super::amount;
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "label")]
    pub name: String,
    #[serde(rename = "cores", deserialize_with = "amount")]
    pub cpus: f64,
    #[serde(rename = "cards", deserialize_with = "amount")]
    pub gpus: f64,
    #[serde(rename = "mem_gb", deserialize_with = "amount")]
    pub memory: f64,
    #[serde(deserialize_with = "amount")]
    pub cache_gb: f64,
    #[serde(deserialize_with = "amount")]
    pub fetch_gb_per_s: f64,
    #[serde(deserialize_with = "amount")]
    pub price: f64,
    #[serde(rename = "market_price", deserialize_with = "amount")]
    pub spot_price: f64,
    #[serde(deserialize_with = "amount")]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// The catalogue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    #[serde(rename = "flavors")]
    pub types: Vec<MachineType>,
}

/// A rental request; `claim` names it for ever.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    pub claim: String,
    #[serde(rename = "flavor")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    pub count: u32,
}

/// Machine names: those rented, or those to return.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// A machine as the list shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "ref")]
    pub name: String,
    pub addr: String,
    #[serde(rename = "flavor")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    pub phase: String,
    #[serde(rename = "held_s", deserialize_with = "amount")]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListPage {
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "truncated")]
    pub more: bool,
}
