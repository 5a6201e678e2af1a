//! Calls that were answered lately are remembered for a minute, in a bounded number of slots.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{AnsweredCalls, Tick},
        key::CauseKey,
    },
    std::time::Duration,
};

fn at(second: u64) -> Tick {
    Tick::default() + Duration::from_secs(second)
}

#[test]
fn an_answer_is_recent_for_a_minute_and_says_nothing_of_other_calls() {
    let answered = AnsweredCalls::default();
    // The last two share a slot.
    let keys = [7, 1 << 40, (1 << 40) + (1 << 30)].map(CauseKey);
    let recent = |second| keys.map(|key| answered.is_recent(key, at(second)));
    let mut seen = vec![("nothing answered", recent(0))];
    answered.record(keys[0], at(0));
    seen.push(("the first answered", recent(0)));
    answered.record(keys[1], at(30));
    seen.push(("the second answered 30 s later", recent(30)));
    seen.push(("30 s after that", recent(60)));
    seen.push(("a second more", recent(61)));
    answered.record(keys[2], at(62));
    seen.push(("the third replaces the second", recent(62)));
    assert_yaml_snapshot!(seen);
}
