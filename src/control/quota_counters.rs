use {
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::collections::BTreeMap,
};

/// Most organisations that get a label of their own.
const MAX_LABELS: usize = 64;

/// Label of all other organisations together.
const OTHERS: &str = "other";

/// Label set of the gauges.
type OrganisationLabel = [(&'static str, String); 1];

/// Label set of the counter of reports.
type EndLabel = [(&'static str, &'static str); 1];

/// Metrics of the quotas of organisations.
#[derive(Clone, Debug)]
pub struct QuotaCounters {
    /// Use per second at all daemons together, at the accountant.
    used: Family<OrganisationLabel, Gauge>,
    /// Rate of the quota, at the accountant.
    rate: Family<OrganisationLabel, Gauge>,
    /// Credit that the accountant can grant at once.
    credit: Family<OrganisationLabel, Gauge>,
    /// Reports to accountants, by how they ended.
    reports: Family<EndLabel, Counter>,
    /// Part of the quotas that daemons have handed over to this one, in thousandths, summed over shards.
    parts: Gauge,
}

/// What the gauges show of one organisation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QuotaFigures {
    pub(super) used: f64,
    pub(super) rate: f64,
    pub(super) credit: f64,
}

impl QuotaCounters {
    /// Creates the metrics and registers them with `registry`.
    pub fn new(registry: &mut Registry) -> Self {
        let counters = Self {
            used: Family::default(),
            rate: Family::default(),
            credit: Family::default(),
            reports: Family::default(),
            parts: Gauge::default(),
        };
        let gauges = [
            (
                "quota_used",
                "Use of the quota per second by all daemons, at the accountant",
                &counters.used,
            ),
            (
                "quota_rate",
                "Limit of the quota per second, at the accountant",
                &counters.rate,
            ),
            (
                "quota_credit",
                "Credit that the accountant can grant at once",
                &counters.credit,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, Family::clone(gauge));
        }
        registry.register(
            "quota_reports",
            "Reports to accountants of quotas, by how they ended",
            Family::clone(&counters.reports),
        );
        registry.register(
            "quota_parts",
            "Thousandths of the quotas that daemons have handed over to this one, over all shards",
            counters.parts.clone(),
        );
        counters
    }

    /// Counts a report that ended as `end` says: `replied` or `failed`.
    pub(super) fn count_report(&self, end: &'static str) {
        self.reports.get_or_create_owned(&[("end", end)]).inc();
    }

    /// Sets the part of the quotas that was handed over.
    pub(super) fn set_parts(&self, thousandths: i64) {
        self.parts.set(thousandths);
    }

    /// Replaces the figures of all organisations that this daemon accounts for.
    pub(super) fn set_figures(&self, figures: &BTreeMap<String, QuotaFigures>) {
        let mut shown = BTreeMap::<&str, QuotaFigures>::new();
        for (name, found) in figures {
            let name = if shown.len() < MAX_LABELS {
                name
            } else {
                OTHERS
            };
            let sum = shown.entry(name).or_default();
            sum.used += found.used;
            sum.rate += found.rate;
            sum.credit += found.credit;
        }
        for family in [&self.used, &self.rate, &self.credit] {
            family.clear();
        }
        for (name, found) in shown {
            let label = [("organisation", name.to_owned())];
            self.used.get_or_create_owned(&label).set(found.used as i64);
            self.rate.get_or_create_owned(&label).set(found.rate as i64);
            self.credit
                .get_or_create_owned(&label)
                .set(found.credit as i64);
        }
    }
}
