//! Collected log lines as text.

use super::explain::get_advice;
use super::timeline::format_time_of_day;
use crate::lines::LogLine;
use gentianridge_core::ResultCode;
use serde_json::Value;
use std::fmt::Write;

/// Formats a line without `omitted_field`, which has the same value in all lines shown.
pub(crate) fn render_line(line: &LogLine, omitted_field: &str) -> String {
    let millis = line.timestamp.as_millisecond().unsigned_abs();
    let mut text = format!(
        "{} {:<10} {:<8} {}",
        format_time_of_day(millis),
        line.vm,
        line.log_target,
        line.message
    );
    for (name, value) in &line.fields {
        if name == omitted_field || value.is_null() {
            continue;
        }
        // Writing to a string cannot fail.
        let _ = match value {
            Value::String(value) => write!(text, " {name}={value}"),
            other => write!(text, " {name}={other}"),
        };
    }
    text
}

/// Formats the result code in the last line of a request and how a caller may react.
pub(crate) fn render_result_code(line: &LogLine) -> Option<String> {
    let code = line.get_number("code")?;
    let code = ResultCode::from_number(u16::try_from(code).ok()?)?;
    Some(format!(
        "code {}: {}\n{}",
        code.number(),
        code.text(),
        get_advice(code)
    ))
}
