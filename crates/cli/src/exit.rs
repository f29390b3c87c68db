//! Exit codes of the commands.

use std::process::ExitCode;

/// Outcome of a command, which scripts read from the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// A VM did not answer or the command failed otherwise.
    Failed,
    /// The command line is wrong.
    Usage,
    /// The file has faults or was not accepted.
    Rejected,
    /// Whether the file was accepted is unknown.
    Unknown,
}

impl Exit {
    /// Returns the exit code of the process.
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
