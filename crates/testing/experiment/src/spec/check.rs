//! Validates the declaration of an experiment. Errors name the keys as they are spelled in the file.

use super::{baseline_kind, ClassSpec, Script, Spec};
use lynxtally_settings::SettingError;

/// Name of lynxtally's own policy in experiment files.
const OWN_POLICY: &str = "module";
const MAX_NODES: usize = 10_000;
/// Largest load, as a multiple of the capacity of all cores.
const MAX_LOAD: f64 = 100.0;
const MAX_DURATION_S: f64 = 1e6;

fn error<T>(key: impl Into<String>, problem: impl Into<String>) -> Result<T, SettingError> {
    Err(SettingError::new(key, problem))
}

impl Spec {
    /// Checks that lists are not empty, numbers are in range and names are known.
    ///
    /// # Errors
    /// Names the first key whose value is invalid.
    pub fn check(&self) -> Result<(), SettingError> {
        self.check_not_empty()?;
        self.check_levels()?;
        if self.balancing().is_none() {
            let problem =
                format!("is {:?}; round-robin, random, least, two or hash is expected", self.balancing);
            return error("habit", problem);
        }
        let valid_duration = self.duration_s > 0.0 && self.duration_s < MAX_DURATION_S;
        if !(valid_duration && self.warm_up_s >= 0.0 && self.warm_up_s < self.duration_s) {
            let problem = format!(
                "is {} with a warm_up_s of {}; warm_up_s of at least 0, and lasts_s between warm_up_s \
                 and {MAX_DURATION_S}, are expected",
                self.duration_s, self.warm_up_s
            );
            return error("lasts_s", problem);
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.check(index)?;
        }
        for (index, script) in self.scripts.iter().enumerate() {
            script.check(index)?;
        }
        Ok(())
    }

    fn check_not_empty(&self) -> Result<(), SettingError> {
        let lists = [
            ("nodes", self.nodes.is_empty()),
            ("loads", self.loads.is_empty()),
            ("seeds", self.seeds.is_empty()),
            ("policies", self.policies.is_empty()),
            ("stages", self.classes.is_empty()),
        ];
        for (key, is_empty) in lists {
            if is_empty {
                return error(key, "is empty; at least one is expected");
            }
        }
        Ok(())
    }

    fn check_levels(&self) -> Result<(), SettingError> {
        for (index, nodes) in self.nodes.iter().enumerate() {
            if !(1..=MAX_NODES).contains(nodes) {
                return error(format!("nodes[{index}]"), format!("is {nodes}; 1 to {MAX_NODES} is expected"));
            }
        }
        for (index, load) in self.loads.iter().enumerate() {
            if !(*load > 0.0 && *load <= MAX_LOAD) {
                return error(
                    format!("loads[{index}]"),
                    format!("is {load}; above 0 and at most {MAX_LOAD} is expected"),
                );
            }
        }
        for (index, policy) in self.policies.iter().enumerate() {
            if policy != OWN_POLICY && baseline_kind(policy).is_none() {
                let problem = format!("is {policy:?}; no policy has this name");
                return error(format!("policies[{index}]"), problem);
            }
        }
        Ok(())
    }
}

impl ClassSpec {
    fn check(&self, index: usize) -> Result<(), SettingError> {
        if self.distribution().is_none() {
            let problem = format!(
                "is {:?}; fixed, exponential, lognormal, pareto or bimodal is expected",
                self.distribution
            );
            return error(format!("stages[{index}].spread"), problem);
        }
        let positive = self.utility > 0.0
            && self.share > 0.0
            && self.mean_work_ms > 0.0
            && self.latency_objective_ms > 0;
        if !positive || self.deadline_ms < self.latency_objective_ms {
            let problem =
                "has to have utility, share, work_ms and due_ms above 0, and limit_ms of at least due_ms";
            return error(format!("stages[{index}]"), problem);
        }
        Ok(())
    }
}

impl Script {
    fn check(&self, index: usize) -> Result<(), SettingError> {
        for (step_index, step) in self.steps.iter().enumerate() {
            if step.fault().is_none() {
                let problem = format!("is {:?}; no such fault is known", step.fault);
                return error(format!("scripts[{index}].steps[{step_index}].what"), problem);
            }
        }
        Ok(())
    }
}
