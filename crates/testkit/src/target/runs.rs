//! Record of the requests that targets have started.

use parking_lot::Mutex;
use std::time::Instant;

/// One start of a request on a target.
#[derive(Debug, Clone)]
struct Start {
    key: String,
    at: Instant,
}

/// Starts of requests with an idempotency key.
///
/// Targets share one log, so that a test can count how often a request was
/// started over all of them.
#[derive(Debug, Default)]
pub struct RunLog {
    starts: Mutex<Vec<Start>>,
}

impl RunLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    pub(super) fn add(&self, key: String) {
        self.starts.lock().push(Start {
            key,
            at: Instant::now(),
        });
    }

    /// Returns how often the request with the key was started.
    pub fn count(&self, key: &str) -> usize {
        self.starts
            .lock()
            .iter()
            .filter(|start| start.key == key)
            .count()
    }

    /// Returns each key with its number of starts, sorted by key.
    pub fn list(&self) -> Vec<(String, usize)> {
        let mut keys: Vec<String> = self
            .starts
            .lock()
            .iter()
            .map(|start| start.key.clone())
            .collect();
        keys.sort();
        let mut counts: Vec<(String, usize)> = Vec::new();
        for key in keys {
            match counts.last_mut() {
                Some((last, count)) if *last == key => *count += 1,
                _ => counts.push((key, 1)),
            }
        }
        counts
    }

    /// Returns the number of keys with more than one start.
    pub fn count_duplicates(&self) -> usize {
        self.list().iter().filter(|(_, count)| *count > 1).count()
    }

    /// Returns the number of starts.
    pub fn len(&self) -> usize {
        self.starts.lock().len()
    }

    /// Returns true if the log is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the time of the last start.
    pub fn get_last_start(&self) -> Option<Instant> {
        self.starts.lock().iter().map(|start| start.at).max()
    }
}
