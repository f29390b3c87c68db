//! All faults of a file.

use super::Fault;

/// Every fault of one file in the order of its lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultReport {
    faults: Vec<Fault>,
}

impl FaultReport {
    pub(crate) fn new(mut faults: Vec<Fault>) -> Self {
        debug_assert!(!faults.is_empty(), "a report needs a fault");
        faults.sort_by_key(Fault::get_line);
        Self { faults }
    }

    /// Returns the faults in the order of their lines.
    pub fn get_faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl std::fmt::Display for FaultReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for fault in &self.faults {
            writeln!(f, "{fault}")?;
        }
        let count = self.faults.len();
        let plural = if count == 1 { "" } else { "s" };
        write!(f, "{count} fault{plural}; nothing was applied")
    }
}

impl std::error::Error for FaultReport {}
