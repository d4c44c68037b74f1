//! The executor of the front: zones, what they answer, and what waits for the log. It knows no socket; what is
//! to be made durable, streamed or done aside it leaves for the driver.

use crate::codec::{self, Asked, Body, Code, Reason, Reply, Room};
use crate::settings;
use crate::tsig::Signer;
use lynxtally::{CallOutcome, Instant, RequestId, Span};
use lynxtally_engine::{Executor, RunEnd};
use lynxtally_wal::{Batch, Rotation, WriteAheadLog};
use lynxtally_zones::change::Change;
use lynxtally_zones::lookup::{lookup, Outcome, ResponseSet as Answered};
use lynxtally_zones::record::pack;
use lynxtally_zones::secondary::{NotifySender, SecondaryAction, SecondaryZone};
use lynxtally_zones::update::{Update, UpdateError};
use lynxtally_zones::zone_store::{encode, FreezeReason, PreparedReload, ZoneLogEntry, ZoneStore};
use lynxtally_zones::Zone;
use lynxtally_zones::{Name, Serial};
use std::borrow::Cow;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tracing::{error, info, warn};

/// Where an answer goes.
pub trait Peer: Clone {
    /// Has a transfer sent on its connection; false where there is none.
    fn stream(&self, stream: Box<Stream>) -> bool;
    /// Cuts the connection, as what went out on it can't be ended well.
    fn cut(&self);
}

/// One message and all that is known of it: what the host holds on both sides.
pub struct Ask<P> {
    /// The message.
    pub asked: Asked,
    /// Where its answer goes.
    pub peer: P,
    /// Who sent it.
    pub from: SocketAddr,
    /// What signs its answer.
    pub signer: Option<Signer>,
    /// How long the answer may be.
    pub room: Room,
    /// The cookie that goes along.
    pub cookie: Option<[u8; 24]>,
    /// Whether a transfer has begun to go out.
    pub streaming: AtomicBool,
}

impl<P> Ask<P> {
    /// Writes an answer to it.
    pub fn write(&self, reply: &Reply) -> Vec<u8> {
        let mut signer = self.signer.clone();
        let reply = Reply { cookie: self.cookie, ..reply.clone() };
        codec::write(&self.asked, &reply, self.room, signer.as_mut())
    }

    /// Writes an answer that has nothing but a code and a reason.
    pub fn code(&self, code: Code, reason: Option<(Reason, String)>) -> Vec<u8> {
        self.write(&Reply { code: Some(code), reason, ..Reply::default() })
    }

    fn key(&self) -> Option<&Name> {
        self.signer.as_ref().and_then(Signer::key)
    }
}

/// A transfer as it goes out: from one version, however long it takes.
pub struct Stream {
    /// The task and its call, for its end.
    pub task: RequestId,
    /// See there.
    pub number: u64,
    /// What is sent.
    pub writer: codec::Transfer,
}

/// An update that waits to be durable.
struct Pending {
    task: RequestId,
    number: u64,
    up_to: u64,
    result: Result<Serial, UpdateError>,
    lease: Option<Span>,
}

/// One zone.
pub struct ZoneState {
    /// Its settings.
    pub settings: settings::Zone,
    /// Its versions; none before a secondary has one.
    pub store: Option<ZoneStore>,
    /// Its log.
    pub journal: WriteAheadLog,
    /// Where it follows primaries.
    pub follower: Option<SecondaryZone>,
    /// Who is told of new versions.
    pub notices: NotifySender,
    /// Whether its file is being read again.
    pub reading: bool,
    pending: VecDeque<Pending>,
    /// Up to which number its entries are durable.
    durable: u64,
    /// A snapshot is wanted once all is durable; updates wait for that.
    rotate: bool,
    /// Whether a snapshot is being written.
    pub snapshotting: bool,
    deferred: VecDeque<(RequestId, u64)>,
}

impl ZoneState {
    /// A zone as it was found.
    pub fn new(
        settings: settings::Zone,
        store: Option<ZoneStore>,
        journal: WriteAheadLog,
        follower: Option<SecondaryZone>,
        notices: NotifySender,
    ) -> Self {
        let durable = journal.next_number();
        Self {
            settings,
            store,
            journal,
            follower,
            notices,
            reading: false,
            pending: VecDeque::new(),
            durable,
            rotate: false,
            snapshotting: false,
            deferred: VecDeque::new(),
        }
    }

    /// The version that answers come from; none where it may not be served.
    pub fn served(&self) -> Option<&Arc<Zone>> {
        let fit = self.follower.as_ref().is_none_or(SecondaryZone::is_serving);
        self.store.as_ref().filter(|_| fit).map(ZoneStore::current)
    }

    /// Puts an entry on the log.
    fn log(&mut self, entry: &ZoneLogEntry) {
        let number = self.journal.append(&encode(entry));
        if let Some(store) = &mut self.store {
            store.entry_appended(number + 1, entry);
        }
    }
}

/// Counters of the front.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Answers by their code.
    pub codes: [u64; 17],
    /// Updates that were repeats.
    pub repeats: u64,
    /// Versions that came into force.
    pub versions: u64,
    /// Records that lapsed.
    pub lapsed: u64,
    /// Transfers begun.
    pub transfers: u64,
}

/// The executor.
pub struct Serving<P> {
    /// The zones.
    pub zones: Vec<ZoneState>,
    by_apex: HashMap<Box<[u8]>, usize>,
    /// Runs that ended, for the host.
    pub ended: Vec<(RequestId, RunEnd)>,
    /// Runs that stand at a call.
    pub at_call: Vec<RequestId>,
    /// Calls that ended.
    pub called: Vec<(RequestId, u64, CallOutcome)>,
    /// Notices from primaries, for the driver.
    pub notified: Vec<usize>,
    /// The time of this turn.
    pub now: Instant,
    /// Counters.
    pub counts: Counts,
    asks: HashMap<RequestId, Arc<Ask<P>>>,
    log_most: u64,
}

impl<P: Peer> Serving<P> {
    /// Serves these zones; logs longer than so many octets are shortened.
    pub fn new(zones: Vec<ZoneState>, log_most: u64) -> Self {
        let by_apex =
            zones.iter().enumerate().map(|(n, zone)| (zone.settings.apex.wire().into(), n)).collect();
        Self {
            zones,
            by_apex,
            ended: Vec::new(),
            at_call: Vec::new(),
            called: Vec::new(),
            notified: Vec::new(),
            now: Instant::default(),
            counts: Counts::default(),
            asks: HashMap::new(),
            log_most,
        }
    }

    /// The zone with this apex.
    pub fn zone(&self, apex: &[u8]) -> Option<usize> {
        self.by_apex.get(apex).copied()
    }

    /// The zone that a name is in: the longest one.
    fn zone_for(&self, name: &[u8]) -> Option<usize> {
        let mut at = 0;
        loop {
            if let Some(zone) = self.by_apex.get(&name[at..]) {
                return Some(*zone);
            }
            match *name.get(at)? {
                0 => return None,
                length => at += 1 + length as usize,
            }
        }
    }

    fn count(&mut self, octets: &[u8]) {
        if let Some(count) =
            octets.get(3).and_then(|flags| self.counts.codes.get_mut(usize::from(flags & 0xf)))
        {
            *count += 1;
        }
    }

    fn query(&self, ask: &Ask<P>) -> Vec<u8> {
        let asked = &ask.asked;
        if asked.edns.as_ref().is_some_and(|edns| edns.version > 0) {
            return ask.code(Code::VERSION, None);
        }
        let Some(zone) = self.zone_for(asked.name.wire()) else {
            return ask.code(Code::REFUSED, Some((Reason::NotAuthoritative, String::new())));
        };
        let Some(version) = self.zones[zone].served() else {
            let text = "no version of the zone may be served".to_owned();
            return ask.code(Code::FAIL, Some((Reason::NotReady, text)));
        };
        let found = lookup(version, asked.name.wire(), asked.kind);
        let code = match found.outcome {
            Outcome::Found | Outcome::NoData | Outcome::Referral => Code::OK,
            Outcome::NxDomain => Code::NAME,
            Outcome::TooLong => Code::NAME_THERE,
        };
        ask.write(&Reply {
            code: Some(code),
            authoritative: found.outcome != Outcome::Referral,
            answer: &found.answer,
            authority: &found.authority,
            additional: &found.additional,
            ..Reply::default()
        })
    }

    /// A transfer: none where it can go out, else the answer that it can't.
    fn transfer(&self, ask: &Ask<P>, from: Option<Serial>, stream: bool) -> Option<Vec<u8>> {
        let refuse = |code, reason: Reason, text: &str| Some(ask.code(code, Some((reason, text.to_owned()))));
        let Some(zone) = self.zone(ask.asked.name.wire()).map(|zone| &self.zones[zone]) else {
            return refuse(Code::NOT_AUTH, Reason::NotAuthoritative, "");
        };
        let settings = &zone.settings;
        if !settings.transfer_anyone && !ask.key().is_some_and(|key| settings.transfer_keys.contains(key)) {
            return refuse(Code::REFUSED, Reason::Prohibited, "transfers take a key that may have the zone");
        }
        let Some(version) = zone.served() else {
            return refuse(Code::FAIL, Reason::NotReady, "no version of the zone may be served");
        };
        if stream {
            return None;
        }
        if from.is_none() {
            return refuse(Code::FORM, Reason::NotSupported, "whole transfers go over TCP");
        }
        // Over UDP the newest SOA says whether anything changed (RFC 1995 section 2).
        let soa = version.soa_record().map(|soa| Answered {
            owner: Cow::Owned(soa.name.wire().to_vec()),
            kind: soa.kind,
            ttl: soa.ttl,
            packed: Cow::Owned(pack([&soa.data[..]])),
        });
        let answer: Vec<Answered> = soa.into_iter().collect();
        Some(ask.write(&Reply { authoritative: true, answer: &answer, ..Reply::default() }))
    }

    fn notify(&mut self, ask: &Ask<P>, serial: Option<Serial>) -> Vec<u8> {
        let (now, zone) = (self.now, self.zone(ask.asked.name.wire()));
        let Some(at) = zone else {
            return ask.code(Code::NOT_AUTH, Some((Reason::NotAuthoritative, String::new())));
        };
        let zone = &mut self.zones[at];
        let primary = zone.settings.primaries.iter().any(|primary| primary.ip() == ask.from.ip());
        match &mut zone.follower {
            Some(follower) if primary => {
                follower.notified(now, serial);
                self.notified.push(at);
                ask.write(&Reply { authoritative: true, ..Reply::default() })
            }
            _ => ask
                .code(Code::REFUSED, Some((Reason::Prohibited, "not from a primary of the zone".to_owned()))),
        }
    }

    /// Judges an update and puts it on the log; what can't be is answered at once.
    fn update(&mut self, task: RequestId, number: u64, ask: &Ask<P>) {
        let Body::Update { needs, edits, mark } = &ask.asked.body else { return };
        let Some(at) = self.zone(ask.asked.name.wire()) else {
            return self.answer_update(task, number, ask, Err(Code::NOT_AUTH), None);
        };
        let now = self.now;
        let zone = &mut self.zones[at];
        if zone.rotate {
            zone.deferred.push_back((task, number));
            return;
        }
        let Some(store) = &mut zone.store else {
            return self.answer_update(task, number, ask, Err(Code::FAIL), None);
        };
        if zone.settings.grants.is_empty() || ask.key().is_none() {
            return self.answer_update(task, number, ask, Err(Code::REFUSED), None);
        }
        let update = match Update::read(&zone.settings.apex, needs, edits) {
            Ok(update) => update,
            Err(refusal) => {
                return self.answer_update(task, number, ask, Err(code_of(refusal)), None);
            }
        };
        let lease = ask.asked.edns.as_ref().and_then(|edns| edns.lease);
        let lease = lease.filter(|secs| *secs > 0).map(|secs| Span::from_secs(f64::from(secs)));
        let taken = store.update(now, &update, &zone.settings.grants, ask.key(), Some(*mark), lease);
        if let Some(entry) = &taken.entry {
            zone.log(entry);
        }
        let up_to = zone.store.as_ref().map_or(0, ZoneStore::respond_after);
        let lease = taken.lease.filter(|_| taken.result.is_ok());
        zone.pending.push_back(Pending { task, number, up_to, result: taken.result, lease });
        self.counts.repeats += u64::from(taken.duplicate);
    }

    fn answer_update(
        &mut self,
        task: RequestId,
        number: u64,
        ask: &Ask<P>,
        result: Result<(), Code>,
        lease: Option<Span>,
    ) {
        let reason = match result {
            Err(Code::REFUSED) => Some((Reason::Prohibited, "the key may not change this".to_owned())),
            Err(Code::FAIL) => Some((Reason::NotReady, "the zone takes no updates now".to_owned())),
            _ => None,
        };
        let octets = ask.write(&Reply {
            code: Some(result.err().unwrap_or(Code::OK)),
            reason,
            lease: lease.map(|span| span.secs().round() as u32),
            ..Reply::default()
        });
        self.called.push((task, number, CallOutcome::Succeeded));
        self.ended.push((task, RunEnd::Completed(octets)));
    }

    /// Answers the updates whose entries are durable.
    pub fn settle_pending(&mut self) {
        for at in 0..self.zones.len() {
            let durable = self.zones[at].durable;
            while let Some(pending) = self.zones[at].pending.pop_front_if(|pending| pending.up_to <= durable)
            {
                let Pending { task, number, result, lease, .. } = pending;
                if let Some(ask) = self.asks.get(&task).cloned() {
                    self.answer_update(task, number, &ask, result.map(|_| ()).map_err(code_of), lease);
                }
            }
        }
    }

    /// All entries of a zone below this number are durable. Tells whether another version is in force now.
    pub fn durable(&mut self, at: usize, up_to: u64) -> bool {
        let (now, zone) = (self.now, &mut self.zones[at]);
        zone.durable = zone.durable.max(up_to);
        let moved = zone.store.as_mut().is_some_and(|store| store.entries_durable(up_to));
        if moved {
            self.counts.versions += 1;
            if let Some(serial) = zone.store.as_ref().map(|store| store.current().serial()) {
                zone.notices.serial_changed(now, serial);
            }
        }
        moved
    }

    /// A zone's log failed: nothing that waits for it will be durable, and it takes nothing more.
    pub fn log_failed(&mut self, at: usize, why: &str) {
        let zone = &mut self.zones[at];
        if matches!(zone.store.as_ref().and_then(ZoneStore::frozen), Some(FreezeReason::LogFailed(_))) {
            return;
        }
        error!(zone = %zone.settings.apex, why, "the log failed; the zone takes no updates and serves what it has");
        if let Some(store) = &mut zone.store {
            store.log_failed(why.to_owned());
        }
        // They may be on the disk or not: nobody can promise either.
        for Pending { task, number, .. } in zone.pending.drain(..) {
            self.called.push((task, number, CallOutcome::MaybeExecuted));
            self.ended.push((task, RunEnd::Failed));
        }
    }

    /// What is to be made durable, by zone.
    pub fn batches(&mut self) -> Vec<(usize, Batch)> {
        let batches = self.zones.iter_mut().enumerate();
        batches.filter_map(|(at, zone)| Some((at, zone.journal.take_batch()?))).collect()
    }

    /// Begins a generation of the log where it is long and all of it is durable; the store goes out as it
    /// stands, for the snapshot. What waited for that is judged.
    pub fn rotate(&mut self, at: usize, asked: bool) -> Option<(Rotation, ZoneStore)> {
        let (log_most, zone) = (self.log_most, &mut self.zones[at]);
        zone.rotate |= !zone.snapshotting && (asked || zone.journal.bytes_since_snapshot() > log_most);
        let store = zone.store.as_ref().filter(|store| store.is_durable())?.clone();
        if !zone.rotate || zone.durable < zone.journal.next_number() {
            return None;
        }
        (zone.rotate, zone.snapshotting) = (false, true);
        let rotation = zone.journal.rotate();
        let deferred: Vec<(RequestId, u64)> = zone.deferred.drain(..).collect();
        for (task, number) in deferred {
            if let Some(ask) = self.asks.get(&task).cloned() {
                self.update(task, number, &ask);
            }
        }
        Some((rotation, store))
    }

    /// Takes out what ran out of its lease.
    pub fn lapse(&mut self, at: usize) {
        let (now, zone) = (self.now, &mut self.zones[at]);
        if zone.rotate {
            return;
        }
        let Some(store) = &mut zone.store else { return };
        let (entry, lapse) = store.expire_leases(now);
        let apex = &zone.settings.apex;
        match lapse.suspect_changed {
            Some(true) => warn!(%apex, "many leases ran out together: the path is suspect, all names stay"),
            Some(false) => info!(%apex, "leases are renewed again: names lapse as before"),
            None => {}
        }
        self.counts.lapsed += lapse.removed.len() as u64;
        for (name, kind, data) in &lapse.removed {
            info!(%apex, "lapsed: {name} {kind} {}", kind.format_data(data));
        }
        if let Some(entry) = entry {
            zone.log(&entry);
        }
    }

    /// Takes a file over that was read again. Versions that are not needed any more come out.
    pub fn rebase(&mut self, at: usize, file: String, ready: PreparedReload) -> Vec<Zone> {
        let zone = &mut self.zones[at];
        let Some(store) = &mut zone.store else { return Vec::new() };
        let (entry, conflicts, retired) = store.reload(file, ready);
        for conflict in conflicts {
            warn!(zone = %zone.settings.apex, "file and updates meet: {conflict}");
        }
        zone.log(&entry);
        retired
    }

    /// Takes a whole version from a primary over.
    pub fn follow(
        &mut self,
        at: usize,
        file: String,
        version: Zone,
        change: Change,
        limits: &settings::Limits,
    ) -> Vec<Zone> {
        let zone = &mut self.zones[at];
        match &mut zone.store {
            Some(store) => {
                let (entry, retired) = store.replace_from_primary(file, version, change);
                zone.log(&entry);
                retired
            }
            None => {
                let mut store = ZoneStore::new(version, file.clone(), limits.zone_store_limits());
                store.freeze(FreezeReason::Secondary);
                zone.store = Some(store);
                zone.log(&ZoneLogEntry::Followed { base: file });
                Vec::new()
            }
        }
    }

    /// Takes changes from a primary over; false where they don't fit.
    pub fn follow_changes(&mut self, at: usize, changes: &[Change]) -> bool {
        let zone = &mut self.zones[at];
        let Some(store) = &mut zone.store else { return false };
        match store.apply_from_primary(changes) {
            Ok(entry) => {
                zone.log(&entry);
                true
            }
            Err(misfit) => {
                warn!(zone = %zone.settings.apex, "changes don't fit: {misfit}; the whole zone is asked for");
                false
            }
        }
    }

    /// What a secondary's zone does next.
    pub fn follow_due(&mut self, at: usize) -> Option<SecondaryAction> {
        let (now, zone) = (self.now, &mut self.zones[at]);
        let step = zone.follower.as_mut()?.due(now);
        if step == Some(SecondaryAction::Expire) {
            warn!(zone = %zone.settings.apex, "no primary was heard for as long as the zone allows; it is not served");
        }
        step
    }

    /// A call that can't be made now nor later ends its run; it counts as made.
    fn fail(&mut self, task: RequestId, number: u64) -> bool {
        self.called.push((task, number, CallOutcome::MaybeExecuted));
        self.ended.push((task, RunEnd::Failed));
        true
    }

    /// A message is known by its task from now on, for as long as it waits for something.
    fn keep(&mut self, task: RequestId, work: &Arc<Ask<P>>) {
        self.asks.insert(task, work.clone());
    }
}

/// The code that says why an update was refused.
fn code_of(refusal: UpdateError) -> Code {
    match refusal {
        UpdateError::Malformed => Code::FORM,
        UpdateError::OutOfZone => Code::NOT_ZONE,
        UpdateError::NameMissing => Code::NAME,
        UpdateError::NameExists => Code::NAME_THERE,
        UpdateError::SetMissing => Code::SET_MISSING,
        UpdateError::SetExists => Code::SET_THERE,
        UpdateError::NotAllowed => Code::REFUSED,
        UpdateError::Frozen => Code::FAIL,
    }
}

impl<P: Peer> Executor<Arc<Ask<P>>> for Serving<P> {
    fn start(&mut self, task: RequestId, work: &mut Arc<Ask<P>>) {
        let ask = work.clone();
        let octets = match &ask.asked.body {
            Body::Query => self.query(&ask),
            Body::Rejected(code) => ask.code(*code, None),
            Body::Notify(serial) => self.notify(&ask, *serial),
            Body::Update { .. } => {
                self.keep(task, work);
                return self.at_call.push(task);
            }
            Body::Transfer(from) => {
                let tcp = ask.room.most == codec::MESSAGE_MOST;
                match self.transfer(&ask, *from, tcp) {
                    Some(octets) => octets,
                    None => return self.at_call.push(task),
                }
            }
        };
        self.count(&octets);
        self.ended.push((task, RunEnd::Completed(octets)));
    }

    fn stop(&mut self, _: RequestId, _: &mut Arc<Ask<P>>) {}

    fn start_call(&mut self, task: RequestId, work: &mut Arc<Ask<P>>, number: u64, _: Span) -> bool {
        match &work.asked.body {
            Body::Transfer(from) => {
                let zone = self.zone(work.asked.name.wire()).map(|at| &self.zones[at]);
                let version = zone.and_then(|zone| Some((zone, zone.served()?.clone())));
                // Expired since it was let in: told that it failed, not tried again and again.
                let Some((zone, version)) = version else { return self.fail(task, number) };
                let changes = from.and_then(|from| zone.store.as_ref()?.changes_since(from));
                let from = *from;
                let writer = codec::Transfer::new(&work.asked, version, from, changes, work.signer.clone());
                work.streaming.store(true, Ordering::Relaxed);
                self.counts.transfers += 1;
                // Where the connection is gone meanwhile, the owner hears of it soon.
                work.peer.stream(Box::new(Stream { task, number, writer })) || self.fail(task, number)
            }
            _ => {
                let ask = work.clone();
                self.update(task, number, &ask);
                true
            }
        }
    }

    fn cancel_call(&mut self, work: &mut Arc<Ask<P>>, number: u64) {
        if work.streaming.load(Ordering::Relaxed) {
            return work.peer.cut();
        }
        for zone in &mut self.zones {
            if let Some(at) = zone.pending.iter().position(|pending| pending.number == number) {
                let Some(Pending { task, .. }) = zone.pending.remove(at) else { continue };
                self.called.push((task, number, CallOutcome::MaybeExecuted));
            }
            if let Some(at) = zone.deferred.iter().position(|(_, own)| *own == number) {
                let Some((task, _)) = zone.deferred.remove(at) else { continue };
                self.called.push((task, number, CallOutcome::NotExecuted));
            }
        }
    }

    fn release(&mut self, task: RequestId, _: Arc<Ask<P>>) {
        self.asks.remove(&task);
    }
}
