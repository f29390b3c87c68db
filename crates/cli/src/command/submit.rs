//! `gentianridge submit`

use crate::Exit;
use crate::args::SubmitArgs;
use crate::client::OperatorClient;
use anyhow::Context;
use gentianridge_api::{SubmitAnswer, SubmitRequest, SubmitVerdict};
use smol_str::{SmolStr, format_smolstr};
use std::time::{SystemTime, UNIX_EPOCH};

/// Submits a file and prints the outcome.
///
/// The name of a submission begins with its base revision, so that resuming it
/// submits the file for the same revision number and never for a second one.
pub(super) async fn submit(args: &SubmitArgs) -> anyhow::Result<Exit> {
    let text = std::fs::read_to_string(&args.file)
        .with_context(|| format!("cannot read {}", args.file.display()))?;
    let client = OperatorClient::from_endpoint(&args.endpoint)?;
    let (submission, base) = match &args.resume {
        Some(name) => (name.clone(), parse_base(name)?),
        None => {
            let status = client.status().await?;
            let base = status.revision.map_or(0, |revision| revision.number);
            (new_submission(base), base)
        }
    };
    let request = SubmitRequest {
        submission: submission.clone(),
        author: args.author.clone(),
        base: Some(base),
        force: args.force,
        text,
    };
    match client.submit(&request).await {
        Ok(answer) => Ok(print_answer(&answer)),
        Err(error) => {
            println!("unknown: {error:#}");
            print_resume(&submission);
            Ok(Exit::Unknown)
        }
    }
}

fn print_answer(answer: &SubmitAnswer) -> Exit {
    let (outcome, exit) = match answer.verdict {
        SubmitVerdict::Accepted => ("accepted", Exit::Done),
        SubmitVerdict::Faulty => ("rejected: the file has faults", Exit::Rejected),
        SubmitVerdict::NeedsForce => (
            "rejected: confirm the warnings with --force",
            Exit::Rejected,
        ),
        SubmitVerdict::Overtaken => ("rejected: another file was accepted first", Exit::Rejected),
        SubmitVerdict::StoreUnavailable => (
            "rejected: the platform's table service did not accept it",
            Exit::Rejected,
        ),
        SubmitVerdict::Unknown => ("unknown", Exit::Unknown),
    };
    println!(
        "{outcome} (revision {}, submission {})",
        answer.revision, answer.submission
    );
    for detail in &answer.details {
        println!("  {detail}");
    }
    if exit == Exit::Unknown {
        print_resume(&answer.submission);
    }
    exit
}

fn print_resume(submission: &str) {
    println!("  to resume, run: gentianridge submit FILE --author NAME --resume {submission}");
}

fn new_submission(base: u64) -> SmolStr {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_nanos());
    format_smolstr!("{base}-{now:x}-{:x}", std::process::id())
}

fn parse_base(name: &str) -> anyhow::Result<u64> {
    name.split('-')
        .next()
        .and_then(|text| text.parse().ok())
        .with_context(|| format!("{name} is not a submission name"))
}
