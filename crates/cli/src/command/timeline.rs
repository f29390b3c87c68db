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

/// Time between two looks with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Shows the events of every VM in one order.
pub(super) async fn timeline(args: &TimelineArgs) -> anyhow::Result<Exit> {
    let client = OperatorClient::of(&args.endpoint)?;
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
        show(args, &events)?;
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

/// Shows what VMs believed by collected lines.
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

fn show(args: &TimelineArgs, events: &[Event]) -> anyhow::Result<()> {
    if let Some(path) = &args.svg {
        std::fs::write(path, render_timeline_svg(events)?)?;
        println!("{} events drawn to {}", events.len(), path.display());
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
        .is_none_or(|wanted| event.kind.get_service() == Some(wanted));
    let is_target = args
        .target
        .as_ref()
        .is_none_or(|wanted| event.kind.get_target() == Some(wanted));
    is_service && is_target
}

fn now_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
