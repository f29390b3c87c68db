//! Who sends a request, and whether that may still be believed.

use super::state::{Gateway, get_list_bound};
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_core::{
    ConfigProof, ResultCode, RouteKey, RouteTable, StoreTime, WorkspaceSpec, parse_credential,
};
use http::{HeaderMap, HeaderValue, header};
use std::sync::Arc;
use std::time::Duration;

/// Largest difference between a time that the store states and its clock: it rounds to
/// milliseconds, up or down.
const TIME_ROUNDING: Duration = Duration::from_millis(1);
/// Divisor of the bound on withdrawn keys that gives the age at which this VM looks for a
/// newer proof itself: the other half is left for several tries.
const RENEWAL_DIVISOR: u32 = 2;

/// Callers and their keys.
impl Gateway {
    /// Returns the workspace that holds the request's key. Requests on public routes need
    /// none.
    ///
    /// # Errors
    ///
    /// Fails if the request needs a key and has none in force, and if this VM's
    /// configuration is too old to tell.
    pub(super) fn identify(
        &self,
        table: &RouteTable,
        route: RouteKey,
        headers: &HeaderMap,
    ) -> Result<Option<Arc<WorkspaceSpec>>, ResultCode> {
        let Some(workspaces) = table.get_workspaces() else {
            return Ok(None);
        };
        let is_public = table.get(route).is_public;
        if is_public && !headers.contains_key(header::AUTHORIZATION) {
            return Ok(None);
        }
        let values = headers.get_all(header::AUTHORIZATION).into_iter();
        let key = parse_credential(values.map(HeaderValue::as_bytes));
        match key.and_then(|key| workspaces.find_by_key(key)) {
            Some(workspace) if self.is_key_proven() => Ok(Some(workspace.clone())),
            None if self.is_absence_proven() && is_public => Ok(None),
            None if self.is_absence_proven() => Err(ResultCode::UnknownKey),
            Some(_) | None => Err(ResultCode::KeyUnproven),
        }
    }

    /// Returns true if no key of the configuration in force was withdrawn so long ago that
    /// it must be refused by now.
    fn is_key_proven(&self) -> bool {
        let Some(revoke) = self.get_settings().revoke else {
            return true;
        };
        let now = self.clock.since_boot();
        self.proofs.borrow().is_within(now, revoke)
    }

    /// Returns true if no key was added so long ago that it must be accepted by now.
    fn is_absence_proven(&self) -> bool {
        let settings = self.get_settings();
        if settings.revoke.is_some() {
            let now = self.clock.since_boot();
            return self.proofs.borrow().is_within(now, settings.apply);
        }
        // Without a strict bound the list of targets is as recent as the configuration,
        // as both are read together.
        let age = self.list.borrow().get_age(self.clock.now());
        age.is_some_and(|age| age < get_list_bound(&settings))
    }

    /// Returns true unless this VM has to refuse callers' keys.
    pub(super) fn is_serving_keys(&self) -> bool {
        !self.needs_proofs() || self.is_key_proven()
    }
}

/// Proofs of the configuration in force.
impl Gateway {
    /// Returns true if keys are accepted by proof only.
    fn needs_proofs(&self) -> bool {
        self.has_workspaces() && self.get_settings().revoke.is_some()
    }

    /// Records the time that the store stated in an answer.
    pub(super) fn record_store_time(&self, sent: Duration, time: Option<Duration>) {
        if let Some(time) = time {
            let received = self.clock.since_boot();
            let time = StoreTime {
                earliest: time.saturating_sub(TIME_ROUNDING),
                latest: time + TIME_ROUNDING,
            };
            self.proofs.borrow_mut().record_time(sent, received, time);
        }
    }

    /// Records a successful read of the configuration; what it returned is in force.
    pub(super) fn record_config_read(&self, sent: Duration) {
        let era = self.era.borrow();
        self.proofs.borrow_mut().record_read(&era, sent);
    }

    /// Records what a peer answered to a request that was sent at `sent`.
    pub(super) fn record_peer_proof(
        &self,
        sent: Duration,
        time: Option<StoreTime>,
        proof: Option<ConfigProof>,
    ) {
        let received = self.clock.since_boot();
        if let Some(time) = time {
            self.proofs.borrow_mut().record_time(sent, received, time);
        }
        self.adopt_proof(proof);
    }

    /// Adopts a proof that a peer sent, if it is newer.
    pub(super) fn adopt_proof(&self, proof: Option<ConfigProof>) {
        if let Some(proof) = proof {
            let now = self.clock.since_boot();
            let era = self.era.borrow();
            self.proofs.borrow_mut().adopt(&era, now, proof);
        }
    }

    /// Returns the newest proof for peers, `None` if keys need none.
    pub(super) fn get_proof(&self) -> Option<ConfigProof> {
        let proof = self.proofs.borrow().get_newest();
        proof.filter(|_| self.needs_proofs())
    }

    /// Returns the time of the store for peers, `None` if keys need no proof.
    pub(super) fn get_store_time(&self) -> Option<StoreTime> {
        let time = self.proofs.borrow().get_store_time(self.clock.since_boot());
        time.filter(|_| self.needs_proofs())
    }

    /// Returns the greatest age that the configuration in force can have, if keys are
    /// accepted by it.
    pub(super) fn get_proof_age(&self) -> Option<Duration> {
        let age = self.proofs.borrow().get_age(self.clock.since_boot());
        age.filter(|_| self.needs_proofs())
    }

    /// Returns true if this VM has to look for a newer proof itself. Just after the store's
    /// return there is none to be had.
    pub(super) fn is_proof_due(&self) -> bool {
        let revoke = self.get_settings().revoke.unwrap_or_default();
        let now = self.clock.since_boot();
        self.needs_proofs()
            && !self.era.borrow().is_restoring(now)
            && !self
                .proofs
                .borrow()
                .is_within(now, revoke / RENEWAL_DIVISOR)
    }

    /// Looks for a newer proof if the one of this VM is old, and writes a log line when
    /// keys begin or cease to be accepted.
    pub(super) fn check_proof(&self) {
        if self.is_proof_due() {
            self.peers.request_proof();
        }
        let is_serving = self.is_serving_keys();
        if self.was_serving_keys.replace(is_serving) == is_serving {
            return;
        }
        let age_ms = self.get_proof_age().map(|age| age.as_millis() as u64);
        let version = self.get_version();
        if is_serving {
            log::info!(target: STATE_LOG_TARGET, version = version, age_ms = age_ms; "keys are accepted again");
        } else {
            log::warn!(
                target: STATE_LOG_TARGET,
                version = version,
                age_ms = age_ms;
                "keys are refused: the configuration may be older than the bound on withdrawn keys"
            );
        }
    }
}
