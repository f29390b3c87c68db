//! The report of all faults in a file.

use super::Fault;

/// All faults of one file, ordered by line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultReport {
    faults: Vec<Fault>,
}

impl FaultReport {
    pub(crate) fn new(mut faults: Vec<Fault>) -> Self {
        debug_assert!(!faults.is_empty(), "a report has at least one fault");
        faults.sort_by_key(Fault::get_line);
        Self { faults }
    }

    /// Returns the faults, ordered by line.
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
