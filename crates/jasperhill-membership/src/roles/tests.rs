//! Who gets which role, and when.

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
    let mut snapshot = Snapshot {
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
        snapshot.ownerships.insert(role, ownership(owner, 5));
        for m in &members {
            roles.apply(Input::Session(m, Some(1)), Micros::ZERO);
            let fit = Eligibility {
                state: LinkState::Up,
                reachable_hosts: 100,
                ..Eligibility::default()
            };
            snapshot.eligibility.insert((role, m.clone()), fit);
        }
    }
    (roles, snapshot)
}

fn ownership(owner: usize, version: u64) -> RoleOwnership {
    RoleOwnership {
        owner: member(owner),
        lease: 7 + owner as u64,
        version: Revision(version),
        live: true,
        relinquished: false,
    }
}

fn set(snapshot: &mut Snapshot, m: usize, change: impl Fn(&mut Eligibility)) {
    for role in [P, Role::Leader] {
        change(snapshot.eligibility.get_mut(&(role, member(m))).unwrap());
    }
}

fn moves(roles: &mut Roles, snapshot: &Snapshot, now: Micros) -> Vec<Transition> {
    let mut transitions = roles.apply(Input::Evaluate(snapshot), now);
    transitions.retain(|s| !matches!(s, Transition::Hold(..) | Transition::Release(_)));
    transitions
}

/// Without the wait a link that fails once would move a partition.
#[test]
fn a_role_goes_to_whoever_reaches_more_but_not_at_once() {
    let (mut roles, mut snapshot) = begin();
    assert!(moves(&mut roles, &snapshot, AT).is_empty());
    set(&mut snapshot, 0, |f| {
        (f.reachable_hosts, f.unreachable_hosts) = (0, 100)
    });
    set(&mut snapshot, 1, |f| {
        (f.reachable_hosts, f.unreachable_hosts) = (60, 40)
    });
    assert!(moves(&mut roles, &snapshot, AT).is_empty());
    let later = AT + BETTER_FOR;
    let step = Transition::HandOver {
        role: P,
        to: member(2),
        urgent: true,
    };
    assert_eq!(moves(&mut roles, &snapshot, later), [step]);
    // Under way: not begun twice.
    assert!(moves(&mut roles, &snapshot, later).is_empty());
}

/// What is not known of others is no reason to move; nor one that can't write, nor as good as.
#[test]
fn a_role_never_goes_to_one_who_is_worse_off() {
    for change in [
        (|f| f.state = LinkState::Suspect) as fn(&mut Eligibility),
        |f| f.reachable_hosts = 0,
        |f| f.reachable_hosts = 8,
    ] {
        let (mut roles, mut snapshot) = begin();
        set(&mut snapshot, 0, |f| {
            (f.reachable_hosts, f.unreachable_hosts) = (0, 100)
        });
        set(&mut snapshot, 1, change);
        set(&mut snapshot, 2, change);
        for s in 0..20 {
            let now = AT + Micros::from_secs(s);
            assert!(moves(&mut roles, &snapshot, now).is_empty());
        }
    }
}

/// An owner without any workers that hears nobody gives its role to somebody all the same; with
/// some workers it keeps it.
#[test]
fn one_who_reaches_nothing_hands_over_unheard() {
    for (reached, goes) in [(0, true), (30, false)] {
        let (mut roles, mut snapshot) = begin();
        set(&mut snapshot, 0, |f| {
            (f.reachable_hosts, f.unreachable_hosts) = (reached, 100 - reached);
        });
        for m in [1, 2] {
            set(&mut snapshot, m, |f| *f = Eligibility::default());
        }
        assert!(moves(&mut roles, &snapshot, AT).is_empty());
        assert!(moves(&mut roles, &snapshot, AT + BETTER_FOR).is_empty());
        let later = moves(&mut roles, &snapshot, AT + UNHEARD_FOR);
        assert_eq!(!later.is_empty(), goes);
    }
}

/// Without damping a role would follow a flapping link back and forth.
#[test]
fn no_role_moves_twice_within_the_damping() {
    let (mut roles, mut snapshot) = begin();
    // It comes from m1, whose session goes on.
    snapshot.ownerships.insert(P, ownership(1, 4));
    snapshot.held.clear();
    moves(&mut roles, &snapshot, AT);
    snapshot.ownerships.insert(P, ownership(0, 5));
    snapshot.held.insert(P);
    set(&mut snapshot, 0, |f| {
        (f.reachable_hosts, f.unreachable_hosts) = (0, 100)
    });
    for s in 1..30 {
        let now = AT + Micros::from_secs(s);
        assert!(moves(&mut roles, &snapshot, now).is_empty(), "{s}");
    }
    let later = AT + Micros::from_secs(32);
    assert_eq!(moves(&mut roles, &snapshot, later).len(), 1);
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
        let (mut roles, mut snapshot) = begin();
        roles.me = member(1);
        snapshot.lease = 8;
        snapshot.reachability_enabled = by_reach;
        snapshot.ownerships.insert(P, ownership(1, 5));
        if let Some(worse) = worse {
            set(&mut snapshot, 0, worse);
        }
        let goes = !moves(&mut roles, &snapshot, AT).is_empty();
        assert_eq!(goes, worse.is_none() || !by_reach);
    }
}

/// A controller that can't write lets go if somebody else can, and keeps what it has in an
/// outage that everybody sees.
#[test]
fn a_role_is_let_go_only_if_somebody_else_can_write() {
    let (mut roles, mut snapshot) = begin();
    set(&mut snapshot, 0, |f| f.state = LinkState::Down);
    assert!(moves(&mut roles, &snapshot, AT).is_empty());
    let later = AT + UNSERVED_FOR;
    assert_eq!(
        moves(&mut roles, &snapshot, later),
        [Transition::Relinquish(P)]
    );
    for m in [1, 2] {
        set(&mut snapshot, m, |f| f.state = LinkState::Down);
    }
    assert!(moves(&mut roles, &snapshot, later).is_empty());
    // What is given up stays so at this revision, and only at this one.
    roles.apply(Input::Relinquished(P, Revision(5)), later);
    for s in 0..20 {
        let now = later + Micros::from_secs(s);
        let transitions = roles.apply(Input::Evaluate(&snapshot), now);
        assert!(
            transitions.contains(&Transition::Release(P))
                && !transitions.contains(&Transition::Acquire(P))
        );
    }
    snapshot.ownerships.insert(P, ownership(0, 6));
    let transitions = roles.apply(Input::Evaluate(&snapshot), later);
    assert!(transitions.contains(&Transition::Hold(P, Revision(6))));
}

/// An orphan, or one that was let go, is taken by whoever is better off first.
#[test]
fn whoever_reaches_less_leaves_an_orphan_to_others_first() {
    let (mut roles, mut snapshot) = begin();
    snapshot.held.clear();
    snapshot.ownerships.insert(
        P,
        RoleOwnership {
            relinquished: true,
            ..ownership(1, 5)
        },
    );
    set(&mut snapshot, 0, |f| {
        (f.reachable_hosts, f.unreachable_hosts) = (0, 100)
    });
    assert!(moves(&mut roles, &snapshot, AT).is_empty());
    let later = AT + WORSE_OFF_DELAY;
    assert_eq!(
        moves(&mut roles, &snapshot, later),
        [Transition::Acquire(P)]
    );
    let (mut roles, mut snapshot) = begin();
    snapshot.held.clear();
    snapshot.ownerships.insert(
        P,
        RoleOwnership {
            relinquished: true,
            ..ownership(1, 5)
        },
    );
    assert_eq!(moves(&mut roles, &snapshot, AT), [Transition::Acquire(P)]);
}

/// A process that ends again and again leaves orphans to those who live on, and takes them when
/// nobody does; nothing goes home to it before it has lived for a while.
#[test]
fn roles_are_left_to_those_who_live_on() {
    let (mut roles, mut snapshot) = begin();
    snapshot.held.clear();
    snapshot.ownerships.get_mut(&P).unwrap().lease = 99;
    snapshot.ownerships.get_mut(&P).unwrap().live = false;
    snapshot.crash_looping = [member(0)].into();
    let late = AT + Micros::from_secs(60);
    assert_eq!(moves(&mut roles, &snapshot, AT), []);
    assert_eq!(moves(&mut roles, &snapshot, late), []);
    snapshot.crash_looping = (0..3).map(member).collect();
    assert_eq!(moves(&mut roles, &snapshot, late), [Transition::Acquire(P)]);

    // Home is another's, which begins a new session every two seconds.
    let members: Vec<Member> = [1, 0, 2].map(member).to_vec();
    let mut roles = Roles::new(member(0), members.clone(), 1);
    let (_, mut snapshot) = begin();
    snapshot.damping = Micros::ZERO;
    for m in &members {
        roles.apply(Input::Session(m, Some(1)), AT);
    }
    for n in 0..10 {
        let now = AT + Micros::from_secs(2 * n);
        roles.apply(Input::Session(&member(1), Some(100 + n)), now);
        assert_eq!(moves(&mut roles, &snapshot, now), []);
    }
    let home = Transition::HandOver {
        role: P,
        to: member(1),
        urgent: false,
    };
    let now = AT + Micros::from_secs(30);
    snapshot.crash_looping = [member(1)].into();
    assert_eq!(moves(&mut roles, &snapshot, now), []);
    snapshot.crash_looping.clear();
    assert_eq!(moves(&mut roles, &snapshot, now), [home]);
}
