//! Values with units.

mod duration;
mod size;

pub use duration::{format_duration, parse_duration, parse_fractional_duration};
pub use size::parse_size;
