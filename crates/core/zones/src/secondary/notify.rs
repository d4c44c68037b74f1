//! Decides which secondaries are sent a NOTIFY and when it is repeated.

use super::retry::{RetryTimes, BACKOFF_FACTOR};
use crate::serial::Serial;
use lynxtally::{Instant, Pcg};

/// Schedules NOTIFY messages (RFC 1996) that announce a new serial to each secondary. They are repeated until the secondary
/// acknowledges one or the maximum number is sent.
#[derive(Clone, Debug)]
pub struct NotifySender {
    targets: Vec<NotifyTarget>,
    serial: Option<Serial>,
    times: RetryTimes,
    rng: Pcg,
}

#[derive(Clone, Debug)]
struct NotifyTarget {
    sent: u32,
    due: Option<Instant>,
}

/// Maximum number of NOTIFY messages per serial and secondary. Afterwards the secondary relies on its refresh
/// interval.
const MAX_NOTIFIES: u32 = 8;

impl NotifySender {
    /// Creates a sender for this number of secondaries.
    pub fn new(targets: usize, times: RetryTimes, seed: u64) -> Self {
        Self {
            targets: vec![NotifyTarget { sent: 0, due: None }; targets],
            serial: None,
            times,
            rng: Pcg::new(seed),
        }
    }

    /// Schedules a NOTIFY of the serial to all secondaries, unless it is the serial that was announced last.
    pub fn serial_changed(&mut self, now: Instant, serial: Serial) {
        if self.serial != Some(serial) {
            self.serial = Some(serial);
            self.targets.iter_mut().for_each(|target| *target = NotifyTarget { sent: 0, due: Some(now) });
        }
    }

    /// The time of the next NOTIFY.
    pub fn next_due(&self) -> Option<Instant> {
        self.targets.iter().filter_map(|target| target.due).min()
    }

    /// The secondaries that are due for a NOTIFY, by index, and the serial to announce.
    pub fn due(&mut self, now: Instant) -> Vec<(usize, Serial)> {
        let Some(serial) = self.serial else { return Vec::new() };
        let mut all = Vec::new();
        for (n, target) in self.targets.iter_mut().enumerate() {
            if target.due.is_some_and(|due| due <= now) {
                all.push((n, serial));
                target.sent += 1;
                let pause = self.times.retry * BACKOFF_FACTOR.powi(target.sent.min(16) as i32 - 1);
                let at = now + pause.min(self.times.max_retry) * (0.5 + self.rng.unit());
                target.due = (target.sent < MAX_NOTIFIES).then_some(at);
            }
        }
        all
    }

    /// Called when a secondary acknowledged a NOTIFY. An acknowledgement of another serial is ignored; one without a serial
    /// counts.
    pub fn acknowledged(&mut self, target: usize, serial: Option<Serial>) {
        if let Some(target) =
            self.targets.get_mut(target).filter(|_| serial.is_none() || serial == self.serial)
        {
            target.due = None;
        }
    }
}
