//! The sheet in the platform's object store: complete submissions only, lost responses, concurrent
//! operators, lost revisions and damaged objects.

use {
    bytes::Bytes,
    insta::{assert_snapshot, assert_yaml_snapshot},
    lentillead::{
        board::Rule,
        border::{PlatformClient, read_sheet},
        control::{Acceptance, SheetCursor, SheetStore, SheetStoreError, Submission},
        decide::{by_branch, sheet_check},
        fake::{FakePlatform, Outage, PlatformControl, PlatformSettings},
        port::{ObjectStore, Platform, SheetChange},
    },
    std::{fmt::Write, time::Duration},
};

/// Time limit of a call to the platform, and of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const SHEET: &[u8] = include_bytes!("../examples/trin-cymru/sheet.csv");

type Store = SheetStore<PlatformClient>;

async fn start() -> (FakePlatform, PlatformClient, Store) {
    let fake = FakePlatform::start(PlatformSettings::default())
        .await
        .unwrap();
    let client = PlatformClient::new(&fake.url(), CALL_TIMEOUT).unwrap();
    (fake, client.clone(), SheetStore::new(client))
}

/// Rules of the example sheet, the first with this priority.
fn rules(priority: u8) -> Vec<Rule> {
    let mut rules = sheet_check(&read_sheet(SHEET).unwrap(), None).unwrap();
    rules[0].priority = priority;
    rules
}

fn submission(base: u64, change: &str, rules: Vec<Rule>) -> Submission {
    Submission {
        base,
        rules,
        change: change.to_owned(),
        author: "planner".to_owned(),
        time: 1_000 + base,
        known_revision: base,
    }
}

async fn submit(
    store: &Store,
    base: u64,
    change: &str,
    rules: Vec<Rule>,
) -> Result<Acceptance, SheetStoreError> {
    store.submit(submission(base, change, rules)).await
}

/// The revisions and the number of rules per branch of a change.
fn summary(change: Option<&SheetChange>) -> String {
    let Some(change) = change else {
        return "nothing".to_owned();
    };
    let branches = change.branches.iter();
    let branches = branches.map(|branch| format!("{}: {}", branch.branch, branch.rules.len()));
    let branches = branches.collect::<Vec<_>>().join(", ");
    format!("{} to {}: {branches}", change.from, change.revision)
}

#[tokio::test]
async fn a_change_carries_only_the_branches_that_changed() {
    let (fake, _, store) = start().await;
    let mut seen = String::new();
    let mut shortened = rules(5);
    shortened.truncate(4);
    let sheets = [rules(3), rules(5), rules(5), shortened, rules(5)];
    for (sheet, i) in sheets.into_iter().zip(0..) {
        let (base, _) = store.current().await.unwrap();
        let before = fake.observed();
        let accepted = submit(&store, base, &format!("c{i}"), sheet).await;
        let after = fake.observed();
        writeln!(
            seen,
            "{accepted:?}, {} reads, {} writes",
            after.reads - before.reads,
            after.creates + after.updates - before.creates - before.updates,
        )
        .unwrap();
    }
    for since in 0..=4 {
        let change = store.changes_since(since).await.unwrap();
        writeln!(seen, "since {since}: {}", summary(change.as_ref())).unwrap();
    }
    assert_eq!(store.at(1).await.unwrap(), by_branch(rules(3)));
    assert_eq!(store.at(2).await.unwrap(), by_branch(rules(5)));
    assert_eq!(store.at(3).await.unwrap().len(), 1);
    assert_eq!(store.current().await.unwrap(), (4, by_branch(rules(5))));
    assert_eq!(store.at(5).await, Err(SheetStoreError::NotKept(5)));
    assert_snapshot!("sheet_changes", seen);
}

#[tokio::test]
async fn writes_whose_response_was_lost_are_recognised() {
    let (fake, _, store) = start().await;
    let mut seen = Vec::new();
    for lost in 1..=4 {
        let (base, _) = store.current().await.unwrap();
        fake.control(PlatformControl {
            lose_next: Some(lost),
            ..PlatformControl::default()
        });
        let sheet = rules(lost as u8);
        let change = format!("lost-{lost}");
        let first = submit(&store, base, &change, sheet.clone()).await;
        let again = submit(&store, base, &change, sheet).await;
        assert_eq!(first, again);
        seen.push((lost, first.unwrap().revision));
    }
    fake.control(PlatformControl {
        lose_next: Some(0),
        ..PlatformControl::default()
    });
    let history = store.history().await.unwrap();
    assert_yaml_snapshot!("sheet_lost_responses", (seen, history));
}

#[tokio::test]
async fn the_second_of_two_operators_gets_the_revision_in_force() {
    let (_fake, _, store) = start().await;
    submit(&store, 0, "first", rules(1)).await.unwrap();
    let (one, two) = tokio::join!(
        submit(&store, 1, "one", rules(2)),
        submit(&store, 1, "two", rules(3)),
    );
    let accepted = [&one, &two].into_iter().flatten().count();
    let refused = one.err().or(two.err()).unwrap();
    assert_eq!(accepted, 1);
    let (_, in_force) = store.current().await.unwrap();
    assert!([by_branch(rules(2)), by_branch(rules(3))].contains(&in_force));
    let bad_name = submit(&store, 2, "../Index", rules(4)).await.unwrap_err();
    assert_snapshot!("sheet_race", format!("{refused}\n{bad_name}"));
}

#[tokio::test]
async fn stale_reads_and_outages_change_nothing() {
    let (fake, _, store) = start().await;
    submit(&store, 0, "first", rules(1)).await.unwrap();
    submit(&store, 1, "second", rules(2)).await.unwrap();
    fake.control(PlatformControl {
        stale_next: Some(1),
        ..PlatformControl::default()
    });
    let accepted = submit(&store, 2, "third", rules(3)).await.unwrap();
    assert_eq!(accepted.revision, 3);
    fake.set_outage(Outage::Error);
    let refused = submit(&store, 3, "fourth", rules(4)).await;
    assert!(
        matches!(refused, Err(SheetStoreError::Platform(_))),
        "{refused:?}"
    );
    fake.set_outage(Outage::None);
    assert_eq!(store.current().await.unwrap(), (3, by_branch(rules(3))));
}

#[tokio::test]
async fn a_revision_that_the_store_lost_is_not_assigned_again() {
    let (_fake, _, store) = start().await;
    submit(&store, 0, "first", rules(1)).await.unwrap();
    let mut cursor = SheetCursor {
        version: 0,
        revision: 7,
    };
    let older = store.watch(&mut cursor, CALL_TIMEOUT).await.unwrap();
    assert_eq!((older, cursor.revision), (None, 7));
    let accepted = submit(&store, 7, "after", rules(1)).await.unwrap();
    let change = store.watch(&mut cursor, CALL_TIMEOUT).await.unwrap();
    assert_eq!((accepted.revision, cursor.revision), (8, 8));
    assert_snapshot!("sheet_lost_revision", summary(change.as_ref()));
}

#[tokio::test]
async fn old_changes_are_dropped_and_their_objects_emptied() {
    let (_fake, client, store) = start().await;
    for base in 0..130 {
        let sheet = rules(base as u8 % 10);
        submit(&store, base, &format!("c{base}"), sheet)
            .await
            .unwrap();
    }
    let mut bytes = 0;
    for object in client.list("sheet/change/").await.unwrap() {
        bytes += client.read(&object.name).await.unwrap().unwrap().body.len();
    }
    let history = store.history().await.unwrap();
    let oldest = history[0].revision;
    let change = store.changes_since(oldest - 2).await.unwrap();
    assert!(bytes < 200_000, "{bytes}");
    assert_eq!(
        store.at(oldest - 2).await,
        Err(SheetStoreError::NotKept(oldest - 2))
    );
    assert_eq!(
        store.at(oldest).await.unwrap(),
        by_branch(rules((oldest - 1) as u8 % 10))
    );
    assert_snapshot!(
        "sheet_pruned",
        format!("oldest {oldest}; {}", summary(change.as_ref()))
    );
}

#[tokio::test]
async fn damaged_objects_are_refused_and_written_again() {
    const INDEX: &str = "sheet/index";

    let (_fake, client, store) = start().await;
    submit(&store, 0, "c0", rules(1)).await.unwrap();
    let mut seen = Vec::new();
    for (base, body) in [
        (1, r#"{"format":1,"base":0,"branches":[]}"#),
        (2, r#"{"format":1,"bas"#),
    ] {
        let part = format!("sheet/change/c{}.{}/0", base - 1, base - 1);
        let body = Bytes::from_static(body.as_bytes());
        client.update(&part, 1, body).await.unwrap();
        seen.push(store.changes_since(0).await.unwrap_err().to_string());
        let accepted = submit(&store, base, &format!("c{base}"), rules(1)).await;
        seen.push(format!("{accepted:?}"));
        let change = store.changes_since(base).await.unwrap();
        seen.push(summary(change.as_ref()));
    }
    let body = Bytes::from_static(br#"{"format":2}"#);
    client.update(INDEX, 3, body).await.unwrap();
    seen.push(store.changes_since(0).await.unwrap_err().to_string());
    let refused = submit(&store, 3, "c3", rules(2)).await.unwrap_err();
    seen.push(refused.to_string());
    assert_snapshot!("sheet_damaged", seen.join("\n"));
}
