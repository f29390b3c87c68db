//! Log lines.

use super::lines::{BoundedAppender, LineCounts};
use gentianridge_config::LogFormat;
use logforth::Layout;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};
use std::sync::Arc;

/// Starts writing log lines to standard output and returns their counts.
///
/// docs/METRICS-AND-LOGS.md lists the lines and their limits.
pub fn start_logging(level: &str, format: LogFormat) -> Arc<LineCounts> {
    let filter = LevelFilter::MoreSevereEqual(parse_level(level));
    let layout: Box<dyn Layout> = match format {
        LogFormat::Text => TextLayout::default().no_color().into(),
        LogFormat::Json => JsonLayout::default().into(),
    };
    let lines = BoundedAppender::new(layout, std::io::stdout());
    let counts = lines.get_counts();
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(lines))
        .apply();
    counts
}

fn parse_level(name: &str) -> Level {
    match name {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        "trace" => Level::Trace,
        _ => Level::Info,
    }
}
