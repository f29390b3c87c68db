//! What targets state about themselves in the heads of their answers.

use super::state::Gateway;
use crate::caller::headers::get_text;
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_adapter::is_leaving;
use gentianridge_core::{EventKind, Incarnation, PausedTargets};
use http::{HeaderMap, StatusCode, header};
use std::time::{Duration, SystemTime};

/// Statements in the head of an answer that do not depend on the request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Announcements {
    /// True if the target requested a pause.
    pub(crate) requests_pause: bool,
}

impl Gateway {
    /// Records what a target states in the head of any answer: of a request, of a
    /// load request or of a refusal, whether or not the answer can be used.
    pub(crate) fn record_announcements(
        &self,
        incarnation: &Incarnation,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Announcements {
        let answered_by = get_text(headers, &self.headers.target);
        let is_other = answered_by.is_some_and(|id| id != incarnation.id);
        if is_other || status == StatusCode::MISDIRECTED_REQUEST {
            return Announcements::default();
        }
        if get_text(headers, &self.headers.leaving).is_some_and(|value| is_leaving(&value)) {
            self.record_leaving(incarnation.get_digest(), "answer");
        }
        let pause = get_pause(status, headers, self.clock.wall());
        if let Some(pause) = pause {
            self.record_pause(incarnation, pause);
        }
        Announcements {
            requests_pause: pause.is_some(),
        }
    }

    /// Records that an incarnation announced its leave, here or on a peer.
    pub(crate) fn record_leaving(&self, digest: u64, source: &'static str) {
        let now = self.clock.now();
        let is_new = self.change_targets(|list, changed| list.record_leaving(now, digest, changed));
        if !is_new {
            return;
        }
        self.peers.queue_leaving(digest);
        let known = self.list.borrow().find_incarnation(digest).cloned();
        let Some(incarnation) = known else {
            return;
        };
        self.connections.close(&incarnation);
        self.metrics.record_announcement("leaving", source);
        log::info!(
            target: STATE_LOG_TARGET,
            target = incarnation.id.as_str(),
            born_ms = incarnation.born_ms,
            source = source;
            "target announced that it is leaving"
        );
        if let Some(service) = self.list.borrow().get_service(&incarnation) {
            self.journal.record(EventKind::TargetLeaving {
                service,
                target: incarnation.id,
                is_leaving: true,
            });
        }
    }

    fn record_pause(&self, incarnation: &Incarnation, pause: Duration) {
        let now = self.clock.now();
        let is_longer = self.change_targets(|list, changed| {
            list.record_pause_request(now, incarnation, pause, changed)
        });
        if !is_longer {
            return;
        }
        self.peers.queue_paused(incarnation.get_digest());
        self.metrics.record_announcement("paused", "answer");
        log::info!(
            target: STATE_LOG_TARGET,
            target = incarnation.id.as_str(),
            born_ms = incarnation.born_ms,
            pause_ms = pause.as_millis() as u64,
            is_shortened = pause > PausedTargets::MAX_PAUSE;
            "target requested a pause"
        );
    }

    /// Counts a target that requested a pause from a peer as full.
    pub(crate) fn record_peer_pause(&self, digest: u64) {
        let list = self.list.borrow();
        let Some(incarnation) = list.find_incarnation(digest) else {
            return;
        };
        let service = list.get_service(incarnation);
        if let Some(handle) = service.and_then(|name| self.find_service(&name)) {
            handle.record_peer_pause(&incarnation.id);
        }
    }
}

/// Returns the pause that a refusal requests, if any.
fn get_pause(status: StatusCode, headers: &HeaderMap, wall: SystemTime) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = get_text(headers, &header::RETRY_AFTER)?;
    parse_retry_after(&text, wall).filter(|pause| !pause.is_zero())
}

/// Parses a `Retry-After`: seconds, with fractions too, or a date.
///
/// A negative time or a date in the past is no pause. A time that exceeds every
/// duration counts as the longest one.
fn parse_retry_after(text: &str, wall: SystemTime) -> Option<Duration> {
    let text = text.trim();
    if let Ok(seconds) = text.parse::<f64>() {
        if seconds.is_nan() {
            return None;
        }
        let pause = Duration::try_from_secs_f64(seconds.max(0.0));
        return Some(pause.unwrap_or(Duration::MAX));
    }
    let date = httpdate::parse_http_date(text).ok()?;
    Some(date.duration_since(wall).unwrap_or(Duration::ZERO))
}
