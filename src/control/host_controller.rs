use {
    crate::{
        board::{HostList, Writer},
        decide::{Backoff, HostRoster, jitter},
        port::{Clock, Platform, PlatformError},
    },
    rand::rngs::SmallRng,
    std::time::Duration,
};

/// Maximum delay between polls while the platform does not respond.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Writes the `hosts` section by polling the platform's host list, which is updated with a
/// delay.
///
/// While the platform is unavailable the last list stays in force.
#[derive(Debug)]
pub struct HostController<P, C> {
    platform: P,
    clock: C,
    interval: Duration,
    rng: SmallRng,
    hosts: Writer<HostList>,
    roster: HostRoster,
}

impl<P, C> HostController<P, C>
where
    P: Platform,
    C: Clock,
{
    /// Creates the controller; it polls about every `interval`, with jitter from `rng`.
    pub fn new(
        platform: P,
        clock: C,
        interval: Duration,
        rng: SmallRng,
        hosts: Writer<HostList>,
    ) -> Self {
        Self {
            platform,
            clock,
            interval,
            rng,
            hosts,
            roster: HostRoster::default(),
        }
    }

    /// Polls until the task is dropped.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(self.interval, MAX_BACKOFF);
        loop {
            let delay = match self.poll().await {
                Ok(()) => {
                    backoff.succeed();
                    jitter(self.interval, &mut self.rng)
                }
                Err(e) => {
                    log::warn!(
                        "host list not read from the platform, the last one stays in force: {e}"
                    );
                    backoff.fail(&mut self.rng)
                }
            };
            self.clock.sleep(delay).await;
        }
    }

    async fn poll(&mut self) -> Result<(), PlatformError> {
        let list = self.platform.hosts().await?;
        self.roster.update(list);
        self.hosts.publish(self.roster.list(self.clock.now()));
        Ok(())
    }
}
