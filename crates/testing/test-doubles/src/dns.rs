//! Resolvers and updaters that a names server meets, over loopback.

use lynxtally_dns::client::{query, Client, Open};
use lynxtally_dns::codec::{Answered, Question};
use lynxtally_dns::tsig::{Key, Signer};
use lynxtally_zones::update::{UpdateClass, UpdateRecord};
use lynxtally_zones::{Name, RecordType};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// How long an answer is waited for.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A resolver with a socket of its own.
pub struct Resolver {
    socket: UdpSocket,
    id: u16,
    room: Vec<u8>,
}

impl Resolver {
    /// One at some address of loopback.
    pub fn new(from: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(from)?;
        socket.connect(server)?;
        socket.set_read_timeout(Some(PATIENCE))?;
        Ok(Self { socket, id: 0, room: vec![0; 4096] })
    }

    /// Waits no longer than this for an answer.
    pub fn patience(&self, patience: Duration) -> io::Result<()> {
        self.socket.set_read_timeout(Some(patience))
    }

    /// Asks; datagrams that answer something else are passed over.
    pub fn ask(&mut self, name: &Name, kind: RecordType) -> io::Result<Answered> {
        self.id = self.id.wrapping_add(1);
        self.socket.send(&query(self.id, name, kind).write(None))?;
        loop {
            let length = self.socket.recv(&mut self.room)?;
            match Answered::read(&self.room[..length]) {
                Some(answered) if answered.id == self.id => return Ok(answered),
                _ => {}
            }
        }
    }
}

/// An updater that keeps one connection.
pub struct Updater {
    client: Client,
    open: Open,
    zone: Name,
    id: u16,
}

impl Updater {
    /// One that signs with a key.
    pub fn new(server: SocketAddr, key: Arc<Key>, zone: Name, id: u16) -> io::Result<Self> {
        let client = Client { server, key: Some(key), patience: PATIENCE };
        Ok(Self { open: client.connect()?, client, zone, id })
    }

    /// A signed update, as octets: to be sent once or more often.
    pub fn message(&mut self, needs: &[UpdateRecord], edits: &[UpdateRecord], lease: Option<u32>) -> Vec<u8> {
        self.id = self.id.wrapping_add(1);
        let question =
            Question { opcode: 5, needs, edits, lease, ..query(self.id, &self.zone, RecordType::SOA) };
        let key = self.client.key.clone().expect("it has one");
        question.write(Some(&mut Signer::asking(key, lynxtally_dns::client::unix_now())))
    }

    /// Sends octets and takes the answer to them.
    pub fn exchange(&mut self, octets: &[u8]) -> io::Result<Answered> {
        self.open.send(octets)?;
        let answer = self.open.receive()?;
        Answered::read(&answer).ok_or_else(|| io::Error::other("no answer"))
    }

    /// Sends an update; tells its code.
    pub fn update(&mut self, edits: &[UpdateRecord]) -> io::Result<u16> {
        let octets = self.message(&[], edits, None);
        self.exchange(&octets).map(|answered| answered.code)
    }
}

/// Adds a record.
pub fn add(name: &Name, kind: RecordType, data: &[u8]) -> UpdateRecord {
    UpdateRecord { name: name.clone(), kind, sense: UpdateClass::Zone, ttl: 5, data: data.to_vec() }
}

/// Takes all of a kind out.
pub fn drop_set(name: &Name, kind: RecordType) -> UpdateRecord {
    UpdateRecord { name: name.clone(), kind, sense: UpdateClass::Any, ttl: 0, data: Vec::new() }
}
