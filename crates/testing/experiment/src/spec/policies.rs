//! Creates the schedulers that experiment files name.

use lynxtally::{Instant, Policy, Settings};
use lynxtally_baselines::{Baseline, BaselineConfig, BaselineKind};
use lynxtally_simulator::scenario::BoxedScheduler;

/// Requests that a baseline runs at once, per core.
const SLOTS_PER_CORE: f64 = 2.0;
/// Maximum queue length of a baseline, per slot.
const QUEUED_PER_SLOT: usize = 20;

/// The baseline algorithm that has this name in experiment files; `None` if there is none. `split-F` is a static partition
/// that reserves the fraction F, from 0 to 1.
pub fn baseline_kind(name: &str) -> Option<BaselineKind> {
    Some(match name {
        "pool" => BaselineKind::WorkerPool,
        "cap" => BaselineKind::FixedLimit,
        "aimd" => BaselineKind::Aimd,
        "gradient" => BaselineKind::Gradient,
        "age" => BaselineKind::ControlledDelay,
        "early" => BaselineKind::RandomEarlyDetection,
        _ => {
            let fraction: f64 = name.strip_prefix("split-")?.parse().ok()?;
            BaselineKind::StaticPartition(Some(fraction).filter(|fraction| (0.0..=1.0).contains(fraction))?)
        }
    })
}

/// Creates the baseline of this name, or lynxtally's own policy for any other name. The baseline's favored class is the one
/// of the highest utility; its latency objective is the shortest of all classes.
pub fn make_scheduler(name: &str, settings: &Settings, seed: u64, now: Instant) -> BoxedScheduler {
    let Some(kind) = baseline_kind(name) else {
        return Box::new(Policy::new(settings.clone(), seed, now));
    };
    let classes = &settings.classes;
    let favored_class =
        (0..classes.len()).max_by(|a, b| classes[*a].utility.total_cmp(&classes[*b].utility)).unwrap_or(0);
    let objectives = classes.iter().map(|class| class.latency_objective);
    let slots = (f64::from(settings.cores) * SLOTS_PER_CORE) as usize;
    let config = BaselineConfig {
        kind,
        slots,
        max_queue_length: slots * QUEUED_PER_SLOT,
        latency_objective: objectives.min().unwrap_or_default(),
        favored_class,
    };
    Box::new(Baseline::new(config, seed))
}
