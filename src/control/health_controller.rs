use {
    crate::board::{Health, Section, Sheet, Writer},
    tokio::sync::mpsc,
};

/// Writes the `health` section.
#[derive(Debug)]
pub struct HealthController {
    writer: Writer<Health>,
    sheet: Section<Sheet>,
    mail: mpsc::UnboundedReceiver<HealthNews>,
}

/// Handle with which the rest of the daemon tells of changes.
#[derive(Clone, Debug)]
pub struct HealthHandle {
    mail: mpsc::UnboundedSender<HealthNews>,
}

/// What the controller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthNews {
    /// A platform call succeeded or failed.
    Store(bool),
    /// A planned stop has begun.
    Stopping,
}

impl HealthHandle {
    /// Tells of a change; a controller that has stopped is of no interest any more.
    pub fn tell(&self, news: HealthNews) {
        if self.mail.send(news).is_err() {
            log::debug!("the health controller has stopped");
        }
    }
}

impl HealthController {
    /// Creates the controller.
    pub fn new(writer: Writer<Health>, sheet: Section<Sheet>) -> (Self, HealthHandle) {
        let (sender, mail) = mpsc::unbounded_channel();
        (
            Self {
                writer,
                sheet,
                mail,
            },
            HealthHandle { mail: sender },
        )
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self) {
        loop {
            let mut health = **self.writer.load();
            health.ready = !health.stopping && self.sheet.load().revision > 0;
            self.publish(health);
            tokio::select! {
                news = self.mail.recv() => match news {
                    Some(HealthNews::Store(up)) => health.store = up,
                    Some(HealthNews::Stopping) => health.stopping = true,
                    None => return,
                },
                alive = self.sheet.changed() => if !alive {
                    return;
                },
            }
            self.publish(health);
        }
    }

    fn publish(&mut self, health: Health) {
        if **self.writer.load() != health {
            self.writer.publish(health);
        }
    }
}
