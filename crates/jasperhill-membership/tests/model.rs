//! One role among members whose links to the store come and go: every order of looking, writing,
//! late and lost writes, words by mouth, sessions that end and processes that restart, up to a few
//! changes of the role. Checked exhaustively (breadth first, by `pathfinding`): never do two
//! members act with authority at once, and from wherever the failures have led somebody can act
//! once they are over. Each guard is shown to be needed by leaving it out.
//!
//! The model follows `control::roles` and `control::store`; time appears only as this: a session
//! ends in the store no sooner than its member's authority (`authority_ends_in_time`).

use pathfinding::prelude::{bfs, bfs_reach};
use std::collections::HashSet;

const N: usize = 2;
/// Changes of the role, and sessions begun, that a run may see.
const VERSIONS: u8 = 3;
const SESSIONS: u8 = 3;
const WRITES: usize = 1;
const STRIDE: usize = 97;
/// Once nothing fails any more, so many more of both.
const MORE: u8 = 3;

/// What is allowed of these.
fn most(of: u8, healed: bool) -> u8 {
    if healed { of + MORE } else { of }
}

/// What is left out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The owner says that it has let go before it stops.
    StopBeforeWord,
    /// The owner stops before it writes the next one.
    StopBeforeHandOver,
    /// What was given up stays so at that version.
    Memory,
    /// A write names the version of the role that it was decided on.
    VersionGuard,
    /// A new session of the owner rewrites its roles, so that they get another version.
    FreshVersion,
    /// Authority has ended before the session does.
    Margin,
    /// Only a role that names its own session is a member's.
    OwnLease,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Seat {
    owner: usize,
    lease: u8,
    version: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Write {
    version: u8,
    /// A session that must be as it was seen.
    session: (usize, u8),
    /// The new owner and its session, which must be there.
    to: (usize, u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    up: bool,
    /// The session that it believes in; 0: none.
    holds: u8,
    authority: bool,
    /// What its mirror shows; `None` before it has looked.
    sees: Option<(Seat, [u8; N])>,
    /// The version that it acts on.
    acts: u8,
    given_up: u8,
}

const NEW: Member = Member {
    up: true,
    holds: 0,
    authority: false,
    sees: None,
    acts: 0,
    given_up: 0,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    seat: Seat,
    sessions: [u8; N],
    begun: u8,
    members: [Member; N],
    writes: Vec<Write>,
    /// Let go, by whom, at which version. Heard by anybody at any time from then on.
    words: Vec<(usize, u8)>,
}

impl World {
    fn new() -> Self {
        let seat = Seat {
            owner: 0,
            lease: 1,
            version: 1,
        };
        let mut members = [NEW, NEW];
        for (i, m) in members.iter_mut().enumerate() {
            m.holds = 1 + i as u8;
            m.authority = true;
        }
        Self {
            seat,
            sessions: [1, 2],
            begun: 2,
            members,
            writes: Vec::new(),
            words: Vec::new(),
        }
    }

    fn acting(&self) -> usize {
        let acts = |m: &&Member| m.acts != 0 && m.authority;
        self.members.iter().filter(acts).count()
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next.writes.sort();
        next.words.sort();
        next.words.dedup();
        next
    }

    /// A write reaches the store, maybe late.
    fn apply(&mut self, write: &Write, healed: bool, without: Without) {
        let guarded = without == Without::VersionGuard || write.version == self.seat.version;
        let (of, session) = write.session;
        let there = self.sessions[write.to.0] == write.to.1;
        if guarded
            && there
            && self.sessions[of] == session
            && self.seat.version < most(VERSIONS, healed)
        {
            self.seat = Seat {
                owner: write.to.0,
                lease: write.to.1,
                version: self.seat.version + 1,
            };
        }
    }

    /// What can happen to a member next. `healed`: nothing fails any more.
    fn steps_of(&self, i: usize, healed: bool, without: Without, out: &mut Vec<Self>) {
        self.fault_steps(i, healed, out);
        if self.members[i].up {
            self.session_steps(i, healed, without, out);
        }
        self.role_steps(i, healed, without, out);
        if self.writes.len() < WRITES {
            self.write_steps(i, healed, without, out);
        }
    }

    /// Links and processes fail, or recover.
    fn fault_steps(&self, i: usize, healed: bool, out: &mut Vec<Self>) {
        let mut step = |change: &dyn Fn(&mut Self)| out.push(self.with(change));
        if !healed {
            step(&|w| w.members[i].up = !w.members[i].up);
            // It ends and begins anew: all that it remembered is gone.
            step(&|w| w.members[i] = NEW);
            step(&|w| w.members[i].authority = false);
        } else if !self.members[i].up {
            step(&|w| w.members[i].up = true);
        }
    }

    /// What a member does that reaches the store: it looks, and its session begins, goes on or is
    /// found to be over.
    fn session_steps(&self, i: usize, healed: bool, without: Without, out: &mut Vec<Self>) {
        let m = &self.members[i];
        let mut step = |change: &dyn Fn(&mut Self)| out.push(self.with(change));
        step(&|w| w.members[i].sees = Some((w.seat, w.sessions)));
        if m.holds != 0 && self.sessions[i] == m.holds {
            step(&|w| w.members[i].authority = true);
        } else if m.holds != 0 {
            step(&|w| {
                let m = &mut w.members[i];
                (m.holds, m.authority, m.acts) = (0, false, 0);
            });
        } else if self.begun < most(SESSIONS, healed) {
            // Its own roles come with the new session, in one transaction; or are left to the
            // others, by one that has ended again and again.
            let begin = |w: &mut Self, answered: bool, leaves: bool| {
                w.begun += 1;
                w.sessions[i] = w.begun;
                if w.seat.owner == i && !leaves {
                    w.seat.lease = w.begun;
                    if without != Without::FreshVersion {
                        w.seat.version += 1;
                    }
                }
                if answered {
                    (w.members[i].holds, w.members[i].authority) = (w.begun, true);
                }
            };
            step(&|w| begin(w, true, false));
            step(&|w| begin(w, true, true));
            if !healed {
                step(&|w| begin(w, false, false));
            }
        }
    }

    /// What a member gave up, as it remembers it after giving up what it acts on.
    fn remembered(&self, i: usize, without: Without) -> u8 {
        if without == Without::Memory {
            0
        } else {
            self.members[i].acts
        }
    }

    /// A member begins to act on what it sees, stops, or lets go and says so.
    fn role_steps(&self, i: usize, healed: bool, without: Without, out: &mut Vec<Self>) {
        let m = &self.members[i];
        let Some((seat, _)) = m.sees else {
            return;
        };
        let mut step = |change: &dyn Fn(&mut Self)| out.push(self.with(change));
        let lease = seat.lease == m.holds || without == Without::OwnLease;
        let mine = seat.owner == i && lease && m.holds != 0;
        if mine && m.given_up != seat.version {
            step(&|w| w.members[i].acts = seat.version);
        }
        if m.acts != 0 && !(mine && m.acts == seat.version) {
            step(&|w| w.members[i].acts = 0);
        }
        let remembered = self.remembered(i, without);
        if m.acts != 0 && !m.up && !healed {
            step(&|w| {
                w.words.push((i, w.members[i].acts));
                w.members[i].given_up = remembered;
                if without != Without::StopBeforeWord {
                    w.members[i].acts = 0;
                }
            });
        }
    }

    /// A member hands over what it acts on, or takes what is free.
    fn write_steps(&self, i: usize, healed: bool, without: Without, out: &mut Vec<Self>) {
        let m = &self.members[i];
        let Some((seat, sessions)) = m.sees else {
            return;
        };
        let mut step = |change: &dyn Fn(&mut Self)| out.push(self.with(change));
        let remembered = self.remembered(i, without);
        let write = |session, to| Write {
            version: seat.version,
            session,
            to,
        };
        let j = 1 - i;
        if m.acts != 0 && m.acts == seat.version && sessions[j] != 0 && !healed {
            step(&|w| {
                w.writes.push(write((j, sessions[j]), (j, sessions[j])));
                w.members[i].given_up = remembered;
                if without != Without::StopBeforeHandOver {
                    w.members[i].acts = 0;
                }
            });
        }
        if !m.authority || m.holds == 0 || !m.up {
            return;
        }
        let me = (i, m.holds);
        if seat.owner == i {
            if m.given_up == seat.version || seat.lease != m.holds {
                step(&|w| w.writes.push(write(me, me)));
            }
        } else if sessions[j] != seat.lease {
            step(&|w| w.writes.push(write((j, sessions[j]), me)));
        } else if self.words.contains(&(j, seat.version)) {
            step(&|w| w.writes.push(write(me, me)));
        }
    }

    fn steps(&self, healed: bool, without: Without) -> Vec<Self> {
        let mut out = Vec::new();
        for (n, write) in self.writes.iter().enumerate() {
            out.push(self.with(|w| {
                w.writes.remove(n);
                w.apply(write, healed, without);
            }));
            if !healed {
                out.push(self.with(|w| {
                    w.writes.remove(n);
                }));
            }
        }
        for i in 0..N {
            let m = &self.members[i];
            let over = !(m.holds == self.sessions[i] && m.authority);
            if self.sessions[i] != 0 && (over || without == Without::Margin) {
                let alive = m.holds == self.sessions[i] && m.up;
                // Healed, a session that is renewed does not end.
                if !(healed && alive) {
                    out.push(self.with(|w| w.sessions[i] = 0));
                }
            }
            self.steps_of(i, healed, without, &mut out);
        }
        out.retain(|w| w != self);
        out
    }
}

fn two_act(without: Without) -> Option<Vec<World>> {
    bfs(
        &World::new(),
        |w| w.steps(false, without),
        |w| w.acting() > 1,
    )
}

#[test]
fn never_do_two_members_act_at_once() {
    assert!(two_act(Without::Nothing).is_none());
}

#[test]
fn each_guard_is_needed() {
    for (name, without) in [
        ("stop before the word", Without::StopBeforeWord),
        ("stop before the hand-over", Without::StopBeforeHandOver),
        ("memory of what was given up", Without::Memory),
        ("the version in the write", Without::VersionGuard),
        ("a fresh version with a new session", Without::FreshVersion),
        ("the margin of the authority", Without::Margin),
        ("the own session in the role", Without::OwnLease),
    ] {
        let path = two_act(without);
        assert!(path.is_some(), "not needed: {name}");
    }
}

/// Without failures somebody can act again, wherever they have led: no state is a trap. Of the
/// states reached, every so manieth.
#[test]
fn somebody_can_act_once_the_failures_are_over() {
    let mut fine: HashSet<World> = HashSet::new();
    let mut looked = 0usize;
    for world in bfs_reach(World::new(), |w| w.steps(false, Without::Nothing)) {
        looked += 1;
        if !looked.is_multiple_of(STRIDE) {
            continue;
        }
        if fine.contains(&world) {
            continue;
        }
        let path = bfs(
            &world,
            |w| w.steps(true, Without::Nothing),
            |w| w.acting() == 1 || fine.contains(w),
        );
        assert!(path.is_some(), "a trap: {world:?}");
        fine.extend(path.into_iter().flatten());
    }
    assert!(looked > 100_000, "{looked}");
    println!("{looked} states");
}
