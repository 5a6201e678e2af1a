//! A daemon that compares its list with that of another one ends with the other one's list, and gets little
//! more than what differs.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::FeedLog,
        decide::{
            FeedQuestion, compare_reply, feed_digests, merge_difference, record_changes,
            record_listing,
        },
        port::{Change, FeedItem, FeedReply, MemberEntry},
    },
    proptest::{collection::vec, prelude::*},
    std::{collections::BTreeMap, time::Duration},
};

type Objects = BTreeMap<String, u8>;

fn entry(name: &str, incarnation: u64) -> MemberEntry {
    MemberEntry {
        name: name.to_owned(),
        zone: "zone-a".to_owned(),
        address: "10.0.0.1:7000".to_owned(),
        incarnation,
        strength: 25,
    }
}

fn to_change(name: &str, value: u8) -> Change<MemberEntry> {
    if value == 0 {
        Change::Unreadable(name.to_owned(), "no JSON".to_owned())
    } else {
        Change::Put(name.to_owned(), entry(name, value.into()))
    }
}

/// Returns a log on which other daemons may rely, with these objects.
fn log_of(objects: &Objects) -> FeedLog<MemberEntry> {
    let items: Vec<_> = objects.iter().map(|(n, v)| to_change(n, *v)).collect();
    let mut log = FeedLog {
        direct: true,
        valid_until: Duration::from_secs(2),
        ..FeedLog::default()
    };
    record_listing(&mut log, &items, 5.into());
    log
}

fn question(now_ms: u64) -> FeedQuestion {
    FeedQuestion {
        since: None,
        waited: true,
        now: Duration::from_millis(now_ms),
        failed_ago: None,
    }
}

/// Returns the list that a daemon with `known` ends with after it has compared it with `log`, and the number of
/// objects that it got; `None` if it has to request the whole list.
fn compared(
    known: &FeedLog<MemberEntry>,
    log: &FeedLog<MemberEntry>,
) -> Option<(Vec<Change<MemberEntry>>, usize)> {
    let digests = feed_digests(known)?;
    let FeedReply::Difference { parts, objects, .. } = compare_reply(log, &digests, question(0))
    else {
        return None;
    };
    let objects = MemberEntry::unwrap(objects).unwrap();
    let sent = objects.len();
    let mut list = merge_difference(known, digests.len(), &parts, objects);
    list.sort_by(|a, b| a.name().cmp(b.name()));
    Some((list, sent))
}

fn many(count: usize) -> Objects {
    (0..count).map(|i| (format!("daemon-{i:04}"), 1)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_comparison_ends_with_the_list_of_the_other_daemon(
        steps in vec((0..400_usize, 0..4_u8), 0..40),
        removed in vec(0..300_usize, 0..40),
    ) {
        let known = log_of(&many(300));
        let mut other = many(300);
        for (number, value) in steps {
            other.insert(format!("daemon-{number:04}"), value);
        }
        for number in removed {
            other.remove(&format!("daemon-{number:04}"));
        }
        let expected: Vec<_> = other.iter().map(|(n, v)| to_change(n, *v)).collect();
        let (list, _) = compared(&known, &log_of(&other)).unwrap();
        prop_assert_eq!(list, expected);
    }
}

/// A complete list for each difference was most of what the busiest daemon sent after a restart of all.
#[test]
fn few_objects_are_sent_where_few_differ() {
    let known = log_of(&many(3_000));
    let mut sent = Vec::new();
    for changed in [0, 1, 10, 100] {
        let mut other = many(3_000);
        for number in 0..changed {
            other.insert(format!("daemon-{:04}", number * 29), 2);
        }
        sent.push((changed, compared(&known, &log_of(&other)).unwrap().1));
    }
    assert_yaml_snapshot!(sent);
}

/// The digests are those of the objects, however a daemon learned of them.
#[test]
fn removed_objects_and_revisions_do_not_count() {
    let known = log_of(&many(100));
    let mut other = log_of(&many(101));
    let removal = [Change::Removed("daemon-0100".to_owned())];
    record_changes(&mut other, &removal, 9.into());
    assert_eq!(compared(&known, &other).unwrap().1, 0);
}

#[test]
fn what_cannot_be_compared_is_not() {
    let known = log_of(&many(100));
    let digests = feed_digests(&known).unwrap();
    let outdated = compare_reply(&known, &digests, question(3_000));
    let no_digests = compare_reply(&known, &[], question(0));
    let too_many = compare_reply(&known, &[0; 257], question(0));
    let other = log_of(&many(3_000));
    let too_large = compare_reply(&other, &digests, question(0));
    assert_yaml_snapshot!((
        feed_digests(&log_of(&many(63))),
        [outdated, no_digests, too_many, too_large]
    ));
}
