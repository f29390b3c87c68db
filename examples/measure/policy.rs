//! The policies that are compared.

use anyhow::bail;

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The core of this project.
    Ours,
    /// A random target, without a queue in the VM.
    Random,
    /// Each target in turn, without a queue in the VM.
    RoundRobin,
    /// The target with the fewest requests of this VM, without a queue in the VM.
    LeastInFlight,
    /// The less loaded of two random targets, without a queue in the VM.
    ///
    /// The load is the larger of the last load report and the requests of this VM.
    TwoChoices,
    /// One queue that observes every slot without delay.
    Omniscient,
}

impl Policy {
    const ALL: [Self; 6] = [
        Self::Omniscient,
        Self::Ours,
        Self::TwoChoices,
        Self::LeastInFlight,
        Self::RoundRobin,
        Self::Random,
    ];

    pub(crate) fn get_name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastInFlight => "least",
            Self::TwoChoices => "two-choices",
            Self::Omniscient => "omniscient",
        }
    }

    pub(crate) fn parse(name: &str) -> anyhow::Result<Vec<Self>> {
        if name == "all" {
            return Ok(Self::ALL.to_vec());
        }
        match Self::ALL
            .into_iter()
            .find(|policy| policy.get_name() == name)
        {
            Some(policy) => Ok(vec![policy]),
            None => bail!(
                "{name}: expected all or one of {:?}",
                Self::ALL.map(Self::get_name)
            ),
        }
    }
}
