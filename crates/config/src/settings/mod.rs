//! Settings of a daemon that is configured by an operators' file.

mod parse;
mod values;

pub use parse::parse_settings;
pub(crate) use parse::read_log;
pub use values::{LogFormat, Settings};
