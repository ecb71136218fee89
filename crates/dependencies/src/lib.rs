//! The graph of jobs with dependencies: which jobs are ready, which are cancelled because a
//! dependency was, and which priority and deadline a job inherits from its dependents.
//!
//! The caller reports committed facts: a job with dependencies was accepted, a job is done, a job
//! is cancelled. Invariant: the state of the graph depends only on these facts, not on their order.
//! All dependencies of a job that has started are done and stay done, so that only a job that never
//! started is cancelled together with a dependency.
//!
//! ```
//! use glenhaven_dependencies::{DependencyChange, DependencyGraph, DependencyState};
//!
//! let mut graph = DependencyGraph::new();
//! graph.add("run-2", &["run-1".into()], ());
//! assert_eq!(graph.state("run-2"), Some(DependencyState::Undetermined), "nothing is known of run-1");
//! graph.mark_open("run-1");
//! assert_eq!(graph.state("run-2"), Some(DependencyState::Blocked));
//! graph.mark_ended("run-1", true);
//! assert_eq!(graph.state("run-2"), Some(DependencyState::Ready));
//! assert_eq!(graph.take_changes(), [DependencyChange::Ready("run-2".into())]);
//! ```
#![forbid(unsafe_code)]

mod inheritance;

pub use inheritance::Inherited;

use std::collections::{BTreeMap, BTreeSet};

/// The phase of a job, as reported by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing was reported: the caller has to read whether the job has ended.
    Unknown,
    Open,
    Done,
    Cancelled,
}

/// The state of an open job with dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// The phase of some direct or transitive dependency is unknown.
    Undetermined,
    /// A dependency is not done.
    Blocked,
    /// All dependencies are done.
    Ready,
    /// The job is cancelled because a direct or transitive dependency is.
    Cancelled,
}

/// A change of the state of an open job with dependencies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DependencyChange {
    /// The job with this id may start.
    Ready(String),
    /// The job with this id is cancelled because a direct or transitive dependency is.
    Cancelled(String),
}

/// A job in the graph: an open one with dependencies, or one that such a job depends on.
#[derive(Debug)]
struct Node<J> {
    phase: Phase,
    /// The direct dependencies without duplicates; empty once the job has ended.
    dependencies: Vec<String>,
    /// The caller's data of the job, if the job is open and has dependencies.
    job: Option<J>,
    /// The number of direct dependencies that are not done.
    unfinished: usize,
    /// Whether the job is cancelled because a dependency is.
    cancelled: bool,
    /// Open jobs that directly depend on this one.
    dependents: BTreeSet<String>,
}

impl<J> Default for Node<J> {
    fn default() -> Self {
        Node {
            phase: Phase::Unknown,
            dependencies: vec![],
            job: None,
            unfinished: 0,
            cancelled: false,
            dependents: BTreeSet::new(),
        }
    }
}

/// The graph of open jobs with dependencies. `J` is the data that the caller stores with each of
/// them.
#[derive(Debug)]
pub struct DependencyGraph<J> {
    nodes: BTreeMap<String, Node<J>>,
    /// Dependencies whose phase is unknown.
    unknown: BTreeSet<String>,
    changes: Vec<DependencyChange>,
}

impl<J> Default for DependencyGraph<J> {
    fn default() -> Self {
        DependencyGraph {
            nodes: BTreeMap::new(),
            unknown: BTreeSet::new(),
            changes: vec![],
        }
    }
}

impl<J> DependencyGraph<J> {
    /// Creates an empty graph.
    pub fn new() -> DependencyGraph<J> {
        DependencyGraph::default()
    }

    /// Adds an accepted job with its direct dependencies. Does nothing if the job was added before
    /// or has ended.
    pub fn add(&mut self, id: &str, dependencies: &[String], job: J) {
        let node = self.nodes.entry(id.to_string()).or_default();
        if node.job.is_some() || matches!(node.phase, Phase::Done | Phase::Cancelled) {
            return;
        }
        let mut dependencies: Vec<String> = dependencies.iter().filter(|d| *d != id).cloned().collect();
        dependencies.sort();
        dependencies.dedup();
        node.phase = Phase::Open;
        node.job = Some(job);
        node.dependencies.clone_from(&dependencies);
        self.unknown.remove(id);
        let (mut unfinished, mut cancelled) = (0, false);
        for dependency_id in dependencies {
            let dependency = self.nodes.entry(dependency_id.clone()).or_default();
            dependency.dependents.insert(id.to_string());
            unfinished += usize::from(dependency.phase != Phase::Done);
            cancelled |= dependency.cancelled || dependency.phase == Phase::Cancelled;
            if dependency.phase == Phase::Unknown {
                self.unknown.insert(dependency_id);
            }
        }
        if let Some(node) = self.nodes.get_mut(id) {
            node.unfinished = unfinished;
        }
        if cancelled {
            self.cancel(id.to_string());
        } else if unfinished == 0 {
            self.changes.push(DependencyChange::Ready(id.to_string()));
        }
    }

    /// Records that a job was accepted and has not ended.
    pub fn mark_open(&mut self, id: &str) {
        if let Some(node) = self.nodes.get_mut(id).filter(|node| node.phase == Phase::Unknown) {
            node.phase = Phase::Open;
            self.unknown.remove(id);
        }
    }

    /// Records that a job has ended: as done if `done` is true, otherwise as cancelled.
    pub fn mark_ended(&mut self, id: &str, done: bool) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        if matches!(node.phase, Phase::Done | Phase::Cancelled) {
            return;
        }
        node.phase = if done { Phase::Done } else { Phase::Cancelled };
        node.job = None;
        let dependencies = std::mem::take(&mut node.dependencies);
        let dependents: Vec<String> = node.dependents.iter().cloned().collect();
        self.unknown.remove(id);
        for dependency_id in dependencies {
            if let Some(dependency) = self.nodes.get_mut(&dependency_id) {
                dependency.dependents.remove(id);
            }
            self.remove_if_unneeded(&dependency_id);
        }
        for dependent in dependents {
            if !done {
                self.cancel(dependent);
            } else if let Some(node) = self.nodes.get_mut(&dependent) {
                node.unfinished -= 1;
                if node.unfinished == 0 && !node.cancelled {
                    self.changes.push(DependencyChange::Ready(dependent));
                }
            }
        }
        self.remove_if_unneeded(id);
    }

    /// Cancels a job because a dependency is cancelled, and all its direct and transitive
    /// dependents.
    fn cancel(&mut self, id: String) {
        let mut to_visit = vec![id];
        while let Some(id) = to_visit.pop() {
            let Some(node) = self
                .nodes
                .get_mut(&id)
                .filter(|node| node.job.is_some() && !node.cancelled)
            else {
                continue;
            };
            node.cancelled = true;
            to_visit.extend(node.dependents.iter().cloned());
            self.changes.push(DependencyChange::Cancelled(id));
        }
    }

    /// Removes a node unless it is an open job with dependencies or such a job depends on it.
    fn remove_if_unneeded(&mut self, id: &str) {
        if self
            .nodes
            .get(id)
            .is_some_and(|node| node.job.is_none() && node.dependents.is_empty())
        {
            self.nodes.remove(id);
            self.unknown.remove(id);
        }
    }

    /// Removes all jobs, before the caller adds them again.
    pub fn clear(&mut self) {
        *self = DependencyGraph::new();
    }

    /// Returns the state of an open job with dependencies; `None` for any other job.
    pub fn state(&self, id: &str) -> Option<DependencyState> {
        let node = self.nodes.get(id).filter(|node| node.job.is_some())?;
        Some(if node.cancelled {
            DependencyState::Cancelled
        } else if node.unfinished == 0 {
            DependencyState::Ready
        } else if self.is_undetermined(node) {
            DependencyState::Undetermined
        } else {
            DependencyState::Blocked
        })
    }

    /// Whether the phase of some direct or transitive dependency is unknown.
    fn is_undetermined(&self, node: &Node<J>) -> bool {
        if self.unknown.is_empty() {
            return false;
        }
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        let mut to_visit: Vec<&str> = node.dependencies.iter().map(String::as_str).collect();
        while let Some(id) = to_visit.pop() {
            if self.unknown.contains(id) {
                return true;
            }
            if seen.insert(id) {
                let dependencies = self.nodes.get(id).map(|node| node.dependencies.iter());
                to_visit.extend(dependencies.into_iter().flatten().map(String::as_str));
            }
        }
        false
    }

    /// Returns the caller's data of an open job with dependencies; `None` for any other job.
    pub fn job(&self, id: &str) -> Option<&J> {
        self.nodes.get(id)?.job.as_ref()
    }

    /// Returns all open jobs with dependencies, in the order of their ids.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, &J)> {
        self.nodes
            .iter()
            .filter_map(|(id, node)| Some((id.as_str(), node.job.as_ref()?)))
    }

    /// Whether an open job directly depends on this one.
    pub fn has_dependents(&self, id: &str) -> bool {
        self.nodes.get(id).is_some_and(|node| !node.dependents.is_empty())
    }

    /// Returns the dependencies whose phase is unknown: the caller has to read whether they have
    /// ended.
    pub fn unknown(&self) -> impl Iterator<Item = &str> {
        self.unknown.iter().map(String::as_str)
    }

    /// Returns and removes the changes since the last call, in their order.
    pub fn take_changes(&mut self) -> Vec<DependencyChange> {
        std::mem::take(&mut self.changes)
    }
}
