//! Log lines on standard output, written without blocking a request.

use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};
use parking_lot::Mutex;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Log target of state lines, which report a change in the VM's view.
pub(crate) const STATE_LOG_TARGET: &str = "belief";

/// Limit of routine lines per second: those below level `warn`, such as the
/// lines of answered requests, except state lines.
const ROUTINE_PER_SECOND: u32 = 200;
/// Limit of lines per second for refusals, failures and state lines; it is
/// separate, so that routine lines never use it up.
const NOTABLE_PER_SECOND: u32 = 400;
/// Lines queued for a slow reader, some hundred kilobytes at most.
const QUEUE_CAPACITY: usize = 1_000;

/// Number of lines that were written and left out.
#[derive(Debug, Default)]
pub struct LineCounts {
    written: AtomicU64,
    left_out: AtomicU64,
}

impl LineCounts {
    /// Returns the number of lines that were queued for the writer.
    pub fn get_written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns the number of lines that were left out because of the limit or a
    /// slow reader.
    pub fn get_left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

/// Appender that limits the lines per second and writes on its own thread.
///
/// A line over the limit is left out and counted; a line with that count
/// precedes the next line within the limit.
#[derive(Debug)]
pub struct BoundedAppender {
    layout: Box<dyn Layout>,
    tx: SyncSender<Vec<u8>>,
    window: Mutex<Window>,
    counts: Arc<LineCounts>,
}

#[derive(Debug)]
struct Window {
    began: Instant,
    routine: u32,
    notable: u32,
    left_out: u64,
}

impl BoundedAppender {
    /// Starts the thread that writes to `out`.
    pub fn new(layout: impl Into<Box<dyn Layout>>, out: impl Write + Send + 'static) -> Self {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        // The thread ends with the appender, when the last sender is dropped.
        std::thread::spawn(move || write_lines(&rx, out));
        Self {
            layout: layout.into(),
            tx,
            window: Mutex::new(Window {
                began: Instant::now(),
                routine: 0,
                notable: 0,
                left_out: 0,
            }),
            counts: Arc::default(),
        }
    }

    /// Returns the counts, which stay readable after the appender is dropped.
    pub fn get_counts(&self) -> Arc<LineCounts> {
        self.counts.clone()
    }

    /// Reserves capacity for a line and returns the number of lines that were
    /// left out before it, or `None` if the limit is reached.
    fn admit(&self, is_notable: bool) -> Option<u64> {
        let mut window = self.window.lock();
        if window.began.elapsed() >= Duration::from_secs(1) {
            window.began = Instant::now();
            window.routine = 0;
            window.notable = 0;
        }
        let (used, limit) = if is_notable {
            (&mut window.notable, NOTABLE_PER_SECOND)
        } else {
            (&mut window.routine, ROUTINE_PER_SECOND)
        };
        if *used >= limit {
            self.count_left_out(&mut window);
            return None;
        }
        *used += 1;
        Some(std::mem::take(&mut window.left_out))
    }

    fn count_left_out(&self, window: &mut Window) {
        window.left_out += 1;
        self.counts.left_out.fetch_add(1, Ordering::Relaxed);
    }

    fn enqueue(&self, line: Vec<u8>) {
        if self.tx.try_send(line).is_ok() {
            self.counts.written.fetch_add(1, Ordering::Relaxed);
        } else {
            self.count_left_out(&mut self.window.lock());
        }
    }
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let is_notable = record.level() >= Level::Warn || record.target() == STATE_LOG_TARGET;
        let Some(left_out) = self.admit(is_notable) else {
            return Ok(());
        };
        if left_out > 0 {
            self.enqueue(format!("{{\"left_out\":{left_out}}}\n").into_bytes());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        self.enqueue(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, mut out: impl Write) {
    while let Ok(line) = rx.recv() {
        // There is no other place to report that the log cannot be written.
        if out.write_all(&line).is_err() {
            return;
        }
    }
}
