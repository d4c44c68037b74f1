//! Counters of connections, messages, requests, runs and calls. They are printed on SIGUSR1 and when the program
//! ends.

use lynxtally_net::close_reason::CloseReason;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// One counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one to the counter.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Subtracts one. Used for counters of what exists at present, such as open requests.
    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn print(&self, line: &mut String) {
        // Writing to a string never fails.
        let _ = write!(line, "{}", self.get());
    }
}

/// The number of closed connections for each close reason.
#[derive(Debug, Default)]
pub struct CountByReason([Counter; CloseReason::ALL.len()]);

impl CountByReason {
    /// Counts one connection that was closed for this reason.
    pub fn increment(&self, reason: CloseReason) {
        self.0[reason as usize].increment();
    }

    /// Returns the number of connections that were closed for this reason.
    pub fn get(&self, reason: CloseReason) -> u64 {
        self.0[reason as usize].get()
    }

    fn print(&self, line: &mut String) {
        let counts = CloseReason::ALL.iter().map(|reason| (reason.name(), self.get(*reason)));
        print_object(line, counts.filter(|(_, count)| *count > 0));
    }
}

fn print_object<'a>(line: &mut String, entries: impl Iterator<Item = (&'a str, u64)>) {
    line.push('{');
    for (index, (name, value)) in entries.enumerate() {
        let comma = if index > 0 { "," } else { "" };
        // Writing to a string never fails.
        let _ = write!(line, "{comma}\"{name}\":{value}");
    }
    line.push('}');
}

/// One counter for each name of a kind in the settings, such as each request class.
#[derive(Debug, Default)]
pub struct CountByName(Vec<(String, Counter)>);

impl CountByName {
    fn new(names: &[String]) -> Self {
        Self(names.iter().map(|name| (name.clone(), Counter::default())).collect())
    }

    /// Adds one to the counter of the name with this index.
    pub fn increment(&self, index: usize) {
        if let Some((_, count)) = self.0.get(index) {
            count.increment();
        }
    }

    fn print(&self, line: &mut String) {
        print_object(line, self.0.iter().map(|(name, count)| (name.as_str(), count.get())));
    }
}

/// Declares the counters, each with the key under which it is printed. Scripts read the keys, so a key stays the same
/// even if the field is renamed.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident: $kind:ty => $key:literal,)*) => {
        /// All counters of a node.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: $kind,)*
        }

        impl Counters {
            /// Returns all counters as one line of JSON.
            pub fn line(&self) -> String {
                let mut line = String::from("{");
                $(
                    if line.len() > 1 {
                        line.push(',');
                    }
                    line.push_str(concat!("\"", $key, "\":"));
                    self.$name.print(&mut line);
                )*
                line.push('}');
                line
            }
        }
    };
}

counters! {
    /// Connections accepted from clients.
    connections: Counter => "connections",
    /// Client connections that were closed, by reason.
    connections_closed: CountByReason => "connection_ends",
    /// Failed attempts to accept a connection, usually because no descriptor was left.
    accepts_failed: Counter => "accepts_failed",
    /// Health checks answered.
    health_checks: Counter => "health_checks",
    /// Client messages whose head or length can't be parsed.
    bad_head: Counter => "bad_head",
    /// Client messages with a missing or invalid header, or an unknown class or tenant.
    bad_header: Counter => "bad_field",
    /// Client messages with an unknown path or an unsupported method.
    bad_path: Counter => "bad_path",
    /// Client messages that are too large or have an unsupported transfer encoding.
    bad_size: Counter => "bad_size",
    /// Requests read, by class.
    requests: CountByName => "tasks",
    /// Requests that the engine rejected on submission because the executor was not up, the id was in use, or the
    /// idempotency key belonged to a different request.
    requests_refused: Counter => "tasks_refused",
    /// Requests answered with the result of a run.
    completed: Counter => "finished",
    /// Requests answered with a rejection, which means that they were not executed.
    rejected: Counter => "rejected",
    /// Requests answered with a failure.
    failed: Counter => "abandoned",
    /// Requests whose client disconnected before the response.
    client_disconnected: Counter => "caller_gone",
    /// Open requests, which have no final response yet.
    in_flight: Counter => "open",
    /// Final responses that could not be delivered because their connection had ended.
    responses_undelivered: Counter => "answers_lost",
    /// Commands to start or resume a run.
    runs: Counter => "runs",
    /// Runs that succeeded.
    runs_succeeded: Counter => "runs_ok",
    /// Runs that failed.
    runs_failed: Counter => "runs_error",
    /// Runs that were stopped.
    runs_stopped: Counter => "runs_stopped",
    /// Runs that never started.
    runs_not_started: Counter => "runs_moot",
    /// Downstream calls started.
    calls: Counter => "calls",
    /// Calls that succeeded.
    calls_succeeded: Counter => "calls_ok",
    /// Calls that failed and were certainly not executed.
    calls_not_executed: Counter => "calls_never_ran",
    /// Calls that failed and may have been executed.
    calls_maybe_executed: Counter => "calls_may_have_run",
    /// Downstream connections that were closed or could not be opened, by reason.
    downstream_closed: CountByReason => "ledger_ends",
    /// Links established to the executor.
    executor_links: Counter => "kernel_links",
    /// Links to the executor that were closed or could not be established, by reason.
    executor_links_closed: CountByReason => "kernel_ends",
    /// Commands that the executor refused.
    commands_refused: Counter => "kernel_refused",
    /// Executor events that refer to an unknown request.
    unknown_request_events: Counter => "kernel_unknown",
    /// Health reports sent to the control plane.
    health_reports: Counter => "reports",
    /// Health reports that could not be sent.
    health_reports_failed: Counter => "reports_failed",
}

impl Counters {
    /// Creates the counters for these request classes.
    pub fn new(classes: &[String]) -> Self {
        Self { requests: CountByName::new(classes), ..Self::default() }
    }
}
