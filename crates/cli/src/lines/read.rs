//! Reading of collected log files.

use super::LogLine;
use anyhow::Context;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Reads the selected lines of all files, ordered by time.
///
/// Lines that no daemon wrote are skipped, because collectors add their own;
/// those with a JSON object are counted.
///
/// # Errors
///
/// Fails if a file cannot be read or contains no log line of a daemon.
pub(crate) fn read_lines(
    paths: &[PathBuf],
    is_selected: impl Fn(&LogLine) -> bool,
) -> anyhow::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for path in paths {
        read_file(path, &is_selected, &mut lines)
            .with_context(|| format!("cannot read {}", path.display()))?;
    }
    // The sort is stable: lines with equal timestamps keep their order in the files.
    lines.sort_by_key(|line| line.timestamp);
    Ok(lines)
}

fn read_file(
    path: &Path,
    is_selected: &impl Fn(&LogLine) -> bool,
    lines: &mut Vec<LogLine>,
) -> anyhow::Result<()> {
    let source = path.file_stem().unwrap_or_default().to_string_lossy();
    let (mut read, mut skipped) = (0_u64, 0_u64);
    for text in BufReader::new(std::fs::File::open(path)?).lines() {
        match LogLine::parse(&text?, &source) {
            Ok(Some(line)) => {
                read += 1;
                lines.extend(Some(line).filter(is_selected));
            }
            Ok(None) => {}
            Err(_) => skipped += 1,
        }
    }
    if skipped > 0 {
        eprintln!(
            "{}: {skipped} lines skipped that are not log lines of a daemon",
            path.display()
        );
    }
    anyhow::ensure!(read > 0, "the file contains no log line of a daemon");
    Ok(())
}
