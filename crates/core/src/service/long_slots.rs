//! Which slots a VM may give to background work.

/// Slots of one target that background work may use over the whole fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LongCapacity {
    /// Whole slots of the target.
    pub(crate) slots: u16,
    /// Slots that stay free for short work.
    pub(crate) reserve: u16,
}

/// Deals the long slots of all targets to the VMs, one at a time in turn.
///
/// VMs that agree on the live list get disjoint shares without a message, so
/// background work of all VMs together leaves the reserve of each target
/// free. docs/decisions/0004-room-for-classes.md compares this with a
/// proportional share.
pub(crate) fn assign(capacities: &[LongCapacity], vms: u16, rank: u16, shares: &mut Vec<u16>) {
    shares.clear();
    let vms = vms.max(1);
    let mut assigned: u32 = 0;
    for room in capacities {
        let long = room.slots.saturating_sub(room.reserve);
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

/// Splits the reserve of a service over its targets, at least one slot each.
///
/// A target with a single slot keeps no reserve, since background work could
/// then never run there.
pub(crate) fn reserve_of(slots: u16, total_slots: u32, reserve: u16) -> u16 {
    if slots <= 1 {
        return 0;
    }
    let wanted = (u32::from(slots) * u32::from(reserve)).div_ceil(total_slots.max(1));
    (wanted as u16).clamp(1, slots - 1)
}
