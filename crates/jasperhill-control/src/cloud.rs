//! The cloud: machine types, the leader's rentals and returns, and the owners' giving up of
//! hosts that they do not need.

use crate::{
    controller::{Inner, State},
    hostbook::Edit,
    mirror::KeptHost,
    store::{Urgency, Written, guard, put},
};
use jasperhill_http::{Method, Request, Response};
use jasperhill_sched::{
    Reach,
    config::specs,
    fleet::{Demand, Need, plan},
};
use jasperhill_wire::{
    HostId, Micros, Name, Revision,
    cloud::{HostNames, Machine, MachineList, MachinePhase, MachineTypes, RentRequest},
    mesh::MeshRequest,
    record::{HostRecord, HostUse, Role, TYPES_KEY, role_key},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;

pub(crate) struct Booting {
    pub zone: Name,
    pub spot: bool,
    pub since: Micros,
}

/// What the leader of the fleet knows. Lost with the role; the machine list brings it back.
pub(crate) struct Leader {
    pub since: Revision,
    counter: u64,
    pub booting: BTreeMap<HostId, Booting>,
    /// When a machine was first seen in a list.
    listed: BTreeMap<HostId, Micros>,
    /// No capacity there before.
    refused: BTreeMap<(Name, Name, bool), Micros>,
    /// A rental whose answer is not known yet: asked again under the same name.
    rental: Option<RentRequest>,
    last_list: Micros,
    complete: bool,
    free_since: BTreeMap<HostId, Micros>,
    /// Machines returned already, which the list may still show.
    returned: BTreeMap<HostId, Micros>,
}

/// The record with another use. Every edit raises the count, so that a record never looks
/// as it did before: its new revision is always seen, and the host's token rises.
fn moved(kept: &KeptHost, usage: HostUse) -> HostRecord {
    HostRecord {
        usage,
        bump: kept.value.bump + 1,
        ..kept.value.clone()
    }
}

impl Leader {
    pub fn new(since: Revision, now: Micros) -> Self {
        Self {
            since,
            counter: 0,
            booting: BTreeMap::new(),
            listed: BTreeMap::new(),
            refused: BTreeMap::new(),
            rental: None,
            last_list: now - Micros::from_secs(3_000),
            complete: false,
            free_since: BTreeMap::new(),
            returned: BTreeMap::new(),
        }
    }
}

/// Hosts of a partition emptied at a time, at most.
const DRAIN_MAX: i64 = 32;
/// Machines asked for in one request, at most; the cloud's own bound.
const RENT_MAX: u32 = 50;

/// What a partition should have and has.
#[derive(Clone, Copy, Debug, Default)]
struct Stock {
    want: i64,
    want_ordinary: i64,
    /// For production and urgent work alone.
    want_first: i64,
    have: i64,
    have_ordinary: i64,
}

/// What the partitions lack, kept up to date while machines are given out.
pub(crate) struct Needs {
    stocks: Vec<Stock>,
    /// Hosts of each partition in each zone.
    here: BTreeMap<(u32, Name), i64>,
}

impl Needs {
    /// The partition that a machine does the most good to: production and urgent work
    /// first, then the greatest lack, then the one with the fewest hosts in that zone, so
    /// that replicas can be spread.
    pub fn neediest(&self, zone: &Name, spot: bool) -> u32 {
        let here = |p: usize| {
            self.here
                .get(&(p as u32, zone.clone()))
                .copied()
                .unwrap_or(0)
        };
        (0..self.stocks.len())
            .max_by_key(|i| {
                let s = &self.stocks[*i];
                let first = (s.want_first - s.have).max(0);
                let ordinary = if spot {
                    0
                } else {
                    (s.want_ordinary - s.have_ordinary).max(0)
                };
                let lack = (s.want - s.have).max(0);
                (
                    first,
                    (lack > 0, -here(*i)),
                    lack,
                    ordinary,
                    -s.have,
                    std::cmp::Reverse(*i),
                )
            })
            .unwrap_or(0) as u32
    }

    /// A machine of that kind was given to that partition.
    pub fn given(&mut self, partition: u32, zone: &Name, spot: bool) {
        if let Some(s) = self.stocks.get_mut(partition as usize) {
            s.have += 1;
            s.have_ordinary += i64::from(!spot);
        }
        *self.here.entry((partition, zone.clone())).or_default() += 1;
    }
}

impl Inner {
    pub async fn cloud_loop(self: Rc<Self>) {
        let mut types_at: Option<Micros> = None;
        loop {
            let now = self.now();
            let (known, leads) = {
                let state = self.state.borrow();
                (state.specs.is_some(), state.leader.is_some())
            };
            let stale = types_at.is_none_or(|t| now - t > Micros::from_secs(120));
            if (!known || (leads && stale)) && self.fetch_types().await {
                types_at = Some(now);
            }
            if leads && self.has_authority() {
                self.lead().await;
            }
            self.tell_unmet();
            self.clone().give_up();
            sleep(Duration::from_secs(1)).await;
        }
    }

    async fn cloud_call(&self, method: Method, target: &str, body: Vec<u8>) -> Option<Response> {
        loop {
            let taken = self.state.borrow_mut().cloud.take(1.0, self.clock.now());
            match taken {
                Ok(()) => break,
                Err(wait) => sleep(crate::controller::std_time(wait)).await,
            }
        }
        let request = Request::new(method, target, body);
        self.call(self.settings.cloud, request, Micros::from_secs(4))
            .await
            .ok()
    }

    async fn fetch_types(&self) -> bool {
        let Some(answer) = self
            .cloud_call(Method::Get, "/machine_types", Vec::new())
            .await
        else {
            return false;
        };
        if answer.status != 200 {
            return false;
        }
        let types: MachineTypes = match serde_json::from_slice(&answer.body) {
            Ok(types) => types,
            Err(error) => {
                tracing::warn!(%error, "machine types that are not understood");
                return false;
            }
        };
        let write = {
            let mut state = self.state.borrow_mut();
            state.specs = Some(Rc::new(specs(&types.types)));
            let old = state.mirror.types.as_ref();
            match (&state.leader, old) {
                (Some(leader), None) if state.mirror.is_synced() => Some(leader.since),
                _ => None,
            }
        };
        self.wake_roles.notify_one();
        if let Some(since) = write {
            let guards = vec![
                guard(role_key(Role::Leader), since),
                guard(TYPES_KEY, Revision(0)),
            ];
            let change = put(TYPES_KEY, &types);
            self.write(Urgency::Rest, guards, vec![change], Micros::from_secs(5))
                .await;
        }
        true
    }

    /// What every partition should have and has, by the mirror alone.
    fn stocks(&self, state: &State) -> Vec<Stock> {
        let Some(specs) = &state.specs else {
            return Vec::new();
        };
        let wall = self.clock.wall();
        let demands: Vec<Demand<'_>> = state
            .mirror
            .active()
            // No machine is rented for what fails wherever it runs.
            .filter(|job| job.failing == 0)
            .filter_map(|job| {
                Some(Demand {
                    request: &job.request,
                    partition: self.partition_of(&job.request.team)?,
                    unfinished: job.request.tasks.saturating_sub(job.done_count),
                    left: job.request.deadline.map(|d| (job.submitted + d) - wall),
                })
            })
            .collect();
        let head = 1.0 + self.settings.own.tuning.headroom;
        let planned = |need: f64| need * head;
        let boot = specs.values().map(|s| s.boot).max().unwrap_or_default();
        let now = self.now();
        let mut stocks: Vec<Stock> = plan(&demands, &self.sched, specs)
            .iter()
            .enumerate()
            .map(|(p, need): (usize, &Need)| {
                let expected = state.arrivals.expected(p as u32, boot, now);
                let coming = expected
                    + match state.unmet.get(&(p as u32)) {
                        Some((hosts, at)) if now - *at < Micros::from_secs(8) => *hosts,
                        _ => 0.0,
                    };
                Stock {
                    want: (planned(need.total()) + coming + 0.5).ceil() as i64,
                    want_ordinary: (planned(need.ordinary) + expected + 0.5).ceil() as i64,
                    want_first: (planned(need.pressing) + 0.5).ceil() as i64,
                    ..Stock::default()
                }
            })
            .collect();
        for kept in state.mirror.hosts.values() {
            if let HostUse::Partition(p) = kept.value.usage
                && let Some(stock) = stocks.get_mut(p as usize)
            {
                stock.have += 1;
                stock.have_ordinary += i64::from(!kept.value.spot);
            }
        }
        stocks
    }

    /// What the partitions lack, for giving machines to them.
    pub fn needs(&self, state: &State) -> Needs {
        let mut here: BTreeMap<(u32, Name), i64> = BTreeMap::new();
        for kept in state.mirror.hosts.values() {
            if let Some(p) = kept.value.partition() {
                *here.entry((p, kept.value.zone.clone())).or_default() += 1;
            }
        }
        Needs {
            stocks: self.stocks(state),
            here,
        }
    }

    /// One round of the leader: look, return, assign, rent.
    async fn lead(self: &Rc<Self>) {
        let now = self.now();
        let pause = self.settings.list_lag.scale(0.3).max(Micros::from_secs(2));
        let due = {
            let state = self.state.borrow();
            state
                .leader
                .as_ref()
                .is_some_and(|l| now - l.last_list >= pause)
        };
        if due {
            self.look().await;
        }
        self.release().await;
        self.assign_free();
        self.rent().await;
        self.tell_elastic();
    }

    /// Reads the machine list and draws conclusions from it.
    async fn look(self: &Rc<Self>) {
        let sent = self.now();
        let (mut all, mut after) = (Vec::<Machine>::new(), String::new());
        loop {
            let target = if after.is_empty() {
                "/rentals?page=500".to_owned()
            } else {
                format!("/rentals?after={after}&page=500")
            };
            let Some(answer) = self.cloud_call(Method::Get, &target, Vec::new()).await else {
                return;
            };
            if answer.status != 200 {
                return;
            }
            let page: MachineList = match serde_json::from_slice(&answer.body) {
                Ok(page) => page,
                Err(error) => {
                    tracing::warn!(%error, "a machine list that is not understood");
                    return;
                }
            };
            let end = page.hosts.last().map(|m| m.id.to_string());
            all.extend(page.hosts);
            match end {
                Some(end) if page.more => after = end,
                _ => break,
            }
        }
        let now = self.now();
        let mut deletes: Vec<(HostId, KeptHost)> = Vec::new();
        let mut returns: BTreeSet<HostId> = BTreeSet::new();
        {
            let mut guarded = self.state.borrow_mut();
            let State {
                leader,
                mirror,
                specs,
                releasing,
                ..
            } = &mut *guarded;
            let (Some(leader), Some(specs)) = (leader.as_mut(), specs) else {
                return;
            };
            leader.last_list = now;
            leader.complete = true;
            let present: BTreeSet<&HostId> = all.iter().map(|m| &m.id).collect();
            // A machine that was listed stays listed until it is gone, and lists are at most
            // twice the lag old: absent from one asked for later than that, it is gone.
            let old = self.settings.list_lag.scale(2.0) + Micros::from_secs(2);
            for (id, kept) in &mirror.hosts {
                if let Some(first) = leader.listed.get(id)
                    && !present.contains(id)
                    && sent >= *first + old
                {
                    deletes.push((id.clone(), kept.clone()));
                }
            }
            leader
                .listed
                .retain(|id, first| present.contains(id) || sent < *first + old + old);
            leader.returned.retain(|_, at| now < *at + old + old);
            for machine in all.iter().filter(|m| !leader.returned.contains_key(&m.id)) {
                let first = *leader.listed.entry(machine.id.clone()).or_insert(now);
                if mirror.hosts.contains_key(&machine.id) {
                    leader.booting.remove(&machine.id);
                    if machine.phase == MachinePhase::Failed {
                        returns.insert(machine.id.clone());
                    }
                    continue;
                }
                let boot = specs
                    .get(&machine.kind)
                    .map_or(Micros::from_secs(60), |s| s.boot);
                let age = Micros::from_secs_f64(machine.age_s);
                match machine.phase {
                    MachinePhase::Failed => {
                        returns.insert(machine.id.clone());
                    }
                    MachinePhase::Booting if age > boot.scale(4.0) + Micros::from_secs(20) => {
                        tracing::info!(host = %machine.id, "never came up");
                        returns.insert(machine.id.clone());
                    }
                    MachinePhase::Booting => {
                        if !releasing.contains(&machine.id) {
                            leader.booting.entry(machine.id.clone()).or_insert(Booting {
                                zone: machine.zone.clone(),
                                spot: machine.spot,
                                since: now - age,
                            });
                        }
                    }
                    MachinePhase::Running if now - first > Micros::from_secs(60) => {
                        tracing::info!(host = %machine.id, "runs but does not report");
                        returns.insert(machine.id.clone());
                    }
                    MachinePhase::Running => {}
                }
            }
            // What was rented and neither listed nor heard of in good time does not count.
            let limit = specs
                .values()
                .map(|s| s.boot)
                .max()
                .unwrap_or_default()
                .scale(4.0)
                + Micros::from_secs(30);
            leader
                .booting
                .retain(|id, b| !returns.contains(id) && now - b.since < limit);
            releasing.extend(returns);
        }
        for (id, kept) in deletes {
            tracing::info!(host = %id, "host gone from the machine list");
            self.clone().spawn(self.clone().delete_host(id, kept));
        }
    }

    async fn delete_host(self: Rc<Self>, id: HostId, kept: KeptHost) {
        let Some(since) = self.state.borrow().leader.as_ref().map(|l| l.since) else {
            return;
        };
        let edit = Edit {
            urgency: Urgency::Finish,
            role: (Role::Leader, since),
            host: id.clone(),
            was: Some(kept.version),
            becomes: None,
            by: self.now() + Micros::from_secs(5),
        };
        if let Written::Done(_) = self.edit_host(kept.block, edit).await {
            self.state.borrow_mut().book.displace(&id);
        }
    }

    /// Returns what is condemned or never came into use. The record goes only when the
    /// machine is gone for sure.
    async fn release(self: &Rc<Self>) {
        let names: Vec<HostId> = {
            let state = self.state.borrow();
            let condemned = state
                .mirror
                .hosts
                .iter()
                .filter(|(_, k)| matches!(k.value.usage, HostUse::Condemned(_)))
                .map(|(id, _)| id.clone());
            state
                .releasing
                .iter()
                .filter(|id| {
                    state.mirror.hosts.get(*id).is_none_or(|k| {
                        matches!(k.value.usage, HostUse::Condemned(_))
                            || k.value.partition().is_some()
                    })
                })
                .cloned()
                .chain(condemned)
                .collect::<BTreeSet<_>>()
                .into_iter()
                .take(100)
                .collect()
        };
        if names.is_empty() || !self.has_authority() {
            return;
        }
        let body = serde_json::to_vec(&HostNames {
            hosts: names.clone(),
        })
        .unwrap_or_default();
        let Some(answer) = self
            .cloud_call(Method::Post, "/rentals/release", body)
            .await
        else {
            return;
        };
        if answer.status != 200 {
            return;
        }
        let mut deletes = Vec::new();
        let now = self.now();
        {
            let mut state = self.state.borrow_mut();
            for id in names {
                tracing::info!(host = %id, "returned to the cloud");
                state.releasing.remove(&id);
                if let Some(leader) = state.leader.as_mut() {
                    leader.returned.insert(id.clone(), now);
                }
                if let Some(kept) = state.mirror.hosts.get(&id) {
                    deletes.push((id, kept.clone()));
                }
            }
        }
        for (id, kept) in deletes {
            self.clone().spawn(self.clone().delete_host(id, kept));
        }
    }

    /// Gives free hosts to partitions that are short, and condemns those nobody needs.
    fn assign_free(self: &Rc<Self>) {
        let now = self.now();
        let mut moves = Vec::new();
        {
            let mut guarded = self.state.borrow_mut();
            let mut stocks = self.stocks(&guarded);
            let state = &mut *guarded;
            let Some(leader) = state.leader.as_mut() else {
                return;
            };
            let free: Vec<_> = state
                .mirror
                .hosts
                .iter()
                .filter(|(_, k)| k.value.usage == HostUse::Free)
                .map(|(id, k)| (id.clone(), k.clone()))
                .collect();
            leader
                .free_since
                .retain(|id, _| free.iter().any(|(f, _)| f == id));
            for (id, kept) in free {
                let since = *leader.free_since.entry(id.clone()).or_insert(now);
                let short = (0..stocks.len()).max_by_key(|i| {
                    let s = &stocks[*i];
                    ((s.want_first - s.have).max(0), s.want - s.have)
                });
                let usage = match short {
                    Some(p) if stocks[p].want > stocks[p].have => {
                        stocks[p].have += 1;
                        HostUse::Partition(p as u32)
                    }
                    _ if now - since > Micros::from_secs(5) => HostUse::Condemned(None),
                    _ => continue,
                };
                if state.bumping.insert(id.clone()) {
                    moves.push((id, kept, usage, leader.since));
                }
            }
        }
        for (id, kept, usage, since) in moves {
            let inner = self.clone();
            self.clone().spawn(async move {
                let edit = Edit {
                    urgency: Urgency::Finish,
                    role: (Role::Leader, since),
                    host: id.clone(),
                    was: Some(kept.version),
                    becomes: Some(moved(&kept, usage)),
                    by: inner.now() + Micros::from_secs(3),
                };
                if let Written::Done(_) = inner.edit_host(kept.block, edit).await {
                    tracing::info!(host = %id, ?usage, "host moved");
                }
                inner.state.borrow_mut().bumping.remove(&id);
            });
        }
    }

    /// Refused jobs come again: the fleet grows for them as for accepted ones.
    fn tell_unmet(self: &Rc<Self>) {
        let now = self.now();
        let mut tell = Vec::new();
        {
            let mut guarded = self.state.borrow_mut();
            let state = &mut *guarded;
            for p in state.partitions.keys() {
                let hosts: f64 = state
                    .first_asked
                    .values()
                    .filter(|r| r.partition == *p && now - r.last < Micros::from_secs(6))
                    .map(|r| r.hosts / 1.5)
                    .sum();
                let old = state.unmet.insert(*p, (hosts, now)).map_or(0.0, |(h, _)| h);
                if hosts > 0.0 || old > 0.0 {
                    tell.push((*p, (hosts * 1e3) as u32));
                }
            }
        }
        for (partition, thousandths) in tell {
            for peer in &self.settings.peers {
                let (inner, address) = (self.clone(), peer.address);
                self.clone().spawn(async move {
                    let ask = MeshRequest::Unmet {
                        partition,
                        thousandths,
                    };
                    inner.ask(address, ask, Micros::from_secs(1)).await;
                });
            }
        }
    }

    /// Tells the others how many machines can still be had, for their admission tests.
    fn tell_elastic(self: &Rc<Self>) {
        let now = self.now();
        let machines = {
            let mut guarded = self.state.borrow_mut();
            let state = &mut *guarded;
            let (Some(leader), Some(specs)) = (&state.leader, &state.specs) else {
                return;
            };
            let open = specs
                .values()
                .flat_map(|s| s.zones.iter().map(move |z| (&s.kind, z)))
                .flat_map(|(k, z)| [(k, z, false), (k, z, true)])
                .filter(|(k, z, spot)| {
                    let place = ((*k).clone(), (*z).clone(), *spot);
                    leader.refused.get(&place).is_none_or(|until| now >= *until)
                })
                .count();
            // How many a place still has is not known: some in proportion to the fleet.
            let each = (state.mirror.hosts.len() / 20).max(3);
            let machines = (leader.booting.len() + each * open) as u32;
            state.elastic = Some((machines, now));
            machines
        };
        for peer in &self.settings.peers {
            let (inner, address) = (self.clone(), peer.address);
            self.clone().spawn(async move {
                inner
                    .ask(
                        address,
                        MeshRequest::Elastic(machines),
                        Micros::from_secs(1),
                    )
                    .await;
            });
        }
    }

    /// The next rental, if machines are short.
    fn next_rental(&self) -> Option<RentRequest> {
        let now = self.now();
        let mut guarded = self.state.borrow_mut();
        let stocks = self.stocks(&guarded);
        let state = &mut *guarded;
        let specs = state.specs.clone()?;
        let leader = state.leader.as_mut()?;
        if let Some(rental) = &leader.rental {
            return Some(rental.clone());
        }
        if !leader.complete {
            return None;
        }
        let free = state
            .mirror
            .hosts
            .values()
            .filter(|k| k.value.usage == HostUse::Free)
            .count();
        let booting = leader.booting.len() as i64 + free as i64;
        let booting_spot = leader.booting.values().filter(|b| b.spot).count() as i64;
        let booting_ordinary = leader.booting.len() as i64 - booting_spot;
        let sum = |f: &dyn Fn(&Stock) -> i64| stocks.iter().map(|s| f(s).max(0)).sum::<i64>();
        let short = sum(&|s| s.want - s.have) - booting;
        let short_ordinary = sum(&|s| s.want_ordinary - s.have_ordinary) - booting_ordinary;
        // Work that may run on spot machines makes way on the ordinary ones: where those have
        // run out, spot machines help as well.
        let short_spot = sum(&|s| (s.want - s.want_ordinary) - (s.have - s.have_ordinary))
            .min(sum(&|s| s.want - s.have))
            - booting_spot;
        let order = if short_ordinary > 0 {
            [(short_ordinary, false), (short.min(short_spot), true)]
        } else {
            [(short, true), (short, false)]
        };
        leader.refused.retain(|_, until| *until > now);
        for (count, spot) in order {
            if count <= 0 {
                continue;
            }
            // Where the fewest are, so that a lost zone takes the least with it.
            let mut places: Vec<(usize, u64, Name, Name)> = specs
                .values()
                .flat_map(|s| s.zones.iter().map(move |z| (s, z)))
                .filter(|(s, z)| {
                    !leader
                        .refused
                        .contains_key(&(s.kind.clone(), (*z).clone(), spot))
                })
                .map(|(s, z)| {
                    let here = state
                        .mirror
                        .hosts
                        .values()
                        .filter(|k| &k.value.zone == z)
                        .count()
                        + leader.booting.values().filter(|b| &b.zone == z).count();
                    let price = if spot { s.spot_price } else { s.price };
                    (here, (price * 1e3) as u64, s.kind.clone(), z.clone())
                })
                .collect();
            places.sort();
            if let Some((_, _, kind, zone)) = places.into_iter().next() {
                leader.counter += 1;
                let spread = (count as u32).div_ceil(2).clamp(1, RENT_MAX);
                let rental = RentRequest {
                    // Unique: the revision of this leadership, and a counter.
                    request: format!("r-{}-{}", leader.since, leader.counter),
                    kind,
                    zone,
                    spot,
                    count: spread.min(count as u32),
                };
                leader.rental = Some(rental.clone());
                return Some(rental);
            }
        }
        None
    }

    async fn rent(self: &Rc<Self>) {
        for _ in 0..3 {
            if !self.has_authority() {
                return;
            }
            let Some(rental) = self.next_rental() else {
                return;
            };
            let body = serde_json::to_vec(&rental).unwrap_or_default();
            let answer = self.cloud_call(Method::Post, "/rentals", body).await;
            let now = self.now();
            let mut state = self.state.borrow_mut();
            let Some(leader) = state.leader.as_mut() else {
                return;
            };
            match answer {
                Some(a) if a.status == 200 => {
                    leader.rental = None;
                    let hosts = serde_json::from_slice::<HostNames>(&a.body)
                        .map(|n| n.hosts)
                        .unwrap_or_default();
                    tracing::info!(
                        rental = %rental.request, zone = %rental.zone, spot = rental.spot,
                        wanted = rental.count, got = hosts.len(), ?hosts, "rented"
                    );
                    if hosts.len() < rental.count as usize {
                        let place = (rental.kind.clone(), rental.zone.clone(), rental.spot);
                        leader.refused.insert(place, now + Micros::from_secs(15));
                    }
                    for id in hosts {
                        let booting = Booting {
                            zone: rental.zone.clone(),
                            spot: rental.spot,
                            since: now,
                        };
                        leader.booting.insert(id, booting);
                    }
                }
                Some(a) if a.status == 503 && a.body.windows(8).any(|w| w == b"capacity") => {
                    tracing::info!(zone = %rental.zone, spot = rental.spot, "no capacity");
                    leader.rental = None;
                    let place = (rental.kind, rental.zone, rental.spot);
                    leader.refused.insert(place, now + Micros::from_secs(15));
                }
                Some(a) if a.status == 400 => {
                    tracing::warn!(rental = %rental.request, "rental refused as malformed");
                    leader.rental = None;
                }
                // An outage, a limit or no answer: the same name again later.
                _ => return,
            }
        }
    }

    /// Owners give up hosts that they do not need, and condemn those that are lost or bad.
    /// The host is out of use here before the write, and back only by the record.
    fn give_up(self: Rc<Self>) {
        let now = self.now();
        let mut gifts = Vec::new();
        {
            let mut guarded = self.state.borrow_mut();
            if !guarded.authority.holds(now) {
                return;
            }
            let mut stocks = self.stocks(&guarded);
            let state = &mut *guarded;
            let short = stocks.iter().any(|s| s.want > s.have);
            for (p, partition) in &mut state.partitions {
                let Some(stock) = stocks.get_mut(*p as usize) else {
                    continue;
                };
                let keep = if short {
                    Micros::from_secs(1)
                } else {
                    self.settings.own.tuning.idle_keep
                };
                if stock.have > stock.want {
                    // One by one would take too long where hundreds are too many.
                    let most = ((stock.have - stock.want) / 4).clamp(1, DRAIN_MAX) as usize;
                    let ordinary = stock.have_ordinary > stock.want_ordinary;
                    partition.drain_some(now, ordinary, most);
                }
                let ids: Vec<HostId> = partition.hosts.keys().cloned().collect();
                for id in ids {
                    let Some(host) = partition.hosts.get(&id) else {
                        continue;
                    };
                    if !matches!(host.usage, HostUse::Partition(_)) || state.bumping.contains(&id) {
                        continue;
                    }
                    let lost = host.reach == Reach::Lapsed
                        && now - host.last_answer > self.sched.lapse() + Micros::from_secs(30);
                    let bad = host.is_empty() && (host.is_faulty(now) || host.slowness > 2.2);
                    let spare = stock.have > stock.want
                        && (host.spot || stock.have_ordinary > stock.want_ordinary)
                        && partition.is_spare(&id, now, keep);
                    let usage = if lost || (bad && host.reach == Reach::Fenced) {
                        HostUse::Condemned(None)
                    } else if spare && short {
                        HostUse::Free
                    } else if spare {
                        // Nobody is short: it need not go by way of the leader.
                        HostUse::Condemned(None)
                    } else {
                        continue;
                    };
                    let Some(kept) = state.mirror.hosts.get(&id) else {
                        continue;
                    };
                    stock.have -= 1;
                    stock.have_ordinary -= i64::from(!kept.value.spot);
                    state.bumping.insert(id.clone());
                    gifts.push((*p, partition.since, id.clone(), kept.clone(), usage));
                    if let Some(host) = partition.hosts.get_mut(&id) {
                        host.usage = usage;
                    }
                }
            }
        }
        for (p, since, id, kept, usage) in gifts {
            let inner = self.clone();
            self.clone().spawn(async move {
                let old = kept.value.usage;
                let edit = Edit {
                    urgency: Urgency::Rest,
                    role: (Role::Partition(p), since),
                    host: id.clone(),
                    was: Some(kept.version),
                    becomes: Some(moved(&kept, usage)),
                    by: inner.now() + Micros::from_secs(5),
                };
                let done = inner.edit_host(kept.block, edit).await;
                if let Written::Done(_) = done {
                    tracing::info!(host = %id, ?usage, "host given up");
                } else {
                    inner.take_back(p, since, &id, old).await;
                }
                inner.state.borrow_mut().bumping.remove(&id);
            });
        }
    }

    /// After a gift that failed, or may still be carried out: the host is used again only
    /// once its record has been rewritten, which kills the late write.
    async fn take_back(self: &Rc<Self>, p: u32, since: Revision, id: &HostId, usage: HostUse) {
        loop {
            sleep(Duration::from_millis(500)).await;
            let kept = {
                let state = self.state.borrow();
                if state
                    .partitions
                    .get(&p)
                    .is_none_or(|part| part.since != since)
                {
                    return;
                }
                state.mirror.hosts.get(id).cloned()
            };
            let Some(kept) = kept.filter(|k| k.value.usage == usage) else {
                return;
            };
            let edit = Edit {
                urgency: Urgency::Rest,
                role: (Role::Partition(p), since),
                host: id.clone(),
                was: Some(kept.version),
                becomes: Some(moved(&kept, usage)),
                by: self.now() + Micros::from_secs(5),
            };
            match self.edit_host(kept.block, edit).await {
                Written::Done(_) => return,
                _ => {
                    self.barrier().await;
                }
            }
        }
    }
}
