//! Keys into the arenas of a service.

slotmap::new_key_type! {
    /// Key of a call that waits or runs.
    pub struct CallKey;
    /// Key of one attempt of a call on one target.
    pub struct AttemptKey;
    /// Key of a class of a service. It never names another class, also if the
    /// declaration changes while a request keeps it.
    pub struct ClassKey;
}

/// Index of a target within its service; stable while the target is declared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetKey(u32);

impl TargetKey {
    /// Returns the key of the target at a position of the declaration.
    ///
    /// # Panics
    ///
    /// Panics if the position exceeds 32 bits; that many targets do not fit into memory.
    pub fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).expect("fewer targets than keys"))
    }

    /// Returns the position in the arena of targets.
    pub fn get_index(self) -> usize {
        self.0 as usize
    }
}
