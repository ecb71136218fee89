//! Rental requests and their records: each is recorded before it is made, and asked for again
//! under the same name by the next leader.

use super::{Claim, ClaimState, Provisioning};
use crate::storage::records::ClaimValue;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

impl Provisioning {
    /// Requests of an earlier leader: asked again under the same name, which
    /// tells their machines or, if they were never made, makes them now.
    pub fn adopt_claims(&mut self, claims: BTreeMap<String, (u64, ClaimValue)>, now: Micros) {
        for (id, (base, value)) in claims {
            self.claims.push(Claim {
                id,
                value,
                state: ClaimState::Recorded,
                base,
                again_at: now,
                tries: 0,
            });
        }
    }

    pub fn claims_to_record(&self, most: usize) -> Vec<(String, ClaimValue)> {
        self.claims
            .iter()
            .filter(|c| matches!(c.state, ClaimState::Wanted))
            .take(most)
            .map(|c| (c.id.clone(), c.value.clone()))
            .collect()
    }

    /// The request stands in this page of the book.
    pub fn claim_recorded(&mut self, id: &str, base: u64) {
        if let Some(c) = self.claims.iter_mut().find(|c| c.id == id) {
            c.base = base;
            if matches!(c.state, ClaimState::Wanted) {
                c.state = ClaimState::Recorded;
            }
        }
    }

    /// Requests that stand in pages before this one.
    pub fn claims_before(&self, page: u64) -> Vec<(String, ClaimValue)> {
        self.claims
            .iter()
            .filter(|c| c.base > 0 && c.base < page && !matches!(c.state, ClaimState::Over))
            .map(|c| (c.id.clone(), c.value.clone()))
            .collect()
    }

    /// The first page that says something of a request other than these.
    pub fn oldest_claim(&self, but: &BTreeSet<&str>) -> Option<u64> {
        self.claims
            .iter()
            .filter(|c| c.base > 0 && !but.contains(c.id.as_str()))
            .map(|c| c.base)
            .min()
    }

    /// Requests that are settled, and of which the book is to say so.
    pub fn claims_to_drop(&self, most: usize) -> Vec<String> {
        self.claims
            .iter()
            .filter(|c| matches!(c.state, ClaimState::Over))
            .take(most)
            .map(|c| c.id.clone())
            .collect()
    }

    /// The book says that these are settled.
    pub fn claims_dropped(&mut self, ids: &[String]) {
        self.claims.retain(|c| !ids.contains(&c.id));
    }

    /// Machines asked for and not yet named.
    pub fn coming(&self) -> impl Iterator<Item = &ClaimValue> {
        self.claims
            .iter()
            .filter(|c| matches!(c.state, ClaimState::Wanted | ClaimState::Recorded | ClaimState::Asked))
            .map(|c| &c.value)
    }
}
