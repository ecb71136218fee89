//! Claims: rental requests and their records in the leader's log.
//!
//! A claim is recorded in the log before it is requested from the cloud, and the next leader
//! requests it again under the same name. The log reads from this module which claims are to be
//! recorded and which records can be dropped, and reports back what has been committed.
//!
//! Invariant: a claim is requested only after its record is committed, and its record is dropped
//! only after the claim is settled.

use super::{MachineId, Provisioning};
use crate::storage::records::ClaimValue;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The progress of a claim.
pub(super) enum ClaimState {
    /// Not yet recorded in the log.
    Unrecorded,
    /// Recorded in the log, to be requested from the cloud.
    Recorded,
    /// Requested; there is no response yet.
    Requested,
    /// Answered with these machines. The claim is kept until each of them has sent a heartbeat or
    /// appeared in the cloud's list.
    Answered(Vec<MachineId>),
    /// Done; the record may be dropped.
    Settled,
}

/// A rental request.
pub(super) struct Claim {
    /// The name of the request, which makes it idempotent: the cloud executes a rental only once
    /// for each name.
    pub(super) id: String,
    pub(super) value: ClaimValue,
    pub(super) state: ClaimState,
    /// The log segment that holds the claim's record, if there is one.
    pub(super) segment: Option<u64>,
    /// The earliest time for the request, or for its retry after a response that did not settle the
    /// claim.
    pub(super) retry_at: Micros,
}

impl Provisioning {
    /// Adopts the claims of an earlier leader, given by name with the log segment and the value of
    /// each.
    ///
    /// The claims are requested again under the same names. The cloud's response names their
    /// machines; if a claim was never requested before, its machines are rented now.
    pub fn adopt_claims(&mut self, claims: BTreeMap<String, (u64, ClaimValue)>, now: Micros) {
        for (id, (segment, value)) in claims {
            self.claims.push(Claim {
                id,
                value,
                state: ClaimState::Recorded,
                segment: (segment > 0).then_some(segment),
                retry_at: now,
            });
        }
    }

    /// Returns up to `max` claims that are to be recorded.
    pub fn claims_to_record(&self, max: usize) -> Vec<(String, ClaimValue)> {
        self.claims
            .iter()
            .filter(|c| matches!(c.state, ClaimState::Unrecorded))
            .take(max)
            .map(|c| (c.id.clone(), c.value.clone()))
            .collect()
    }

    /// Handles the commit of a claim's record in this log segment.
    pub fn claim_recorded(&mut self, id: &str, segment: u64) {
        if let Some(claim) = self.claims.iter_mut().find(|c| c.id == id) {
            claim.segment = (segment > 0).then_some(segment);
            if matches!(claim.state, ClaimState::Unrecorded) {
                claim.state = ClaimState::Recorded;
            }
        }
    }

    /// Returns the unsettled claims whose records are in log segments before this one.
    pub fn claims_in_segments_before(&self, segment: u64) -> Vec<(String, ClaimValue)> {
        self.claims
            .iter()
            .filter(|c| c.segment.is_some_and(|s| s < segment) && !matches!(c.state, ClaimState::Settled))
            .map(|c| (c.id.clone(), c.value.clone()))
            .collect()
    }

    /// Returns the oldest log segment that holds the record of a claim not in `except`.
    pub fn oldest_claim_segment(&self, except: &BTreeSet<&str>) -> Option<u64> {
        self.claims
            .iter()
            .filter(|c| !except.contains(c.id.as_str()))
            .filter_map(|c| c.segment)
            .min()
    }

    /// Returns up to `max` settled claims, whose records are to be removed.
    pub fn claims_to_remove(&self, max: usize) -> Vec<String> {
        self.claims
            .iter()
            .filter(|c| matches!(c.state, ClaimState::Settled))
            .take(max)
            .map(|c| c.id.clone())
            .collect()
    }

    /// Removes claims whose records were removed from the log.
    pub fn claims_removed(&mut self, ids: &[String]) {
        self.claims.retain(|c| !ids.contains(&c.id));
    }

    /// Returns the claims that the cloud has not answered yet, so that their machines are expected
    /// but have no names.
    pub fn unanswered_claims(&self) -> impl Iterator<Item = &ClaimValue> {
        let is_unanswered = |state: &ClaimState| {
            matches!(
                state,
                ClaimState::Unrecorded | ClaimState::Recorded | ClaimState::Requested
            )
        };
        self.claims
            .iter()
            .filter(move |c| is_unanswered(&c.state))
            .map(|c| &c.value)
    }
}
