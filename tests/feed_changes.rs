//! What a daemon reads from the logs of others is what the store holds.

use {
    lentillead::{
        board::FeedLog,
        decide::{changes_since, record_changes, record_listing},
        key::StoreRevision,
        port::Change,
    },
    proptest::{collection::vec, prelude::*},
    std::collections::BTreeMap,
};

/// Contents by name.
type Objects = BTreeMap<String, u8>;

/// One change of the store: the name's number, and its new contents unless it is removed.
type Step = (u8, Option<u8>);

fn change(step: Step) -> Change<u8> {
    let name = format!("o{}", step.0);
    match step.1 {
        Some(value) => Change::Put(name, value),
        None => Change::Removed(name),
    }
}

fn apply(objects: &mut Objects, changes: &[Change<u8>]) {
    for change in changes {
        match change {
            Change::Put(name, value) => {
                objects.insert(name.clone(), *value);
            }
            Change::Unreadable(name, _) | Change::Removed(name) => {
                objects.remove(name);
            }
        }
    }
}

fn list(objects: &Objects) -> Vec<Change<u8>> {
    let puts = objects.iter();
    puts.map(|(name, value)| Change::Put(name.clone(), *value))
        .collect()
}

/// Reads from a log as a daemon does that has `known`, valid at `revision`.
fn read(log: &FeedLog<u8>, known: &mut Objects, revision: &mut StoreRevision) {
    if let Some(changes) = changes_since(log, Some(*revision)) {
        apply(known, &changes);
    } else {
        known.clear();
        apply(known, &changes_since(log, None).unwrap());
    }
    *revision = log.revision.max(*revision);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Two readers collect the store's changes in batches of different lengths, and one lists all
    /// objects now and then. A daemon that asks them in turn ends with the store's objects.
    #[test]
    fn a_daemon_that_changes_readers_misses_nothing(
        steps in vec((0..6_u8, any::<Option<u8>>()), 1..60),
        batches in vec((1..7_usize, any::<bool>(), any::<bool>()), 60),
    ) {
        let mut store = Objects::new();
        let mut logs = [FeedLog::default(), FeedLog::default()];
        for log in &mut logs {
            record_listing(log, &[], 1.into());
        }
        let (mut known, mut revision) = (Objects::new(), StoreRevision::from(1));
        let mut pending: [Vec<Change<u8>>; 2] = Default::default();
        for (number, step) in steps.iter().enumerate() {
            let now = number as u64 + 2;
            let next = change(*step);
            apply(&mut store, std::slice::from_ref(&next));
            for (reader, changes) in pending.iter_mut().enumerate() {
                changes.push(next.clone());
                let (length, lists, _) = batches[(number + reader * 7) % batches.len()];
                if lists && reader == 0 && changes.len() > 2 {
                    record_listing(&mut logs[reader], &list(&store), now.into());
                    changes.clear();
                } else if changes.len() >= length {
                    record_changes(&mut logs[reader], changes, now.into());
                    changes.clear();
                }
            }
            let reader = usize::from(batches[number % batches.len()].2);
            read(&logs[reader], &mut known, &mut revision);
        }
        let now = steps.len() as u64 + 1;
        for (log, changes) in logs.iter_mut().zip(&pending) {
            record_changes(log, changes, now.into());
            let (mut last, mut at) = (known.clone(), revision);
            read(log, &mut last, &mut at);
            prop_assert_eq!(&last, &store);
        }
    }
}

/// A list shows an object as it was before, although it changed and changed back meanwhile. A daemon
/// that has read the state in between from another reader must get the object again.
#[test]
fn an_object_that_changed_back_between_two_lists_is_read_again() {
    let put = |value| [Change::Put("a".to_owned(), value)];
    let mut log = FeedLog::default();
    record_listing(&mut log, &put(1), 1.into());
    record_listing(&mut log, &put(1), 3.into());
    let (mut known, mut revision) = (Objects::from([("a".to_owned(), 2)]), 2.into());
    read(&log, &mut known, &mut revision);
    assert_eq!(known["a"], 1);
}

#[test]
fn removals_that_are_no_longer_kept_lead_to_a_complete_read() {
    let mut log = FeedLog::default();
    record_listing(&mut log, &[Change::Put("stays".to_owned(), 1)], 1.into());
    for number in 0..1_500_u64 {
        let name = format!("o{number}");
        let removal = Change::Removed(name.clone());
        record_changes(
            &mut log,
            &[Change::Put(name, 1), removal],
            (number + 2).into(),
        );
    }
    assert!(changes_since(&log, Some(1.into())).is_none());
    assert_eq!(
        changes_since(&log, Some(1_501.into())).map(|changes| changes.len()),
        Some(0)
    );
    let all = changes_since(&log, None).unwrap();
    assert_eq!(all, [Change::Put("stays".to_owned(), 1)]);
}
