//! Watch cache: a replica of the store, maintained by a listing and a watch. Every change goes
//! through [`WatchCache::apply`], whose only caller is the store client (`crate::store`), by way of
//! `Shared::apply_to_cache`.
//!
//! Invariants: no record is replaced by an older version, in whatever order listings, watch events
//! and this controller's own writes arrive. A host is reported as removed only while the replica is
//! complete.

mod changes;
mod entries;
mod hosts;
mod jobs;
mod queries;

use self::entries::{decode, insert_if_newer, remove_if_older};
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

/// Completeness of the watch cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// No listing has been read yet.
    #[default]
    NotListed,
    /// A listing was read, but changes up to this revision, made while the pages were read, are
    /// still missing.
    CatchingUp(Revision),
    /// All changes up to the revision of the cache are known.
    Synced,
}

/// Replica of the records in the store. All parts of the controller read its fields; only this
/// module changes them.
#[derive(Debug, Default)]
pub struct WatchCache {
    /// Completeness of the cache.
    pub phase: Phase,
    /// Revision up to which all changes are known. The watch continues after this revision.
    pub revision: Revision,
    /// All jobs, including finished ones.
    jobs: HashMap<JobId, JobEntry>,
    /// Ids of the unfinished jobs.
    active: BTreeSet<JobId>,
    /// Resources that tasks of the most recently cancelled jobs may still use, ordered by the time
    /// of day of the cancellation.
    residual_usages: BTreeMap<(Micros, JobId), ResidualUsage>,
    /// Dependency graph of the jobs.
    pub dependencies: DependencyGraph,
    /// Hosts of all blocks.
    pub hosts: BTreeMap<HostId, HostEntry>,
    /// Hosts that were removed from their block and may appear in another one. The move of a host
    /// may be seen as two changes in either order, or on two pages of a listing. A host counts as
    /// removed only if no block contains it once the watch cache is complete, because a removed
    /// host is assumed to run nothing.
    hosts_without_block: BTreeSet<HostId>,
    /// Blocks that contain the host records, with the revisions of the blocks.
    pub blocks: BTreeMap<u32, Revision>,
    /// Encoded size of each block in the store, in bytes.
    pub block_bytes: BTreeMap<u32, usize>,
    /// Sessions of the members.
    pub sessions: BTreeMap<Member, Versioned<SessionRecord>>,
    /// Feature level last announced by each member.
    pub feature_levels: BTreeMap<Member, Versioned<FeatureLevelRecord>>,
    /// Owner recorded for each role. See [`WatchCache::owner`] for the owner whose session is live.
    pub roles: BTreeMap<Role, Versioned<RoleRecord>>,
    /// Machine types of the cloud, by number of the part into which the list is split.
    machine_types: BTreeMap<u32, Versioned<MachineTypes>>,
    /// Hosts for which each member requests delegation.
    pub delegation_requests: BTreeMap<Member, Versioned<DelegationRequestRecord>>,
    /// Jobs proposed to their owners through the store.
    pub proposals: BTreeMap<JobId, Versioned<ProposalRecord>>,
    /// Granted delegations, by partition and delegate.
    pub delegation_grants: BTreeMap<(u32, Member), Versioned<DelegationGrantRecord>>,
    /// Keys deleted by this controller whose deletion the watch has not reported yet, with the
    /// revisions of the deletions. Prevents an older watch event from restoring a deleted record.
    tombstones: BTreeMap<String, Revision>,
}

impl WatchCache {
    /// Applies an input and returns the resulting changes in the order of the input. This is the
    /// only function that changes the watch cache.
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
                changes: own_changes,
                version,
            } => self.apply_own_write(own_changes, version, &mut changes),
        }
        if self.phase == Phase::Synced {
            self.remove_hosts_without_block(&mut changes);
        }
        changes
    }

    /// Applies a listing. Deletes cached records that the listing does not contain, unless they
    /// were written after the revision `first`.
    fn apply_listing(
        &mut self,
        items: Vec<KeyValue>,
        first: Revision,
        last: Revision,
        changes: &mut Vec<Change>,
    ) {
        let listed_keys: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let deleted_keys: Vec<Key> = self
            .deletable_keys()
            .into_iter()
            .filter(|(key, version)| !listed_keys.contains(key.as_str()) && *version <= first)
            .filter_map(|(key, _)| Key::parse(&key))
            .collect();
        for key in deleted_keys {
            self.delete(key, first, changes);
        }
        for item in items {
            self.put_record(&item.key, item.value, item.version, changes);
        }
        self.revision = first;
        self.phase = if last > first {
            Phase::CatchingUp(last)
        } else {
            Phase::Synced
        };
    }

    /// Returns whether the cache contains all changes up to this revision.
    pub fn contains_revision(&self, revision: Revision) -> bool {
        self.phase != Phase::NotListed && self.revision >= revision
    }

    /// Applies watch events in the order of their revisions, each event at most once. Ignores a
    /// response that would leave a gap in the revisions or that is older than the cache.
    fn apply_events(
        &mut self,
        after: Revision,
        revision: Revision,
        events: Vec<WatchEvent>,
        changes: &mut Vec<Change>,
    ) {
        if after > self.revision || revision < self.revision || self.phase == Phase::NotListed {
            return;
        }
        let known_revision = self.revision;
        for event in events {
            if event.version() > known_revision {
                self.apply_event(event, changes);
            }
        }
        self.revision = revision;
        self.tombstones.retain(|_, deleted| *deleted > revision);
        if let Phase::CatchingUp(last) = self.phase
            && revision >= last
        {
            self.phase = Phase::Synced;
        }
    }

    /// Applies a single watch event.
    fn apply_event(&mut self, event: WatchEvent, changes: &mut Vec<Change>) {
        match event {
            WatchEvent::Put {
                key,
                value,
                version,
            } => self.put_record(&key, value, version, changes),
            WatchEvent::Delete { key, version } => {
                if let Some(key) = Key::parse(&key) {
                    self.delete(key, version, changes);
                }
            }
        }
    }

    /// Applies a transaction of this controller before the watch reports it.
    fn apply_own_write(
        &mut self,
        own_changes: Vec<OwnChange>,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        for OwnChange { key, record } in own_changes {
            if let Some(value) = record {
                self.put_record(&key, value, version, changes);
            } else if let Some(parsed) = Key::parse(&key) {
                self.delete(parsed, version, changes);
                if version > self.revision {
                    self.tombstones.insert(key, version);
                }
            }
        }
    }

    /// Returns the keys of all cached records that may be deleted, with their versions. Job records
    /// are never deleted.
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
            .map(|((partition, member), entry)| {
                (delegation_grant_key(*partition, member), entry.version)
            });
        blocks
            .chain(sessions)
            .chain(roles)
            .chain(requests)
            .chain(proposals)
            .chain(grants)
            .collect()
    }

    /// Applies a record if it is newer than the cached one. Logs an error if the record is
    /// malformed.
    fn put_record(
        &mut self,
        key: &str,
        value: Value,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        let deleted_at = self.tombstones.get(key);
        if deleted_at.is_some_and(|deleted_at| *deleted_at >= version) {
            return;
        }
        let Some(parsed_key) = Key::parse(key) else {
            return;
        };
        if self
            .put_decoded(parsed_key, Versioned { value, version }, changes)
            .is_none()
        {
            tracing::error!(key, "malformed record");
        }
    }

    /// Decodes a record and applies it if it is newer than the cached one. Returns `None` if the
    /// record is malformed.
    fn put_decoded(
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
                insert_if_newer(entries, member, record, Change::Session, changes)
            }
            Key::Role(role) => {
                insert_if_newer(&mut self.roles, role, record, Change::Role, changes)
            }
            Key::Proposal(id) => {
                let entries = &mut self.proposals;
                insert_if_newer(entries, id, record, Change::Proposal, changes)
            }
            Key::DelegationRequest(delegate) => {
                let entries = &mut self.delegation_requests;
                insert_if_newer(
                    entries,
                    delegate,
                    record,
                    Change::DelegationRequest,
                    changes,
                )
            }
            Key::FeatureLevel(member) => {
                let entries = &mut self.feature_levels;
                insert_if_newer(entries, member, record, Change::FeatureLevel, changes)
            }
            Key::DelegationGrant(partition, delegate) => {
                let (entries, key) = (&mut self.delegation_grants, (partition, delegate));
                insert_if_newer(entries, key, record, |_| Change::DelegationGrant, changes)
            }
            Key::Types(part) => {
                let entries = &mut self.machine_types;
                insert_if_newer(entries, part, record, |_| Change::MachineTypes, changes)
            }
        }
    }

    /// Deletes a record if the deletion is newer than the cached version.
    fn delete(&mut self, key: Key, version: Revision, changes: &mut Vec<Change>) {
        match key {
            Key::Hosts(block) => self.delete_block(block, version, changes),
            Key::Session(member) => {
                if remove_if_older(&mut self.sessions, &member, version) {
                    changes.push(Change::Session(member));
                }
            }
            Key::Role(role) => {
                if remove_if_older(&mut self.roles, &role, version) {
                    changes.push(Change::Role(role));
                }
            }
            Key::Proposal(id) => {
                remove_if_older(&mut self.proposals, &id, version);
            }
            Key::DelegationRequest(delegate) => {
                remove_if_older(&mut self.delegation_requests, &delegate, version);
            }
            Key::DelegationGrant(partition, delegate) => {
                remove_if_older(&mut self.delegation_grants, &(partition, delegate), version);
            }
            // Records of jobs, machine types and feature levels are never deleted.
            Key::Job(_) | Key::FeatureLevel(_) | Key::Types(_) => {}
        }
    }
}
