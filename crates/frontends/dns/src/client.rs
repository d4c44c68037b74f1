//! A DNS client on blocking sockets with timeouts, for secondaries, for NOTIFY and for the operator's program.

use crate::codec::{OutgoingRequest, Response};
use crate::tsig::{Key, Signer};
use lynxtally_zones::secondary::{TransferReader, TransferResult};
use lynxtally_zones::Record;
use lynxtally_zones::{Name, RecordType, Serial};
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Why a request got no usable response.
#[derive(Debug)]
pub enum ClientError {
    /// A socket failed or timed out.
    Io(io::Error),
    /// The response can't be parsed, or answers another request.
    InvalidResponse(&'static str),
    /// The response's TSIG is missing or wrong.
    Signature(String),
    /// The server returned this error code, with the text of its extended error if there was one.
    ErrorResponse(u16, String),
    /// The content of a transfer is invalid.
    InvalidTransfer(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Io(fault) => fault.fmt(f),
            Self::InvalidResponse(what) => f.write_str(what),
            Self::Signature(what) | Self::InvalidTransfer(what) => f.write_str(what),
            Self::ErrorResponse(code, reason) => {
                let code = crate::codec::ResponseCode(*code);
                match reason.as_str() {
                    "" => write!(f, "the server returned {code}"),
                    reason => write!(f, "the server returned {code}: {reason}"),
                }
            }
        }
    }
}

impl std::error::Error for ClientError {}

impl From<io::Error> for ClientError {
    fn from(fault: io::Error) -> Self {
        Self::Io(fault)
    }
}

/// The system time in Unix seconds.
pub fn unix_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |past| past.as_secs())
}

/// A client of one server.
#[derive(Clone, Debug)]
pub struct Client {
    /// The server's address.
    pub server: SocketAddr,
    /// The TSIG key that signs requests.
    pub key: Option<Arc<Key>>,
    /// How long to wait for a connection and for each response.
    pub timeout: Duration,
}

/// A TCP connection to a server.
pub struct ClientConnection {
    stream: TcpStream,
}

impl ClientConnection {
    /// Sends a message, prefixed by its length.
    pub fn send(&mut self, octets: &[u8]) -> io::Result<()> {
        let mut framed = (octets.len() as u16).to_be_bytes().to_vec();
        framed.extend_from_slice(octets);
        self.stream.write_all(&framed)
    }

    /// Receives the next message.
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
        self.key.clone().map(|key| Signer::for_request(key, unix_now()))
    }

    /// Opens a TCP connection to the server.
    pub fn connect(&self) -> io::Result<ClientConnection> {
        let stream = TcpStream::connect_timeout(&self.server, self.timeout)?;
        stream.set_read_timeout(Some(self.timeout))?;
        stream.set_write_timeout(Some(self.timeout))?;
        stream.set_nodelay(true)?;
        Ok(ClientConnection { stream })
    }

    fn read_response(octets: &[u8], id: u16, signer: &mut Option<Signer>) -> Result<Response, ClientError> {
        let response =
            Response::read(octets).ok_or(ClientError::InvalidResponse("the reply is not a DNS response"))?;
        if response.id != id {
            return Err(ClientError::InvalidResponse("the response has the ID of another request"));
        }
        if let Some(signer) = signer {
            match &response.tsig {
                Some(tsig) => {
                    signer.verify_response(octets, tsig, unix_now()).map_err(ClientError::Signature)?
                }
                None if response.code == 0 => {
                    return Err(ClientError::Signature("the response is not signed".to_owned()))
                }
                None => {}
            }
        }
        Ok(response)
    }

    /// Sends a request over TCP and returns the response.
    pub fn exchange_tcp(&self, request: &OutgoingRequest) -> Result<Response, ClientError> {
        let mut signer = self.signer();
        let octets = request.write(signer.as_mut());
        let mut connection = self.connect()?;
        connection.send(&octets)?;
        Self::read_response(&connection.receive()?, request.id, &mut signer)
    }

    /// Sends a request over UDP and returns the response. If it is truncated, the request is repeated over TCP.
    pub fn exchange_udp(&self, request: &OutgoingRequest) -> Result<Response, ClientError> {
        self.exchange_udp_from(None, request)
    }

    /// Like [`Self::exchange_udp`], but sends from the given local address, for servers that check the sender's address.
    pub fn exchange_udp_from(
        &self,
        from: Option<IpAddr>,
        request: &OutgoingRequest,
    ) -> Result<Response, ClientError> {
        let mut signer = self.signer();
        let octets = request.write(signer.as_mut());
        let unspecified: IpAddr = match self.server {
            SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
            SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
        };
        let from = from.filter(|from| from.is_ipv4() == self.server.is_ipv4());
        let socket = UdpSocket::bind((from.unwrap_or(unspecified), 0))?;
        socket.connect(self.server)?;
        socket.set_read_timeout(Some(self.timeout))?;
        socket.send(&octets)?;
        let mut buffer = vec![0; 4096];
        let length = socket.recv(&mut buffer)?;
        let response = Self::read_response(&buffer[..length], request.id, &mut signer)?;
        if response.truncated {
            return self.exchange_tcp(request);
        }
        Ok(response)
    }

    /// Queries the server's serial of a zone.
    pub fn serial(&self, zone: &Name, id: u16) -> Result<Serial, ClientError> {
        let response = self.exchange_tcp(&query(id, zone, RecordType::SOA))?;
        check_response_code(&response)?;
        let soa =
            response.sections[0].iter().find(|record| record.kind == RecordType::SOA && record.name == *zone);
        let soa = soa.and_then(|record| lynxtally_zones::Soa::parse(&record.data));
        soa.filter(|_| response.authoritative)
            .map(|soa| soa.serial)
            .ok_or(ClientError::InvalidResponse("the response has no authoritative SOA record of the zone"))
    }

    /// Transfers a zone in full, or the changes since `current_soa` if one is given, of at most `max_records` records.
    pub fn transfer(
        &self,
        zone: &Name,
        current_soa: Option<&Record>,
        max_records: usize,
        id: u16,
    ) -> Result<TransferResult, ClientError> {
        let from = current_soa.and_then(|soa| lynxtally_zones::Soa::parse(&soa.data)).map(|soa| soa.serial);
        let kind = if current_soa.is_some() { RecordType::IXFR } else { RecordType::AXFR };
        let request = OutgoingRequest { soa: current_soa, ..query(id, zone, kind) };
        let mut signer = self.signer();
        let octets = request.write(signer.as_mut());
        let mut connection = self.connect()?;
        connection.send(&octets)?;
        let mut reader = TransferReader::new(zone.clone(), from, max_records);
        loop {
            let response = Self::read_response(&connection.receive()?, id, &mut signer)?;
            check_response_code(&response)?;
            let [records, ..] = response.sections;
            for record in records {
                reader.push(record).map_err(|fault| ClientError::InvalidTransfer(fault.to_string()))?;
            }
            if let Some(up_to_date) = reader.message_ended() {
                return Ok(up_to_date);
            }
            if reader.is_complete() {
                return reader.finish().ok_or(ClientError::InvalidResponse("the transfer is incomplete"));
            }
        }
    }
}

fn check_response_code(response: &Response) -> Result<(), ClientError> {
    match response.code {
        0 => Ok(()),
        code => Err(ClientError::ErrorResponse(
            code,
            response.reason.clone().map_or(String::new(), |(_, text)| text),
        )),
    }
}

/// A query for the records of one type at a name.
pub fn query(id: u16, name: &Name, kind: RecordType) -> OutgoingRequest<'_> {
    OutgoingRequest {
        id,
        name,
        kind,
        opcode: 0,
        soa: None,
        prerequisites: &[],
        updates: &[],
        lease: None,
        cookie: None,
    }
}
