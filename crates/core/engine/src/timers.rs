//! All timers of an instance, those of the engine and those of the frontend, in one ordered set.

use lynxtally::{Gauges, Instant, RequestId, Span};
use std::collections::BTreeSet;

/// The gauges are requested this fraction of the scheduler's timer period before the timer expires, so that they are
/// recent when the scheduler gets them.
const GAUGE_REQUEST_LEAD: f64 = 0.25;
/// Gauges older than this many periods of the scheduler's timer are not reported to the scheduler.
const MAX_GAUGE_AGE_PERIODS: f64 = 2.0;

/// What a timer is for. Timers that are due at the same instant expire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer<FrontendTimer> {
    /// A timer that the frontend set.
    Frontend(FrontendTimer),
    /// The executor is to be asked for the gauges.
    RequestGauges,
    /// The scheduler's periodic timer.
    Scheduler,
    /// The timeout of the downstream call of this request, with this call number.
    CallTimeout(RequestId, u64),
}

/// The pending timers, and the period of the scheduler's timer.
pub(crate) struct Timers<FrontendTimer> {
    pending: BTreeSet<(Instant, Timer<FrontendTimer>)>,
    period: Span,
}

impl<FrontendTimer: Copy + Ord> Timers<FrontendTimer> {
    pub fn new() -> Self {
        Self { pending: BTreeSet::new(), period: Span::ZERO }
    }

    /// The period of the scheduler's timer; zero until it is first set.
    pub fn period(&self) -> Span {
        self.period
    }

    pub fn set(&mut self, at: Instant, timer: Timer<FrontendTimer>) {
        self.pending.insert((at, timer));
    }

    /// Sets the scheduler's timer, and the timer that requests the gauges before it expires.
    pub fn set_period(&mut self, now: Instant, period: Span) {
        self.period = period;
        self.set(now + period, Timer::Scheduler);
        self.set(now + period * (1.0 - GAUGE_REQUEST_LEAD), Timer::RequestGauges);
    }

    /// When the next timer expires.
    pub fn next(&self) -> Option<Instant> {
        self.pending.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer, if it has expired.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Timer<FrontendTimer>> {
        if self.next()? > now {
            return None;
        }
        self.pending.pop_first().map(|(_, timer)| timer)
    }
}

/// The gauges that were last reported.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GaugeReading {
    pub reported_at: Instant,
    pub gauges: Gauges,
}

impl GaugeReading {
    /// The gauges, or the default, without any value, if they are too old. Otherwise the scheduler would act on the last
    /// reported load forever after an executor stops reporting.
    pub fn current(&self, now: Instant, period: Span) -> Gauges {
        if now - self.reported_at <= period * MAX_GAUGE_AGE_PERIODS {
            self.gauges
        } else {
            Gauges::default()
        }
    }
}
