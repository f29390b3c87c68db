//! Stand-ins and runners of the cases of the second review.
//!
//! `standins CASE ROOT RECORD` plays a case with the daemons of the deploy build in the
//! repository ROOT, and writes what was sent, answered and run to RECORD.

mod bystanders;
mod client;
mod cold_entry;
mod config;
mod early_answers;
mod fleet;
mod http;
mod json;
mod slow_start;
mod store;
mod target;
mod trickle;

use std::path::Path;
use std::process::ExitCode;

/// Whether the rule held in a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &args[..] else {
        eprintln!("standins CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = std::env::temp_dir().join(format!("{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&dir).is_err() {
        return ExitCode::from(2);
    }
    let root = Path::new(root);
    let mut lines = vec![format!("case {case}, trouble: {has_trouble}")];
    let verdict = match case.as_str() {
        "cold-entry" => cold_entry::play(root, &dir, has_trouble, &mut lines),
        "early-answers" => early_answers::play(root, &dir, has_trouble, &mut lines),
        "slow-start" => slow_start::play(root, &dir, has_trouble, &mut lines),
        "trickle" => trickle::play(root, &dir, has_trouble, &mut lines),
        _ => Verdict::NotRun("no such case".into()),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(reason) => (2, format!("not run: {reason}")),
    };
    lines.push(text.clone());
    println!("{text}");
    if std::fs::write(record, lines.join("\n") + "\n").is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
