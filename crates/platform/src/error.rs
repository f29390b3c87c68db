//! Errors of the platform.

/// Kind of a [`StoreError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreErrorKind {
    /// The condition of a write did not hold.
    Conflict,
    /// The service refused the operation, which certainly took no effect.
    Refused,
    /// The response is missing or unclear; the operation may have taken effect.
    OutcomeUnknown,
    /// A row, an object or a response cannot be decoded.
    Malformed,
}

/// An error of the platform with its context.
#[derive(Debug, Clone)]
pub struct StoreError {
    kind: StoreErrorKind,
    context: String,
}

impl StoreError {
    /// Creates an error.
    pub fn new(kind: StoreErrorKind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
        }
    }

    /// Returns the kind of the error.
    pub fn get_kind(&self) -> StoreErrorKind {
        self.kind
    }

    /// Returns true if the operation may have taken effect.
    pub fn has_unknown_outcome(&self) -> bool {
        self.kind == StoreErrorKind::OutcomeUnknown
    }
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "platform ({:?}): {}", self.kind, self.context)
    }
}

impl std::error::Error for StoreError {}
