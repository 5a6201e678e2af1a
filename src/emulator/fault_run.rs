use {
    super::{
        Caller, FaultAction, FaultReport, FaultSchedule, FaultSend, LoadItem, Observation, Site,
        SiteError, SiteOptions, Verdict, fault_schedule::POISON,
    },
    crate::fake::{EngineControl, Fault, Outage, PlatformControl, ServiceControl},
    reqwest::Client,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// Bound on the time until all engine memory is free after the last fault has ended.
const FREE_TIME: Duration = Duration::from_secs(45);

/// Time that a caller waits for any end of its request.
const PATIENCE: Duration = Duration::from_mins(1);

/// Sends `schedule` to a new site and judges the result.
///
/// When all faults have ended, every keyed request is sent once more: it must not run again.
pub async fn run_schedule(schedule: &FaultSchedule) -> Result<FaultReport, SiteError> {
    let mut site = Site::start(options(schedule)).await?;
    let caller = Caller::new(Client::new(), PATIENCE);
    let mut seen = play(&mut site, schedule, &caller).await?;
    mend(&mut site).await?;
    let free = site.memory_free(FREE_TIME).await;
    let first = judge(&site, schedule.sends.len(), &seen);
    let again = send_again(&site, schedule, &caller).await;
    let sent = schedule.sends.len() + again.len();
    seen.extend(again);
    site.memory_free(FREE_TIME).await;
    let mut verdict = judge(&site, sent, &seen);
    verdict.ran_unsaid += first.ran_unsaid;
    verdict.memory_held_after += first.memory_held_after;
    Ok(FaultReport::new(schedule, verdict, &seen, free))
}

fn options(schedule: &FaultSchedule) -> SiteOptions {
    SiteOptions {
        seed: schedule.seed,
        poison: POISON,
        ..SiteOptions::fast(schedule.profile)
    }
}

fn judge(site: &Site, sent: usize, seen: &[Observation]) -> Verdict {
    Verdict::judge(
        sent as u32,
        seen,
        &site.engines_seen(),
        &site.services_seen(),
    )
}

/// Sends every request and causes every fault at its time.
async fn play(
    site: &mut Site,
    schedule: &FaultSchedule,
    caller: &Caller,
) -> Result<Vec<Observation>, SiteError> {
    let start = Instant::now();
    let mut running = JoinSet::new();
    let mut sends = schedule.sends.iter().peekable();
    for event in &schedule.events {
        while let Some(send) = sends.next_if(|send| send.item.at <= event.at) {
            sleep_until(start + send.item.at).await;
            spawn(&mut running, site, schedule, caller, send);
        }
        sleep_until(start + event.at).await;
        act(site, &event.action).await?;
    }
    for send in sends {
        sleep_until(start + send.item.at).await;
        spawn(&mut running, site, schedule, caller, send);
    }
    Ok(running.join_all().await)
}

fn spawn(
    running: &mut JoinSet<Observation>,
    site: &Site,
    schedule: &FaultSchedule,
    caller: &Caller,
    send: &FaultSend,
) {
    let address = address(site, send.daemon);
    let (model, _, _) = schedule.profile.model();
    let (caller, item) = (caller.clone(), send.item.clone());
    running.spawn(async move { ask(&caller, address, model, &item).await });
}

async fn ask(
    caller: &Caller,
    address: Option<SocketAddr>,
    model: &str,
    item: &LoadItem,
) -> Observation {
    let address = address.map_or_else(String::new, |address| address.to_string());
    let key = Site::branch_key(&item.branch);
    caller.send(&address, &key, model, item).await
}

/// Address of a daemon, or of the next one that runs.
fn address(site: &Site, daemon: usize) -> Option<SocketAddr> {
    let count = site.daemons.len();
    let mut slots = (0..count).map(|step| &site.daemons[(daemon + step) % count]);
    slots.find_map(|slot| Some(slot.as_ref()?.addresses().callers))
}

async fn act(site: &mut Site, action: &FaultAction) -> Result<(), SiteError> {
    match action {
        FaultAction::Engine { number, fault } => {
            site.engines[*number].control(&EngineControl {
                faults: vec![fault.clone()],
                ..EngineControl::default()
            });
        }
        FaultAction::EngineDies(number) => site.engines[*number].control(&EngineControl {
            die: true,
            ..EngineControl::default()
        }),
        FaultAction::Service { number, fault } => {
            site.services[*number].control(&service_fault(fault));
        }
        FaultAction::Platform(control) => site.platform.control(control.clone()),
        FaultAction::Crash(number) => site.crash_daemon(*number),
        FaultAction::Start(number) if site.daemons[*number].is_none() => {
            site.start_daemon(*number).await?;
        }
        FaultAction::Start(_) => {}
    }
    Ok(())
}

fn service_fault(fault: &Fault) -> ServiceControl {
    ServiceControl {
        faults: vec![fault.clone()],
        ..ServiceControl::default()
    }
}

/// Ends all faults and starts the daemons that are down.
async fn mend(site: &mut Site) -> Result<(), SiteError> {
    for engine in &site.engines {
        engine.control(&EngineControl {
            clear: true,
            ..EngineControl::default()
        });
    }
    for service in &site.services {
        service.control(&ServiceControl {
            clear: true,
            ..ServiceControl::default()
        });
    }
    site.platform.control(PlatformControl {
        outage: Some(Outage::None),
        delay_ms: Some(0),
        lose_next: Some(0),
        lose_share: Some(0.0),
        stale_next: Some(0),
        stale_share: Some(0.0),
        ..PlatformControl::default()
    });
    for number in 0..site.daemons.len() {
        act(site, &FaultAction::Start(number)).await?;
    }
    site.ready().await
}

/// Sends each keyed request once more.
async fn send_again(site: &Site, schedule: &FaultSchedule, caller: &Caller) -> Vec<Observation> {
    let keyed: BTreeMap<_, _> = schedule
        .sends
        .iter()
        .filter_map(|send| Some((send.item.key()?, send)))
        .collect();
    let mut running = JoinSet::new();
    for send in keyed.values() {
        let mut again = FaultSend::clone(send);
        again.item.leave = None;
        spawn(&mut running, site, schedule, caller, &again);
    }
    running.join_all().await
}
