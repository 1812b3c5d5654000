//! The hosts that this controller asks to answer for as a delegate, in requests that each fit a value of
//! the store.

use jasperhill_wire::{HostId, Micros};
use std::collections::BTreeMap;

/// Parts of this controller's requests.
const PARTS_MAX: u32 = 64;
/// Requests remembered: several of each part.
const SENT_MAX: usize = 32 * PARTS_MAX as usize;

/// A host that came here because it can't reach its owner.
struct RequestedHost {
    /// When its last heartbeat came.
    heard_at: Micros,
    /// The part of the requests that names it.
    part: u32,
}

/// One part of the requests.
#[derive(Default)]
struct RequestPart {
    /// How many hosts it names.
    hosts: usize,
    /// Its hosts are others than those last written.
    changed: bool,
    /// The store may have a record of it.
    written: bool,
    /// When its last write began.
    last_written_at: Micros,
}

/// The hosts that this controller asks to answer for.
#[derive(Default)]
pub(super) struct DelegationRequests {
    /// The hosts that were heard here recently.
    hosts: BTreeMap<HostId, RequestedHost>,
    /// The parts: no value holds all hosts of a large zone.
    parts: BTreeMap<u32, RequestPart>,
    /// When the requests were sent, by number.
    sent_at: BTreeMap<u64, Micros>,
    /// The number of the last request.
    last_number: u64,
}

/// What came of adding a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum JoinOutcome {
    /// It is new.
    Added,
    /// It was there already.
    Renewed,
    /// No part has room for it.
    Full,
}

/// A part of the requests to be written now.
pub(super) struct DueRequest {
    /// The number of the part.
    pub part: u32,
    /// The number of this request, which a grant names.
    pub number: u64,
    /// The hosts of the part; none: its record is to be deleted.
    pub hosts: Vec<HostId>,
}

impl DelegationRequests {
    /// Adds a host that was just heard, in the first part that has room: `hosts_max` for each.
    pub fn join(&mut self, host: &HostId, hosts_max: usize, now: Micros) -> JoinOutcome {
        if let Some(known) = self.hosts.get_mut(host) {
            known.heard_at = now;
            return JoinOutcome::Renewed;
        }
        let has_room = |number: &u32| {
            let part = self.parts.get(number);
            part.is_none_or(|part| part.hosts < hosts_max)
        };
        let Some(number) = (0..PARTS_MAX).find(has_room) else {
            return JoinOutcome::Full;
        };
        let part = self.parts.entry(number).or_default();
        part.hosts += 1;
        part.changed = true;
        let added = RequestedHost {
            heard_at: now,
            part: number,
        };
        self.hosts.insert(host.clone(), added);
        JoinOutcome::Added
    }

    /// Removes hosts that have not been heard for `silence`.
    pub fn remove_silent(&mut self, silence: Micros, now: Micros) {
        let parts = &mut self.parts;
        self.hosts.retain(|_, host| {
            let stays = now - host.heard_at < silence;
            if !stays && let Some(part) = parts.get_mut(&host.part) {
                part.hosts -= 1;
                part.changed = true;
            }
            stays
        });
    }

    /// The parts to be written now: those that have changed, and those with hosts that were last written
    /// `interval` ago. They count as sent from here on.
    pub fn due(&mut self, interval: Micros, now: Micros) -> Vec<DueRequest> {
        let mut due = Vec::new();
        for (number, part) in &mut self.parts {
            let is_due = if part.hosts == 0 {
                part.written
            } else {
                part.changed || now - part.last_written_at >= interval
            };
            if !is_due {
                continue;
            }
            part.changed = false;
            part.last_written_at = now;
            self.last_number += 1;
            // Before the write: the grant's time runs from here.
            self.sent_at.insert(self.last_number, now);
            let in_part = self.hosts.iter().filter(|(_, host)| host.part == *number);
            due.push(DueRequest {
                part: *number,
                number: self.last_number,
                hosts: in_part.map(|(id, _)| id.clone()).collect(),
            });
        }
        while self.sent_at.len() > SENT_MAX {
            self.sent_at.pop_first();
        }
        due
    }

    /// Notes whether the store may have a record of a part.
    pub fn set_written(&mut self, part: u32, written: bool) {
        if let Some(part) = self.parts.get_mut(&part) {
            part.written = written;
        }
    }

    /// The part of the requests that names a host.
    pub fn part_of(&self, host: &HostId) -> Option<u32> {
        self.hosts.get(host).map(|host| host.part)
    }

    /// When a request was sent; `None` also if that is too long ago to be remembered.
    pub fn sent_at(&self, number: u64) -> Option<Micros> {
        self.sent_at.get(&number).copied()
    }
}

#[cfg(test)]
mod tests;
