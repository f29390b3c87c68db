//! The platform's table service, object store and membership list.
//!
//! The operations that the daemon uses, with an HTTP client and a store in memory
//! behind them. docs/PLATFORM.md describes the interface; another platform needs
//! another client, but no change of the daemon.

mod client;
mod error;
mod memory;
mod platform;
mod row;
mod types;

pub use client::HttpPlatform;
pub use error::{StoreError, StoreErrorKind};
pub use memory::MemoryPlatform;
pub use platform::Platform;
pub use row::{decode_claim, decode_revision, encode_claim, encode_revision};
pub use types::{Condition, Member, Row, RowWrite};
