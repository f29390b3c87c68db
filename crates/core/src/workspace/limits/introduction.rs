//! Introduction of a process to the other VMs of its fleet.

use super::members::LimitMembers;
use super::{MemberMessage, MemberReply};
use std::net::SocketAddr;
use std::time::Duration;

/// Which VMs count this process as a member, so that it may hold parts of limits.
///
/// A part has one holder if any two VMs that hold parts know each other. A process therefore
/// holds nothing until it knows all VMs that may hold parts, and all of them count it. It
/// knows them by the rows of the store, read after it has registered, or by a VM that is
/// introduced itself; whatever set of members any VM names is merged before.
///
/// A VM that does not answer is waited for: a moment if this VM was a member before, since
/// the other one still counts it then, and otherwise as long as a VM that is gone keeps its
/// parts. docs/design/0026-limits-of-workspaces.md has the reasons.
#[derive(Debug)]
pub(super) struct Introduction {
    /// Number of this process.
    nonce: u32,
    is_started: bool,
    /// True once all VMs that may hold parts are among the members.
    is_listed: bool,
    /// True if this VM was a member before this process.
    is_returning: bool,
    is_done: bool,
    /// In the order of digests.
    contacts: Vec<Contact>,
    /// Sets of members whose lists were merged.
    merged: Vec<u64>,
    /// Number of the members' change that `contacts` follow.
    changes: Option<u32>,
}

/// Another VM, and what it has answered to this process.
#[derive(Debug)]
struct Contact {
    digest: u64,
    addr: SocketAddr,
    since: Duration,
    reply: Option<MemberReply>,
    /// Parts of its list that have arrived, a bit each.
    list_parts: u64,
    sent: u32,
    next_at: Duration,
}

impl Introduction {
    /// Time for which a VM that was a member before waits for one that does not answer.
    const RETURN_WAIT: Duration = Duration::from_millis(500);
    /// Time for which a new member waits for one that does not answer.
    const JOIN_WAIT: Duration = LimitMembers::RETENTION;
    /// Time after which all other members know a VM that one of them knows.
    const ESTABLISHED: Duration = Duration::from_secs(10);
    /// Pause before a message is repeated, the first times and later.
    const RETRY_PAUSE: Duration = Duration::from_millis(100);
    const LATE_RETRY_PAUSE: Duration = Duration::from_secs(1);
    const QUICK_RETRIES: u32 = 10;
    /// Messages sent at once, so that a large fleet is not flooded, and the pause after them.
    const MAX_SENT: usize = 32;
    const SEND_PAUSE: Duration = Duration::from_millis(20);

    pub(super) fn new(nonce: u32) -> Self {
        Self {
            nonce,
            is_started: false,
            is_listed: false,
            is_returning: false,
            is_done: false,
            contacts: Vec::new(),
            merged: Vec::new(),
            changes: None,
        }
    }

    /// Returns true once this VM may hold parts.
    pub(super) fn is_done(&self) -> bool {
        self.is_done
    }

    /// Returns true if no VM can have held parts of this one since `start`: those that may hold
    /// parts have counted it for longer, and the others held none.
    pub(super) fn was_counted_since(&self, now: Duration, start: Duration) -> bool {
        let elapsed = now.saturating_sub(start);
        self.is_returning
            && self.contacts.iter().all(|contact| {
                let reply = contact.reply;
                reply.is_none_or(|reply| !reply.is_introduced || reply.known_for >= elapsed)
            })
    }

    /// Returns true while it is not known which VMs may hold parts.
    pub(super) fn needs_list(&self) -> bool {
        self.is_started && !self.is_listed
    }

    /// Begins, if that has not happened.
    pub(super) fn start(&mut self) {
        self.is_started = true;
    }

    /// Begins again as a VM that was a member before, with another number.
    pub(super) fn restart(&mut self) {
        *self = Self {
            is_started: self.is_started,
            is_returning: true,
            ..Self::new(self.nonce.wrapping_add(1))
        };
    }

    /// Records that all VMs that may hold parts are members; `is_returning` is true if this VM
    /// had registered before.
    pub(super) fn set_listed(&mut self, is_returning: bool) {
        self.is_listed = true;
        self.is_returning |= is_returning;
    }

    /// Returns the time of the next [`Self::advance`], `None` if there is nothing to do.
    pub(super) fn get_next(&self, now: Duration, set: u64) -> Option<Duration> {
        if !self.is_started || self.is_done {
            return None;
        }
        let open = self.contacts.iter();
        let open = open.filter(|contact| !self.is_confirmed(contact, set));
        let times = open.flat_map(|contact| {
            let end = contact.since + self.get_wait();
            [Some(contact.next_at), Some(end).filter(|end| *end > now)]
        });
        times.flatten().min()
    }

    /// Adds messages that are due; returns true if this VM may hold parts from now on.
    pub(super) fn advance(
        &mut self,
        now: Duration,
        members: &LimitMembers,
        out: &mut Vec<(SocketAddr, MemberMessage)>,
    ) -> bool {
        if !self.is_started || self.is_done {
            return false;
        }
        self.update_contacts(now, members);
        let set = members.get_set();
        let mut confirmed = self.contacts.iter();
        let names_all = |contact: &Contact| contact.reply.is_some_and(|r| r.is_introduced);
        self.is_listed |=
            confirmed.any(|contact| names_all(contact) && self.is_confirmed(contact, set));
        if self.is_listed && self.is_complete(now, set) {
            self.is_done = true;
            return true;
        }
        self.send(now, members.get_me(), set, out);
        false
    }

    /// Records the reply of a VM to a hello of this process.
    pub(super) fn record_reply(&mut self, nonce: u32, from: SocketAddr, reply: MemberReply) {
        if nonce != self.nonce {
            return;
        }
        self.is_returning |= reply.is_introduced && reply.known_for >= Self::ESTABLISHED;
        if let Some(contact) = self.find(from) {
            contact.reply = Some(reply);
            (contact.sent, contact.next_at) = (0, Duration::ZERO);
        }
    }

    /// Records that a part of a VM's list was merged; returns false if the list was not asked
    /// for.
    pub(super) fn record_list(
        &mut self,
        nonce: u32,
        from: SocketAddr,
        part: u16,
        parts: u16,
    ) -> bool {
        let is_valid = part < parts && usize::from(parts) <= MemberMessage::MAX_PARTS;
        if nonce != self.nonce || self.is_done || !is_valid {
            return false;
        }
        let Some(contact) = self.find(from) else {
            return false;
        };
        let Some(reply) = contact.reply else {
            return false;
        };
        contact.list_parts |= 1 << part;
        if contact.list_parts.count_ones() == u32::from(parts) {
            self.merged.push(reply.set);
        }
        true
    }

    fn get_wait(&self) -> Duration {
        match self.is_returning {
            true => Self::RETURN_WAIT,
            false => Self::JOIN_WAIT,
        }
    }

    /// Returns true if a VM counts this one and its members are known.
    fn is_confirmed(&self, contact: &Contact, set: u64) -> bool {
        contact
            .reply
            .is_some_and(|reply| reply.set == set || self.merged.contains(&reply.set))
    }

    /// Returns true if all VMs have confirmed this one, or were waited for.
    fn is_complete(&self, now: Duration, set: u64) -> bool {
        self.contacts.iter().all(|contact| match contact.reply {
            Some(_) => self.is_confirmed(contact, set),
            None => now.saturating_sub(contact.since) >= self.get_wait(),
        })
    }

    fn update_contacts(&mut self, now: Duration, members: &LimitMembers) {
        let changes = Some(members.get_changes());
        if std::mem::replace(&mut self.changes, changes) == changes {
            return;
        }
        for member in members.get_others() {
            let digest = member.digest;
            match self
                .contacts
                .binary_search_by_key(&digest, |contact| contact.digest)
            {
                Ok(index) => self.contacts[index].addr = member.addr,
                Err(index) => self.contacts.insert(
                    index,
                    Contact {
                        digest,
                        addr: member.addr,
                        since: now,
                        reply: None,
                        list_parts: 0,
                        sent: 0,
                        next_at: now,
                    },
                ),
            }
        }
        self.contacts
            .retain(|contact| members.contains(contact.digest));
    }

    fn send(
        &mut self,
        now: Duration,
        me: u64,
        set: u64,
        out: &mut Vec<(SocketAddr, MemberMessage)>,
    ) {
        let mut sent = 0;
        // One VM of those that name the same members is asked for them.
        let mut asked: Vec<u64> = Vec::new();
        for index in 0..self.contacts.len() {
            let contact = &self.contacts[index];
            if self.is_confirmed(contact, set) {
                continue;
            }
            let reply = contact.reply;
            let is_asked = reply.is_some_and(|reply| asked.contains(&reply.set));
            asked.extend(reply.map(|reply| reply.set));
            let contact = &mut self.contacts[index];
            if contact.next_at > now {
                continue;
            }
            if is_asked {
                contact.next_at = now + Self::RETRY_PAUSE;
                continue;
            }
            if sent == Self::MAX_SENT {
                contact.next_at = now + Self::SEND_PAUSE;
                continue;
            }
            sent += 1;
            contact.sent += 1;
            let pause = match contact.sent <= Self::QUICK_RETRIES {
                true => Self::RETRY_PAUSE,
                false => Self::LATE_RETRY_PAUSE,
            };
            contact.next_at = now + pause;
            let message = match reply {
                None => MemberMessage::Hello(self.nonce, me),
                Some(_) => MemberMessage::List(self.nonce),
            };
            out.push((contact.addr, message));
        }
    }

    fn find(&mut self, addr: SocketAddr) -> Option<&mut Contact> {
        self.contacts
            .iter_mut()
            .find(|contact| contact.addr == addr)
    }
}
