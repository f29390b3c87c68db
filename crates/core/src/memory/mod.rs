//! Memory that this VM holds for callers, in one account.
//!
//! docs/design/0021-memory-for-callers.md has the reasons.

mod account;
mod budget;
mod holder;

pub use account::{MemoryAccount, MemoryDecision};
pub use budget::MemoryBudget;
pub use holder::{HolderKey, HolderPhase};
