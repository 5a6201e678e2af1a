use {
    super::{
        FakePlatform, PlatformObserved, PlatformSettings, ProcessUsage,
        capacity_host::{CapacityHost, HostShared},
        capacity_sheet::CapacitySheet,
    },
    crate::{
        board::{
            Endpoint, EndpointCounters, Fleet, HostList, HostState, ListedHost, LoadedModels, Pool,
            Role,
        },
        border::{PeerTraffic, PlatformClient},
        decide::MemberTiming,
        port::{MemberUpdate, MonoClock},
    },
    rand::{SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, io, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        time::{Instant, interval, sleep, timeout},
    },
};

/// Time limit of one call to the platform's stand-in.
const PLATFORM_LIMIT: Duration = Duration::from_secs(10);

/// Time within which all daemons of a run must know each other.
const JOIN_LIMIT: Duration = Duration::from_mins(1);

/// Sizes of one capacity run.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CapacitySize {
    /// Daemons.
    pub daemons: usize,
    /// Availability zones.
    pub zones: usize,
    /// Endpoints of the whole fleet.
    pub endpoints: usize,
    /// Branches of the sheet.
    pub branches: usize,
    /// Rules of each branch.
    pub rules: usize,
    /// Changes of the sheet a second, each of one branch.
    pub changes: f64,
}

/// What one run used, for each daemon where not said otherwise.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CapacityFigures {
    /// Bytes written to peers a second; as many are read.
    pub bytes: f64,
    /// Calls made to peers a second; as many are answered.
    pub calls: f64,
    /// Processor time in milliseconds a second.
    pub processor: f64,
    /// Resident memory in kilobytes.
    pub memory: f64,
    /// Calls of all daemons to the platform a second.
    pub platform: f64,
}

/// Control planes of many daemons in one process, with real connections between them.
#[derive(Debug)]
pub struct CapacityFleet {
    pub(super) shared: HostShared,
    pub(super) hosts: Vec<Option<CapacityHost>>,
    pub(super) platform: FakePlatform,
    pub(super) sheet: CapacitySheet,
    size: CapacitySize,
    before: ProcessUsage,
}

impl CapacityFleet {
    /// Starts the daemons and the first sheet.
    pub async fn start(size: CapacitySize) -> io::Result<Self> {
        let platform = FakePlatform::start(PlatformSettings::default()).await?;
        let client = PlatformClient::new(&platform.url(), PLATFORM_LIMIT);
        let client = client.map_err(io::Error::other)?;
        let mut sheet = CapacitySheet::new(client.clone(), size.branches, size.rules);
        sheet.submit().await?;
        let mut listeners = Vec::new();
        for _ in 0..size.daemons {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let before = ProcessUsage::read()?;
        let mut shared = HostShared {
            clock: MonoClock::start(),
            cuts: super::Cuts::default(),
            fleet: fleet(&size),
            hosts: HostList::default(),
            platform: client,
            timing: MemberTiming::default(),
            traffic: PeerTraffic::default(),
        };
        let mut hosts = Vec::new();
        for (i, listener) in listeners.iter().enumerate() {
            let address = listener.local_addr()?.to_string();
            shared.hosts.daemons.push(listed(i, &size, address));
        }
        for (i, listener) in listeners.into_iter().enumerate() {
            let own = own_update(&shared.hosts.daemons[i], 1);
            hosts.push(Some(CapacityHost::start(&shared, listener, own)?));
        }
        Ok(Self {
            shared,
            hosts,
            platform,
            sheet,
            size,
            before,
        })
    }

    /// Waits until all daemons know each other and hold the sheet.
    pub async fn join(&mut self) -> io::Result<Duration> {
        let start = Instant::now();
        let revision = self.sheet.revision();
        let joined = |host: &CapacityHost| {
            host.sees(self.size.daemons) && host.plane.board.sheet.load().revision >= revision
        };
        let all = async {
            while !self.hosts.iter().flatten().all(joined) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        let late = |_| io::Error::other("the daemons did not find each other");
        timeout(JOIN_LIMIT, all).await.map_err(late)?;
        for host in self.hosts.iter_mut().flatten() {
            host.settle();
        }
        Ok(start.elapsed())
    }

    /// Lets the fleet run for `settle`, then measures it for `time`.
    pub async fn measure(
        &mut self,
        settle: Duration,
        time: Duration,
    ) -> io::Result<CapacityFigures> {
        let mut random = StdRng::seed_from_u64(1);
        self.run(settle, &mut random).await?;
        let (first, calls, seen) = (
            ProcessUsage::read()?,
            self.calls(),
            self.platform.observed(),
        );
        let bytes = self.shared.traffic.bytes_out.get();
        let start = Instant::now();
        self.run(time, &mut random).await?;
        let seconds = start.elapsed().as_secs_f64();
        let last = ProcessUsage::read()?;
        let each = seconds * self.size.daemons as f64;
        let sent = self.shared.traffic.bytes_out.get() - bytes;
        let worked = last.processor.saturating_sub(first.processor);
        let held = last.memory.saturating_sub(self.before.memory);
        Ok(CapacityFigures {
            bytes: sent as f64 / each,
            calls: (self.calls() - calls) as f64 / each,
            processor: worked.as_secs_f64() * 1_000.0 / each,
            memory: held as f64 / 1_024.0 / self.size.daemons as f64,
            platform: (platform_calls(&self.platform.observed()) - platform_calls(&seen)) as f64
                / seconds,
        })
    }

    /// Changes load once a second and the sheet at its rate.
    async fn run(&mut self, time: Duration, random: &mut StdRng) -> io::Result<()> {
        let end = Instant::now() + time;
        let mut loads = interval(Duration::from_secs(1));
        let mut sheets = interval(self.sheet_interval());
        sheets.tick().await;
        loop {
            tokio::select! {
                _ = loads.tick() => {
                    for host in self.hosts.iter().flatten() {
                        host.load(random);
                    }
                }
                _ = sheets.tick(), if self.size.changes > 0.0 => {
                    self.sheet.submit().await?;
                }
                () = tokio::time::sleep_until(end) => return Ok(()),
            }
        }
    }

    pub(super) fn sheet_interval(&self) -> Duration {
        if self.size.changes > 0.0 {
            Duration::from_secs_f64(1.0 / self.size.changes)
        } else {
            Duration::from_hours(1)
        }
    }

    /// Sizes of the run.
    pub fn size(&self) -> &CapacitySize {
        &self.size
    }

    fn calls(&self) -> u64 {
        self.shared.traffic.calls_out.get()
    }
}

/// Calls to the platform, a waiting watch counted as one.
fn platform_calls(seen: &PlatformObserved) -> u64 {
    seen.reads + seen.watches + seen.hosts + seen.lists
}

pub(super) fn own_update(listed: &ListedHost, incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        name: listed.name.clone(),
        zone: listed.zone.clone(),
        address: listed.address.clone(),
        incarnation,
        refutations: 0,
        state: HostState::Alive,
    }
}

fn listed(number: usize, size: &CapacitySize, address: String) -> ListedHost {
    ListedHost {
        name: format!("daemon-{number:04}.region-1.example"),
        zone: zone(number, size),
        address,
        leaving: false,
    }
}

fn zone(number: usize, size: &CapacitySize) -> String {
    format!("region-1-{}", number % size.zones.max(1))
}

fn fleet(size: &CapacitySize) -> Fleet {
    let mut fleet = Fleet::default();
    let pool = fleet.pools.insert(
        "decode",
        Pool {
            name: String::from("decode"),
            members: Vec::new(),
        },
    );
    for i in 0..size.endpoints {
        let name = format!("engine-{i:05}.region-1.example");
        let endpoint = Endpoint {
            name: name.clone(),
            address: format!("10.{}.{}.{}:8000", i >> 16, (i >> 8) & 255, i & 255),
            zone: zone(i, size),
            pool,
            role: Role::Decode,
            loaded: LoadedModels {
                models: BTreeMap::from([(String::from("summaries"), String::from("2026-11"))]),
                ..LoadedModels::default()
            },
            pieces: 2_000,
            piece_tokens: 16,
            slots: 20,
            fenced: true,
            draining: false,
            counters: Arc::new(EndpointCounters::default()),
        };
        let key = fleet.endpoints.insert(&name, endpoint);
        if let Some(pool) = fleet.pools.get_mut(pool) {
            pool.members.push(key);
        }
    }
    fleet
}
