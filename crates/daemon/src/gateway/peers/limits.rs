//! Exchange of tokens of limits between VMs.

use crate::gateway::state::Gateway;
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_core::{FleetLimits, LimitMember};
use gentianridge_wire::LimitDatagram;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Sends asks and grants until the task is dropped; [`receive_limits`] takes those of
/// peers.
pub(crate) async fn run_limits(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut was_introduced = false;
    loop {
        wait_until_due(&gateway).await;
        gateway.limits.tick(gateway.clock.since_boot());
        let is_introduced = gateway.limits.read(FleetLimits::is_introduced);
        if std::mem::replace(&mut was_introduced, is_introduced) != is_introduced {
            let vms = gateway.peers.count_live(gateway.clock.now()) + 1;
            log::info!(
                target: STATE_LOG_TARGET,
                is_introduced = is_introduced,
                live_vms = vms as u64;
                "introduction to the fleet, before which this VM holds no part of a limit"
            );
        }
        send_messages(&gateway, &socket);
    }
}

/// Waits until the limits have something to do. Without limits that is never.
async fn wait_until_due(gateway: &Gateway) {
    let now = gateway.clock.since_boot();
    let next = gateway.limits.read(|limits| limits.get_next_tick(now));
    let work = gateway.limits.wait_work();
    match next {
        Some(next) => {
            let _ = tokio::time::timeout(next.saturating_sub(now), work).await;
        }
        None => work.await,
    }
}

fn send_messages(gateway: &Gateway, socket: &UdpSocket) {
    for (addr, message) in gateway.limits.take_messages() {
        let bytes = LimitDatagram(message).encode();
        match socket.try_send_to(&bytes, addr) {
            Ok(size) => gateway.metrics.record_datagram("sent", size),
            Err(error) => log::debug!("cannot send to peer {addr}: {error}"),
        }
    }
}

/// Applies a datagram of a peer about limits.
pub(super) fn receive_limits(gateway: &Gateway, from: SocketAddr, bytes: &[u8]) {
    let now = gateway.clock.since_boot();
    match LimitDatagram::decode(bytes) {
        Ok(LimitDatagram(message)) => {
            gateway
                .limits
                .update(|limits| limits.receive(now, from, message));
        }
        Err(error) => log::warn!("datagram of {from} dropped: {error}"),
    }
}

impl Gateway {
    /// Passes the known VMs to the limits, if there are any.
    pub(in crate::gateway) fn list_limit_members(&self) {
        if !self.has_workspaces() {
            return;
        }
        let domain = self.get_settings().domain.clone();
        let gossip = self.peers.gossip.borrow();
        let known = gossip.get_known(self.clock.now());
        let members: Vec<LimitMember> = known
            .map(|(vm, addr, its)| LimitMember::new(vm, addr, its == Some(&domain)))
            .collect();
        let now = self.clock.since_boot();
        self.limits
            .update_quietly(|limits| limits.list_members(now, &members));
    }

    /// Records that all VMs that were registered after this one had registered are known.
    pub(super) fn set_fleet_listed(&self) {
        self.list_limit_members();
        let now = self.clock.since_boot();
        let is_returning = self.peers.was_registered();
        self.limits
            .update_quietly(|limits| limits.set_fleet_listed(now, is_returning));
    }
}
