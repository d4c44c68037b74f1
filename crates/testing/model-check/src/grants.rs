//! One unit, two holders, one register. Messages are lost, repeated and late; each machine's clock falls
//! behind the others by a bounded amount; a holder stands still, and wakes.
//!
//! Properties in words. Never: more is in hand below than there is. Sometimes: the unit passes from one holder
//! to the other, and both have had a call under it.
//!
//! Time goes by in steps. A clock that falls behind by a step in a span is what drift is here. The register's
//! clock may be the slow one or the fast one, as only the difference counts.

use stateright::{Model, Property};

/// A grant lets calls begin for so many steps.
const SPAN: u8 = 2;
/// A call goes on for so many steps at most.
const TAIL: u8 = 1;
/// So many steps a holder's clock falls behind at most while it counts one span.
const DRIFT: u8 = 1;
/// So many steps a holder stands still at most between its look at the clock and the call that it begins then.
const MARGIN: u8 = 1;

/// What is done wrongly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Nothing.
    Sound,
    /// The register gives again what a suspected holder has.
    AtSuspicion,
    /// The holder counts the span from the reply.
    FromAnswer,
    /// The register waits for no drift.
    NoDrift,
    /// What was begun under a grant is not waited for.
    NoTail,
    /// A woken holder begins on the look at the clock from before it stood still, and no margin is waited.
    NoMargin,
}

/// The model, up to a number of steps.
#[derive(Clone, Copy, Debug)]
pub struct Grants {
    /// What is done wrongly.
    pub variant: Variant,
    /// So many steps of time.
    pub steps: u8,
    /// So many messages may be under way at once.
    pub under_way: usize,
    /// So often each holder asks.
    pub asks: [u8; 2],
}

/// A holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Holder {
    clock: u8,
    /// Steps that its clock may still fall behind; only the first holder's does, as one that is late is enough.
    behind: u8,
    /// The clock at the message under way.
    asked: Option<u8>,
    /// The last message's number.
    number: u8,
    /// Until when, by its clock, calls may begin.
    until: Option<u8>,
    /// Steps until the call in hand is over below.
    in_hand: Option<u8>,
    /// It has looked at the clock, found its grant in force, and will begin; so many steps ago.
    looked: Option<u8>,
}

/// A message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A holder asks.
    Ask(u8, u8),
    /// The register grants.
    Grant(u8, u8),
}

/// All of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    holders: [Holder; 2],
    /// Who has the unit, the number of the message that it was given for, and when it is surely over.
    given: Option<(u8, u8, u8)>,
    under_way: Vec<Message>,
    /// Who had a call so far.
    served: [bool; 2],
}

/// What may happen.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A step of time; whether the first holder's clock falls behind. The other's shows the time.
    Step(bool),
    /// A holder asks.
    Ask(u8),
    /// A message arrives, and may arrive again.
    Arrive(Message, bool),
    /// A message is lost.
    Lose(Message),
    /// A holder looks at its clock and will begin a call.
    Look(u8),
    /// It begins.
    Begin(u8),
    /// A call is over early.
    End(u8),
    /// The register suspects the one that has the unit.
    Suspect,
}

impl Grants {
    fn ends(&self, now: u8) -> u8 {
        let tail = if self.variant == Variant::NoTail { 0 } else { TAIL };
        let drift = if self.variant == Variant::NoDrift { 0 } else { DRIFT };
        let margin = if self.variant == Variant::NoMargin { 0 } else { MARGIN };
        now + SPAN + drift + tail + margin
    }
}

impl Model for Grants {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let holder = Holder { behind: DRIFT, ..Holder::default() };
        let holders = [holder.clone(), holder];
        vec![State { now: 0, holders, given: None, under_way: Vec::new(), served: [false; 2] }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < self.steps
            && state.holders.iter().all(|holder| holder.looked.is_none_or(|n| n < MARGIN))
        {
            actions.push(Action::Step(false));
            if state.holders[0].behind > 0 {
                actions.push(Action::Step(true));
            }
        }
        for (at, holder) in (0..).zip(&state.holders) {
            if holder.asked.is_none()
                && state.under_way.len() < self.under_way
                && holder.number < self.asks[usize::from(at)]
            {
                actions.push(Action::Ask(at));
            }
            let in_force = holder.until.is_some_and(|until| holder.clock < until);
            if in_force && holder.in_hand.is_none() && holder.looked.is_none() {
                actions.push(Action::Look(at));
            }
            if holder.looked.is_some() {
                actions.push(Action::Begin(at));
            }
            if holder.in_hand.is_some() {
                actions.push(Action::End(at));
            }
        }
        for message in &state.under_way {
            actions.extend([
                Action::Arrive(*message, false),
                Action::Arrive(*message, true),
                Action::Lose(*message),
            ]);
        }
        if self.variant == Variant::AtSuspicion && state.given.is_some() {
            actions.push(Action::Suspect);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Step(behind) => {
                state.now += 1;
                for (holder, behind) in state.holders.iter_mut().zip([behind, false]) {
                    if behind {
                        holder.behind -= 1;
                    } else {
                        holder.clock += 1;
                    }
                    holder.in_hand = holder.in_hand.and_then(|left| left.checked_sub(1));
                    holder.looked = holder.looked.map(|ago| ago + 1);
                }
            }
            Action::Ask(at) => {
                let holder = &mut state.holders[usize::from(at)];
                holder.number += 1;
                // What a clock fell behind before counts only for a span that still lasts.
                if holder.until.is_none_or(|until| until <= holder.clock) && holder.looked.is_none() {
                    holder.behind = DRIFT;
                }
                holder.asked = Some(holder.clock);
                state.under_way.push(Message::Ask(at, holder.number));
            }
            Action::Arrive(message, stays) => {
                if !stays {
                    let at = state.under_way.iter().position(|known| *known == message)?;
                    state.under_way.remove(at);
                }
                self.arrive(&mut state, message)?;
            }
            Action::Lose(message) => {
                let at = state.under_way.iter().position(|known| *known == message)?;
                state.under_way.remove(at);
                let (Message::Ask(at, number) | Message::Grant(at, number)) = message;
                // It is not asked again under the same number here: the next message has its own.
                let holder = &mut state.holders[usize::from(at)];
                if holder.number == number {
                    holder.asked = None;
                }
            }
            Action::Look(at) => state.holders[usize::from(at)].looked = Some(0),
            Action::Begin(at) => {
                let holder = &mut state.holders[usize::from(at)];
                (holder.looked, holder.in_hand) = (None, Some(TAIL));
                state.served[usize::from(at)] = true;
            }
            Action::End(at) => state.holders[usize::from(at)].in_hand = None,
            Action::Suspect => state.given = None,
        }
        state.under_way.sort_unstable();
        state.under_way.dedup();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let safe = Property::always("no more in hand than there is", |_, state: &State| {
            state.holders.iter().filter(|holder| holder.in_hand.is_some()).count() <= 1
        });
        if self.variant != Variant::Sound {
            return vec![safe];
        }
        vec![
            safe,
            Property::sometimes("both have had a call", |_, state: &State| state.served == [true, true]),
        ]
    }
}

impl Grants {
    fn arrive(&self, state: &mut State, message: Message) -> Option<()> {
        match message {
            Message::Ask(at, number) => {
                state.given = state.given.filter(|(.., end)| *end > state.now);
                match state.given {
                    Some((who, told, _)) if who == at && told >= number => {}
                    Some((who, ..)) if who != at => return Some(()),
                    _ => state.given = Some((at, number, self.ends(state.now))),
                }
                if state.under_way.len() >= self.under_way {
                    return None;
                }
                state.under_way.push(Message::Grant(at, number));
            }
            Message::Grant(at, number) => {
                let holder = &mut state.holders[usize::from(at)];
                let asked = holder.asked.filter(|_| holder.number == number)?;
                let from = if self.variant == Variant::FromAnswer { holder.clock } else { asked };
                (holder.asked, holder.until) = (None, Some(from + SPAN));
            }
        }
        Some(())
    }
}
