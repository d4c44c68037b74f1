//! One stream: what a client sends goes up, what the upstream answers comes down, both as they arrive. It is fed octets
//! and tells which are to go where; it knows no socket.

use crate::body_pipe::BodyPipe;
use crate::content_coder::ContentCoder;
use crate::http::{
    BodyUse, ConnectionUse, ContentRange, ForwardedRequest, Framing, LocalResponse, MessageError, ParsedHead,
    RangeRequest, RequestHead, ResponseHead, CONTINUE_RESPONSE, MAX_HEAD_BYTES,
};
use crate::output_buffer::OutputBuffer;
use lynxtally_flow::coding::{Coding, Growth};
use lynxtally_flow::resume::{Changed, Piece};

/// What a stage's streams are given.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The largest body that is taken, in octets.
    pub body_most: u64,
    /// The codings that upstreams take for what goes up.
    pub takes: Vec<Coding>,
    /// Answers of at least this length are coded for clients that like it; none are where it is missing.
    pub code_from: Option<u64>,
    /// What may come of a coded body.
    pub growth: Growth,
    /// Whether a copy of what goes up is kept, as long as there is room.
    pub keep: bool,
    /// An answer no longer than this is kept for repeats, in octets.
    pub copy_most: usize,
}

/// Whose fault it is that a stream can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The client's.
    Client(MessageError),
    /// The upstream's.
    Upstream(MessageError),
    /// The object of a download that was to be gone on with is another now.
    Changed(Changed),
}

/// One stream.
pub struct Relay {
    asked: RequestHead,
    plan: Plan,
    /// What goes up; its head is the first in it.
    pub up: BodyPipe,
    up_framing: Framing,
    /// What goes to the client before the upstream's answer, or instead of it.
    first: OutputBuffer,
    /// The head of the answer, as it comes.
    head: Vec<u8>,
    reply: Option<ResponseHead>,
    /// The upstream's answer as it goes down.
    down: Option<BodyPipe>,
    /// Whether what comes after a cut is the rest of the answer, not another.
    rest: Option<Piece>,
    /// The upstream refused before it had all: the rest of the body goes nowhere.
    refused: bool,
    /// An answer of our own stands in place of the upstream's.
    own: bool,
    last: bool,
    /// What went to the client so far, while it is kept.
    copy: Option<Vec<u8>>,
}

impl Relay {
    /// A stream that begins.
    pub fn new(asked: RequestHead, plan: Plan) -> Result<Self, MessageError> {
        if matches!(asked.framing, Framing::Length(length) if length > plan.body_most) {
            return Err(MessageError::BodyTooLarge);
        }
        let seen = &asked.known;
        let decodes = asked.framing != Framing::Empty
            && !seen.has_other_coding
            && !plan.takes.contains(&seen.content_coding);
        let coder = match decodes {
            true if seen.content_coding != Coding::Identity => {
                ContentCoder::decoder(seen.content_coding, plan.growth)?
            }
            _ => ContentCoder::identity(),
        };
        let up_framing = if coder.is_identity() { asked.framing } else { Framing::Chunked };
        let mut up = BodyPipe::new(asked.framing, up_framing, coder);
        if plan.keep {
            up.keep_copy();
        }
        let forwarded =
            ForwardedRequest { framing: up_framing, is_decoded: up_framing != asked.framing, range: None };
        asked.write(up.out.append_to(), forwarded);
        up.start()?;
        let (last, copy) = (asked.closes_connection(), (plan.copy_most > 0).then(Vec::new));
        Ok(Self {
            asked,
            plan,
            up,
            up_framing,
            first: OutputBuffer::default(),
            head: Vec::new(),
            reply: None,
            down: None,
            rest: None,
            refused: false,
            own: false,
            last,
            copy,
        })
    }

    /// What was asked.
    pub fn asked(&self) -> &RequestHead {
        &self.asked
    }

    /// What the upstream answered.
    pub fn reply(&self) -> Option<&ResponseHead> {
        self.reply.as_ref()
    }

    /// The stream is let in: a client that waits for a word sends its body now.
    pub fn let_in(&mut self) {
        if self.asked.known.expects_continue && !self.up.is_complete() && self.up.received_bytes() == 0 {
            self.first.append_to().extend_from_slice(CONTINUE_RESPONSE);
        }
    }

    /// Whether more of the client's body is to come.
    pub fn wants_client(&self) -> bool {
        !self.up.is_complete()
    }

    /// Whether the upstream has refused what is still coming.
    pub fn refused(&self) -> bool {
        self.refused
    }

    /// Takes octets of the client's body, as long as no more than `room` waits; tells how many it used: fewer than all
    /// only past the body's end.
    pub fn from_client(&mut self, octets: &[u8], room: usize) -> Result<usize, Fault> {
        let used = self.up.receive(octets, room).map_err(Fault::Client)?;
        self.check_size()?;
        if self.refused || self.own {
            // It is read only so that its end is found.
            self.up.out.discard();
        }
        Ok(used)
    }

    /// Goes on with what of it could not be decoded before, for want of room.
    pub fn go_on_up(&mut self, room: usize) -> Result<(), Fault> {
        self.up.decode_more(room).map_err(Fault::Client)?;
        self.check_size()
    }

    /// So many octets went up just as they came.
    pub fn passed_up(&mut self, octets: usize) -> Result<(), Fault> {
        self.up.record_passthrough(octets).map_err(Fault::Client)?;
        self.check_size()
    }

    fn check_size(&self) -> Result<(), Fault> {
        let most = self.plan.body_most;
        let large = self.up.received_bytes() > most
            || (self.up_framing != self.asked.framing && self.up.encoded_bytes() > most);
        if large {
            Err(Fault::Client(MessageError::BodyTooLarge))
        } else {
            Ok(())
        }
    }

    /// Takes octets of the answer, as long as no more than `room` waits.
    pub fn from_upstream(&mut self, octets: &[u8], room: usize) -> Result<(), Fault> {
        if let Some(down) = self.down.as_mut().filter(|_| self.rest.is_none()) {
            let used = down.receive(octets, room).map_err(Fault::Upstream)?;
            // What comes past the answer's end is nobody's.
            return if used < octets.len() && !down.is_complete() {
                Err(Fault::Upstream(MessageError::InvalidLength))
            } else {
                Ok(())
            };
        }
        self.head.extend_from_slice(octets);
        loop {
            let read = ResponseHead::parse(&self.head, &self.asked.method).map_err(Fault::Upstream)?;
            let Some(ParsedHead { head: reply, length }) = read else {
                let large = self.head.len() >= MAX_HEAD_BYTES;
                return if large { Err(Fault::Upstream(MessageError::HeadTooLarge)) } else { Ok(()) };
            };
            let octets: Vec<u8> = self.head.drain(..length).collect::<Vec<u8>>();
            drop(octets);
            match reply.status {
                // After a change of protocols nothing here can be read; we ask for none.
                101 => return Err(Fault::Upstream(MessageError::InvalidHead)),
                100 | 102 | 104 => {}
                ..=199 if self.asked.is_http_10 || self.rest.is_some() => {}
                ..=199 => reply.write(self.first.append_to(), Framing::Empty, None, ConnectionUse::KeepAlive),
                _ => {
                    let body = std::mem::take(&mut self.head);
                    return self.answered(reply, &body, room);
                }
            }
        }
    }

    fn answered(&mut self, reply: ResponseHead, body: &[u8], room: usize) -> Result<(), Fault> {
        if let Some(piece) = self.rest.take() {
            let down = self.down.as_mut().ok_or(Fault::Upstream(MessageError::InvalidHead))?;
            let told = reply.field("Content-Range").and_then(|value| std::str::from_utf8(value).ok());
            let passed = down.received_bytes();
            piece
                .goes_on(passed, reply.status, reply.known.strong_validator.as_deref(), told)
                .map_err(Fault::Changed)?;
            let left = piece.end - piece.first - passed;
            if !matches!(reply.framing, Framing::Length(length) if length == left)
                && reply.framing != Framing::Chunked
            {
                return Err(Fault::Changed(Changed::Part));
            }
            down.resume_from(reply.framing);
            return down.receive(body, room).map(|_| ()).map_err(Fault::Upstream);
        }
        // One that refuses before it has all: the answer goes down at once, the rest of the body nowhere.
        if reply.status >= 400 && !self.up.is_complete() {
            (self.refused, self.last) = (true, true);
            self.up.out.discard();
        }
        let coding = self.coding(&reply);
        let framing = match reply.framing {
            Framing::Empty => Framing::Empty,
            Framing::Length(_) if coding.is_none() => reply.framing,
            _ if self.asked.is_http_10 => Framing::Close,
            _ => Framing::Chunked,
        };
        self.last |= framing == Framing::Close;
        let coder = coding
            .map_or_else(|| Ok(ContentCoder::identity()), ContentCoder::encoder)
            .map_err(Fault::Upstream)?;
        let mut down = BodyPipe::new(reply.framing, framing, coder);
        reply.write(down.out.append_to(), framing, coding, ConnectionUse::closing_if(self.last));
        down.start().map_err(Fault::Upstream)?;
        down.receive(body, room).map_err(Fault::Upstream)?;
        (self.reply, self.down) = (Some(reply), Some(down));
        Ok(())
    }

    /// The coding that we give to an answer.
    fn coding(&self, reply: &ResponseHead) -> Option<Coding> {
        let (asked, seen) = (&self.asked.known, &reply.known);
        let liked = Some(asked.accepted_coding).filter(|coding| *coding != Coding::Identity)?;
        let least = self.plan.code_from?;
        let long = match reply.framing {
            Framing::Empty => false,
            Framing::Length(length) => length >= least,
            Framing::Chunked | Framing::Close => true,
        };
        let own = seen.content_coding != Coding::Identity || seen.has_other_coding;
        let parts = asked.is_ranged || seen.is_ranged;
        let touchable = !asked.no_transform && !seen.no_transform && !self.asked.is_http_10;
        let shrinks =
            seen.media_type.starts_with("text/") || SHRINK.iter().any(|end| seen.media_type.ends_with(end));
        (reply.status == 200 && long && !own && !parts && touchable && shrinks).then_some(liked)
    }

    /// How many of so many octets of the answer may go to the client just as they came.
    pub fn straight_down(&self, length: usize) -> usize {
        let first = self.first.is_empty() && self.rest.is_none() && self.copy.is_none();
        self.down.as_ref().filter(|_| first).map_or(0, |down| down.passthrough_length(length))
    }

    /// So many went so.
    pub fn passed_down(&mut self, octets: usize) -> Result<(), Fault> {
        self.down.as_mut().map_or(Ok(()), |down| down.record_passthrough(octets)).map_err(Fault::Upstream)
    }

    /// Goes on with what of the answer could not be decoded before; adds what is held back where nothing comes.
    pub fn flush_down(&mut self) -> Result<(), Fault> {
        self.down.as_mut().map_or(Ok(()), BodyPipe::flush).map_err(Fault::Upstream)
    }

    /// The upstream sends no more; whether the answer is whole.
    pub fn upstream_ended(&mut self) -> Result<bool, Fault> {
        if self.rest.is_some() {
            return Ok(false);
        }
        self.down.as_mut().map_or(Ok(false), BodyPipe::end_of_input).map_err(Fault::Upstream)
    }

    /// What goes to the client next.
    pub fn to_client(&self) -> &[u8] {
        match &self.down {
            Some(down) if self.first.is_empty() => down.out.front(),
            _ => self.first.front(),
        }
    }

    /// So many went.
    pub fn sent_down(&mut self, octets: usize) {
        if let Some(mut copy) = self.copy.take() {
            if copy.len() + octets <= self.plan.copy_most {
                // Words before the answer are no part of it.
                let answer = self.first.is_empty();
                copy.extend_from_slice(&self.to_client()[..if answer { octets } else { 0 }]);
                self.copy = Some(copy);
            }
        }
        match &mut self.down {
            Some(down) if self.first.is_empty() => down.out.consume(octets),
            _ => self.first.consume(octets),
        }
    }

    /// What is held for the client.
    pub fn held_down(&self) -> u64 {
        (self.first.len() + self.head.len()) as u64 + self.down.as_ref().map_or(0, BodyPipe::buffered_bytes)
    }

    /// Octets of the answer's body that came.
    pub fn came_down(&self) -> u64 {
        self.down.as_ref().map_or(0, BodyPipe::received_bytes)
    }

    /// Whether the whole answer is out.
    pub fn done(&self) -> bool {
        self.first.is_empty() && (self.own || self.down.as_ref().is_some_and(BodyPipe::is_done))
    }

    /// Whether the whole answer came, though some may still wait to go out.
    pub fn answer_whole(&self) -> bool {
        self.own || self.down.as_ref().is_some_and(BodyPipe::is_complete)
    }

    /// Whether any of the answer has begun.
    pub fn begun(&self) -> bool {
        self.own || self.down.is_some()
    }

    /// Whether the connection ends with this answer.
    pub fn last(&self) -> bool {
        self.last || !self.up.is_complete()
    }

    /// The connection ends with this answer, if that can still be said.
    pub fn leave(&mut self) {
        self.last = true;
    }

    /// An answer of our own instead of the upstream's; false where that has begun.
    pub fn answer(&mut self, own: &LocalResponse) -> bool {
        if self.begun() {
            return false;
        }
        let last = self.last();
        (self.own, self.last) = (true, last);
        own.write(
            self.first.append_to(),
            ConnectionUse::closing_if(last),
            BodyUse::for_request(self.asked.is_head()),
        );
        true
    }

    /// The whole answer as it went out, where it was kept.
    pub fn copy(&mut self) -> Option<Vec<u8>> {
        self.copy.take().filter(|_| !self.own)
    }

    /// The answer of what this one repeats, as it went out then.
    pub fn replay(&mut self, octets: &[u8]) {
        (self.own, self.last) = (true, true);
        self.first.append_to().extend_from_slice(octets);
    }

    /// Whether nothing of the body that was sent is lost to us.
    pub fn held(&self) -> bool {
        self.up.kept_copy().is_some() || self.up.received_bytes() == 0
    }

    /// Sends all of it again, to another upstream.
    pub fn again(&mut self) {
        let mut head = Vec::new();
        let forwarded = ForwardedRequest {
            framing: self.up_framing,
            is_decoded: self.up_framing != self.asked.framing,
            range: None,
        };
        self.asked.write(&mut head, forwarded);
        self.up.replay(&head, self.up_framing);
        self.head.clear();
    }

    /// What is known of the object that is coming down, if the rest of it can be asked for elsewhere.
    pub fn piece(&self) -> Option<(Piece, u64)> {
        let (reply, down) = (self.reply.as_ref()?, self.down.as_ref()?);
        let validator = reply.known.strong_validator.clone()?;
        let Framing::Length(length) = reply.framing else { return None };
        let coded = reply.known.content_coding != Coding::Identity || reply.known.has_other_coding;
        let piece = match (reply.status, reply.known.content_range) {
            (200, _) if reply.known.accepts_ranges => {
                Piece { validator, first: 0, end: length, whole: Some(length) }
            }
            (206, Some(ContentRange { first, last, complete_length })) if last - first + 1 == length => {
                Piece { validator, first, end: last + 1, whole: complete_length }
            }
            _ => return None,
        };
        let passed = down.received_bytes();
        (self.asked.method == "GET" && !coded && !down.is_complete() && piece.rest(passed).is_some())
            .then_some((piece, passed))
    }

    /// Asks for the rest of it, of an upstream that is yet to be chosen.
    pub fn ask_rest(&mut self, piece: Piece) {
        let passed = self.came_down();
        let Some((first, end)) = piece.rest(passed) else { return };
        let mut head = Vec::new();
        let range = RangeRequest { first, end, validator: &piece.validator };
        let forwarded = ForwardedRequest { framing: Framing::Empty, is_decoded: false, range: Some(range) };
        self.asked.write(&mut head, forwarded);
        self.up.drop_copy();
        self.up.replay(&head, Framing::Empty);
        self.head.clear();
        self.rest = Some(piece);
    }
}

/// Kinds that get smaller by coding, beside texts, by how their names end.
const SHRINK: [&str; 5] = ["json", "xml", "javascript", "csv", "ndjson"];
