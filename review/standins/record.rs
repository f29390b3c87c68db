//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Start of a request's work at a target.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub at_ms: u64,
}

struct Inner {
    out: BufWriter<File>,
    runs: Vec<Run>,
}

/// Writes `record.txt` and keeps the runs.
#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let inner = Inner {
            out: BufWriter::new(File::create(path)?),
            runs: Vec::new(),
        };
        Ok(Self {
            inner: Arc::new(Mutex::new(inner)),
            started: Instant::now(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now_ms();
        // A record that cannot be written shows at the end, when it is flushed.
        let _ = writeln!(self.inner.lock().unwrap().out, "{now:>7} ms  {text}");
    }

    pub fn run(&self, run: Run, request: &str) {
        self.line(&format!(
            "run      {} at {} ({request})",
            run.id, run.target
        ));
        self.inner.lock().unwrap().runs.push(run);
    }

    pub fn get_runs(&self) -> Vec<Run> {
        self.inner.lock().unwrap().runs.clone()
    }

    pub fn flush(&self) {
        if let Err(error) = self.inner.lock().unwrap().out.flush() {
            eprintln!("the record cannot be written: {error}");
        }
    }
}
