//! Jobs that wait for others: which of them may begin, which are withdrawn because one
//! that they need is, and what the last job of a chain lends to those before it.
//!
//! The crate is told what is committed: a job that names others was accepted, a job is
//! done, a job is withdrawn. It answers from that alone and in whatever order it was told.
//! A job that has begun has all it needs done, and what is done stays done: only jobs that
//! never began are withdrawn with another.
//!
//! ```
//! use glenhaven_dependencies::{DependencyGraph, News, Stand};
//!
//! let mut chains = DependencyGraph::new();
//! chains.add("run-2", &["run-1".into()], ());
//! assert_eq!(chains.stand("run-2"), Some(Stand::Unsettled), "nobody said what run-1 is");
//! chains.open("run-1");
//! assert_eq!(chains.stand("run-2"), Some(Stand::Waits));
//! chains.ended("run-1", true);
//! assert_eq!(chains.stand("run-2"), Some(Stand::Free));
//! assert_eq!(chains.take_news(), [News::Free("run-2".into())]);
//! ```
#![forbid(unsafe_code)]

mod inheritance;

pub use inheritance::Lent;

use std::collections::{BTreeMap, BTreeSet};

/// What is known of a job by its own key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing: whether it is over has to be read.
    Unknown,
    Open,
    Done,
    Withdrawn,
}

/// Where a job stands that names others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    /// Whether all before it are open is not known.
    Unsettled,
    /// Something that it needs is not done.
    Waits,
    /// All that it needs is done.
    Free,
    /// Something before it is withdrawn, and it with it.
    Withdrawn,
}

/// Something that became true of a job that names others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// It may begin.
    Free(String),
    /// It is withdrawn, because one that it needs is.
    Withdrawn(String),
}

#[derive(Debug)]
struct Link<J> {
    phase: Phase,
    /// What it names, each once, while it is open.
    needs: Vec<String>,
    job: Option<J>,
    /// How many of them are not done.
    left: usize,
    /// One before it is withdrawn.
    lost: bool,
    /// Open jobs that name it.
    after: BTreeSet<String>,
}

impl<J> Default for Link<J> {
    fn default() -> Self {
        Link {
            phase: Phase::Unknown,
            needs: vec![],
            job: None,
            left: 0,
            lost: false,
            after: BTreeSet::new(),
        }
    }
}

/// Open jobs that name others, and what is known of those that they name. `J` is what the
/// caller keeps of a job that names others.
#[derive(Debug)]
pub struct DependencyGraph<J> {
    links: BTreeMap<String, Link<J>>,
    /// Named jobs of which nothing is known.
    unknown: BTreeSet<String>,
    news: Vec<News>,
}

impl<J> Default for DependencyGraph<J> {
    fn default() -> Self {
        DependencyGraph {
            links: BTreeMap::new(),
            unknown: BTreeSet::new(),
            news: vec![],
        }
    }
}

impl<J> DependencyGraph<J> {
    /// Nothing is known.
    pub fn new() -> DependencyGraph<J> {
        DependencyGraph::default()
    }

    /// An accepted job that names these. Told again, it changes nothing; of a job that is
    /// over, nothing is kept.
    pub fn add(&mut self, id: &str, needs: &[String], job: J) {
        let link = self.links.entry(id.to_string()).or_default();
        if link.job.is_some() || matches!(link.phase, Phase::Done | Phase::Withdrawn) {
            return;
        }
        let mut named: Vec<String> = needs.iter().filter(|n| *n != id).cloned().collect();
        named.sort();
        named.dedup();
        link.phase = Phase::Open;
        link.job = Some(job);
        link.needs.clone_from(&named);
        self.unknown.remove(id);
        let (mut left, mut lost) = (0, false);
        for need in named {
            let before = self.links.entry(need.clone()).or_default();
            before.after.insert(id.to_string());
            left += usize::from(before.phase != Phase::Done);
            lost |= before.lost || before.phase == Phase::Withdrawn;
            if before.phase == Phase::Unknown {
                self.unknown.insert(need);
            }
        }
        if let Some(link) = self.links.get_mut(id) {
            link.left = left;
        }
        if lost {
            self.lose(id.to_string());
        } else if left == 0 {
            self.news.push(News::Free(id.to_string()));
        }
    }

    /// A job was accepted and is not known to be over.
    pub fn open(&mut self, id: &str) {
        if let Some(link) = self.links.get_mut(id).filter(|l| l.phase == Phase::Unknown) {
            link.phase = Phase::Open;
            self.unknown.remove(id);
        }
    }

    /// A job is over for good: done, or withdrawn.
    pub fn ended(&mut self, id: &str, done: bool) {
        let Some(link) = self.links.get_mut(id) else { return };
        if matches!(link.phase, Phase::Done | Phase::Withdrawn) {
            return;
        }
        link.phase = if done { Phase::Done } else { Phase::Withdrawn };
        link.job = None;
        let needs = std::mem::take(&mut link.needs);
        let after: Vec<String> = link.after.iter().cloned().collect();
        self.unknown.remove(id);
        for need in needs {
            if let Some(before) = self.links.get_mut(&need) {
                before.after.remove(id);
            }
            self.drop_unneeded(&need);
        }
        for next in after {
            if !done {
                self.lose(next);
            } else if let Some(link) = self.links.get_mut(&next) {
                link.left -= 1;
                if link.left == 0 && !link.lost {
                    self.news.push(News::Free(next));
                }
            }
        }
        self.drop_unneeded(id);
    }

    /// A job is withdrawn with what it needs, and all that need it with it.
    fn lose(&mut self, id: String) {
        let mut rest = vec![id];
        while let Some(id) = rest.pop() {
            let Some(link) = self.links.get_mut(&id).filter(|l| l.job.is_some() && !l.lost) else {
                continue;
            };
            link.lost = true;
            rest.extend(link.after.iter().cloned());
            self.news.push(News::Withdrawn(id));
        }
    }

    fn drop_unneeded(&mut self, id: &str) {
        if self
            .links
            .get(id)
            .is_some_and(|l| l.job.is_none() && l.after.is_empty())
        {
            self.links.remove(id);
            self.unknown.remove(id);
        }
    }

    /// Forgets everything, to be told anew.
    pub fn forget(&mut self) {
        *self = DependencyGraph::new();
    }

    /// Where an open job stands that names others; `None` for any other job.
    pub fn stand(&self, id: &str) -> Option<Stand> {
        let link = self.links.get(id).filter(|l| l.job.is_some())?;
        Some(if link.lost {
            Stand::Withdrawn
        } else if link.left == 0 {
            Stand::Free
        } else if self.is_unsettled(link) {
            Stand::Unsettled
        } else {
            Stand::Waits
        })
    }

    /// Whether nothing is known of some job before this one.
    fn is_unsettled(&self, link: &Link<J>) -> bool {
        if self.unknown.is_empty() {
            return false;
        }
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        let mut rest: Vec<&str> = link.needs.iter().map(String::as_str).collect();
        while let Some(id) = rest.pop() {
            if self.unknown.contains(id) {
                return true;
            }
            if seen.insert(id) {
                let needs = self.links.get(id).map(|l| l.needs.iter());
                rest.extend(needs.into_iter().flatten().map(String::as_str));
            }
        }
        false
    }

    /// What the caller keeps of an open job that names others.
    pub fn job(&self, id: &str) -> Option<&J> {
        self.links.get(id)?.job.as_ref()
    }

    /// All open jobs that name others, in the order of their names.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, &J)> {
        self.links
            .iter()
            .filter_map(|(id, l)| Some((id.as_str(), l.job.as_ref()?)))
    }

    /// Whether an open job names this one.
    pub fn is_needed(&self, id: &str) -> bool {
        self.links.get(id).is_some_and(|l| !l.after.is_empty())
    }

    /// Named jobs of which nothing is known: whether they are over has to be read.
    pub fn unknown(&self) -> impl Iterator<Item = &str> {
        self.unknown.iter().map(String::as_str)
    }

    /// What became true since the last call, in that order.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }
}
