use {
    super::ReplayReport,
    serde::{Deserialize, Serialize},
};

/// Expected outcomes of a trace: bounds on its result, derived from the service targets. A field
/// that is left out sets no bound.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Outcomes {
    /// Minimum share of the model requests with a complete response inside both latency targets,
    /// from 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub met: Option<f64>,
    /// Minimum share of the requests with a complete response, from 0 to 1; callers that disconnect
    /// early do not count.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answered: Option<f64>,
    /// Maximum share of the computed prompt tokens that no decode used, from 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wasted: Option<f64>,
}

/// Expected outcome that a replay missed. Each depends in part on the speed of the machine.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Missed {
    /// Name of the field of `Outcomes`.
    pub outcome: &'static str,
    /// Bound that the trace sets.
    pub bound: f64,
    /// Measured value.
    pub seen: f64,
}

impl Outcomes {
    /// Returns the outcomes that `report` misses.
    pub fn missed(&self, report: &ReplayReport) -> Vec<Missed> {
        let at_least = |outcome, bound: Option<f64>, seen| {
            let bound = bound.filter(|bound| seen < *bound)?;
            Some(Missed {
                outcome,
                bound,
                seen,
            })
        };
        let at_most = |outcome, bound: Option<f64>, seen| {
            let bound = bound.filter(|bound| seen > *bound)?;
            Some(Missed {
                outcome,
                bound,
                seen,
            })
        };
        let all = [
            at_least("met", self.met, report.met),
            at_least("answered", self.answered, report.answered),
            at_most("wasted", self.wasted, report.wasted),
        ];
        all.into_iter().flatten().collect()
    }
}
