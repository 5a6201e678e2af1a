use {
    super::{
        Caller, FaultAction, FaultReport, FaultSchedule, LoadItem, Observation, ScheduledSend,
        Site, SiteError, SiteOptions, Verdict, fault_schedule::POISON,
    },
    crate::fake::{EngineControl, Fault, Outage, PlatformControl, ServiceControl},
    reqwest::Client,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// Time limit for all engine memory to become free after the last fault has ended.
const MEMORY_FREE_TIMEOUT: Duration = Duration::from_secs(45);

/// Time after which a caller records a request that has not ended as lost.
const CALLER_TIMEOUT: Duration = Duration::from_mins(1);

/// Runs `schedule` on a new site and checks the invariants.
///
/// When all faults have ended, every request with an idempotency key is sent once more: it must not
/// run again. Fails if the site does not start or does not become ready again after the faults.
pub async fn run_schedule(schedule: &FaultSchedule) -> Result<FaultReport, SiteError> {
    let mut site = Site::start(options(schedule)).await?;
    let caller = Caller::new(Client::new(), CALLER_TIMEOUT);
    let mut observations = run_events(&mut site, schedule, &caller).await?;
    clear_faults(&mut site).await?;
    let memory_free = site.wait_memory_free(MEMORY_FREE_TIMEOUT).await;
    let first = judge(&site, schedule.sends.len(), &observations);
    let resent = resend_keyed(&site, schedule, &caller).await;
    let sent = schedule.sends.len() + resent.len();
    observations.extend(resent);
    site.wait_memory_free(MEMORY_FREE_TIMEOUT).await;
    let mut verdict = judge(&site, sent, &observations);
    verdict.ran_unsaid += first.ran_unsaid;
    verdict.memory_held_after += first.memory_held_after;
    Ok(FaultReport::new(
        schedule,
        verdict,
        &observations,
        memory_free,
    ))
}

/// Options of the site that `schedule` runs on.
fn options(schedule: &FaultSchedule) -> SiteOptions {
    SiteOptions {
        seed: schedule.seed,
        poison: POISON,
        ..SiteOptions::fast(schedule.profile)
    }
}

fn judge(site: &Site, sent: usize, observations: &[Observation]) -> Verdict {
    Verdict::judge(
        sent as u32,
        observations,
        &site.observe_engines(),
        &site.observe_services(),
    )
}

/// Sends every request and injects every fault at its scheduled time.
async fn run_events(
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
        apply_action(site, &event.action).await?;
    }
    for send in sends {
        sleep_until(start + send.item.at).await;
        spawn(&mut running, site, schedule, caller, send);
    }
    Ok(running.join_all().await)
}

/// Starts to send one scheduled request, in a task of `running`.
fn spawn(
    running: &mut JoinSet<Observation>,
    site: &Site,
    schedule: &FaultSchedule,
    caller: &Caller,
    send: &ScheduledSend,
) {
    let address = address(site, send.daemon);
    let (model, _, _) = schedule.profile.model();
    let (caller, item) = (caller.clone(), send.item.clone());
    running.spawn(async move { send_item(&caller, address, model, &item).await });
}

async fn send_item(
    caller: &Caller,
    address: Option<SocketAddr>,
    model: &str,
    item: &LoadItem,
) -> Observation {
    let address = address.map_or_else(String::new, |address| address.to_string());
    let key = Site::branch_key(&item.branch);
    caller.send(&address, &key, model, item).await
}

/// Caller listener of the daemon in slot `daemon`, or of the next running daemon; none if no daemon
/// runs.
fn address(site: &Site, daemon: usize) -> Option<SocketAddr> {
    let count = site.daemons.len();
    let mut slots = (0..count).map(|step| &site.daemons[(daemon + step) % count]);
    slots.find_map(|slot| Some(slot.as_ref()?.addresses().callers))
}

/// Injects one fault.
async fn apply_action(site: &mut Site, action: &FaultAction) -> Result<(), SiteError> {
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

/// Control call that activates one fault of a service.
fn service_fault(fault: &Fault) -> ServiceControl {
    ServiceControl {
        faults: vec![fault.clone()],
        ..ServiceControl::default()
    }
}

/// Ends all faults, starts the daemons that are down and waits until the site is ready.
async fn clear_faults(site: &mut Site) -> Result<(), SiteError> {
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
        apply_action(site, &FaultAction::Start(number)).await?;
    }
    site.wait_ready().await
}

/// Sends each request with an idempotency key once more.
async fn resend_keyed(site: &Site, schedule: &FaultSchedule, caller: &Caller) -> Vec<Observation> {
    let keyed: BTreeMap<_, _> = schedule
        .sends
        .iter()
        .filter_map(|send| Some((send.item.key()?, send)))
        .collect();
    let mut running = JoinSet::new();
    for send in keyed.values() {
        let mut repetition = ScheduledSend::clone(send);
        repetition.item.disconnect_after = None;
        spawn(&mut running, site, schedule, caller, &repetition);
    }
    running.join_all().await
}
