//! What a stand-in has run.

use parking_lot::Mutex;
use std::time::Instant;

/// One request that was started on a target.
#[derive(Debug, Clone)]
struct Run {
    key: String,
    at: Instant,
}

/// Every keyed request that the targets of a service have started.
///
/// Shared by the targets of a service, so that a test can count how often a
/// confirmation has run anywhere.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<Vec<Run>>,
}

impl RunLog {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    pub(super) fn add(&self, key: String) {
        self.runs.lock().push(Run {
            key,
            at: Instant::now(),
        });
    }

    /// Returns how often the key was started.
    pub fn count(&self, key: &str) -> usize {
        self.runs.lock().iter().filter(|run| run.key == key).count()
    }

    /// Returns each key with the number of its starts, sorted by key.
    pub fn list(&self) -> Vec<(String, usize)> {
        let mut keys: Vec<String> = self.runs.lock().iter().map(|run| run.key.clone()).collect();
        keys.sort();
        let mut counted: Vec<(String, usize)> = Vec::new();
        for key in keys {
            match counted.last_mut() {
                Some((last, count)) if *last == key => *count += 1,
                _ => counted.push((key, 1)),
            }
        }
        counted
    }

    /// Returns the number of keys that were started more than once.
    pub fn count_duplicates(&self) -> usize {
        self.list().iter().filter(|(_, count)| *count > 1).count()
    }

    /// Returns the number of starts.
    pub fn len(&self) -> usize {
        self.runs.lock().len()
    }

    /// Returns true if nothing was started.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the time of the last start.
    pub fn get_last(&self) -> Option<Instant> {
        self.runs.lock().iter().map(|run| run.at).max()
    }
}
