//! The retries that the daemons of a deployment save up, all together.

use {
    crate::forward_site::{Site, site},
    lentillead::{
        board::{Host, HostState, Tick, Writers},
        port::PlacementOutcome,
        request::ForwardOptions,
    },
};

/// Daemons of the deployment.
const DAEMONS: u64 = 20;

/// Has the daemon of `site` know `count` daemons.
fn list_daemons(site: &mut Site, count: u64) {
    list_members(&mut site.writers, count);
}

/// Lists `count` daemons on the blackboard of `writers`.
pub fn list_members(writers: &mut Writers, count: u64) {
    writers.members.update(|members| {
        for number in 0..count {
            let name = format!("h{number}");
            let host = Host {
                name: name.clone(),
                zone: String::new(),
                address: String::new(),
                incarnation: 1,
                refutations: 0,
                cpu_hundredths: 0,
                state: HostState::Alive,
                changed_at: Tick::default(),
            };
            members.hosts.insert(&name, host);
        }
    });
}

/// Returns the retries that all daemons may make at once if each got its first request when it knew
/// `known(n)` daemons, of which `later` more have registered since.
async fn saved_retries(known: impl Fn(u64) -> u64, later: bool) -> u64 {
    let mut saved = 0;
    for number in 1..=DAEMONS {
        let mut site = site(PlacementOutcome::Unavailable, vec![]);
        list_daemons(&mut site, known(number));
        site.send("/read/").await;
        if later {
            list_daemons(&mut site, DAEMONS);
        }
        saved += site.entry.shared().budget("ledger").left();
    }
    saved
}

#[tokio::test(start_paused = true)]
async fn daemons_that_start_in_turn_save_up_no_more_retries_than_all_may() {
    let allowed = ForwardOptions::default().retry_slack;
    let seen = [
        ("in turn", saved_retries(|number| number, true).await),
        ("in pairs", saved_retries(|_| 2, true).await),
        (
            "in pairs, others unknown",
            saved_retries(|_| 2, false).await,
        ),
    ];
    let beyond: Vec<_> = seen.iter().filter(|(_, saved)| *saved > allowed).collect();
    assert!(beyond.is_empty(), "{beyond:?}, {allowed} allowed");
}
