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
    /// Returns the key of the target at a position of the declaration.
    pub fn from_index(index: usize) -> Self {
        debug_assert!(u16::try_from(index).is_ok(), "more targets than keys");
        Self(index as u16)
    }

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
