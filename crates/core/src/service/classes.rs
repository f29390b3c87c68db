//! The classes of a service.

use super::ClassKey;
use super::class::Class;
use crate::{ClassKind, ClassSpec};
use slotmap::SlotMap;
use std::ops::{Index, IndexMut};

/// Classes by key, in the order of the declaration.
///
/// A key names one class for as long as the service exists: it is neither renumbered when
/// the declaration changes nor used again for another class. Requests keep keys while they
/// wait for their callers and targets, and a key that came to name a class of another kind
/// would let once-only requests run twice.
#[derive(Debug)]
pub(super) struct Classes {
    arena: SlotMap<ClassKey, Class>,
    /// Declared classes in the order of the declaration, then removed ones that calls or
    /// attempts still belong to.
    order: Vec<ClassKey>,
    /// Number of declared classes.
    declared: usize,
}

impl Classes {
    pub(super) fn new(specs: Vec<ClassSpec>) -> Self {
        let mut arena = SlotMap::with_key();
        let order: Vec<ClassKey> = specs
            .into_iter()
            .map(|spec| arena.insert(Class::new(spec)))
            .collect();
        Self {
            arena,
            declared: order.len(),
            order,
        }
    }

    /// Returns the class with the key, `None` if it was removed.
    pub(super) fn get(&self, key: ClassKey) -> Option<&Class> {
        self.arena.get(key)
    }

    /// Returns all classes, removed ones that are still in use included.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ClassKey, &Class)> {
        self.order.iter().map(|key| (*key, &self.arena[*key]))
    }

    /// Returns the declared classes in the order of the declaration.
    pub(super) fn iter_declared(&self) -> impl Iterator<Item = (ClassKey, &Class)> {
        self.iter().take(self.declared)
    }

    /// Returns the key at a position of [`Self::iter`], for loops that change the service.
    pub(super) fn get_key(&self, position: usize) -> Option<ClassKey> {
        self.order.get(position).copied()
    }

    /// Returns the first declared class of a kind.
    pub(super) fn find_kind(&self, kind: ClassKind) -> Option<ClassKey> {
        self.iter_declared()
            .find(|(_, class)| class.spec.kind == kind)
            .map(|(key, _)| key)
    }

    /// Applies a new declaration. A class with the name and kind of an earlier one keeps
    /// its key and state.
    pub(super) fn apply(&mut self, specs: Vec<ClassSpec>) {
        if self.has_order_of(&specs) {
            for (key, spec) in self.order.iter().zip(specs) {
                self.arena[*key].spec = spec;
            }
            return;
        }
        let mut known: Vec<ClassKey> = self.order.drain(..).collect();
        known.sort_by(|a, b| self.arena[*a].spec.name.cmp(&self.arena[*b].spec.name));
        for spec in specs {
            let key = match self.take_known(&mut known, &spec) {
                Some(key) => {
                    self.arena[key].spec = spec;
                    key
                }
                None => self.arena.insert(Class::new(spec)),
            };
            self.order.push(key);
        }
        self.declared = self.order.len();
        self.order.append(&mut known);
    }

    /// Removes the classes that are no longer declared, except those in `used`, which is
    /// sorted.
    pub(super) fn drop_unused(&mut self, used: &[ClassKey]) {
        let arena = &mut self.arena;
        let mut position = 0;
        let declared = self.declared;
        self.order.retain(|key| {
            let is_kept = position < declared || used.binary_search(key).is_ok();
            position += 1;
            if !is_kept {
                arena.remove(*key);
            }
            is_kept
        });
    }

    /// Returns true if classes were removed from the declaration and are still in use.
    pub(super) fn has_removed(&self) -> bool {
        self.order.len() > self.declared
    }

    fn has_order_of(&self, specs: &[ClassSpec]) -> bool {
        specs.len() == self.declared
            && specs
                .iter()
                .zip(self.iter_declared())
                .all(|(spec, (_, class))| is_same(&class.spec, spec))
    }

    /// Removes the class that a declaration continues from the keys in `known`, which are
    /// sorted by name.
    fn take_known(&self, known: &mut Vec<ClassKey>, spec: &ClassSpec) -> Option<ClassKey> {
        let first = known.partition_point(|key| self.arena[*key].spec.name < spec.name);
        let same_name = known[first..]
            .iter()
            .take_while(|key| self.arena[**key].spec.name == spec.name);
        let offset = same_name
            .map(|key| &self.arena[*key].spec)
            .position(|old| is_same(old, spec))?;
        Some(known.remove(first + offset))
    }
}

impl Index<ClassKey> for Classes {
    type Output = Class;

    fn index(&self, key: ClassKey) -> &Class {
        &self.arena[key]
    }
}

impl IndexMut<ClassKey> for Classes {
    fn index_mut(&mut self, key: ClassKey) -> &mut Class {
        &mut self.arena[key]
    }
}

/// Returns true if a declaration continues a class. A class never changes its kind, since
/// its calls have been accepted under the old one.
fn is_same(old: &ClassSpec, new: &ClassSpec) -> bool {
    old.name == new.name && old.kind == new.kind
}
