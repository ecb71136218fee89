//! Faults that are injected on request, to show that the soak test detects them.
//!
//! Only builds with the feature `planted-faults` contain these faults, and only the fault that the
//! environment variable `GLENHAVEN_PLANTED` names is active.

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InjectedFault {
    /// The record of a task that is requested to stop is freed at once.
    FreesWithoutProof,
    /// A record that a new leader finds in the write-ahead log is not charged to its team.
    ForgetsChargeAtTakeover,
    /// A leader sends the starts that an earlier leader recorded.
    SendsInheritedStarts,
    /// Ended attempts are forgotten once the pushes of their starts are answered.
    ForgetsAfterAnswer,
    /// A job that a page of this node accepts counts as new without a read of the other pages.
    AcceptsAnew,
}

/// Whether this fault is active in this process.
#[cfg(feature = "planted-faults")]
pub fn is_injected(fault: InjectedFault) -> bool {
    let name = match fault {
        InjectedFault::FreesWithoutProof => "frees-without-proof",
        InjectedFault::ForgetsChargeAtTakeover => "forgets-charge-at-takeover",
        InjectedFault::SendsInheritedStarts => "sends-inherited-starts",
        InjectedFault::ForgetsAfterAnswer => "forgets-after-answer",
        InjectedFault::AcceptsAnew => "accepts-anew",
    };
    std::env::var("GLENHAVEN_PLANTED").is_ok_and(|planted| planted == name)
}

/// Whether this fault is active in this process: never, in an ordinary build.
#[cfg(not(feature = "planted-faults"))]
pub(super) const fn is_injected(_fault: InjectedFault) -> bool {
    false
}
