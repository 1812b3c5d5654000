use super::*;
use jasperhill_wire::Revision;

fn versioned<T>(value: T) -> Versioned<T> {
    Versioned {
        value,
        version: Revision(1),
    }
}

/// A member without records has level 0. The session of an earlier version takes precedence over a
/// higher level that the member announced before.
#[test]
fn gate_reports_lowest_level_of_all_members() {
    let members: Vec<Member> = ["a", "b"].map(Member::new).to_vec();
    let (mut sessions, mut levels) = (BTreeMap::new(), BTreeMap::new());
    let mut gate = FeatureGate::default();
    let session = |format| {
        versioned(SessionRecord {
            lease: 1,
            format,
            process_started: jasperhill_wire::Micros::ZERO,
            quick_restarts: 0,
        })
    };
    let mut apply = |sessions: &_, levels: &_, synced| {
        gate.apply(&MemberFeatureLevels {
            is_synced: synced,
            members: &members,
            sessions,
            levels,
        });
        gate
    };
    assert_eq!(apply(&sessions, &levels, false), FeatureGate::Unknown);
    sessions.insert("a".into(), session(1));
    assert_eq!(apply(&sessions, &levels, true), FeatureGate::AtLeast(0));
    sessions.insert("b".into(), session(0));
    assert_eq!(apply(&sessions, &levels, true), FeatureGate::AtLeast(0));
    sessions.insert("b".into(), session(1));
    assert_eq!(apply(&sessions, &levels, true), FeatureGate::AtLeast(1));
    // After its session has ended, the level that the member announced last counts, if there is
    // one.
    sessions.remove(&Member::new("b"));
    assert_eq!(apply(&sessions, &levels, true), FeatureGate::AtLeast(0));
    levels.insert("b".into(), versioned(FeatureLevelRecord { format: 1 }));
    assert_eq!(apply(&sessions, &levels, true), FeatureGate::AtLeast(1));
    sessions.insert("b".into(), session(0));
    assert_eq!(apply(&sessions, &levels, true), FeatureGate::AtLeast(0));
}
