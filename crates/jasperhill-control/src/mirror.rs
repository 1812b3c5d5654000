//! The mirror: a copy of the store, kept by a listing and a watch. Every change goes through
//! [`Mirror::apply`].

use jasperhill_wire::{
    HostId, JobId, Member, Revision,
    cloud::MachineTypes,
    record::{
        AskRecord, GrantRecord, HostBlock, HostRecord, JobRecord, Key, RecordPhase, Role,
        RoleRecord, SessionRecord,
    },
    state::{Event, Item},
    user::JobRequest,
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};

#[derive(Clone, Debug, PartialEq)]
pub struct Kept<T> {
    pub value: T,
    pub version: Revision,
}

/// A host's record. Its version is the revision at which it was last seen to change, which
/// is not that of its block: a token goes up only when something is said about its host.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptHost {
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
    pub failing: u32,
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
        items: Vec<Item>,
        first: Revision,
        last: Revision,
    },
    /// All changes after `after`, up to `revision`.
    News {
        after: Revision,
        revision: Revision,
        events: Vec<Event>,
    },
    /// What this controller wrote itself: seen before the watch tells.
    Own {
        key: String,
        value: Option<Value>,
        version: Revision,
    },
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    Job(JobId),
    Host(HostId),
    Session(Member),
    Role(Role),
    Ask(Member),
    Grant,
    Types,
}

#[derive(Debug)]
pub struct Mirror {
    pub phase: Phase,
    pub revision: Revision,
    jobs: HashMap<JobId, JobEntry>,
    active: BTreeSet<JobId>,
    pub hosts: BTreeMap<HostId, KeptHost>,
    /// The blocks that the hosts are kept in, with their revisions.
    pub blocks: BTreeMap<u32, Revision>,
    pub sessions: BTreeMap<Member, Kept<SessionRecord>>,
    pub roles: BTreeMap<Role, Kept<RoleRecord>>,
    pub types: Option<Kept<MachineTypes>>,
    pub asks: BTreeMap<Member, Kept<AskRecord>>,
    pub grants: BTreeMap<(u32, Member), Kept<GrantRecord>>,
    /// Keys deleted by ourselves ahead of the watch, with the revisions of the deletions.
    buried: BTreeMap<String, Revision>,
}

impl Default for Mirror {
    fn default() -> Self {
        Self {
            phase: Phase::Empty,
            revision: Revision(0),
            jobs: HashMap::new(),
            active: BTreeSet::new(),
            hosts: BTreeMap::new(),
            blocks: BTreeMap::new(),
            sessions: BTreeMap::new(),
            roles: BTreeMap::new(),
            types: None,
            asks: BTreeMap::new(),
            grants: BTreeMap::new(),
            buried: BTreeMap::new(),
        }
    }
}

fn read<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}

fn newer<T>(kept: Option<&Kept<T>>, version: Revision) -> bool {
    kept.is_none_or(|k| version > k.version)
}

impl Mirror {
    pub fn is_synced(&self) -> bool {
        self.phase == Phase::Following
    }
    pub fn job(&self, id: &JobId) -> Option<&JobEntry> {
        self.jobs.get(id)
    }
    pub fn active(&self) -> impl Iterator<Item = &ActiveJob> {
        self.active.iter().filter_map(|id| match self.jobs.get(id) {
            Some(JobEntry::Active(job)) => Some(&**job),
            _ => None,
        })
    }
    pub fn active_count(&self) -> usize {
        self.active.len()
    }
    /// The owner of a role, if its session lives.
    pub fn owner(&self, role: Role) -> Option<&Member> {
        let owner = &self.roles.get(&role)?.value;
        let session = self.sessions.get(&owner.owner)?;
        (session.value.lease == owner.lease).then_some(&owner.owner)
    }

    /// The one function that changes the mirror.
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
            Input::News {
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
                        Event::Put {
                            key,
                            value,
                            version,
                        } => {
                            self.put(&key, value, version, &mut changes);
                        }
                        Event::Delete { key, version } => {
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
            Input::Own {
                key,
                value: Some(value),
                version,
            } => {
                self.put(&key, value, version, &mut changes);
            }
            Input::Own {
                key,
                value: None,
                version,
            } => {
                if let Some(parsed) = Key::parse(&key) {
                    self.delete(parsed, version, &mut changes);
                    if version > self.revision {
                        self.buried.insert(key, version);
                    }
                }
            }
        }
        changes
    }

    /// Keys that can go away, with their versions. Jobs never do.
    fn keys(&self) -> Vec<(String, Revision)> {
        use jasperhill_wire::record::{ask_key, block_key, grant_key, role_key, session_key};
        let hosts = self.blocks.iter().map(|(n, v)| (block_key(*n), *v));
        let sessions = self
            .sessions
            .iter()
            .map(|(m, k)| (session_key(m), k.version));
        let roles = self.roles.iter().map(|(r, k)| (role_key(*r), k.version));
        let asks = self.asks.iter().map(|(m, k)| (ask_key(m), k.version));
        let grants = self
            .grants
            .iter()
            .map(|((p, m), k)| (grant_key(*p, m), k.version));
        hosts
            .chain(sessions)
            .chain(roles)
            .chain(asks)
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
                    self.put_block(n, block, version, changes);
                }
            }),
            Key::Session(member) => read(value).map(|value| {
                if newer(self.sessions.get(&member), version) {
                    self.sessions
                        .insert(member.clone(), Kept { value, version });
                    changes.push(Change::Session(member));
                }
            }),
            Key::Role(role) => read(value).map(|value| {
                if newer(self.roles.get(&role), version) {
                    self.roles.insert(role, Kept { value, version });
                    changes.push(Change::Role(role));
                }
            }),
            Key::Ask(keeper) => read(value).map(|value| {
                if newer(self.asks.get(&keeper), version) {
                    self.asks.insert(keeper.clone(), Kept { value, version });
                    changes.push(Change::Ask(keeper));
                }
            }),
            Key::Grant(p, keeper) => read(value).map(|value| {
                if newer(self.grants.get(&(p, keeper.clone())), version) {
                    self.grants.insert((p, keeper), Kept { value, version });
                    changes.push(Change::Grant);
                }
            }),
            Key::Types => read(value).map(|value| {
                if newer(self.types.as_ref(), version) {
                    self.types = Some(Kept { value, version });
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
        let gone: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(id, k)| k.block == n && !block.hosts.contains_key(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.hosts.remove(&id);
            changes.push(Change::Host(id));
        }
        for (id, value) in block.hosts {
            let same = |k: &KeptHost| k.block == n && k.value == value;
            if !self.hosts.get(&id).is_some_and(same) {
                let kept = KeptHost {
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
        let hosts = self.hosts.iter().filter(|(_, k)| k.block == n);
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
        match self.jobs.get(&id) {
            // Final phases are final.
            Some(JobEntry::Final { .. }) => return,
            Some(JobEntry::Active(job)) if version <= job.version => return,
            _ => {}
        }
        let entry = match (record.phase, record.request) {
            (RecordPhase::Active, Some(request)) => {
                self.active.insert(id.clone());
                JobEntry::Active(Box::new(ActiveJob {
                    request: match self.jobs.get(&id) {
                        Some(JobEntry::Active(old)) => old.request.clone(),
                        _ => Rc::new(request),
                    },
                    submitted: record.submitted.unwrap_or_default(),
                    finished: record.finished,
                    done_count: record.done_count,
                    failing: record.failing,
                    version,
                }))
            }
            (RecordPhase::Active, None) => return,
            (phase, _) => {
                self.active.remove(&id);
                JobEntry::Final {
                    phase,
                    done: record.done_count,
                }
            }
        };
        self.jobs.insert(id.clone(), entry);
        changes.push(Change::Job(id));
    }

    fn delete(&mut self, key: Key, version: Revision, changes: &mut Vec<Change>) {
        match key {
            Key::Hosts(n) => {
                if self.blocks.get(&n).is_some_and(|v| version > *v) {
                    self.blocks.remove(&n);
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
            Key::Ask(keeper) => {
                if self.asks.get(&keeper).is_some_and(|k| version > k.version) {
                    self.asks.remove(&keeper);
                }
            }
            Key::Grant(p, keeper) => {
                let key = (p, keeper);
                if self.grants.get(&key).is_some_and(|k| version > k.version) {
                    self.grants.remove(&key);
                }
            }
            // Jobs are never deleted, the types neither.
            Key::Job(_) | Key::Types => {}
        }
    }
}
