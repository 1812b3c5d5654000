use super::*;

#[test]
fn a_loss_counts_until_nothing_is_missing() {
    let at = Micros::from_secs;
    let mut r = Recovery::default();
    assert_eq!(r.apply(Input::Missing(0), at(1)), None);
    assert_eq!(r.apply(Input::Overtaken, at(1)), None);
    r.apply(Input::Lost, at(2));
    r.apply(Input::Lost, at(3));
    r.apply(Input::Overtaken, at(4));
    assert_eq!(r.apply(Input::Missing(1), at(5)), None);
    let whole = r.apply(Input::Missing(0), at(9));
    let expected = Recovered {
        after: at(7),
        lost: 2,
        overtaken: 1,
    };
    assert_eq!(whole, Some(expected));
    assert_eq!(r, Recovery::Complete);
}
