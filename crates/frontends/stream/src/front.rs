//! The thin driver: a coroutine for each client's connection, one for each connection to an upstream. Either of the two
//! carries on a stream, both ways, as far as it goes, and then waits on its own socket; what is decided is the owner's.

use crate::http::{
    BodyUse, ConnectionUse, Framing, LocalResponse, MessageError, ParsedHead, RequestHead, MAX_HEAD_BYTES,
};
use crate::owner::{Entering, Moved, Owner, Rooms, Ticket};
use crate::proxied_request::{ProxiedRequest, ProxyError};
use crate::settings::Checked;
use crate::upload_archive::{PendingOperation, UploadArchive};
use lynxtally::Span;
use lynxtally_engine::{FinalResponse, RunEnd, Scheduler};
use lynxtally_flow::uploads::UploadId;
use lynxtally_flow::Sent;
use lynxtally_net::clock::Clock;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection_table::{ConnectionTable, Inserted};
use lynxtally_net::coroutine::{spawn, Panic};
use lynxtally_net::fair_yield::FairYield;
use lynxtally_net::listener::ListenerSet;
use lynxtally_net::socket::{ReadOutcome, Socket};
use lynxtally_net::sync::lock;
use lynxtally_net::timer::Timer;
use may::io::WaitIoWaker;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};
use tracing::{debug, warn};

const STACK_WORDS: usize = 0x10000;
/// What one read takes at most.
const SCRATCH: usize = 128 * 1024;
/// After so many octets the others get their turn.
const TURN: usize = 1024 * 1024;
/// Room for framing beside what is read.
const FRAMING: u64 = 64;
/// A connection that rests is closed after so long by one that leaves.
const LEAVING: Duration = Duration::from_millis(300);
/// What is read of a client that sends more before it was answered.
const WATCH: usize = 2 * 1024;

/// A connection of a client, as the front knows it.
struct Latch {
    close: AtomicBool,
    waker: WaitIoWaker,
}

/// All that a server consists of beside its listeners.
pub struct Front<P> {
    /// The owner of all streams.
    pub owner: Mutex<Owner<P>>,
    pub(crate) settings: Checked,
    clock: Clock,
    seats: ConnectionTable<Arc<Latch>>,
    /// The listeners.
    pub gate: ListenerSet,
    alarm: Timer,
    turnstile: FairYield,
    pub(crate) scratch: Mutex<Vec<u8>>,
    /// Uploads that can be gone on with.
    pub archive: Option<Arc<UploadArchive>>,
    own: Weak<Self>,
}

/// How a client's connection goes on.
pub(crate) enum Next {
    /// With its next message.
    Message,
    /// It ends.
    Close(CloseReason),
}

/// How a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pumped {
    Wait,
    Turn,
    Over,
}

/// How a stream ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Over {
    /// The whole answer went down.
    Answered,
    /// It can't look whole.
    Cut,
    /// The client is gone.
    Gone(CloseReason),
}

/// A body that comes from the archive, not from the client.
pub(crate) struct Source {
    pub archive: Arc<UploadArchive>,
    pub id: UploadId,
    pub at: u64,
    pub end: u64,
    pub ready: Vec<u8>,
    pub awaited: Option<PendingOperation>,
}

struct Inner {
    relay: ProxiedRequest,
    source: Option<Source>,
    /// What came from the client and is not used yet.
    left: Vec<u8>,
    upstream: Option<Arc<Socket>>,
    /// Nothing goes up any more, though an answer may still come.
    up_closed: bool,
    /// The upstream sends no more.
    up_ended: bool,
    /// Octets that went up on this connection.
    sent_up: u64,
    /// Whether any went up on this one or one before.
    ever_sent: bool,
    /// Why this connection to an upstream is of no use any more.
    failed: Option<CloseReason>,
    client_ended: bool,
    /// The client sent more before it was answered.
    pipelined: bool,
    kept: u64,
    over: Option<Over>,
}

struct Exchange {
    inner: Mutex<Inner>,
    client: Arc<Socket>,
    ticket: Arc<Ticket>,
    upstream: Mutex<Option<WaitIoWaker>>,
}

impl Inner {
    /// So many octets went up on this connection.
    fn sent(&mut self, octets: usize) {
        self.sent_up += octets as u64;
        self.ever_sent |= octets > 0;
    }

    /// What is known of a connection to an upstream is forgotten, before what is to go up on the next one is made ready:
    /// the client's side runs on meanwhile, and would drop that as it drops what a failed connection no longer takes.
    fn renew_connection(&mut self) {
        self.up_closed = false;
        self.up_ended = false;
        self.sent_up = 0;
    }
}

impl Exchange {
    fn wake_upstream(&self) {
        if let Some(waker) = &*lock(&self.upstream) {
            waker.wakeup();
        }
    }
}

impl<P: Scheduler + Send + 'static> Front<P> {
    /// A front with these settings.
    pub fn new(
        settings: Checked,
        owner: Owner<P>,
        alarm: Timer,
        turnstile: FairYield,
        archive: Option<Arc<UploadArchive>>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|own| Self {
            owner: Mutex::new(owner),
            clock: Clock::default(),
            seats: ConnectionTable::new(settings.limits.connections),
            gate: ListenerSet::new(alarm.clone()),
            alarm,
            turnstile,
            scratch: Mutex::new(vec![0; SCRATCH]),
            archive,
            settings,
            own: own.clone(),
        })
    }

    /// What the system holds for a connection is bounded too: the memory of thousands that stall is the machine's.
    fn bound(&self, socket: &Socket) {
        let octets = (self.settings.limits.socket_kb << 10) as usize;
        if octets > 0 {
            socket.limit_buffers(octets);
        }
    }

    /// Takes what is due and decides.
    pub fn turn(&self) {
        self.with(|_, _| ());
    }

    /// Does something with the owner, and then has it decide.
    pub fn with<T>(&self, work: impl FnOnce(&mut Owner<P>, lynxtally::Instant) -> T) -> T {
        let mut owner = lock(&self.owner);
        let now = self.clock.now();
        let done = work(&mut owner, now);
        let wait = owner.turn(now);
        drop(owner);
        if let Some(wait) = wait {
            let own = self.own.clone();
            self.alarm.run_after(Duration::from_micros(wait.micros()), move || {
                if let Some(own) = own.upgrade() {
                    own.turn();
                }
            });
        }
        done
    }

    /// Has connections closed that carried nothing for too long. One that leaves waits less for them, but long enough
    /// for a message that is on its way.
    pub fn sweep(&self, leaving: bool) {
        let idle = Duration::from_millis(self.settings.limits.idle_ms);
        for latch in self.seats.idle_for(if leaving { idle.min(LEAVING) } else { idle }) {
            latch.close.store(true, Ordering::Relaxed);
            latch.waker.wakeup();
        }
        let open = self.seats.len();
        lock(&self.owner).connections(open);
    }

    /// Takes a client's connection. Where the table is full, the one that rests longest goes, else the new one.
    pub fn take(self: &Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let Ok(socket) = Socket::new(stream) else { return };
        self.bound(&socket);
        let latch = Arc::new(Latch { close: AtomicBool::new(false), waker: socket.waker() });
        let Ok(Inserted { number, evicted: goes }) = self.seats.insert(latch.clone()) else {
            return debug!(%from, "no room for a connection");
        };
        if let Some(goes) = goes {
            goes.close.store(true, Ordering::Relaxed);
            goes.waker.wakeup();
        }
        let front = self.clone();
        let work = move || {
            let end = front.serve(&Arc::new(socket), from.ip(), number, &latch);
            debug!(%from, %end, "connection ended");
            front.seats.remove(number);
        };
        let front = self.clone();
        let failed = move |panic: Panic| {
            warn!(%panic, "a connection's coroutine failed");
            front.seats.remove(number);
        };
        if spawn(STACK_WORDS, work, failed).is_err() {
            self.seats.remove(number);
        }
    }

    fn serve(
        self: &Arc<Self>,
        socket: &Arc<Socket>,
        from: IpAddr,
        number: u64,
        latch: &Latch,
    ) -> CloseReason {
        let mut came = Vec::new();
        loop {
            let asked = match self.head(socket, &mut came, number, latch) {
                Ok(asked) => asked,
                Err(Ok(end)) => return end,
                Err(Err(bad)) => {
                    lock(&self.owner).hall.counts.bad += 1;
                    let mut out = Vec::new();
                    LocalResponse::from_error(bad).write(&mut out, ConnectionUse::Close, BodyUse::Included);
                    return self.last_words(socket, &out);
                }
            };
            self.seats.set_idle(number, false);
            let next = match &self.archive {
                Some(archive) if self.is_upload(&asked) => {
                    self.upload(archive, socket, from, asked, &mut came)
                }
                _ => self.stream(socket, from, asked, &mut came),
            };
            match next {
                Next::Message => {}
                Next::Close(end) => return end,
            }
            self.seats.set_idle(number, true);
        }
    }

    /// Waits for a head: comes back with it, with how the connection ended, or with what is wrong.
    fn head(
        &self,
        socket: &Arc<Socket>,
        came: &mut Vec<u8>,
        number: u64,
        latch: &Latch,
    ) -> Result<RequestHead, Result<CloseReason, MessageError>> {
        let mut begun = None;
        loop {
            // Empty lines before a message are allowed for (RFC 9112 section 2.2).
            let blank = came.iter().take_while(|octet| matches!(octet, b'\r' | b'\n')).count();
            came.drain(..blank);
            if let Some(ParsedHead { head: asked, length }) = RequestHead::parse(came).map_err(Err)? {
                came.drain(..length);
                return Ok(asked);
            }
            let mut scratch = lock(&self.scratch);
            let got = socket.read(&mut scratch[..MAX_HEAD_BYTES + 1]);
            if let Ok(ReadOutcome::Bytes(octets)) = got {
                came.extend_from_slice(&scratch[..octets]);
                continue;
            }
            drop(scratch);
            match got {
                Err(end) => return Err(Ok(end)),
                Ok(ReadOutcome::EndOfStream) => {
                    return Err(Ok(if came.is_empty() {
                        CloseReason::ClosedByPeer
                    } else {
                        CloseReason::Truncated
                    }))
                }
                Ok(_) if latch.close.load(Ordering::Relaxed) && came.is_empty() => {
                    return Err(Ok(CloseReason::IdleTimeout))
                }
                Ok(_) => {}
            }
            // One that sends its head by drips would hold a seat that others want.
            self.seats.set_idle(number, came.is_empty());
            if !came.is_empty() {
                let limit = Duration::from_millis(self.settings.limits.head_ms);
                let since = *begun.get_or_insert_with(|| {
                    let waker = socket.waker();
                    self.alarm.run_after(limit, move || waker.wakeup());
                    Instant::now()
                });
                if since.elapsed() >= limit {
                    return Err(Ok(CloseReason::TimedOut));
                }
            }
            socket.wait();
        }
    }

    /// Writes a last answer, and reads on for a while so that it is not lost with what the client still sends.
    pub(crate) fn last_words(&self, socket: &Arc<Socket>, out: &[u8]) -> CloseReason {
        let limits = &self.settings.limits;
        let until = Instant::now() + Duration::from_millis(limits.rest_ms);
        let waker = socket.waker();
        self.alarm.run_after(Duration::from_millis(limits.rest_ms), move || waker.wakeup());
        let (mut written, mut rest, mut shut) = (0, limits.rest_kb << 10, false);
        loop {
            if written < out.len() {
                match socket.write(&out[written..]) {
                    Ok(octets) => written += octets,
                    Err(end) => return end,
                }
            }
            if written == out.len() && !std::mem::replace(&mut shut, true) && !socket.shutdown_write() {
                return CloseReason::Reset;
            }
            let mut scratch = lock(&self.scratch);
            let got = socket.read(&mut scratch);
            drop(scratch);
            match got {
                Ok(ReadOutcome::Bytes(octets)) if octets as u64 <= rest => rest -= octets as u64,
                Ok(ReadOutcome::WouldBlock) if Instant::now() < until => socket.wait(),
                Err(end) => return end,
                Ok(_) => return CloseReason::Completed,
            }
        }
    }

    fn stream(
        self: &Arc<Self>,
        socket: &Arc<Socket>,
        from: IpAddr,
        asked: RequestHead,
        came: &mut Vec<u8>,
    ) -> Next {
        let told = match asked.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let customer = self.settings.customer(&asked);
        let mark = asked.known.idempotency_key.clone();
        let made = self.settings.stage(&asked).and_then(|stage| {
            let stage_settings = &self.settings.stages[stage];
            if stage_settings.effect == lynxtally::Effect::Deduplicated && mark.is_none() {
                return Err(MessageError::InvalidField("Idempotency-Key"));
            }
            Ok((stage, ProxiedRequest::new(asked, stage_settings.plan.clone())?))
        });
        let (stage, relay) = match made {
            Ok(made) => made,
            Err(bad) => {
                lock(&self.owner).hall.counts.bad += 1;
                let mut out = Vec::new();
                LocalResponse::from_error(bad).write(&mut out, ConnectionUse::Close, BodyUse::Included);
                return Next::Close(self.last_words(socket, &out));
            }
        };
        let ticket = Arc::new(Ticket::new(stage, socket.waker()));
        let entering = Entering { customer, mark, told, caller: caller(from) };
        if !self.with(|owner, now| owner.enter(now, &ticket, entering)) {
            let mut out = Vec::new();
            LocalResponse::new(503, "not taken").write(&mut out, ConnectionUse::Close, BodyUse::Included);
            return Next::Close(self.last_words(socket, &out));
        }
        self.exchange(socket, &ticket, relay, None, told, came)
    }

    /// Carries one stream, from its entry to its end.
    pub(crate) fn exchange(
        self: &Arc<Self>,
        socket: &Arc<Socket>,
        ticket: &Arc<Ticket>,
        relay: ProxiedRequest,
        source: Option<Source>,
        told: Option<u64>,
        came: &mut Vec<u8>,
    ) -> Next {
        let exchange = Arc::new(Exchange {
            inner: Mutex::new(Inner {
                relay,
                source,
                left: std::mem::take(came),
                upstream: None,
                up_closed: false,
                up_ended: false,
                sent_up: 0,
                ever_sent: false,
                failed: None,
                client_ended: false,
                pipelined: false,
                kept: 0,
                over: None,
            }),
            client: socket.clone(),
            ticket: ticket.clone(),
            upstream: Mutex::default(),
        });
        let mut begun = false;
        let over = loop {
            if ticket.running() && !std::mem::replace(&mut begun, true) {
                lock(&exchange.inner).relay.on_admitted();
                self.ascend(&exchange, told);
            }
            self.hear(&exchange);
            match self.pump(&exchange) {
                Pumped::Over => {
                    if let Some(over) = lock(&exchange.inner).over {
                        break over;
                    }
                }
                Pumped::Turn => self.turnstile.yield_on(socket),
                Pumped::Wait => socket.wait(),
            }
        };
        self.close(&exchange, over, came)
    }

    /// A stream is over for its client: the owner hears of it, and the upstream is let go.
    fn close(&self, exchange: &Arc<Exchange>, over: Over, came: &mut Vec<u8>) -> Next {
        let mut inner = lock(&exchange.inner);
        let (last, whole) = (inner.relay.closes_connection(), inner.relay.request_body.is_complete());
        let ticket = &exchange.ticket;
        if let Some(upstream) =
            inner.upstream.take().filter(|_| !whole || !inner.relay.is_response_complete())
        {
            // What is cut must not look whole.
            upstream.reset_on_close();
        }
        let well = inner.relay.response().map(|reply| reply.status < 500);
        let answered = well.is_some() && inner.relay.is_response_complete();
        let effect = lock(&self.owner).effect(ticket);
        let copy = inner.relay.take_response_copy();
        *came = std::mem::take(&mut inner.left);
        let next = match over {
            Over::Answered if last || inner.pipelined || inner.client_ended => None,
            Over::Answered => Some(Next::Message),
            Over::Cut => {
                exchange.client.reset_on_close();
                Some(Next::Close(CloseReason::Cancelled))
            }
            Over::Gone(end) => Some(Next::Close(end)),
        };
        drop(inner);
        exchange.wake_upstream();
        let mut inner = lock(&exchange.inner);
        if let Some(source) = inner.source.take() {
            // Sent up in part and not answered, only what may be done again is kept.
            let again = effect == lynxtally::Effect::Idempotent || inner.sent_up == 0;
            if !again || (answered && well == Some(true)) {
                source.archive.remove(source.id);
            }
        }
        drop(inner);
        self.with(|owner, now| match over {
            Over::Answered if ticket.running() => {
                owner.let_go(now, ticket, well);
                owner.ended(now, ticket, RunEnd::Completed(copy.unwrap_or_default()));
            }
            Over::Answered => {}
            Over::Cut => {
                owner.hall.counts.cut += 1;
                owner.let_go(now, ticket, None);
                owner.ended(now, ticket, RunEnd::Failed);
            }
            Over::Gone(_) => {
                owner.let_go(now, ticket, None);
                owner.gone(now, ticket);
            }
        });
        next.unwrap_or_else(|| Next::Close(self.last_words(&exchange.client, &[])))
    }

    /// Takes the final answer that the owner has for a stream.
    fn hear(&self, exchange: &Exchange) {
        let Some(answer) = exchange.ticket.answer() else { return };
        let mut inner = lock(&exchange.inner);
        if inner.over.is_some() {
            return;
        }
        let own = match answer {
            FinalResponse::Completed(octets) if !octets.is_empty() => {
                inner.relay.replay_response(&octets);
                return;
            }
            FinalResponse::Rejected { retry_after: hold_off, .. } => {
                let seconds = (hold_off.secs().ceil() as u64).max(1);
                LocalResponse {
                    retry_after_secs: Some(seconds),
                    ..LocalResponse::new(503, "not taken; nothing of it was done")
                }
            }
            FinalResponse::Completed(_) => LocalResponse::new(502, "done before, but its answer is not kept"),
            FinalResponse::Failed => match inner.failed {
                Some(end) => LocalResponse::new(502, format!("the upstream failed: {end}")),
                None => LocalResponse::new(504, "not done in time"),
            },
        };
        if !inner.relay.respond_locally(&own) {
            inner.over = Some(Over::Cut);
        }
    }

    /// A fault within a stream: the client's is answered, or cuts; the upstream's is judged elsewhere.
    fn fault(&self, inner: &mut Inner, fault: ProxyError) {
        match fault {
            ProxyError::Client(bad) => {
                if !inner.relay.respond_locally(&LocalResponse::from_error(bad)) {
                    inner.over = Some(Over::Cut);
                }
                // The client's framing is lost: nothing after this can be understood.
                inner.client_ended = true;
            }
            ProxyError::Upstream(bad) => {
                debug!(%bad, "an upstream's answer can't be read");
                (inner.failed, inner.up_ended) = (Some(CloseReason::Malformed), true);
            }
            ProxyError::ObjectChanged(changed) => {
                debug!(?changed, "the rest of a download is of another object");
                (inner.failed, inner.up_ended) = (Some(CloseReason::AddressChanged), true);
            }
        }
    }

    /// Carries a stream on, both ways, as far as it goes now.
    fn pump(&self, exchange: &Exchange) -> Pumped {
        let mut inner = lock(&exchange.inner);
        let inner = &mut *inner;
        if inner.over.is_some() {
            return Pumped::Over;
        }
        if !exchange.ticket.running() && !inner.relay.has_response_begun() {
            if exchange.client.is_broken() {
                inner.over = Some(Over::Gone(CloseReason::Reset));
                return Pumped::Over;
            }
            return Pumped::Wait;
        }
        let rooms = lock(&self.owner).rooms(&exchange.ticket);
        let mut moved = Moved::default();
        let mut budget = TURN;
        let mut scratch = lock(&self.scratch);
        let mut again = true;
        while again && inner.over.is_none() && budget > 0 {
            let before = inner.relay.client_output().len();
            let mut step = self.go_up(exchange, inner, rooms, &mut scratch, &mut moved);
            step += self.go_down(exchange, inner, rooms, &mut scratch, &mut moved);
            // What was added without anything having moved has to be offered to the client still.
            again = step > 0 || inner.relay.client_output().len() > before;
            if inner.relay.is_done() {
                // What the client sends from now on is its next message.
                break;
            }
            budget = budget.saturating_sub(step);
        }
        drop(scratch);
        if inner.over.is_none() && inner.relay.is_done() {
            inner.over = Some(Over::Answered);
        }
        moved.up_held = inner.relay.request_body.buffered_bytes() + inner.left.len() as u64;
        moved.down_held = inner.relay.buffered_response_bytes();
        moved.waits_client =
            inner.relay.wants_request_body() && moved.up_held < rooms.up && !inner.client_ended;
        let credit = rooms.credit.is_none_or(|credit| credit > moved.down_took);
        moved.more = !credit && !inner.relay.client_output().is_empty();
        let mut owner = lock(&self.owner);
        let now = self.clock.now();
        owner.moved(now, &exchange.ticket, moved);
        if inner.relay.request_body.kept_copy().is_some_and(|kept| kept.len() as u64 > inner.kept) {
            let kept = inner.relay.request_body.kept_copy().map_or(0, <[u8]>::len) as u64;
            if owner.keep(&exchange.ticket, kept - inner.kept) {
                inner.kept = kept;
            } else {
                inner.relay.request_body.drop_copy();
            }
        }
        drop(owner);
        if moved.more {
            // Its turn on the link has to be asked for.
            self.turn();
        }
        if inner.over.is_some() {
            exchange.ticket.wake();
            exchange.wake_upstream();
            return Pumped::Over;
        }
        if inner.failed.is_some() {
            exchange.wake_upstream();
        }
        if again {
            Pumped::Turn
        } else {
            Pumped::Wait
        }
    }

    /// From the client to the upstream; tells how many octets moved.
    fn go_up(
        &self,
        exchange: &Exchange,
        inner: &mut Inner,
        rooms: Rooms,
        scratch: &mut [u8],
        moved: &mut Moved,
    ) -> usize {
        let mut step = 0;
        let upstream = inner.upstream.clone().filter(|_| !inner.up_closed);
        if let Some(upstream) = &upstream {
            match upstream.write(inner.relay.request_body.out.front()) {
                Ok(octets) => {
                    inner.relay.request_body.out.consume(octets);
                    inner.sent(octets);
                    moved.up_took += octets as u64;
                    step += octets;
                }
                // Its answer may still be there to be read.
                Err(_) => inner.up_closed = true,
            }
        }
        // An upstream that takes no more and was sent something gets no more of this body; the rest is read and dropped.
        // One that was sent nothing may be replaced by another, which is to get all of it: what waits is not dropped.
        let deaf = inner.up_closed && (inner.sent_up > 0 || inner.relay.has_response_begun());
        let dumb = deaf || inner.relay.is_body_refused();
        if dumb && !inner.relay.request_body.out.is_empty() {
            let octets = inner.relay.request_body.out.len();
            inner.relay.request_body.out.consume(octets);
        }
        let held = inner.relay.request_body.buffered_bytes();
        let room = if inner.relay.is_body_refused() {
            WATCH as u64
        } else {
            rooms.up.saturating_sub(held + FRAMING)
        } as usize;
        if inner.client_ended || exchange.ticket.answered() {
            return step;
        }
        if inner.relay.request_body.has_undecoded() {
            if room > 0 {
                let before = inner.relay.request_body.buffered_bytes();
                match inner.relay.decode_more_request_body(room) {
                    Ok(()) => step += usize::from(inner.relay.request_body.buffered_bytes() != before),
                    Err(fault) => self.fault(inner, fault),
                }
            }
            return step;
        }
        if inner.source.is_some() {
            return step + self.draw(exchange, inner, room);
        }
        if inner.relay.wants_request_body() {
            if room == 0 {
                return step;
            }
            let most = room.min(scratch.len());
            let octets = if inner.left.is_empty() {
                match exchange.client.read(&mut scratch[..most]) {
                    Ok(ReadOutcome::Bytes(octets)) => octets,
                    Ok(ReadOutcome::WouldBlock) => return step,
                    Ok(ReadOutcome::EndOfStream) => {
                        inner.over = Some(Over::Gone(CloseReason::Truncated));
                        return step;
                    }
                    Err(end) => {
                        inner.over = Some(Over::Gone(end));
                        return step;
                    }
                }
            } else {
                let octets = inner.left.len().min(most);
                scratch[..octets].copy_from_slice(&inner.left[..octets]);
                inner.left.drain(..octets);
                octets
            };
            moved.came += octets as u64;
            step += octets;
            let mut at = 0;
            let straight = inner.relay.request_body.passthrough_length(octets);
            if let Some(upstream) = upstream.filter(|_| straight > 0 && !dumb) {
                match upstream.write(&scratch[..straight]) {
                    Ok(written) => {
                        at = written;
                        inner.sent(written);
                        moved.up_took += written as u64;
                        if let Err(fault) = inner.relay.record_request_passthrough(written) {
                            self.fault(inner, fault);
                        }
                    }
                    Err(_) => inner.up_closed = true,
                }
            }
            if at < octets {
                match inner.relay.receive_request_body(&scratch[at..octets], room) {
                    Ok(used) if at + used < octets => {
                        // Past the body's end: the next message came before this one was answered.
                        let rest = scratch[at + used..octets].to_vec();
                        inner.left.splice(..0, rest);
                        inner.pipelined = true;
                    }
                    Ok(_) => {}
                    Err(fault) => self.fault(inner, fault),
                }
            }
            return step;
        }
        if !inner.pipelined && inner.left.is_empty() {
            match exchange.client.read(&mut scratch[..WATCH]) {
                Ok(ReadOutcome::Bytes(octets)) => {
                    inner.left.extend_from_slice(&scratch[..octets]);
                    inner.pipelined = true;
                }
                Ok(ReadOutcome::WouldBlock) => {}
                Ok(ReadOutcome::EndOfStream) => inner.client_ended = true,
                Err(end) => inner.over = Some(Over::Gone(end)),
            }
        } else {
            inner.pipelined = true;
            if exchange.client.is_broken() {
                inner.over = Some(Over::Gone(CloseReason::Reset));
            }
        }
        step
    }

    /// From the archive to the upstream; tells how many octets moved.
    fn draw(&self, exchange: &Exchange, inner: &mut Inner, room: usize) -> usize {
        if exchange.client.is_broken() {
            inner.over = Some(Over::Gone(CloseReason::Reset));
        }
        let Some(source) = inner.source.as_mut().filter(|_| room > 0 && inner.relay.wants_request_body())
        else {
            return 0;
        };
        if let Some(done) = source.awaited.as_ref().and_then(PendingOperation::take) {
            source.awaited = None;
            match done {
                Ok(octets) if !octets.is_empty() => {
                    source.at += octets.len() as u64;
                    source.ready = octets;
                }
                // The disk gives less than it was given: the body can't be whole, and must not look so.
                _ => {
                    (inner.failed, inner.up_ended) = (Some(CloseReason::InternalError), true);
                    return 0;
                }
            }
        }
        if source.ready.is_empty() {
            if source.awaited.is_none() && source.at < source.end {
                let most = (source.end - source.at).min(usize::MAX as u64) as usize;
                let ticket = exchange.ticket.clone();
                let read = source.archive.read(source.id, source.at, most, move || ticket.wake());
                source.awaited = Some(read);
            }
            return 0;
        }
        let rest = source.ready.split_off(room.min(source.ready.len()));
        let octets = std::mem::replace(&mut source.ready, rest);
        match inner.relay.receive_request_body(&octets, room) {
            Ok(_) => octets.len(),
            Err(fault) => {
                self.fault(inner, fault);
                0
            }
        }
    }

    /// From the upstream to the client; tells how many octets moved.
    fn go_down(
        &self,
        exchange: &Exchange,
        inner: &mut Inner,
        rooms: Rooms,
        scratch: &mut [u8],
        moved: &mut Moved,
    ) -> usize {
        let mut step = 0;
        let credit = |moved: &Moved| match rooms.credit {
            Some(credit) => credit.saturating_sub(moved.down_took) as usize,
            None => usize::MAX,
        };
        let waiting = inner.relay.client_output();
        let length = waiting.len().min(credit(moved));
        if length > 0 {
            match exchange.client.write(&waiting[..length]) {
                Ok(octets) => {
                    inner.relay.consume_client_output(octets);
                    moved.down_took += octets as u64;
                    step += octets;
                }
                Err(end) => {
                    inner.over = Some(Over::Gone(end));
                    return step;
                }
            }
        }
        let Some(upstream) =
            inner.upstream.clone().filter(|_| !inner.up_ended && !inner.relay.is_response_complete())
        else {
            return step;
        };
        let room = rooms.down.saturating_sub(inner.relay.buffered_response_bytes() + FRAMING) as usize;
        if room == 0 {
            return step;
        }
        let most = room.min(scratch.len());
        let done = match upstream.read(&mut scratch[..most]) {
            Ok(ReadOutcome::Bytes(octets)) => {
                step += octets;
                let mut at = 0;
                let straight = inner.relay.response_passthrough_length(octets).min(credit(moved));
                if straight > 0 {
                    match exchange.client.write(&scratch[..straight]) {
                        Ok(written) => {
                            at = written;
                            moved.down_took += written as u64;
                            if let Err(fault) = inner.relay.record_response_passthrough(written) {
                                self.fault(inner, fault);
                            }
                        }
                        Err(end) => {
                            inner.over = Some(Over::Gone(end));
                            return step;
                        }
                    }
                }
                if at < octets {
                    inner.relay.receive_response(&scratch[at..octets], room)
                } else {
                    Ok(())
                }
            }
            Ok(ReadOutcome::WouldBlock) => inner.relay.flush_response(),
            Ok(ReadOutcome::EndOfStream) => {
                inner.up_ended = true;
                inner.relay.end_of_response().map(|whole| {
                    inner.failed = (!whole).then_some(CloseReason::Truncated);
                })
            }
            Err(end) => {
                (inner.up_ended, inner.failed) = (true, Some(end));
                Ok(())
            }
        };
        if let Err(fault) = done {
            self.fault(inner, fault);
        }
        step
    }

    /// Starts the coroutine that finds an upstream and carries the stream on from there.
    fn ascend(self: &Arc<Self>, exchange: &Arc<Exchange>, told: Option<u64>) {
        let (front, own) = (self.clone(), exchange.clone());
        let work = move || front.climb(&own, told);
        let (front, own) = (self.clone(), exchange.clone());
        let failed = move |panic: Panic| {
            warn!(%panic, "a coroutine to an upstream failed");
            front.with(|owner, now| owner.ended(now, &own.ticket, RunEnd::Failed));
        };
        if spawn(STACK_WORDS, work, failed).is_err() {
            self.with(|owner, now| {
                owner.ended(now, &exchange.ticket, RunEnd::Unavailable(Span::from_secs(1.0)))
            });
        }
    }

    fn climb(self: &Arc<Self>, exchange: &Arc<Exchange>, told: Option<u64>) {
        let ticket = &exchange.ticket;
        let within = Duration::from_millis(self.settings.limits.connect_ms);
        let mut not = Vec::new();
        loop {
            let chosen = self.with(|owner, now| owner.choose(now, ticket, &not, told));
            let Some(upstream) = chosen else {
                return self.fall(exchange);
            };
            let end = match Socket::connect(self.settings.upstreams[upstream], within) {
                Ok(socket) => {
                    self.bound(&socket);
                    let socket = Arc::new(socket);
                    *lock(&exchange.upstream) = Some(socket.waker());
                    let mut inner = lock(&exchange.inner);
                    if inner.over.is_some() {
                        return;
                    }
                    inner.upstream = Some(socket.clone());
                    inner.failed = None;
                    inner.renew_connection();
                    drop(inner);
                    match self.carry(exchange, &socket) {
                        Some(end) => end,
                        None => return,
                    }
                }
                Err(end) => end,
            };
            self.with(|owner, now| owner.let_go(now, ticket, Some(false)));
            not.push(upstream);
            let mut inner = lock(&exchange.inner);
            if inner.over.is_some() {
                return;
            }
            (inner.upstream, inner.failed) = (None, Some(end));
            if inner.relay.has_response_begun() {
                let piece = inner
                    .relay
                    .resumable_download()
                    .filter(|_| end != CloseReason::AddressChanged && end != CloseReason::Malformed);
                let may = piece.filter(|_| lock(&self.owner).may_go_on(self.clock.now(), &not));
                let Some(piece) = may else {
                    drop(inner);
                    return self.fall(exchange);
                };
                inner.renew_connection();
                inner.relay.request_rest(piece);
            } else {
                let sent = Sent {
                    octets: inner.sent_up,
                    head: inner.sent_up > 0,
                    held: inner.relay.can_resend_body(),
                    answered: false,
                };
                if !lock(&self.owner).may_repeat(self.clock.now(), ticket, &not, sent) {
                    drop(inner);
                    return self.fall(exchange);
                }
                inner.renew_connection();
                if sent.octets > 0 {
                    inner.relay.resend();
                }
            }
        }
    }

    /// No upstream is left to try: the stream ends, as one that never ran where nothing went up.
    fn fall(&self, exchange: &Exchange) {
        let inner = lock(&exchange.inner);
        let untouched = !inner.ever_sent && !inner.relay.has_response_begun();
        drop(inner);
        let end = if untouched { RunEnd::Unavailable(Span::from_secs(1.0)) } else { RunEnd::Failed };
        self.with(|owner, now| owner.ended(now, &exchange.ticket, end));
    }

    /// Carries a stream on from its upstream's side; comes back with why the upstream failed, or with nothing once the
    /// stream is over.
    fn carry(&self, exchange: &Exchange, socket: &Arc<Socket>) -> Option<CloseReason> {
        loop {
            let pumped = self.pump(exchange);
            let inner = lock(&exchange.inner);
            if inner.over.is_some() || inner.upstream.is_none() {
                return None;
            }
            if let Some(end) = inner.failed {
                return Some(end);
            }
            drop(inner);
            match pumped {
                Pumped::Over => return None,
                Pumped::Turn => self.turnstile.yield_on(socket),
                Pumped::Wait => socket.wait(),
            }
        }
    }
}

/// A number for a client's machine.
pub(crate) fn caller(from: IpAddr) -> u64 {
    match from {
        IpAddr::V4(from) => u64::from(u32::from(from)),
        IpAddr::V6(from) => (u128::from(from) >> 64) as u64,
    }
}
