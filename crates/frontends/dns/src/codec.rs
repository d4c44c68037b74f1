//! Messages as octets (RFC 1035 section 4, RFC 2136, RFC 6891) and as small typed values. It knows no socket.
//! Reading and writing stand on the library `domain`; what is checked for range is checked here, once.

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

/// The shortest message, and the longest over UDP without another word (RFC 1035 section 4.2.1).
pub const HEADER_BYTES: usize = 12;
/// See there.
pub const MAX_UDP_BYTES_WITHOUT_EDNS: usize = 512;
/// The longest message at all.
pub const MAX_MESSAGE_BYTES: usize = 65_535;

const TYPE_OPT: u16 = 41;
const TYPE_TSIG: u16 = 250;
const OPTION_COOKIE: u16 = 10;
const OPTION_UPDATE_LEASE: u16 = 2;
const OPTION_EXTENDED_ERROR: u16 = 15;

/// Result codes, by RFC 1035, 2136, 6891 and 8945.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseCode(pub u16);

impl ResponseCode {
    /// No error.
    pub const NOERROR: Self = Self(0);
    /// It can't be read.
    pub const FORMERR: Self = Self(1);
    /// Failed here.
    pub const SERVFAIL: Self = Self(2);
    /// The name is not there.
    pub const NXDOMAIN: Self = Self(3);
    /// Not done here.
    pub const NOTIMP: Self = Self(4);
    /// Refused.
    pub const REFUSED: Self = Self(5);
    /// A name is there that must not be.
    pub const YXDOMAIN: Self = Self(6);
    /// A set is there that must not be.
    pub const YXRRSET: Self = Self(7);
    /// A set is missing.
    pub const NXRRSET: Self = Self(8);
    /// Not authoritative, or not authenticated.
    pub const NOTAUTH: Self = Self(9);
    /// Not in the zone.
    pub const NOTZONE: Self = Self(10);
    /// A version of EDNS that is not known here.
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

/// Why a refusal: RFC 8914's codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum ExtendedError {
    /// Another one; the text says which.
    Other = 0,
    /// The zone is known and can't be served now.
    NotReady = 14,
    /// Who asks may not.
    Prohibited = 18,
    /// Not a zone of this server.
    NotAuthoritative = 20,
    /// Not done here.
    NotSupported = 21,
}

/// What a message asks.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestBody {
    /// A question.
    Query,
    /// A transfer of the whole zone, or of what changed since a version.
    Transfer(Option<Serial>),
    /// A newer version may be there.
    Notify(Option<Serial>),
    /// An update.
    Update {
        /// The prerequisites.
        prerequisites: Vec<UpdateRecord>,
        /// The updates.
        updates: Vec<UpdateRecord>,
        /// By what a repeat is known.
        digest: [u8; 16],
    },
    /// It is whole, but not for this server: the code says why.
    Rejected(ResponseCode),
}

/// What EDNS says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Edns {
    /// The longest answer that can be taken over UDP.
    pub udp_payload_bytes: u16,
    /// The version.
    pub version: u8,
    /// The client's cookie and the server's, if it brings one.
    pub cookie: Option<([u8; 8], SmallVec<[u8; 16]>)>,
    /// For how many seconds an update's records are to be held.
    pub lease: Option<u32>,
}

/// One message, read.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its number.
    pub id: u16,
    /// The kind of message.
    pub opcode: u8,
    /// Whether recursion is wished for; it comes back as it was.
    pub recursion_desired: bool,
    /// The name asked for, or the zone.
    pub name: Name,
    /// The kind asked for.
    pub kind: RecordType,
    /// The question as it came.
    pub question_octets: SmallVec<[u8; 48]>,
    /// What EDNS says.
    pub edns: Option<Edns>,
    /// What is asked.
    pub body: RequestBody,
    /// Its TSIG.
    pub tsig: Option<TsigRecord>,
    /// How long the message is.
    pub length: usize,
}

/// Why octets are not answered with more than a code, or not at all.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestError {
    /// Too short to have a number, or an answer itself: nothing goes back.
    Ignore,
    /// It can't be read; this goes back.
    Respond(Vec<u8>),
}

impl Request {
    /// Reads a message. Looping, truncated and hostile ones end here, with work bounded by their length.
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

    /// Reads the last section; tells where its TSIG begins.
    fn additional(&mut self, message: &Message<[u8]>, octets: &[u8]) -> Option<usize> {
        let mut records_left = message.additional().ok()?;
        let mut at = records_left.pos();
        while let Some(record) = records_left.next() {
            let record = record.ok()?;
            match record.rtype().to_int() {
                // One TSIG, and nothing behind it (RFC 8945 section 5.1).
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
        // What stands behind the last record is none of the message's.
        (at == octets.len()).then_some(end)
    }

    /// How long an answer over UDP may be: as the client and this server allow.
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
            // RFC 7873 section 5.2.2: other lengths are malformed.
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

/// A record's data without pointers.
fn data_of(record: &Parsed) -> Option<Vec<u8>> {
    // Of these kinds the names may be compressed (RFC 3597 section 4).
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
        sense,
        ttl: record.ttl().as_secs(),
        data: data_of(record)?,
    })
}

fn soa_serial_of(record: &Parsed) -> Option<Serial> {
    if record.rtype() != Rtype::SOA {
        return None;
    }
    lynxtally_zones::Soa::of(&data_of(record)?).map(|soa| soa.serial)
}

/// By what a repeated update is known: who signed it, and its octets but for the signature.
fn update_digest(octets: &[u8], end: usize, tsig: &Option<TsigRecord>) -> [u8; 16] {
    let mut hash = Sha256::new();
    if let Some(tsig) = tsig {
        hash.update(tsig.key.wire());
    }
    // The count of additional records differs by the signature alone.
    hash.update(&octets[..10]);
    hash.update(&octets[HEADER_BYTES..end]);
    let digest = hash.finalize();
    digest[..16].try_into().expect("32 octets")
}

/// An answer of nothing but a head, to what can't be read.
fn header_only_response(octets: &[u8], code: ResponseCode) -> Vec<u8> {
    let mut answer = vec![0; HEADER_BYTES];
    answer[..2].copy_from_slice(&octets[..2]);
    answer[2] = 0x80 | (octets[2] & 0x79);
    answer[3] = code.0 as u8 & 0xf;
    answer
}

/// What an answer says.
#[derive(Clone, Debug, Default)]
pub struct ResponseContent<'a> {
    /// The code.
    pub code: Option<ResponseCode>,
    /// Whether this server has the zone.
    pub authoritative: bool,
    /// The sections.
    pub answer: &'a [ResponseSet<'a>],
    /// See there.
    pub authority: &'a [ResponseSet<'a>],
    /// See there.
    pub additional: &'a [ResponseSet<'a>],
    /// Why, in more words.
    pub reason: Option<(ExtendedError, String)>,
    /// The client's cookie and the server's, which proves the client from now on.
    pub cookie: Option<[u8; 24]>,
    /// For how many seconds an update's records are held.
    pub lease: Option<u32>,
}

/// How an answer is cut to what may go out.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// The longest it may be.
    pub max_bytes: usize,
    /// What this server takes over UDP; goes out with EDNS.
    pub udp_payload_bytes: u16,
}

type Builder = AdditionalBuilder<StaticCompressor<Vec<u8>>>;

/// Writes an answer. What does not fit is left out: additional records without a word, others with the mark of
/// truncation.
pub fn write_response(
    request: &Request,
    content: &ResponseContent,
    limits: ResponseLimits,
    signer: Option<&mut Signer>,
) -> Vec<u8> {
    let signature = signer.as_ref().map_or(0, |signer| signer.record_bytes());
    let max_bytes = limits.max_bytes.min(MAX_MESSAGE_BYTES).saturating_sub(signature);
    // The last section's options are reserved for.
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
    // The library stops short of its limit; what reaches it exactly fits too.
    builder.set_push_limit(max_bytes + 1);
    let mut question = builder.question();
    let name = domain::base::Name::from_octets(&request.question_octets[..request.question_octets.len() - 4]);
    let class = Class::from_int(u16::from_be_bytes(*request.question_octets.last_chunk::<2>()?));
    match name {
        Ok(name) => question.push((name, Rtype::from_int(request.kind.0), class)).ok()?,
        // A compressed question can't be; it is answered with its name written out.
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
        // What goes along may be left out (RFC 2181 section 9).
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

/// A message of a transfer is filled up to here.
const TRANSFER_MESSAGE_BYTES: usize = 16 * 1024;

/// A transfer as it goes out, one message at a time (RFC 5936, RFC 1995). All of it comes from one version.
pub struct TransferWriter {
    id: u16,
    question_octets: SmallVec<[u8; 48]>,
    kind: RecordType,
    records: Box<dyn Iterator<Item = Record> + Send>,
    /// One that found no room in the last message.
    deferred_record: Option<Record>,
    first: bool,
    signer: Option<Signer>,
}

/// The records of one side of a change, its SOA first.
fn soa_first(records: &[Record]) -> impl Iterator<Item = Record> + use<> {
    let mut records = records.to_vec();
    records.sort_by_key(|record| record.kind != RecordType::SOA);
    records.into_iter()
}

impl TransferWriter {
    /// Of a whole version, or of what leads to it from the one asked from, where that is known and shorter.
    pub fn new(
        request: &Request,
        version: Arc<Zone>,
        from: Option<Serial>,
        changes: Option<Vec<Arc<Change>>>,
        signer: Option<Signer>,
    ) -> Self {
        let soa = version.soa_record();
        let shorter = |changes: &Vec<Arc<Change>>| {
            changes.iter().map(|change| change.len()).sum::<usize>() <= version.records()
        };
        let newer = from.is_none_or(|from| version.serial().newer_than(from));
        let records: Box<dyn Iterator<Item = Record> + Send> = match changes.filter(shorter) {
            // Nothing is newer: the SOA alone says so.
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

    /// The next message; none behind the last one.
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

/// A question of our own.
#[derive(Clone, Debug)]
pub struct OutgoingRequest<'a> {
    /// Its number.
    pub id: u16,
    /// What it is about.
    pub name: &'a Name,
    /// The kind.
    pub kind: RecordType,
    /// The kind of message: 0 a query, 4 a notice, 5 an update.
    pub opcode: u8,
    /// For a transfer of changes: the SOA that we have. For a notice: the new one.
    pub soa: Option<&'a Record>,
    /// For an update: what must hold, and what is done.
    pub prerequisites: &'a [UpdateRecord],
    /// See there.
    pub updates: &'a [UpdateRecord],
    /// For how many seconds an update's records are to be held.
    pub lease: Option<u32>,
    /// Our cookie, and the server's where it gave one.
    pub cookie: Option<&'a [u8]>,
}

impl OutgoingRequest<'_> {
    /// Writes it.
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
            sense: UpdateClass::Zone,
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
                    push((&owner, class(update_record.sense), Ttl::from_secs(update_record.ttl), data))
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

/// An answer, read.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Its number.
    pub id: u16,
    /// The code, with the part that EDNS carries.
    pub code: u16,
    /// Whether it was cut.
    pub truncated: bool,
    /// Whether the server has the zone.
    pub authoritative: bool,
    /// The records by section.
    pub sections: [Vec<Record>; 3],
    /// Its TSIG.
    pub tsig: Option<TsigRecord>,
    /// The cookie in it: the client's and the server's.
    pub cookie: Option<([u8; 8], SmallVec<[u8; 16]>)>,
    /// For how long an update's records are held.
    pub lease: Option<u32>,
    /// Why, by RFC 8914: the code and the text.
    pub reason: Option<(u16, String)>,
}

impl Response {
    /// Reads an answer; none where it is none or can't be read.
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
        data: kind.canonical(&data_of(record)?)?,
    })
}
