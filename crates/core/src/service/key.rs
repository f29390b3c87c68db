//! Keys into the arenas of a service.

slotmap::new_key_type! {
    /// Key of a call that waits or runs.
    pub struct CallKey;
    /// Key of one attempt of a call on one target.
    pub struct AttemptKey;
}

/// Index of a target within its service; stable while the target is declared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetKey(pub(crate) u16);

impl TargetKey {
    /// Returns the position in the arena of targets.
    pub fn get_index(self) -> usize {
        usize::from(self.0)
    }
}

/// Index of a class within its service, in the order of the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassKey(pub u8);

impl ClassKey {
    pub(crate) fn get_index(self) -> usize {
        usize::from(self.0)
    }
}
