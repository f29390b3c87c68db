//! Runs daemons as processes, injects faults and checks the promises for a range
//! of seeds.
//!
//! `cargo run --release --example soak -- --seeds 50 [--first 1] [--at-once 3]
//! [--daemon target/release/gentianridged] [--dir target/soak]`

use gentianridge_testkit::{SoakOptions, run_soak};
use pico_args::Arguments;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::task::JoinSet;

const DEFAULT_SEEDS: u64 = 10;
const DEFAULT_AT_ONCE: u8 = 3;

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(DEFAULT_SEEDS);
    let first: u64 = args.opt_value_from_str("--first")?.unwrap_or(1);
    let at_once: u8 = args
        .opt_value_from_str("--at-once")?
        .unwrap_or(DEFAULT_AT_ONCE);
    let binary: Option<PathBuf> = args.opt_value_from_str("--daemon")?;
    let dir: Option<PathBuf> = args.opt_value_from_str("--dir")?;
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "unknown argument {rest:?}");
    let binary = binary.unwrap_or_else(|| "target/release/gentianridged".into());
    anyhow::ensure!(
        binary.is_file(),
        "{} is missing: build it with `cargo build --release`",
        binary.display()
    );
    let dir = dir.unwrap_or_else(|| "target/soak".into());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let failed_seeds = runtime.block_on(run_all(binary, dir, first..first + seeds, at_once))?;
    anyhow::ensure!(failed_seeds == 0, "{failed_seeds} seeds violated a promise");
    Ok(())
}

async fn run_all(
    binary: PathBuf,
    dir: PathBuf,
    seeds: std::ops::Range<u64>,
    at_once: u8,
) -> anyhow::Result<u64> {
    let next = Arc::new(AtomicU64::new(seeds.start));
    let mut workers = JoinSet::new();
    for slot in 0..at_once {
        let (binary, dir, next, end) = (binary.clone(), dir.clone(), next.clone(), seeds.end);
        workers.spawn(async move {
            let mut failed_seeds = 0;
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= end {
                    return Ok::<u64, anyhow::Error>(failed_seeds);
                }
                let options = SoakOptions {
                    binary: binary.clone(),
                    dir: dir.join(format!("seed-{seed}")),
                    seed,
                    slot,
                };
                failed_seeds += u64::from(!run_seed(options).await?);
            }
        });
    }
    let mut failed_seeds = 0;
    while let Some(ended) = workers.join_next().await {
        failed_seeds += ended??;
    }
    Ok(failed_seeds)
}

/// Runs one seed; returns true if it violated no promise.
async fn run_seed(options: SoakOptions) -> anyhow::Result<bool> {
    let seed = options.seed;
    let report = run_soak(options).await?;
    println!(
        "seed {seed}: {} steps, {} of {} requests answered, {} violations",
        report.steps.len(),
        report.answered,
        report.requests,
        report.violations.len()
    );
    for violation in &report.violations {
        println!("  {violation:?}");
    }
    if !report.violations.is_empty() {
        println!("  steps: {}", report.steps.join("; "));
    }
    Ok(report.violations.is_empty())
}
