//! How a process that has started becomes known to its fleet.

use super::{FleetLimits, LimitMessage, MemberMessage, MemberReply};
use std::net::SocketAddr;
use std::time::Duration;

/// Introduction to the fleet. Until it has ended, this VM holds no part of any limit.
impl FleetLimits {
    /// Begins the introduction, once workspaces are configured that may have limits.
    pub fn introduce(&mut self, now: Duration) {
        self.introduction.start();
        self.advance_introduction(now);
    }

    /// Records that the members are all VMs that were registered in the store after this one
    /// had registered; `is_returning` is true if it had been registered before.
    pub fn set_fleet_listed(&mut self, now: Duration, is_returning: bool) {
        self.introduction.set_listed(is_returning);
        self.advance_introduction(now);
    }

    /// Returns true while it is not known which VMs may hold parts.
    pub fn needs_list(&self) -> bool {
        self.introduction.needs_list()
    }

    /// Returns a digest of the members that this VM counts, itself included.
    pub fn get_member_set(&self) -> u64 {
        self.members.get_set()
    }

    /// Returns true once this VM may hold parts.
    pub fn is_introduced(&self) -> bool {
        self.introduction.is_done()
    }

    /// Drops all parts until the fleet has confirmed that it still counts this VM.
    pub(super) fn introduce_again(&mut self, now: Duration) {
        self.introduction.restart();
        self.is_first_start = false;
        self.started = now;
        self.since = Some(now);
        self.is_since_start = false;
        self.members.set_introduced(false);
        self.division += 1;
    }

    pub(super) fn advance_introduction(&mut self, now: Duration) {
        let mut messages = Vec::new();
        let is_done = self.introduction.advance(now, &self.members, &mut messages);
        let messages = messages.into_iter();
        self.outgoing
            .extend(messages.map(|(addr, message)| (addr, LimitMessage::Members(message))));
        if !is_done {
            return;
        }
        self.members.set_introduced(true);
        self.division += 1;
        self.introduced_at = self.division;
        let started = self.started;
        if !self.is_first_start && !self.introduction.was_counted_since(now, started) {
            // What others held in the place of this VM was theirs up to now.
            self.since = Some(now);
            self.is_since_start = true;
        }
    }

    pub(super) fn receive_members(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: MemberMessage,
    ) {
        match message {
            MemberMessage::Hello(nonce, digest) => self.answer_hello(now, from, nonce, digest),
            MemberMessage::Known(nonce, reply) => {
                self.introduction.record_reply(nonce, from, reply);
            }
            MemberMessage::List(nonce) => self.answer_list(from, nonce),
            MemberMessage::Members(nonce, part, parts, members) => {
                if self.introduction.record_list(nonce, from, part, parts) {
                    for member in members {
                        let is_new = self.members.add(now, member);
                        self.division += u32::from(is_new);
                    }
                }
            }
        }
        self.advance_introduction(now);
    }

    fn answer_hello(&mut self, now: Duration, from: SocketAddr, nonce: u32, digest: u64) {
        if digest == self.members.get_me() {
            return;
        }
        let known_for = self.members.get_known_for(now, digest);
        let is_new = self.members.meet(now, digest, from);
        self.division += u32::from(is_new);
        let reply = MemberReply {
            is_introduced: self.introduction.is_done(),
            known_for: Duration::from_secs(known_for.as_secs()),
            set: self.members.get_set(),
        };
        let reply = MemberMessage::Known(nonce, reply);
        self.outgoing.push((from, LimitMessage::Members(reply)));
    }

    fn answer_list(&mut self, from: SocketAddr, nonce: u32) {
        let members: Vec<_> = self.members.get_others().copied().collect();
        let chunks: Vec<_> = members.chunks(MemberMessage::MAX_MEMBERS).collect();
        let parts = chunks.len().clamp(1, MemberMessage::MAX_PARTS);
        for part in 0..parts {
            let members = chunks
                .get(part)
                .map_or_else(Vec::new, |chunk| chunk.to_vec());
            let message = MemberMessage::Members(nonce, part as u16, parts as u16, members);
            self.outgoing.push((from, LimitMessage::Members(message)));
        }
    }
}
