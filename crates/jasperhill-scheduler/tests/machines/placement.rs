//! Where tasks go, what makes room for them, and which hosts are emptied.

use crate::support::{NOW, all_runs, heartbeat, live, partition, request};
use jasperhill_scheduler::job::Termination;
use jasperhill_scheduler::{HeartbeatSource, HostInput, Partition};
use jasperhill_wire::user::{JobRequest, Priority};
use jasperhill_wire::worker::Command;
use jasperhill_wire::{HostId, JobId, Micros, Resources, Revision};
use std::rc::Rc;

#[test]
fn a_gang_passes_whole_and_is_mended_whole() {
    let mut part = partition(2, false);
    part.upsert_job(
        &request("job-1", "ensemble", 2, 2.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    part.run_cycle(NOW);
    assert_eq!(live(&part, "job-1"), 2);
    let attempt = part.jobs[&JobId::new("job-1")].attempt.unwrap();
    part.apply(&"n-1".into(), HostInput::Gone, NOW);
    part.run_cycle(NOW);
    let orders = part.commands(&"n-2".into());
    // Never sent, so taken back at once; nothing of the attempt is left.
    assert_eq!(orders, vec![]);
    assert_eq!(live(&part, "job-1"), 0);
    part.on_heartbeat(
        &heartbeat("n-1", 2, 20, 5, vec![]),
        HeartbeatSource::Heartbeat,
        NOW,
    );
    part.run_cycle(NOW);
    let next = part.jobs[&JobId::new("job-1")].attempt;
    assert!(next.is_none() || next > Some(attempt));
}

#[test]
fn a_cancelled_job_is_stopped_and_never_started() {
    let mut part = partition(1, false);
    part.upsert_job(
        &request("job-1", "daemon", 1, 1.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    part.run_cycle(NOW);
    let orders = part.commands(&"n-1".into());
    part.apply(&"n-1".into(), HostInput::Answered(&orders), NOW);
    part.end_job(&JobId::new("job-1"), Termination::Cancelled, NOW);
    part.run_cycle(NOW);
    let orders = part.commands(&"n-1".into());
    assert!(matches!(orders[..], [Command::Stop(..)]), "{orders:?}");
}

/// Small tasks without accelerators go where accelerators are taken or spoilt already; whole
/// machines stay for gangs that need them.
#[test]
fn tasks_without_accelerators_keep_off_the_cpus_of_free_ones() {
    let mut part = partition(6, false);
    // All accelerators of one machine are taken, and one of another: there the CPUs left over
    // are fewer, and the other accelerator's.
    for (id, cpus, gpus) in [("job-1", 14.0, 2.0), ("job-2", 15.0, 1.0)] {
        let mut gang = (*request(id, "ensemble", 1, 2.0, None)).clone();
        gang.each = Resources::from_units(cpus, gpus, 100.0);
        part.upsert_job(&Rc::new(gang), Revision(6), NOW, &[], (0, NOW));
    }
    part.run_cycle(NOW);
    let full = part.jobs[&JobId::new("job-1")].live[&0].clone();
    assert_ne!(full, part.jobs[&JobId::new("job-2")].live[&0]);
    let mut small = (*request("job-9", "array", 2, 0.0, None)).clone();
    small.each = Resources::from_units(1.0, 0.0, 1.0);
    part.upsert_job(&Rc::new(small), Revision(7), NOW, &[], (0, NOW));
    part.run_cycle(NOW);
    let live = &part.jobs[&JobId::new("job-9")].live;
    assert!(
        live.len() == 2 && live.values().all(|h| h == &full),
        "{live:?}"
    );
}

/// Guards against hosts that wait for a long task and hold up the emptying of others, and
/// against hosts that stay out of use when what is wanted has risen again.
#[test]
fn what_is_empty_soonest_is_emptied_first_and_used_again_when_wanted() {
    let mut part = partition(4, false);
    for (job, shape, estimate) in [("job-1", "array", 60), ("job-2", "array", 5)] {
        let mut r = (*request(job, shape, 1, 2.0, None)).clone();
        r.estimate = Micros::from_secs(estimate);
        part.upsert_job(&Rc::new(r), Revision(6), NOW, &[], (0, NOW));
    }
    part.run_cycle(NOW);
    let host_of = |part: &Partition, job: &str| part.jobs[&JobId::new(job)].live[&0].clone();
    let (long, short) = (host_of(&part, "job-1"), host_of(&part, "job-2"));
    let drained = |part: &Partition| -> Vec<HostId> {
        let hosts = part.hosts.values().filter(|h| h.draining.is_some());
        hosts.map(|h| h.id.clone()).collect()
    };
    // Ordinary machines are not too many: none is emptied.
    part.drain_surplus(NOW, (2, 0));
    assert_eq!(drained(&part), Vec::<HostId>::new());
    part.drain_surplus(NOW, (1, 1));
    assert_eq!(drained(&part), [short]);
    part.drain_surplus(NOW, (2, 2));
    assert_eq!(part.hosts[&long].draining, Some(NOW));
    part.drain_surplus(NOW, (1, 2));
    assert_eq!(drained(&part).len(), 1);
    part.drain_surplus(NOW, (0, 0));
    assert_eq!(drained(&part), Vec::<HostId>::new());
}

fn whole_host(id: &str, shape: &str, tasks: u32, priority: Priority) -> Rc<JobRequest> {
    let mut r = (*request(id, shape, tasks, 0.0, None)).clone();
    r.each = Resources::from_units(16.0, 0.0, 1.0);
    r.priority = priority;
    Rc::new(r)
}

/// Guards against lesser work that takes, while a lease runs out, the room that a lost replica
/// needs: and against room that stays kept when the host is back.
#[test]
fn room_for_a_replica_on_a_silent_host_is_kept_from_lesser_work() {
    let mut part = partition(2, false);
    let service = whole_host("job-live", "daemon", 1, Priority::Production);
    part.upsert_job(&service, Revision(6), NOW, &[], (0, NOW));
    part.run_cycle(NOW);
    let home = part.jobs[&JobId::new("job-live")].live[&0].clone();
    let other = if home.as_str() == "n-1" { "n-2" } else { "n-1" };
    all_runs(&mut part, home.as_str(), 5, NOW);
    let silent = NOW + Micros::from_secs(7);
    part.on_heartbeat(
        &heartbeat(other, 1, 5, 5, vec![]),
        HeartbeatSource::Heartbeat,
        silent,
    );
    let lesser = whole_host("job-batch", "array", 1, Priority::Normal);
    part.upsert_job(&lesser, Revision(7), silent, &[], (0, silent));
    part.run_cycle(silent);
    assert_eq!(live(&part, "job-batch"), 0);
    // It is heard again: the room is free for all.
    let back = silent + Micros::from_secs(1);
    all_runs(&mut part, home.as_str(), 6, back);
    part.run_cycle(back);
    assert_eq!(live(&part, "job-batch"), 1);
    // And without it in the way, the replica is whole again as soon as its host is lost.
    part.end_job(&JobId::new("job-batch"), Termination::Cancelled, back);
    part.on_heartbeat(
        &heartbeat(other, 1, 6, 5, vec![]),
        HeartbeatSource::Heartbeat,
        back,
    );
    part.run_cycle(back);
    let lost = back + part.config.lease_expiry();
    part.on_heartbeat(
        &heartbeat(other, 1, 7, 5, vec![]),
        HeartbeatSource::Heartbeat,
        lost,
    );
    part.apply(&other.into(), HostInput::Answered(&[]), lost);
    part.run_cycle(lost);
    assert!(part.recovery.is_incomplete());
    let now = part.jobs[&JobId::new("job-live")].live[&0].clone();
    assert_eq!(now.as_str(), other);
    all_runs(&mut part, other, 8, lost);
    part.run_cycle(lost + Micros::from_secs(1));
    assert!(!part.recovery.is_incomplete());
}

/// Guards against a replica that waits for as long as a gang of several tasks runs.
#[test]
fn a_replica_takes_the_place_of_a_gang_where_there_is_no_other() {
    let mut part = partition(2, false);
    let gang = whole_host("job-gang", "ensemble", 2, Priority::High);
    part.upsert_job(&gang, Revision(6), NOW, &[], (0, NOW));
    part.run_cycle(NOW);
    assert_eq!(live(&part, "job-gang"), 2);
    for (counter, host) in [(5, "n-1"), (6, "n-2")] {
        all_runs(&mut part, host, counter, NOW);
    }
    let service = whole_host("job-live", "daemon", 1, Priority::Production);
    part.upsert_job(&service, Revision(7), NOW, &[], (0, NOW));
    part.run_cycle(NOW);
    let stops = |host: &str| {
        let orders = part.commands(&host.into());
        orders.iter().any(|o| matches!(o, Command::Stop(..)))
    };
    assert!(stops("n-1") && stops("n-2"));
}
