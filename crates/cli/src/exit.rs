//! Exit codes.

use std::process::ExitCode;

/// How a command ended, for scripts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command did what it was asked to.
    Done,
    /// A VM did not answer or something else failed.
    Failed,
    /// The command line is wrong.
    Usage,
    /// The file has faults or was not accepted.
    Rejected,
    /// Whether the file was accepted is unknown.
    Unknown,
}

impl Exit {
    /// Returns the number that the process ends with.
    pub fn number(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Rejected => 3,
            Self::Unknown => 4,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.number())
    }
}
