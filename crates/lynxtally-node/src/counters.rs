//! What the program takes in, sends and answers, counted; printed as one line of JSON.

use lynxtally_net::close_reason::CloseReason;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// One number.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    /// One more.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// One less, for what is counted while it lasts.
    pub fn less(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Its value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn print(&self, line: &mut String) {
        // A string takes whatever is written to it.
        let _ = write!(line, "{}", self.get());
    }
}

/// Connections by how they ended.
#[derive(Debug, Default)]
pub struct Ends([Count; CloseReason::ALL.len()]);

impl Ends {
    /// One more that ended so.
    pub fn add(&self, end: CloseReason) {
        self.0[end as usize].add();
    }

    /// How many ended so.
    pub fn get(&self, end: CloseReason) -> u64 {
        self.0[end as usize].get()
    }

    fn print(&self, line: &mut String) {
        object(
            line,
            CloseReason::ALL.iter().filter(|end| self.get(**end) > 0).map(|end| (end.name(), self.get(*end))),
        );
    }
}

fn object<'a>(line: &mut String, pairs: impl Iterator<Item = (&'a str, u64)>) {
    line.push('{');
    for (at, (name, value)) in pairs.enumerate() {
        let comma = if at > 0 { "," } else { "" };
        let _ = write!(line, "{comma}\"{name}\":{value}");
    }
    line.push('}');
}

/// Counts by the names of the settings, such as tasks by stage.
#[derive(Debug, Default)]
pub struct Named(Vec<(String, Count)>);

impl Named {
    fn new(names: &[String]) -> Self {
        Self(names.iter().map(|name| (name.clone(), Count::default())).collect())
    }

    /// One more of the name with this index.
    pub fn add(&self, index: usize) {
        if let Some((_, count)) = self.0.get(index) {
            count.add();
        }
    }

    fn print(&self, line: &mut String) {
        object(line, self.0.iter().map(|(name, count)| (name.as_str(), count.get())));
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident: $kind:ty,)*) => {
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
                    line.push_str(concat!("\"", stringify!($name), "\":"));
                    self.$name.print(&mut line);
                )*
                line.push('}');
                line
            }
        }
    };
}

counters! {
    /// Connections taken from sidecars.
    connections: Count,
    /// How they ended.
    connection_ends: Ends,
    /// Connections that could not be taken, for want of descriptors most likely.
    accepts_failed: Count,
    /// Health checks answered.
    health_checks: Count,
    /// Messages with a head that can't be read.
    bad_head: Count,
    /// Messages with a field that can't be read, or names that are not known.
    bad_field: Count,
    /// Messages for a path or method that is not there.
    bad_path: Count,
    /// Messages that are too large, or come in a coding that is not taken.
    bad_size: Count,
    /// Tasks read, by stage.
    tasks: Named,
    /// Tasks rejected without the module: before the kernel is up, or under a name that is in use.
    tasks_refused: Count,
    /// Tasks answered with a run's result.
    finished: Count,
    /// Tasks answered that they never ran.
    rejected: Count,
    /// Tasks answered that they failed.
    abandoned: Count,
    /// Tasks whose caller was gone before their answer.
    caller_gone: Count,
    /// Tasks read whose answer is still owed.
    open: Count,
    /// Answers that no connection took any more.
    answers_lost: Count,
    /// Runs ordered.
    runs: Count,
    /// Runs that ended well.
    runs_ok: Count,
    /// Runs that ended with an error.
    runs_error: Count,
    /// Runs that were stopped.
    runs_stopped: Count,
    /// Runs that never started.
    runs_moot: Count,
    /// Calls made to the ledger.
    calls: Count,
    /// Calls that went well.
    calls_ok: Count,
    /// Calls that failed and never ran.
    calls_never_ran: Count,
    /// Calls that failed and may have run.
    calls_may_have_run: Count,
    /// How connections to the ledger ended.
    ledger_ends: Ends,
    /// Links made to the kernel.
    kernel_links: Count,
    /// How they, or the attempts at one, ended.
    kernel_ends: Ends,
    /// Commands that the kernel did not carry out.
    kernel_refused: Count,
    /// Notices for tasks that are not known.
    kernel_unknown: Count,
    /// Reports to the control plane.
    reports: Count,
    /// Reports that could not be sent.
    reports_failed: Count,
}

impl Counters {
    /// Counters that know the stages' names.
    pub fn new(stages: &[String]) -> Self {
        Self { tasks: Named::new(stages), ..Self::default() }
    }
}
