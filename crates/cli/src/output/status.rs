//! Status of a fleet as text.

use crate::client::VmAnswer;
use gentianridge_api::{ServiceStatus, StatusAnswer};
use gentianridge_core::{TargetCondition, TargetStatus};
use std::fmt::Write;

/// Formats the status of every VM and the services.
///
/// Targets and their load are those that the first VM reports; waiting calls
/// and counters are summed over all VMs.
pub(crate) fn render_status(answers: &[VmAnswer<StatusAnswer>]) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{:<10} {:<12} {:<9} {:<6} {:>8}  {:<12} in force since",
        "VM", "domain", "state", "store", "revision", "author"
    );
    for answer in answers {
        match &answer.answer {
            Ok(status) => render_vm(&mut text, status),
            Err(error) => {
                let _ = writeln!(text, "{:<10} no answer: {error:#}", answer.vm);
            }
        }
    }
    let statuses: Vec<&StatusAnswer> = answers
        .iter()
        .filter_map(|a| a.answer.as_ref().ok())
        .collect();
    if let Some(first) = statuses.first() {
        for (index, service) in first.services.iter().enumerate() {
            render_service(&mut text, service, &statuses, index);
        }
        for fingerprint in &first.quarantined {
            let _ = writeln!(text, "\nquarantined request {fingerprint}");
        }
    }
    text
}

fn render_vm(text: &mut String, status: &StatusAnswer) {
    let state = match (status.is_stopping, status.is_ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let store = if status.is_store_up { "up" } else { "down" };
    let _ = write!(
        text,
        "{:<10} {:<12} {state:<9} {store:<6} ",
        status.vm, status.domain
    );
    let _ = match &status.revision {
        Some(revision) => writeln!(
            text,
            "{:>8}  {:<12} {} ms after its submission",
            revision.number,
            revision.author,
            revision.in_force_ms.saturating_sub(revision.submitted_ms)
        ),
        None => writeln!(text, "{:>8}", "none"),
    };
}

fn render_service(
    text: &mut String,
    service: &ServiceStatus,
    statuses: &[&StatusAnswer],
    index: usize,
) {
    let _ = writeln!(
        text,
        "\nservice {}{}",
        service.name,
        format_reason(service.reason.as_deref(), None)
    );
    for class in &service.classes {
        let waiting: usize = statuses
            .iter()
            .filter_map(|status| status.services.get(index))
            .flat_map(|service| &service.classes)
            .filter(|other| other.name == class.name)
            .map(|other| other.waiting)
            .sum();
        let _ = writeln!(
            text,
            "  class {:<10} {:<11} deadline {:>6} ms  reserve {:>3}  waiting {waiting}",
            class.name, class.kind, class.deadline_ms, class.reserve
        );
    }
    for target in &service.targets {
        render_target(text, target);
    }
    let sum = |get_counter: fn(&ServiceStatus) -> u64| -> u64 {
        statuses
            .iter()
            .filter_map(|status| status.services.get(index))
            .map(get_counter)
            .sum()
    };
    let _ = writeln!(
        text,
        "  calls {}  answered {}  refused {} not run, {} unknown  retries {}  hedges {}  sheds {}  probes {}",
        sum(|s| s.counters.arrivals),
        sum(|s| s.counters.delivered),
        sum(|s| s.counters.refused_not_run),
        sum(|s| s.counters.refused_unknown),
        sum(|s| s.counters.retries),
        sum(|s| s.counters.hedges),
        sum(|s| s.counters.sheds),
        sum(|s| s.counters.probes),
    );
}

fn render_target(text: &mut String, target: &TargetStatus) {
    let condition = match target.condition {
        TargetCondition::Active => "active",
        TargetCondition::Ejected => "ejected",
        TargetCondition::Leaving => "leaving",
        TargetCondition::Drained => "drained",
        TargetCondition::Emptied => "emptied",
        TargetCondition::Cold => "cold",
    };
    let age = target
        .report_age_ms
        .map_or("never".to_owned(), |age| format!("{age} ms ago"));
    let _ = writeln!(
        text,
        "  target {:<16} {:<11} {condition:<8} load {:>4.1} of {:>4.1}  time x{:.1}  report {age}{}",
        target.name,
        target.domain,
        target.occupancy,
        target.slots,
        target.slowness,
        format_reason(target.reason.as_deref(), target.author.as_deref())
    );
}

fn format_reason(reason: Option<&str>, author: Option<&str>) -> String {
    match (reason, author) {
        (Some(reason), Some(author)) => format!("  -- {reason} ({author})"),
        (Some(reason), None) => format!("  -- {reason}"),
        _ => String::new(),
    }
}
