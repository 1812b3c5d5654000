//! The watch cache: a copy of the store, kept by a listing and a watch. Every change goes through
//! [`WatchCache::apply`].

use jasperhill_membership::RoleOwnership;
use jasperhill_scheduler::dependencies::{
    self, DependencyGraph, DependencyState, JobUrgency, Output, RecordedOutcome,
};
use jasperhill_wire::{
    HostId, JobId, Member, Micros, Revision,
    cloud::MachineTypes,
    record::{
        DelegationGrantRecord, DelegationRequestRecord, FeatureLevelRecord, HostBlock, HostRecord,
        JobRecord, Key, ProposalRecord, RecordPhase, ResidualUsage, Role, RoleRecord,
        SessionRecord,
    },
    store::{KeyValue, WatchEvent},
    user::JobRequest,
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};

#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    pub value: T,
    pub version: Revision,
}

/// A host's record. Its version is the revision at which it was last seen to change, which
/// is not that of its block: a token goes up only when something is said about its host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    pub value: HostRecord,
    pub version: Revision,
    pub block: u32,
}

/// An unfinished job, or what is kept of a finished one.
#[derive(Clone, Debug)]
pub enum JobEntry {
    Active(Box<ActiveJob>),
    Final { phase: RecordPhase, done: u32 },
}

#[derive(Clone, Debug)]
pub struct ActiveJob {
    pub request: Rc<JobRequest>,
    pub submitted: jasperhill_wire::Micros,
    pub finished: Vec<u32>,
    pub done_count: u32,
    /// Tries that failed wherever it ran; 0 if nothing speaks against it.
    pub failed_attempts: u32,
    pub version: Revision,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing is known.
    Empty,
    /// A listing was read; what changed meanwhile is still missing up to this revision.
    CatchingUp(Revision),
    Following,
}

#[derive(Debug)]
pub enum Input {
    /// A whole listing, consistent from `first` on and complete once `last` is reached.
    Listed {
        items: Vec<KeyValue>,
        first: Revision,
        last: Revision,
    },
    /// All changes after `after`, up to `revision`.
    WatchEvents {
        after: Revision,
        revision: Revision,
        events: Vec<WatchEvent>,
    },
    /// What this controller wrote itself, one transaction: seen before the watch tells. All of
    /// it at once, since a host may move from one block of it to another.
    OwnWrite {
        changes: Vec<(String, Option<Value>)>,
        version: Revision,
    },
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    Job(JobId),
    /// All that it waited for is done.
    Released(JobId),
    /// Its standing or its claim has changed without its record.
    Related(JobId),
    Host(HostId),
    Session(Member),
    FeatureLevel(Member),
    Role(Role),
    DelegationRequest(Member),
    Proposal(JobId),
    DelegationGrant,
    Types,
}

#[derive(Debug)]
pub struct WatchCache {
    pub phase: Phase,
    pub revision: Revision,
    jobs: HashMap<JobId, JobEntry>,
    active: BTreeSet<JobId>,
    /// What the jobs that were cancelled last may still take, by when they were.
    remains: BTreeMap<(Micros, JobId), ResidualUsage>,
    /// What follows from the jobs that need others.
    pub dependencies: DependencyGraph,
    pub hosts: BTreeMap<HostId, HostEntry>,
    /// Hosts that their block no longer names and that may turn up in another one: a move is
    /// seen as two changes in either order, or by a listing on two pages. They are gone only
    /// if no block names them once the watch cache is whole: a host that is gone runs nothing.
    between: BTreeSet<HostId>,
    /// The blocks that the hosts are kept in, with their revisions.
    pub blocks: BTreeMap<u32, Revision>,
    /// How large the blocks are in the store.
    pub block_bytes: BTreeMap<u32, usize>,
    pub sessions: BTreeMap<Member, Versioned<SessionRecord>>,
    /// What the members' last processes understood.
    pub feature_levels: BTreeMap<Member, Versioned<FeatureLevelRecord>>,
    pub roles: BTreeMap<Role, Versioned<RoleRecord>>,
    /// The cloud's machine types, in parts.
    types: BTreeMap<u32, Versioned<MachineTypes>>,
    pub delegation_requests: BTreeMap<Member, Versioned<DelegationRequestRecord>>,
    pub proposals: BTreeMap<JobId, Versioned<ProposalRecord>>,
    pub delegation_grants: BTreeMap<(u32, Member), Versioned<DelegationGrantRecord>>,
    /// Keys deleted by ourselves ahead of the watch, with the revisions of the deletions.
    buried: BTreeMap<String, Revision>,
}

/// Cancelled jobs whose remains are kept: more than are cancelled while a task of theirs can last.
const REMAINS_MAX: usize = 4_096;

impl Default for WatchCache {
    fn default() -> Self {
        Self {
            phase: Phase::Empty,
            revision: Revision(0),
            jobs: HashMap::new(),
            active: BTreeSet::new(),
            remains: BTreeMap::new(),
            dependencies: DependencyGraph::default(),
            hosts: BTreeMap::new(),
            between: BTreeSet::new(),
            blocks: BTreeMap::new(),
            block_bytes: BTreeMap::new(),
            sessions: BTreeMap::new(),
            feature_levels: BTreeMap::new(),
            roles: BTreeMap::new(),
            types: BTreeMap::new(),
            delegation_requests: BTreeMap::new(),
            proposals: BTreeMap::new(),
            delegation_grants: BTreeMap::new(),
            buried: BTreeMap::new(),
        }
    }
}

fn read<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}

fn newer<T>(kept: Option<&Versioned<T>>, version: Revision) -> bool {
    kept.is_none_or(|k| version > k.version)
}

impl WatchCache {
    pub fn is_synced(&self) -> bool {
        self.phase == Phase::Following
    }
    pub fn job(&self, id: &JobId) -> Option<&JobEntry> {
        self.jobs.get(id)
    }
    /// Unfinished jobs, without those that are cancelled because a job before them is.
    pub fn active_jobs(&self) -> impl Iterator<Item = &ActiveJob> {
        self.active.iter().filter_map(|id| match self.jobs.get(id) {
            Some(JobEntry::Active(job))
                if self.dependencies.state_of(id) != DependencyState::Doomed =>
            {
                Some(&**job)
            }
            _ => None,
        })
    }
    /// What a job's user is told: an unfinished one after a cancelled one is cancelled, whether
    /// or not its own record says so yet.
    pub fn final_phase(&self, id: &JobId) -> Option<(RecordPhase, u32)> {
        match self.jobs.get(id)? {
            JobEntry::Final { phase, done } => Some((*phase, *done)),
            JobEntry::Active(job) => (self.dependencies.state_of(id) == DependencyState::Doomed)
                .then_some((RecordPhase::Cancelled, job.done_count)),
        }
    }
    /// The cloud's machine types, if every part of them is known.
    pub fn types(&self) -> Option<MachineTypes> {
        let parts = self.types.get(&0)?.value.parts.max(1);
        let mut types = Vec::new();
        for n in 0..parts {
            types.extend(self.types.get(&n)?.value.types.iter().cloned());
        }
        Some(MachineTypes { types, parts: 0 })
    }
    /// The owner of a role, if its session lives.
    /// What jobs that were cancelled after this time of day may still take.
    pub fn residual_usage(&self, after: Micros) -> impl Iterator<Item = (&JobId, &ResidualUsage)> {
        let first = (after, JobId::new(""));
        self.remains.range(first..).map(|((_, id), r)| (id, r))
    }

    pub fn owner(&self, role: Role) -> Option<&Member> {
        let owner = &self.roles.get(&role)?.value;
        let session = self.sessions.get(&owner.owner)?;
        (session.value.lease == owner.lease).then_some(&owner.owner)
    }

    /// What the store says of every role.
    pub fn ownerships(&self) -> BTreeMap<Role, RoleOwnership> {
        let seat = |(role, kept): (&Role, &Versioned<RoleRecord>)| {
            let seat = RoleOwnership {
                owner: kept.value.owner.clone(),
                lease: kept.value.lease,
                version: kept.version,
                live: self.owner(*role).is_some(),
                relinquished: false,
            };
            (*role, seat)
        };
        self.roles.iter().map(seat).collect()
    }

    /// The one function that changes the watch cache.
    pub fn apply(&mut self, input: Input) -> Vec<Change> {
        let mut changes = Vec::new();
        match input {
            Input::Listed { items, first, last } => {
                let keys: BTreeSet<&str> = items.iter().map(|i| i.key.as_str()).collect();
                let gone: Vec<Key> = self
                    .keys()
                    .into_iter()
                    .filter(|(name, version)| !keys.contains(name.as_str()) && *version <= first)
                    .filter_map(|(name, _)| Key::parse(&name))
                    .collect();
                for key in gone {
                    self.delete(key, first, &mut changes);
                }
                for item in items {
                    self.put(&item.key, item.value, item.version, &mut changes);
                }
                self.revision = first;
                self.phase = if last > first {
                    Phase::CatchingUp(last)
                } else {
                    Phase::Following
                };
            }
            Input::WatchEvents {
                after,
                revision,
                events,
            } => {
                if after > self.revision || revision < self.revision || self.phase == Phase::Empty {
                    // Would leave a gap, or is older than what is known.
                    return changes;
                }
                let known = self.revision;
                for event in events {
                    // In the order of revisions, each once.
                    if event.version() <= known {
                        continue;
                    }
                    match event {
                        WatchEvent::Put {
                            key,
                            value,
                            version,
                        } => {
                            self.put(&key, value, version, &mut changes);
                        }
                        WatchEvent::Delete { key, version } => {
                            if let Some(key) = Key::parse(&key) {
                                self.delete(key, version, &mut changes);
                            }
                        }
                    }
                }
                self.revision = revision;
                self.buried.retain(|_, v| *v > revision);
                if let Phase::CatchingUp(last) = self.phase
                    && revision >= last
                {
                    self.phase = Phase::Following;
                }
            }
            Input::OwnWrite {
                changes: own,
                version,
            } => {
                for (key, value) in own {
                    if let Some(value) = value {
                        self.put(&key, value, version, &mut changes);
                    } else if let Some(parsed) = Key::parse(&key) {
                        self.delete(parsed, version, &mut changes);
                        if version > self.revision {
                            self.buried.insert(key, version);
                        }
                    }
                }
            }
        }
        if self.phase == Phase::Following {
            for id in std::mem::take(&mut self.between) {
                self.hosts.remove(&id);
                changes.push(Change::Host(id));
            }
        }
        changes
    }

    /// Keys that can go away, with their versions. Jobs never do.
    fn keys(&self) -> Vec<(String, Revision)> {
        use jasperhill_wire::record::{
            block_key, delegation_grant_key, delegation_request_key, proposal_key, role_key,
            session_key,
        };
        let hosts = self.blocks.iter().map(|(n, v)| (block_key(*n), *v));
        let sessions = self
            .sessions
            .iter()
            .map(|(m, k)| (session_key(m), k.version));
        let roles = self.roles.iter().map(|(r, k)| (role_key(*r), k.version));
        let asks = self
            .delegation_requests
            .iter()
            .map(|(m, k)| (delegation_request_key(m), k.version));
        let wants = self
            .proposals
            .iter()
            .map(|(id, k)| (proposal_key(id), k.version));
        let grants = self
            .delegation_grants
            .iter()
            .map(|((p, m), k)| (delegation_grant_key(*p, m), k.version));
        hosts
            .chain(sessions)
            .chain(roles)
            .chain(asks)
            .chain(wants)
            .chain(grants)
            .collect()
    }

    fn put(&mut self, key: &str, value: Value, version: Revision, changes: &mut Vec<Change>) {
        if self.buried.get(key).is_some_and(|v| *v >= version) {
            return;
        }
        let Some(parsed) = Key::parse(key) else {
            return;
        };
        let understood = match parsed {
            Key::Job(id) => read(value).map(|r| self.put_job(id, r, version, changes)),
            Key::Hosts(n) => read(value).map(|block: HostBlock| {
                if self.blocks.get(&n).is_none_or(|v| version > *v) {
                    self.blocks.insert(n, version);
                    let bytes = serde_json::to_vec(&block).map_or(0, |b| b.len());
                    self.block_bytes.insert(n, bytes);
                    self.put_block(n, block, version, changes);
                }
            }),
            Key::Session(member) => read(value).map(|value| {
                if newer(self.sessions.get(&member), version) {
                    self.sessions
                        .insert(member.clone(), Versioned { value, version });
                    changes.push(Change::Session(member));
                }
            }),
            Key::Role(role) => read(value).map(|value| {
                if newer(self.roles.get(&role), version) {
                    self.roles.insert(role, Versioned { value, version });
                    changes.push(Change::Role(role));
                }
            }),
            Key::Proposal(id) => read(value).map(|value| {
                if newer(self.proposals.get(&id), version) {
                    self.proposals
                        .insert(id.clone(), Versioned { value, version });
                    changes.push(Change::Proposal(id));
                }
            }),
            Key::DelegationRequest(keeper) => read(value).map(|value| {
                if newer(self.delegation_requests.get(&keeper), version) {
                    self.delegation_requests
                        .insert(keeper.clone(), Versioned { value, version });
                    changes.push(Change::DelegationRequest(keeper));
                }
            }),
            Key::FeatureLevel(member) => read(value).map(|value| {
                if newer(self.feature_levels.get(&member), version) {
                    let kept = Versioned { value, version };
                    self.feature_levels.insert(member.clone(), kept);
                    changes.push(Change::FeatureLevel(member));
                }
            }),
            Key::DelegationGrant(p, keeper) => read(value).map(|value| {
                if newer(self.delegation_grants.get(&(p, keeper.clone())), version) {
                    self.delegation_grants
                        .insert((p, keeper), Versioned { value, version });
                    changes.push(Change::DelegationGrant);
                }
            }),
            Key::Types(part) => read(value).map(|value| {
                if newer(self.types.get(&part), version) {
                    self.types.insert(part, Versioned { value, version });
                    changes.push(Change::Types);
                }
            }),
        };
        if understood.is_none() {
            tracing::error!(key, "a record that is not understood");
        }
    }

    /// Carries over what a block says of its hosts, and only what has changed.
    fn put_block(
        &mut self,
        n: u32,
        block: HostBlock,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        let gone = self
            .hosts
            .iter()
            .filter(|(id, k)| k.block == n && !block.hosts.contains_key(*id))
            .map(|(id, _)| id.clone());
        self.between.extend(gone);
        for (id, value) in block.hosts {
            self.between.remove(&id);
            let same = |k: &HostEntry| k.block == n && k.value == value;
            if !self.hosts.get(&id).is_some_and(same) {
                let kept = HostEntry {
                    value,
                    version,
                    block: n,
                };
                self.hosts.insert(id.clone(), kept);
                changes.push(Change::Host(id));
            }
        }
    }

    /// What a block holds.
    pub fn block(&self, n: u32) -> HostBlock {
        let here = |(id, k): &(&HostId, &HostEntry)| k.block == n && !self.between.contains(*id);
        let hosts = self.hosts.iter().filter(here);
        HostBlock {
            hosts: hosts.map(|(id, k)| (id.clone(), k.value.clone())).collect(),
        }
    }

    fn put_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        let mut related = Vec::new();
        match self.jobs.get(&id) {
            // Final phases are final.
            Some(JobEntry::Final { .. }) => return,
            Some(JobEntry::Active(job)) if version <= job.version => return,
            _ => {}
        }
        if let Some(remains) = record.residual_usage {
            self.remains
                .insert((remains.cancelled, id.clone()), remains);
            while self.remains.len() > REMAINS_MAX {
                self.remains.pop_first();
            }
        }
        let entry = match (record.phase, record.request) {
            (RecordPhase::Active, Some(request)) => {
                if self.active.insert(id.clone()) {
                    let terms = JobUrgency {
                        due: request
                            .deadline
                            .map(|d| record.submitted.unwrap_or_default() + d),
                        span: request.estimate,
                        priority: request.priority,
                    };
                    let jobs = &self.jobs;
                    let fate = |id: &JobId| match jobs.get(id) {
                        Some(JobEntry::Final { phase, .. }) => match phase {
                            RecordPhase::Done => RecordedOutcome::Done,
                            _ => RecordedOutcome::Cancelled,
                        },
                        _ => RecordedOutcome::Open,
                    };
                    related.extend(self.dependencies.apply(dependencies::Input::Accepted {
                        id: &id,
                        needs: &request.dependencies,
                        terms,
                        fate: &fate,
                    }));
                }
                JobEntry::Active(Box::new(ActiveJob {
                    request: match self.jobs.get(&id) {
                        Some(JobEntry::Active(old)) => old.request.clone(),
                        _ => Rc::new(request),
                    },
                    submitted: record.submitted.unwrap_or_default(),
                    finished: record.finished,
                    done_count: record.done_count,
                    failed_attempts: record.failed_attempts,
                    version,
                }))
            }
            (RecordPhase::Active, None) => return,
            (phase, _) => {
                self.active.remove(&id);
                // What was called cancelled stays so, whatever a controller wrote that did not
                // know of the job before it.
                let phase = match self.dependencies.state_of(&id) {
                    DependencyState::Doomed => RecordPhase::Cancelled,
                    _ => phase,
                };
                let done = phase == RecordPhase::Done;
                related.extend(
                    self.dependencies
                        .apply(dependencies::Input::Ended { id: &id, done }),
                );
                JobEntry::Final {
                    phase,
                    done: record.done_count,
                }
            }
        };
        self.jobs.insert(id.clone(), entry);
        changes.push(Change::Job(id.clone()));
        changes.extend(related.into_iter().map(|output| match output {
            Output::Released(other) => Change::Released(other),
            Output::Doomed(other) | Output::UrgencyChanged(other) => Change::Related(other),
        }));
    }

    fn delete(&mut self, key: Key, version: Revision, changes: &mut Vec<Change>) {
        match key {
            Key::Hosts(n) => {
                if self.blocks.get(&n).is_some_and(|v| version > *v) {
                    self.blocks.remove(&n);
                    self.block_bytes.remove(&n);
                    self.put_block(n, HostBlock::default(), version, changes);
                }
            }
            Key::Session(member) => {
                if self
                    .sessions
                    .get(&member)
                    .is_some_and(|k| version > k.version)
                {
                    self.sessions.remove(&member);
                    changes.push(Change::Session(member));
                }
            }
            Key::Role(role) => {
                if self.roles.get(&role).is_some_and(|k| version > k.version) {
                    self.roles.remove(&role);
                    changes.push(Change::Role(role));
                }
            }
            Key::Proposal(id) => {
                if self.proposals.get(&id).is_some_and(|k| version > k.version) {
                    self.proposals.remove(&id);
                }
            }
            Key::DelegationRequest(keeper) => {
                if self
                    .delegation_requests
                    .get(&keeper)
                    .is_some_and(|k| version > k.version)
                {
                    self.delegation_requests.remove(&keeper);
                }
            }
            Key::DelegationGrant(p, keeper) => {
                let key = (p, keeper);
                if self
                    .delegation_grants
                    .get(&key)
                    .is_some_and(|k| version > k.version)
                {
                    self.delegation_grants.remove(&key);
                }
            }
            // Jobs are never deleted, the types and formats neither.
            Key::Job(_) | Key::FeatureLevel(_) | Key::Types(_) => {}
        }
    }
}
