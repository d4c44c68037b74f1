//! Checks a settings object. Errors name keys as they are in the JSON.

use crate::document::{Backend, CallTarget, Class, Document, Idempotency};
use crate::error::SettingError;
use lynxtally::Span;

impl Document {
    /// Returns an error for the first key with a value that a backend can't start with.
    pub(crate) fn check(&self) -> Result<(), SettingError> {
        self.backend.check_capacity()?;
        if self.classes.is_empty() {
            return Err(SettingError::new("lanes", "is empty; at least one is expected"));
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.check(index)?;
        }
        self.backend.check_call_target()?;
        self.backend.check_class_lists(self.classes.len())
    }
}

impl Backend {
    fn check_capacity(&self) -> Result<(), SettingError> {
        if self.cores == 0 {
            return Err(SettingError::new("specifics.cores", "is 0; at least 1 is expected"));
        }
        let factors =
            [("specifics.ram-kb", self.memory_kb), ("specifics.blowup", self.running_memory_factor)];
        for (path, value) in factors {
            if value <= 0.0 {
                return Err(SettingError::new(path, format!("is {value}; a number above 0 is expected")));
            }
        }
        Ok(())
    }

    /// Calls to a shared dependency can only be bounded if the settings contain its limits.
    fn check_call_target(&self) -> Result<(), SettingError> {
        if self.call_target != Some(CallTarget::Shared) {
            return Ok(());
        }
        let limits = [
            ("specifics.calls-out", self.concurrent_calls),
            ("specifics.calls-over-ms", self.averaging_window.0),
        ];
        for (path, value) in limits {
            if value <= 0.0 {
                let problem =
                    "is missing or 0; a number above 0 is expected where `specifics.below` is \"shared\"";
                return Err(SettingError::new(path, problem));
            }
        }
        Ok(())
    }

    /// A list with an entry per class has to be complete or absent.
    fn check_class_lists(&self, classes: usize) -> Result<(), SettingError> {
        let lists = [
            ("specifics.class-calls", self.class_calls_downstream.len()),
            ("specifics.class-skip-worth", self.class_degraded_utility_fraction.len()),
        ];
        for (path, entries) in lists {
            if entries != 0 && entries != classes {
                let problem = format!("has {entries} entries; one for each of {classes} `lanes` is expected");
                return Err(SettingError::new(path, problem));
            }
        }
        Ok(())
    }
}

impl Class {
    fn check(&self, index: usize) -> Result<(), SettingError> {
        let error =
            |key: &str, problem: String| Err(SettingError::new(format!("lanes[{index}].{key}"), problem));
        if self.name.is_empty() || self.name.contains(|c: char| c.is_whitespace() || c == '/') {
            return error("name", format!("is {:?}; one word without slashes is expected", self.name));
        }
        for (key, time) in [("promise-ms", self.latency_objective), ("deadline-ms", self.deadline)] {
            if time.span() == Span::ZERO {
                return error(key, format!("is {}; a time above 0 is expected", time.0));
            }
        }
        // Without a window each duplicate would look new and be executed again.
        let deduplicated = self.idempotency == Idempotency::Deduplicated;
        if deduplicated && self.deduplication_window.span() == Span::ZERO {
            let problem = "is missing or 0; a time above 0 is expected where `idempotency` is \"token\"";
            return error("dedup-window-ms", problem.to_owned());
        }
        Ok(())
    }
}
