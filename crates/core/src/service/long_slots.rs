//! Assignment of slots for background work to VMs.

/// Slots of one target that background work may use in the entire fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LongCapacity {
    /// All slots of the target.
    pub(crate) slots: u16,
    /// Slots reserved for short work.
    pub(crate) reserve: u16,
}

/// Assigns the long slots of all targets to the VMs in round-robin order.
///
/// VMs with the same list of live VMs compute disjoint shares without a
/// message, so the background work of all VMs together leaves the reserve of
/// each target free. docs/decisions/0004-room-for-classes.md compares this with
/// a proportional share.
pub(crate) fn assign(capacities: &[LongCapacity], vms: u16, rank: u16, shares: &mut Vec<u16>) {
    shares.clear();
    let vms = vms.max(1);
    let mut assigned: u32 = 0;
    for capacity in capacities {
        let long = capacity.slots.saturating_sub(capacity.reserve);
        let mut share = 0;
        for _ in 0..long {
            if assigned % u32::from(vms) == u32::from(rank % vms) {
                share += 1;
            }
            assigned += 1;
        }
        shares.push(share);
    }
}

/// Returns one target's part of a service's reserve, at least one slot.
///
/// A target with a single slot has no reserve, since background work could
/// otherwise never run there.
pub(crate) fn reserve_of(slots: u16, total_slots: u32, reserve: u16) -> u16 {
    if slots <= 1 {
        return 0;
    }
    let part = (u32::from(slots) * u32::from(reserve)).div_ceil(total_slots.max(1));
    (part as u16).clamp(1, slots - 1)
}
