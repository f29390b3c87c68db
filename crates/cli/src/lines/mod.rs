//! Log lines collected from daemons.
//!
//! Daemons in gateway mode keep no traces of requests, so log lines are their only
//! record.
//! docs/OPERATIONS.md shows how to read them.

mod line;
mod read;

pub(crate) use line::LogLine;
pub(crate) use read::read_lines;
