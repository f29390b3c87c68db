//! Settings of one daemon.

mod parse;
mod values;

pub use parse::parse_settings;
pub use values::{LogFormat, Settings};
