//! How much a stream of a stage will move: as its head tells, else what such streams moved so far, in the mean. The
//! module takes it as the expected work, so that a short stream is not thought as dear as a long one.

/// What streams of each stage move.
#[derive(Clone, Debug)]
pub struct Sizes {
    means: Vec<Option<f64>>,
}

/// What one stream that ended moves the mean.
const GAIN: f64 = 1.0 / 16.0;
/// What is taken for a stream's size where nothing is known yet.
const UNSEEN: f64 = 64.0 * 1024.0;

impl Sizes {
    /// Nothing is known of so many stages.
    pub fn new(stages: usize) -> Self {
        Self { means: vec![None; stages] }
    }

    /// What one that comes is expected to move; `told` is what its head says of its own body.
    pub fn expected(&self, stage: usize, told: Option<u64>) -> u64 {
        let mean = self.means[stage].unwrap_or(UNSEEN);
        told.map_or(mean, |told| (told as f64).max(1.0)) as u64
    }

    /// One that ended well moved so many octets.
    pub fn moved(&mut self, stage: usize, octets: u64) {
        let mean = &mut self.means[stage];
        let octets = octets as f64;
        *mean = Some(mean.map_or(octets, |mean| mean + (octets - mean) * GAIN));
    }
}
