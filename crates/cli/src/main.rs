//! The `gentianridge` binary.

use gentianridge_cli::{Cli, Exit, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = match Cli::parse(std::env::args_os().skip(1).collect()) {
        Ok(cli) => cli,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Usage.into();
        }
    };
    match execute(cli) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("error: {error:#}");
            Exit::Failed.into()
        }
    }
}

fn execute(cli: Cli) -> anyhow::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(cli))
}
