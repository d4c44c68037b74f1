//! One message under way at a time, to one keeper after another.

use lynxtally::{Instant, Span};
use lynxtally_messages::NodeRequest;

#[derive(Debug)]
struct UnderWay {
    say: NodeRequest,
    /// The token of its first try.
    first: u64,
    /// When it was first sent: spans count from here.
    sent: Instant,
    /// When it goes to another keeper, unless a reply comes.
    until: Instant,
    /// It was sent and nothing came back yet; else it waits for its time to be sent again.
    out: bool,
    /// Keepers in a row that only named another.
    hints: usize,
}

/// What was said, and to whom the next is.
#[derive(Debug)]
pub(crate) struct Talk {
    keepers: usize,
    keeper: usize,
    number: u64,
    token: u64,
    under_way: Option<UnderWay>,
    last: Instant,
}

impl Talk {
    pub fn new(keepers: usize, first: usize) -> Self {
        let keeper = first % keepers.max(1);
        Self { keepers, keeper, number: 0, token: 0, under_way: None, last: Instant::default() }
    }

    pub fn keepers(&self) -> usize {
        self.keepers
    }

    pub fn under_way(&self) -> bool {
        self.under_way.is_some()
    }

    /// When the last new message was sent.
    pub fn last(&self) -> Instant {
        self.last
    }

    pub fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// When the message under way is to be sent again.
    pub fn next_due(&self) -> Option<Instant> {
        self.under_way.as_ref().map(|message| message.until)
    }

    /// A new message.
    pub fn send(&mut self, now: Instant, say: NodeRequest, patience: Span) -> (usize, u64) {
        self.token += 1;
        self.last = now;
        self.under_way =
            Some(UnderWay { say, first: self.token, sent: now, until: now + patience, out: true, hints: 0 });
        (self.keeper, self.token)
    }

    /// The message under way, where it has to be sent again.
    pub fn again(&mut self, now: Instant, patience: Span) -> Option<(usize, u64, NodeRequest)> {
        let message = self.under_way.as_mut().filter(|message| message.until <= now)?;
        if message.out {
            self.keeper = (self.keeper + 1) % self.keepers.max(1);
        }
        (message.until, message.out) = (now + patience, true);
        self.token += 1;
        Some((self.keeper, self.token, message.say.clone()))
    }

    /// The message that a reply belongs to, and when it was first sent. A reply to any of its tries will do: it
    /// is one message.
    pub fn open(&self, token: u64) -> Option<(Instant, NodeRequest)> {
        let message =
            self.under_way.as_ref().filter(|message| (message.first..=self.token).contains(&token))?;
        Some((message.sent, message.say.clone()))
    }

    /// The last try surely has no reply: the next keeper, after a pause.
    pub fn lost(&mut self, now: Instant, token: u64, pause: Span) {
        let Some(message) = self.under_way.as_mut().filter(|message| message.out && token == self.token)
        else {
            return;
        };
        (message.until, message.out) = (now + pause, false);
        self.keeper = (self.keeper + 1) % self.keepers.max(1);
    }

    /// A keeper is not the leader: the one it named at once, else the next after a pause.
    pub fn turned_away(&mut self, now: Instant, named: Option<usize>, pause: Span) {
        let (keepers, own) = (self.keepers, self.keeper);
        let Some(message) = self.under_way.as_mut() else { return };
        message.hints += 1;
        let follow = named.filter(|at| *at != own && *at < keepers && message.hints <= keepers);
        (message.until, message.out) = (if follow.is_some() { now } else { now + pause }, false);
        if follow.is_none() {
            message.hints = 0;
        }
        self.keeper = follow.unwrap_or((own + 1) % keepers.max(1));
    }

    /// The message under way has its reply.
    pub fn done(&mut self) {
        self.under_way = None;
    }
}
