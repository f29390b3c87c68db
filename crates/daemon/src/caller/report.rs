//! Load reports in the headers of answers.

use gentianridge_core::LoadReport;
use http::HeaderMap;

/// Header of the Open Request Cost Aggregation format.
const LOAD_REPORT_HEADER: &str = "endpoint-load-metrics";
const METRIC_PREFIX: &str = "named_metrics.";

/// Parses the load report of a target, if the headers contain one.
///
/// Only the text form of the header is supported, with the named metrics
/// `in_flight`, `slots` and `leaving`. A report without `in_flight` is ignored.
pub(crate) fn read_report(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(LOAD_REPORT_HEADER)?.to_str().ok()?;
    let mut report = LoadReport::default();
    let mut is_found = false;
    for part in text.trim_start_matches("TEXT").split(',') {
        let Some((name, value)) = part.trim().split_once('=') else {
            continue;
        };
        let Ok(number) = value.trim().parse::<f64>() else {
            continue;
        };
        match name.trim().strip_prefix(METRIC_PREFIX) {
            Some("in_flight") => {
                report.in_flight = number as u16;
                is_found = true;
            }
            Some("slots") => report.slots = Some(number as u16),
            Some("leaving") => report.is_leaving = number > 0.0,
            _ => {}
        }
    }
    is_found.then_some(report)
}
