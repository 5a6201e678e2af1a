//! Distribution of the sheet between daemons: few of them watch the platform; partitions, restarts
//! and outages never lead back to an older revision.

use {
    crate::cluster::{Cluster, name},
    insta::assert_debug_snapshot,
    lentillead::{
        board::{Repeat, Route, Rule, Target},
        control::{SheetStore, Submission},
        decide::SheetLog,
        fake::MemoryPlatform,
        port::{BranchRules, SheetChange},
    },
    std::time::Duration,
    tokio::time::sleep,
};

fn rule(branch: &str, kind: &str) -> Rule {
    Rule {
        branch: String::from(branch),
        kind: String::from(kind),
        route: Route::Service {
            pool: String::from("p"),
        },
        priority: 1,
        model: String::new(),
        version: String::new(),
        adapter: None,
        repeat: Repeat::Idempotent,
        target: Target {
            first_token: Duration::from_secs(1),
            per_token: Duration::from_millis(36),
        },
        borrow: None,
    }
}

/// Change with the kinds of each branch; `from` 0 is a complete sheet.
fn change(from: u64, revision: u64, branches: &[(&str, &[&str])]) -> SheetChange {
    let rules = |branch: &str, kinds: &[&str]| kinds.iter().map(|k| rule(branch, k)).collect();
    let branches = branches.iter().map(|(branch, kinds)| BranchRules {
        branch: String::from(*branch),
        rules: rules(branch, kinds),
    });
    SheetChange {
        from,
        revision,
        branches: branches.collect(),
    }
}

/// Submits a sheet with one rule for each of two branches; returns its revision.
async fn submit(platform: &MemoryPlatform, base: u64, kind: &str) -> u64 {
    let submission = Submission {
        base,
        rules: vec![rule("north", kind), rule("south", "diary")],
        change: format!("change-{base}"),
        author: String::from("tests"),
        time: 1,
        known_revision: 0,
    };
    let store = SheetStore::new(platform.clone());
    store.submit(submission).await.unwrap().revision
}

/// Revision in force at every running host.
fn revisions(cluster: &Cluster) -> Vec<u64> {
    let planes = cluster.planes.values();
    planes
        .map(|plane| plane.board.sheet.load().revision)
        .collect()
}

#[test]
fn log_applies_only_later_changes() {
    let mut log = SheetLog::default();
    let mut steps = Vec::new();
    let changes = [
        change(0, 4, &[("north", &["a", "b"]), ("south", &["c"])]),
        change(0, 3, &[("north", &["old"])]),
        change(6, 7, &[("north", &["ahead"])]),
        change(4, 5, &[("south", &[])]),
        change(0, 9, &[("north", &["a", "b"]), ("east", &["d"])]),
    ];
    for change in changes {
        let span = (change.from, change.revision);
        let applied = log.apply(change);
        let sheet = log.sheet();
        let mut rules: Vec<_> = sheet
            .rules
            .values()
            .map(|r| format!("{} {}", r.branch, r.kind))
            .collect();
        rules.sort();
        steps.push((span, applied, log.revision(), rules));
    }
    let since: Vec<_> = [0, 4, 5, 9]
        .map(|since| {
            let change = log.changes_since(since);
            let branches = change
                .branches
                .iter()
                .map(|b| (b.branch.clone(), b.rules.len()));
            (
                since,
                change.from,
                change.revision,
                branches.collect::<Vec<_>>(),
            )
        })
        .into();
    assert_debug_snapshot!("sheet_log", (steps, since));
}

#[tokio::test(start_paused = true)]
async fn the_sheet_spreads_and_never_reverts() {
    let mut cluster = Cluster::start(12);
    let mut steps = Vec::new();
    let first = submit(&cluster.platform, 0, "stock").await;
    let all_at =
        |revision| move |cluster: &Cluster| revisions(cluster).iter().all(|held| *held == revision);
    steps.push(("first sheet everywhere", cluster.until(all_at(first)).await));

    let isolated: Vec<_> = (0..3).map(name).collect();
    let rest: Vec<_> = (3..12).map(name).collect();
    cluster.partition.split(&isolated, &rest);
    let second = submit(&cluster.platform, first, "order").await;
    let reached = move |cluster: &Cluster| {
        rest.iter()
            .all(|name| cluster.planes[name].board.sheet.load().revision == second)
    };
    steps.push(("second sheet on one side", cluster.until(reached).await));
    cluster.partition.heal();
    steps.push((
        "other side after the partition",
        cluster.until(all_at(second)).await,
    ));

    cluster.platform.reset();
    submit(&cluster.platform, 0, "stock").await;
    for i in 0..4 {
        cluster.kill(i);
        cluster.start_host(i, 2);
    }
    steps.push((
        "restarts with an old store",
        cluster.until(all_at(second)).await,
    ));
    sleep(Duration::from_secs(30)).await;
    steps.push(("no revert", all_at(second)(&cluster)));

    cluster.platform.set_unavailable(true);
    cluster.kill(9);
    cluster.start_host(9, 2);
    steps.push(("restart in an outage", cluster.until(all_at(second)).await));
    assert_debug_snapshot!("sheet_spread", steps);
}
