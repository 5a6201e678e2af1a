//! A follower of the sheet holds the sheet in force after any mix of submissions, lost responses of
//! the platform and stale reads.

use {
    bytes::Bytes,
    lentillead::{
        board::Rule,
        border::{PlatformClient, read_sheet},
        control::{SheetStore, SheetStoreError, Submission},
        decide::{RulesByBranch, by_branch, sheet_check},
        fake::{FakePlatform, Outage, PlatformControl, PlatformSettings},
        port::{HostEntry, Object, ObjectName, ObjectStore, Platform, PlatformError, SheetChange},
    },
    proptest::{collection::vec, prelude::ProptestConfig, proptest},
    std::{sync::Arc, time::Duration},
    tokio::runtime::Runtime,
};

/// Time limit of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const SHEET: &[u8] = include_bytes!("../examples/trin-cymru/sheet.csv");
/// Number of different sheets.
const SHEETS: u8 = 6;

/// One submission: the sheet, the number of lost responses, the number of stale reads, and whether
/// the operator starts from an older revision.
type Step = (u8, u32, u32, bool);

/// Rules of one of `SHEETS` sheets; some of them lack a branch.
fn rules(sheet: u8) -> Vec<Rule> {
    let mut rules = sheet_check(&read_sheet(SHEET).unwrap(), None).unwrap();
    rules[0].priority = sheet;
    match sheet % 3 {
        1 => rules.truncate(4),
        2 => rules.drain(..4).for_each(drop),
        _ => {}
    }
    rules
}

fn submission(base: u64, change: &str, sheet: u8) -> Submission {
    Submission {
        base,
        rules: rules(sheet),
        change: change.to_owned(),
        author: "planner".to_owned(),
        time: 0,
        known_revision: base,
    }
}

/// Applies a change to the revision and rules that a follower holds.
fn follow(held: &mut (u64, RulesByBranch), change: SheetChange) {
    assert!(change.revision > held.0, "a revision went back");
    assert!(
        change.from == 0 || change.from == held.0,
        "a gap in the changes"
    );
    if change.from == 0 {
        held.1.clear();
    }
    for branch in change.branches {
        held.1.remove(&branch.branch);
        if !branch.rules.is_empty() {
            held.1.insert(branch.branch, branch.rules);
        }
    }
    held.0 = change.revision;
}

/// Submits each step, lets a follower read the changes after every second one, and checks the
/// follower and the history against the accepted sheets.
async fn run(steps: Vec<Step>) {
    let fake = FakePlatform::start(PlatformSettings::default())
        .await
        .unwrap();
    let client = PlatformClient::new(&fake.url(), CALL_TIMEOUT).unwrap();
    let store = SheetStore::new(client);
    let mut accepted = vec![RulesByBranch::new()];
    let mut held = (0, RulesByBranch::new());
    for ((sheet, lost, stale, outdated), i) in steps.into_iter().zip(0..) {
        let in_force = accepted.len() as u64 - 1;
        let base = if outdated {
            in_force.saturating_sub(1)
        } else {
            in_force
        };
        fake.control(PlatformControl {
            lose_next: Some(lost),
            stale_next: Some(stale),
            ..PlatformControl::default()
        });
        let mut submission = submission(base, &format!("c{i}"), sheet);
        submission.known_revision = in_force;
        let result = store.submit(submission).await;
        fake.control(PlatformControl {
            lose_next: Some(0),
            stale_next: Some(0),
            ..PlatformControl::default()
        });
        match result {
            Ok(acceptance) if acceptance.branches == 0 => {
                assert_eq!(acceptance.revision, in_force);
                assert_eq!(accepted.last(), Some(&by_branch(rules(sheet))));
            }
            Ok(acceptance) => {
                accepted.push(by_branch(rules(sheet)));
                assert_eq!(acceptance.revision, in_force + 1);
            }
            Err(error) => {
                let conflict = matches!(error, SheetStoreError::Conflict { .. });
                let failed = matches!(error, SheetStoreError::Platform(_));
                assert!((conflict && outdated) || (failed && stale > 0), "{error}");
            }
        }
        if i % 2 == 0
            && let Some(change) = store.changes_since(held.0).await.unwrap()
        {
            follow(&mut held, change);
            assert_eq!(Some(&held.1), accepted.last());
        }
    }
    for (sheet, revision) in accepted.iter().zip(0..) {
        assert_eq!(&store.at(revision).await.unwrap(), sheet);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn followers_hold_the_sheet_in_force(
        steps in vec((0..SHEETS, 0..3_u32, 0..3_u32, proptest::bool::weighted(0.2)), 1..10),
    ) {
        Runtime::new().unwrap().block_on(run(steps));
    }
}

/// Platform client whose platform becomes unavailable right after an update took effect.
#[derive(Clone)]
struct OutageAfterUpdate {
    client: PlatformClient,
    fake: Arc<FakePlatform>,
}

impl ObjectStore for OutageAfterUpdate {
    async fn read(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        self.client.read(name).await
    }

    async fn create(&self, name: &str, body: Bytes) -> Result<u64, PlatformError> {
        self.client.create(name, body).await
    }

    async fn update(&self, name: &str, expected: u64, body: Bytes) -> Result<u64, PlatformError> {
        self.client.update(name, expected, body).await?;
        self.fake.set_outage(Outage::Error);
        Err(PlatformError::Unknown("cut".to_owned()))
    }
}

impl Platform for OutageAfterUpdate {
    async fn list(&self, prefix: &str) -> Result<Vec<ObjectName>, PlatformError> {
        self.client.list(prefix).await
    }

    async fn watch(
        &self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        self.client.watch(name, after, wait).await
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        self.client.hosts().await
    }
}

#[tokio::test]
async fn an_unknown_outcome_is_reported_and_resolved_with_the_same_change_id() {
    let fake = FakePlatform::start(PlatformSettings::default())
        .await
        .unwrap();
    let fake = Arc::new(fake);
    let client = PlatformClient::new(&fake.url(), CALL_TIMEOUT).unwrap();
    let store = SheetStore::new(client.clone());
    store.submit(submission(0, "one", 0)).await.unwrap();
    let failing = SheetStore::new(OutageAfterUpdate {
        client,
        fake: Arc::clone(&fake),
    });
    let unknown = failing.submit(submission(1, "two", 3)).await.unwrap_err();
    fake.set_outage(Outage::None);
    let again = store.submit(submission(1, "two", 3)).await.unwrap();
    assert!(matches!(unknown, SheetStoreError::Unknown { change, .. } if change == "two"));
    assert_eq!((again.revision, again.branches), (2, 1));
    assert_eq!(store.history().await.unwrap().len(), 2);
}
