//! Messages as octets (RFC 1035 section 4, RFC 2136, RFC 6891) and as small typed values. It knows no socket.
//! Reading and writing stand on the library `domain`; what is checked for range is checked here, once.

use crate::tsig::{Signed, Signer};
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
pub const HEAD: usize = 12;
/// See there.
pub const PLAIN_MOST: usize = 512;
/// The longest message at all.
pub const MESSAGE_MOST: usize = 65_535;

const OPT: u16 = 41;
const TSIG: u16 = 250;
const COOKIE: u16 = 10;
const LEASE: u16 = 2;
const REASON: u16 = 15;

/// Result codes, by RFC 1035, 2136, 6891 and 8945.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Code(pub u16);

impl Code {
    /// No error.
    pub const OK: Self = Self(0);
    /// It can't be read.
    pub const FORM: Self = Self(1);
    /// Failed here.
    pub const FAIL: Self = Self(2);
    /// The name is not there.
    pub const NAME: Self = Self(3);
    /// Not done here.
    pub const NOT_DONE: Self = Self(4);
    /// Refused.
    pub const REFUSED: Self = Self(5);
    /// A name is there that must not be.
    pub const NAME_THERE: Self = Self(6);
    /// A set is there that must not be.
    pub const SET_THERE: Self = Self(7);
    /// A set is missing.
    pub const SET_MISSING: Self = Self(8);
    /// Not authoritative, or not authenticated.
    pub const NOT_AUTH: Self = Self(9);
    /// Not in the zone.
    pub const NOT_ZONE: Self = Self(10);
    /// A version of EDNS that is not known here.
    pub const VERSION: Self = Self(16);
}

impl fmt::Display for Code {
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
pub enum Reason {
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
pub enum Body {
    /// A question.
    Query,
    /// A transfer of the whole zone, or of what changed since a version.
    Transfer(Option<Serial>),
    /// A newer version may be there.
    Notify(Option<Serial>),
    /// An update.
    Update {
        /// The prerequisites.
        needs: Vec<UpdateRecord>,
        /// The updates.
        edits: Vec<UpdateRecord>,
        /// By what a repeat is known.
        mark: [u8; 16],
    },
    /// It is whole, but not for this server: the code says why.
    Rejected(Code),
}

/// What EDNS says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Edns {
    /// The longest answer that can be taken over UDP.
    pub payload: u16,
    /// The version.
    pub version: u8,
    /// The client's cookie and the server's, if it brings one.
    pub cookie: Option<([u8; 8], SmallVec<[u8; 16]>)>,
    /// For how many seconds an update's records are to be held.
    pub lease: Option<u32>,
}

/// One message, read.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Its number.
    pub id: u16,
    /// The kind of message.
    pub opcode: u8,
    /// Whether recursion is wished for; it comes back as it was.
    pub recursion: bool,
    /// The name asked for, or the zone.
    pub name: Name,
    /// The kind asked for.
    pub kind: RecordType,
    /// The question as it came.
    pub question: SmallVec<[u8; 48]>,
    /// What EDNS says.
    pub edns: Option<Edns>,
    /// What is asked.
    pub body: Body,
    /// Its TSIG.
    pub signed: Option<Signed>,
    /// How long the message is.
    pub length: usize,
}

/// Why octets are not answered with more than a code, or not at all.
#[derive(Clone, Debug, PartialEq)]
pub enum Bad {
    /// Too short to have a number, or an answer itself: nothing goes back.
    Silent,
    /// It can't be read; this goes back.
    Answer(Vec<u8>),
}

impl Asked {
    /// Reads a message. Looping, truncated and hostile ones end here, with work bounded by their length.
    pub fn read(octets: &[u8]) -> Result<Self, Bad> {
        if octets.len() < HEAD || octets[2] & 0x80 != 0 {
            return Err(Bad::Silent);
        }
        Self::parse(octets).ok_or_else(|| Bad::Answer(bare(octets, Code::FORM)))
    }

    fn parse(octets: &[u8]) -> Option<Self> {
        let message = Message::from_slice(octets).ok()?;
        let header = message.header();
        let opcode = header.opcode();
        let question = message.sole_question().ok()?;
        let name = name_of(question.qname())?;
        let kind = RecordType(question.qtype().to_int());
        let end = message.question().answer().ok()?.pos();
        let mut asked = Self {
            id: header.id(),
            opcode: opcode.to_int(),
            recursion: header.rd(),
            name,
            kind,
            question: SmallVec::from_slice(&octets[HEAD..end]),
            edns: None,
            body: Body::Query,
            signed: None,
            length: octets.len(),
        };
        let counts = message.header_counts();
        let plain = opcode == Opcode::QUERY && counts.ancount() == 0 && counts.nscount() == 0;
        let signed_at = asked.additional(message, octets)?;
        asked.body = if question.qclass() != Class::IN {
            Body::Rejected(Code::REFUSED)
        } else if plain && kind == RecordType::AXFR {
            Body::Transfer(None)
        } else if opcode == Opcode::QUERY && kind == RecordType::IXFR {
            let from = message.authority().ok()?.next().and_then(Result::ok).and_then(|r| soa_of(&r));
            Body::Transfer(Some(from?))
        } else if plain {
            Body::Query
        } else if opcode == Opcode::NOTIFY {
            let serial = message.answer().ok()?.next().and_then(Result::ok).and_then(|r| soa_of(&r));
            Body::Notify(serial)
        } else if opcode == Opcode::UPDATE {
            if kind != RecordType::SOA {
                return None;
            }
            let needs = message.answer().ok()?.map(|record| raw(&record.ok()?)).collect::<Option<_>>()?;
            let edits = message.authority().ok()?.map(|record| raw(&record.ok()?)).collect::<Option<_>>()?;
            Body::Update { needs, edits, mark: mark(octets, signed_at, &asked.signed) }
        } else {
            Body::Rejected(Code::NOT_DONE)
        };
        Some(asked)
    }

    /// Reads the last section; tells where its TSIG begins.
    fn additional(&mut self, message: &Message<[u8]>, octets: &[u8]) -> Option<usize> {
        let mut section = message.additional().ok()?;
        let mut at = section.pos();
        while let Some(record) = section.next() {
            let record = record.ok()?;
            match record.rtype().to_int() {
                // One TSIG, and nothing behind it (RFC 8945 section 5.1).
                _ if self.signed.is_some() => return None,
                OPT if self.edns.is_none() => self.edns = Some(edns(&record)?),
                OPT => return None,
                TSIG => {
                    let key = name_of(&record.owner())?;
                    let data = record.to_record::<UnknownRecordData<_>>().ok()??;
                    self.signed = Some(Signed::read(key, data.data().data(), at)?);
                }
                _ => {}
            }
            at = section.pos();
        }
        let end = self.signed.as_ref().map_or(octets.len(), |signed| signed.at);
        // What stands behind the last record is none of the message's.
        (at == octets.len()).then_some(end)
    }

    /// How long an answer over UDP may be: as the client and this server allow.
    pub fn payload(&self, most: usize) -> usize {
        self.edns.as_ref().map_or(PLAIN_MOST, |edns| usize::from(edns.payload).clamp(PLAIN_MOST, most))
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
        payload: record.class().to_int(),
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
            (COOKIE, 8 | 16..=40) => {
                edns.cookie = Some((value[..8].try_into().ok()?, SmallVec::from_slice(&value[8..])));
            }
            (COOKIE, _) => return None,
            (LEASE, 4 | 8) => edns.lease = Some(u32::from_be_bytes(value[..4].try_into().ok()?)),
            (LEASE, _) => return None,
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

fn raw(record: &Parsed) -> Option<UpdateRecord> {
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

fn soa_of(record: &Parsed) -> Option<Serial> {
    if record.rtype() != Rtype::SOA {
        return None;
    }
    lynxtally_zones::Soa::parse(&data_of(record)?).map(|soa| soa.serial)
}

/// By what a repeated update is known: who signed it, and its octets but for the signature.
fn mark(octets: &[u8], end: usize, signed: &Option<Signed>) -> [u8; 16] {
    let mut hash = Sha256::new();
    if let Some(signed) = signed {
        hash.update(signed.key.wire());
    }
    // The count of additional records differs by the signature alone.
    hash.update(&octets[..10]);
    hash.update(&octets[HEAD..end]);
    let digest = hash.finalize();
    digest[..16].try_into().expect("32 octets")
}

/// An answer of nothing but a head, to what can't be read.
fn bare(octets: &[u8], code: Code) -> Vec<u8> {
    let mut answer = vec![0; HEAD];
    answer[..2].copy_from_slice(&octets[..2]);
    answer[2] = 0x80 | (octets[2] & 0x79);
    answer[3] = code.0 as u8 & 0xf;
    answer
}

/// What an answer says.
#[derive(Clone, Debug, Default)]
pub struct Reply<'a> {
    /// The code.
    pub code: Option<Code>,
    /// Whether this server has the zone.
    pub authoritative: bool,
    /// The sections.
    pub answer: &'a [ResponseSet<'a>],
    /// See there.
    pub authority: &'a [ResponseSet<'a>],
    /// See there.
    pub additional: &'a [ResponseSet<'a>],
    /// Why, in more words.
    pub reason: Option<(Reason, String)>,
    /// The client's cookie and the server's, which proves the client from now on.
    pub cookie: Option<[u8; 24]>,
    /// For how many seconds an update's records are held.
    pub lease: Option<u32>,
}

/// How an answer is cut to what may go out.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// The longest it may be.
    pub most: usize,
    /// What this server takes over UDP; goes out with EDNS.
    pub payload: u16,
}

type Builder = AdditionalBuilder<StaticCompressor<Vec<u8>>>;

/// Writes an answer. What does not fit is left out: additional records without a word, others with the mark of
/// truncation.
pub fn write(asked: &Asked, reply: &Reply, room: Room, signer: Option<&mut Signer>) -> Vec<u8> {
    let signature = signer.as_ref().map_or(0, |signer| signer.length());
    let most = room.most.min(MESSAGE_MOST).saturating_sub(signature);
    // The last section's options are reserved for.
    let cut = |truncated: bool| {
        let extra =
            if truncated { Reply { reason: None, cookie: None, ..reply.clone() } } else { reply.clone() };
        build(asked, &extra, most, room, truncated)
    };
    let mut octets = cut(false).or_else(|| cut(true)).unwrap_or_else(|| {
        let mut octets = vec![0; HEAD];
        octets[..2].copy_from_slice(&asked.id.to_be_bytes());
        octets[2] = 0x82;
        octets
    });
    if let Some(signer) = signer {
        signer.sign(&mut octets);
    }
    octets
}

fn build(asked: &Asked, reply: &Reply, most: usize, room: Room, truncated: bool) -> Option<Vec<u8>> {
    let code = reply.code.unwrap_or(Code::OK);
    let target = StaticCompressor::new(Vec::with_capacity(most.min(PLAIN_MOST)));
    let mut builder = MessageBuilder::from_target(target).ok()?;
    let header = builder.header_mut();
    header.set_id(asked.id);
    header.set_qr(true);
    header.set_opcode(Opcode::from_int(asked.opcode));
    header.set_rd(asked.recursion);
    header.set_aa(reply.authoritative);
    header.set_tc(truncated);
    header.set_rcode(Rcode::masked_from_int(code.0 as u8));
    // The library stops short of its limit; what reaches it exactly fits too.
    builder.set_push_limit(most + 1);
    let mut question = builder.question();
    let name = domain::base::Name::from_octets(&asked.question[..asked.question.len() - 4]);
    let class = Class::from_int(u16::from_be_bytes(*asked.question.last_chunk::<2>()?));
    match name {
        Ok(name) => question.push((name, Rtype::from_int(asked.kind.0), class)).ok()?,
        // A compressed question can't be; it is answered with its name written out.
        Err(_) => {
            let name = domain::base::Name::from_octets(asked.name.wire()).ok()?;
            question.push((name, Rtype::from_int(asked.kind.0), class)).ok()?;
        }
    }
    let mut answer = question.answer();
    if !truncated {
        entries(reply.answer, |record| answer.push(record))?;
    }
    let mut authority = answer.authority();
    if !truncated {
        entries(reply.authority, |record| authority.push(record))?;
    }
    let mut additional = authority.additional();
    if asked.edns.is_some() {
        options(&mut additional, reply, code, room.payload)?;
    }
    if !truncated {
        // What goes along may be left out (RFC 2181 section 9).
        let _ = entries(reply.additional, |record| additional.push(record));
    }
    Some(additional.finish().into_target())
}

type Pushed<'a> = (&'a domain::base::Name<&'a [u8]>, Class, Ttl, UnknownRecordData<&'a [u8]>);

fn entries(all: &[ResponseSet], mut push: impl FnMut(Pushed) -> Result<(), PushError>) -> Option<()> {
    for entry in all {
        let owner = domain::base::Name::from_octets(&*entry.owner).ok()?;
        for data in entry.records() {
            let data = UnknownRecordData::from_octets(Rtype::from_int(entry.kind.0), data).ok()?;
            push((&owner, Class::IN, Ttl::from_secs(entry.ttl), data)).ok()?;
        }
    }
    Some(())
}

fn options(additional: &mut Builder, reply: &Reply, code: Code, payload: u16) -> Option<()> {
    let option = |opt: &mut domain::base::message_builder::OptBuilder<_>, number: u16, value: &[u8]| {
        opt.push_raw_option(number.into(), value.len() as u16, |target| {
            domain::dep::octseq::OctetsBuilder::append_slice(target, value)
        })
    };
    additional
        .opt(|opt| {
            opt.set_udp_payload_size(payload);
            opt.set_rcode(domain::base::iana::OptRcode::masked_from_int(code.0));
            if let Some(cookie) = &reply.cookie {
                option(opt, COOKIE, cookie)?;
            }
            if let Some(lease) = reply.lease {
                option(opt, LEASE, &lease.to_be_bytes())?;
            }
            if let Some((reason, text)) = &reply.reason {
                let mut value = (*reason as u16).to_be_bytes().to_vec();
                value.extend_from_slice(text.as_bytes());
                option(opt, REASON, &value)?;
            }
            Ok(())
        })
        .ok()
}

/// A message of a transfer is filled up to here.
const TRANSFER_FILL: usize = 16 * 1024;

/// A transfer as it goes out, one message at a time (RFC 5936, RFC 1995). All of it comes from one version.
pub struct Transfer {
    id: u16,
    question: SmallVec<[u8; 48]>,
    kind: RecordType,
    records: Box<dyn Iterator<Item = Record> + Send>,
    /// One that found no room in the last message.
    left: Option<Record>,
    first: bool,
    signer: Option<Signer>,
}

/// The records of one side of a change, its SOA first.
fn soa_first(records: &[Record]) -> impl Iterator<Item = Record> + use<> {
    let mut records = records.to_vec();
    records.sort_by_key(|record| record.kind != RecordType::SOA);
    records.into_iter()
}

impl Transfer {
    /// Of a whole version, or of what leads to it from the one asked from, where that is known and shorter.
    pub fn new(
        asked: &Asked,
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
                    let all = sets.flat_map(|set| {
                        let record = |data: &[u8]| Record {
                            name: name.clone(),
                            kind: set.kind,
                            ttl: set.ttl,
                            data: data.to_vec(),
                        };
                        set.records().map(record).collect::<Vec<_>>()
                    });
                    all.collect::<Vec<_>>()
                });
                Box::new(soa.clone().into_iter().chain(body).chain(soa))
            }
        };
        Self {
            id: asked.id,
            question: asked.question.clone(),
            kind: asked.kind,
            records,
            left: None,
            first: true,
            signer,
        }
    }

    /// The next message; none behind the last one.
    pub fn next_message(&mut self) -> Option<Vec<u8>> {
        let first = self.left.take().or_else(|| self.records.next())?;
        let target = StaticCompressor::new(Vec::with_capacity(TRANSFER_FILL + 1024));
        let mut builder = MessageBuilder::from_target(target).ok()?;
        let header = builder.header_mut();
        header.set_id(self.id);
        header.set_qr(true);
        header.set_aa(true);
        let mut question = builder.question();
        if std::mem::take(&mut self.first) {
            let name = domain::base::Name::from_octets(&self.question[..self.question.len() - 4]).ok()?;
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
            if size > TRANSFER_FILL || push(&record).is_none() {
                self.left = Some(record);
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
pub struct Question<'a> {
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
    pub needs: &'a [UpdateRecord],
    /// See there.
    pub edits: &'a [UpdateRecord],
    /// For how many seconds an update's records are to be held.
    pub lease: Option<u32>,
    /// Our cookie, and the server's where it gave one.
    pub cookie: Option<&'a [u8]>,
}

impl Question<'_> {
    /// Writes it.
    pub fn write(&self, signer: Option<&mut Signer>) -> Vec<u8> {
        let mut octets = self.build().unwrap_or_default();
        if let Some(signer) = signer {
            signer.sign(&mut octets);
            signer.awaiting();
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
        let own = |soa: &&Record| UpdateRecord {
            name: soa.name.clone(),
            kind: soa.kind,
            class: UpdateClass::Zone,
            ttl: soa.ttl,
            data: soa.data.clone(),
        };
        let soa = self.soa.iter().map(own).collect::<Vec<_>>();
        let (first, second) = if self.opcode == 4 { (&soa[..], &[][..]) } else { (self.needs, &soa[..]) };
        type Out<'a> = (&'a domain::base::Name<&'a [u8]>, Class, Ttl, UnknownRecordData<&'a [u8]>);
        let put = |all: &[UpdateRecord], push: &mut dyn FnMut(Out) -> Result<(), PushError>| {
            for raw in all {
                let owner = domain::base::Name::from_octets(raw.name.wire()).ok()?;
                let data = UnknownRecordData::from_octets(Rtype::from_int(raw.kind.0), &raw.data[..]).ok()?;
                push((&owner, class(raw.class), Ttl::from_secs(raw.ttl), data)).ok()?;
            }
            Some(())
        };
        let mut answer = question.answer();
        put(first, &mut |record| answer.push(record))?;
        let mut authority = answer.authority();
        put(second, &mut |record| authority.push(record))?;
        put(self.edits, &mut |record| authority.push(record))?;
        let mut additional = authority.additional();
        if self.opcode != 4 {
            let done = additional.opt(|opt| {
                opt.set_udp_payload_size(1232);
                for (number, value) in [
                    (COOKIE, self.cookie.map(<[u8]>::to_vec)),
                    (LEASE, self.lease.map(|l| l.to_be_bytes().to_vec())),
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
pub struct Answered {
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
    pub signed: Option<Signed>,
    /// The cookie in it: the client's and the server's.
    pub cookie: Option<([u8; 8], SmallVec<[u8; 16]>)>,
    /// For how long an update's records are held.
    pub lease: Option<u32>,
    /// Why, by RFC 8914: the code and the text.
    pub reason: Option<(u16, String)>,
}

impl Answered {
    /// Reads an answer; none where it is none or can't be read.
    pub fn read(octets: &[u8]) -> Option<Self> {
        let message = Message::from_slice(octets).ok()?;
        let header = message.header();
        if !header.qr() {
            return None;
        }
        let mut answered = Self {
            id: header.id(),
            code: u16::from(header.rcode().to_int()),
            truncated: header.tc(),
            authoritative: header.aa(),
            ..Self::default()
        };
        let (_, answer, authority, additional) = message.sections().ok()?;
        for (n, section) in [answer, authority].into_iter().enumerate() {
            for record in section {
                answered.sections[n].push(record_of(&record.ok()?)?);
            }
        }
        let mut section = additional;
        let mut at = section.pos();
        while let Some(record) = section.next() {
            let record = record.ok()?;
            match record.rtype().to_int() {
                OPT => {
                    answered.code |= ((record.ttl().as_secs() >> 24) as u16) << 4;
                    let edns = edns(&record)?;
                    (answered.cookie, answered.lease) = (edns.cookie, edns.lease);
                    answered.reason = reason_of(&record);
                }
                TSIG => {
                    let data = record.to_record::<UnknownRecordData<_>>().ok()??;
                    answered.signed = Some(Signed::read(name_of(&record.owner())?, data.data().data(), at)?);
                }
                _ => answered.sections[2].push(record_of(&record)?),
            }
            at = section.pos();
        }
        Some(answered)
    }
}

fn reason_of(record: &Parsed) -> Option<(u16, String)> {
    let data = record.to_record::<UnknownRecordData<_>>().ok()??;
    let mut rest: &[u8] = data.data().data();
    while let Some((head, after)) = rest.split_first_chunk::<4>() {
        let (value, after) = after.split_at_checked(usize::from(u16::from_be_bytes([head[2], head[3]])))?;
        if u16::from_be_bytes([head[0], head[1]]) == REASON && value.len() >= 2 {
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
