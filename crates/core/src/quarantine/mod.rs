//! Quarantine of requests that crash the targets that run them.

mod crashes;

pub use crashes::{CrashRecord, Quarantine, QuarantineChange};
