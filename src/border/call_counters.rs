use {
    crate::decide::CallClass,
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
    std::array::from_fn,
};

/// Label of a counter that is kept for each class of calls.
type Class = [(&'static str, &'static str); 1];

/// Counters of platform calls against the budget.
#[derive(Clone, Debug)]
pub struct CallCounters {
    sent: [Counter; CallClass::ALL.len()],
    withheld: [Counter; CallClass::ALL.len()],
}

impl CallCounters {
    /// Creates the counters for a budget of `calls` calls a second and registers them.
    pub fn new(registry: &mut Registry, calls: u32) -> Self {
        let sent = Family::<Class, Counter>::default();
        let withheld = Family::<Class, Counter>::default();
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

    /// Counts a call that is sent.
    pub fn sent(&self, class: CallClass) {
        self.sent[class as usize].inc();
    }

    /// Counts a call that is not sent.
    pub fn withheld(&self, class: CallClass) {
        self.withheld[class as usize].inc();
    }
}

fn label(class: CallClass) -> Class {
    [("class", class.as_str())]
}
