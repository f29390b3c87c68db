//! `gentianridge check`

use crate::Exit;
use anyhow::Context;
use gentianridge_config::{compare_fleets, parse_fleet};
use std::path::Path;

/// Checks a file and prints every fault.
pub(super) fn check(path: &Path) -> anyhow::Result<Exit> {
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    match parse_fleet(&text) {
        Ok(fleet) => {
            let targets: usize = fleet
                .services
                .iter()
                .map(|service| service.targets.len())
                .sum();
            println!(
                "{}: valid, {} services, {targets} targets",
                path.display(),
                fleet.services.len()
            );
            for warning in compare_fleets(None, &fleet) {
                println!("warning: {warning}");
            }
            Ok(Exit::Done)
        }
        Err(report) => {
            println!("{}:\n{report}", path.display());
            Ok(Exit::Rejected)
        }
    }
}
