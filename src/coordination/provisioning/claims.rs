//! Claims: rental requests and their records.
//!
//! A claim is recorded in the leader's log before it is requested from the cloud, and requested
//! again under the same name by the next leader. The log reads from here what is to be recorded and
//! reports what has been.
//!
//! Invariant: a claim is requested only when its record is committed, and its record is dropped only
//! when it is settled.

use super::{MachineId, Provisioning};
use crate::storage::records::ClaimValue;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// How far a claim has come.
pub(super) enum ClaimState {
    /// To be recorded first.
    Unrecorded,
    /// Recorded; to be requested.
    Recorded,
    /// Requested; the answer is awaited.
    Requested,
    /// Answered; kept until every machine of it has been seen.
    Answered(Vec<MachineId>),
    /// Its record may be dropped.
    Settled,
}

/// A rental request.
pub(super) struct Claim {
    /// The name under which it is requested: the cloud rents no machine twice under one name.
    pub(super) id: String,
    pub(super) value: ClaimValue,
    pub(super) state: ClaimState,
    /// The page of the log that records it, if one does.
    pub(super) segment: Option<u64>,
    /// When it may be requested, again after an answer that did not decide it.
    pub(super) retry_at: Micros,
}

impl Provisioning {
    /// Adopts the claims of an earlier leader. They are requested again under the same names: that
    /// gives the names of their machines or, if they were never requested, rents them now.
    /// `claims`: by name, the page that records each and its value.
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

    /// Up to `max` claims that are to be recorded.
    pub fn claims_to_record(&self, max: usize) -> Vec<(String, ClaimValue)> {
        self.claims
            .iter()
            .filter(|c| matches!(c.state, ClaimState::Unrecorded))
            .take(max)
            .map(|c| (c.id.clone(), c.value.clone()))
            .collect()
    }

    /// The record of a claim is committed in this page of the log.
    pub fn claim_recorded(&mut self, id: &str, segment: u64) {
        if let Some(claim) = self.claims.iter_mut().find(|c| c.id == id) {
            claim.segment = (segment > 0).then_some(segment);
            if matches!(claim.state, ClaimState::Unrecorded) {
                claim.state = ClaimState::Recorded;
            }
        }
    }

    /// Unsettled claims that are recorded in pages before this one.
    pub fn claims_before(&self, segment: u64) -> Vec<(String, ClaimValue)> {
        self.claims
            .iter()
            .filter(|c| c.segment.is_some_and(|s| s < segment) && !matches!(c.state, ClaimState::Settled))
            .map(|c| (c.id.clone(), c.value.clone()))
            .collect()
    }

    /// The first page that records a claim other than these.
    pub fn oldest_claim(&self, except: &BTreeSet<&str>) -> Option<u64> {
        self.claims
            .iter()
            .filter(|c| !except.contains(c.id.as_str()))
            .filter_map(|c| c.segment)
            .min()
    }

    /// Up to `max` claims that are settled and whose records are to be dropped.
    pub fn claims_to_drop(&self, max: usize) -> Vec<String> {
        self.claims
            .iter()
            .filter(|c| matches!(c.state, ClaimState::Settled))
            .take(max)
            .map(|c| c.id.clone())
            .collect()
    }

    /// The log has dropped the records of these claims.
    pub fn claims_dropped(&mut self, ids: &[String]) {
        self.claims.retain(|c| !ids.contains(&c.id));
    }

    /// Claims whose machines are on their way, and not named yet.
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
