//! Defines the load and the faults of each scenario.

use anyhow::bail;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    Steady,
    Crest,
    Straggler,
    SlowTarget,
    FailFast,
    Stale,
    LongBehind,
    NoLong,
    DomainLoss,
}

/// The start or the end of a fault, or its detection.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FaultChange {
    Slow {
        target: usize,
        factor: u32,
    },
    FailFast {
        target: usize,
        on: bool,
    },
    LoseDomain,
    /// The live VMs detect that others are lost.
    UpdateFleet,
}

/// Length of a run in microseconds.
pub(crate) const LENGTH_US: u64 = 30_000_000;
/// Time of the first fault in microseconds.
pub(crate) const FAULT_US: u64 = 8_000_000;
/// Time after a fault, in microseconds, from which lost calls are counted.
pub(crate) const SETTLE_US: u64 = 500_000;
/// Time until the other VMs detect the loss of VMs, in microseconds.
const DETECTION_US: u64 = 900_000;
const FAULT_END_US: u64 = 18_000_000;
const CREST_START_US: u64 = 8_000_000;
const CREST_RISE_US: u64 = 1_000_000;
const CREST_LENGTH_US: u64 = 10_000_000;

impl Scenario {
    const ALL: [Self; 9] = [
        Self::Steady,
        Self::Crest,
        Self::Straggler,
        Self::SlowTarget,
        Self::FailFast,
        Self::Stale,
        Self::LongBehind,
        Self::NoLong,
        Self::DomainLoss,
    ];

    pub(crate) fn get_name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Crest => "crest",
            Self::Straggler => "straggler",
            Self::SlowTarget => "slow-target",
            Self::FailFast => "fail-fast",
            Self::Stale => "stale",
            Self::LongBehind => "long-behind",
            Self::NoLong => "no-long",
            Self::DomainLoss => "domain-loss",
        }
    }

    pub(crate) fn parse(name: &str) -> anyhow::Result<Vec<Self>> {
        if name == "all" {
            return Ok(Self::ALL.to_vec());
        }
        match Self::ALL
            .into_iter()
            .find(|scenario| scenario.get_name() == name)
        {
            Some(scenario) => Ok(vec![scenario]),
            None => bail!(
                "{name}: expected all or one of {:?}",
                Self::ALL.map(Self::get_name)
            ),
        }
    }

    /// Returns the short work at a time as a share of the capacity.
    pub(crate) fn get_short_share(self, at_us: u64) -> f64 {
        match self {
            Self::Steady | Self::Stale | Self::Straggler => 0.8,
            Self::SlowTarget | Self::FailFast => 0.7,
            Self::DomainLoss => 0.45,
            Self::LongBehind | Self::NoLong => 0.25,
            Self::Crest => get_crest_share(at_us),
        }
    }

    /// Returns the background work as a share of the capacity.
    pub(crate) fn get_long_share(self) -> f64 {
        match self {
            Self::LongBehind => 1.5,
            Self::Crest => 0.05,
            _ => 0.0,
        }
    }

    pub(crate) fn has_stragglers(self) -> bool {
        self == Self::Straggler
    }

    /// Returns the age of load reports in microseconds.
    pub(crate) fn get_report_age_us(self) -> u64 {
        if self == Self::Stale { 500_000 } else { 0 }
    }

    /// Returns true if the target reports nothing in flight at all times.
    pub(crate) fn is_misreporting(self, target: usize) -> bool {
        self == Self::Stale && target < 2
    }

    pub(crate) fn get_fault_changes(self) -> Vec<(u64, FaultChange)> {
        match self {
            Self::SlowTarget => vec![
                (
                    FAULT_US,
                    FaultChange::Slow {
                        target: 0,
                        factor: 10,
                    },
                ),
                (
                    FAULT_END_US,
                    FaultChange::Slow {
                        target: 0,
                        factor: 1,
                    },
                ),
            ],
            Self::FailFast => vec![
                (
                    FAULT_US,
                    FaultChange::FailFast {
                        target: 0,
                        on: true,
                    },
                ),
                (
                    FAULT_END_US,
                    FaultChange::FailFast {
                        target: 0,
                        on: false,
                    },
                ),
            ],
            Self::DomainLoss => vec![
                (FAULT_US, FaultChange::LoseDomain),
                (FAULT_US + DETECTION_US, FaultChange::UpdateFleet),
            ],
            _ => Vec::new(),
        }
    }
}

fn get_crest_share(at_us: u64) -> f64 {
    const LOW: f64 = 0.3;
    const HIGH: f64 = 1.5;
    let end = CREST_START_US + CREST_RISE_US + CREST_LENGTH_US;
    let rise = (at_us.saturating_sub(CREST_START_US) as f64 / CREST_RISE_US as f64).min(1.0);
    let fall = (at_us.saturating_sub(end) as f64 / CREST_RISE_US as f64).min(1.0);
    LOW + (HIGH - LOW) * (rise - fall)
}
