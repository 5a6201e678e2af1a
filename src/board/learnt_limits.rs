use {
    super::{Fleet, Section},
    prometheus_client::{
        collector::Collector,
        encoding::{DescriptorEncoder, EncodeMetric},
        metrics::{MetricType, gauge::ConstGauge},
        registry::Registry,
    },
};

/// Gauge of the limit that was learnt of each listed endpoint, read when metrics are scraped.
#[derive(Debug)]
pub struct LearntLimits {
    fleet: Section<Fleet>,
}

impl LearntLimits {
    /// Registers the gauge of the endpoints in `fleet`.
    pub fn register(fleet: Section<Fleet>, registry: &mut Registry) {
        registry.register_collector(Box::new(Self { fleet }));
    }
}

impl Collector for LearntLimits {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), std::fmt::Error> {
        let fleet = self.fleet.load();
        let endpoints = fleet.endpoints.iter().map(|(_, endpoint)| endpoint);
        let limits = endpoints
            .filter_map(|endpoint| Some((endpoint, endpoint.counters.traffic.service.limit()?)));
        let mut limits = limits.peekable();
        if limits.peek().is_none() {
            return Ok(());
        }
        let help = "Requests at which an endpoint turned others away";
        let mut metric =
            encoder.encode_descriptor("learnt_limit", help, None, MetricType::Gauge)?;
        for (endpoint, limit) in limits {
            let labels = [("endpoint", endpoint.name.as_str())];
            let gauge = ConstGauge::new(i64::from(limit));
            gauge.encode(metric.encode_family(&labels)?)?;
        }
        Ok(())
    }
}
