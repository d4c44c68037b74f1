//! Blocking DNS resolvers and updaters for tests of the DNS server over loopback.

use lynxtally_dns::client::{query, Client, ClientConnection};
use lynxtally_dns::codec::{OutgoingRequest, Response};
use lynxtally_dns::tsig::{Key, Signer};
use lynxtally_zones::update::{UpdateClass, UpdateRecord};
use lynxtally_zones::{Name, RecordType};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a response.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

const UPDATE_OPCODE: u8 = 5;

/// A resolver that sends queries from its own UDP socket.
pub struct Resolver {
    socket: UdpSocket,
    id: u16,
    buffer: Vec<u8>,
}

impl Resolver {
    /// Binds a resolver to a local address; port 0 takes a free port.
    pub fn new(local_address: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(local_address)?;
        socket.connect(server)?;
        socket.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        Ok(Self { socket, id: 0, buffer: vec![0; 4096] })
    }

    /// Replaces [`RESPONSE_TIMEOUT`] for this resolver.
    pub fn set_response_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.socket.set_read_timeout(Some(timeout))
    }

    /// Sends a query and waits for its response. Datagrams that are unreadable or respond to an earlier query are ignored.
    pub fn query(&mut self, name: &Name, kind: RecordType) -> io::Result<Response> {
        self.id = self.id.wrapping_add(1);
        self.socket.send(&query(self.id, name, kind).write(None))?;
        loop {
            let length = self.socket.recv(&mut self.buffer)?;
            match Response::read(&self.buffer[..length]) {
                Some(response) if response.id == self.id => return Ok(response),
                _ => {}
            }
        }
    }
}

/// A client that sends signed dynamic updates over one TCP connection.
pub struct Updater {
    client: Client,
    connection: ClientConnection,
    zone: Name,
    id: u16,
}

impl Updater {
    /// Connects to the server. Message ids count up from `id`.
    pub fn new(server: SocketAddr, key: Arc<Key>, zone: Name, id: u16) -> io::Result<Self> {
        let client = Client { server, key: Some(key), timeout: RESPONSE_TIMEOUT };
        Ok(Self { connection: client.connect()?, client, zone, id })
    }

    /// Encodes and signs an update under the next message id. A test may send the bytes more than once.
    pub fn signed_update(
        &mut self,
        prerequisites: &[UpdateRecord],
        updates: &[UpdateRecord],
        lease: Option<u32>,
    ) -> Vec<u8> {
        self.id = self.id.wrapping_add(1);
        let request = OutgoingRequest {
            opcode: UPDATE_OPCODE,
            prerequisites,
            updates,
            lease,
            ..query(self.id, &self.zone, RecordType::SOA)
        };
        let key = self.client.key.clone().expect("an updater always has a key");
        request.write(Some(&mut Signer::for_request(key, lynxtally_dns::client::unix_now())))
    }

    /// Sends an encoded message and reads the next response on the connection.
    pub fn exchange(&mut self, message: &[u8]) -> io::Result<Response> {
        self.connection.send(message)?;
        let response = self.connection.receive()?;
        Response::read(&response)
            .ok_or_else(|| io::Error::other("the server sent an unreadable DNS response"))
    }

    /// Sends a signed update without prerequisites and returns the response code.
    pub fn update(&mut self, updates: &[UpdateRecord]) -> io::Result<u16> {
        let message = self.signed_update(&[], updates, None);
        self.exchange(&message).map(|response| response.code)
    }
}

/// An update that adds a record with a TTL of 5 s.
pub fn add(name: &Name, kind: RecordType, data: &[u8]) -> UpdateRecord {
    UpdateRecord { name: name.clone(), kind, class: UpdateClass::Zone, ttl: 5, data: data.to_vec() }
}

/// An update that deletes all records of a type at a name.
pub fn delete_rrset(name: &Name, kind: RecordType) -> UpdateRecord {
    UpdateRecord { name: name.clone(), kind, class: UpdateClass::Any, ttl: 0, data: Vec::new() }
}
