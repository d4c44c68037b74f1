//! A node's side of the register. It knows no socket and no clock: a driver tells it the time and what the
//! keepers said, carries its messages, and hears which amounts are in force.
//!
//! One message is under way at a time and is sent again as it was, to this keeper or another, until one of them
//! replies. A grant's span counts from the look at the clock before the message was first sent: the register
//! stamps it later, so it is over here first. Whoever acts on an amount tells the time before, in the same
//! turn ([`Holder::advance`]); nothing is begun on a look that is older.
//!
//! The clock counts up while the machine sleeps, too. With every keeper gone the node goes on with what is in
//! force until it lapses, and nothing here is waited for.

#![forbid(unsafe_code)]

mod purse;
mod share;
mod talk;

use lynxtally::{Instant, Pcg, Span};
use lynxtally_messages::{AppliedDocument, Document, LeaseUpdate, NodeRequest, NodeResponse, Rejection};
use purse::Purse;
use share::Share;
use talk::Talk;

pub use share::Counts;

/// What a node is told about its shares.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The node's name.
    pub name: String,
    /// Its program's version.
    pub program: String,
    /// The versions of schemas that it reads.
    pub schemas: Vec<u32>,
    /// The budgets it takes part in.
    pub budgets: Vec<Asked>,
    /// The wallets of its customers.
    pub wallets: Vec<AskedWallet>,
    /// How many keepers there are, in the order of their numbers.
    pub keepers: usize,
    /// How long a reply is waited for before another keeper is tried.
    pub patience: Span,
}

/// A budget that a node takes part in.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Its name.
    pub name: String,
    /// The longest time for which something begun under a grant may go on.
    pub tail: Span,
}

/// A wallet that a node lets tasks in against.
#[derive(Clone, Debug, PartialEq)]
pub struct AskedWallet {
    /// Its name.
    pub name: String,
    /// The longest time for which a task that is let in may be inside.
    pub tail: Span,
}

/// A purse as the host needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct InHand {
    /// Which account.
    pub account: u64,
    /// The units of it that may be spent, with what was spent.
    pub granted: u64,
    /// Whether tasks may be let in against it now.
    pub in_force: bool,
    /// What stages cost, by their names.
    pub prices: std::collections::BTreeMap<String, u64>,
}

/// A message to be carried.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// To which of the keepers.
    pub keeper: usize,
    /// By what its end is known.
    pub token: u64,
    /// The message.
    pub say: NodeRequest,
}

/// What the host hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Of a budget, by its place in the settings, so much may be in use from now on.
    Share {
        /// Which.
        budget: usize,
        /// How much.
        amount: u64,
    },
    /// What may be let in against a wallet has changed.
    Purse(usize),
    /// A route document to apply; what was applied before stays until this one is.
    Document(Document),
    /// There is a route document, and it can't be had in a version that is read here: one line.
    Unreadable(String),
    /// The register knows this process now.
    Joined {
        /// By this number.
        incarnation: u64,
    },
    /// Another process has this name: this one has no part in anything any more.
    Replaced,
    /// A keeper refused a message; nothing was applied.
    Refused(Rejection),
}

/// How it stands with the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    /// It asks for an incarnation, with a number drawn by chance.
    Asking(u64),
    /// It has one.
    There(u64),
    /// It leaves, and has nothing more to say once it has said so.
    Leaving(u64),
    /// It is over.
    Over,
}

/// Grants are asked for anew after this part of their span.
const AGAIN: f64 = 1.0 / 3.0;
/// However long spans are, something is said this many times the time that a reply is waited for after the last.
const OFTEN: f64 = 3.0;
/// What is said at regular times strays by this part, so that a fleet that started together does not go on so.
const STRAY: f64 = 0.25;

/// One node's shares.
pub struct Holder {
    settings: Settings,
    chance: Pcg,
    now: Instant,
    life: Life,
    shares: Vec<Share>,
    purses: Vec<Purse>,
    talk: Talk,
    /// The route document that the host has applied.
    applied: AppliedDocument,
    /// How long a reservation lasts.
    reserved: Option<Span>,
    /// When the next message is due, unless one is under way.
    due: Instant,
    events: Vec<Event>,
    leaving: bool,
}

impl Holder {
    /// A node that knows nothing yet and speaks at once.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        let mut chance = Pcg::new(seed);
        let drawn = Self::draw(&mut chance);
        let shares = settings.budgets.iter().map(|_| Share::default()).collect();
        let purses = settings.wallets.iter().map(|_| Purse::default()).collect();
        let talk = Talk::new(settings.keepers, chance.next_u32() as usize);
        let events = Vec::new();
        Self {
            settings,
            chance,
            now,
            life: Life::Asking(drawn),
            shares,
            purses,
            talk,
            reserved: None,
            applied: AppliedDocument { index: 0, version: 0 },
            due: now,
            events,
            leaving: false,
        }
    }

    fn draw(chance: &mut Pcg) -> u64 {
        (u64::from(chance.next_u32()) << 32 | u64::from(chance.next_u32())).max(1)
    }

    /// Time has passed: grants whose span is over are not in force any more. To be called before anything is
    /// begun, with a look at the clock that is no older than the turn.
    pub fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
        for (budget, share) in self.shares.iter_mut().enumerate() {
            if share.lapse(self.now) {
                self.events.push(Event::Share { budget, amount: 0 });
            }
        }
        for (wallet, purse) in self.purses.iter_mut().enumerate() {
            if purse.lapse(self.now) {
                self.events.push(Event::Purse(wallet));
            }
        }
    }

    /// What may be let in against a wallet now.
    pub fn in_hand(&self, wallet: usize) -> Option<InHand> {
        let purse = self.purses.get(wallet)?;
        let (account, granted, in_force) = (purse.account(), purse.granted(), purse.in_force());
        Some(InHand { account, granted, in_force, prices: purse.prices.clone() })
    }

    /// What was charged and is held in an account of a wallet, and what was wanted since the start. To be told in the
    /// turn in which it changed, before anything is said.
    pub fn spent(&mut self, wallet: usize, account: u64, spent: u64, held: u64, wanted: u64) {
        let Some(purse) = self.purses.get_mut(wallet) else { return };
        if purse.used(account, spent, held, wanted) && matches!(self.life, Life::There(_)) {
            let soon = self.talk.last() + self.often() * AGAIN;
            self.due = self.due.min(soon.max(self.now));
        }
    }

    /// What may be in use of a budget now.
    pub fn amount(&self, budget: usize) -> u64 {
        self.shares.get(budget).map_or(0, Share::amount)
    }

    /// Until when, by the clock that is told here, that amount may be used.
    pub fn until(&self, budget: usize) -> Option<Instant> {
        self.shares.get(budget).and_then(Share::until)
    }

    /// What is in use of a budget, with what was given up and lingers, and what was wanted and begun so far. To be
    /// told in the turn in which something was begun, before anything is said.
    pub fn used(&mut self, budget: usize, in_use: u64, counts: Counts) {
        let over = self.often() * (1.0 / AGAIN);
        let Some(share) = self.shares.get_mut(budget) else { return };
        if share.used(self.now, in_use, counts, over) && matches!(self.life, Life::There(_)) {
            // Something is lacked: that is worth a message of its own, but not many.
            let soon = self.talk.last() + self.often() * AGAIN;
            self.due = self.due.min(soon.max(self.now));
        }
        if self.leaving && in_use == 0 {
            self.due = self.due.min(self.now);
        }
    }

    /// The host has applied a route document.
    pub fn applied(&mut self, number: u64, version: u32) {
        self.applied = AppliedDocument { index: number, version };
    }

    /// Nothing more is begun. Once nothing is in use the register is told so.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.due = self.due.min(self.now);
    }

    /// Whether nothing is left to be said.
    pub fn over(&self) -> bool {
        self.life == Life::Over
    }

    /// What the host is to hear.
    pub fn events(&mut self) -> impl Iterator<Item = Event> + '_ {
        self.events.drain(..)
    }

    /// When something is to be done by itself: a message, or a lapse.
    pub fn next_due(&self) -> Option<Instant> {
        let shares = self.shares.iter().filter_map(Share::until);
        let lapse = shares.chain(self.purses.iter().filter_map(Purse::until)).min();
        let word = self.talk.next_due().or((self.life != Life::Over).then_some(self.due));
        [lapse, word].into_iter().flatten().min()
    }

    /// How long the shortest grant in force lasts; before there is one, as long as is waited for a reply.
    fn period(&self) -> Span {
        self.shares
            .iter()
            .filter_map(Share::span)
            .chain(self.reserved)
            .min()
            .unwrap_or(self.settings.patience)
    }

    /// How often something is said: a part of the shortest span and, as what is needed changes meanwhile however long
    /// spans are, of the time that a reply is waited for.
    fn often(&self) -> Span {
        (self.period() * AGAIN).min(self.settings.patience * OFTEN)
    }

    /// The message that is due now: a new one, or the one under way to another keeper.
    pub fn speak(&mut self, now: Instant) -> Option<Outgoing> {
        self.advance(now);
        if let Some((keeper, token, say)) = self.talk.again(self.now, self.settings.patience) {
            return Some(Outgoing { keeper, token, say });
        }
        if self.talk.under_way() || self.now < self.due || self.life == Life::Over || self.talk.keepers() == 0
        {
            return None;
        }
        let say = self.say();
        let (keeper, token) = self.talk.send(self.now, say.clone(), self.settings.patience);
        Some(Outgoing { keeper, token, say })
    }

    fn say(&mut self) -> NodeRequest {
        let over = self.often() * (1.0 / AGAIN);
        let Settings { name, program, schemas, budgets, wallets, .. } = &self.settings;
        let mut say = NodeRequest {
            name: name.clone(),
            incarnation: 0,
            sequence: 0,
            program_version: program.clone(),
            schema_versions: schemas.clone(),
            budgets: Vec::new(),
            wallets: Vec::new(),
            applied_document: (!schemas.is_empty()).then(|| self.applied.clone()),
            ends_session: false,
        };
        match self.life {
            Life::Asking(drawn) => say.sequence = drawn,
            Life::There(incarnation) | Life::Leaving(incarnation) => {
                (say.incarnation, say.sequence) = (incarnation, self.talk.next_number());
                say.ends_session = self.leaving
                    && self.shares.iter().all(|share| share.in_use() == 0)
                    && self.purses.iter().all(|purse| purse.held() == 0);
                let purse = |(purse, asked): (&mut Purse, &AskedWallet)| {
                    purse.tell(self.now, over, asked, self.leaving)
                };
                say.wallets = self.purses.iter_mut().zip(wallets).map(purse).collect();
                if say.ends_session {
                    self.life = Life::Leaving(incarnation);
                } else {
                    let (now, over, leaving) = (self.now, over, self.leaving);
                    let want = |(share, asked): (&mut Share, &Asked)| share.want(now, over, asked, leaving);
                    say.budgets = self.shares.iter_mut().zip(budgets).map(want).collect();
                }
            }
            Life::Over => {}
        }
        say
    }

    /// A reply came, or surely none will. What belongs to a message that is not under way is passed over.
    pub fn heard(&mut self, now: Instant, token: u64, reply: Option<NodeResponse>) {
        self.advance(now);
        let pause = self.pause();
        let Some(reply) = reply else { return self.talk.lost(self.now, token, pause) };
        let Some((sent, say)) = self.talk.open(token) else { return };
        match reply {
            NodeResponse::Accepted(granted) if granted.sequence == say.sequence => {
                self.talk.done();
                self.granted(sent, &say, granted);
            }
            NodeResponse::Rejected(Rejection::NotLeader { leader }) => {
                let named = leader.and_then(|number| usize::try_from(number).ok()?.checked_sub(1));
                self.talk.turned_away(self.now, named, pause);
            }
            NodeResponse::Rejected(refusal) => self.refused(&say, refusal),
            // An answer to something else: as if there were none.
            NodeResponse::Accepted(_) => self.talk.lost(self.now, token, pause),
        }
    }

    fn pause(&mut self) -> Span {
        self.settings.patience * (AGAIN * (1.0 + STRAY * self.chance.unit()))
    }

    fn granted(&mut self, sent: Instant, say: &NodeRequest, granted: LeaseUpdate) {
        if let Life::Asking(_) = self.life {
            self.life = Life::There(granted.incarnation);
            self.due = self.now;
            return self.events.push(Event::Joined { incarnation: granted.incarnation });
        }
        if say.ends_session {
            self.life = Life::Over;
            return self.drop_all();
        }
        for grant in granted.leases {
            let Some(budget) = self.settings.budgets.iter().position(|asked| asked.name == grant.budget)
            else {
                continue;
            };
            let until = sent + Span::from_micros(grant.duration_us);
            if self.shares[budget].grant(self.now, &grant, until) {
                self.events.push(Event::Share { budget, amount: self.shares[budget].amount() });
            }
        }
        for reserve in granted.reservations {
            let Some(wallet) = self.settings.wallets.iter().position(|asked| asked.name == reserve.wallet)
            else {
                continue;
            };
            let until = sent + Span::from_micros(reserve.duration_us);
            if self.purses[wallet].reserve(self.now, &reserve, until) {
                self.events.push(Event::Purse(wallet));
            }
            self.reserved = Some(Span::from_micros(reserve.duration_us));
        }
        self.events.extend(granted.document.map(Event::Document));
        self.events.extend(granted.unreadable_reason.map(Event::Unreadable));
        let stray = 1.0 - STRAY * self.chance.unit();
        self.due = (sent + self.often() * stray).max(self.now);
    }

    fn drop_all(&mut self) {
        for (budget, share) in self.shares.iter_mut().enumerate() {
            if share.drop_grant() {
                self.events.push(Event::Share { budget, amount: 0 });
            }
        }
        for (wallet, purse) in self.purses.iter_mut().enumerate() {
            if purse.lapse(Instant::from_micros(u64::MAX)) {
                self.events.push(Event::Purse(wallet));
            }
        }
    }

    fn refused(&mut self, say: &NodeRequest, refusal: Rejection) {
        self.talk.done();
        self.due = self.now + self.pause();
        match &refusal {
            _ if say.ends_session => self.life = Life::Over,
            Rejection::Replaced => {
                self.drop_all();
                self.life = Life::Over;
                return self.events.push(Event::Replaced);
            }
            Rejection::UnknownIncarnation => {
                // What it had may be others' by now.
                self.drop_all();
                self.life = Life::Asking(Self::draw(&mut self.chance));
            }
            _ => {}
        }
        self.events.push(Event::Refused(refusal));
    }
}
