//! `gentianridge explain`

use crate::Exit;
use crate::args::Access;
use crate::client::OperatorClient;
use crate::output::render_trace;

/// Shows the way of one request.
pub(super) async fn explain(access: &Access, request: &str, is_json: bool) -> anyhow::Result<Exit> {
    let traces = OperatorClient::of(access)?.explain(request).await?;
    if is_json {
        println!("{}", serde_json::to_string_pretty(&traces)?);
    } else {
        for trace in &traces {
            print!("{}", render_trace(trace));
        }
    }
    if traces.is_empty() {
        eprintln!("no VM remembers request {request}; each keeps its newest requests only");
        return Ok(Exit::Failed);
    }
    Ok(Exit::Done)
}
