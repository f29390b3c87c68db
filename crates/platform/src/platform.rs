//! The platform as the daemon uses it.

use crate::{HttpPlatform, Member, MemoryPlatform, Row, RowWrite, StoreError};
use gentianridge_core::Version;

/// The platform behind a daemon.
#[derive(Debug)]
pub enum Platform {
    /// The platform's services over HTTP.
    Http(HttpPlatform),
    /// A store in memory, which keeps nothing over a stop.
    Memory(MemoryPlatform),
}

impl Platform {
    /// Reads a row; none if it does not exist.
    ///
    /// # Errors
    ///
    /// See [`crate::StoreErrorKind`].
    pub async fn read(&self, table: &str, key: &str) -> Result<Option<Row>, StoreError> {
        match self {
            Self::Http(platform) => platform.read(table, key).await,
            Self::Memory(platform) => Ok(platform.read(table, key)),
        }
    }

    /// Writes a row if the condition holds and returns its new version.
    ///
    /// # Errors
    ///
    /// See [`crate::StoreErrorKind`].
    pub async fn write(
        &self,
        table: &str,
        key: &str,
        write: RowWrite,
    ) -> Result<Version, StoreError> {
        match self {
            Self::Http(platform) => platform.write(table, key, write).await,
            Self::Memory(platform) => platform.write(table, key, write),
        }
    }

    /// Stores an object.
    ///
    /// # Errors
    ///
    /// See [`crate::StoreErrorKind`].
    pub async fn put_object(&self, name: &str, bytes: Vec<u8>) -> Result<(), StoreError> {
        match self {
            Self::Http(platform) => platform.put_object(name, bytes).await,
            Self::Memory(platform) => {
                platform.put_object(name, bytes);
                Ok(())
            }
        }
    }

    /// Reads an object; none if it does not exist.
    ///
    /// # Errors
    ///
    /// See [`crate::StoreErrorKind`].
    pub async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        match self {
            Self::Http(platform) => platform.get_object(name).await,
            Self::Memory(platform) => Ok(platform.get_object(name)),
        }
    }

    /// Returns the platform's list of VMs, which lags.
    ///
    /// # Errors
    ///
    /// See [`crate::StoreErrorKind`].
    pub async fn members(&self) -> Result<Vec<Member>, StoreError> {
        match self {
            Self::Http(platform) => platform.members().await,
            Self::Memory(_) => Ok(Vec::new()),
        }
    }
}
