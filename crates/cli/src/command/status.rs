//! `gentianridge status`

use crate::Exit;
use crate::args::Access;
use crate::client::{OperatorClient, VmAnswer};
use crate::output::render_status;
use gentianridge_api::StatusAnswer;

/// Shows the status of every VM.
pub(super) async fn status(access: &Access, is_json: bool) -> anyhow::Result<Exit> {
    let answers = OperatorClient::of(access)?.status_of_all().await?;
    let is_complete = answers.iter().all(|answer| answer.answer.is_ok());
    if is_json {
        let found: Vec<&StatusAnswer> = answers.iter().filter_map(found_of).collect();
        println!("{}", serde_json::to_string_pretty(&found)?);
    } else {
        print!("{}", render_status(&answers));
    }
    Ok(if is_complete {
        Exit::Done
    } else {
        Exit::Failed
    })
}

fn found_of(answer: &VmAnswer<StatusAnswer>) -> Option<&StatusAnswer> {
    answer.answer.as_ref().ok()
}
