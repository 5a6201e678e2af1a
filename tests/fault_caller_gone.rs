//! Guards against memory or attempts that outlive their caller: callers disconnect at each stage of
//! a request, at a site where nothing else ends the request.

use {
    crate::fault_failures::{
        NEVER_MS, completion, inject, is_free, live, no_timeouts, send, site, stall_tokens, sum,
        wait,
    },
    insta::assert_yaml_snapshot,
    lentillead::{
        emulator::{Site, SiteOptions},
        fake::{EngineControl, EngineObserved, Fault, FaultKind, RunObserved},
    },
    std::{collections::BTreeSet, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Interval between checks of the owners' boards.
const PAUSE: Duration = Duration::from_millis(10);

/// Additional time for a request to settle in its stage.
const SETTLE: Duration = Duration::from_millis(300);

/// Sends a request that no endpoint ends and disconnects its caller once `reached` holds. Returns
/// whether all memory was freed, and the number of attempts. Without a `fault` the request waits in
/// a queue, and requests are counted instead. A request that went on would raise the count.
async fn disconnect<F>(options: SiteOptions, fault: Option<Fault>, reached: F) -> (bool, u64)
where
    F: Fn(&[EngineObserved]) -> bool,
{
    let site = site(options).await;
    let queued = fault.is_none();
    if let Some(fault) = fault {
        inject(&site, &fault);
    } else {
        set_draining(&site, true);
        wait_draining(&site).await;
    }
    let sent = send(&site, 0, &completion(0, 3_000));
    wait(&site, reached).await;
    sleep(SETTLE).await;
    sent.abort();
    drop(sent.await);
    let free = is_free(&site).await;
    set_draining(&site, false);
    if queued {
        // A request still in the queue would be placed before this one.
        send(&site, 0, &completion(1, 300)).await.unwrap();
    }
    let count = if queued {
        requests(&site) as u64
    } else {
        sum(&site, |engine| engine.totals.runs)
    };
    (free, count)
}

/// Number of requests that ran at any engine; several attempts of a request count once.
fn requests(site: &Site) -> usize {
    let seen = site.observe_engines();
    let runs = seen.iter().flat_map(|engine| &engine.runs);
    let request = |run: &RunObserved| Some(run.attempt.rsplit_once('-')?.0.to_owned());
    runs.filter_map(request).collect::<BTreeSet<_>>().len()
}

/// Waits until the owner of every engine knows that the engine drains.
async fn wait_draining(site: &Site) {
    let known = || {
        let fleets = site
            .daemons
            .iter()
            .flatten()
            .map(|daemon| daemon.board().fleet.snapshot());
        let mut engines = BTreeSet::new();
        for fleet in fleets {
            let draining = fleet
                .endpoints
                .iter()
                .filter(|(_, endpoint)| endpoint.counters.is_draining());
            engines.extend(draining.map(|(_, endpoint)| endpoint.name.clone()));
        }
        engines.len()
    };
    while known() < site.engines.len() {
        sleep(PAUSE).await;
    }
}

/// Sets or clears the reported drain of every engine.
fn set_draining(site: &Site, draining: bool) {
    for engine in &site.engines {
        engine.control(&EngineControl {
            leaving: Some(draining),
            ..EngineControl::default()
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects_at_each_stage() {
    let slow = || SiteOptions {
        scale: 10.0,
        ..no_timeouts()
    };
    let stall = Fault::chance(FaultKind::StallTransfer, 1.0).lasting(NEVER_MS);
    let refuse = Fault::chance(FaultKind::Refuse, 0.0);
    let mut stages = JoinSet::new();
    stages.spawn(async move { ("queued", disconnect(no_timeouts(), None, |_| true).await) });
    stages.spawn(async move {
        let prefilling = |seen: &[EngineObserved]| live(seen, true) > 0;
        (
            "prefilling",
            disconnect(slow(), Some(refuse), prefilling).await,
        )
    });
    stages.spawn(async move {
        let importing = |seen: &[EngineObserved]| live(seen, true) > 0 && live(seen, false) > 0;
        (
            "in transfer",
            disconnect(slow(), Some(stall), importing).await,
        )
    });
    stages.spawn(async move {
        let decoding = |seen: &[EngineObserved]| {
            seen.iter()
                .any(|engine| engine.runs.iter().any(|run| run.generated >= 3))
        };
        (
            "decoding",
            disconnect(slow(), Some(stall_tokens()), decoding).await,
        )
    });
    let mut seen = stages.join_all().await;
    seen.sort_unstable();
    assert_yaml_snapshot!("failure_caller_gone", seen);
}
