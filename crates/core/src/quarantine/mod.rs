//! Requests that crash the targets that run them.

mod crashes;

pub use crashes::{CrashMark, Quarantine, QuarantineChange};
