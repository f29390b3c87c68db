//! Events as text.

use gentianridge_api::TimelineAnswer;
use gentianridge_core::Event;

const MILLIS_PER_DAY: u64 = 86_400_000;

/// Merges the events of several VMs in causal order.
///
/// The hybrid logical clock orders an event after all events that its VM had
/// received before. The VM name breaks ties.
pub fn merge_timelines(answers: Vec<TimelineAnswer>) -> Vec<Event> {
    let mut events: Vec<Event> = answers
        .into_iter()
        .flat_map(|answer| answer.events)
        .collect();
    events.sort_by(|a, b| (a.at, &a.vm).cmp(&(b.at, &b.vm)));
    events
}

/// Formats an event as a line, with the time of day in UTC.
pub(crate) fn render_event(event: &Event) -> String {
    let time = format_time_of_day(event.at.millis);
    format!("{time} {:<10} {}", event.vm, event.kind)
}

/// Formats the time of day in UTC of a Unix time in milliseconds.
pub(super) fn format_time_of_day(unix_millis: u64) -> String {
    let millis = unix_millis % MILLIS_PER_DAY;
    let (seconds, millis) = (millis / 1000, millis % 1000);
    format!(
        "{:02}:{:02}:{:02}.{millis:03}",
        seconds / 3600,
        seconds / 60 % 60,
        seconds % 60
    )
}
