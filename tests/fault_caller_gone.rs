//! Callers that go away at each stage of a request, on a site where nothing else ends it.

use {
    crate::fault_failures::{
        AGES_MS, completion, inject, is_free, live, patient, send, site, stall_tokens, sum, wait,
    },
    insta::assert_yaml_snapshot,
    lentillead::{
        emulator::{Site, SiteOptions},
        fake::{EngineControl, EngineObserved, Fault, FaultKind, RunObserved},
    },
    std::{collections::BTreeSet, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Pause between looks at what owners know.
const PAUSE: Duration = Duration::from_millis(10);

/// Time for a request to reach its stage.
const SETTLE: Duration = Duration::from_millis(300);

/// Sends a request that no endpoint ends, lets its caller go at a stage, and looks at the
/// memory and the number of attempts, of requests where it waited for a place: one that goes on
/// would make more of them.
async fn leave<F>(options: SiteOptions, fault: Option<Fault>, reached: F) -> (bool, u64)
where
    F: Fn(&[EngineObserved]) -> bool,
{
    let site = site(options).await;
    let queued = fault.is_none();
    if let Some(fault) = fault {
        inject(&site, &fault);
    } else {
        lead_away(&site, true);
        led_away(&site).await;
    }
    let sent = send(&site, 0, &completion(0, 3_000));
    wait(&site, reached).await;
    sleep(SETTLE).await;
    sent.abort();
    drop(sent.await);
    let free = is_free(&site).await;
    lead_away(&site, false);
    if queued {
        // What still waits would get its place before this one.
        send(&site, 0, &completion(1, 300)).await.unwrap();
    }
    let count = if queued {
        requests(&site) as u64
    } else {
        sum(&site, |engine| engine.totals.runs)
    };
    (free, count)
}

/// Requests that ran anywhere, whatever the number of their attempts.
fn requests(site: &Site) -> usize {
    let seen = site.observe_engines();
    let runs = seen.iter().flat_map(|engine| &engine.runs);
    let request = |run: &RunObserved| Some(run.attempt.rsplit_once('-')?.0.to_owned());
    runs.filter_map(request).collect::<BTreeSet<_>>().len()
}

/// Waits until the owner of every engine knows that the engine leaves.
async fn led_away(site: &Site) {
    let known = || {
        let fleets = site
            .daemons
            .iter()
            .flatten()
            .map(|daemon| daemon.board().fleet.snapshot());
        let mut engines = BTreeSet::new();
        for fleet in fleets {
            let leaving = fleet
                .endpoints
                .iter()
                .filter(|(_, endpoint)| endpoint.counters.is_draining());
            engines.extend(leaving.map(|(_, endpoint)| endpoint.name.clone()));
        }
        engines.len()
    };
    while known() < site.engines.len() {
        sleep(PAUSE).await;
    }
}

/// Lets every engine announce that it leaves, or take it back.
fn lead_away(site: &Site, leaving: bool) {
    for engine in &site.engines {
        engine.control(&EngineControl {
            leaving: Some(leaving),
            ..EngineControl::default()
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_goes_at_each_stage() {
    let slow = || SiteOptions {
        scale: 10.0,
        ..patient()
    };
    let stall = Fault::chance(FaultKind::StallTransfer, 1.0).lasting(AGES_MS);
    let refuse = Fault::chance(FaultKind::Refuse, 0.0);
    let mut stages = JoinSet::new();
    stages.spawn(async move { ("queued", leave(patient(), None, |_| true).await) });
    stages.spawn(async move {
        let prefilling = |seen: &[EngineObserved]| live(seen, true) > 0;
        ("prefilling", leave(slow(), Some(refuse), prefilling).await)
    });
    stages.spawn(async move {
        let importing = |seen: &[EngineObserved]| live(seen, true) > 0 && live(seen, false) > 0;
        ("in transfer", leave(slow(), Some(stall), importing).await)
    });
    stages.spawn(async move {
        let decoding = |seen: &[EngineObserved]| {
            seen.iter()
                .any(|engine| engine.runs.iter().any(|run| run.generated >= 3))
        };
        (
            "decoding",
            leave(slow(), Some(stall_tokens()), decoding).await,
        )
    });
    let mut seen = stages.join_all().await;
    seen.sort_unstable();
    assert_yaml_snapshot!("failure_caller_gone", seen);
}
