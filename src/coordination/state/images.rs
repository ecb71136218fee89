//! An index of the images in machines' caches.
//!
//! Invariant: the index is the inverse of the machines' `cached_images`; both change only in this
//! module, in the same step. The scheduler reads the index. The caches are estimates: agents don't
//! report what they have cached.

use super::{CachedImage, LeaderState, Machine, MachineId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The machines that have each image.
#[derive(Debug, Default)]
pub struct ImageIndex {
    locations: BTreeMap<Rc<str>, BTreeSet<MachineId>>,
}

impl ImageIndex {
    /// Returns the machines that have an image; `None`, or an empty set, if there are none.
    pub fn get(&self, image: &str) -> Option<&BTreeSet<MachineId>> {
        self.locations.get(image)
    }

    /// Returns the machines that have an image, together with the shared copy of its name.
    pub fn get_key_value(&self, image: &str) -> Option<(&Rc<str>, &BTreeSet<MachineId>)> {
        self.locations.get_key_value(image)
    }

    /// Records that a machine used an image, and evicts the least recently used images from its
    /// cache until the rest fits into `cache_gb`. The image that was just used always stays.
    fn record_use(&mut self, machine: &mut Machine, image: &str, size_gb: f64, cache_gb: f64) {
        machine.fetching_images.remove(image);
        let cached = &mut machine.cached_images;
        if cached.back().is_some_and(|last| *last.name == *image) {
            return;
        }
        let name = match cached.iter().position(|c| *c.name == *image) {
            Some(at) => cached.remove(at).map_or_else(|| image.into(), |c| c.name),
            None => self.add(image, &machine.name),
        };
        cached.push_back(CachedImage { name, size_gb });
        while cached.len() > 1 && cached.iter().map(|c| c.size_gb).sum::<f64>() > cache_gb {
            let Some(evicted) = cached.pop_front() else { break };
            if let Some(at) = self.locations.get_mut(&evicted.name) {
                at.remove(&machine.name);
            }
        }
    }

    /// Adds a machine to those that have an image; returns the shared copy of the image's name.
    fn add(&mut self, image: &str, machine: &MachineId) -> Rc<str> {
        let known = self.locations.get_key_value(image);
        let name: Rc<str> = known.map_or_else(|| image.into(), |(name, _)| name.clone());
        self.locations.entry(name.clone()).or_default().insert(machine.clone());
        name
    }

    /// Empties a machine's cache.
    fn clear_machine(&mut self, machine: &mut Machine) {
        machine.fetching_images.clear();
        for image in std::mem::take(&mut machine.cached_images) {
            if let Some(at) = self.locations.get_mut(&image.name) {
                at.remove(&machine.name);
                if at.is_empty() {
                    self.locations.remove(&image.name);
                }
            }
        }
    }
}

impl LeaderState {
    /// Records that a machine whose cache holds `cache_gb` used an image of `size_gb`.
    pub fn record_image_use(&mut self, machine: &MachineId, image: &str, size_gb: f64, cache_gb: f64) {
        if let Some(machine) = self.machines.get_mut(machine) {
            self.image_locations.record_use(machine, image, size_gb, cache_gb);
        }
    }

    /// Empties a machine's image cache, also in the index.
    pub fn drop_images(&mut self, machine: &MachineId) {
        if let Some(machine) = self.machines.get_mut(machine) {
            self.image_locations.clear_machine(machine);
        }
    }
}
