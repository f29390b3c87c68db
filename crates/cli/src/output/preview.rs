//! Previews as text.

use gentianridge_api::{PreviewAnswer, PreviewCandidate, PreviewOutcome, PreviewRequest};
use gentianridge_core::ResultCode;
use std::fmt::Write;

/// Formats what would happen to a request at one VM.
pub(crate) fn render_preview(request: &PreviewRequest, answer: &PreviewAnswer) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{} {}{} at {}",
        request.method, request.host, request.path, answer.vm
    );
    let _ = writeln!(text, "  {}", render_outcome(&answer.outcome));
    let _ = writeln!(text, "  {}", render_route(answer));
    if answer.service.is_some() {
        let _ = writeln!(
            text,
            "  {} calls before it, {} ms to wait, {} ms to an answer",
            answer.ahead, answer.wait_ms, answer.usual_ms
        );
    }
    for candidate in &answer.candidates {
        let _ = writeln!(text, "  {}", render_candidate(candidate));
    }
    text
}

fn render_outcome(outcome: &PreviewOutcome) -> String {
    match outcome {
        PreviewOutcome::Sent { target } => format!("would be sent to {target} at once"),
        PreviewOutcome::Sampled => "would be sent after load requests to its targets".to_owned(),
        PreviewOutcome::Waits => "would wait for a slot".to_owned(),
        PreviewOutcome::Refused { code } => {
            let meaning = ResultCode::from_number(*code).map_or("unknown code", ResultCode::text);
            format!("would be refused with {code}: {meaning}")
        }
    }
}

fn render_route(answer: &PreviewAnswer) -> String {
    let list = answer
        .list_age_ms
        .map_or("no list of targets".to_owned(), |age| {
            format!("targets as of {age} ms ago")
        });
    match (&answer.route, &answer.service, &answer.class) {
        (Some(route), Some(service), Some(class)) => format!(
            "route {route}, service {service}, class {class}; version {}, {list}",
            answer.version
        ),
        _ => format!("no route; version {}, {list}", answer.version),
    }
}

fn render_candidate(candidate: &PreviewCandidate) -> String {
    let verdict = match (&candidate.obstacle, candidate.score) {
        (Some(obstacle), _) => obstacle.to_string(),
        (None, Some(score)) => format!("score {score:.2}"),
        (None, None) => "full".to_owned(),
    };
    let report = match (candidate.report_age_ms, candidate.work_percent) {
        (Some(age), Some(percent)) => format!("reported {age} ms ago, work time {percent}%"),
        (Some(age), None) => format!("reported {age} ms ago"),
        (None, _) => "no report".to_owned(),
    };
    format!(
        "{:<16} {:<12} {verdict:<12} {:.1} of {:.1} slots, {} own, slowness {:.2}, {report}",
        candidate.target,
        candidate.domain,
        candidate.occupancy,
        candidate.slots,
        candidate.own,
        candidate.slowness
    )
}
