//! Questions of our own, over plain blocking sockets with time bounds: for secondaries, notices and operators.

use crate::codec::{Answered, Question};
use crate::tsig::{Key, Signer};
use lynxtally_zones::secondary::{TransferReader, TransferResult};
use lynxtally_zones::Record;
use lynxtally_zones::{Name, RecordType, Serial};
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Why a question got no answer that can be used.
#[derive(Debug)]
pub enum Fault {
    /// The connection.
    Io(io::Error),
    /// What came can't be read, or answers something else.
    Garbled(&'static str),
    /// The signature.
    Signature(String),
    /// The server refuses: the code, and its reason where it gave one.
    Refused(u16, String),
    /// A transfer can't be used.
    Unusable(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Io(fault) => fault.fmt(f),
            Self::Garbled(what) => f.write_str(what),
            Self::Signature(what) | Self::Unusable(what) => f.write_str(what),
            Self::Refused(code, reason) => {
                let code = crate::codec::Code(*code);
                match reason.as_str() {
                    "" => write!(f, "the server says {code}"),
                    reason => write!(f, "the server says {code}: {reason}"),
                }
            }
        }
    }
}

impl std::error::Error for Fault {}

impl From<io::Error> for Fault {
    fn from(fault: io::Error) -> Self {
        Self::Io(fault)
    }
}

/// The system's time in Unix seconds.
pub fn unix_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |past| past.as_secs())
}

/// One that asks a server.
#[derive(Clone, Debug)]
pub struct Client {
    /// The server.
    pub server: SocketAddr,
    /// The key that signs.
    pub key: Option<Arc<Key>>,
    /// How long one answer is waited for.
    pub patience: Duration,
}

/// A connection that carries messages.
pub struct Open {
    stream: TcpStream,
}

impl Open {
    /// Sends a message.
    pub fn send(&mut self, octets: &[u8]) -> io::Result<()> {
        let mut framed = (octets.len() as u16).to_be_bytes().to_vec();
        framed.extend_from_slice(octets);
        self.stream.write_all(&framed)
    }

    /// Takes the next message.
    pub fn receive(&mut self) -> io::Result<Vec<u8>> {
        let mut head = [0; 2];
        self.stream.read_exact(&mut head)?;
        let mut octets = vec![0; usize::from(u16::from_be_bytes(head))];
        self.stream.read_exact(&mut octets)?;
        Ok(octets)
    }
}

impl Client {
    fn signer(&self) -> Option<Signer> {
        self.key.clone().map(|key| Signer::asking(key, unix_now()))
    }

    /// Connects.
    pub fn connect(&self) -> io::Result<Open> {
        let stream = TcpStream::connect_timeout(&self.server, self.patience)?;
        stream.set_read_timeout(Some(self.patience))?;
        stream.set_write_timeout(Some(self.patience))?;
        stream.set_nodelay(true)?;
        Ok(Open { stream })
    }

    fn check(octets: &[u8], id: u16, signer: &mut Option<Signer>) -> Result<Answered, Fault> {
        let answered = Answered::read(octets).ok_or(Fault::Garbled("what came is no answer"))?;
        if answered.id != id {
            return Err(Fault::Garbled("an answer to another question came"));
        }
        if let Some(signer) = signer {
            match &answered.signed {
                Some(signed) => signer.check(octets, signed, unix_now()).map_err(Fault::Signature)?,
                None if answered.code == 0 => {
                    return Err(Fault::Signature("the answer is not signed".to_owned()))
                }
                None => {}
            }
        }
        Ok(answered)
    }

    /// Asks over a connection.
    pub fn ask(&self, question: &Question) -> Result<Answered, Fault> {
        let mut signer = self.signer();
        let octets = question.write(signer.as_mut());
        let mut open = self.connect()?;
        open.send(&octets)?;
        Self::check(&open.receive()?, question.id, &mut signer)
    }

    /// Asks by datagram; a cut answer is asked for again over a connection.
    pub fn ask_by_datagram(&self, question: &Question) -> Result<Answered, Fault> {
        self.ask_by_datagram_from(None, question)
    }

    /// The same from one of this machine's addresses, by which the other side knows us.
    pub fn ask_by_datagram_from(&self, from: Option<IpAddr>, question: &Question) -> Result<Answered, Fault> {
        let mut signer = self.signer();
        let octets = question.write(signer.as_mut());
        let any: IpAddr = match self.server {
            SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
            SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
        };
        let from = from.filter(|from| from.is_ipv4() == self.server.is_ipv4());
        let socket = UdpSocket::bind((from.unwrap_or(any), 0))?;
        socket.connect(self.server)?;
        socket.set_read_timeout(Some(self.patience))?;
        socket.send(&octets)?;
        let mut room = vec![0; 4096];
        let length = socket.recv(&mut room)?;
        let answered = Self::check(&room[..length], question.id, &mut signer)?;
        if answered.truncated {
            return self.ask(question);
        }
        Ok(answered)
    }

    /// A server's serial of a zone.
    pub fn serial(&self, zone: &Name, id: u16) -> Result<Serial, Fault> {
        let answered = self.ask(&query(id, zone, RecordType::SOA))?;
        refused(&answered)?;
        let soa =
            answered.sections[0].iter().find(|record| record.kind == RecordType::SOA && record.name == *zone);
        let soa = soa.and_then(|record| lynxtally_zones::Soa::parse(&record.data));
        soa.filter(|_| answered.authoritative).map(|soa| soa.serial).ok_or(Fault::Garbled("no SOA came"))
    }

    /// Has a zone, or what changed since a version, transferred.
    pub fn transfer(
        &self,
        zone: &Name,
        have: Option<&Record>,
        most: usize,
        id: u16,
    ) -> Result<TransferResult, Fault> {
        let from = have.and_then(|soa| lynxtally_zones::Soa::parse(&soa.data)).map(|soa| soa.serial);
        let kind = if have.is_some() { RecordType::IXFR } else { RecordType::AXFR };
        let question = Question { soa: have, ..query(id, zone, kind) };
        let mut signer = self.signer();
        let octets = question.write(signer.as_mut());
        let mut open = self.connect()?;
        open.send(&octets)?;
        let mut incoming = TransferReader::new(zone.clone(), from, most);
        loop {
            let answered = Self::check(&open.receive()?, id, &mut signer)?;
            refused(&answered)?;
            let [records, ..] = answered.sections;
            for record in records {
                incoming.push(record).map_err(|fault| Fault::Unusable(fault.to_string()))?;
            }
            if let Some(nothing) = incoming.message_ended() {
                return Ok(nothing);
            }
            if incoming.is_complete() {
                return incoming.finish().ok_or(Fault::Garbled("a transfer broke off"));
            }
        }
    }
}

fn refused(answered: &Answered) -> Result<(), Fault> {
    match answered.code {
        0 => Ok(()),
        code => Err(Fault::Refused(code, answered.reason.clone().map_or(String::new(), |(_, text)| text))),
    }
}

/// A plain question.
pub fn query(id: u16, name: &Name, kind: RecordType) -> Question<'_> {
    Question { id, name, kind, opcode: 0, soa: None, needs: &[], edits: &[], lease: None, cookie: None }
}
