//! `gentianridge preview`

use crate::Exit;
use crate::args::PreviewArgs;
use crate::client::fetch_preview;
use crate::output::render_preview;

/// Prints what would happen to a request at each VM.
pub(super) async fn preview(args: &PreviewArgs) -> anyhow::Result<Exit> {
    let mut exit = Exit::Done;
    for addr in &args.vms {
        match fetch_preview(*addr, &args.request).await {
            Ok(answer) if args.is_json => println!("{}", serde_json::to_string_pretty(&answer)?),
            Ok(answer) => print!("{}", render_preview(&args.request, &answer)),
            Err(error) => {
                eprintln!("{addr}: {error:#}");
                exit = Exit::Failed;
            }
        }
    }
    Ok(exit)
}
