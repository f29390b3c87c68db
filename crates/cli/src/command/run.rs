//! Dispatch of the commands.

use super::check::check;
use super::explain::{explain, explain_from_lines};
use super::preview::preview;
use super::status::status;
use super::submit::submit;
use super::timeline::{timeline, timeline_from_lines};
use crate::client::OperatorClient;
use crate::{Cli, Exit};

/// Runs a command and returns its exit status.
///
/// # Errors
///
/// Fails if a file cannot be read or a VM does not answer.
pub async fn run(cli: Cli) -> anyhow::Result<Exit> {
    match cli {
        Cli::Help(text) => {
            print!("{text}");
            Ok(Exit::Done)
        }
        Cli::Version => {
            println!("gentianridge {}", env!("CARGO_PKG_VERSION"));
            Ok(Exit::Done)
        }
        Cli::Check(path) => check(&path),
        Cli::Submit(args) => submit(&args).await,
        Cli::Status { endpoint, is_json } => status(&endpoint, is_json).await,
        Cli::Timeline(args) if args.lines.is_empty() => timeline(&args).await,
        Cli::Timeline(args) => timeline_from_lines(&args),
        Cli::Explain {
            endpoint,
            request,
            lines,
            is_json,
        } if lines.is_empty() => explain(&endpoint, &request, is_json).await,
        Cli::Explain {
            request,
            lines,
            is_json,
            ..
        } => explain_from_lines(&lines, &request, is_json),
        Cli::Preview(args) => preview(&args).await,
        Cli::File(endpoint) => {
            print!(
                "{}",
                OperatorClient::from_endpoint(&endpoint)?.file().await?
            );
            Ok(Exit::Done)
        }
    }
}
