//! Log lines about changes of the target list.

use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_core::TargetListUpdate;

/// Changes up to which each has a log line of its own. A line for each target of a complete
/// list would use up the limit of lines and push out the ones that matter.
const MAX_CHANGE_LINES: usize = 40;

/// Writes a log line for each target whose entry changed, or one for all if there are many.
pub(super) fn log_list_update(update: &TargetListUpdate, source: &str) {
    if update.entries.len() + update.removed.len() > MAX_CHANGE_LINES {
        log::info!(
            target: STATE_LOG_TARGET,
            listed = update.entries.len(),
            no_longer_listed = update.removed.len(),
            source = source,
            store_version = update.version.to_string().as_str(),
            age_ms = update.age.as_millis() as u64;
            "many targets changed"
        );
        return;
    }
    for entry in &update.entries {
        log::info!(
            target: STATE_LOG_TARGET,
            target = entry.incarnation.id.as_str(),
            service = entry.service.as_str(),
            addr = entry.addr.to_string().as_str(),
            born_ms = entry.incarnation.born_ms,
            is_draining = entry.is_draining,
            cold_left_ms = entry.cold_left.as_millis() as u64,
            source = source,
            store_version = update.version.to_string().as_str();
            "target listed"
        );
    }
    for id in &update.removed {
        log::info!(
            target: STATE_LOG_TARGET,
            target = id.as_str(),
            source = source,
            store_version = update.version.to_string().as_str(),
            settle_left_ms = update.settle_left.as_millis() as u64;
            "target no longer listed"
        );
    }
}
