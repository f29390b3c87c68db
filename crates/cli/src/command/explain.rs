//! `gentianridge explain`

use crate::Exit;
use crate::args::OperatorEndpoint;
use crate::client::OperatorClient;
use crate::lines::{LogLine, read_lines};
use crate::output::{render_line, render_result_code, render_trace};
use jiff::{SignedDuration, Timestamp};
use smol_str::SmolStr;
use std::path::PathBuf;

/// Log target of lines about changes of a VM's state.
pub(super) const STATE_LOG_TARGET: &str = "belief";
/// Field of a log line that holds the id of the request.
const REQUEST_FIELD: &str = "request";
/// Period before a request from which state lines are shown: the longest time until
/// a VM receives a change of a target's state.
const LOOKBACK: SignedDuration = SignedDuration::from_secs(3);

/// Prints the traces that the VMs keep of a request.
pub(super) async fn explain(
    endpoint: &OperatorEndpoint,
    request: &str,
    is_json: bool,
) -> anyhow::Result<Exit> {
    let traces = OperatorClient::from_endpoint(endpoint)?
        .get_traces(request)
        .await?;
    if is_json {
        println!("{}", serde_json::to_string_pretty(&traces)?);
    } else {
        for trace in &traces {
            print!("{}", render_trace(trace));
        }
    }
    if traces.is_empty() {
        eprintln!("no VM has a trace of request {request}; each VM keeps only its newest requests");
        return Ok(Exit::Failed);
    }
    Ok(Exit::Done)
}

/// Prints the collected log lines of a request and the state lines about its targets.
pub(super) fn explain_from_lines(
    paths: &[PathBuf],
    request: &str,
    is_json: bool,
) -> anyhow::Result<Exit> {
    let lines = read_lines(paths, |line| line.get(REQUEST_FIELD) == Some(request))?;
    let (Some(first), Some(last)) = (lines.first(), lines.last()) else {
        eprintln!("no log line of request {request}; the log may omit refusals under overload");
        return Ok(Exit::Failed);
    };
    let state_lines = read_state_lines(paths, &lines, first.timestamp - LOOKBACK, last.timestamp)?;
    if is_json {
        for line in state_lines.iter().chain(&lines) {
            println!("{}", serde_json::to_string(line)?);
        }
        return Ok(Exit::Done);
    }
    println!("request {request}");
    for line in &lines {
        println!("  {}", render_line(line, REQUEST_FIELD));
    }
    if let Some(result) = render_result_code(last) {
        println!("{result}");
    }
    if !state_lines.is_empty() {
        println!("state lines of its targets:");
        for line in &state_lines {
            println!("  {}", render_line(line, REQUEST_FIELD));
        }
    }
    Ok(Exit::Done)
}

/// Reads the state lines in a period that the VMs of `lines` wrote about its targets.
fn read_state_lines(
    paths: &[PathBuf],
    lines: &[LogLine],
    from: Timestamp,
    to: Timestamp,
) -> anyhow::Result<Vec<LogLine>> {
    let mut targets: Vec<&str> = lines.iter().filter_map(|line| line.get("target")).collect();
    targets.sort_unstable();
    targets.dedup();
    let mut vms: Vec<&SmolStr> = lines.iter().map(|line| &line.vm).collect();
    vms.sort_unstable();
    vms.dedup();
    read_lines(paths, |line| {
        line.log_target == STATE_LOG_TARGET
            && (from..=to).contains(&line.timestamp)
            && vms.binary_search(&&line.vm).is_ok()
            && targets.iter().any(|target| line.is_about(target))
    })
}
