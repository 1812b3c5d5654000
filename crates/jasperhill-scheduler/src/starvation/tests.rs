use super::*;

fn secs(s: u64) -> Micros {
    Micros::from_secs(10_000 + s)
}

fn started<'a>(id: &'a JobId, class: &'a Name, team: &'a Name) -> Input<'a> {
    Input::JobStarted {
        id,
        class,
        team,
        tasks: 4,
    }
}

#[test]
fn boosts_oldest_jobs_of_starved_class_until_first_start() {
    let (idle, urgent): (Name, Name) = ("idle".into(), "urgent".into());
    let teams: [Name; 2] = ["a".into(), "b".into()];
    let ids: Vec<JobId> = (0..8)
        .map(|n| JobId::parse(&format!("job-{n:06}")).unwrap())
        .collect();
    let mut guard = StarvationGuard::default();
    for n in 0..100 {
        let (class, team) = (&urgent, &teams[n % 2]);
        let id = &ids[7];
        guard.apply(started(id, class, team), 0.6, secs(n as u64));
    }
    let waiting: Vec<WaitingJob<'_>> = (0..8)
        .map(|n| WaitingJob {
            id: &ids[n],
            groups: Group::all_of(if n < 4 { &idle } else { &urgent }, &teams[n % 2], 4).into(),
            since: secs(20 - n as u64),
            within: Micros::from_secs(10),
        })
        .collect();
    guard.apply(Input::Evaluate(&waiting), 0.6, secs(50));
    assert!(guard.shares().is_empty(), "no job has waited for too long");
    guard.apply(Input::Evaluate(&waiting), 0.6, secs(100));
    let boosted: Vec<bool> = ids.iter().map(|id| guard.is_boosted(id)).collect();
    // The two oldest jobs of the starved class are boosted. The other class and the teams are not
    // starved.
    assert_eq!(
        boosted,
        [false, false, true, true, false, false, false, false]
    );
    // The boost of a job ends with its first started task.
    let (id, class, team) = (&ids[3], &idle, &teams[1]);
    guard.apply(started(id, class, team), 0.6, secs(100));
    assert!(!guard.is_boosted(id));
    let share = guard.shares()[&Group::Class(urgent.clone())].share;
    assert!(share > 0.9, "{share}");
    // No job is boosted with a minimum share of 0, or once enough jobs of the class have started.
    guard.apply(Input::Evaluate(&waiting), 0.0, secs(100));
    assert!(!ids.iter().any(|id| guard.is_boosted(id)));
    for _ in 0..10 {
        let (class, team) = (&idle, &teams[0]);
        let id = &ids[7];
        guard.apply(started(id, class, team), 0.6, secs(100));
    }
    guard.apply(Input::Evaluate(&waiting), 0.6, secs(101));
    assert!(!ids.iter().any(|id| guard.is_boosted(id)));
}
