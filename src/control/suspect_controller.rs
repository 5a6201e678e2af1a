use {
    crate::{
        board::{Suspect, Suspects, Writer},
        decide::{expire, merge, next_expiry, strike},
        port::{Clock, SuspectNews},
    },
    std::time::Duration,
    tokio::sync::{mpsc, oneshot},
};

/// Longest sleep without a suspect that could lapse.
const IDLE_SLEEP: Duration = Duration::from_hours(1);

/// Messages that may wait for the controller; further ones are dropped, as strikes come again.
const MAIL_WAITING: usize = 1_024;

/// Writes the `suspects` section.
#[derive(Debug)]
pub struct SuspectController<C> {
    clock: C,
    writer: Writer<Suspects>,
    mail: mpsc::Receiver<SuspectMail>,
    lifetime: Duration,
}

/// Handle with which the rest of the daemon tells of crashes.
#[derive(Clone, Debug)]
pub struct Suspicions {
    mail: mpsc::Sender<SuspectMail>,
}

/// What the controller is told.
#[derive(Debug)]
enum SuspectMail {
    /// An endpoint crashed while running a request.
    Strike {
        print: u64,
        endpoint: String,
        applied: oneshot::Sender<()>,
    },
    /// Another host passed suspects on.
    News(Vec<SuspectNews>),
    /// An operator cleared a suspect, or all of them.
    Clear(Option<u64>),
}

impl Suspicions {
    /// Tells that `endpoint` crashed while running the request with fingerprint `print`.
    ///
    /// Returns when the section shows it.
    pub async fn strike(&self, print: u64, endpoint: &str) {
        let (applied, shown) = oneshot::channel();
        self.send(SuspectMail::Strike {
            print,
            endpoint: endpoint.to_owned(),
            applied,
        });
        // An error means that the controller was behind or has stopped.
        let _ = shown.await;
    }

    /// Passes on what another host knows.
    pub fn tell(&self, news: Vec<SuspectNews>) {
        if !news.is_empty() {
            self.send(SuspectMail::News(news));
        }
    }

    /// Clears one suspect, or all of them.
    pub fn clear(&self, print: Option<u64>) {
        self.send(SuspectMail::Clear(print));
    }

    fn send(&self, mail: SuspectMail) {
        if self.mail.try_send(mail).is_err() {
            log::warn!("the suspect controller is behind; a message was dropped");
        }
    }
}

impl<C> SuspectController<C>
where
    C: Clock,
{
    /// Creates the controller; a suspicion lapses after `lifetime`.
    pub fn new(clock: C, writer: Writer<Suspects>, lifetime: Duration) -> (Self, Suspicions) {
        let (sender, mail) = mpsc::channel(MAIL_WAITING);
        (
            Self {
                clock,
                writer,
                mail,
                lifetime,
            },
            Suspicions { mail: sender },
        )
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self) {
        loop {
            let next = next_expiry(&self.writer.load(), self.clock.now());
            let sleep = self.clock.sleep(next.unwrap_or(IDLE_SLEEP));
            tokio::select! {
                mail = self.mail.recv() => match mail {
                    Some(mail) => self.apply(mail),
                    None => return,
                },
                () = sleep => {}
            }
            self.expire();
        }
    }

    fn apply(&mut self, mail: SuspectMail) {
        let expires = self.clock.now() + self.lifetime;
        match mail {
            SuspectMail::Strike {
                print,
                endpoint,
                applied,
            } => {
                let refused = self
                    .writer
                    .update(|all| strike(all, print, &endpoint, expires));
                log::warn!(print, endpoint = endpoint.as_str(), refused; "an endpoint crashed");
                let _ = applied.send(());
            }
            SuspectMail::News(news) => self.merge(&news),
            SuspectMail::Clear(Some(print)) => {
                self.writer.update(|all| all.by_print.remove(&print));
            }
            SuspectMail::Clear(None) => self.writer.publish(Suspects::default()),
        }
    }

    fn merge(&mut self, news: &[SuspectNews]) {
        let now = self.clock.now();
        let mut next = Suspects::clone(&self.writer.load());
        let mut changed = false;
        for told in news {
            let suspect = Suspect {
                endpoints: told.endpoints.clone(),
                refused: told.refused,
                expires: now + told.remaining.min(self.lifetime),
            };
            changed |= merge(&mut next, told.print, &suspect);
        }
        if changed {
            self.writer.publish(next);
        }
    }

    fn expire(&mut self) {
        let now = self.clock.now();
        let mut next = Suspects::clone(&self.writer.load());
        if expire(&mut next, now) {
            self.writer.publish(next);
        }
    }
}
