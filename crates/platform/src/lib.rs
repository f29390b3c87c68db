//! The platform's table service, object store and membership list.
//!
//! The traits of the edge and the HTTP client behind them. The interface is
//! described in docs/PLATFORM.md; another platform needs another client, not
//! another daemon.

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
