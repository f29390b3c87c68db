//! Settings of a daemon whose routes and targets the platform publishes.

mod parse;
mod values;

pub use parse::parse_gateway_settings;
pub use values::GatewaySettings;
