//! Executes DNS requests on the zones: lookups, updates, transfers and NOTIFY. An update is answered once its log
//! entry is durable. Sockets, log writes and slow jobs are left to the server thread.

use crate::codec::{
    self, ExtendedError, Request, RequestBody, ResponseCode, ResponseContent, ResponseLimits,
};
use crate::settings;
use crate::tsig::Signer;
use lynxtally::{CallOutcome, Instant, RequestId, Span};
use lynxtally_engine::{Executor, RunEnd};
use lynxtally_wal::{Batch, Rotation, WriteAheadLog};
use lynxtally_zones::change::Change;
use lynxtally_zones::lookup::{lookup, Outcome, ResponseSet};
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

/// How a response reaches its client.
pub trait Transport: Clone {
    /// Starts a transfer on the client's TCP connection. Returns false if there is no open one.
    fn start_transfer(&self, transfer: Box<OutgoingTransfer>) -> bool;
    /// Closes the connection at once, because a transfer on it can't be completed.
    fn abort(&self);
}

/// A request with all that is needed to answer it. The engine holds it for the executor and for the responder.
pub struct RequestContext<P> {
    /// The parsed message.
    pub request: Request,
    /// Where its response is sent.
    pub peer: P,
    /// The client's address.
    pub from: SocketAddr,
    /// Signs the response, if the request was signed.
    pub signer: Option<Signer>,
    /// The size limits of the response.
    pub limits: ResponseLimits,
    /// The client and server cookie for the response.
    pub cookie: Option<[u8; 24]>,
    /// Whether a transfer has been started for it.
    pub streaming: AtomicBool,
}

impl<P> RequestContext<P> {
    /// Writes a response with this content.
    pub fn write(&self, content: &ResponseContent) -> Vec<u8> {
        let mut signer = self.signer.clone();
        let content = ResponseContent { cookie: self.cookie, ..content.clone() };
        codec::write_response(&self.request, &content, self.limits, signer.as_mut())
    }

    /// Writes a response without records: a code and an extended error.
    pub fn code(&self, code: ResponseCode, reason: Option<(ExtendedError, String)>) -> Vec<u8> {
        self.write(&ResponseContent { code: Some(code), reason, ..ResponseContent::default() })
    }

    fn key(&self) -> Option<&Name> {
        self.signer.as_ref().and_then(Signer::key)
    }
}

/// A transfer that is being sent. All of it comes from one version of the zone.
pub struct OutgoingTransfer {
    /// The request that asked for it.
    pub request_id: RequestId,
    /// The call of that request, whose end is reported when the transfer ends.
    pub call_number: u64,
    /// Produces the messages.
    pub writer: codec::TransferWriter,
}

/// An update that is answered once all log entries below `durable_below` are durable.
struct PendingUpdate {
    request_id: RequestId,
    call_number: u64,
    durable_below: u64,
    result: Result<Serial, UpdateError>,
    lease: Option<Span>,
}

/// A zone with its log and its replication state.
pub struct ZoneState {
    /// Its settings.
    pub settings: settings::ZoneSettings,
    /// Its versions; `None` for a secondary before its first transfer.
    pub store: Option<ZoneStore>,
    /// Its write-ahead log.
    pub journal: WriteAheadLog,
    /// The refresh state, if the zone is a secondary.
    pub secondary: Option<SecondaryZone>,
    /// Which secondaries are due a NOTIFY.
    pub notify_sender: NotifySender,
    /// Whether its zone file is being read for a reload.
    pub file_read_running: bool,
    pending_updates: VecDeque<PendingUpdate>,
    /// All log entries below this number are durable.
    durable_below: u64,
    /// Whether the log is to be rotated once all its entries are durable. Until then updates are deferred.
    rotation_requested: bool,
    /// Whether a snapshot is being written.
    pub snapshot_running: bool,
    deferred_updates: VecDeque<(RequestId, u64)>,
}

impl ZoneState {
    /// Creates the state of a zone that was loaded at server startup.
    pub fn new(
        settings: settings::ZoneSettings,
        store: Option<ZoneStore>,
        journal: WriteAheadLog,
        secondary: Option<SecondaryZone>,
        notify_sender: NotifySender,
    ) -> Self {
        let durable_below = journal.next_number();
        Self {
            settings,
            store,
            journal,
            secondary,
            notify_sender,
            file_read_running: false,
            pending_updates: VecDeque::new(),
            durable_below,
            rotation_requested: false,
            snapshot_running: false,
            deferred_updates: VecDeque::new(),
        }
    }

    /// The version that queries are answered from; `None` if there is none or it has expired.
    pub fn served(&self) -> Option<&Arc<Zone>> {
        let fit = self.secondary.as_ref().is_none_or(SecondaryZone::is_serving);
        self.store.as_ref().filter(|_| fit).map(ZoneStore::current)
    }

    /// Appends an entry to the log.
    fn append_entry(&mut self, entry: &ZoneLogEntry) {
        let entry_number = self.journal.append(&encode(entry));
        if let Some(store) = &mut self.store {
            store.entry_appended(entry_number + 1, entry);
        }
    }
}

/// Counters since server startup.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutorCounts {
    /// Responses by response code.
    pub codes: [u64; 17],
    /// Updates that repeated an earlier one and got its result.
    pub repeats: u64,
    /// Zone versions that became durable and were served.
    pub versions: u64,
    /// Records removed because their lease expired.
    pub lapsed: u64,
    /// Transfers started.
    pub transfers: u64,
}

/// The executor of DNS requests.
pub struct ZoneExecutor<P> {
    /// The zones.
    pub zones: Vec<ZoneState>,
    by_apex: HashMap<Box<[u8]>, usize>,
    /// Runs that ended, to be reported to the engine.
    pub ended_runs: Vec<(RequestId, RunEnd)>,
    /// Requests for which the engine is to start a call. To the scheduler, an update that waits for the log and a
    /// transfer that is being sent are downstream calls.
    pub call_requests: Vec<RequestId>,
    /// Calls that ended, to be reported to the engine.
    pub ended_calls: Vec<(RequestId, u64, CallOutcome)>,
    /// Zones for which a primary sent a NOTIFY, to be refreshed by the server thread.
    pub notified_zones: Vec<usize>,
    /// The current time, set by the server thread.
    pub now: Instant,
    /// Counters since server startup.
    pub counts: ExecutorCounts,
    contexts: HashMap<RequestId, Arc<RequestContext<P>>>,
    max_log_bytes: u64,
}

impl<P: Transport> ZoneExecutor<P> {
    /// Serves these zones. A log longer than `max_log_bytes` is replaced by a snapshot.
    pub fn new(zones: Vec<ZoneState>, max_log_bytes: u64) -> Self {
        let by_apex =
            zones.iter().enumerate().map(|(n, zone)| (zone.settings.apex.wire().into(), n)).collect();
        Self {
            zones,
            by_apex,
            ended_runs: Vec::new(),
            call_requests: Vec::new(),
            ended_calls: Vec::new(),
            notified_zones: Vec::new(),
            now: Instant::default(),
            counts: ExecutorCounts::default(),
            contexts: HashMap::new(),
            max_log_bytes,
        }
    }

    /// The index of the zone with this apex, in wire format.
    pub fn zone(&self, apex: &[u8]) -> Option<usize> {
        self.by_apex.get(apex).copied()
    }

    /// The zone that a name belongs to: the one with the longest matching apex.
    fn closest_zone(&self, name: &[u8]) -> Option<usize> {
        let mut offset = 0;
        loop {
            if let Some(zone) = self.by_apex.get(&name[offset..]) {
                return Some(*zone);
            }
            match *name.get(offset)? {
                0 => return None,
                length => offset += 1 + length as usize,
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

    fn query(&self, context: &RequestContext<P>) -> Vec<u8> {
        let request = &context.request;
        if request.edns.as_ref().is_some_and(|edns| edns.version > 0) {
            return context.code(ResponseCode::BADVERS, None);
        }
        let Some(zone) = self.closest_zone(request.name.wire()) else {
            return context
                .code(ResponseCode::REFUSED, Some((ExtendedError::NotAuthoritative, String::new())));
        };
        let Some(version) = self.zones[zone].served() else {
            let text = "no version of the zone may be served".to_owned();
            return context.code(ResponseCode::SERVFAIL, Some((ExtendedError::NotReady, text)));
        };
        let found = lookup(version, request.name.wire(), request.kind);
        let code = match found.outcome {
            Outcome::Found | Outcome::NoData | Outcome::Referral => ResponseCode::NOERROR,
            Outcome::NxDomain => ResponseCode::NXDOMAIN,
            Outcome::TooLong => ResponseCode::YXDOMAIN,
        };
        context.write(&ResponseContent {
            code: Some(code),
            authoritative: found.outcome != Outcome::Referral,
            answer: &found.answer,
            authority: &found.authority,
            additional: &found.additional,
            ..ResponseContent::default()
        })
    }

    /// Checks a transfer request: `None` if the transfer may start, else the response that refuses or replaces it.
    fn transfer(&self, context: &RequestContext<P>, from: Option<Serial>, over_tcp: bool) -> Option<Vec<u8>> {
        let refuse = |code, reason: ExtendedError, text: &str| {
            Some(context.code(code, Some((reason, text.to_owned()))))
        };
        let Some(zone) = self.zone(context.request.name.wire()).map(|zone| &self.zones[zone]) else {
            return refuse(ResponseCode::NOTAUTH, ExtendedError::NotAuthoritative, "");
        };
        let settings = &zone.settings;
        if !settings.transfer_anyone && !context.key().is_some_and(|key| settings.transfer_keys.contains(key))
        {
            return refuse(
                ResponseCode::REFUSED,
                ExtendedError::Prohibited,
                "transfers take a key that may have the zone",
            );
        }
        let Some(version) = zone.served() else {
            return refuse(
                ResponseCode::SERVFAIL,
                ExtendedError::NotReady,
                "no version of the zone may be served",
            );
        };
        if over_tcp {
            return None;
        }
        if from.is_none() {
            return refuse(ResponseCode::FORMERR, ExtendedError::NotSupported, "whole transfers go over TCP");
        }
        // Over UDP only the current SOA is sent, which says whether anything changed (RFC 1995 section 2).
        let soa = version.soa_record().map(|soa| ResponseSet {
            owner: Cow::Owned(soa.name.wire().to_vec()),
            kind: soa.kind,
            ttl: soa.ttl,
            packed: Cow::Owned(pack([&soa.data[..]])),
        });
        let answer: Vec<ResponseSet> = soa.into_iter().collect();
        Some(context.write(&ResponseContent {
            authoritative: true,
            answer: &answer,
            ..ResponseContent::default()
        }))
    }

    fn notify(&mut self, context: &RequestContext<P>, serial: Option<Serial>) -> Vec<u8> {
        let (now, zone) = (self.now, self.zone(context.request.name.wire()));
        let Some(zone_index) = zone else {
            return context
                .code(ResponseCode::NOTAUTH, Some((ExtendedError::NotAuthoritative, String::new())));
        };
        let zone = &mut self.zones[zone_index];
        let primary = zone.settings.primaries.iter().any(|primary| primary.ip() == context.from.ip());
        match &mut zone.secondary {
            Some(secondary) if primary => {
                secondary.notified(now, serial);
                self.notified_zones.push(zone_index);
                context.write(&ResponseContent { authoritative: true, ..ResponseContent::default() })
            }
            _ => context.code(
                ResponseCode::REFUSED,
                Some((ExtendedError::Prohibited, "not from a primary of the zone".to_owned())),
            ),
        }
    }

    /// Checks and applies an update and appends it to the log. A request that can't be an update is answered at once.
    fn update(&mut self, request_id: RequestId, call_number: u64, context: &RequestContext<P>) {
        let RequestBody::Update { prerequisites, updates, digest } = &context.request.body else { return };
        let Some(zone_index) = self.zone(context.request.name.wire()) else {
            return self.answer_update(request_id, call_number, context, Err(ResponseCode::NOTAUTH), None);
        };
        let now = self.now;
        let zone = &mut self.zones[zone_index];
        if zone.rotation_requested {
            zone.deferred_updates.push_back((request_id, call_number));
            return;
        }
        let Some(store) = &mut zone.store else {
            return self.answer_update(request_id, call_number, context, Err(ResponseCode::SERVFAIL), None);
        };
        if zone.settings.grants.is_empty() || context.key().is_none() {
            return self.answer_update(request_id, call_number, context, Err(ResponseCode::REFUSED), None);
        }
        let update = match Update::read(&zone.settings.apex, prerequisites, updates) {
            Ok(update) => update,
            Err(error) => {
                return self.answer_update(
                    request_id,
                    call_number,
                    context,
                    Err(update_response_code(error)),
                    None,
                );
            }
        };
        let lease = context.request.edns.as_ref().and_then(|edns| edns.lease);
        let lease = lease.filter(|secs| *secs > 0).map(|secs| Span::from_secs(f64::from(secs)));
        let outcome = store.update(now, &update, &zone.settings.grants, context.key(), Some(*digest), lease);
        if let Some(entry) = &outcome.entry {
            zone.append_entry(entry);
        }
        let durable_below = zone.store.as_ref().map_or(0, ZoneStore::respond_after);
        let lease = outcome.lease.filter(|_| outcome.result.is_ok());
        zone.pending_updates.push_back(PendingUpdate {
            request_id,
            call_number,
            durable_below,
            result: outcome.result,
            lease,
        });
        self.counts.repeats += u64::from(outcome.duplicate);
    }

    fn answer_update(
        &mut self,
        request_id: RequestId,
        call_number: u64,
        context: &RequestContext<P>,
        result: Result<(), ResponseCode>,
        lease: Option<Span>,
    ) {
        let reason = match result {
            Err(ResponseCode::REFUSED) => {
                Some((ExtendedError::Prohibited, "the key may not change this".to_owned()))
            }
            Err(ResponseCode::SERVFAIL) => {
                Some((ExtendedError::NotReady, "the zone takes no updates now".to_owned()))
            }
            _ => None,
        };
        let octets = context.write(&ResponseContent {
            code: Some(result.err().unwrap_or(ResponseCode::NOERROR)),
            reason,
            lease: lease.map(|span| span.secs().round() as u32),
            ..ResponseContent::default()
        });
        self.ended_calls.push((request_id, call_number, CallOutcome::Succeeded));
        self.ended_runs.push((request_id, RunEnd::Completed(octets)));
    }

    /// Answers the pending updates whose log entries are durable.
    pub fn answer_durable_updates(&mut self) {
        for zone_index in 0..self.zones.len() {
            let durable_below = self.zones[zone_index].durable_below;
            while let Some(pending) = self.zones[zone_index]
                .pending_updates
                .pop_front_if(|pending| pending.durable_below <= durable_below)
            {
                let PendingUpdate { request_id, call_number, result, lease, .. } = pending;
                if let Some(context) = self.contexts.get(&request_id).cloned() {
                    self.answer_update(
                        request_id,
                        call_number,
                        &context,
                        result.map(|_| ()).map_err(update_response_code),
                        lease,
                    );
                }
            }
        }
    }

    /// Records that a zone's log entries below this number are durable. Returns true if queries are
    /// now answered from a new version.
    pub fn entries_durable(&mut self, zone_index: usize, durable_below: u64) -> bool {
        let (now, zone) = (self.now, &mut self.zones[zone_index]);
        zone.durable_below = zone.durable_below.max(durable_below);
        let new_version = zone.store.as_mut().is_some_and(|store| store.entries_durable(durable_below));
        if new_version {
            self.counts.versions += 1;
            if let Some(serial) = zone.store.as_ref().map(|store| store.current().serial()) {
                zone.notify_sender.serial_changed(now, serial);
            }
        }
        new_version
    }

    /// Freezes a zone whose log failed and fails its pending updates.
    pub fn log_failed(&mut self, zone_index: usize, why: &str) {
        let zone = &mut self.zones[zone_index];
        if matches!(zone.store.as_ref().and_then(ZoneStore::frozen), Some(FreezeReason::LogFailed(_))) {
            return;
        }
        error!(
            zone = %zone.settings.apex, why,
            "zone log failed: refusing updates and serving the last durable version"
        );
        if let Some(store) = &mut zone.store {
            store.log_failed(why.to_owned());
        }
        // Whether their entries reached the disk is unknown.
        for PendingUpdate { request_id, call_number, .. } in zone.pending_updates.drain(..) {
            self.ended_calls.push((request_id, call_number, CallOutcome::MaybeExecuted));
            self.ended_runs.push((request_id, RunEnd::Failed));
        }
    }

    /// Takes the log entries that wait to be written, with the index of their zone.
    pub fn batches(&mut self) -> Vec<(usize, Batch)> {
        let batches = self.zones.iter_mut().enumerate();
        batches.filter_map(|(zone_index, zone)| Some((zone_index, zone.journal.take_batch()?))).collect()
    }

    /// Starts a new log generation if the log is too long or `force` is set, once all entries are durable. Returns a copy
    /// of the store for the snapshot, and applies the updates that were deferred.
    pub fn rotate_log(&mut self, zone_index: usize, force: bool) -> Option<(Rotation, ZoneStore)> {
        let (max_log_bytes, zone) = (self.max_log_bytes, &mut self.zones[zone_index]);
        zone.rotation_requested |=
            !zone.snapshot_running && (force || zone.journal.bytes_since_snapshot() > max_log_bytes);
        let store = zone.store.as_ref().filter(|store| store.is_durable())?.clone();
        if !zone.rotation_requested || zone.durable_below < zone.journal.next_number() {
            return None;
        }
        (zone.rotation_requested, zone.snapshot_running) = (false, true);
        let rotation = zone.journal.rotate();
        let deferred: Vec<(RequestId, u64)> = zone.deferred_updates.drain(..).collect();
        for (request_id, call_number) in deferred {
            if let Some(context) = self.contexts.get(&request_id).cloned() {
                self.update(request_id, call_number, &context);
            }
        }
        Some((rotation, store))
    }

    /// Removes the records whose lease expired.
    pub fn expire_leases(&mut self, zone_index: usize) {
        let (now, zone) = (self.now, &mut self.zones[zone_index]);
        if zone.rotation_requested {
            return;
        }
        let Some(store) = &mut zone.store else { return };
        let (entry, expiry) = store.expire_leases(now);
        let apex = &zone.settings.apex;
        match expiry.suspect_changed {
            Some(true) => {
                warn!(
                    %apex,
                    "many leases expired at once: keeping their records, as the network path to the holders may be down"
                )
            }
            Some(false) => info!(%apex, "leases are renewed again: expired records are removed again"),
            None => {}
        }
        self.counts.lapsed += expiry.removed.len() as u64;
        for (name, kind, data) in &expiry.removed {
            info!(%apex, "lease expired, record removed: {name} {kind} {}", kind.format_data(data));
        }
        if let Some(entry) = entry {
            zone.append_entry(&entry);
        }
    }

    /// Applies a reloaded zone file. Returns the versions that are no longer needed, to be dropped in the background.
    pub fn apply_reload(&mut self, zone_index: usize, file: String, prepared: PreparedReload) -> Vec<Zone> {
        let zone = &mut self.zones[zone_index];
        let Some(store) = &mut zone.store else { return Vec::new() };
        let (entry, conflicts, retired) = store.reload(file, prepared);
        for conflict in conflicts {
            warn!(zone = %zone.settings.apex, "zone file conflicts with dynamic updates: {conflict}");
        }
        zone.append_entry(&entry);
        retired
    }

    /// Applies a full transfer from a primary. Returns the versions that are no longer needed.
    pub fn apply_full_transfer(
        &mut self,
        zone_index: usize,
        file: String,
        version: Zone,
        change: Change,
        limits: &settings::Limits,
    ) -> Vec<Zone> {
        let limits = limits.zone_store_limits(self.zones.len());
        let zone = &mut self.zones[zone_index];
        match &mut zone.store {
            Some(store) => {
                let (entry, retired) = store.replace_from_primary(file, version, change);
                zone.append_entry(&entry);
                retired
            }
            None => {
                let mut store = ZoneStore::new(version, file.clone(), limits);
                store.freeze(FreezeReason::Secondary);
                zone.store = Some(store);
                zone.append_entry(&ZoneLogEntry::Followed { base: file });
                Vec::new()
            }
        }
    }

    /// Applies an incremental transfer from a primary; false if it doesn't match the current version.
    pub fn apply_incremental_transfer(&mut self, zone_index: usize, changes: &[Change]) -> bool {
        let zone = &mut self.zones[zone_index];
        let Some(store) = &mut zone.store else { return false };
        match store.apply_from_primary(changes) {
            Ok(entry) => {
                zone.append_entry(&entry);
                true
            }
            Err(mismatch) => {
                warn!(
                    zone = %zone.settings.apex,
                    "incremental transfer can't be applied: {mismatch}; requesting a full transfer"
                );
                false
            }
        }
    }

    /// The refresh step that is due for a secondary zone.
    pub fn next_secondary_action(&mut self, zone_index: usize) -> Option<SecondaryAction> {
        let (now, zone) = (self.now, &mut self.zones[zone_index]);
        let action = zone.secondary.as_mut()?.due(now);
        if action == Some(SecondaryAction::Expire) {
            warn!(
                zone = %zone.settings.apex,
                "secondary zone expired: no primary answered within the SOA expire time; queries get SERVFAIL"
            );
        }
        action
    }

    /// Fails a request whose call can't be made. The call counts as possibly executed, so that it is not retried.
    fn fail_call(&mut self, request_id: RequestId, call_number: u64) -> bool {
        self.ended_calls.push((request_id, call_number, CallOutcome::MaybeExecuted));
        self.ended_runs.push((request_id, RunEnd::Failed));
        true
    }

    /// Keeps a request's context until the request is released.
    fn keep_context(&mut self, request_id: RequestId, context: &Arc<RequestContext<P>>) {
        self.contexts.insert(request_id, context.clone());
    }
}

/// The response code for a refused update (RFC 2136 section 2.2).
fn update_response_code(error: UpdateError) -> ResponseCode {
    match error {
        UpdateError::Malformed => ResponseCode::FORMERR,
        UpdateError::OutOfZone => ResponseCode::NOTZONE,
        UpdateError::NameMissing => ResponseCode::NXDOMAIN,
        UpdateError::NameExists => ResponseCode::YXDOMAIN,
        UpdateError::SetMissing => ResponseCode::NXRRSET,
        UpdateError::SetExists => ResponseCode::YXRRSET,
        UpdateError::NotAllowed => ResponseCode::REFUSED,
        UpdateError::Frozen => ResponseCode::SERVFAIL,
    }
}

impl<P: Transport> Executor<Arc<RequestContext<P>>> for ZoneExecutor<P> {
    fn start(&mut self, request_id: RequestId, work: &mut Arc<RequestContext<P>>) {
        let context = work.clone();
        let octets = match &context.request.body {
            RequestBody::Query => self.query(&context),
            RequestBody::Rejected(code) => context.code(*code, None),
            RequestBody::Notify(serial) => self.notify(&context, *serial),
            RequestBody::Update { .. } => {
                self.keep_context(request_id, work);
                return self.call_requests.push(request_id);
            }
            RequestBody::Transfer(from) => {
                let tcp = context.limits.max_bytes == codec::MAX_MESSAGE_BYTES;
                match self.transfer(&context, *from, tcp) {
                    Some(octets) => octets,
                    None => return self.call_requests.push(request_id),
                }
            }
        };
        self.count(&octets);
        self.ended_runs.push((request_id, RunEnd::Completed(octets)));
    }

    fn stop(&mut self, _: RequestId, _: &mut Arc<RequestContext<P>>) {}

    fn start_call(
        &mut self,
        request_id: RequestId,
        work: &mut Arc<RequestContext<P>>,
        call_number: u64,
        _: Span,
    ) -> bool {
        match &work.request.body {
            RequestBody::Transfer(from) => {
                let zone = self.zone(work.request.name.wire()).map(|zone_index| &self.zones[zone_index]);
                let version = zone.and_then(|zone| Some((zone, zone.served()?.clone())));
                // The zone expired after the request was admitted: the request fails and is not retried.
                let Some((zone, version)) = version else { return self.fail_call(request_id, call_number) };
                let changes = from.and_then(|from| zone.store.as_ref()?.changes_since(from));
                let from = *from;
                let writer =
                    codec::TransferWriter::new(&work.request, version, from, changes, work.signer.clone());
                work.streaming.store(true, Ordering::Relaxed);
                self.counts.transfers += 1;
                // If the connection has closed, the call fails now, although the connection's `Closed` event may not have been
                // handled yet.
                work.peer.start_transfer(Box::new(OutgoingTransfer { request_id, call_number, writer }))
                    || self.fail_call(request_id, call_number)
            }
            _ => {
                let context = work.clone();
                self.update(request_id, call_number, &context);
                true
            }
        }
    }

    fn cancel_call(&mut self, work: &mut Arc<RequestContext<P>>, call_number: u64) {
        if work.streaming.load(Ordering::Relaxed) {
            return work.peer.abort();
        }
        for zone in &mut self.zones {
            if let Some(position) =
                zone.pending_updates.iter().position(|pending| pending.call_number == call_number)
            {
                let Some(PendingUpdate { request_id, .. }) = zone.pending_updates.remove(position) else {
                    continue;
                };
                self.ended_calls.push((request_id, call_number, CallOutcome::MaybeExecuted));
            }
            if let Some(position) = zone.deferred_updates.iter().position(|(_, call)| *call == call_number) {
                let Some((request_id, _)) = zone.deferred_updates.remove(position) else { continue };
                self.ended_calls.push((request_id, call_number, CallOutcome::NotExecuted));
            }
        }
    }

    fn release(&mut self, request_id: RequestId, _: Arc<RequestContext<P>>) {
        self.contexts.remove(&request_id);
    }
}
