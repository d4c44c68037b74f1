//! DNS messages of a node that registers its name (RFC 1035, 2136, 8945): updates signed with HMAC-SHA256, and queries,
//! over TCP. Only the standard library is used.
#![allow(dead_code)]

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A record type.
pub const A: u16 = 1;
/// A record type.
pub const CNAME: u16 = 5;
/// A record type.
pub const SOA: u16 = 6;

const IN: u16 = 1;
const NONE: u16 = 254;
const ANY: u16 = 255;

/// One step of an update.
#[derive(Clone, Debug)]
pub enum Step {
    /// Adds an address.
    Add(&'static str, [u8; 4]),
    /// Adds an alias.
    AddAlias(&'static str, &'static str),
    /// Deletes an address.
    Delete(&'static str, [u8; 4]),
}

/// A key for signatures.
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// Its secret.
    pub secret: [u8; 32],
}

/// The code and the answer records of a response: type and data.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub code: u8,
    pub records: Vec<(u16, Vec<u8>)>,
}

/// A name in wire format.
pub fn wire(name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in name.trim_end_matches('.').split('.').filter(|label| !label.is_empty()) {
        out.push(label.len() as u8);
        out.extend_from_slice(label.as_bytes());
    }
    out.push(0);
    out
}

fn record(out: &mut Vec<u8>, name: &str, kind: u16, class: u16, ttl: u32, data: &[u8]) {
    out.extend(wire(name));
    out.extend(kind.to_be_bytes());
    out.extend(class.to_be_bytes());
    out.extend(ttl.to_be_bytes());
    out.extend((data.len() as u16).to_be_bytes());
    out.extend_from_slice(data);
}

/// A signed update.
pub fn update(id: u16, zone: &str, steps: &[Step], key: &Key, unix_seconds: u64) -> Vec<u8> {
    let mut message = Vec::new();
    message.extend(id.to_be_bytes());
    for number in [0x2800, 1, 0, steps.len() as u16, 0_u16] {
        message.extend(number.to_be_bytes());
    }
    message.extend(wire(zone));
    message.extend(SOA.to_be_bytes());
    message.extend(IN.to_be_bytes());
    for step in steps {
        match step {
            Step::Add(name, address) => record(&mut message, name, A, IN, 60, address),
            Step::AddAlias(name, target) => record(&mut message, name, CNAME, IN, 60, &wire(target)),
            Step::Delete(name, address) => record(&mut message, name, A, NONE, 0, address),
        }
    }
    let algorithm = wire("hmac-sha256");
    let mut time = unix_seconds.to_be_bytes()[2..].to_vec();
    time.extend(300_u16.to_be_bytes());
    let mut signed = message.clone();
    signed.extend(wire(key.name));
    signed.extend(ANY.to_be_bytes());
    signed.extend(0_u32.to_be_bytes());
    signed.extend(&algorithm);
    signed.extend(&time);
    signed.extend([0; 4]);
    let mac = hmac(&key.secret, &signed);
    let mut data = algorithm;
    data.extend(&time);
    data.extend(32_u16.to_be_bytes());
    data.extend(mac);
    data.extend(id.to_be_bytes());
    data.extend([0; 4]);
    record(&mut message, key.name, 250, ANY, 0, &data);
    message[11] = 1;
    message
}

/// A query.
pub fn query(id: u16, name: &str, kind: u16) -> Vec<u8> {
    let mut message = Vec::new();
    message.extend(id.to_be_bytes());
    for number in [0_u16, 1, 0, 0, 0] {
        message.extend(number.to_be_bytes());
    }
    message.extend(wire(name));
    message.extend(kind.to_be_bytes());
    message.extend(IN.to_be_bytes());
    message
}

/// Sends a message over a TCP connection of its own and reads its response.
pub fn exchange(server: SocketAddr, message: &[u8], patience: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&server, Duration::from_secs(2))?;
    // A client that connects to a free port may meet itself.
    if stream.local_addr()? == server {
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let mut framed = (message.len() as u16).to_be_bytes().to_vec();
    framed.extend_from_slice(message);
    stream.write_all(&framed)?;
    let mut length = [0; 2];
    stream.read_exact(&mut length)?;
    let mut response = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut response)?;
    parse(&response)
        .filter(|_| response[..2] == message[..2] && response[2] & 0x80 != 0)
        .ok_or_else(|| io::Error::other("no DNS response"))
}

fn skip_name(bytes: &[u8], mut at: usize) -> Option<usize> {
    loop {
        match *bytes.get(at)? {
            0 => return Some(at + 1),
            length if length >= 0xc0 => return Some(at + 2),
            length => at += 1 + usize::from(length),
        }
    }
}

fn parse(bytes: &[u8]) -> Option<Answer> {
    let number = |at: usize| Some(u16::from_be_bytes([*bytes.get(at)?, *bytes.get(at + 1)?]));
    let mut at = 12;
    for _ in 0..number(4)? {
        at = skip_name(bytes, at)? + 4;
    }
    let mut records = Vec::new();
    for _ in 0..number(6)? {
        at = skip_name(bytes, at)?;
        let (kind, length) = (number(at)?, usize::from(number(at + 8)?));
        records.push((kind, bytes.get(at + 10..at + 10 + length)?.to_vec()));
        at += 10 + length;
    }
    Some(Answer { code: bytes.get(3)? & 0xf, records })
}

/// HMAC with SHA-256 (RFC 2104).
pub fn hmac(secret: &[u8; 32], message: &[u8]) -> [u8; 32] {
    let pad = |with: u8| {
        let mut block = [with; 64];
        block.iter_mut().zip(secret).for_each(|(octet, key)| *octet ^= key);
        block.to_vec()
    };
    let (mut inner, mut outer) = (pad(0x36), pad(0x5c));
    inner.extend_from_slice(message);
    outer.extend(sha256(&inner));
    sha256(&outer)
}

/// SHA-256 (FIPS 180-4).
pub fn sha256(message: &[u8]) -> [u8; 32] {
    let primes: Vec<u64> = (2..).filter(|n: &u64| (2..*n).all(|d| n % d != 0)).take(64).collect();
    let fraction = |root: f64| (root.fract() * 4_294_967_296.0) as u32;
    let keys: Vec<u32> = primes.iter().map(|prime| fraction((*prime as f64).cbrt())).collect();
    let mut state: Vec<u32> = primes[..8].iter().map(|prime| fraction((*prime as f64).sqrt())).collect();
    let mut padded = message.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend((message.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut words: Vec<u32> =
            block.chunks(4).map(|word| u32::from_be_bytes([word[0], word[1], word[2], word[3]])).collect();
        for at in 16..64 {
            let (a, b) = (words[at - 15], words[at - 2]);
            let s0 = a.rotate_right(7) ^ a.rotate_right(18) ^ (a >> 3);
            let s1 = b.rotate_right(17) ^ b.rotate_right(19) ^ (b >> 10);
            words.push(words[at - 16].wrapping_add(s0).wrapping_add(words[at - 7]).wrapping_add(s1));
        }
        let mut v = state.clone();
        for at in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 =
                v[7].wrapping_add(s1).wrapping_add(choice).wrapping_add(keys[at]).wrapping_add(words[at]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let most = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            v.rotate_right(1);
            v[4] = v[4].wrapping_add(t1);
            v[0] = t1.wrapping_add(s0.wrapping_add(most));
        }
        state.iter_mut().zip(&v).for_each(|(sum, value)| *sum = sum.wrapping_add(*value));
    }
    let mut out = [0; 32];
    out.chunks_mut(4).zip(state).for_each(|(place, word)| place.copy_from_slice(&word.to_be_bytes()));
    out
}

/// A secret in base64, for a file of keys.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let bits =
            group.iter().fold(0_u32, |bits, octet| bits << 8 | u32::from(*octet)) << (8 * (3 - group.len()));
        for place in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * place)) as usize & 63] as char;
            out.push(if place > group.len() { '=' } else { letter });
        }
    }
    out
}
