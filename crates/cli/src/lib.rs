//! Command line for operators.
//!
//! The commands and their exit codes are listed in docs/COMMAND-LINE.md.

mod args;
mod client;
mod command;
mod exit;
mod lines;
mod output;

pub use args::{Cli, UsageError};
pub use client::OperatorClient;
pub use command::run;
pub use exit::Exit;
pub use output::{merge_timelines, render_timeline_svg};
