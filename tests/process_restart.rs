//! Some dozens of daemons on the platform, as processes that are killed and started again at once.

use {
    super::{
        process::{PAUSE, Process},
        process_platform::{call, configure, start_service},
    },
    lentillead_soak::StoreStandIn,
    rand::seq::SliceRandom,
    serde_json::json,
    std::{
        collections::BTreeSet,
        fs::write,
        net::{SocketAddr, TcpListener},
        path::{Path, PathBuf},
    },
    tempfile::TempDir,
    tokio::{
        task::{JoinSet, spawn_blocking},
        time::{sleep, timeout},
    },
};

/// Number of daemons, in three zones: two of each zone read the store.
const DAEMONS: usize = 24;

/// Number of endpoints besides the one that is called; the stand-in has pages of two.
const IDLE_ENDPOINTS: usize = 300;

/// Settings file and caller address of one daemon.
#[derive(Clone, Debug)]
struct Front {
    settings: PathBuf,
    callers: SocketAddr,
}

/// Returns addresses that are free now, below the range from which connections get their ports: none of
/// them may take the address of a daemon that is down.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let mut ports: Vec<u16> = (12_000..32_000).collect();
    ports.shuffle(&mut rand::rng());
    let listeners: Vec<_> = ports
        .into_iter()
        .filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok())
        .take(count)
        .collect();
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses.map(Result::unwrap).collect()
}

fn prepare(folder: &Path, store: SocketAddr) -> Vec<Front> {
    let addresses = free_addresses(DAEMONS * 4);
    let daemons = addresses.chunks(4).enumerate();
    let prepared = daemons.map(|(number, addresses)| {
        let settings = folder.join(format!("front-{number}.yaml"));
        let contents = json!({
            "host": format!("front-{number}"), "zone": format!("zone-{}", number % 3),
            "store": store, "peer_key": "key", "grace_s": 8, "retry_slack": 50,
            "listen": {
                "callers": addresses[0], "readiness": addresses[1],
                "peers": addresses[2], "metrics": addresses[3],
            },
        });
        write(&settings, contents.to_string()).unwrap();
        Front {
            settings,
            callers: addresses[0],
        }
    });
    prepared.collect()
}

/// Starts all daemons at once.
async fn start(fronts: &[Front]) -> Vec<Process> {
    let mut starting = JoinSet::new();
    for front in fronts.iter().cloned() {
        starting.spawn(async move {
            let start = move || {
                let path = front.settings.to_str().unwrap();
                Process::start(&["platform", "serve", "--settings", path], "\"started\"")
            };
            spawn_blocking(start).await.unwrap()
        });
    }
    starting.join_all().await
}

/// Sends requests to every daemon until it answers one; returns the statuses that came before.
async fn statuses_until_served(fronts: &[Front]) -> BTreeSet<String> {
    let mut calling = JoinSet::new();
    for front in fronts.iter().cloned() {
        calling.spawn(async move {
            let mut before = BTreeSet::new();
            loop {
                match call(front.callers, "/read/quick").await {
                    Some((status, _)) if status.contains("200") => return before,
                    Some((status, _)) => before.insert(status),
                    None => before.insert("no response".to_owned()),
                };
                sleep(PAUSE).await;
            }
        });
    }
    let served = timeout(super::process::LIMIT, calling.join_all()).await;
    served
        .expect("every daemon serves")
        .into_iter()
        .flatten()
        .collect()
}

/// All daemons of a deployment started at once and waited for each other.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_are_killed_and_started_at_once_serve_again() {
    let store = StoreStandIn::start().await.unwrap();
    configure(&store, start_service().await);
    for number in 0..IDLE_ENDPOINTS {
        let idle = json!({
            "Service": "idle", "Address": "127.0.0.1:9", "Zone": "zone-a", "Version": "v1",
            "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Sequence": 1,
        });
        store.put("servers", &format!("idle-{number}"), &idle);
    }
    let folder = TempDir::new().unwrap();
    let fronts = prepare(folder.path(), store.address());
    let daemons = start(&fronts).await;
    statuses_until_served(&fronts).await;
    drop(daemons);
    let daemons = start(&fronts).await;
    let before = statuses_until_served(&fronts).await;
    // Until a daemon serves, it says that the request has not run.
    let allowed = BTreeSet::from(["HTTP/1.1 503 Service Unavailable".to_owned()]);
    assert!(before.is_subset(&allowed), "{before:?}");
    drop(daemons);
}
