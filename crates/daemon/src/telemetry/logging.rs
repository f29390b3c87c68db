//! Log lines.

use gentianridge_config::LogFormat;
use logforth::append::Stderr;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

/// Starts writing log lines to the standard error stream.
///
/// Lines are written only for changes of state; what happens per call is
/// counted instead. docs/METRICS-AND-LOGS.md lists both.
pub fn start_logging(level: &str, format: LogFormat) {
    let filter = LevelFilter::MoreSevereEqual(level_of(level));
    let builder = logforth::starter_log::builder();
    match format {
        LogFormat::Text => builder
            .dispatch(|d| {
                let layout = TextLayout::default().no_color();
                d.filter(filter)
                    .append(Stderr::default().with_layout(layout))
            })
            .apply(),
        LogFormat::Json => builder
            .dispatch(|d| {
                d.filter(filter)
                    .append(Stderr::default().with_layout(JsonLayout::default()))
            })
            .apply(),
    }
}

fn level_of(name: &str) -> Level {
    match name {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        "trace" => Level::Trace,
        _ => Level::Info,
    }
}
