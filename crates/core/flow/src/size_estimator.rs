//! Estimates how many bytes a request will transfer: the length that its head announces, otherwise the moving average
//! of its request class. The scheduler uses the estimate as the expected work, so that a short request does not count
//! as much as a long one.

/// The moving average of each request class.
#[derive(Clone, Debug)]
pub struct SizeEstimator {
    means: Vec<Option<f64>>,
}

/// Weight of one completed request in the moving average.
const MEAN_GAIN: f64 = 1.0 / 16.0;
/// The estimate in bytes for a class that has not completed a request yet.
const INITIAL_ESTIMATE_BYTES: f64 = 64.0 * 1024.0;

impl SizeEstimator {
    /// Creates an estimator for `classes` request classes, none of which has completed a request.
    pub fn new(classes: usize) -> Self {
        Self { means: vec![None; classes] }
    }

    /// The bytes that a new request is expected to transfer; `announced` is the body length that its head gives.
    pub fn expected_bytes(&self, class: usize, announced: Option<u64>) -> u64 {
        let mean = self.means[class].unwrap_or(INITIAL_ESTIMATE_BYTES);
        announced.map_or(mean, |announced| (announced as f64).max(1.0)) as u64
    }

    /// Records the bytes that a completed request transferred.
    pub fn record_completed(&mut self, class: usize, bytes: u64) {
        let mean = &mut self.means[class];
        let bytes = bytes as f64;
        *mean = Some(mean.map_or(bytes, |mean| mean + (bytes - mean) * MEAN_GAIN));
    }
}
