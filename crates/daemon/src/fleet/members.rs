//! The platform's list of VMs.

use super::Fleet;
use crate::store::add_jitter;
use gentianridge_core::PlatformState;
use std::sync::Arc;
use std::time::Duration;

/// Time between two polls of the platform's list, before jitter.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Polls the platform's list until the task is dropped.
///
/// The list gives addresses of VMs that have sent no heartbeat yet, and marks
/// VMs that the platform is going to stop. It lags, so heartbeats alone decide
/// whether a peer is live or silent.
pub(crate) async fn run_member_poller(fleet: Arc<Fleet>) {
    loop {
        if let Ok(members) = fleet.store.members().await {
            let mut membership = fleet.membership.lock();
            for member in &members {
                let state = if member.leaving {
                    PlatformState::Leaving
                } else {
                    PlatformState::Live
                };
                membership.record_platform_state(&member.vm, state);
            }
            drop(membership);
            let listed = members.into_iter().filter(|member| member.vm != fleet.me);
            let mut addrs = fleet.settings.seeds.clone();
            addrs.extend(listed.map(|member| member.addr));
            *fleet.bootstrap.lock() = addrs;
        }
        tokio::time::sleep(add_jitter(POLL_INTERVAL)).await;
    }
}
