//! Runs the scheduler: hands it what changes in the store, makes a pass after changes and every second,
//! and sends out what it decides.

mod cache_changes;
pub mod state;

use crate::{
    shared::Shared,
    state::State,
    watch_cache::{ActiveJob, JobEntry},
};
use jasperhill_scheduler::{
    dependencies::DependencyState,
    job::{DependencyStatus, Readiness, Termination},
    partition::Event,
};
use jasperhill_wire::{HostId, JobId, Micros, record::RecordPhase};
use std::{rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// How long changes are gathered before a pass, and how much longer for each job that waits.
const PASS_PAUSE: Duration = Duration::from_millis(10);
const PASS_PER_JOB: Duration = Duration::from_micros(60);
const PASS_PAUSE_MAX: Duration = Duration::from_millis(250);

impl Shared {
    /// How a job stands in its pipeline, by the steady clock.
    pub fn dependency_status(&self, state: &State, job: &ActiveJob) -> DependencyStatus {
        let id = &job.request.id;
        let claim = state.cache.dependencies.inherited_urgency(id);
        DependencyStatus {
            readiness: match state.cache.dependencies.state_of(id) {
                DependencyState::Ready => Readiness::Open,
                _ => Readiness::Waiting,
            },
            since: match state.scheduling.released.get(id) {
                Some(at) => *at,
                None => self.clock.steady(job.submitted),
            },
            due: claim.due.map(|due| self.clock.steady(due)),
            priority: claim.priority,
        }
    }

    /// A job's record has changed. True if a pass could make use of it.
    fn job_changed(&self, state: &mut State, id: &JobId, now: Micros) -> bool {
        if let Some((phase, _)) = state.cache.final_phase(id) {
            let ending = match phase {
                RecordPhase::Done => Termination::Done,
                _ => Termination::Cancelled,
            };
            state.scheduling.released.remove(id);
            for partition in state.scheduling.partitions.values_mut() {
                partition.end_job(id, ending, now);
            }
            return true;
        }
        let Some(JobEntry::Active(job)) = state.cache.job(id) else {
            return false;
        };
        let Some(p) = self.partition_of(&job.request.team) else {
            return false;
        };
        let place = self.dependency_status(state, job);
        let submitted = self.clock.steady(job.submitted);
        let Some(partition) = state.scheduling.partitions.get_mut(&p) else {
            return false;
        };
        let trust = (job.failed_attempts, now);
        let (request, version) = (&job.request, job.version);
        partition.upsert_job(request, version, submitted, &job.finished, trust);
        partition.set_dependency_status(id, place);
        true
    }

    /// A host's record has changed.
    fn host_changed(&self, state: &mut State, id: &HostId, now: Micros) {
        let record = state.cache.hosts.get(id).cloned();
        let home = record.as_ref().and_then(|k| k.value.partition());
        for (p, partition) in &mut state.scheduling.partitions {
            match &record {
                Some(kept) if home == Some(*p) => {
                    partition.upsert_host(id, &kept.value, kept.version, false, now);
                }
                _ if partition.hosts.contains_key(id) => partition.remove_host(id, now),
                _ => {}
            }
        }
        if home.is_none() {
            state.provisioning.returning.remove(id);
        }
    }

    /// How long changes are gathered before the next pass. Guards against passes through a long
    /// backlog for every change: a pass costs as much as there are waiting jobs, and with more of
    /// them none has to start within milliseconds.
    fn pass_pause(&self) -> Duration {
        let state = self.state.borrow();
        let backlog: usize = state
            .scheduling
            .partitions
            .values()
            .map(|p| p.backlog)
            .sum();
        let more = PASS_PER_JOB * backlog.min(10_000) as u32;
        PASS_PAUSE + more.min(PASS_PAUSE_MAX)
    }

    /// The loop that decides: after changes, and every second for what only time changes.
    pub async fn pass_loop(self: Rc<Self>) {
        let mut ticked = self.now();
        loop {
            let woken = timeout(Duration::from_secs(1), self.wake.scheduler.notified())
                .await
                .is_ok();
            if woken {
                // Changes come in groups.
                sleep(self.pass_pause()).await;
            }
            // In a large deployment something changes all the time: the tick comes all the
            // same, or hosts that did not answer after a takeover were never asked again.
            self.note_activity();
            let now = self.now();
            let tick = now - ticked >= Micros::from_secs(1);
            if tick {
                ticked = now;
            }
            self.clone().scheduling_pass(tick);
        }
    }

    pub fn scheduling_pass(self: Rc<Self>, tick: bool) {
        let now = self.now();
        let mut directs = Vec::new();
        let mut state = self.state.borrow_mut();
        if !state.authority.holds(now) {
            return;
        }
        for (p, partition) in &mut state.scheduling.partitions {
            if tick {
                // Hosts that have not shown the token yet are asked again.
                let unfenced: Vec<HostId> = partition
                    .hosts
                    .values()
                    .filter(|h| {
                        matches!(
                            h.fencing,
                            jasperhill_scheduler::FencingState::Unfenced { .. }
                        )
                    })
                    .map(|h| h.id.clone())
                    .collect();
                partition.dirty.extend(unfenced);
                if tracing::enabled!(tracing::Level::DEBUG) {
                    let [unknown, lapsed, doubt, silent, aside, draining] = partition.unusable(now);
                    tracing::debug!(
                        partition = *p,
                        hosts = partition.hosts.len(),
                        unknown,
                        lapsed,
                        doubt,
                        silent,
                        aside,
                        draining,
                        "hosts that get no tasks"
                    );
                }
            }
            if tick || partition.changed {
                partition.run_cycle(now);
            }
            for note in partition.events.drain(..) {
                log_note(&note);
            }
            for host in std::mem::take(&mut partition.dirty) {
                directs.push((*p, host));
            }
        }
        drop(state);
        self.queue_commands(directs, tick);
        self.clone().save_results();
        self.clone().write_cancelled();
        self.raise_tokens();
    }

    /// What must go at once when the session is gone: nothing is owned any more.
    pub fn drop_ownership(&self, state: &mut State, why: &str) {
        let parts: Vec<u32> = state.scheduling.partitions.keys().copied().collect();
        if !parts.is_empty() || state.provisioning.leader.is_some() {
            tracing::info!(
                ?parts,
                leader = state.provisioning.leader.is_some(),
                why,
                "authority lost"
            );
        }
        state.scheduling.partitions.clear();
        state.provisioning.leader = None;
    }
}

fn log_note(note: &Event) {
    match note {
        Event::HostLost(host) => tracing::info!(%host, "host lost: its lease has lapsed"),
        Event::HostQuarantined(host) => {
            tracing::info!(%host, "host set aside: it fails what it starts")
        }
        Event::Failed(task, host, ran) => {
            tracing::debug!(%task, %host, ran_s = ran.as_secs_f64(), "task failed");
        }
        Event::JobBackingOff(job) => tracing::info!(%job, "job suspect: it fails wherever it runs"),
        Event::Stopped(task, host, why) => tracing::info!(%task, %host, why, "task stopped"),
        Event::HostSlow(host, times) => {
            tracing::info!(%host, times, "host slow by what runs there")
        }
        Event::Starved(group, Some(s)) => tracing::info!(
            ?group,
            share = s.share,
            waiting = s.waiting,
            "behind its floor"
        ),
        Event::Starved(group, None) => tracing::info!(?group, "no more behind its floor"),
        Event::ProductionRecovered(r) => tracing::info!(
            after_s = r.after.as_secs_f64(),
            lost = r.lost,
            overtaken = r.overtaken,
            "production is whole again"
        ),
        Event::AllHostsConfirmed(after, lapsed) => tracing::info!(
            after_s = after.as_secs_f64(),
            lapsed,
            "all hosts are known after the takeover"
        ),
        Event::UnexpectedTask(task, host, why) => tracing::warn!(%task, %host, why, "task stopped"),
    }
}
