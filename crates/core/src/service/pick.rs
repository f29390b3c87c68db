//! Choice of a target.
//!
//! A full scan is affordable at the declared sizes, and it needs no luck to
//! find the free slot. Ways weighed are in docs/decisions/0002-routing.md.

use super::target::Target;
use super::{AttemptKind, CallKey, Service, TargetKey};
use crate::ClassKind;
use rand::Rng;
use std::time::{Duration, Instant};

/// Target chosen for a first attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    pub(super) target: TargetKey,
    pub(super) kind: AttemptKind,
}

/// How much room a target must have to be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Room {
    /// A slot is believed free over the whole fleet.
    Free,
    /// A slot may be taken by another VM, but this VM uses less than its share.
    Share,
    /// A background slot dealt to this VM is free.
    Long,
    /// A background slot or an idle reserved slot is free.
    LentLong,
}

/// What a scan needs to know about the service.
#[derive(Debug, Clone, Copy)]
struct Scan {
    now: Instant,
    hold: Duration,
    fallback: f32,
    ignores_ejection: bool,
    slowness: f32,
}

impl Service {
    /// Slack by which the believed occupancy may exceed the slots for a VM
    /// that is below its fair share.
    const SHARE_SLACK: f32 = 2.0;
    /// Multiple of the fair share that a VM may have in flight.
    ///
    /// A slot would otherwise be idle while the news that it is free and the
    /// next request travel.
    const SHARE_FACTOR: f32 = 2.5;
    /// Fraction of a slot that has to be believed free.
    const FREE_FRACTION: f32 = 0.5;
    /// Weight of the share of slots taken, against herding on equal targets.
    const LOAD_WEIGHT: f32 = 0.3;
    /// Sum of credits below which no report is used.
    const MIN_CREDIT: f32 = 0.5;
    /// Slowness above the service's mean from which a target counts as full.
    const FULL_SLOWNESS: f32 = 1.6;
    /// Span of the random part of a score, which parts VMs with equal views.
    const JITTER: f32 = 0.1;
    /// Time without short work after which reserved room is lent.
    const LEND_AFTER: Duration = Duration::from_secs(1);

    /// Chooses a target for a waiting call, if there is room.
    pub(super) fn pick(&mut self, now: Instant, key: CallKey) -> Option<Choice> {
        let kind = self.get_kind(key);
        if let Some(target) = self.find_trial(now, key, kind) {
            return Some(Choice {
                target,
                kind: AttemptKind::Trial,
            });
        }
        let is_repeat = self.calls[key].count_attempts() > 0;
        let target = match kind {
            ClassKind::Background => self.pick_long(now, key),
            ClassKind::Interactive | ClassKind::Once => self.pick_short(now, key),
        }?;
        let kind = if is_repeat {
            AttemptKind::Retry
        } else {
            AttemptKind::First
        };
        Some(Choice { target, kind })
    }

    fn pick_short(&mut self, now: Instant, key: CallKey) -> Option<TargetKey> {
        if let Some(target) = self.scan(now, key, Room::Free) {
            return Some(target);
        }
        let limit = self.get_fair_share() as f32 * Self::SHARE_FACTOR;
        if self.own_total as f32 >= limit {
            return None;
        }
        self.scan(now, key, Room::Share)
    }

    fn pick_long(&mut self, now: Instant, key: CallKey) -> Option<TargetKey> {
        let room = if self.is_reserve_idle(now) {
            Room::LentLong
        } else {
            Room::Long
        };
        self.scan(now, key, room)
    }

    /// Chooses a target for a repeat at once.
    pub(super) fn pick_retry(&mut self, now: Instant, key: CallKey) -> Option<TargetKey> {
        match self.get_kind(key) {
            ClassKind::Background => self.pick_long(now, key),
            ClassKind::Interactive | ClassKind::Once => self.pick_short(now, key),
        }
    }

    /// Chooses a target with a free slot for a second attempt.
    ///
    /// Nothing is chosen while first attempts wait, since a hedge would take
    /// their slot.
    pub(super) fn pick_spare(&mut self, now: Instant, key: CallKey) -> Option<TargetKey> {
        if self.count_waiting() > 0 {
            return None;
        }
        self.scan(now, key, Room::Free)
    }

    /// Slots of the service divided by the live VMs.
    pub(super) fn get_fair_share(&self) -> u32 {
        let slots: f32 = self
            .targets
            .iter()
            .filter(|t| t.is_usable() && t.health.is_active())
            .map(|t| t.limit.get())
            .sum();
        (slots / f32::from(self.vms)).ceil() as u32
    }

    /// Mean requests of other VMs on a target, for targets that say nothing.
    ///
    /// Targets whose reports are trusted decide; without any, the other VMs
    /// are taken to use their fair share of an average target.
    pub(super) fn get_mean_others(&self) -> f32 {
        let (mut sum, mut weight) = (0.0, 0.0);
        for target in self.targets.iter().filter(|t| t.is_usable()) {
            let (mean, credit) = target.get_others();
            sum += mean * credit * credit;
            weight += credit * credit;
        }
        if weight < Self::MIN_CREDIT {
            0.0
        } else {
            sum / weight
        }
    }

    /// Mean hold time of the short classes, the time within which reports fade.
    pub(super) fn get_hold(&self) -> Duration {
        self.classes
            .iter()
            .filter(|class| class.spec.kind != ClassKind::Background)
            .chain(&self.classes)
            .map(|class| class.usual.get_hold())
            .next()
            .unwrap_or(Duration::from_millis(10))
    }

    fn get_kind(&self, key: CallKey) -> ClassKind {
        let class = self.calls[key].class;
        self.classes[class.get_index()].spec.kind
    }

    fn is_reserve_idle(&self, now: Instant) -> bool {
        self.reserved_seen
            .is_none_or(|at| now.saturating_duration_since(at) > Self::LEND_AFTER)
    }

    /// Returns an ejected target that is due for a trial with this call.
    fn find_trial(&self, now: Instant, key: CallKey, kind: ClassKind) -> Option<TargetKey> {
        let call = &self.calls[key];
        let may_try =
            kind == ClassKind::Interactive && call.is_replayable && call.count_attempts() == 0;
        if !may_try || !self.retries.has_token() {
            return None;
        }
        self.targets
            .iter()
            .position(|t| t.is_usable() && t.own == 0 && t.health.is_trial_due(now))
            .map(|index| TargetKey(index as u16))
    }

    fn scan(&mut self, now: Instant, key: CallKey, room: Room) -> Option<TargetKey> {
        let scan = Scan {
            now,
            hold: self.get_hold(),
            fallback: self.get_mean_others(),
            ignores_ejection: !self.has_healthy_half(),
            slowness: self.get_mean_slowness(now),
        };
        let jitter = self.rng.next_u32();
        let call = &self.calls[key];
        let mut best: Option<(f32, usize)> = None;
        for (index, target) in self.targets.iter().enumerate() {
            if !target.is_usable() || call.has_tried(TargetKey(index as u16)) {
                continue;
            }
            let Some(score) = scan.score(target, room) else {
                continue;
            };
            let score = score + Self::JITTER * unit_of(jitter, index);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, index));
            }
        }
        best.map(|(_, index)| TargetKey(index as u16))
    }

    fn get_mean_slowness(&self, now: Instant) -> f32 {
        let (mut sum, mut count) = (0.0, 0.0);
        for target in self
            .targets
            .iter()
            .filter(|t| t.is_usable() && t.health.is_active())
        {
            sum += target.health.get_slowness(now);
            count += 1.0;
        }
        if count == 0.0 { 1.0 } else { sum / count }
    }

    /// Below half of the targets in health, ejection would only add load.
    fn has_healthy_half(&self) -> bool {
        let (mut total, mut active) = (0, 0);
        for target in self.targets.iter().filter(|t| t.is_usable()) {
            total += 1;
            active += u32::from(target.health.is_active());
        }
        active * 2 >= total
    }
}

impl Scan {
    /// Returns the expected time on the target, or none if it has no room.
    fn score(&self, target: &Target, room: Room) -> Option<f32> {
        if !target.health.is_active() && !self.ignores_ejection {
            return None;
        }
        let slots = target.get_slots(self.now);
        let slowness = (target.health.get_slowness(self.now) / self.slowness).max(1.0);
        let mut occupancy = target.get_occupancy(self.now, self.hold, self.fallback);
        if slowness > Service::FULL_SLOWNESS {
            // Answer times are believed before reports.
            occupancy = occupancy.max(slots * (slowness - 0.5));
        }
        if !has_room(target, room, slots, occupancy) {
            return None;
        }
        let excess = (occupancy + 1.0 - slots).max(0.0) / slots;
        Some(slowness * (1.0 + excess) + Service::LOAD_WEIGHT * occupancy / slots)
    }
}

fn has_room(target: &Target, room: Room, slots: f32, occupancy: f32) -> bool {
    let whole_slots = slots.ceil() as u16;
    if target.own >= whole_slots.min(target.spec.connections) {
        return false;
    }
    match room {
        Room::Free => occupancy + Service::FREE_FRACTION <= slots,
        Room::Share => occupancy <= slots + Service::SHARE_SLACK,
        Room::Long => target.own_long < target.long_share,
        Room::LentLong => occupancy + Service::FREE_FRACTION <= slots,
    }
}

/// Spreads one random word over the targets.
fn unit_of(word: u32, index: usize) -> f32 {
    let mixed = (word ^ (index as u32).wrapping_mul(0x9E37_79B9)).wrapping_mul(0x85EB_CA6B);
    (mixed >> 8) as f32 / (1 << 24) as f32
}
