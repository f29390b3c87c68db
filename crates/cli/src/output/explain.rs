//! Traces of requests as text.

use gentianridge_api::RequestTrace;
use gentianridge_core::{ResultCode, RunState};
use std::fmt::Write;

/// Formats the trace of a request.
pub(crate) fn render_trace(trace: &RequestTrace) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(text, "request {} on {}", trace.request, trace.vm);
    let match_text = match (&trace.service, &trace.class) {
        (Some(service), Some(class)) => format!("service {service}, class {class}"),
        _ => "no service matched".to_owned(),
    };
    let _ = writeln!(text, "  {match_text}");
    let _ = writeln!(
        text,
        "  waited {} for a slot",
        format_millis(trace.queued_us)
    );
    for attempt in &trace.attempts {
        let took = attempt
            .elapsed_us
            .map_or("not ended".to_owned(), format_millis);
        let _ = writeln!(
            text,
            "  at {:>10}  {:<6} to {:<16} {:<10} {took}",
            format_millis(attempt.started_us),
            attempt.kind,
            attempt.target,
            attempt.outcome
        );
    }
    let _ = writeln!(
        text,
        "  answered {} after {}",
        trace.status,
        format_millis(trace.elapsed_us)
    );
    if let Some(code) = trace.code.and_then(ResultCode::from_number) {
        let _ = writeln!(text, "  code {}: {}", code.number(), code.text());
        let _ = writeln!(text, "  {}", get_advice(code));
    }
    text
}

/// Returns how a caller may react to a failed request.
pub(super) fn get_advice(code: ResultCode) -> &'static str {
    match code.run_state() {
        RunState::NotRun if code.is_retryable() => {
            "it was not run; the caller may send it again after a pause"
        }
        RunState::NotRun => "it was not run; the caller has to change the request",
        RunState::Unknown => "it may have run; the caller has to check before sending it again",
    }
}

fn format_millis(micros: u64) -> String {
    format!("{}.{:03} ms", micros / 1000, micros % 1000)
}
