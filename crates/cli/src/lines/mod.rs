//! Log lines collected from daemons.
//!
//! VMs keep no records, so log lines are the only trace of a request.
//! docs/OPERATIONS.md shows how to read them.

mod line;
mod read;

pub(crate) use line::LogLine;
pub(crate) use read::read_lines;
