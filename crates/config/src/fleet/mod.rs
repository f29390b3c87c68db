//! The operators' file.

mod compare;
mod parse;
mod sections;

pub use compare::{Warning, compare_fleets};
pub use parse::parse_fleet;
