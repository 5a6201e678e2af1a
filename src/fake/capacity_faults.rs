use {
    super::{
        CapacityFigures, CapacityFleet, FaultCounts, FaultReport, ProcessUsage,
        capacity_fleet::own_update,
        capacity_host::CapacityHost,
        fault_watch::{FaultWatch, Sample},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{io, time::Duration},
    tokio::{
        net::TcpListener,
        time::{Instant, interval, sleep_until},
    },
};

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Share of the daemons that have a fault at the same time, one in so many at most.
const TROUBLED_SHARE: usize = 6;

/// Time after the last fault within which all daemons must agree.
const SETTLE_LIMIT: Duration = Duration::from_secs(40);

/// A fault of one daemon and when it ends.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    kind: Kind,
    until: Instant,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Down,
    Leaving,
    Paused,
    Cut,
}

/// The course of one run.
#[derive(Debug)]
struct Course {
    random: StdRng,
    troubles: Vec<Option<Trouble>>,
    counts: FaultCounts,
    watch: FaultWatch,
}

impl CapacityFleet {
    /// Runs a seeded schedule of faults for `time`, then waits until all daemons agree.
    pub async fn faults(&mut self, seed: u64, time: Duration) -> io::Result<FaultReport> {
        let now = Instant::now();
        let mut course = Course {
            random: StdRng::seed_from_u64(seed),
            troubles: vec![None; self.hosts.len()],
            counts: FaultCounts::default(),
            watch: FaultWatch::new(self.hosts.len(), now),
        };
        let first = (ProcessUsage::read()?, self.shared.traffic.clone());
        let before = (first.1.bytes_out.get(), first.1.calls_out.get());
        let changes = self.sheet.revision();
        self.drive(&mut course, now + time).await?;
        let figures = self.used(first.0, before, time)?;
        let settled = self.settle(&mut course).await?;
        let Course { counts, watch, .. } = course;
        Ok(FaultReport {
            daemons: self.hosts.len(),
            time,
            faults: counts,
            changes: (self.sheet.revision() - changes) as usize,
            sheet: watch.sheet,
            removal: watch.removal,
            arrival: watch.arrival,
            gaps: watch.gaps,
            doubles: watch.doubles,
            reverts: watch.reverts,
            settled,
            figures,
        })
    }

    async fn drive(&mut self, course: &mut Course, end: Instant) -> io::Result<()> {
        let mut faults = interval(FAULT_INTERVAL);
        let mut samples = interval(SAMPLE_INTERVAL);
        let mut sheets = interval(self.sheet_interval());
        loop {
            tokio::select! {
                _ = faults.tick() => self.trouble(course).await,
                _ = sheets.tick() => {
                    self.sheet.submit().await?;
                    course.watch.accept(self.sheet.revision(), Instant::now());
                }
                _ = samples.tick() => {
                    self.mend(course, false).await?;
                    self.sample(course);
                }
                () = sleep_until(end) => return Ok(()),
            }
        }
    }

    /// Ends all faults and waits until all daemons agree.
    async fn settle(&mut self, course: &mut Course) -> io::Result<Option<Duration>> {
        self.mend(course, true).await?;
        let start = Instant::now();
        let mut samples = interval(SAMPLE_INTERVAL);
        while start.elapsed() < SETTLE_LIMIT {
            samples.tick().await;
            self.sample(course);
            if course.watch.is_settled(self.sheet.revision()) {
                return Ok(Some(start.elapsed()));
            }
        }
        Ok(None)
    }

    /// Starts one fault, unless enough daemons have one.
    async fn trouble(&mut self, course: &mut Course) {
        let well: Vec<_> = (0..self.hosts.len())
            .filter(|i| course.troubles[*i].is_none())
            .collect();
        let troubled = self.hosts.len() - well.len();
        if well.is_empty() || troubled >= self.hosts.len() / TROUBLED_SHARE {
            return;
        }
        let host = well[course.random.random_range(0..well.len())];
        let cutting = course
            .troubles
            .iter()
            .flatten()
            .any(|t| t.kind == Kind::Cut);
        match course.random.random_range(0..100) {
            0..35 => self.kill(course, host),
            35..60 => self.leave(course, host).await,
            60..90 => self.pause(course, host),
            _ if cutting => self.kill(course, host),
            _ => self.cut(course, well),
        }
    }

    fn kill(&mut self, course: &mut Course, host: usize) {
        course.counts.kills += 1;
        course.begin(host, Kind::Down, 3_000..8_000);
        if let Some(gone) = self.hosts[host].take() {
            course
                .watch
                .expect(host, &gone.name, gone.incarnation, true);
        }
    }

    /// Announces the end of a daemon, which keeps answering for a while.
    async fn leave(&mut self, course: &mut Course, host: usize) {
        course.counts.leaves += 1;
        course.begin(host, Kind::Leaving, 1_000..2_000);
        if let Some(leaving) = &self.hosts[host] {
            course
                .watch
                .expect(host, &leaving.name, leaving.incarnation, true);
            let members = leaving.plane.members.clone();
            members.leave().await;
        }
    }

    fn pause(&mut self, course: &mut Course, host: usize) {
        course.counts.pauses += 1;
        course.begin(host, Kind::Paused, 2_000..10_000);
        if let Some(paused) = &self.hosts[host] {
            paused.plane.pause.set(true);
        }
    }

    fn cut(&mut self, course: &mut Course, mut well: Vec<usize>) {
        course.counts.cuts += 1;
        let size = (self.hosts.len() / 12).max(1);
        let (group, _) = well.partial_shuffle(&mut course.random, size);
        let group = group.to_vec();
        let time = course.random.random_range(5_000..15_000);
        for host in &group {
            course.begin(*host, Kind::Cut, time..time + 1);
        }
        let entries = &self.shared.hosts.daemons;
        let (inside, outside): (Vec<_>, Vec<_>) = entries
            .iter()
            .enumerate()
            .partition(|(i, _)| group.contains(i));
        let addresses = |side: Vec<(usize, &crate::board::ListedHost)>| -> Vec<String> {
            side.into_iter()
                .map(|(_, host)| host.address.clone())
                .collect()
        };
        self.shared
            .cuts
            .split(&addresses(inside), &addresses(outside));
    }

    /// Ends the faults that are due, or all.
    async fn mend(&mut self, course: &mut Course, all: bool) -> io::Result<()> {
        let now = Instant::now();
        for host in 0..self.hosts.len() {
            let Some(trouble) = course.troubles[host].filter(|t| all || t.until <= now) else {
                continue;
            };
            course.troubles[host] = None;
            match trouble.kind {
                Kind::Down => self.restart(course, host).await?,
                Kind::Leaving => {
                    self.hosts[host] = None;
                    course.begin(host, Kind::Down, 2_000..4_000);
                    if all {
                        course.troubles[host] = None;
                        self.restart(course, host).await?;
                    }
                }
                Kind::Paused => {
                    if let Some(paused) = &self.hosts[host] {
                        paused.plane.pause.set(false);
                    }
                }
                Kind::Cut => self.shared.cuts.heal(),
            }
        }
        Ok(())
    }

    async fn restart(&mut self, course: &mut Course, host: usize) -> io::Result<()> {
        let listed = &self.shared.hosts.daemons[host];
        let listener = TcpListener::bind(&listed.address).await?;
        let incarnation = self.shared.clock_incarnation();
        let own = own_update(listed, incarnation);
        course.watch.expect(host, &own.name, incarnation, false);
        self.hosts[host] = Some(CapacityHost::start(&self.shared, listener, own)?);
        Ok(())
    }

    fn sample(&self, course: &mut Course) {
        let kind = |i: usize| course.troubles[i].map(|trouble| trouble.kind);
        let samples: Vec<_> = self
            .hosts
            .iter()
            .enumerate()
            .map(|(i, host)| Sample {
                host: host.as_ref(),
                paused: kind(i) == Some(Kind::Paused),
                cut: matches!(kind(i), Some(Kind::Cut | Kind::Leaving)),
            })
            .collect();
        course.watch.sample(&samples, Instant::now());
    }

    fn used(
        &self,
        first: ProcessUsage,
        before: (u64, u64),
        time: Duration,
    ) -> io::Result<CapacityFigures> {
        let last = ProcessUsage::read()?;
        let each = time.as_secs_f64() * self.hosts.len() as f64;
        let traffic = &self.shared.traffic;
        let worked = last.processor.saturating_sub(first.processor);
        Ok(CapacityFigures {
            bytes: (traffic.bytes_out.get() - before.0) as f64 / each,
            calls: (traffic.calls_out.get() - before.1) as f64 / each,
            processor: worked.as_secs_f64() * 1_000.0 / each,
            memory: last.memory as f64 / 1_024.0 / self.hosts.len() as f64,
            platform: 0.0,
        })
    }
}

impl Course {
    fn begin(&mut self, host: usize, kind: Kind, milliseconds: std::ops::Range<u64>) {
        let time = Duration::from_millis(self.random.random_range(milliseconds));
        let until = Instant::now() + time;
        self.troubles[host] = Some(Trouble { kind, until });
    }
}
