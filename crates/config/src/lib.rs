//! The operators' file and the daemon's settings.
//!
//! Both are INI files. Parsing returns either a typed value or all faults of the
//! file, each with its line, the value found and the value expected. The keys are
//! listed in docs/OPERATORS-FILE.md and docs/SETTINGS.md.

mod document;
mod fault;
mod fleet;
mod gateway;
mod reader;
mod settings;
mod value;

pub use fault::{Fault, FaultKind, FaultReport};
pub use fleet::{Warning, compare_fleets, parse_fleet};
pub use gateway::{GatewaySettings, parse_gateway_settings};
pub use settings::{LogFormat, Settings, parse_settings};
pub use value::{format_duration, parse_duration, parse_fractional_duration, parse_size};
