//! Learning rates that decrease with the number of observations.

/// The weight of the latest observation in a running estimate.
pub(crate) struct LearningRate {
    /// The rate is this number divided by the number of observations, limited to the range from `min` to `max`.
    pub(crate) numerator: f64,
    pub(crate) min: f64,
    pub(crate) max: f64,
}

impl LearningRate {
    pub(crate) fn after(&self, observations: f64) -> f64 {
        (self.numerator / observations).clamp(self.min, self.max)
    }
}
