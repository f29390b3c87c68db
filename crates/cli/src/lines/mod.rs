//! Lines that daemons wrote and somebody collected.
//!
//! VMs keep nothing, so that their lines are all that is left of a request.
//! docs/OPERATIONS.md shows how they are read.

mod line;
mod read;

pub(crate) use line::LogLine;
pub(crate) use read::read_lines;
