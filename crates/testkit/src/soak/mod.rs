//! Soak runs: real daemons as separate processes under injected faults.
//!
//! A run draws its faults from a seed: signals to the daemons, faults of the
//! connections to the store and the targets (through a relay), and faults of the
//! targets and the store themselves. The promises are checked on what callers and
//! targets observed. docs/SOAK.md describes how to start a run, and lists the seeds
//! that have failed.

mod check;
mod configure;
mod keys;
mod load;
mod plan;
mod process;
mod proxy;
mod record;
mod run;

pub use check::SoakViolation;
pub use proxy::{FaultyLink, LinkFault};
pub use run::{SoakOptions, SoakReport, run_soak};

/// Prefix of the request ids of version checks and of the requests after recovery.
/// The checks exempt them from [`SoakViolation::UnknownRequest`], because they are not recorded
/// as requests of callers.
const CHECK_ID_PREFIX: &str = "look-";
