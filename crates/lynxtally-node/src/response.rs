//! Final answers, and how they are written to a sidecar.

use lynxtally::Span;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The final answer to a task.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result that its run made, unchanged.
    Finished(Vec<u8>),
    /// It never ran.
    Rejected {
        /// How long the caller should keep away.
        hold_off: Span,
        /// Asks that it not be tried elsewhere.
        terminal: bool,
    },
    /// Failed, without a promise.
    Abandoned,
    /// It can't be read; the status says why.
    Unfit(u16),
}

impl Answer {
    /// The status that says so.
    pub fn status(&self) -> u16 {
        match self {
            Self::Finished(_) => 200,
            Self::Rejected { .. } => 503,
            Self::Abandoned => 500,
            Self::Unfit(status) => *status,
        }
    }
}

impl From<lynxtally_engine::FinalResponse> for Answer {
    fn from(answer: lynxtally_engine::FinalResponse) -> Self {
        use lynxtally_engine::FinalResponse as Final;
        match answer {
            Final::Completed(result) => Self::Finished(result),
            Final::Rejected { retry_after: hold_off, no_retry: terminal } => {
                Self::Rejected { hold_off, terminal }
            }
            Final::Failed => Self::Abandoned,
        }
    }
}

/// What goes with every answer and what health checks hear. The owner sets it, connections read it.
#[derive(Debug, Default)]
pub struct Standing {
    healthy: AtomicBool,
    leaving: AtomicBool,
    /// The free value's bits, and whether there is one.
    free: AtomicU64,
    said: AtomicBool,
}

impl Standing {
    /// Sets what health checks hear.
    pub fn set_healthy(&self, healthy: bool) {
        self.healthy.store(healthy, Ordering::Release);
    }

    /// Whether health checks hear that all is well.
    pub fn healthy(&self) -> bool {
        self.healthy.load(Ordering::Acquire)
    }

    /// From now on every answer is the last on its connection.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether this node leaves.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Sets the free value.
    pub fn say(&self, free: f64) {
        self.free.store(free.to_bits(), Ordering::Release);
        self.said.store(true, Ordering::Release);
    }

    /// The free value, once there is one.
    pub fn free(&self) -> Option<f64> {
        self.said.load(Ordering::Acquire).then(|| f64::from_bits(self.free.load(Ordering::Acquire)))
    }
}

/// Writes an answer; `last` announces that the connection ends with it.
pub fn write(out: &mut Vec<u8>, answer: &Answer, free: Option<f64>, last: bool) {
    let (reason, body): (&str, &[u8]) = match answer {
        Answer::Finished(result) => ("OK", result),
        Answer::Rejected { .. } => ("Service Unavailable", b""),
        Answer::Abandoned => ("Internal Server Error", b""),
        Answer::Unfit(_) => ("Unfit", b""),
    };
    head(out, answer.status(), reason, body.len(), free, last);
    if let Answer::Rejected { hold_off, terminal } = answer {
        if *hold_off > Span::ZERO {
            line(out, format_args!("X-Pushback-Ms: {}", hold_off.micros().div_ceil(1000)));
        }
        if *terminal {
            line(out, format_args!("X-Stop-Trying: 1"));
        }
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Writes what a health check hears.
pub fn write_health(out: &mut Vec<u8>, healthy: bool, free: Option<f64>, last: bool) {
    let (status, reason) = if healthy { (200, "OK") } else { (503, "Service Unavailable") };
    head(out, status, reason, 0, free, last);
    out.extend_from_slice(b"\r\n");
}

fn head(out: &mut Vec<u8>, status: u16, reason: &str, length: usize, free: Option<f64>, last: bool) {
    line(out, format_args!("HTTP/1.1 {status} {reason}"));
    line(out, format_args!("Content-Length: {length}"));
    if let Some(free) = free {
        line(out, format_args!("X-Backend-Says: {free}"));
    }
    if last {
        line(out, format_args!("Connection: close"));
    }
}

fn line(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    // A vector takes whatever is written to it.
    let _ = write!(out, "{text}\r\n");
}
