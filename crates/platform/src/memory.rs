//! A store in memory, for a daemon without a platform.

use crate::{Condition, Row, RowWrite, StoreError, StoreErrorKind};
use gentianridge_core::Version;
use parking_lot::Mutex;
use std::time::Instant;

#[derive(Debug)]
struct Stored {
    name: String,
    row: Row,
    expires: Option<Instant>,
}

/// Table service and object store in the memory of one process.
///
/// It loses everything at a stop, and it is also the state behind the
/// stand-in of the tests.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    rows: Mutex<Vec<Stored>>,
    objects: Mutex<Vec<(String, Vec<u8>)>>,
    version: Mutex<u64>,
}

impl MemoryPlatform {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads a row; none if it does not exist.
    pub fn read(&self, table: &str, key: &str) -> Option<Row> {
        let rows = self.rows.lock();
        let name = name_of(table, key);
        let index = find(&rows, &name).ok()?;
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
        let name = name_of(table, key);
        let found = find(&rows, &name);
        let current = found
            .ok()
            .filter(|&index| !rows[index].is_expired())
            .map(|index| rows[index].row.version);
        if !holds(write.condition, current) {
            return Err(StoreError::new(
                StoreErrorKind::Conflict,
                "the condition does not hold",
            ));
        }
        let version = self.next_version();
        let stored = Stored {
            name,
            row: Row {
                value: write.value,
                version,
            },
            expires: write.ttl.map(|ttl| Instant::now() + ttl),
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

    /// Reads an object; none if it does not exist.
    pub fn get_object(&self, name: &str) -> Option<Vec<u8>> {
        let objects = self.objects.lock();
        objects
            .binary_search_by(|(other, _)| other.as_str().cmp(name))
            .ok()
            .map(|index| objects[index].1.clone())
    }

    /// Returns the keys and contents of all rows of a table.
    pub fn scan(&self, table: &str) -> Vec<(String, Vec<u8>)> {
        let prefix = name_of(table, "");
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

impl Stored {
    fn is_expired(&self) -> bool {
        self.expires.is_some_and(|at| at <= Instant::now())
    }
}

fn name_of(table: &str, key: &str) -> String {
    format!("{table}/{key}")
}

fn find(rows: &[Stored], name: &str) -> Result<usize, usize> {
    rows.binary_search_by(|stored| stored.name.as_str().cmp(name))
}

fn holds(condition: Condition, current: Option<Version>) -> bool {
    match condition {
        Condition::Absent => current.is_none(),
        Condition::Matches(version) => current == Some(version),
        Condition::Always => true,
    }
}
