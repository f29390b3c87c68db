//! The order in which the VMs of a fleet read the store.

/// Position of a VM in the order in which the VMs read the store.
///
/// The order is that of a hash of the names, which all VMs compute in the same way. It changes
/// with each configuration, so that the work goes round. The first VM reads for all,
/// and the next ones follow in turn if it is lost, so that few VMs read at the same
/// time. The order is no election: two VMs that disagree on it read both, without harm.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadTurn {
    /// Number of VMs before this one.
    pub rank: usize,
    /// Random number in [0, 1) that spreads the VMs behind the first ones.
    pub draw: f64,
}

impl ReadTurn {
    /// Fraction of the bound after which the first VM reads again, and for which it
    /// waits for a change at the store.
    pub const CYCLE: f64 = 0.2;
    /// Ranks that have a turn of their own; a fleet in which all of them fail to
    /// read at the same time is rare.
    const SINGLE_TURNS: usize = 2;
    /// Fraction of the bound that the update of the reader may take to reach every VM,
    /// the way to the store included.
    const MARGIN: f64 = 0.06;
    /// Fraction of the bound between two turns, which exceeds the time that an
    /// update needs to reach every VM.
    const STEP: f64 = 0.06;
    /// Fraction of the bound over which the VMs behind the single turns are
    /// spread.
    const SPREAD: f64 = 0.12;

    /// Returns the turn of a VM that nobody precedes.
    pub fn first() -> Self {
        Self { rank: 0, draw: 0.0 }
    }

    /// Returns the fraction of the bound, counted from the last read, after which
    /// this VM reads the store if it receives no update.
    ///
    /// The reader waits at the store for one cycle and its update arrives after
    /// two at the latest.
    pub fn get_fraction(self) -> f64 {
        let first = 2.0 * Self::CYCLE + Self::MARGIN;
        match self.rank {
            0 => Self::CYCLE,
            rank if rank <= Self::SINGLE_TURNS => first + Self::STEP * rank as f64,
            _ => first + Self::STEP * Self::SINGLE_TURNS as f64 + Self::SPREAD * self.draw,
        }
    }
}
