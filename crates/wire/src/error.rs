//! Errors of messages between VMs.

use std::io;

/// Kind of a [`WireError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireErrorKind {
    /// The connection failed or ended.
    Io,
    /// The bytes are not a message of this format.
    Malformed,
    /// This process does not support the format of the message.
    Version,
}

/// An error of a message between VMs.
#[derive(Debug)]
pub struct WireError {
    kind: WireErrorKind,
    context: String,
}

impl WireError {
    pub(crate) fn new(kind: WireErrorKind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
        }
    }

    /// Returns the kind of the error.
    pub fn get_kind(&self) -> WireErrorKind {
        self.kind
    }
}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        Self::new(WireErrorKind::Io, error.to_string())
    }
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "peer message ({:?}): {}", self.kind, self.context)
    }
}

impl std::error::Error for WireError {}
