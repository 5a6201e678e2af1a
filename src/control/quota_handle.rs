use {
    crate::{
        board::{Quotas, Section},
        decide::{MAX_ASK_TIME, MAX_START_WAIT},
        port::{Clock, PeerReply, QuotaAnswer, QuotaGate, QuotaReply, QuotaReport},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::timeout,
    },
};

/// Handle with which requests and calls of other daemons reach the quota controller.
#[derive(Clone, Debug)]
pub struct QuotaHandle<C> {
    pub(super) clock: C,
    pub(super) quotas: Section<Quotas>,
    pub(super) mailbox: mpsc::Sender<QuotaMessage>,
}

/// Message to the quota controller.
#[derive(Debug)]
pub(super) enum QuotaMessage {
    /// A request that found no credit.
    Ask(QuotaAsk),
    /// A report of another daemon, and where its reply goes.
    Report(QuotaReport, oneshot::Sender<Option<QuotaReply>>),
}

/// A request that found no credit.
#[derive(Debug)]
pub(super) struct QuotaAsk {
    pub(super) organisation: String,
    pub(super) cost: u64,
    pub(super) waiter: oneshot::Sender<QuotaAnswer>,
}

impl<C> QuotaHandle<C>
where
    C: Clock,
{
    /// Handles the report of a daemon whose organisations this one accounts for.
    pub async fn report(&self, report: QuotaReport) -> PeerReply {
        let (sender, reply) = oneshot::channel();
        let failed = || PeerReply::Failed("this daemon is overloaded or stopping".to_owned());
        if self
            .mailbox
            .try_send(QuotaMessage::Report(report, sender))
            .is_err()
        {
            return failed();
        }
        match reply.await {
            Ok(Some(reply)) => PeerReply::Quota(reply),
            Ok(None) => PeerReply::Failed("a later report was handled before".to_owned()),
            Err(_) => failed(),
        }
    }
}

impl<C> QuotaGate for QuotaHandle<C>
where
    C: Clock,
{
    async fn reserve(&self, organisation: &str, cost: u64) -> QuotaAnswer {
        if let Some(credit) = self.quotas.load().credits.get(organisation) {
            credit.count_request(cost);
            if let Some(hold) = credit.reserve(cost, self.clock.since_boot()) {
                return QuotaAnswer::Granted(hold);
            }
        }
        let (waiter, answer) = oneshot::channel();
        let ask = QuotaAsk {
            organisation: organisation.to_owned(),
            cost,
            waiter,
        };
        if self.mailbox.try_send(QuotaMessage::Ask(ask)).is_err() {
            return QuotaAnswer::Refused(MAX_ASK_TIME);
        }
        match timeout(MAX_START_WAIT + MAX_ASK_TIME * 2, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => QuotaAnswer::Refused(MAX_ASK_TIME),
        }
    }
}
