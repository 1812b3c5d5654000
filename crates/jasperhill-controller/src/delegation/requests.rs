//! Requests of this controller as a delegate. The hosts that it asks to answer for are split into
//! numbered parts, so that each request fits into one value of the store.

use jasperhill_wire::{HostId, Micros};
use std::collections::BTreeMap;

/// The largest number of parts that the hosts are split into.
const MAX_PARTS: u32 = 64;
/// The number of sent requests that are remembered: several for each part.
const MAX_REMEMBERED_REQUESTS: usize = 32 * MAX_PARTS as usize;

/// A host that sends its heartbeats to this controller because it can't reach its owner.
struct RequestedHost {
    /// The time at which the last heartbeat of the host arrived, by the monotonic clock.
    heard_at: Micros,
    /// The number of the part that names the host.
    part: u32,
}

/// The state of one part of the requests.
#[derive(Default)]
struct RequestPart {
    /// The number of hosts in the part.
    hosts: usize,
    /// True if the hosts have changed since the part was last written.
    has_changed: bool,
    /// True if the store may have a record of the part.
    may_be_stored: bool,
    /// The time at which the last write of the part began, by the monotonic clock.
    last_written_at: Micros,
}

/// The hosts that this controller asks to answer for, split into parts.
#[derive(Default)]
pub(super) struct DelegationRequests {
    /// The hosts that this controller has heard recently.
    hosts: BTreeMap<HostId, RequestedHost>,
    /// The parts by number. One value of the store can't hold all hosts of a large zone.
    parts: BTreeMap<u32, RequestPart>,
    /// The time at which each remembered request was sent, by request number.
    sent_at: BTreeMap<u64, Micros>,
    /// The number of the last request.
    last_request_number: u64,
}

/// The outcome of adding a host to the requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AddHostOutcome {
    /// The host is new in the requests.
    Added,
    /// The host was in the requests already, and was heard again.
    Renewed,
    /// No part has room for the host.
    Full,
}

/// A part of the requests that has to be written now.
pub(super) struct DueRequest {
    /// The number of the part.
    pub part: u32,
    /// The number of this request. The owner's grant names it.
    pub number: u64,
    /// The hosts of the part. If empty, the part's record has to be deleted.
    pub hosts: Vec<HostId>,
}

impl DelegationRequests {
    /// Adds a host that was just heard to the first part that has room, or records that the host was
    /// heard again. A part has room for `hosts_per_part` hosts.
    pub fn add_host(
        &mut self,
        host: &HostId,
        hosts_per_part: usize,
        now: Micros,
    ) -> AddHostOutcome {
        if let Some(known) = self.hosts.get_mut(host) {
            known.heard_at = now;
            return AddHostOutcome::Renewed;
        }
        let has_room = |number: &u32| {
            let part = self.parts.get(number);
            part.is_none_or(|part| part.hosts < hosts_per_part)
        };
        let Some(number) = (0..MAX_PARTS).find(has_room) else {
            return AddHostOutcome::Full;
        };
        let part = self.parts.entry(number).or_default();
        part.hosts += 1;
        part.has_changed = true;
        let added = RequestedHost {
            heard_at: now,
            part: number,
        };
        self.hosts.insert(host.clone(), added);
        AddHostOutcome::Added
    }

    /// Removes the hosts that have not been heard for `silence_max`.
    pub fn remove_silent(&mut self, silence_max: Micros, now: Micros) {
        let parts = &mut self.parts;
        self.hosts.retain(|_, host| {
            let is_kept = now - host.heard_at < silence_max;
            if !is_kept && let Some(part) = parts.get_mut(&host.part) {
                part.hosts -= 1;
                part.has_changed = true;
            }
            is_kept
        });
    }

    /// Returns the parts to write now: the parts that have changed, the parts with hosts that were last
    /// written at least `interval` ago, and the empty parts that may be in the store. The returned
    /// parts count as sent now.
    pub fn take_due(&mut self, interval: Micros, now: Micros) -> Vec<DueRequest> {
        let mut due = Vec::new();
        for (number, part) in &mut self.parts {
            let is_due = if part.hosts == 0 {
                part.may_be_stored
            } else {
                part.has_changed || now - part.last_written_at >= interval
            };
            if !is_due {
                continue;
            }
            part.has_changed = false;
            part.last_written_at = now;
            self.last_request_number += 1;
            // The time is taken before the write, as the delegation time counts from here.
            self.sent_at.insert(self.last_request_number, now);
            let hosts_in_part = self.hosts.iter().filter(|(_, host)| host.part == *number);
            due.push(DueRequest {
                part: *number,
                number: self.last_request_number,
                hosts: hosts_in_part.map(|(id, _)| id.clone()).collect(),
            });
        }
        while self.sent_at.len() > MAX_REMEMBERED_REQUESTS {
            self.sent_at.pop_first();
        }
        due
    }

    /// Sets whether the store may have a record of a part.
    pub fn set_may_be_stored(&mut self, part: u32, may_be_stored: bool) {
        if let Some(part) = self.parts.get_mut(&part) {
            part.may_be_stored = may_be_stored;
        }
    }

    /// Returns the number of the part that names a host; `None` if no part does.
    pub fn part_of(&self, host: &HostId) -> Option<u32> {
        self.hosts.get(host).map(|host| host.part)
    }

    /// Returns when the request with this number was sent. Returns `None` if the request is unknown or
    /// too old to be remembered.
    pub fn sent_at(&self, number: u64) -> Option<Micros> {
        self.sent_at.get(&number).copied()
    }
}

#[cfg(test)]
mod tests;
