//! Parts of a configuration's workspaces that cannot take effect.

use smol_str::SmolStr;
use std::fmt;

/// A reason why keys of a workspace are not accepted. It names no key, which must not
/// reach a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkspaceFault {
    /// Two workspaces hold the same key, which identifies neither.
    SharedKey {
        /// Names of the two workspaces.
        workspaces: [SmolStr; 2],
    },
    /// The name cannot be sent in a header, so that targets could not learn whose
    /// request they run.
    UnusableName {
        /// Name of the workspace.
        workspace: SmolStr,
    },
}

impl fmt::Display for WorkspaceFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SharedKey {
                workspaces: [first, second],
            } => write!(
                f,
                "workspaces {first:?} and {second:?} hold the same key, which is refused"
            ),
            Self::UnusableName { workspace } => write!(
                f,
                "the name of workspace {workspace:?} cannot be sent in a header; its keys are refused"
            ),
        }
    }
}
