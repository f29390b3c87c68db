//! Checks the promises of docs/PROMISES.md on many seeded runs of real daemons.
//!
//! `cargo run --release --example history -- --seeds 200 [--first 1] [--at-once 4]`

use gentianridge_testkit::{check_history, run_history};
use pico_args::Arguments;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::task::JoinSet;

const DEFAULT_SEEDS: u64 = 200;
const DEFAULT_AT_ONCE: u64 = 4;

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(DEFAULT_SEEDS);
    let first: u64 = args.opt_value_from_str("--first")?.unwrap_or(1);
    let at_once: u64 = args
        .opt_value_from_str("--at-once")?
        .unwrap_or(DEFAULT_AT_ONCE);
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "unknown argument {rest:?}");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let failed_seeds = runtime.block_on(run_all(first, first + seeds, at_once))?;
    anyhow::ensure!(failed_seeds == 0, "{failed_seeds} seeds violated a promise");
    Ok(())
}

#[derive(Debug, Default)]
struct Totals {
    calls: AtomicU64,
    confirmations: AtomicU64,
    faults: AtomicU64,
    submissions: AtomicU64,
    violations: AtomicU64,
    failed_seeds: AtomicU64,
}

async fn run_all(first: u64, end: u64, at_once: u64) -> anyhow::Result<u64> {
    let next = Arc::new(AtomicU64::new(first));
    let totals = Arc::new(Totals::default());
    let mut workers = JoinSet::new();
    for _ in 0..at_once {
        let (next, totals) = (next.clone(), totals.clone());
        workers.spawn(async move {
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return Ok::<(), anyhow::Error>(());
                }
                run_seed(seed, &totals).await?;
            }
        });
    }
    while let Some(ended) = workers.join_next().await {
        ended??;
    }
    let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    println!(
        "{} seeds, {} faults, {} calls, {} confirmations run, {} submissions: {} violations",
        end - first,
        get(&totals.faults),
        get(&totals.calls),
        get(&totals.confirmations),
        get(&totals.submissions),
        get(&totals.violations)
    );
    Ok(get(&totals.failed_seeds))
}

async fn run_seed(seed: u64, totals: &Totals) -> anyhow::Result<()> {
    let history = run_history(seed).await?;
    let violations = check_history(&history);
    let add =
        |counter: &AtomicU64, count: usize| counter.fetch_add(count as u64, Ordering::Relaxed);
    add(&totals.calls, history.calls.len());
    add(&totals.confirmations, history.runs.len());
    add(&totals.faults, history.faults.len());
    add(&totals.submissions, history.submissions.len());
    add(&totals.violations, violations.len());
    if !violations.is_empty() {
        add(&totals.failed_seeds, 1);
        println!("seed {seed}: {violations:?}\n  faults {:?}", history.faults);
    }
    Ok(())
}
