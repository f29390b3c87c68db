//! Parsing of command-line arguments.

use gentianridge_api::PreviewRequest;
use pico_args::Arguments;
use smol_str::SmolStr;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Commands in the order of the help text.
const COMMANDS: [&str; 7] = [
    "check", "submit", "status", "timeline", "explain", "preview", "file",
];
/// Least Jaro-Winkler similarity, from 0 to 1, at which a known command is suggested.
const MIN_SIMILARITY: f64 = 0.7;
/// Default of `--since`.
const DEFAULT_SINCE: Duration = Duration::from_secs(300);

const HELP: &str = "\
gentianridge - operate the load balancer with files

Usage:
  gentianridge check FILE
  gentianridge submit FILE --author NAME [--force] [--resume SUBMISSION]
  gentianridge status [--json]
  gentianridge timeline [--since 5m] [--service S] [--target T] [--follow] [--json] [--svg FILE]
  gentianridge timeline --lines FILE... [--service S] [--target T] [--json]
  gentianridge explain REQUEST [--json]
  gentianridge explain REQUEST --lines FILE... [--json]
  gentianridge preview METHOD URL --to ADDR... [--workspace W] [--body BYTES] [--deadline 2s] [--json]
  gentianridge file

  --lines FILE     read lines that were collected from daemons; may be repeated

Options for all commands that talk to a VM:
  --to ADDR        operators' address of any VM (or GENTIANRIDGE_TO; default 127.0.0.1:8081)
  --token TOKEN    operators' token (or GENTIANRIDGE_TOKEN)

  --help           show this text, or that of a command
  --version        show the version

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 faulty or not accepted, 4 unknown
";

/// An invalid command line.
#[derive(Debug)]
pub struct UsageError {
    message: String,
    hint: Option<String>,
}

impl UsageError {
    fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            hint: None,
        }
    }

    fn hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }
}

impl std::fmt::Display for UsageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "error: {}", self.message)?;
        if let Some(hint) = &self.hint {
            write!(f, "\n  did you mean: {hint}")?;
        }
        write!(f, "\n  see gentianridge --help")
    }
}

impl std::error::Error for UsageError {}

impl From<pico_args::Error> for UsageError {
    fn from(error: pico_args::Error) -> Self {
        Self::new(error.to_string())
    }
}

/// Address and token for the operators' API.
#[derive(Debug, Clone)]
pub struct OperatorEndpoint {
    /// Operators' address of any VM.
    pub addr: SocketAddr,
    /// Operators' token.
    pub token: String,
}

/// A parsed command line.
#[derive(Debug)]
pub enum Cli {
    /// Show help.
    Help(&'static str),
    /// Show the version.
    Version,
    /// Check a file without sending it to a VM.
    Check(PathBuf),
    /// Submit a file.
    Submit(SubmitArgs),
    /// Show the status of all VMs.
    Status {
        /// Operators' API to connect to.
        endpoint: OperatorEndpoint,
        /// Whether to print JSON.
        is_json: bool,
    },
    /// Show events of all VMs.
    Timeline(TimelineArgs),
    /// Show the trace of a request.
    Explain {
        /// Operators' API to connect to.
        endpoint: OperatorEndpoint,
        /// Request id.
        request: String,
        /// Files of collected log lines; if empty, the VMs are queried.
        lines: Vec<PathBuf>,
        /// Whether to print JSON.
        is_json: bool,
    },
    /// Show where a request would go now.
    Preview(PreviewArgs),
    /// Show the file in force.
    File(OperatorEndpoint),
}

/// Arguments of `submit`.
#[derive(Debug)]
pub struct SubmitArgs {
    /// Operators' API to connect to.
    pub endpoint: OperatorEndpoint,
    /// File to submit.
    pub file: PathBuf,
    /// Operator who submits.
    pub author: SmolStr,
    /// Whether to accept warnings.
    pub force: bool,
    /// Earlier submission to resume because its outcome is unknown.
    pub resume: Option<SmolStr>,
}

/// Arguments of `timeline`.
#[derive(Debug)]
pub struct TimelineArgs {
    /// Operators' API to connect to.
    pub endpoint: OperatorEndpoint,
    /// Age of the oldest events to show.
    pub since: Duration,
    /// Only events of this service.
    pub service: Option<SmolStr>,
    /// Only events of this target.
    pub target: Option<SmolStr>,
    /// Whether to keep showing new events.
    pub follow: bool,
    /// Whether to print JSON.
    pub is_json: bool,
    /// SVG file to draw the events to.
    pub svg: Option<PathBuf>,
    /// Files of collected log lines; if empty, the VMs are queried.
    pub lines: Vec<PathBuf>,
}

/// Arguments of `preview`.
#[derive(Debug)]
pub struct PreviewArgs {
    /// Metrics addresses of the VMs to ask.
    pub vms: Vec<SocketAddr>,
    /// The request, which is not sent.
    pub request: PreviewRequest,
    /// Whether to print JSON.
    pub is_json: bool,
}

impl Cli {
    /// Parses the arguments after the program name.
    ///
    /// # Errors
    ///
    /// Fails if the arguments are invalid; for an unknown command, the error suggests the
    /// most similar one.
    pub fn parse(args: Vec<OsString>) -> Result<Self, UsageError> {
        let mut args = Arguments::from_vec(args);
        if args.contains("--version") {
            return Ok(Self::Version);
        }
        let is_help = args.contains("--help");
        let Some(command) = args.subcommand()? else {
            return if is_help {
                Ok(Self::Help(HELP))
            } else {
                Err(UsageError::new("a command is required"))
            };
        };
        if is_help {
            return get_help(&command).map(Self::Help);
        }
        let cli = parse_command(&command, &mut args)?;
        let rest = args.finish();
        if let Some(unknown) = rest.first() {
            return Err(UsageError::new(format!(
                "unexpected argument {}",
                unknown.to_string_lossy()
            )));
        }
        Ok(cli)
    }
}

fn parse_command(command: &str, args: &mut Arguments) -> Result<Cli, UsageError> {
    match command {
        "check" => Ok(Cli::Check(free_path(args, "FILE")?)),
        "submit" => parse_submit(args).map(Cli::Submit),
        "status" => Ok(Cli::Status {
            is_json: args.contains("--json"),
            endpoint: parse_endpoint(args)?,
        }),
        "timeline" => parse_timeline(args).map(Cli::Timeline),
        "explain" => Ok(Cli::Explain {
            is_json: args.contains("--json"),
            endpoint: parse_endpoint(args)?,
            lines: args.values_from_str("--lines")?,
            request: free_text(args, "REQUEST")?,
        }),
        "preview" => parse_preview(args).map(Cli::Preview),
        "file" => parse_endpoint(args).map(Cli::File),
        unknown => Err(unknown_command(unknown)),
    }
}

fn parse_submit(args: &mut Arguments) -> Result<SubmitArgs, UsageError> {
    Ok(SubmitArgs {
        endpoint: parse_endpoint(args)?,
        author: args
            .opt_value_from_str::<_, SmolStr>("--author")?
            .ok_or_else(|| UsageError::new("--author NAME is missing"))?,
        force: args.contains("--force"),
        resume: args.opt_value_from_str("--resume")?,
        file: free_path(args, "FILE")?,
    })
}

fn parse_timeline(args: &mut Arguments) -> Result<TimelineArgs, UsageError> {
    let since: Option<String> = args.opt_value_from_str("--since")?;
    let since = match since {
        Some(text) => gentianridge_config::parse_duration(&text).ok_or_else(|| {
            UsageError::new(format!("--since {text}: expected a duration such as 5m"))
        })?,
        None => DEFAULT_SINCE,
    };
    Ok(TimelineArgs {
        endpoint: parse_endpoint(args)?,
        since,
        service: args.opt_value_from_str("--service")?,
        target: args.opt_value_from_str("--target")?,
        follow: args.contains("--follow"),
        is_json: args.contains("--json"),
        svg: args.opt_value_from_str("--svg")?,
        lines: args.values_from_str("--lines")?,
    })
}

fn parse_preview(args: &mut Arguments) -> Result<PreviewArgs, UsageError> {
    let vms: Vec<SocketAddr> = args.values_from_str("--to")?;
    if vms.is_empty() {
        return Err(UsageError::new(
            "--to ADDR is missing: the metrics address of a VM",
        ));
    }
    let is_json = args.contains("--json");
    let workspace = args.opt_value_from_str("--workspace")?;
    let body_bytes: Option<u64> = args.opt_value_from_str("--body")?;
    let deadline = parse_deadline(args)?;
    let method = free_text(args, "METHOD")?;
    let url = free_text(args, "URL")?;
    let (host, path) = split_url(&url).ok_or_else(|| {
        UsageError::new(format!("{url}: expected a URL such as http://host/path"))
    })?;
    Ok(PreviewArgs {
        vms,
        request: PreviewRequest {
            method: method.into(),
            host: host.into(),
            path: path.into(),
            workspace,
            body_bytes: body_bytes.unwrap_or(0),
            deadline_ms: deadline.map(|deadline| deadline.as_millis() as u64),
        },
        is_json,
    })
}

fn parse_deadline(args: &mut Arguments) -> Result<Option<Duration>, UsageError> {
    let Some(text) = args.opt_value_from_str::<_, String>("--deadline")? else {
        return Ok(None);
    };
    let deadline = gentianridge_config::parse_duration(&text).ok_or_else(|| {
        UsageError::new(format!("--deadline {text}: expected a duration such as 2s"))
    })?;
    Ok(Some(deadline))
}

/// Returns the host and the path without the query.
fn split_url(url: &str) -> Option<(&str, &str)> {
    let rest = url.strip_prefix("http://")?;
    let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let path = path.split('?').next().filter(|path| !path.is_empty());
    (!host.is_empty()).then_some((host, path.unwrap_or("/")))
}

fn parse_endpoint(args: &mut Arguments) -> Result<OperatorEndpoint, UsageError> {
    let addr: Option<SocketAddr> = args.opt_value_from_str("--to")?;
    let token: Option<String> = args.opt_value_from_str("--token")?;
    let addr = match (addr, std::env::var("GENTIANRIDGE_TO")) {
        (Some(addr), _) => addr,
        (None, Ok(text)) => text.parse().map_err(|_| {
            UsageError::new(format!(
                "GENTIANRIDGE_TO={text}: expected an IP address and port"
            ))
        })?,
        (None, Err(_)) => SocketAddr::from(([127, 0, 0, 1], 8081)),
    };
    let token = token
        .or_else(|| std::env::var("GENTIANRIDGE_TOKEN").ok())
        .unwrap_or_default();
    Ok(OperatorEndpoint { addr, token })
}

fn free_path(args: &mut Arguments, name: &str) -> Result<PathBuf, UsageError> {
    free_text(args, name).map(PathBuf::from)
}

fn free_text(args: &mut Arguments, name: &str) -> Result<String, UsageError> {
    args.opt_free_from_str()?
        .ok_or_else(|| UsageError::new(format!("{name} is missing")))
}

fn unknown_command(name: &str) -> UsageError {
    let error = UsageError::new(format!("unknown command {name}"));
    let nearest = COMMANDS
        .iter()
        .map(|known| (strsim::jaro_winkler(name, known), *known))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((_, known)) => error.hint(known),
        None => error,
    }
}

fn get_help(command: &str) -> Result<&'static str, UsageError> {
    match command {
        "check" => Ok(
            "gentianridge check FILE\n\nChecks a file as the daemon would and shows every fault with its line.\nNothing is sent.\n",
        ),
        "submit" => Ok(
            "gentianridge submit FILE --author NAME [--force] [--resume SUBMISSION] [--to ADDR] [--token TOKEN]\n\nSubmits a file. Either the entire file is accepted or nothing of it. --force\naccepts the warnings about a file that drains, shrinks or removes a service. If\nthe outcome is unknown, --resume with the printed submission retries without\nsubmitting twice.\n",
        ),
        "status" => Ok(
            "gentianridge status [--json] [--to ADDR] [--token TOKEN]\n\nShows every VM, the revision in force on it, and the services with the reasons\nstated in the file.\n",
        ),
        "timeline" => Ok(
            "gentianridge timeline [--since 5m] [--service S] [--target T] [--follow] [--json] [--svg FILE]\ngentianridge timeline --lines FILE... [--service S] [--target T] [--json]\n\nShows the events of all VMs in causal order. With --lines, shows the state lines\n(those with log target belief) of collected logs in order of time.\n",
        ),
        "explain" => Ok(
            "gentianridge explain REQUEST [--json] [--to ADDR] [--token TOKEN]\ngentianridge explain REQUEST --lines FILE... [--json]\n\nShows how long a request waited, its attempts and the meaning of its result code.\nThe id of a request is in the x-request-id header of its answer. With --lines it\nis the id of the caller's attempt, and the state lines (those with log target\nbelief) about its targets around that time are shown as well.\n",
        ),
        "preview" => Ok(
            "gentianridge preview METHOD URL --to ADDR... [--workspace W] [--body BYTES] [--deadline 2s] [--json]\n\nShows where a request would go now at each VM, and why: its route, class and\nplace in the order, and what speaks for and against each target. Nothing is sent\nto a target and no budget is used. ADDR is the metrics address of a VM on the\nplatform; --to may be repeated. W is the name of the caller's workspace.\n",
        ),
        "file" => Ok(
            "gentianridge file [--to ADDR] [--token TOKEN]\n\nShows the file in force, which can be edited and submitted again.\n",
        ),
        unknown => Err(unknown_command(unknown)),
    }
}
