//! The watch cache: a replica of the store, fed by a listing and a watch. Every change goes through
//! [`WatchCache::apply`]; the store client (`crate::store`) is the one caller, by way of
//! `Shared::apply_to_cache`.
//!
//! It promises that no record goes back to an older version, whatever order the listing, the watch and
//! this controller's own writes come in, and that a host is reported as gone only once the replica is
//! complete.

mod changes;
mod entries;
mod hosts;
mod jobs;
mod queries;

use self::entries::{decode, put_newer, remove_older};
pub use self::{
    changes::{Change, Input, OwnChange},
    entries::{ActiveJob, HostEntry, JobEntry, Versioned},
};
use jasperhill_scheduler::dependencies::DependencyGraph;
use jasperhill_wire::{
    HostId, JobId, Member, Micros, Revision,
    cloud::MachineTypes,
    record::{
        DelegationGrantRecord, DelegationRequestRecord, FeatureLevelRecord, Key, ProposalRecord,
        ResidualUsage, Role, RoleRecord, SessionRecord, block_key, delegation_grant_key,
        delegation_request_key, proposal_key, role_key, session_key,
    },
    store::{KeyValue, WatchEvent},
};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How complete the watch cache is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Nothing is known.
    #[default]
    Empty,
    /// A listing was read; what changed meanwhile is still missing up to this revision.
    CatchingUp(Revision),
    /// All changes up to the cache's revision are known.
    Following,
}

/// A replica of the store. The fields are read by the whole controller and changed only here.
#[derive(Debug, Default)]
pub struct WatchCache {
    /// How complete it is.
    pub phase: Phase,
    /// The revision up to which all changes are known; the watch goes on from it.
    pub revision: Revision,
    /// All jobs, also finished ones.
    jobs: HashMap<JobId, JobEntry>,
    /// The unfinished ones among the jobs.
    active: BTreeSet<JobId>,
    /// What tasks of the jobs that were cancelled last may still use, by when they were cancelled
    /// (time of day).
    residuals: BTreeMap<(Micros, JobId), ResidualUsage>,
    /// What follows from the jobs that need others.
    pub dependencies: DependencyGraph,
    /// The hosts, from all blocks.
    pub hosts: BTreeMap<HostId, HostEntry>,
    /// Hosts that their block no longer names and that may turn up in another one: a move is
    /// seen as two changes in either order, or by a listing on two pages. They are gone only
    /// if no block names them once the watch cache is complete: a host that is gone runs nothing.
    unplaced_hosts: BTreeSet<HostId>,
    /// The blocks that hold the hosts' records, with their revisions.
    pub blocks: BTreeMap<u32, Revision>,
    /// The size of each block in the store, in bytes.
    pub block_bytes: BTreeMap<u32, usize>,
    /// The sessions of the members.
    pub sessions: BTreeMap<Member, Versioned<SessionRecord>>,
    /// What the members' last processes understood.
    pub feature_levels: BTreeMap<Member, Versioned<FeatureLevelRecord>>,
    /// The owners of the roles; see [`WatchCache::owner`] for whether an owner's session lives.
    pub roles: BTreeMap<Role, Versioned<RoleRecord>>,
    /// The cloud's machine types, in parts.
    machine_types: BTreeMap<u32, Versioned<MachineTypes>>,
    /// Which hosts members ask to answer for.
    pub delegation_requests: BTreeMap<Member, Versioned<DelegationRequestRecord>>,
    /// Jobs proposed to their owners through the store.
    pub proposals: BTreeMap<JobId, Versioned<ProposalRecord>>,
    /// Granted delegations, by partition and delegate.
    pub delegation_grants: BTreeMap<(u32, Member), Versioned<DelegationGrantRecord>>,
    /// Keys that this controller deleted itself ahead of the watch, with the revisions of the
    /// deletions. Guards against an older event of the watch that would bring a record back.
    tombstones: BTreeMap<String, Revision>,
}

impl WatchCache {
    /// The one function that changes the watch cache. What has changed, in the order of the input.
    pub fn apply(&mut self, input: Input) -> Vec<Change> {
        let mut changes = Vec::new();
        match input {
            Input::Listed { items, first, last } => {
                self.apply_listing(items, first, last, &mut changes);
            }
            Input::WatchEvents {
                after,
                revision,
                events,
            } => self.apply_events(after, revision, events, &mut changes),
            Input::OwnWrite {
                changes: own,
                version,
            } => self.apply_own_write(own, version, &mut changes),
        }
        if self.phase == Phase::Following {
            self.remove_unplaced_hosts(&mut changes);
        }
        changes
    }

    /// Takes over a listing: what it does not name is deleted, unless it was written since.
    fn apply_listing(
        &mut self,
        items: Vec<KeyValue>,
        first: Revision,
        last: Revision,
        changes: &mut Vec<Change>,
    ) {
        let listed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let deleted: Vec<Key> = self
            .deletable_keys()
            .into_iter()
            .filter(|(key, version)| !listed.contains(key.as_str()) && *version <= first)
            .filter_map(|(key, _)| Key::parse(&key))
            .collect();
        for key in deleted {
            self.delete(key, first, changes);
        }
        for item in items {
            self.put(&item.key, item.value, item.version, changes);
        }
        self.revision = first;
        self.phase = if last > first {
            Phase::CatchingUp(last)
        } else {
            Phase::Following
        };
    }

    /// Takes over the events of a watch, in the order of revisions and each once. Ignores events that
    /// would leave a gap or are older than what is known.
    fn apply_events(
        &mut self,
        after: Revision,
        revision: Revision,
        events: Vec<WatchEvent>,
        changes: &mut Vec<Change>,
    ) {
        if after > self.revision || revision < self.revision || self.phase == Phase::Empty {
            return;
        }
        let known = self.revision;
        for event in events {
            if event.version() > known {
                self.apply_event(event, changes);
            }
        }
        self.revision = revision;
        self.tombstones.retain(|_, deleted| *deleted > revision);
        if let Phase::CatchingUp(last) = self.phase
            && revision >= last
        {
            self.phase = Phase::Following;
        }
    }

    /// Takes over one event of a watch.
    fn apply_event(&mut self, event: WatchEvent, changes: &mut Vec<Change>) {
        match event {
            WatchEvent::Put {
                key,
                value,
                version,
            } => self.put(&key, value, version, changes),
            WatchEvent::Delete { key, version } => {
                if let Some(key) = Key::parse(&key) {
                    self.delete(key, version, changes);
                }
            }
        }
    }

    /// Takes over a transaction of this controller before the watch shows it.
    fn apply_own_write(
        &mut self,
        own: Vec<OwnChange>,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        for OwnChange { key, record } in own {
            if let Some(value) = record {
                self.put(&key, value, version, changes);
            } else if let Some(parsed) = Key::parse(&key) {
                self.delete(parsed, version, changes);
                if version > self.revision {
                    self.tombstones.insert(key, version);
                }
            }
        }
    }

    /// Keys that can go away, with their versions. Jobs never do.
    fn deletable_keys(&self) -> Vec<(String, Revision)> {
        let blocks = self
            .blocks
            .iter()
            .map(|(block, version)| (block_key(*block), *version));
        let sessions = self
            .sessions
            .iter()
            .map(|(member, entry)| (session_key(member), entry.version));
        let roles = self
            .roles
            .iter()
            .map(|(role, entry)| (role_key(*role), entry.version));
        let requests = self
            .delegation_requests
            .iter()
            .map(|(member, entry)| (delegation_request_key(member), entry.version));
        let proposals = self
            .proposals
            .iter()
            .map(|(job, entry)| (proposal_key(job), entry.version));
        let grants = self
            .delegation_grants
            .iter()
            .map(|((p, member), entry)| (delegation_grant_key(*p, member), entry.version));
        blocks
            .chain(sessions)
            .chain(roles)
            .chain(requests)
            .chain(proposals)
            .chain(grants)
            .collect()
    }

    /// Takes over one record, if it is newer than what is known.
    fn put(&mut self, key: &str, value: Value, version: Revision, changes: &mut Vec<Change>) {
        let deleted = self.tombstones.get(key);
        if deleted.is_some_and(|deleted| *deleted >= version) {
            return;
        }
        let Some(parsed) = Key::parse(key) else {
            return;
        };
        if self
            .put_parsed(parsed, Versioned { value, version }, changes)
            .is_none()
        {
            tracing::error!(key, "malformed record");
        }
    }

    /// `None` if the record is malformed.
    fn put_parsed(
        &mut self,
        key: Key,
        record: Versioned<Value>,
        changes: &mut Vec<Change>,
    ) -> Option<()> {
        match key {
            Key::Job(id) => {
                let job = decode(record.value)?;
                self.put_job(id, job, record.version, changes);
                Some(())
            }
            Key::Hosts(block) => {
                let hosts = decode(record.value)?;
                self.put_block(block, hosts, record.version, changes);
                Some(())
            }
            Key::Session(member) => {
                let entries = &mut self.sessions;
                put_newer(entries, member, record, Change::Session, changes)
            }
            Key::Role(role) => put_newer(&mut self.roles, role, record, Change::Role, changes),
            Key::Proposal(id) => {
                let entries = &mut self.proposals;
                put_newer(entries, id, record, Change::Proposal, changes)
            }
            Key::DelegationRequest(delegate) => {
                let entries = &mut self.delegation_requests;
                put_newer(
                    entries,
                    delegate,
                    record,
                    Change::DelegationRequest,
                    changes,
                )
            }
            Key::FeatureLevel(member) => {
                let entries = &mut self.feature_levels;
                put_newer(entries, member, record, Change::FeatureLevel, changes)
            }
            Key::DelegationGrant(partition, delegate) => {
                let (entries, key) = (&mut self.delegation_grants, (partition, delegate));
                put_newer(entries, key, record, |_| Change::DelegationGrant, changes)
            }
            Key::Types(part) => {
                let entries = &mut self.machine_types;
                put_newer(entries, part, record, |_| Change::Types, changes)
            }
        }
    }

    /// Deletes a record, if the deletion is newer than what is known.
    fn delete(&mut self, key: Key, version: Revision, changes: &mut Vec<Change>) {
        match key {
            Key::Hosts(block) => self.delete_block(block, version, changes),
            Key::Session(member) => {
                if remove_older(&mut self.sessions, &member, version) {
                    changes.push(Change::Session(member));
                }
            }
            Key::Role(role) => {
                if remove_older(&mut self.roles, &role, version) {
                    changes.push(Change::Role(role));
                }
            }
            Key::Proposal(id) => {
                remove_older(&mut self.proposals, &id, version);
            }
            Key::DelegationRequest(delegate) => {
                remove_older(&mut self.delegation_requests, &delegate, version);
            }
            Key::DelegationGrant(partition, delegate) => {
                remove_older(&mut self.delegation_grants, &(partition, delegate), version);
            }
            // Jobs are never deleted, machine types and feature levels neither.
            Key::Job(_) | Key::FeatureLevel(_) | Key::Types(_) => {}
        }
    }
}
