use {
    crate::decide::CallClass,
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::array::from_fn,
};

/// Label set of a counter per class of calls: the label `class` and its value.
type ClassLabel = [(&'static str, &'static str); 1];

/// Metrics of the platform calls that were sent and of those that the budget withheld, per class.
#[derive(Clone, Debug)]
pub struct CallCounters {
    sent: [Counter; CallClass::ALL.len()],
    withheld: [Counter; CallClass::ALL.len()],
}

impl CallCounters {
    /// Creates the counters and a gauge for a budget of `calls` per second, and registers them.
    pub fn new(registry: &mut Registry, calls: u32) -> Self {
        let sent = Family::<ClassLabel, Counter>::default();
        let withheld = Family::<ClassLabel, Counter>::default();
        let budget = Gauge::<i64>::default();
        budget.set(i64::from(calls));
        let counters = Self {
            sent: from_fn(|i| sent.get_or_create_owned(&label(CallClass::ALL[i]))),
            withheld: from_fn(|i| withheld.get_or_create_owned(&label(CallClass::ALL[i]))),
        };
        registry.register("platform_calls", "Platform calls sent, by class", sent);
        registry.register(
            "platform_calls_withheld",
            "Platform calls not sent because the budget was spent, by class",
            withheld,
        );
        registry.register(
            "platform_calls_budget",
            "Platform calls allowed in a second",
            budget,
        );
        counters
    }

    /// Counts a call that was sent.
    pub fn sent(&self, class: CallClass) {
        self.sent[class as usize].inc();
    }

    /// Counts a call that was not sent because the budget was used up.
    pub fn withheld(&self, class: CallClass) {
        self.withheld[class as usize].inc();
    }
}

fn label(class: CallClass) -> ClassLabel {
    [("class", class.as_str())]
}
