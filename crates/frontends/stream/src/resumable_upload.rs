//! Uploads that can be gone on with (draft-ietf-httpbis-resumable-upload-05): what comes is archived as it arrives, and
//! what is whole goes up to an upstream from there. A connection that drops leaves the upload where it stands.

use crate::body_pipe::BodyPipe;
use crate::content_coder::ContentCoder;
use crate::http::{BodyUse, ConnectionUse, Framing, LocalResponse, MessageError, RequestHead, UploadState};
use crate::proxied_request::ProxiedRequest;
use crate::proxy::{caller, AfterRequest, ArchivedBody, Proxy};
use crate::request_manager::{Entering, Moved, Ticket};
use crate::upload_archive::{unix_seconds, ArchiveError, OperationResult, PendingOperation, UploadArchive};
use lynxtally_engine::{FinalResponse, RunEnd, Scheduler};
use lynxtally_flow::uploads::{Refused, Upload, UploadId};
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::{ReadOutcome, Socket};
use lynxtally_net::sync::lock;
use rand::Rng;
use std::fmt::Write;
use std::net::IpAddr;
use std::sync::Arc;

/// Under this path uploads are known to their clients.
const PLACE: &str = "/.uploads/";
/// Room for framing beside what is read.
const FRAMING: u64 = 64;

fn place(id: UploadId) -> String {
    format!("{PLACE}{id:016x}")
}

fn id(path: &str) -> Option<UploadId> {
    let text = path.strip_prefix(PLACE)?;
    let plain = text.len() == 16 && text.bytes().all(|octet| octet.is_ascii_hexdigit());
    plain.then(|| UploadId::from_str_radix(text, 16).ok())?
}

/// How what was sent by one message came to an end.
enum Stored {
    /// All of the message is here.
    Whole,
    /// An answer of our own is owed.
    Own(LocalResponse),
    /// The client is gone.
    Gone(CloseReason),
}

/// What is done with an upload by one message.
struct Doing<'a> {
    archive: &'a Arc<UploadArchive>,
    socket: &'a Arc<Socket>,
    ticket: &'a Arc<Ticket>,
    id: UploadId,
    holder: u64,
    sum: u32,
}

fn refused(refused: Refused, stands: Option<UploadState>) -> LocalResponse {
    let bad = match refused {
        Refused::Unknown => MessageError::UnknownUpload,
        Refused::Offset(_) | Refused::Taken => MessageError::OffsetMismatch,
        Refused::Long => MessageError::BodyTooLarge,
        Refused::Quota => MessageError::QuotaExceeded,
    };
    LocalResponse { upload_state: stands, ..LocalResponse::from_error(bad) }
}

impl<P: Scheduler + Send + 'static> Proxy<P> {
    /// Whether a message begins an upload that can be gone on with, or is about one.
    pub(crate) fn is_upload(&self, asked: &RequestHead) -> bool {
        let begins = asked.known.upload.complete.is_some()
            && matches!(asked.method.as_str(), "POST" | "PUT")
            && self.settings.stage(asked).is_ok_and(|stage| self.settings.stages[stage].resumable);
        begins || asked.path().starts_with(PLACE)
    }

    /// Answers with words of our own, and ends the connection where something of the body is still to come.
    fn say(
        &self,
        socket: &Arc<Socket>,
        asked: &RequestHead,
        own: &LocalResponse,
        whole: bool,
    ) -> AfterRequest {
        let last = asked.closes_connection() || !whole;
        let mut out = Vec::new();
        own.write(&mut out, ConnectionUse::closing_if(last), BodyUse::for_request(asked.is_head()));
        if last {
            return AfterRequest::Close(self.send_last_response(socket, &out));
        }
        match self.put(socket, &out) {
            Ok(()) => AfterRequest::NextRequest,
            Err(end) => AfterRequest::Close(end),
        }
    }

    fn put(&self, socket: &Arc<Socket>, mut out: &[u8]) -> Result<(), CloseReason> {
        loop {
            let written = socket.write(out)?;
            out = &out[written..];
            if out.is_empty() {
                return Ok(());
            }
            socket.wait();
        }
    }

    /// Takes a message about an upload.
    pub(crate) fn upload(
        self: &Arc<Self>,
        archive: &Arc<UploadArchive>,
        socket: &Arc<Socket>,
        from: IpAddr,
        asked: RequestHead,
        came: &mut Vec<u8>,
    ) -> AfterRequest {
        let whole = asked.framing == Framing::Empty;
        let bad = |bad: MessageError| {
            lock(&self.owner).hall.counts.bad += 1;
            self.say(socket, &asked, &LocalResponse::from_error(bad), whole)
        };
        let known = id(asked.path());
        let stage = match (known, asked.path().starts_with(PLACE)) {
            (None, true) => return bad(MessageError::UnknownUpload),
            (None, false) => self.settings.stage(&asked),
            // What goes on with one is of the stage that it began in.
            (Some(id), _) if asked.method == "PATCH" => {
                let what = lock(&archive.uploads).get(id).map(|upload| upload.what.clone());
                let began = what.as_deref().and_then(|what| RequestHead::parse(what).ok().flatten());
                began.ok_or(MessageError::UnknownUpload).and_then(|began| self.settings.stage(&began.head))
            }
            (Some(_), _) => Ok(self.settings.asking()),
        };
        let stage = match stage {
            Ok(stage) => stage,
            Err(what) => return bad(what),
        };
        let told = match asked.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let ticket = Arc::new(Ticket::new(stage, socket.waker()));
        let customer = self.settings.customer(&asked);
        let mark = asked.known.idempotency_key.clone().or_else(|| known.map(place));
        let entering =
            Entering { customer, mark: mark.filter(|_| known.is_none()), told, caller: caller(from) };
        if !self.with(|owner, now| owner.enter(now, &ticket, entering)) {
            return self.say(socket, &asked, &LocalResponse::new(503, "not taken"), whole);
        }
        // Nothing is read before the module has let it in.
        while !ticket.running() {
            if let Some(answer) = ticket.answer() {
                return self.say(socket, &asked, &owed(&answer, None), whole);
            }
            if socket.is_broken() {
                self.with(|owner, now| owner.gone(now, &ticket));
                return AfterRequest::Close(CloseReason::Reset);
            }
            socket.wait();
        }
        match (known, asked.method.as_str()) {
            (Some(id), "PATCH") => self.go_on(archive, socket, &ticket, id, &asked, came),
            (Some(id), method) => {
                let own = match method {
                    // Whoever still sends must not move what is told now.
                    "HEAD" | "GET" => match lock(&archive.uploads).hold(id) {
                        Ok(_) => None,
                        Err(what) => Some(refused(what, None)),
                    },
                    "DELETE" if lock(&archive.uploads).get(id).is_some() => {
                        archive.remove(id);
                        Some(LocalResponse::new(204, ""))
                    }
                    "DELETE" => Some(LocalResponse::from_error(MessageError::UnknownUpload)),
                    _ => Some(LocalResponse::from_error(MessageError::MethodNotAllowed)),
                };
                let own = own.unwrap_or_else(|| match self.durable(archive, socket, id) {
                    Ok(()) => {
                        LocalResponse { upload_state: stands(archive, id), ..LocalResponse::new(204, "") }
                    }
                    Err(what) => LocalResponse::new(500, what.to_string()),
                });
                self.with(|owner, now| owner.ended(now, &ticket, RunEnd::Completed(Vec::new())));
                self.say(socket, &asked, &own, whole)
            }
            (None, _) => self.begin(archive, socket, &ticket, &asked, came),
        }
    }

    /// One begins.
    fn begin(
        self: &Arc<Self>,
        archive: &Arc<UploadArchive>,
        socket: &Arc<Socket>,
        ticket: &Arc<Ticket>,
        asked: &RequestHead,
        came: &mut Vec<u8>,
    ) -> AfterRequest {
        let id = rand::rng().random::<UploadId>();
        let complete = asked.known.upload.complete == Some(true);
        let length = asked.known.upload.length.or(match asked.framing {
            Framing::Length(length) if complete => Some(length),
            Framing::Empty if complete => Some(0),
            _ => None,
        });
        let customer = self.settings.customer_field.as_deref().and_then(|field| asked.field(field));
        let upload = Upload {
            customer: customer.map(|name| String::from_utf8_lossy(name).into_owned()).unwrap_or_default(),
            what: keep(asked),
            length,
            offset: 0,
            sum: 0,
            touched: unix_seconds(),
            whole: false,
        };
        let begun = lock(&archive.uploads).begin(id, upload);
        let (entry, holder) = match begun {
            Ok(begun) => begun,
            Err(what) => {
                return self.end(socket, ticket, asked, &refused(what, None), RunEnd::Unavailable(HOLD_OFF))
            }
        };
        let waker = socket.waker();
        if let Err(what) = self.await_it(socket, &archive.record(entry, move || waker.wakeup())) {
            lock(&archive.uploads).gone(id);
            return self.end(
                socket,
                ticket,
                asked,
                &LocalResponse::new(500, what.to_string()),
                RunEnd::Failed,
            );
        }
        let mut out = Vec::new();
        if !asked.is_http_10 {
            LocalResponse { location: Some(place(id)), ..LocalResponse::new(104, "") }.write(
                &mut out,
                ConnectionUse::KeepAlive,
                BodyUse::Omitted,
            );
        }
        if let Err(end) = self.put(socket, &out) {
            self.with(|owner, now| owner.gone(now, ticket));
            return AfterRequest::Close(end);
        }
        let doing = Doing { archive, socket, ticket, id, holder, sum: 0 };
        self.store(doing, asked, came, 201)
    }

    /// One is gone on with.
    fn go_on(
        self: &Arc<Self>,
        archive: &Arc<UploadArchive>,
        socket: &Arc<Socket>,
        ticket: &Arc<Ticket>,
        id: UploadId,
        asked: &RequestHead,
        came: &mut Vec<u8>,
    ) -> AfterRequest {
        let upload = asked.known.upload;
        let (Some(offset), Some(complete)) = (upload.offset, upload.complete) else {
            let bad = MessageError::InvalidField(if upload.offset.is_none() {
                "Upload-Offset"
            } else {
                "Upload-Complete"
            });
            return self.end(
                socket,
                ticket,
                asked,
                &LocalResponse::from_error(bad),
                RunEnd::Unavailable(HOLD_OFF),
            );
        };
        if asked.known.media_type != "application/partial-upload" {
            return self.end(
                socket,
                ticket,
                asked,
                &LocalResponse::from_error(MessageError::UnsupportedCoding),
                RunEnd::Unavailable(HOLD_OFF),
            );
        }
        let told = upload.length.or(match asked.framing {
            Framing::Length(length) if complete => offset.checked_add(length),
            Framing::Empty if complete => Some(offset),
            _ => None,
        });
        let mut uploads = lock(&archive.uploads);
        let held = uploads.go_on(id, offset).and_then(|holder| {
            told.map_or(Ok(()), |length| uploads.tell_length(id, length)).map(|()| holder)
        });
        let sum = uploads.get(id).map_or(0, |upload| upload.sum);
        drop(uploads);
        match held {
            Ok(holder) => {
                let doing = Doing { archive, socket, ticket, id, holder, sum };
                self.store(doing, asked, came, 204)
            }
            Err(what) => {
                let own = refused(what, stands(archive, id));
                self.end(socket, ticket, asked, &own, RunEnd::Unavailable(HOLD_OFF))
            }
        }
    }

    /// Ends a run with words of our own.
    fn end(
        &self,
        socket: &Arc<Socket>,
        ticket: &Arc<Ticket>,
        asked: &RequestHead,
        own: &LocalResponse,
        end: RunEnd,
    ) -> AfterRequest {
        self.with(|owner, now| owner.ended(now, ticket, end));
        self.say(socket, asked, own, asked.framing == Framing::Empty)
    }

    /// Waits for the archive.
    fn await_it(&self, socket: &Arc<Socket>, awaited: &PendingOperation) -> OperationResult {
        loop {
            match awaited.take() {
                Some(done) => return done,
                None => socket.wait(),
            }
        }
    }

    /// Waits until what is told of an upload lasts.
    fn durable(
        &self,
        archive: &Arc<UploadArchive>,
        socket: &Arc<Socket>,
        id: UploadId,
    ) -> Result<(), ArchiveError> {
        let Some(entry) = lock(&archive.uploads).moved(id) else { return Ok(()) };
        let waker = socket.waker();
        self.await_it(socket, &archive.record(entry, move || waker.wakeup())).map(drop)
    }

    /// Archives what one message brings; then answers how far the upload is or, where it is whole, passes it on.
    fn store(
        self: &Arc<Self>,
        mut doing: Doing,
        asked: &RequestHead,
        came: &mut Vec<u8>,
        status: u16,
    ) -> AfterRequest {
        let (archive, socket, ticket, id) = (doing.archive, doing.socket, doing.ticket, doing.id);
        let mut pipe = BodyPipe::new(asked.framing, Framing::Close, ContentCoder::identity());
        let mut stored = self.take_in(&mut doing, &mut pipe, asked, came);
        if let (Stored::Whole, Some(true)) = (&stored, asked.known.upload.complete) {
            match lock(&archive.uploads).complete(id, doing.holder) {
                Ok(true) => {}
                Ok(false) => {
                    stored = Stored::Own(LocalResponse {
                        upload_state: stands(archive, id),
                        ..LocalResponse::from_error(MessageError::InvalidLength)
                    })
                }
                Err(what) => stored = Stored::Own(refused(what, stands(archive, id))),
            }
        }
        // However it went on: what is here lasts, before anybody is told of it.
        let lasts = self.durable(archive, socket, id);
        let own = match (stored, lasts) {
            (Stored::Gone(end), _) => {
                self.with(|owner, now| owner.gone(now, ticket));
                return AfterRequest::Close(end);
            }
            (_, Err(what)) => LocalResponse::new(500, what.to_string()),
            (Stored::Own(own), _) => own,
            (Stored::Whole, Ok(())) if asked.known.upload.complete == Some(true) => {
                return self.pass_on(archive, socket, ticket, id, came);
            }
            (Stored::Whole, Ok(())) => {
                let place = (status == 201).then(|| place(id));
                let own = LocalResponse {
                    upload_state: stands(archive, id),
                    location: place,
                    ..LocalResponse::new(status, "")
                };
                self.with(|owner, now| owner.ended(now, ticket, RunEnd::Completed(Vec::new())));
                return self.say(socket, asked, &own, true);
            }
        };
        self.with(|owner, now| owner.ended(now, ticket, RunEnd::Failed));
        self.say(socket, asked, &own, pipe.is_complete())
    }

    fn take_in(
        &self,
        doing: &mut Doing,
        pipe: &mut BodyPipe,
        asked: &RequestHead,
        came: &mut Vec<u8>,
    ) -> Stored {
        let (archive, socket, ticket, id) = (doing.archive, doing.socket, doing.ticket, doing.id);
        let mut on_its_way: Option<(usize, PendingOperation)> = None;
        if asked.known.expects_continue && asked.framing != Framing::Empty && came.is_empty() {
            if let Err(end) = self.put(socket, crate::http::CONTINUE_RESPONSE) {
                return Stored::Gone(end);
            }
        }
        if let Err(bad) = pipe.start() {
            return Stored::Own(LocalResponse::from_error(bad));
        }
        loop {
            if let Some(answer) = ticket.answer() {
                return Stored::Own(owed(&answer, stands(archive, id)));
            }
            let mut moved = Moved::default();
            let mut step = false;
            if let Some((octets, done)) =
                on_its_way.as_ref().and_then(|(n, awaited)| Some((*n, awaited.take()?)))
            {
                on_its_way = None;
                moved.up_took = octets as u64;
                if let Err(what) = done {
                    return Stored::Own(LocalResponse::new(500, what.to_string()));
                }
            }
            let rooms = lock(&self.owner).rooms(ticket);
            let flying = on_its_way.as_ref().map_or(0, |(octets, _)| *octets as u64);
            let room = rooms.up.saturating_sub(pipe.buffered_bytes() + flying + FRAMING) as usize;
            if !pipe.is_complete() && room > 0 {
                let octets = if came.is_empty() {
                    let mut scratch = lock(&self.scratch);
                    let most = room.min(scratch.len());
                    match socket.read(&mut scratch[..most]) {
                        Ok(ReadOutcome::Bytes(octets)) => scratch[..octets].to_vec(),
                        Ok(ReadOutcome::WouldBlock) => Vec::new(),
                        Ok(ReadOutcome::EndOfStream) => {
                            return self.leave_off(doing, pipe, on_its_way, CloseReason::Truncated)
                        }
                        Err(end) => return self.leave_off(doing, pipe, on_its_way, end),
                    }
                } else {
                    came.drain(..came.len().min(room)).collect()
                };
                if !octets.is_empty() {
                    step = true;
                    moved.came = octets.len() as u64;
                    match pipe.receive(&octets, room) {
                        Ok(used) => drop(came.splice(..0, octets[used..].iter().copied())),
                        Err(bad) => {
                            return Stored::Own(LocalResponse {
                                upload_state: stands(archive, id),
                                ..LocalResponse::from_error(bad)
                            })
                        }
                    }
                }
            }
            if on_its_way.is_none() && !pipe.out.is_empty() {
                match self.archive_some(doing, pipe) {
                    Ok(sent) => on_its_way = Some(sent),
                    Err(what) => return Stored::Own(refused(what, stands(archive, id))),
                }
                step = true;
            }
            moved.up_held =
                pipe.buffered_bytes() + on_its_way.as_ref().map_or(0, |(octets, _)| *octets as u64);
            moved.waits_client = !pipe.is_complete() && moved.up_held == 0;
            self.with(|owner, now| owner.moved(now, ticket, moved));
            if pipe.is_complete() && pipe.out.is_empty() && on_its_way.is_none() {
                return Stored::Whole;
            }
            if !step {
                socket.wait();
            }
        }
    }

    /// Hands what waits to the archive.
    fn archive_some(
        &self,
        doing: &mut Doing,
        pipe: &mut BodyPipe,
    ) -> Result<(usize, PendingOperation), Refused> {
        let octets = pipe.out.front().to_vec();
        let sum = crc32c::crc32c_append(doing.sum, &octets);
        let length = octets.len();
        lock(&doing.archive.uploads).grow(doing.id, doing.holder, length as u64, sum, unix_seconds())?;
        doing.sum = sum;
        pipe.out.consume(length);
        let waker = doing.socket.waker();
        Ok((length, doing.archive.append(doing.id, octets, move || waker.wakeup())))
    }

    /// The client dropped: what came of it is archived all the same.
    fn leave_off(
        &self,
        doing: &mut Doing,
        pipe: &mut BodyPipe,
        on_its_way: Option<(usize, PendingOperation)>,
        end: CloseReason,
    ) -> Stored {
        let mut last = on_its_way.map(|(_, awaited)| awaited);
        if !pipe.out.is_empty() {
            // Another may hold it by now: then it is that one's to bring them.
            last = self.archive_some(doing, pipe).ok().map(|(_, awaited)| awaited).or(last);
        }
        if let Some(last) = last {
            // A disk that fails is seen when the rest is noted.
            let _ = self.await_it(doing.socket, &last);
        }
        Stored::Gone(end)
    }

    /// A whole upload goes up, from the archive.
    fn pass_on(
        self: &Arc<Self>,
        archive: &Arc<UploadArchive>,
        socket: &Arc<Socket>,
        ticket: &Arc<Ticket>,
        id: UploadId,
        came: &mut Vec<u8>,
    ) -> AfterRequest {
        let known = lock(&archive.uploads).get(id).map(|upload| (upload.what.clone(), upload.offset));
        let asked = known.and_then(|(mut what, length)| {
            // The head that was kept lacks only its end.
            what.truncate(what.len() - 2);
            what.extend_from_slice(format!("Content-Length: {length}\r\n\r\n").as_bytes());
            Some((RequestHead::parse(&what).ok()??.head, length))
        });
        let made = asked.ok_or(MessageError::UnknownUpload).and_then(|(asked, length)| {
            let stage = self.settings.stage(&asked)?;
            Ok((ProxiedRequest::new(asked, self.settings.stages[stage].plan.clone())?, length))
        });
        match made {
            Ok((relay, end)) => {
                let source = ArchivedBody {
                    archive: archive.clone(),
                    id,
                    at: 0,
                    end,
                    ready: Vec::new(),
                    awaited: None,
                };
                self.run_exchange(socket, ticket, relay, Some(source), Some(end), came)
            }
            Err(bad) => {
                archive.remove(id);
                self.with(|owner, now| owner.ended(now, ticket, RunEnd::Failed));
                AfterRequest::Close(self.close_with(socket, &LocalResponse::from_error(bad)))
            }
        }
    }
}

/// When one that was refused for what it is may come again.
const HOLD_OFF: lynxtally::Span = lynxtally::Span::from_millis(1000);

fn stands(archive: &UploadArchive, id: UploadId) -> Option<UploadState> {
    lock(&archive.uploads)
        .get(id)
        .map(|upload| UploadState { offset: upload.offset, is_complete: upload.whole })
}

/// What a client is told that was not let in, or whose time ran out.
fn owed(answer: &FinalResponse, stands: Option<UploadState>) -> LocalResponse {
    match answer {
        FinalResponse::Rejected { retry_after: hold_off, .. } => {
            let back_in = Some((hold_off.secs().ceil() as u64).max(1));
            LocalResponse {
                retry_after_secs: back_in,
                upload_state: stands,
                ..LocalResponse::new(503, "not taken; nothing of it was done")
            }
        }
        // Where it stands it can be gone on with.
        _ => LocalResponse {
            retry_after_secs: Some(1),
            upload_state: stands,
            ..LocalResponse::new(503, "not done in time")
        },
    }
}

/// What is kept of the message that began an upload: all that its upstream is to see, but for the body's length.
fn keep(asked: &RequestHead) -> Vec<u8> {
    let mut text = String::new();
    let _ = write!(text, "{} {} HTTP/1.1\r\n", asked.method, asked.target);
    let mut what = text.into_bytes();
    for (name, value) in &asked.fields {
        if !name.to_ascii_lowercase().starts_with("upload-") {
            what.extend_from_slice(name.as_bytes());
            what.extend_from_slice(b": ");
            what.extend_from_slice(value);
            what.extend_from_slice(b"\r\n");
        }
    }
    what.extend_from_slice(b"\r\n");
    what
}
