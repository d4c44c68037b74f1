//! Parses and writes DNS messages (RFC 1035 section 4, RFC 2136, RFC 6891), on top of the `domain` library. All range
//! checks of received messages are made here.

use crate::tsig::{Signer, TsigRecord};
use domain::base::iana::{Class, Opcode, Rcode, Rtype};
use domain::base::message_builder::{AdditionalBuilder, PushError};
use domain::base::rdata::{ComposeRecordData, UnknownRecordData};
use domain::base::{Message, MessageBuilder, ParsedName, ParsedRecord, StaticCompressor, Ttl};
use domain::rdata::AllRecordData;
use lynxtally_zones::change::Change;
use lynxtally_zones::lookup::ResponseSet;
use lynxtally_zones::update::{UpdateClass, UpdateRecord};
use lynxtally_zones::{Name, RecordType, Serial};
use lynxtally_zones::{Record, Zone};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;
use std::fmt;
use std::iter::once;
use std::sync::Arc;

/// The length of the header, which is the shortest message.
pub const HEADER_BYTES: usize = 12;
/// The longest UDP response to a client that sends no EDNS (RFC 1035 section 4.2.1).
pub const MAX_UDP_BYTES_WITHOUT_EDNS: usize = 512;
/// The longest message over TCP.
pub const MAX_MESSAGE_BYTES: usize = 65_535;

const TYPE_OPT: u16 = 41;
const TYPE_TSIG: u16 = 250;
const OPTION_COOKIE: u16 = 10;
const OPTION_UPDATE_LEASE: u16 = 2;
const OPTION_EXTENDED_ERROR: u16 = 15;

/// A response code (RFC 1035, 2136, 6891 and 8945).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseCode(pub u16);

impl ResponseCode {
    /// No error.
    pub const NOERROR: Self = Self(0);
    /// The request is malformed.
    pub const FORMERR: Self = Self(1);
    /// The server failed, or can't answer now.
    pub const SERVFAIL: Self = Self(2);
    /// The name does not exist.
    pub const NXDOMAIN: Self = Self(3);
    /// The kind of request is not implemented.
    pub const NOTIMP: Self = Self(4);
    /// Refused by policy.
    pub const REFUSED: Self = Self(5);
    /// A name exists that should not.
    pub const YXDOMAIN: Self = Self(6);
    /// An RRset exists that should not.
    pub const YXRRSET: Self = Self(7);
    /// An RRset that should exist does not.
    pub const NXRRSET: Self = Self(8);
    /// Not authoritative, or not authenticated.
    pub const NOTAUTH: Self = Self(9);
    /// A name is outside the zone.
    pub const NOTZONE: Self = Self(10);
    /// The EDNS version is not supported.
    pub const BADVERS: Self = Self(16);
}

impl fmt::Display for ResponseCode {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let names = [
            "NOERROR", "FORMERR", "SERVFAIL", "NXDOMAIN", "NOTIMP", "REFUSED", "YXDOMAIN", "YXRRSET",
            "NXRRSET", "NOTAUTH", "NOTZONE",
        ];
        match names.get(usize::from(self.0)) {
            Some(name) => f.write_str(name),
            None => write!(f, "RCODE{}", self.0),
        }
    }
}

/// Extended DNS error codes (RFC 8914).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum ExtendedError {
    /// Another error, described by the text.
    Other = 0,
    /// The zone can't be served now.
    NotReady = 14,
    /// The client is not allowed to do this.
    Prohibited = 18,
    /// The server is not authoritative for the zone.
    NotAuthoritative = 20,
    /// The operation is not supported.
    NotSupported = 21,
}

/// The kind of a request, with the content that only this kind has.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestBody {
    /// A query.
    Query,
    /// A transfer: of the full zone (AXFR), or of the changes since a serial (IXFR).
    Transfer(Option<Serial>),
    /// A NOTIFY: the primary may have a newer version, with this serial if it is given.
    Notify(Option<Serial>),
    /// A dynamic update.
    Update {
        /// The prerequisites.
        prerequisites: Vec<UpdateRecord>,
        /// The updates.
        updates: Vec<UpdateRecord>,
        /// Identifies a repeat of the same update.
        digest: [u8; 16],
    },
    /// A well-formed request that is refused with this code.
    Rejected(ResponseCode),
}

/// The EDNS record of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Edns {
    /// The longest UDP response that the client accepts.
    pub udp_payload_bytes: u16,
    /// The EDNS version.
    pub version: u8,
    /// The client cookie, and the server cookie, which is empty if the client has none yet.
    pub cookie: Option<([u8; 8], SmallVec<[u8; 16]>)>,
    /// The lease that an update asks for its records, in seconds.
    pub lease: Option<u32>,
}

/// A parsed request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The message ID.
    pub id: u16,
    /// The opcode.
    pub opcode: u8,
    /// The RD flag, which the response copies.
    pub recursion_desired: bool,
    /// The name that is asked for; in an update the zone.
    pub name: Name,
    /// The record type that is asked for.
    pub kind: RecordType,
    /// The question section as received.
    pub question_octets: SmallVec<[u8; 48]>,
    /// The EDNS record of a message.
    pub edns: Option<Edns>,
    /// What is asked for.
    pub body: RequestBody,
    /// The TSIG record.
    pub tsig: Option<TsigRecord>,
    /// The length of the message.
    pub length: usize,
}

/// What to do with a message that is not a valid request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestError {
    /// Send nothing: the message is shorter than a header, or is itself a response.
    Ignore,
    /// Send this response: the message is malformed.
    Respond(Vec<u8>),
}

/// What a request takes in memory besides its message: the parsed request, its context, and its entries in tables.
const REQUEST_BYTES: usize = 1024;
/// What a parsed record of an update takes: its fields, and two allocations for its name and its data.
const UPDATE_RECORD_BYTES: usize = 192;

impl Request {
    /// About how much memory the request takes until it has its response, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let records = match &self.body {
            RequestBody::Update { prerequisites, updates, .. } => prerequisites.len() + updates.len(),
            _ => 0,
        };
        REQUEST_BYTES + self.length + records * UPDATE_RECORD_BYTES
    }

    /// Parses a request. The work is bounded by the message's length, also for compression loops and truncated messages.
    pub fn read(octets: &[u8]) -> Result<Self, RequestError> {
        if octets.len() < HEADER_BYTES || octets[2] & 0x80 != 0 {
            return Err(RequestError::Ignore);
        }
        Self::parse(octets)
            .ok_or_else(|| RequestError::Respond(header_only_response(octets, ResponseCode::FORMERR)))
    }

    fn parse(octets: &[u8]) -> Option<Self> {
        let message = Message::from_slice(octets).ok()?;
        let header = message.header();
        let opcode = header.opcode();
        let question = message.sole_question().ok()?;
        let name = name_of(question.qname())?;
        let kind = RecordType(question.qtype().to_int());
        let end = message.question().answer().ok()?.pos();
        let mut request = Self {
            id: header.id(),
            opcode: opcode.to_int(),
            recursion_desired: header.rd(),
            name,
            kind,
            question_octets: SmallVec::from_slice(&octets[HEADER_BYTES..end]),
            edns: None,
            body: RequestBody::Query,
            tsig: None,
            length: octets.len(),
        };
        let counts = message.header_counts();
        let plain = opcode == Opcode::QUERY && counts.ancount() == 0 && counts.nscount() == 0;
        let tsig_offset = request.additional(message, octets)?;
        request.body = if question.qclass() != Class::IN {
            RequestBody::Rejected(ResponseCode::REFUSED)
        } else if plain && kind == RecordType::AXFR {
            RequestBody::Transfer(None)
        } else if opcode == Opcode::QUERY && kind == RecordType::IXFR {
            let from = message.authority().ok()?.next().and_then(Result::ok).and_then(|r| soa_serial_of(&r));
            RequestBody::Transfer(Some(from?))
        } else if plain {
            RequestBody::Query
        } else if opcode == Opcode::NOTIFY {
            let serial = message.answer().ok()?.next().and_then(Result::ok).and_then(|r| soa_serial_of(&r));
            RequestBody::Notify(serial)
        } else if opcode == Opcode::UPDATE {
            if kind != RecordType::SOA {
                return None;
            }
            let prerequisites =
                message.answer().ok()?.map(|record| update_record(&record.ok()?)).collect::<Option<_>>()?;
            let updates = message
                .authority()
                .ok()?
                .map(|record| update_record(&record.ok()?))
                .collect::<Option<_>>()?;
            RequestBody::Update {
                prerequisites,
                updates,
                digest: update_digest(octets, tsig_offset, &request.tsig),
            }
        } else {
            RequestBody::Rejected(ResponseCode::NOTIMP)
        };
        Some(request)
    }

    /// Parses the additional section. Returns the offset of the TSIG record, or the message's length if there is none.
    fn additional(&mut self, message: &Message<[u8]>, octets: &[u8]) -> Option<usize> {
        let mut records_left = message.additional().ok()?;
        let mut at = records_left.pos();
        while let Some(record) = records_left.next() {
            let record = record.ok()?;
            match record.rtype().to_int() {
                // Only one TSIG record is permitted, as the last record (RFC 8945 section 5.1).
                _ if self.tsig.is_some() => return None,
                TYPE_OPT if self.edns.is_none() => self.edns = Some(edns(&record)?),
                TYPE_OPT => return None,
                TYPE_TSIG => {
                    let key = name_of(&record.owner())?;
                    let data = record.to_record::<UnknownRecordData<_>>().ok()??;
                    self.tsig = Some(TsigRecord::read(key, data.data().data(), at)?);
                }
                _ => {}
            }
            at = records_left.pos();
        }
        let end = self.tsig.as_ref().map_or(octets.len(), |tsig| tsig.offset);
        // A message with data after the last record is malformed.
        (at == octets.len()).then_some(end)
    }

    /// The longest UDP response that both the client and this server allow.
    pub fn max_udp_response_bytes(&self, max_bytes: usize) -> usize {
        self.edns.as_ref().map_or(MAX_UDP_BYTES_WITHOUT_EDNS, |edns| {
            usize::from(edns.udp_payload_bytes).clamp(MAX_UDP_BYTES_WITHOUT_EDNS, max_bytes)
        })
    }
}

fn name_of(name: &ParsedName<&[u8]>) -> Option<Name> {
    let mut wire = SmallVec::<[u8; 64]>::new();
    for label in name.iter() {
        wire.push(label.len() as u8);
        wire.extend_from_slice(label.as_slice());
    }
    Name::from_wire(&wire).ok()
}

type Parsed<'a> = ParsedRecord<'a, [u8]>;

fn edns(record: &Parsed) -> Option<Edns> {
    let mut edns = Edns {
        udp_payload_bytes: record.class().to_int(),
        version: (record.ttl().as_secs() >> 16) as u8,
        ..Edns::default()
    };
    let data = record.to_record::<UnknownRecordData<_>>().ok()??;
    let mut rest: &[u8] = data.data().data();
    while let Some((head, after)) = rest.split_first_chunk::<4>() {
        let code = u16::from_be_bytes([head[0], head[1]]);
        let (value, after) = after.split_at_checked(usize::from(u16::from_be_bytes([head[2], head[3]])))?;
        match (code, value.len()) {
            // Cookies of other lengths are malformed (RFC 7873 section 5.2.2).
            (OPTION_COOKIE, 8 | 16..=40) => {
                edns.cookie = Some((value[..8].try_into().ok()?, SmallVec::from_slice(&value[8..])));
            }
            (OPTION_COOKIE, _) => return None,
            (OPTION_UPDATE_LEASE, 4 | 8) => {
                edns.lease = Some(u32::from_be_bytes(value[..4].try_into().ok()?))
            }
            (OPTION_UPDATE_LEASE, _) => return None,
            _ => {}
        }
        rest = after;
    }
    rest.is_empty().then_some(edns)
}

/// A record's data with compressed names expanded.
fn data_of(record: &Parsed) -> Option<Vec<u8>> {
    // The record types whose data may hold compressed names (RFC 3597 section 4).
    const COMPRESSED: [u16; 12] = [2, 5, 6, 12, 14, 15, 17, 18, 33, 35, 36, 39];
    let plain = record.to_record::<UnknownRecordData<_>>().ok()??;
    if record.rdlen() == 0 || !COMPRESSED.contains(&record.rtype().to_int()) {
        return Some(plain.data().data().to_vec());
    }
    let full = record.to_any_record::<AllRecordData<_, ParsedName<_>>>().ok()?;
    let mut data = Vec::with_capacity(64);
    full.data().compose_rdata(&mut data).ok()?;
    Some(data)
}

fn update_record(record: &Parsed) -> Option<UpdateRecord> {
    let sense = match record.class() {
        Class::IN => UpdateClass::Zone,
        Class::NONE => UpdateClass::None,
        Class::ANY => UpdateClass::Any,
        _ => UpdateClass::Other,
    };
    Some(UpdateRecord {
        name: name_of(&record.owner())?,
        kind: RecordType(record.rtype().to_int()),
        class: sense,
        ttl: record.ttl().as_secs(),
        data: data_of(record)?,
    })
}

fn soa_serial_of(record: &Parsed) -> Option<Serial> {
    if record.rtype() != Rtype::SOA {
        return None;
    }
    lynxtally_zones::Soa::parse(&data_of(record)?).map(|soa| soa.serial)
}

/// Identifies a repeated update: a hash of the key's name and of the message without its signature.
fn update_digest(octets: &[u8], end: usize, tsig: &Option<TsigRecord>) -> [u8; 16] {
    let mut hash = Sha256::new();
    if let Some(tsig) = tsig {
        hash.update(tsig.key.wire());
    }
    // The count of additional records is left out: it includes the TSIG record.
    hash.update(&octets[..10]);
    hash.update(&octets[HEADER_BYTES..end]);
    let digest = hash.finalize();
    digest[..16].try_into().expect("32 octets")
}

/// A response that is only a header, for a malformed request.
fn header_only_response(octets: &[u8], code: ResponseCode) -> Vec<u8> {
    let mut answer = vec![0; HEADER_BYTES];
    answer[..2].copy_from_slice(&octets[..2]);
    answer[2] = 0x80 | (octets[2] & 0x79);
    answer[3] = code.0 as u8 & 0xf;
    answer
}

/// The content of a response to write.
#[derive(Clone, Debug, Default)]
pub struct ResponseContent<'a> {
    /// The response code; `None` means NOERROR.
    pub code: Option<ResponseCode>,
    /// Whether the server is authoritative for the answer.
    pub authoritative: bool,
    /// The answer section.
    pub answer: &'a [ResponseSet<'a>],
    /// The authority section.
    pub authority: &'a [ResponseSet<'a>],
    /// The additional section, without EDNS and TSIG.
    pub additional: &'a [ResponseSet<'a>],
    /// The extended error and its text.
    pub reason: Option<(ExtendedError, String)>,
    /// The client cookie followed by the server cookie, which proves the client's address in later requests.
    pub cookie: Option<[u8; 24]>,
    /// The lease granted to an update's records, in seconds.
    pub lease: Option<u32>,
}

/// The size limits of a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// The longest response; a longer one is truncated.
    pub max_bytes: usize,
    /// The longest UDP message that this server accepts, announced by EDNS.
    pub udp_payload_bytes: u16,
}

type Builder = AdditionalBuilder<StaticCompressor<Vec<u8>>>;

/// Writes a response. Additional records that don't fit are left out; if others don't fit, the response has no records and
/// the TC flag.
pub fn write_response(
    request: &Request,
    content: &ResponseContent,
    limits: ResponseLimits,
    signer: Option<&mut Signer>,
) -> Vec<u8> {
    let signature = signer.as_ref().map_or(0, |signer| signer.record_bytes());
    let max_bytes = limits.max_bytes.min(MAX_MESSAGE_BYTES).saturating_sub(signature);
    // A truncated response has no cookie and no extended error, so that it fits into small limits.
    let build_with = |truncated: bool| {
        let included = if truncated {
            ResponseContent { reason: None, cookie: None, ..content.clone() }
        } else {
            content.clone()
        };
        build(request, &included, max_bytes, limits, truncated)
    };
    let mut octets = build_with(false).or_else(|| build_with(true)).unwrap_or_else(|| {
        let mut octets = vec![0; HEADER_BYTES];
        octets[..2].copy_from_slice(&request.id.to_be_bytes());
        octets[2] = 0x82;
        octets
    });
    if let Some(signer) = signer {
        signer.sign(&mut octets);
    }
    octets
}

fn build(
    request: &Request,
    content: &ResponseContent,
    max_bytes: usize,
    limits: ResponseLimits,
    truncated: bool,
) -> Option<Vec<u8>> {
    let code = content.code.unwrap_or(ResponseCode::NOERROR);
    let target = StaticCompressor::new(Vec::with_capacity(max_bytes.min(MAX_UDP_BYTES_WITHOUT_EDNS)));
    let mut builder = MessageBuilder::from_target(target).ok()?;
    let header = builder.header_mut();
    header.set_id(request.id);
    header.set_qr(true);
    header.set_opcode(Opcode::from_int(request.opcode));
    header.set_rd(request.recursion_desired);
    header.set_aa(content.authoritative);
    header.set_tc(truncated);
    header.set_rcode(Rcode::masked_from_int(code.0 as u8));
    // The library's limit is exclusive.
    builder.set_push_limit(max_bytes + 1);
    let mut question = builder.question();
    let name = domain::base::Name::from_octets(&request.question_octets[..request.question_octets.len() - 4]);
    let class = Class::from_int(u16::from_be_bytes(*request.question_octets.last_chunk::<2>()?));
    match name {
        Ok(name) => question.push((name, Rtype::from_int(request.kind.0), class)).ok()?,
        // The question's name is compressed: it is written in full.
        Err(_) => {
            let name = domain::base::Name::from_octets(request.name.wire()).ok()?;
            question.push((name, Rtype::from_int(request.kind.0), class)).ok()?;
        }
    }
    let mut answer = question.answer();
    if !truncated {
        push_records(content.answer, |record| answer.push(record))?;
    }
    let mut authority = answer.authority();
    if !truncated {
        push_records(content.authority, |record| authority.push(record))?;
    }
    let mut additional = authority.additional();
    if request.edns.is_some() {
        push_edns(&mut additional, content, code, limits.udp_payload_bytes)?;
    }
    if !truncated {
        // Additional records may be left out without the TC flag (RFC 2181 section 9).
        let _ = push_records(content.additional, |record| additional.push(record));
    }
    Some(additional.finish().into_target())
}

type RecordParts<'a> = (&'a domain::base::Name<&'a [u8]>, Class, Ttl, UnknownRecordData<&'a [u8]>);

fn push_records(
    records: &[ResponseSet],
    mut push: impl FnMut(RecordParts) -> Result<(), PushError>,
) -> Option<()> {
    for entry in records {
        let owner = domain::base::Name::from_octets(&*entry.owner).ok()?;
        for data in entry.records() {
            let data = UnknownRecordData::from_octets(Rtype::from_int(entry.kind.0), data).ok()?;
            push((&owner, Class::IN, Ttl::from_secs(entry.ttl), data)).ok()?;
        }
    }
    Some(())
}

fn push_edns(
    additional: &mut Builder,
    content: &ResponseContent,
    code: ResponseCode,
    udp_payload_bytes: u16,
) -> Option<()> {
    let push_option = |opt: &mut domain::base::message_builder::OptBuilder<_>, number: u16, value: &[u8]| {
        opt.push_raw_option(number.into(), value.len() as u16, |target| {
            domain::dep::octseq::OctetsBuilder::append_slice(target, value)
        })
    };
    additional
        .opt(|opt| {
            opt.set_udp_payload_size(udp_payload_bytes);
            opt.set_rcode(domain::base::iana::OptRcode::masked_from_int(code.0));
            if let Some(cookie) = &content.cookie {
                push_option(opt, OPTION_COOKIE, cookie)?;
            }
            if let Some(lease) = content.lease {
                push_option(opt, OPTION_UPDATE_LEASE, &lease.to_be_bytes())?;
            }
            if let Some((reason, text)) = &content.reason {
                let mut value = (*reason as u16).to_be_bytes().to_vec();
                value.extend_from_slice(text.as_bytes());
                push_option(opt, OPTION_EXTENDED_ERROR, &value)?;
            }
            Ok(())
        })
        .ok()
}

/// The size up to which each message of a transfer is filled.
const TRANSFER_MESSAGE_BYTES: usize = 16 * 1024;

/// Writes a transfer, one message at a time (RFC 5936, RFC 1995). All of it comes from one version of the zone.
pub struct TransferWriter {
    id: u16,
    question_octets: SmallVec<[u8; 48]>,
    kind: RecordType,
    records: Box<dyn Iterator<Item = Record> + Send>,
    /// A record that did not fit into the last message.
    deferred_record: Option<Record>,
    first: bool,
    signer: Option<Signer>,
}

/// The removed or the added records of a change, with the SOA first as IXFR requires.
fn soa_first(records: &[Record]) -> impl Iterator<Item = Record> + use<> {
    let mut records = records.to_vec();
    records.sort_by_key(|record| record.kind != RecordType::SOA);
    records.into_iter()
}

impl TransferWriter {
    /// A transfer of `version` in full, or of `changes` since the serial `from` if they are known and shorter.
    pub fn new(
        request: &Request,
        version: Arc<Zone>,
        from: Option<Serial>,
        changes: Option<Vec<Arc<Change>>>,
        signer: Option<Signer>,
    ) -> Self {
        let soa = version.soa_record();
        let shorter = |changes: &Vec<Arc<Change>>| {
            changes.iter().map(|change| change.len()).sum::<usize>() <= version.record_count()
        };
        let newer = from.is_none_or(|from| version.serial().newer_than(from));
        let records: Box<dyn Iterator<Item = Record> + Send> = match changes.filter(shorter) {
            // The client is up to date: the response is the SOA alone.
            _ if !newer => Box::new(soa.into_iter()),
            Some(changes) => {
                let steps = changes.into_iter().flat_map(|change| {
                    soa_first(&change.removed).chain(soa_first(&change.added)).collect::<Vec<_>>()
                });
                Box::new(soa.clone().into_iter().chain(steps).chain(soa))
            }
            None => {
                let body = version.walk().flat_map(|(name, node)| {
                    let sets = node.sets().iter().filter(|set| set.kind != RecordType::SOA);
                    let records = sets.flat_map(|set| {
                        let record = |data: &[u8]| Record {
                            name: name.clone(),
                            kind: set.kind,
                            ttl: set.ttl,
                            data: data.to_vec(),
                        };
                        set.records().map(record).collect::<Vec<_>>()
                    });
                    records.collect::<Vec<_>>()
                });
                Box::new(soa.clone().into_iter().chain(body).chain(soa))
            }
        };
        Self {
            id: request.id,
            question_octets: request.question_octets.clone(),
            kind: request.kind,
            records,
            deferred_record: None,
            first: true,
            signer,
        }
    }

    /// The next message; `None` after the last one.
    pub fn next_message(&mut self) -> Option<Vec<u8>> {
        let first = self.deferred_record.take().or_else(|| self.records.next())?;
        let target = StaticCompressor::new(Vec::with_capacity(TRANSFER_MESSAGE_BYTES + 1024));
        let mut builder = MessageBuilder::from_target(target).ok()?;
        let header = builder.header_mut();
        header.set_id(self.id);
        header.set_qr(true);
        header.set_aa(true);
        let mut question = builder.question();
        if std::mem::take(&mut self.first) {
            let name =
                domain::base::Name::from_octets(&self.question_octets[..self.question_octets.len() - 4])
                    .ok()?;
            question.push((name, Rtype::from_int(self.kind.0), Class::IN)).ok()?;
        }
        let mut answer = question.answer();
        let mut push = |record: &Record| {
            let owner = domain::base::Name::from_octets(record.name.wire()).ok()?;
            let data =
                UnknownRecordData::from_octets(Rtype::from_int(record.kind.0), &record.data[..]).ok()?;
            answer.push((&owner, Class::IN, Ttl::from_secs(record.ttl), data)).ok()
        };
        push(&first)?;
        let mut size = first.data.len();
        for record in once(()).cycle().map_while(|()| self.records.next()) {
            size += record.data.len() + 12 + record.name.wire().len().min(24);
            if size > TRANSFER_MESSAGE_BYTES || push(&record).is_none() {
                self.deferred_record = Some(record);
                break;
            }
        }
        let mut octets = answer.finish().into_target();
        if let Some(signer) = &mut self.signer {
            signer.sign(&mut octets);
        }
        Some(octets)
    }
}

/// The content of a request to write.
#[derive(Clone, Debug)]
pub struct OutgoingRequest<'a> {
    /// The message ID.
    pub id: u16,
    /// The name to ask for; in an update, NOTIFY or transfer the zone.
    pub name: &'a Name,
    /// The record type to ask for.
    pub kind: RecordType,
    /// The opcode: 0 for a query or transfer, 4 for NOTIFY, 5 for an update.
    pub opcode: u8,
    /// In an IXFR request the client's current SOA, in a NOTIFY the new one.
    pub soa: Option<&'a Record>,
    /// The prerequisites of an update.
    pub prerequisites: &'a [UpdateRecord],
    /// The changes of an update.
    pub updates: &'a [UpdateRecord],
    /// The lease that an update asks for its records, in seconds.
    pub lease: Option<u32>,
    /// The client cookie, followed by the server cookie if it is known.
    pub cookie: Option<&'a [u8]>,
}

impl OutgoingRequest<'_> {
    /// Writes the request, signed if there is a signer.
    pub fn write(&self, signer: Option<&mut Signer>) -> Vec<u8> {
        let mut octets = self.build().unwrap_or_default();
        if let Some(signer) = signer {
            signer.sign(&mut octets);
            signer.expect_response();
        }
        octets
    }

    fn build(&self) -> Option<Vec<u8>> {
        let mut builder = MessageBuilder::from_target(StaticCompressor::new(Vec::new())).ok()?;
        let header = builder.header_mut();
        header.set_id(self.id);
        header.set_opcode(Opcode::from_int(self.opcode));
        header.set_aa(self.opcode == 4);
        let mut question = builder.question();
        let name = domain::base::Name::from_octets(self.name.wire()).ok()?;
        question.push((name, Rtype::from_int(self.kind.0), Class::IN)).ok()?;
        fn class(sense: UpdateClass) -> Class {
            match sense {
                UpdateClass::Zone | UpdateClass::Other => Class::IN,
                UpdateClass::None => Class::NONE,
                UpdateClass::Any => Class::ANY,
            }
        }
        let to_update_record = |soa: &&Record| UpdateRecord {
            name: soa.name.clone(),
            kind: soa.kind,
            class: UpdateClass::Zone,
            ttl: soa.ttl,
            data: soa.data.clone(),
        };
        let soa = self.soa.iter().map(to_update_record).collect::<Vec<_>>();
        let (first, second) =
            if self.opcode == 4 { (&soa[..], &[][..]) } else { (self.prerequisites, &soa[..]) };
        type UpdateRecordParts<'a> =
            (&'a domain::base::Name<&'a [u8]>, Class, Ttl, UnknownRecordData<&'a [u8]>);
        let push_all =
            |records: &[UpdateRecord], push: &mut dyn FnMut(UpdateRecordParts) -> Result<(), PushError>| {
                for update_record in records {
                    let owner = domain::base::Name::from_octets(update_record.name.wire()).ok()?;
                    let data = UnknownRecordData::from_octets(
                        Rtype::from_int(update_record.kind.0),
                        &update_record.data[..],
                    )
                    .ok()?;
                    push((&owner, class(update_record.class), Ttl::from_secs(update_record.ttl), data))
                        .ok()?;
                }
                Some(())
            };
        let mut answer = question.answer();
        push_all(first, &mut |record| answer.push(record))?;
        let mut authority = answer.authority();
        push_all(second, &mut |record| authority.push(record))?;
        push_all(self.updates, &mut |record| authority.push(record))?;
        let mut additional = authority.additional();
        if self.opcode != 4 {
            let done = additional.opt(|opt| {
                opt.set_udp_payload_size(1232);
                for (number, value) in [
                    (OPTION_COOKIE, self.cookie.map(<[u8]>::to_vec)),
                    (OPTION_UPDATE_LEASE, self.lease.map(|l| l.to_be_bytes().to_vec())),
                ] {
                    if let Some(value) = value {
                        opt.push_raw_option(number.into(), value.len() as u16, |target| {
                            domain::dep::octseq::OctetsBuilder::append_slice(target, &value)
                        })?;
                    }
                }
                Ok(())
            });
            done.ok()?;
        }
        Some(additional.finish().into_target())
    }
}

/// A parsed response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The message ID.
    pub id: u16,
    /// The response code, with its extension from EDNS.
    pub code: u16,
    /// Whether the response was truncated.
    pub truncated: bool,
    /// Whether the server is authoritative for the answer.
    pub authoritative: bool,
    /// The records of the answer, authority and additional sections.
    pub sections: [Vec<Record>; 3],
    /// The TSIG record.
    pub tsig: Option<TsigRecord>,
    /// The client cookie and the server cookie.
    pub cookie: Option<([u8; 8], SmallVec<[u8; 16]>)>,
    /// The lease granted to an update's records, in seconds.
    pub lease: Option<u32>,
    /// The extended error (RFC 8914): code and text.
    pub reason: Option<(u16, String)>,
}

impl Response {
    /// Parses a response; `None` if the message is a request or malformed.
    pub fn read(octets: &[u8]) -> Option<Self> {
        let message = Message::from_slice(octets).ok()?;
        let header = message.header();
        if !header.qr() {
            return None;
        }
        let mut response = Self {
            id: header.id(),
            code: u16::from(header.rcode().to_int()),
            truncated: header.tc(),
            authoritative: header.aa(),
            ..Self::default()
        };
        let (_, answer, authority, additional) = message.sections().ok()?;
        for (n, records_left) in [answer, authority].into_iter().enumerate() {
            for record in records_left {
                response.sections[n].push(record_of(&record.ok()?)?);
            }
        }
        let mut records_left = additional;
        let mut at = records_left.pos();
        while let Some(record) = records_left.next() {
            let record = record.ok()?;
            match record.rtype().to_int() {
                TYPE_OPT => {
                    response.code |= ((record.ttl().as_secs() >> 24) as u16) << 4;
                    let edns = edns(&record)?;
                    (response.cookie, response.lease) = (edns.cookie, edns.lease);
                    response.reason = extended_error_of(&record);
                }
                TYPE_TSIG => {
                    let data = record.to_record::<UnknownRecordData<_>>().ok()??;
                    response.tsig =
                        Some(TsigRecord::read(name_of(&record.owner())?, data.data().data(), at)?);
                }
                _ => response.sections[2].push(record_of(&record)?),
            }
            at = records_left.pos();
        }
        Some(response)
    }
}

fn extended_error_of(record: &Parsed) -> Option<(u16, String)> {
    let data = record.to_record::<UnknownRecordData<_>>().ok()??;
    let mut rest: &[u8] = data.data().data();
    while let Some((head, after)) = rest.split_first_chunk::<4>() {
        let (value, after) = after.split_at_checked(usize::from(u16::from_be_bytes([head[2], head[3]])))?;
        if u16::from_be_bytes([head[0], head[1]]) == OPTION_EXTENDED_ERROR && value.len() >= 2 {
            let text = String::from_utf8_lossy(&value[2..]).into_owned();
            return Some((u16::from_be_bytes([value[0], value[1]]), text));
        }
        rest = after;
    }
    None
}

fn record_of(record: &Parsed) -> Option<Record> {
    let kind = RecordType(record.rtype().to_int());
    Some(Record {
        name: name_of(&record.owner())?,
        kind,
        ttl: record.ttl().as_secs(),
        data: kind.canonical_data(&data_of(record)?)?,
    })
}
