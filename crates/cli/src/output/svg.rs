//! Events as an SVG image.

use gentianridge_core::{Event, EventKind};
use plotters::prelude::*;
use smol_str::SmolStr;

const WIDTH: u32 = 1200;
const ROW_HEIGHT: u32 = 60;
const MARGIN_HEIGHT: u32 = 90;
const DOT_RADIUS: i32 = 4;

/// Draws one row for each VM with a dot for each event.
///
/// Failures are red, recoveries are green and other events are blue.
///
/// # Errors
///
/// Fails if the image cannot be drawn.
pub fn render_timeline_svg(events: &[Event]) -> anyhow::Result<String> {
    let mut vms: Vec<SmolStr> = events.iter().map(|event| event.vm.clone()).collect();
    vms.sort();
    vms.dedup();
    let height = ROW_HEIGHT * vms.len().max(1) as u32 + MARGIN_HEIGHT;
    let mut svg = String::new();
    draw(&mut svg, events, &vms, height)
        .map_err(|error| anyhow::anyhow!("cannot draw the timeline: {error}"))?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    events: &[Event],
    vms: &[SmolStr],
    height: u32,
) -> Result<(), Box<dyn std::error::Error>> {
    let first = events.first().map_or(0, |event| event.at.millis);
    let last = events.last().map_or(1, |event| event.at.millis);
    let span = (last - first).max(1) as f64 / 1000.0;
    let area = SVGBackend::with_string(svg, (WIDTH, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(90)
        .build_cartesian_2d(0.0..span, -0.5..vms.len() as f64 - 0.5)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .x_desc("seconds")
        .y_labels(vms.len())
        .y_label_formatter(&|row| label(vms, *row))
        .draw()?;
    let dots = events.iter().filter_map(|event| {
        let row = vms.binary_search(&event.vm).ok()? as f64;
        let x = (event.at.millis - first) as f64 / 1000.0;
        Some(Circle::new(
            (x, row),
            DOT_RADIUS,
            get_color(&event.kind).filled(),
        ))
    });
    chart.draw_series(dots)?;
    area.present()?;
    Ok(())
}

fn label(vms: &[SmolStr], row: f64) -> String {
    let nearest = row.round();
    if (row - nearest).abs() > 0.01 || nearest < 0.0 {
        return String::new();
    }
    vms.get(nearest as usize)
        .map(ToString::to_string)
        .unwrap_or_default()
}

fn get_color(kind: &EventKind) -> RGBColor {
    match kind {
        EventKind::PeerSilent { .. }
        | EventKind::TargetEjected { .. }
        | EventKind::TargetLimited { .. }
        | EventKind::Straggler { .. }
        | EventKind::ConnectionsReplaced { .. }
        | EventKind::RevisionRejected { .. }
        | EventKind::Quarantined { .. }
        | EventKind::StoreDown
        | EventKind::OutcomeUnknown { .. } => RED,
        EventKind::PeerLive { .. }
        | EventKind::TargetReturned { .. }
        | EventKind::QuarantineLifted { .. }
        | EventKind::StoreUp => GREEN,
        _ => BLUE,
    }
}
