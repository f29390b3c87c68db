//! `gentianridge timeline`

use super::explain::STATE_LOG_TARGET;
use crate::Exit;
use crate::args::TimelineArgs;
use crate::client::OperatorClient;
use crate::lines::read_lines;
use crate::output::{merge_timelines, render_event, render_line, render_timeline_svg};
use gentianridge_core::Event;
use smol_str::SmolStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time between two polls with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Prints the events of all VMs in causal order.
pub(super) async fn timeline(args: &TimelineArgs) -> anyhow::Result<Exit> {
    let client = OperatorClient::from_endpoint(&args.endpoint)?;
    let mut since = now_millis().saturating_sub(args.since.as_millis() as u64);
    loop {
        let answers = client.get_all_timelines(since).await?;
        for answer in &answers {
            if let Err(error) = &answer.answer {
                eprintln!("{}: no answer: {error:#}", answer.vm);
            }
        }
        let is_complete = answers.iter().all(|answer| answer.answer.is_ok());
        let timelines = answers
            .into_iter()
            .filter_map(|answer| answer.answer.ok())
            .collect();
        let events: Vec<Event> = merge_timelines(timelines)
            .into_iter()
            .filter(|event| is_selected(event, args))
            .collect();
        show_events(args, &events)?;
        if !args.follow {
            return Ok(if is_complete {
                Exit::Done
            } else {
                Exit::Failed
            });
        }
        since = events.last().map_or(since, |event| event.at.millis);
        tokio::time::sleep(FOLLOW_INTERVAL).await;
    }
}

/// Prints the state lines of collected logs.
pub(super) fn timeline_from_lines(args: &TimelineArgs) -> anyhow::Result<Exit> {
    let lines = read_lines(&args.lines, |line| {
        let is_about = |name: &SmolStr| line.is_about(name);
        line.log_target == STATE_LOG_TARGET
            && args.service.as_ref().is_none_or(is_about)
            && args.target.as_ref().is_none_or(is_about)
    })?;
    for line in &lines {
        if args.is_json {
            println!("{}", serde_json::to_string(line)?);
        } else {
            println!("{}", render_line(line, ""));
        }
    }
    Ok(Exit::Done)
}

fn show_events(args: &TimelineArgs, events: &[Event]) -> anyhow::Result<()> {
    if let Some(path) = &args.svg {
        std::fs::write(path, render_timeline_svg(events)?)?;
        println!("{} events written to {}", events.len(), path.display());
        return Ok(());
    }
    for event in events {
        if args.is_json {
            println!("{}", serde_json::to_string(event)?);
        } else {
            println!("{}", render_event(event));
        }
    }
    Ok(())
}

fn is_selected(event: &Event, args: &TimelineArgs) -> bool {
    let is_service = args
        .service
        .as_ref()
        .is_none_or(|name| event.kind.get_service() == Some(name));
    let is_target = args
        .target
        .as_ref()
        .is_none_or(|name| event.kind.get_target() == Some(name));
    is_service && is_target
}

fn now_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
