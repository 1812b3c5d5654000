use super::*;

fn secs(s: u64) -> Micros {
    Micros::from_secs(10_000 + s)
}

fn begun<'a>(id: &'a JobId, class: &'a Name, team: &'a Name) -> Input<'a> {
    Input::Begun {
        id,
        class,
        team,
        tasks: 4,
    }
}

#[test]
fn one_job_at_a_time_of_whoever_is_behind_gets_a_turn() {
    let (idle, urgent): (Name, Name) = ("idle".into(), "urgent".into());
    let teams: [Name; 2] = ["a".into(), "b".into()];
    let ids: Vec<JobId> = (0..8)
        .map(|n| JobId::parse(&format!("job-{n:06}")).unwrap())
        .collect();
    let mut floors = StarvationGuard::default();
    for n in 0..100 {
        let (class, team) = (&urgent, &teams[n % 2]);
        let id = &ids[7];
        floors.apply(begun(id, class, team), 0.6, secs(n as u64));
    }
    let waiting: Vec<WaitingJob<'_>> = (0..8)
        .map(|n| WaitingJob {
            id: &ids[n],
            groups: Group::all_of(if n < 4 { &idle } else { &urgent }, &teams[n % 2], 4).into(),
            since: secs(20 - n as u64),
            within: Micros::from_secs(10),
        })
        .collect();
    floors.apply(Input::Evaluate(&waiting), 0.6, secs(50));
    assert!(floors.shares().is_empty(), "nobody has waited for long");
    floors.apply(Input::Evaluate(&waiting), 0.6, secs(100));
    let turns: Vec<bool> = ids.iter().map(|id| floors.is_boosted(id)).collect();
    // The oldest two of the class that is behind; the other class and the teams are not.
    assert_eq!(
        turns,
        [false, false, true, true, false, false, false, false]
    );
    // With its first start the turn is over.
    let (id, class, team) = (&ids[3], &idle, &teams[1]);
    floors.apply(begun(id, class, team), 0.6, secs(100));
    assert!(!floors.is_boosted(id));
    let share = floors.shares()[&Group::Class(urgent.clone())].share;
    assert!(share > 0.9, "{share}");
    // Off, nobody gets a turn; and once enough have begun nobody needs one.
    floors.apply(Input::Evaluate(&waiting), 0.0, secs(100));
    assert!(!ids.iter().any(|id| floors.is_boosted(id)));
    for _ in 0..10 {
        let (class, team) = (&idle, &teams[0]);
        let id = &ids[7];
        floors.apply(begun(id, class, team), 0.6, secs(100));
    }
    floors.apply(Input::Evaluate(&waiting), 0.6, secs(101));
    assert!(!ids.iter().any(|id| floors.is_boosted(id)));
}
