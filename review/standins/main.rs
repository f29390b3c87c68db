//! Runs one case of the review: `standins CASE`.
//!
//! The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod client;
mod config;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod target;

mod many_classes;
mod refused_calls;
mod slow_upload;

use record::Record;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What a case needs.
pub struct Case {
    pub root: PathBuf,
    pub record: Record,
    pub has_trouble: bool,
}

/// Time after which a case that hangs ends by itself.
const LONGEST: Duration = Duration::from_secs(118);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, folder] = &arguments[..] else {
        eprintln!("usage: standins CASE ROOT FOLDER");
        std::process::exit(2);
    };
    std::process::exit(run(name, Path::new(root), Path::new(folder)));
}

fn run(name: &str, root: &Path, folder: &Path) -> i32 {
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return 2;
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {name}, disruption: {has_trouble}"));
    let case = Case {
        root: root.into(),
        record: record.clone(),
        has_trouble,
    };
    let (tx, rx) = std::sync::mpsc::channel();
    let name = name.to_owned();
    std::thread::spawn(move || {
        let result = match name.as_str() {
            "slow-upload" => slow_upload::run(&case),
            "many-classes" => many_classes::run(&case),
            "refused-calls" => refused_calls::run(&case),
            _ => Err(std::io::Error::other("no such case")),
        };
        let _ = tx.send(result);
    });
    let status = match rx.recv_timeout(LONGEST) {
        Ok(Ok(broken)) => {
            for text in &broken {
                record.line(&format!("BROKEN   {text}"));
                println!("broken: {text}");
            }
            println!("{} breaches", broken.len());
            i32::from(!broken.is_empty())
        }
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            2
        }
        Err(_) => {
            eprintln!("the case did not end in time");
            fleet::end_all_processes();
            2
        }
    };
    record.line(&format!("exit status {status}"));
    record.flush();
    status
}

/// Returns a line for each request id that ran more than once.
pub fn find_repeated_runs(record: &Record, prefix: &str) -> Vec<String> {
    let mut runs = record.get_runs();
    runs.retain(|run| run.id.starts_with(prefix));
    runs.sort_by(|a, b| (&a.id, a.at_ms).cmp(&(&b.id, b.at_ms)));
    let mut broken = Vec::new();
    for group in runs
        .chunk_by(|a, b| a.id == b.id)
        .filter(|group| group.len() > 1)
    {
        let places: Vec<String> = group
            .iter()
            .map(|run| format!("{} at {} ms", run.target, run.at_ms))
            .collect();
        broken.push(format!(
            "TWICE: {} ran {} times: {}",
            group[0].id,
            group.len(),
            places.join(", ")
        ));
    }
    broken
}
