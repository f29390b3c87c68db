//! A store in memory, for a daemon without a platform.

use crate::{Condition, Row, RowWrite, StoreError, StoreErrorKind};
use gentianridge_core::Version;
use parking_lot::Mutex;
use std::time::Instant;

#[derive(Debug)]
struct StoredRow {
    name: String,
    row: Row,
    expires_at: Option<Instant>,
}

/// Table service and object store in the memory of one process.
///
/// All contents are lost when the process stops. The stand-in for the platform
/// in tests keeps its state here too.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    rows: Mutex<Vec<StoredRow>>,
    objects: Mutex<Vec<(String, Vec<u8>)>>,
    version: Mutex<u64>,
}

impl MemoryPlatform {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads a row; returns `None` if it does not exist.
    pub fn read(&self, table: &str, key: &str) -> Option<Row> {
        let rows = self.rows.lock();
        let name = make_name(table, key);
        let index = find_row(&rows, &name).ok()?;
        let stored = &rows[index];
        (!stored.is_expired()).then(|| stored.row.clone())
    }

    /// Writes a row if the condition holds and returns its new version.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreErrorKind::Conflict`] if the condition does not hold.
    pub fn write(&self, table: &str, key: &str, write: RowWrite) -> Result<Version, StoreError> {
        let mut rows = self.rows.lock();
        let name = make_name(table, key);
        let found = find_row(&rows, &name);
        let current = found
            .ok()
            .filter(|&index| !rows[index].is_expired())
            .map(|index| rows[index].row.version);
        if !is_met(write.condition, current) {
            return Err(StoreError::new(
                StoreErrorKind::Conflict,
                "the condition does not hold",
            ));
        }
        let version = self.next_version();
        let stored = StoredRow {
            name,
            row: Row {
                value: write.value,
                version,
            },
            expires_at: write.ttl.map(|ttl| Instant::now() + ttl),
        };
        match found {
            Ok(index) => rows[index] = stored,
            Err(index) => rows.insert(index, stored),
        }
        Ok(version)
    }

    /// Stores an object.
    pub fn put_object(&self, name: &str, bytes: Vec<u8>) {
        let mut objects = self.objects.lock();
        match objects.binary_search_by(|(other, _)| other.as_str().cmp(name)) {
            Ok(index) => objects[index].1 = bytes,
            Err(index) => objects.insert(index, (name.to_owned(), bytes)),
        }
    }

    /// Reads an object; returns `None` if it does not exist.
    pub fn get_object(&self, name: &str) -> Option<Vec<u8>> {
        let objects = self.objects.lock();
        objects
            .binary_search_by(|(other, _)| other.as_str().cmp(name))
            .ok()
            .map(|index| objects[index].1.clone())
    }

    /// Returns the keys and contents of all rows of a table.
    pub fn scan(&self, table: &str) -> Vec<(String, Vec<u8>)> {
        let prefix = make_name(table, "");
        self.rows
            .lock()
            .iter()
            .filter_map(|stored| {
                let key = stored.name.strip_prefix(&prefix)?;
                Some((key.to_owned(), stored.row.value.clone()))
            })
            .collect()
    }

    fn next_version(&self) -> Version {
        let mut version = self.version.lock();
        *version += 1;
        Version(*version)
    }
}

impl StoredRow {
    fn is_expired(&self) -> bool {
        self.expires_at.is_some_and(|at| at <= Instant::now())
    }
}

fn make_name(table: &str, key: &str) -> String {
    format!("{table}/{key}")
}

fn find_row(rows: &[StoredRow], name: &str) -> Result<usize, usize> {
    rows.binary_search_by(|stored| stored.name.as_str().cmp(name))
}

fn is_met(condition: Condition, current: Option<Version>) -> bool {
    match condition {
        Condition::Absent => current.is_none(),
        Condition::Matches(version) => current == Some(version),
        Condition::Always => true,
    }
}
