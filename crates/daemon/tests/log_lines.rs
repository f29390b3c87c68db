//! Limits on the log lines of standard output, and output that blocks.

use gentianridge_daemon::BoundedAppender;
use logforth::Append;
use logforth::layout::JsonLayout;
use logforth::record::{Level, Record};
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Limit of docs/METRICS-AND-LOGS.md on routine lines per second.
const ROUTINE: usize = 200;
/// Limit on refusals, failures and state lines per second.
const NOTABLE: usize = 400;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A writer that blocks until the sender of its channel is dropped.
struct BlockedWriter {
    release: Receiver<()>,
}

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Returns when the test drops the sender at its end.
        let _ = self.release.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn append(lines: &BoundedAppender, level: Level, target: &'static str, text: &str) {
    let builder = Record::builder().level(level).target_static(target);
    lines
        .append(&builder.payload(format_args!("{text}")).build(), &[])
        .unwrap();
}

fn wait_for(output: &SharedBuffer, is_done: impl Fn(&str) -> bool) -> String {
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
        if is_done(&text) || Instant::now() > end {
            return text;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn flood_spares_refusals() {
    let output = SharedBuffer::default();
    let lines = BoundedAppender::new(JsonLayout::default(), output.clone());
    for _ in 0..5_000 {
        append(&lines, Level::Info, "request", "answered");
    }
    for _ in 0..50 {
        append(&lines, Level::Warn, "request", "refused");
        append(&lines, Level::Info, "belief", "target listed");
    }
    let text = wait_for(&output, |text| text.matches("target listed").count() == 50);
    // The flood may cross from one second into the next.
    assert!(text.matches("answered").count() <= 2 * ROUTINE);
    assert_eq!(
        text.matches("refused").count(),
        50,
        "routine lines must not use up the limit of refusals"
    );
    assert!(
        text.contains("\"left_out\":"),
        "lines that were left out must be counted"
    );
    assert!(lines.get_counts().get_left_out() >= 5_000 - 2 * ROUTINE as u64);
    for line in text.lines() {
        let parsed: Result<serde_json::Value, _> = serde_json::from_str(line);
        assert!(parsed.is_ok(), "{line}");
    }
}

#[test]
fn refusal_flood_limited() {
    let output = SharedBuffer::default();
    let lines = BoundedAppender::new(JsonLayout::default(), output.clone());
    for _ in 0..5_000 {
        append(&lines, Level::Warn, "request", "refused");
    }
    let text = wait_for(&output, |text| text.matches("refused").count() >= NOTABLE);
    assert!(text.matches("refused").count() <= 2 * NOTABLE);
}

#[test]
fn blocked_output_drops_lines() {
    let (release, blocked): (Sender<()>, _) = channel();
    let lines = BoundedAppender::new(JsonLayout::default(), BlockedWriter { release: blocked });
    let began = Instant::now();
    for _ in 0..5 {
        for _ in 0..ROUTINE {
            append(&lines, Level::Info, "request", "answered");
            append(&lines, Level::Warn, "request", "refused");
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let spent = began.elapsed() - Duration::from_secs(5);
    assert!(
        spent < Duration::from_secs(1),
        "logging blocked the caller for {spent:?}"
    );
    assert!(
        lines.get_counts().get_left_out() > 0,
        "lines beyond a full queue must be counted"
    );
    drop(release);
}
