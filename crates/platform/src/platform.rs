//! The platform in use by the daemon.

use crate::{HttpPlatform, Member, MemoryPlatform, Row, RowWrite, StoreError};
use gentianridge_core::Version;

/// Services of the platform, or their substitute in memory.
#[derive(Debug)]
pub enum Platform {
    /// The platform's services over HTTP.
    Http(HttpPlatform),
    /// A store in memory, whose contents are lost when the process stops.
    Memory(MemoryPlatform),
}

impl Platform {
    /// Reads a row; returns `None` if it does not exist.
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

    /// Reads an object; returns `None` if it does not exist.
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

    /// Returns the platform's list of VMs, which may be out of date.
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
