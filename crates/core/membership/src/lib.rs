//! Who belongs to a fleet, without I/O: members with states from what is heard of them ([`Fleet`]), suspicion that adapts
//! to each one's habits ([`Habit`]) and is damped for the whole, and numbered views ([`View`]) of which the next one is
//! made only when it differs, is settled, and is not emptier than it may be.

#![forbid(unsafe_code)]

mod habit;
mod view;

pub use habit::Habit;
pub use view::{difference, Change, Entry, Guard, View, Views};

use lynxtally::{Instant, Span};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// From where a member is known; later ones are trusted more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A list that somebody wrote: it tells who should be there.
    List,
    /// A name held by a lease.
    Lease,
    /// The member itself.
    Report,
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Known of, but not heard of by itself yet.
    Joining,
    /// Heard of lately for the first time: it gets a growing part of its share.
    Warming,
    /// It takes its share.
    Ready,
    /// It is silent for longer than its habits explain.
    Suspect,
    /// It said that it leaves.
    Leaving,
    /// It is over.
    Gone,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::Joining => "joining",
            Self::Warming => "warming",
            Self::Ready => "ready",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

/// What a member is held to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// A member is suspect once its silence is less likely than this power of ten (phi).
    pub phi: f64,
    /// Habits are not believed below this spread: a clock that ticks too well is no proof.
    pub least_spread: Span,
    /// For so long a new member's share grows.
    pub warm: Span,
    /// Of the members that are wanted no more than this share is out as suspect at once.
    pub out_share: f64,
    /// Where more than this share falls silent together, the observer is suspect, and nobody is taken out for it.
    pub together: f64,
    /// Silence that begins within this time counts as together.
    pub window: Span,
    /// One that was suspect has to be heard for so long before it is back, twice as long each time again.
    pub settle: Span,
    /// A suspect member is gone after so long.
    pub forget: Span,
    /// Looks come this often; a far longer gap is a pause of the observer's own, not a silence of the members.
    pub tick: Span,
}

/// What is heard of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Heard {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// From where.
    pub source: Source,
    /// What it can do, in its own measure; learned by itself.
    pub capacity: f64,
    /// Its place.
    pub zone: u16,
    /// Whether it leaves.
    pub leaving: bool,
}

/// Why a member stands as it does.
#[derive(Clone, Debug, PartialEq)]
pub struct Why {
    /// How.
    pub state: State,
    /// Since when.
    pub since: Instant,
    /// By which evidence.
    pub evidence: String,
    /// Whether it takes part in the wanted view all the same, and why.
    pub kept: Option<&'static str>,
}

#[derive(Clone, Debug)]
struct Member {
    address: SocketAddr,
    source: Source,
    capacity: f64,
    zone: u16,
    state: State,
    since: Instant,
    evidence: String,
    habit: Habit,
    /// Since when its silence is longer than its habits explain.
    late_since: Option<Instant>,
    /// How often it was suspect lately.
    lapses: u32,
    /// Heard again since then, while it is suspect.
    back_since: Option<Instant>,
    /// Suspect, but kept in the view, as too many would be out.
    kept: Option<&'static str>,
}

/// The members of a fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    limits: Limits,
    members: BTreeMap<String, Member>,
    last: Instant,
    /// While it stands, the observer suspects itself.
    own_fault: Option<Instant>,
}

/// A gap between looks of more than so many ticks is a pause.
const PAUSE: f64 = 5.0;
/// Why one is kept in the view though it is silent.
const TOGETHER: &str = "many fell silent together: we may be the ones who don't hear";
/// Steps in which a warming member's share grows, so that views do not change at each look.
const STEPS: f64 = 4.0;

impl Fleet {
    /// Nobody yet.
    pub fn new(limits: Limits, now: Instant) -> Self {
        Self { limits, members: BTreeMap::new(), last: now, own_fault: None }
    }

    /// Something is heard of a member. A less trusted source says nothing about one that speaks for itself.
    pub fn hear(&mut self, now: Instant, heard: Heard) {
        let now = now.max(self.last);
        let Heard { name, address, source, capacity, zone, leaving } = heard;
        let new = || Member {
            address,
            source,
            capacity,
            zone,
            state: State::Joining,
            since: now,
            evidence: "first heard of".to_owned(),
            habit: Habit::new(now),
            late_since: None,
            lapses: 0,
            back_since: None,
            kept: None,
        };
        let member = self.members.entry(name).or_insert_with(new);
        if source < member.source && !matches!(member.state, State::Gone | State::Suspect) {
            return;
        }
        // Back under its name with another address, or after it was over: another life, which begins anew.
        if (member.address != address && source >= member.source) || member.state == State::Gone {
            let moved = member.address != address;
            *member = new();
            member.evidence =
                if moved { "back with another address" } else { "back after it was gone" }.to_owned();
        }
        member.source = member.source.max(source);
        if capacity.is_finite() && capacity > 0.0 {
            member.capacity = capacity;
        }
        member.zone = zone;
        if source == Source::List {
            return; // A list is no sign of life.
        }
        member.habit.heard(now);
        member.late_since = None;
        match member.state {
            _ if leaving => {
                if member.state != State::Leaving {
                    member.turn(now, State::Leaving, "it said that it leaves");
                }
            }
            State::Joining => member.turn(now, State::Warming, "heard of itself"),
            State::Suspect => {
                member.back_since.get_or_insert(now);
            }
            // What leaves and then speaks as if nothing were was restarted in between.
            State::Leaving => member.turn(now, State::Warming, "it speaks again after it left"),
            State::Warming | State::Ready | State::Gone => {}
        }
    }

    /// Time passes. Has to be called about every tick.
    pub fn tick(&mut self, now: Instant) {
        if now <= self.last {
            return; // A clock that goes back tells nothing.
        }
        let limits = self.limits;
        let gap = now - self.last;
        self.last = now;
        if gap > limits.tick * PAUSE {
            // It was the observer that slept, or its clock that jumped: nobody could be heard meanwhile.
            self.members.values_mut().for_each(|member| member.habit.excuse(gap - limits.tick));
        }
        self.back(now);
        self.suspect(now);
        for member in self.members.values_mut() {
            match member.state {
                State::Warming if now - member.since >= limits.warm => member.turn(now, State::Ready, "warm"),
                State::Suspect if now - member.since >= limits.forget && member.back_since.is_none() => {
                    member.turn(now, State::Gone, "suspect for too long");
                }
                State::Leaving if member.habit.silence(now) >= limits.forget => {
                    member.turn(now, State::Gone, "it left");
                }
                State::Ready if now - member.since >= limits.forget => {
                    // Well for long: what was before is forgiven.
                    member.lapses = 0;
                }
                _ => {}
            }
        }
        let kept_for = limits.forget * 2.0;
        self.members.retain(|_, member| member.state != State::Gone || now - member.since < kept_for);
    }

    /// Suspects that have been heard for long enough come back.
    fn back(&mut self, now: Instant) {
        let limits = self.limits;
        for member in self.members.values_mut().filter(|member| member.state == State::Suspect) {
            let Some(since) = member.back_since else { continue };
            if member.habit.phi(now, limits.least_spread) > limits.phi {
                member.back_since = None;
                continue;
            }
            let settle = limits.settle * f64::from(1_u32 << member.lapses.saturating_sub(1).min(10));
            if now - since >= settle {
                let kept = member.kept.take().is_some();
                // One that was never out has nothing to warm up for.
                let state = if kept { State::Ready } else { State::Warming };
                member.turn(now, state, "heard again for long enough");
                member.back_since = None;
            }
        }
    }

    /// Who is silent for longer than its habits explain. Where many are so together, it is more likely that we don't hear
    /// than that they all fell silent.
    fn suspect(&mut self, now: Instant) {
        let limits = self.limits;
        let alive = |member: &Member| matches!(member.state, State::Warming | State::Ready);
        let late: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| alive(member) && member.habit.phi(now, limits.least_spread) > limits.phi)
            .map(|(name, _)| name.clone())
            .collect();
        let speaking =
            self.members.values().filter(|member| alive(member) || member.state == State::Suspect).count();
        let fresh = |member: &Member| {
            member.state == State::Suspect
                && member.back_since.is_none()
                && now - member.since < limits.window
        };
        let silent = late.len() + self.members.values().filter(|member| fresh(member)).count();
        // Half of two is no crowd.
        let crowd = |count: usize| count > 1 && count as f64 > speaking as f64 * limits.together;
        // Once it suspects itself it does so until enough of them are heard again, however long ago they fell silent.
        let unheard = |member: &Member| member.state == State::Suspect && member.back_since.is_none();
        let still = late.len() + self.members.values().filter(|member| unheard(member)).count();
        if crowd(silent) {
            if self.own_fault.is_none() {
                // Those that were the first to be missed are no more to blame than the others.
                for member in self.members.values_mut().filter(|member| fresh(member)) {
                    member.kept = Some(TOGETHER);
                }
            }
            self.own_fault.get_or_insert(now);
        } else if !crowd(still) {
            self.own_fault = None;
        }
        for name in late {
            let own_fault = self.own_fault.is_some();
            let Some(member) = self.members.get_mut(&name) else { continue };
            // One more usual interval is waited, to see whether others are missed as well.
            let since = *member.late_since.get_or_insert(now);
            if !own_fault && now - since < member.habit.usual() {
                continue;
            }
            let phi = member.habit.phi(now, limits.least_spread);
            let silence = member.habit.silence(now).secs();
            member.late_since = None;
            member.lapses += 1;
            member.back_since = None;
            member.kept = own_fault.then_some(TOGETHER);
            member.turn(now, State::Suspect, &format!("silent for {silence:.1} s, phi {phi:.1}"));
        }
        self.damp();
    }

    /// No more than a share is out at once: of those that are suspect, the ones that were silent first are out.
    fn damp(&mut self) {
        let own_fault = self.own_fault.is_some();
        let mut suspects: Vec<(Instant, String)> = self
            .members
            .iter()
            .filter(|(_, member)| member.state == State::Suspect)
            .map(|(name, member)| (member.since, name.clone()))
            .collect();
        suspects.sort();
        let others =
            self.members.values().filter(|m| matches!(m.state, State::Warming | State::Ready)).count();
        let most = ((others + suspects.len()) as f64 * self.limits.out_share) as usize;
        for (n, (_, name)) in suspects.into_iter().enumerate() {
            let Some(member) = self.members.get_mut(&name) else { continue };
            member.kept = match member.kept {
                Some(kept) if own_fault => Some(kept),
                _ if n >= most => Some("no more may be out at once"),
                _ => None,
            };
        }
    }

    /// The members as they are wanted in a view.
    pub fn wanted(&self, now: Instant) -> Vec<(String, Entry)> {
        let mut all = Vec::new();
        for (name, member) in &self.members {
            let part = match member.state {
                State::Ready => 1.0,
                State::Warming => {
                    let age = (now - member.since) / self.limits.warm;
                    ((age * STEPS).floor() + 1.0).min(STEPS) / STEPS
                }
                // Nobody speaks for it yet, but somebody wrote it down: better than nobody at all.
                State::Joining => 0.0,
                State::Suspect if member.kept.is_some() => 1.0,
                State::Suspect | State::Leaving | State::Gone => continue,
            };
            let weight = (member.capacity * part * 1000.0).round() as u64;
            let entry = Entry { address: member.address, weight, zone: member.zone };
            all.push((name.clone(), entry));
        }
        let heard = all.iter().any(|(_, entry)| entry.weight > 0);
        if heard {
            all.retain(|(_, entry)| entry.weight > 0);
        } else {
            // Only a list is known: all of it, alike.
            all.iter_mut().for_each(|(_, entry)| entry.weight = 1000);
        }
        all
    }

    /// Why a member stands as it does.
    pub fn why(&self, name: &str) -> Option<Why> {
        let member = self.members.get(name)?;
        let (state, since, evidence) = (member.state, member.since, member.evidence.clone());
        Some(Why { state, since, evidence, kept: member.kept })
    }

    /// Whether the observer suspects itself, and since when.
    pub fn own_fault(&self) -> Option<Instant> {
        self.own_fault
    }

    /// How many stand so.
    pub fn count(&self, state: State) -> usize {
        self.members.values().filter(|member| member.state == state).count()
    }
}

impl Member {
    fn turn(&mut self, now: Instant, state: State, evidence: &str) {
        (self.state, self.since) = (state, now);
        evidence.clone_into(&mut self.evidence);
    }
}
