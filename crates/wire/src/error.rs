//! Errors of the exchange.

use std::io;

/// What went wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireErrorKind {
    /// The connection failed or ended.
    Io,
    /// The frame is not a message of this format.
    Malformed,
    /// The message has a newer format than this process knows.
    Version,
}

/// An error of the exchange between VMs.
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

    /// Returns what went wrong.
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
