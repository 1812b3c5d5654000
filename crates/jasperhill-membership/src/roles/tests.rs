//! Tests of takeovers, hand-overs and relinquishing of roles.

use super::*;

const START: Micros = Micros::from_secs(1_000);
const PARTITION: Role = Role::Partition(0);

fn member(n: usize) -> Member {
    Member::new(&format!("m{n}"))
}

/// Returns the state of `m0`, one of three members with sessions, and a snapshot in which `m0` owns
/// partition 0 with a hundred hosts.
fn roles_and_snapshot() -> (Roles, Snapshot) {
    let members: Vec<Member> = (0..3).map(member).collect();
    let mut roles = Roles::new(member(0), members.clone(), 1);
    let mut snapshot = Snapshot {
        lease: 7,
        held_roles: [PARTITION].into(),
        may_acquire: true,
        reachability_enabled: true,
        host_counts: [(PARTITION, 100)].into(),
        min_move_interval: Micros::from_secs(30),
        ..Snapshot::default()
    };
    for role in [PARTITION, Role::Leader] {
        let owner = if role == PARTITION { 0 } else { 1 };
        snapshot.ownerships.insert(role, ownership(owner, 5));
        for m in &members {
            roles.apply(Input::Session(m, Some(1)), Micros::ZERO);
            let eligibility = Eligibility {
                store_link: LinkState::Up,
                reachable_hosts: 100,
                ..Eligibility::default()
            };
            snapshot.eligibility.insert((role, m.clone()), eligibility);
        }
    }
    (roles, snapshot)
}

fn ownership(owner: usize, version: u64) -> RoleOwnership {
    RoleOwnership {
        owner: member(owner),
        lease: 7 + owner as u64,
        version: Revision(version),
        is_session_live: true,
        relinquished: false,
    }
}

/// Changes the eligibility of a member for all roles.
fn set_eligibility(
    snapshot: &mut Snapshot,
    member_index: usize,
    change: impl Fn(&mut Eligibility),
) {
    for role in [PARTITION, Role::Leader] {
        change(
            snapshot
                .eligibility
                .get_mut(&(role, member(member_index)))
                .unwrap(),
        );
    }
}

/// Evaluates the roles and returns all transitions except `Hold` and `Release`.
fn role_changes(roles: &mut Roles, snapshot: &Snapshot, now: Micros) -> Vec<Transition> {
    let mut transitions = roles.apply(Input::Evaluate(snapshot), now);
    transitions.retain(|s| !matches!(s, Transition::Hold(..) | Transition::Release(_)));
    transitions
}

/// A role moves to the member that reaches most hosts, but only after a waiting time. Without the
/// wait a single link failure would move a partition.
#[test]
fn role_moves_to_member_reaching_more_hosts_after_delay() {
    let (mut roles, mut snapshot) = roles_and_snapshot();
    assert!(role_changes(&mut roles, &snapshot, START).is_empty());
    set_eligibility(&mut snapshot, 0, |eligibility| {
        (eligibility.reachable_hosts, eligibility.unreachable_hosts) = (0, 100)
    });
    set_eligibility(&mut snapshot, 1, |eligibility| {
        (eligibility.reachable_hosts, eligibility.unreachable_hosts) = (60, 40)
    });
    assert!(role_changes(&mut roles, &snapshot, START).is_empty());
    let later = START + CANDIDATE_STABLE_TIME;
    let hand_over = Transition::HandOver {
        role: PARTITION,
        to: member(2),
        urgent: true,
    };
    assert_eq!(role_changes(&mut roles, &snapshot, later), [hand_over]);
    // The hand-over is in progress and is not started a second time.
    assert!(role_changes(&mut roles, &snapshot, later).is_empty());
}

/// A role does not move to members without a healthy link to the store, without reachable hosts, or
/// with hardly more reachable hosts than the owner.
#[test]
fn role_stays_if_no_member_is_a_better_owner() {
    for change in [
        (|eligibility| eligibility.store_link = LinkState::Suspect) as fn(&mut Eligibility),
        |eligibility| eligibility.reachable_hosts = 0,
        |eligibility| eligibility.reachable_hosts = 8,
    ] {
        let (mut roles, mut snapshot) = roles_and_snapshot();
        set_eligibility(&mut snapshot, 0, |eligibility| {
            (eligibility.reachable_hosts, eligibility.unreachable_hosts) = (0, 100)
        });
        set_eligibility(&mut snapshot, 1, change);
        set_eligibility(&mut snapshot, 2, change);
        for s in 0..20 {
            let now = START + Micros::from_secs(s);
            assert!(role_changes(&mut roles, &snapshot, now).is_empty());
        }
    }
}

/// An owner that reaches no workers and has no reports of other members still hands its role over;
/// an owner that reaches some workers keeps the role.
#[test]
fn owner_without_reachable_hosts_hands_over_to_member_with_unknown_links() {
    for (reachable_hosts, is_handed_over) in [(0, true), (30, false)] {
        let (mut roles, mut snapshot) = roles_and_snapshot();
        set_eligibility(&mut snapshot, 0, |eligibility| {
            (eligibility.reachable_hosts, eligibility.unreachable_hosts) =
                (reachable_hosts, 100 - reachable_hosts);
        });
        for member_index in [1, 2] {
            set_eligibility(&mut snapshot, member_index, |eligibility| {
                *eligibility = Eligibility::default()
            });
        }
        assert!(role_changes(&mut roles, &snapshot, START).is_empty());
        assert!(role_changes(&mut roles, &snapshot, START + CANDIDATE_STABLE_TIME).is_empty());
        let later = role_changes(&mut roles, &snapshot, START + UNKNOWN_LINKS_GRACE_TIME);
        assert_eq!(!later.is_empty(), is_handed_over);
    }
}

/// A role does not move again within the damping time. Without damping a role would move back and
/// forth with a flapping link.
#[test]
fn role_does_not_move_again_within_damping_time() {
    let (mut roles, mut snapshot) = roles_and_snapshot();
    // The role moved from m1, whose session is still alive.
    snapshot.ownerships.insert(PARTITION, ownership(1, 4));
    snapshot.held_roles.clear();
    role_changes(&mut roles, &snapshot, START);
    snapshot.ownerships.insert(PARTITION, ownership(0, 5));
    snapshot.held_roles.insert(PARTITION);
    set_eligibility(&mut snapshot, 0, |eligibility| {
        (eligibility.reachable_hosts, eligibility.unreachable_hosts) = (0, 100)
    });
    for s in 1..30 {
        let now = START + Micros::from_secs(s);
        assert!(role_changes(&mut roles, &snapshot, now).is_empty(), "{s}");
    }
    let later = START + Micros::from_secs(32);
    assert_eq!(role_changes(&mut roles, &snapshot, later).len(), 1);
}

/// A partition returns to its preferred owner only if that member is no worse an owner, unless
/// assignment by reachability is disabled.
#[test]
fn partition_returns_unless_preferred_owner_is_unreachable_or_ended() {
    type EligibilityChange = fn(&mut Eligibility);
    let unreachable: EligibilityChange =
        |eligibility| (eligibility.reachable_hosts, eligibility.unreachable_hosts) = (0, 100);
    // The process has ended but its session has not expired.
    let ended: EligibilityChange = |eligibility| *eligibility = Eligibility::default();
    let cases: [(Option<EligibilityChange>, bool); 4] = [
        (None, true),
        (Some(unreachable), true),
        (Some(ended), true),
        (Some(unreachable), false),
    ];
    for (preferred_owner_change, reachability_enabled) in cases {
        let (mut roles, mut snapshot) = roles_and_snapshot();
        roles.me = member(1);
        snapshot.lease = 8;
        snapshot.reachability_enabled = reachability_enabled;
        snapshot.ownerships.insert(PARTITION, ownership(1, 5));
        if let Some(preferred_owner_change) = preferred_owner_change {
            set_eligibility(&mut snapshot, 0, preferred_owner_change);
        }
        let is_handed_over = !role_changes(&mut roles, &snapshot, START).is_empty();
        assert_eq!(
            is_handed_over,
            preferred_owner_change.is_none() || !reachability_enabled
        );
    }
}

/// A controller that cannot write to the store relinquishes its roles if another member can write,
/// and keeps them during an outage of the store that affects all members.
#[test]
fn role_is_relinquished_only_if_another_member_can_write() {
    let (mut roles, mut snapshot) = roles_and_snapshot();
    set_eligibility(&mut snapshot, 0, |eligibility| {
        eligibility.store_link = LinkState::Down
    });
    assert!(role_changes(&mut roles, &snapshot, START).is_empty());
    let later = START + STORE_UNREACHABLE_TIME;
    assert_eq!(
        role_changes(&mut roles, &snapshot, later),
        [Transition::Relinquish(PARTITION)]
    );
    for member_index in [1, 2] {
        set_eligibility(&mut snapshot, member_index, |eligibility| {
            eligibility.store_link = LinkState::Down
        });
    }
    assert!(role_changes(&mut roles, &snapshot, later).is_empty());
    // A relinquished role stays relinquished at this revision, and only at this revision.
    roles.apply(Input::Relinquished(PARTITION, Revision(5)), later);
    for s in 0..20 {
        let now = later + Micros::from_secs(s);
        let transitions = roles.apply(Input::Evaluate(&snapshot), now);
        assert!(
            transitions.contains(&Transition::Release(PARTITION))
                && !transitions.contains(&Transition::Acquire(PARTITION))
        );
    }
    snapshot.ownerships.insert(PARTITION, ownership(0, 6));
    let transitions = roles.apply(Input::Evaluate(&snapshot), later);
    assert!(transitions.contains(&Transition::Hold(PARTITION, Revision(6))));
}

/// A relinquished role is taken over at once by a well-placed member, and with a delay by a member
/// that reaches fewer hosts, so that better owners take it first.
#[test]
fn member_reaching_fewer_hosts_delays_takeover() {
    let (mut roles, mut snapshot) = roles_and_snapshot();
    snapshot.held_roles.clear();
    snapshot.ownerships.insert(
        PARTITION,
        RoleOwnership {
            relinquished: true,
            ..ownership(1, 5)
        },
    );
    set_eligibility(&mut snapshot, 0, |eligibility| {
        (eligibility.reachable_hosts, eligibility.unreachable_hosts) = (0, 100)
    });
    assert!(role_changes(&mut roles, &snapshot, START).is_empty());
    let later = START + BETTER_OWNER_EXISTS_DELAY;
    assert_eq!(
        role_changes(&mut roles, &snapshot, later),
        [Transition::Acquire(PARTITION)]
    );
    let (mut roles, mut snapshot) = roles_and_snapshot();
    snapshot.held_roles.clear();
    snapshot.ownerships.insert(
        PARTITION,
        RoleOwnership {
            relinquished: true,
            ..ownership(1, 5)
        },
    );
    assert_eq!(
        role_changes(&mut roles, &snapshot, START),
        [Transition::Acquire(PARTITION)]
    );
}

/// A crash-looping controller leaves orphaned roles to running members and takes them over only if
/// all members are crash-looping. A role returns to its preferred owner only after the session of
/// that member has lasted for a while.
#[test]
fn crash_looping_member_leaves_roles_to_running_members() {
    let (mut roles, mut snapshot) = roles_and_snapshot();
    snapshot.held_roles.clear();
    snapshot.ownerships.get_mut(&PARTITION).unwrap().lease = 99;
    snapshot
        .ownerships
        .get_mut(&PARTITION)
        .unwrap()
        .is_session_live = false;
    snapshot.crash_looping = [member(0)].into();
    let after_takeover_delay = START + Micros::from_secs(60);
    assert_eq!(role_changes(&mut roles, &snapshot, START), []);
    assert_eq!(
        role_changes(&mut roles, &snapshot, after_takeover_delay),
        []
    );
    snapshot.crash_looping = (0..3).map(member).collect();
    assert_eq!(
        role_changes(&mut roles, &snapshot, after_takeover_delay),
        [Transition::Acquire(PARTITION)]
    );

    // The preferred owner is m1, which begins a new session every two seconds.
    let members: Vec<Member> = [1, 0, 2].map(member).to_vec();
    let mut roles = Roles::new(member(0), members.clone(), 1);
    let (_, mut snapshot) = roles_and_snapshot();
    snapshot.min_move_interval = Micros::ZERO;
    for m in &members {
        roles.apply(Input::Session(m, Some(1)), START);
    }
    for n in 0..10 {
        let now = START + Micros::from_secs(2 * n);
        roles.apply(Input::Session(&member(1), Some(100 + n)), now);
        assert_eq!(role_changes(&mut roles, &snapshot, now), []);
    }
    let return_to_preferred_owner = Transition::HandOver {
        role: PARTITION,
        to: member(1),
        urgent: false,
    };
    let now = START + Micros::from_secs(30);
    snapshot.crash_looping = [member(1)].into();
    assert_eq!(role_changes(&mut roles, &snapshot, now), []);
    snapshot.crash_looping.clear();
    assert_eq!(
        role_changes(&mut roles, &snapshot, now),
        [return_to_preferred_owner]
    );
}
