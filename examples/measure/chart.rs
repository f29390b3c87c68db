//! Draws the bar chart of a scenario, with one bar for each policy.

use crate::report::Summary;
use plotters::prelude::*;
use std::path::Path;

const WIDTH: u32 = 720;
const HEIGHT: u32 = 360;
/// Empty space on each side of a bar, as a share of the distance between bars.
const GAP: f64 = 0.15;

/// Draws the p99 of short work for each policy, with its range over the seeds.
pub(crate) fn draw(dir: &Path, scenario: &str, summaries: &[&Summary]) -> anyhow::Result<()> {
    let path = dir.join(format!("{scenario}.svg"));
    draw_to(&path, scenario, summaries)
        .map_err(|error| anyhow::anyhow!("cannot draw {}: {error}", path.display()))
}

fn draw_to(
    path: &Path,
    scenario: &str,
    summaries: &[&Summary],
) -> Result<(), Box<dyn std::error::Error>> {
    let highest = summaries
        .iter()
        .map(|summary| summary.get_p99().max)
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{scenario}: p99 of short work, ms"),
            ("sans-serif", 18),
        )
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..summaries.len() as f64, 0.0..highest * 1.05)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(summaries.len() * 2 + 1)
        .x_label_formatter(&|x| label(summaries, *x))
        .draw()?;
    let bars = summaries.iter().enumerate().map(|(index, summary)| {
        let left = index as f64 + GAP;
        let right = index as f64 + 1.0 - GAP;
        let color = if summary.is_ours() {
            BLUE.mix(0.7)
        } else {
            BLACK.mix(0.3)
        };
        Rectangle::new(
            [(left, 0.0), (right, summary.get_p99().median)],
            color.filled(),
        )
    });
    chart.draw_series(bars)?;
    let spreads = summaries.iter().enumerate().map(|(index, summary)| {
        let x = index as f64 + 0.5;
        let spread = summary.get_p99();
        PathElement::new(vec![(x, spread.min), (x, spread.max)], RED)
    });
    chart.draw_series(spreads)?;
    area.present()?;
    Ok(())
}

/// Returns the policy's name for the middle of its bar, and no text elsewhere.
fn label(summaries: &[&Summary], x: f64) -> String {
    let index = x.floor();
    if (x - index - 0.5).abs() > 0.01 {
        return String::new();
    }
    summaries
        .get(index as usize)
        .map_or(String::new(), |summary| summary.get_policy().to_owned())
}
