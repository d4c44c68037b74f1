//! All timers of an instance in one ordered set: the engine's own and those of the frontend.

use lynxtally::{Gauges, Instant, RequestId, Span};
use std::collections::BTreeSet;

/// The gauges are asked for this part of the timer's period before it fires, so that they are fresh then.
const GAUGE_REQUEST_LEAD: f64 = 0.25;
/// Gauges older than this many periods are not reported to the scheduler.
const MAX_GAUGE_AGE_PERIODS: f64 = 2.0;

/// What a timer is for; `D` is the frontend's own. Timers due at the same instant expire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer<FrontendTimer> {
    /// One of the frontend's.
    Frontend(FrontendTimer),
    /// The gauges are to be asked for.
    RequestGauges,
    /// The scheduler's periodic timer.
    Scheduler,
    /// The downstream call of this request, with this number, times out.
    CallTimeout(RequestId, u64),
}

/// Pending timers, and the period of the scheduler's.
pub(crate) struct Timers<FrontendTimer> {
    pending: BTreeSet<(Instant, Timer<FrontendTimer>)>,
    period: Span,
}

impl<FrontendTimer: Copy + Ord> Timers<FrontendTimer> {
    pub fn new() -> Self {
        Self { pending: BTreeSet::new(), period: Span::ZERO }
    }

    /// The period of the scheduler's timer; zero before it was first set.
    pub fn period(&self) -> Span {
        self.period
    }

    pub fn set(&mut self, at: Instant, timer: Timer<FrontendTimer>) {
        self.pending.insert((at, timer));
    }

    /// Sets the scheduler's timer, and the request for gauges ahead of it.
    pub fn set_period(&mut self, now: Instant, period: Span) {
        self.period = period;
        self.set(now + period, Timer::Scheduler);
        self.set(now + period * (1.0 - GAUGE_REQUEST_LEAD), Timer::RequestGauges);
    }

    /// When the next one expires.
    pub fn next(&self) -> Option<Instant> {
        self.pending.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first that has expired.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Timer<FrontendTimer>> {
        if self.next()? > now {
            return None;
        }
        self.pending.pop_first().map(|(_, timer)| timer)
    }
}

/// The gauges as last reported.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GaugeReading {
    pub reported_at: Instant,
    pub gauges: Gauges,
}

impl GaugeReading {
    /// The gauges, or none where they are too old. An executor that stopped reporting would otherwise have the scheduler
    /// act on the last load it saw for good.
    pub fn current(&self, now: Instant, period: Span) -> Gauges {
        if now - self.reported_at <= period * MAX_GAUGE_AGE_PERIODS {
            self.gauges
        } else {
            Gauges::default()
        }
    }
}
