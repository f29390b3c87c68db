//! The `gentianridged` binary.

use anyhow::Context;
use gentianridge_config::{Settings, parse_settings};
use gentianridge_daemon::{Daemon, run_gateway, run_until_signal, start_logging};
use pico_args::Arguments;
use std::net::SocketAddr;
use std::process::ExitCode;

const HELP: &str = "\
gentianridged - the load balancer's daemon on an entry VM

Usage:
  gentianridged SETTINGS.ini            run with the settings
  gentianridged --check SETTINGS.ini    check the settings and exit
  gentianridged --gateway SETTINGS.ini  run with routes and targets that the platform publishes
  gentianridged --standalone FILE       run one daemon with FILE and an in-memory store

Options:
  --callers ADDR     with --standalone: address for callers (default 127.0.0.1:8080)
  --operators ADDR   with --standalone: address for operators (default 127.0.0.1:8081)
  --help             show this text
  --version          show the version

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 faults in a file
";

/// Exit code for wrong usage.
const EXIT_USAGE: u8 = 2;
/// Exit code for faults in a file.
const EXIT_FAULTS: u8 = 3;
/// Operators' token of a standalone daemon.
const STANDALONE_TOKEN: &str = "standalone";

enum Command {
    Help,
    Version,
    Check(String),
    Run(String),
    Gateway(String),
    Standalone {
        file: String,
        callers: SocketAddr,
        operators: SocketAddr,
    },
}

fn main() -> ExitCode {
    let command = match parse(Arguments::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("error: {error}\n\n{HELP}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match execute(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut args: Arguments) -> anyhow::Result<Command> {
    if args.contains("--help") {
        return Ok(Command::Help);
    }
    if args.contains("--version") {
        return Ok(Command::Version);
    }
    let check: Option<String> = args.opt_value_from_str("--check")?;
    let gateway: Option<String> = args.opt_value_from_str("--gateway")?;
    let standalone: Option<String> = args.opt_value_from_str("--standalone")?;
    let callers = args.opt_value_from_str("--callers")?;
    let operators = args.opt_value_from_str("--operators")?;
    let command = match (check, gateway, standalone) {
        (Some(path), None, None) => Command::Check(path),
        (None, Some(path), None) => Command::Gateway(path),
        (None, None, Some(file)) => Command::Standalone {
            file,
            callers: callers.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 8080))),
            operators: operators.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 8081))),
        },
        (None, None, None) => {
            Command::Run(args.free_from_str().context("SETTINGS.ini is missing")?)
        }
        _ => anyhow::bail!("--check, --gateway and --standalone exclude each other"),
    };
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "unknown argument {rest:?}");
    Ok(command)
}

fn execute(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("gentianridged {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => {
            let Some(settings) = load_settings(&path)? else {
                return Ok(ExitCode::from(EXIT_FAULTS));
            };
            println!("{path}: settings of VM {} are valid", settings.vm);
        }
        Command::Run(path) => {
            let Some(settings) = load_settings(&path)? else {
                return Ok(ExitCode::from(EXIT_FAULTS));
            };
            run(settings, None)?;
        }
        Command::Gateway(path) => run_gateway(&path)?,
        Command::Standalone {
            file,
            callers,
            operators,
        } => {
            let text = read(&file)?;
            if let Err(report) = gentianridge_config::parse_fleet(&text) {
                eprintln!("{file}:\n{report}");
                return Ok(ExitCode::from(EXIT_FAULTS));
            }
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let settings = Settings::new("standalone", callers, operators, any)
                .operator_token(STANDALONE_TOKEN);
            eprintln!(
                "standalone: state is kept in memory only; operators' token is {STANDALONE_TOKEN:?}"
            );
            run(settings, Some(text))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn run(settings: Settings, file: Option<String>) -> anyhow::Result<()> {
    start_logging(&settings.log_level, settings.log_format);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let daemon = Daemon::start(settings).await?;
        if let Some(text) = file {
            daemon.load(text)?;
        }
        log::info!(
            "callers on {}, operators on {}",
            daemon.get_callers(),
            daemon.get_operators()
        );
        run_until_signal(daemon).await
    })
}

fn load_settings(path: &str) -> anyhow::Result<Option<Settings>> {
    match parse_settings(&read(path)?) {
        Ok(settings) => Ok(Some(settings)),
        Err(report) => {
            eprintln!("{path}:\n{report}");
            Ok(None)
        }
    }
}

fn read(path: &str) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {path}"))
}
