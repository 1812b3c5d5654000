use super::*;

const AT: Micros = Micros::from_secs(1_000);
const P: Role = Role::Partition(0);

fn member(n: usize) -> Member {
    Member::new(&format!("m{n}"))
}

/// Three members with sessions; `m0` is looking and owns partition 0 of a hundred hosts.
fn begin() -> (Roles, Snapshot) {
    let members: Vec<Member> = (0..3).map(member).collect();
    let mut roles = Roles::new(member(0), members.clone(), 1);
    let mut facts = Snapshot {
        lease: 7,
        held: [P].into(),
        may_acquire: true,
        reachability_enabled: true,
        hosts: [(P, 100)].into(),
        damping: Micros::from_secs(30),
        ..Snapshot::default()
    };
    for role in [P, Role::Leader] {
        let owner = if role == P { 0 } else { 1 };
        facts.ownerships.insert(role, seat(owner, 5));
        for m in &members {
            roles.apply(Input::Session(m, Some(1)), Micros::ZERO);
            let fit = Eligibility {
                state: LinkState::Up,
                reachable_hosts: 100,
                ..Eligibility::default()
            };
            facts.eligibility.insert((role, m.clone()), fit);
        }
    }
    (roles, facts)
}

fn seat(owner: usize, version: u64) -> RoleOwnership {
    RoleOwnership {
        owner: member(owner),
        lease: 7 + owner as u64,
        version: Revision(version),
        live: true,
        relinquished: false,
    }
}

fn set(facts: &mut Snapshot, m: usize, change: impl Fn(&mut Eligibility)) {
    for role in [P, Role::Leader] {
        change(facts.eligibility.get_mut(&(role, member(m))).unwrap());
    }
}

fn moves(roles: &mut Roles, facts: &Snapshot, now: Micros) -> Vec<Transition> {
    let mut steps = roles.apply(Input::Evaluate(facts), now);
    steps.retain(|s| !matches!(s, Transition::Hold(..) | Transition::Release(_)));
    steps
}

/// Without the wait a link that fails once would move a partition.
#[test]
fn a_role_goes_to_whoever_reaches_more_but_not_at_once() {
    let (mut roles, mut facts) = begin();
    assert!(moves(&mut roles, &facts, AT).is_empty());
    set(&mut facts, 0, |f| {
        (f.reachable_hosts, f.unreachable_hosts) = (0, 100)
    });
    set(&mut facts, 1, |f| {
        (f.reachable_hosts, f.unreachable_hosts) = (60, 40)
    });
    assert!(moves(&mut roles, &facts, AT).is_empty());
    let later = AT + BETTER_FOR;
    let step = Transition::HandOver {
        role: P,
        to: member(2),
        urgent: true,
    };
    assert_eq!(moves(&mut roles, &facts, later), [step]);
    // Under way: not begun twice.
    assert!(moves(&mut roles, &facts, later).is_empty());
}

/// What is not known of others is no reason to move; nor one that can't write, nor as good as.
#[test]
fn a_role_never_goes_to_one_who_is_worse_off() {
    for change in [
        (|f| f.state = LinkState::Suspect) as fn(&mut Eligibility),
        |f| f.reachable_hosts = 0,
        |f| f.reachable_hosts = 8,
    ] {
        let (mut roles, mut facts) = begin();
        set(&mut facts, 0, |f| {
            (f.reachable_hosts, f.unreachable_hosts) = (0, 100)
        });
        set(&mut facts, 1, change);
        set(&mut facts, 2, change);
        for s in 0..20 {
            let now = AT + Micros::from_secs(s);
            assert!(moves(&mut roles, &facts, now).is_empty());
        }
    }
}

/// An owner without any workers that hears nobody gives its role to somebody all the same; with
/// some workers it keeps it.
#[test]
fn one_who_reaches_nothing_hands_over_unheard() {
    for (reached, goes) in [(0, true), (30, false)] {
        let (mut roles, mut facts) = begin();
        set(&mut facts, 0, |f| {
            (f.reachable_hosts, f.unreachable_hosts) = (reached, 100 - reached);
        });
        for m in [1, 2] {
            set(&mut facts, m, |f| *f = Eligibility::default());
        }
        assert!(moves(&mut roles, &facts, AT).is_empty());
        assert!(moves(&mut roles, &facts, AT + BETTER_FOR).is_empty());
        let later = moves(&mut roles, &facts, AT + UNHEARD_FOR);
        assert_eq!(!later.is_empty(), goes);
    }
}

/// Without damping a role would follow a flapping link back and forth.
#[test]
fn no_role_moves_twice_within_the_damping() {
    let (mut roles, mut facts) = begin();
    // It comes from m1, whose session goes on.
    facts.ownerships.insert(P, seat(1, 4));
    facts.held.clear();
    moves(&mut roles, &facts, AT);
    facts.ownerships.insert(P, seat(0, 5));
    facts.held.insert(P);
    set(&mut facts, 0, |f| {
        (f.reachable_hosts, f.unreachable_hosts) = (0, 100)
    });
    for s in 1..30 {
        let now = AT + Micros::from_secs(s);
        assert!(moves(&mut roles, &facts, now).is_empty(), "{s}");
    }
    let later = AT + Micros::from_secs(32);
    assert_eq!(moves(&mut roles, &facts, later).len(), 1);
}

/// Home is only better where it is no worse off.
#[test]
fn a_partition_goes_home_unless_home_is_cut_off_or_has_ended() {
    type Change = fn(&mut Eligibility);
    let cut: Change = |f| (f.reachable_hosts, f.unreachable_hosts) = (0, 100);
    // Its session outlives it.
    let ended: Change = |f| *f = Eligibility::default();
    let cases: [(Option<Change>, bool); 4] = [
        (None, true),
        (Some(cut), true),
        (Some(ended), true),
        (Some(cut), false),
    ];
    for (worse, by_reach) in cases {
        let (mut roles, mut facts) = begin();
        roles.me = member(1);
        facts.lease = 8;
        facts.reachability_enabled = by_reach;
        facts.ownerships.insert(P, seat(1, 5));
        if let Some(worse) = worse {
            set(&mut facts, 0, worse);
        }
        let goes = !moves(&mut roles, &facts, AT).is_empty();
        assert_eq!(goes, worse.is_none() || !by_reach);
    }
}

/// A controller that can't write lets go if somebody else can, and keeps what it has in an
/// outage that everybody sees.
#[test]
fn a_role_is_let_go_only_if_somebody_else_can_write() {
    let (mut roles, mut facts) = begin();
    set(&mut facts, 0, |f| f.state = LinkState::Down);
    assert!(moves(&mut roles, &facts, AT).is_empty());
    let later = AT + UNSERVED_FOR;
    assert_eq!(
        moves(&mut roles, &facts, later),
        [Transition::Relinquish(P)]
    );
    for m in [1, 2] {
        set(&mut facts, m, |f| f.state = LinkState::Down);
    }
    assert!(moves(&mut roles, &facts, later).is_empty());
    // What is given up stays so at this revision, and only at this one.
    roles.apply(Input::Relinquished(P, Revision(5)), later);
    for s in 0..20 {
        let now = later + Micros::from_secs(s);
        let steps = roles.apply(Input::Evaluate(&facts), now);
        assert!(
            steps.contains(&Transition::Release(P)) && !steps.contains(&Transition::Acquire(P))
        );
    }
    facts.ownerships.insert(P, seat(0, 6));
    let steps = roles.apply(Input::Evaluate(&facts), later);
    assert!(steps.contains(&Transition::Hold(P, Revision(6))));
}

/// An orphan, or one that was let go, is taken by whoever is better off first.
#[test]
fn whoever_reaches_less_leaves_an_orphan_to_others_first() {
    let (mut roles, mut facts) = begin();
    facts.held.clear();
    facts.ownerships.insert(
        P,
        RoleOwnership {
            relinquished: true,
            ..seat(1, 5)
        },
    );
    set(&mut facts, 0, |f| {
        (f.reachable_hosts, f.unreachable_hosts) = (0, 100)
    });
    assert!(moves(&mut roles, &facts, AT).is_empty());
    let later = AT + WORSE_OFF;
    assert_eq!(moves(&mut roles, &facts, later), [Transition::Acquire(P)]);
    let (mut roles, mut facts) = begin();
    facts.held.clear();
    facts.ownerships.insert(
        P,
        RoleOwnership {
            relinquished: true,
            ..seat(1, 5)
        },
    );
    assert_eq!(moves(&mut roles, &facts, AT), [Transition::Acquire(P)]);
}

/// A process that ends again and again leaves orphans to those who live on, and takes them when
/// nobody does; nothing goes home to it before it has lived for a while.
#[test]
fn roles_are_left_to_those_who_live_on() {
    let (mut roles, mut facts) = begin();
    facts.held.clear();
    facts.ownerships.get_mut(&P).unwrap().lease = 99;
    facts.ownerships.get_mut(&P).unwrap().live = false;
    facts.crash_looping = [member(0)].into();
    let late = AT + Micros::from_secs(60);
    assert_eq!(moves(&mut roles, &facts, AT), []);
    assert_eq!(moves(&mut roles, &facts, late), []);
    facts.crash_looping = (0..3).map(member).collect();
    assert_eq!(moves(&mut roles, &facts, late), [Transition::Acquire(P)]);

    // Home is another's, which begins a new session every two seconds.
    let members: Vec<Member> = [1, 0, 2].map(member).to_vec();
    let mut roles = Roles::new(member(0), members.clone(), 1);
    let (_, mut facts) = begin();
    facts.damping = Micros::ZERO;
    for m in &members {
        roles.apply(Input::Session(m, Some(1)), AT);
    }
    for n in 0..10 {
        let now = AT + Micros::from_secs(2 * n);
        roles.apply(Input::Session(&member(1), Some(100 + n)), now);
        assert_eq!(moves(&mut roles, &facts, now), []);
    }
    let home = Transition::HandOver {
        role: P,
        to: member(1),
        urgent: false,
    };
    let now = AT + Micros::from_secs(30);
    facts.crash_looping = [member(1)].into();
    assert_eq!(moves(&mut roles, &facts, now), []);
    facts.crash_looping.clear();
    assert_eq!(moves(&mut roles, &facts, now), [home]);
}
