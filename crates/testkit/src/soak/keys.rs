//! The keys of a run whose requests need them.

use crate::{WorkspaceValue, write_config, write_keyed_config};
use std::time::Duration;

/// Keys that a run withdraws one after the other, all of one workspace.
pub(super) const WITHDRAWABLE_KEYS: [&str; 3] = ["soak-key-0", "soak-key-1", "soak-key-2"];
/// Key that stays in force, of another workspace.
pub(super) const LASTING_KEY: &str = "soak-key-lasting";
/// Bound on withdrawn keys in the settings of a run with keys.
pub(super) const REVOKE: Duration = Duration::from_secs(3);

const CHANGING: &str = "changing";
const LASTING: &str = "lasting";

/// Returns true if the requests of the run need keys: those of every second seed.
pub(super) fn is_keyed(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// Returns the key that a caller shows.
pub(super) fn get_key(caller: usize) -> &'static str {
    let keys = WITHDRAWABLE_KEYS.len();
    match caller % 2 {
        0 => LASTING_KEY,
        _ => WITHDRAWABLE_KEYS[caller / 2 % keys],
    }
}

/// Returns the name of the workspace that holds the key.
pub(super) fn get_workspace(key: &str) -> &'static str {
    if key == LASTING_KEY {
        LASTING
    } else {
        CHANGING
    }
}

/// Returns a configuration; `withdrawn` is the number of keys that are withdrawn, `None` if
/// requests need no keys.
pub(super) fn write_soak_config(version: u64, paths: &str, withdrawn: Option<usize>) -> String {
    let Some(withdrawn) = withdrawn else {
        return write_config(version, paths);
    };
    let workspaces = [
        WorkspaceValue {
            name: CHANGING,
            keys: &WITHDRAWABLE_KEYS[withdrawn..],
            priority: 0,
        },
        WorkspaceValue {
            name: LASTING,
            keys: &[LASTING_KEY],
            priority: 1,
        },
    ];
    write_keyed_config(version, paths, &workspaces)
}
