//! `gentianridge status`

use crate::Exit;
use crate::args::OperatorEndpoint;
use crate::client::{OperatorClient, VmAnswer};
use crate::output::render_status;
use gentianridge_api::StatusAnswer;

/// Prints the status of every VM.
pub(super) async fn status(endpoint: &OperatorEndpoint, is_json: bool) -> anyhow::Result<Exit> {
    let answers = OperatorClient::from_endpoint(endpoint)?
        .get_all_statuses()
        .await?;
    let is_complete = answers.iter().all(|answer| answer.answer.is_ok());
    if is_json {
        let statuses: Vec<&StatusAnswer> = answers.iter().filter_map(get_status).collect();
        println!("{}", serde_json::to_string_pretty(&statuses)?);
    } else {
        print!("{}", render_status(&answers));
    }
    Ok(if is_complete {
        Exit::Done
    } else {
        Exit::Failed
    })
}

fn get_status(answer: &VmAnswer<StatusAnswer>) -> Option<&StatusAnswer> {
    answer.answer.as_ref().ok()
}
