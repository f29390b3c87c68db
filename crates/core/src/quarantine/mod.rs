//! Requests that crash the targets that run them.

mod marks;

pub use marks::{CrashMark, Quarantine, QuarantineChange};
