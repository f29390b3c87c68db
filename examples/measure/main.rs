//! Compares the decisions of the core with simple policies and an omniscient
//! queue.
//!
//! `cargo run --release --example measure -- --deployment sorteggio-nero|rena-karl
//! --scenario NAME|all --policy NAME|all --seeds N [--json FILE] [--svg DIR]`
//!
//! A simulation drives the core through its interfaces. It consists of targets
//! with slots, VMs whose view comes only from responses and fleet updates, and a
//! heap of timed events. docs/MEASUREMENTS.md lists the objectives of the figures.

mod baselines;
mod calls;
mod chart;
mod engine;
mod faults;
mod jobs;
mod model;
mod policy;
mod report;
mod scenario;

use anyhow::Context;
use engine::Engine;
use gentianridge_testkit::Deployment;
use pico_args::Arguments;
use policy::Policy;
use report::{Figures, Summary};
use scenario::Scenario;
use std::path::{Path, PathBuf};

const DEFAULT_SEEDS: u64 = 5;

fn main() -> anyhow::Result<()> {
    let mut args = Arguments::from_env();
    let deployment: Option<String> = args.opt_value_from_str("--deployment")?;
    let scenario: Option<String> = args.opt_value_from_str("--scenario")?;
    let policy: Option<String> = args.opt_value_from_str("--policy")?;
    let seeds: Option<u64> = args.opt_value_from_str("--seeds")?;
    let json: Option<String> = args.opt_value_from_str("--json")?;
    let svg: Option<PathBuf> = args.opt_value_from_str("--svg")?;
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "unknown argument {rest:?}");
    let deployment = deployment.unwrap_or_else(|| "sorteggio-nero".to_owned());
    let deployment =
        Deployment::from_name(&deployment).context("expected sorteggio-nero or rena-karl")?;
    let scenarios = Scenario::parse(scenario.as_deref().unwrap_or("all"))?;
    let policies = Policy::parse(policy.as_deref().unwrap_or("all"))?;
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    let mut summaries = Vec::new();
    println!("{}, {seeds} seeds", deployment.get_name());
    println!("{}", Summary::format_header());
    for scenario in scenarios {
        for &policy in &policies {
            let runs: Vec<Figures> = (1..=seeds)
                .map(|seed| Engine::new(deployment, scenario, policy, seed).run())
                .collect();
            let summary = Summary::new(scenario.get_name(), policy.get_name(), &runs);
            print!("{summary}");
            summaries.push(summary);
        }
    }
    if let Some(path) = json {
        let values: Vec<_> = summaries.iter().map(Summary::to_json).collect();
        std::fs::write(path, serde_json::to_string_pretty(&values)?)?;
    }
    if let Some(dir) = svg {
        draw_charts(&dir, &summaries)?;
    }
    Ok(())
}

/// Draws one chart for each scenario that was run.
fn draw_charts(dir: &Path, summaries: &[Summary]) -> anyhow::Result<()> {
    std::fs::create_dir_all(dir)?;
    let mut scenarios: Vec<&str> = summaries.iter().map(Summary::get_scenario).collect();
    scenarios.dedup();
    for scenario in scenarios {
        let shown: Vec<&Summary> = summaries
            .iter()
            .filter(|summary| summary.get_scenario() == scenario)
            .collect();
        chart::draw(dir, scenario, &shown)?;
    }
    Ok(())
}
