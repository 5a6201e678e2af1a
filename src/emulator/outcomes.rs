use {
    super::ReplayReport,
    serde::{Deserialize, Serialize},
};

/// Stated outcomes of a trace: bounds taken from targets. What is left out is not asked for.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Outcomes {
    /// Least share of the model requests answered whole and inside both targets.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub met: Option<f64>,
    /// Least share of the staying callers' requests answered whole.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answered: Option<f64>,
    /// Greatest share of the computed prompt tokens never decoded from.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wasted: Option<f64>,
}

/// A stated outcome that was missed. The speed of the machine has a part in each.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Missed {
    /// Name of the outcome.
    pub outcome: &'static str,
    /// Bound.
    pub bound: f64,
    /// What was measured.
    pub seen: f64,
}

impl Outcomes {
    /// The outcomes that `report` misses.
    pub fn missed(&self, report: &ReplayReport) -> Vec<Missed> {
        let least = |outcome, bound: Option<f64>, seen| {
            let bound = bound.filter(|bound| seen < *bound)?;
            Some(Missed {
                outcome,
                bound,
                seen,
            })
        };
        let most = |outcome, bound: Option<f64>, seen| {
            let bound = bound.filter(|bound| seen > *bound)?;
            Some(Missed {
                outcome,
                bound,
                seen,
            })
        };
        let all = [
            least("met", self.met, report.met),
            least("answered", self.answered, report.answered),
            most("wasted", self.wasted, report.wasted),
        ];
        all.into_iter().flatten().collect()
    }
}
