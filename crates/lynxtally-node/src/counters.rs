//! What the node receives, sends and answers, counted. SIGUSR1 prints the counters, as does the end of the program.

use lynxtally_net::close_reason::CloseReason;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// One number.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes one off, for what is counted while it lasts.
    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Its value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn print(&self, line: &mut String) {
        // Writing to a string can't fail.
        let _ = write!(line, "{}", self.get());
    }
}

/// Connections by the reason of their closing.
#[derive(Debug, Default)]
pub struct CountByReason([Counter; CloseReason::ALL.len()]);

impl CountByReason {
    /// Counts one more that ended for this reason.
    pub fn increment(&self, reason: CloseReason) {
        self.0[reason as usize].increment();
    }

    /// How many ended for this reason.
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
        // As above.
        let _ = write!(line, "{comma}\"{name}\":{value}");
    }
    line.push('}');
}

/// Counts by a name of the settings, such as requests by class.
#[derive(Debug, Default)]
pub struct CountByName(Vec<(String, Counter)>);

impl CountByName {
    fn new(names: &[String]) -> Self {
        Self(names.iter().map(|name| (name.clone(), Counter::default())).collect())
    }

    /// Counts one more of the name with this index.
    pub fn increment(&self, index: usize) {
        if let Some((_, count)) = self.0.get(index) {
            count.increment();
        }
    }

    fn print(&self, line: &mut String) {
        print_object(line, self.0.iter().map(|(name, count)| (name.as_str(), count.get())));
    }
}

/// Declares the counters, each with the key under which it is printed. Scripts read these keys: they never change,
/// also where the field has a better name.
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident: $kind:ty => $key:literal,)*) => {
        /// All counters of a node.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: $kind,)*
        }

        impl Counters {
            /// All of them as one line of JSON.
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
    /// Why they ended.
    connections_closed: CountByReason => "connection_ends",
    /// Connections that could not be accepted, for want of descriptors most likely.
    accepts_failed: Counter => "accepts_failed",
    /// Health checks answered.
    health_checks: Counter => "health_checks",
    /// Messages whose head can't be parsed.
    bad_head: Counter => "bad_head",
    /// Messages with a header that can't be parsed, or with a name that is not known.
    bad_header: Counter => "bad_field",
    /// Messages for a path or method that does not exist.
    bad_path: Counter => "bad_path",
    /// Messages that are too large, or have an encoding that is not supported.
    bad_size: Counter => "bad_size",
    /// Requests read, by class.
    requests: CountByName => "tasks",
    /// Requests not accepted by the engine: before the executor is up, under an id that is in use, or under another
    /// request's idempotency key.
    requests_refused: Counter => "tasks_refused",
    /// Requests answered with a run's result.
    completed: Counter => "finished",
    /// Requests answered that they were never executed.
    rejected: Counter => "rejected",
    /// Requests answered that they failed.
    failed: Counter => "abandoned",
    /// Requests whose caller was gone before the response.
    client_disconnected: Counter => "caller_gone",
    /// Requests read that are still owed a response.
    in_flight: Counter => "open",
    /// Responses that no connection took any more.
    responses_undelivered: Counter => "answers_lost",
    /// Runs ordered.
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
    /// Calls that failed and were not executed.
    calls_not_executed: Counter => "calls_never_ran",
    /// Calls that failed and may have been executed.
    calls_maybe_executed: Counter => "calls_may_have_run",
    /// Why downstream connections ended.
    downstream_closed: CountByReason => "ledger_ends",
    /// Links made to the executor.
    executor_links: Counter => "kernel_links",
    /// Why they, or the attempts at one, ended.
    executor_links_closed: CountByReason => "kernel_ends",
    /// Commands that the executor refused.
    commands_refused: Counter => "kernel_refused",
    /// Events for requests that are not known.
    unknown_request_events: Counter => "kernel_unknown",
    /// Health reports sent to the control plane.
    health_reports: Counter => "reports",
    /// Health reports that could not be sent.
    health_reports_failed: Counter => "reports_failed",
}

impl Counters {
    /// Counters for the request classes with these names.
    pub fn new(classes: &[String]) -> Self {
        Self { requests: CountByName::new(classes), ..Self::default() }
    }
}
