//! Runs of real daemons as separate processes, with faults from outside.
//!
//! A run draws from its seed what happens to daemons (signals), to the ways
//! between them and the rest (a relay), to targets and to the store. The
//! promises are checked on what callers and targets saw. docs/SOAK.md tells how
//! to run it, and lists the seeds that have failed.

mod check;
mod load;
mod plan;
mod process;
mod proxy;
mod record;
mod run;

pub use check::Breach;
pub use proxy::{FaultyLink, LinkFault};
pub use run::{SoakOptions, SoakReport, run_soak};

/// Begin of the ids of looks at configurations.
const CHECK_ID_PREFIX: &str = "look-";
