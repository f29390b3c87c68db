//! Settings of a daemon that reads routes and targets from the platform.

mod parse;
mod values;

pub use parse::parse_gateway_settings;
pub use values::GatewaySettings;
