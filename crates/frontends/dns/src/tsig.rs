//! Transaction signatures, TSIG (RFC 8945): keys, verification of requests and responses, and signing.

use hmac::{Hmac, KeyInit, Mac};
use lynxtally_zones::Name;
use sha2::{Sha256, Sha384, Sha512};
use std::fmt;
use std::sync::Arc;

/// The HMAC algorithm of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Algorithm {
    /// HMAC with SHA-256.
    Sha256,
    /// HMAC with SHA-384.
    Sha384,
    /// HMAC with SHA-512.
    Sha512,
}

impl Algorithm {
    /// The algorithm's name in messages and key files, without the final dot.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Sha256 => "hmac-sha256",
            Self::Sha384 => "hmac-sha384",
            Self::Sha512 => "hmac-sha512",
        }
    }

    /// The algorithm of this name, in any case and with or without the final dot.
    pub fn parse(text: &str) -> Option<Self> {
        [Self::Sha256, Self::Sha384, Self::Sha512]
            .into_iter()
            .find(|algorithm| text.trim_end_matches('.').eq_ignore_ascii_case(algorithm.as_str()))
    }

    fn name(self) -> Name {
        self.as_str().parse().expect("a name")
    }

    /// The length of a full MAC.
    pub fn mac_bytes(self) -> usize {
        match self {
            Self::Sha256 => 32,
            Self::Sha384 => 48,
            Self::Sha512 => 64,
        }
    }
}

/// A TSIG key. While a key is being replaced, two keys may have the same name.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// The key's name, a domain name.
    pub name: Name,
    /// Its algorithm.
    pub algorithm: Algorithm,
    /// The shared secret.
    pub secret: Vec<u8>,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.algorithm.as_str(), self.name)
    }
}

macro_rules! with_mac {
    ($key:expr, $mac:ident => $body:expr) => {
        match $key.algorithm {
            Algorithm::Sha256 => {
                let mut $mac = Hmac::<Sha256>::new_from_slice(&$key.secret).expect("any length");
                $body
            }
            Algorithm::Sha384 => {
                let mut $mac = Hmac::<Sha384>::new_from_slice(&$key.secret).expect("any length");
                $body
            }
            Algorithm::Sha512 => {
                let mut $mac = Hmac::<Sha512>::new_from_slice(&$key.secret).expect("any length");
                $body
            }
        }
    };
}

impl Key {
    fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        with_mac!(self, mac => {
            parts.iter().for_each(|part| mac.update(part));
            mac.finalize().into_bytes().to_vec()
        })
    }

    /// Whether a MAC, which may be truncated, was made with this key; compared in constant time.
    fn verify(&self, parts: &[&[u8]], signature: &[u8]) -> bool {
        with_mac!(self, mac => {
            parts.iter().for_each(|part| mac.update(part));
            mac.verify_truncated_left(signature).is_ok()
        })
    }

    /// Parses a line of a key file: algorithm, name, and secret in base64.
    pub fn parse(line: &str) -> Result<Self, &'static str> {
        let mut words = line.split_whitespace();
        let (Some(algorithm), Some(name), Some(secret), None) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            return Err("a key is written as ALGORITHM NAME SECRET");
        };
        let algorithm =
            Algorithm::parse(algorithm).ok_or("the algorithm is not hmac-sha256, -sha384 or -sha512")?;
        let name = name.parse().map_err(|_| "the key's name is not a domain name")?;
        let secret =
            data_encoding::BASE64.decode(secret.as_bytes()).map_err(|_| "the secret is not valid base64")?;
        if secret.len() < algorithm.mac_bytes() / 2 {
            return Err("the secret is shorter than half of the algorithm's MAC");
        }
        Ok(Self { name, algorithm, secret })
    }
}

/// The TSIG record of a received message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TsigRecord {
    /// The key's name.
    pub key: Name,
    /// The algorithm's name.
    pub algorithm: Name,
    /// The signing time in Unix seconds.
    pub time: u64,
    /// The permitted difference of the clocks in seconds.
    pub fudge: u16,
    /// The MAC, which may be truncated.
    pub mac: Vec<u8>,
    /// The original ID: that of the message when it was signed.
    pub id: u16,
    /// The TSIG error code of a response.
    pub error: u16,
    /// Other data: with BADTIME the server's time.
    pub other_data: Vec<u8>,
    /// The offset of the record in the message.
    pub offset: usize,
}

/// Why a signature is refused, by its code (RFC 8945 section 3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TsigError {
    /// The MAC does not match the key.
    BadSig,
    /// No key has this name and algorithm.
    BadKey,
    /// The signing time differs from the clock by more than the fudge.
    BadTime,
    /// The MAC is truncated too far.
    BadTrunc,
}

impl TsigError {
    /// The code in the TSIG record's error field.
    pub fn code(self) -> u16 {
        match self {
            Self::BadSig => 16,
            Self::BadKey => 17,
            Self::BadTime => 18,
            Self::BadTrunc => 22,
        }
    }
}

impl fmt::Display for TsigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::BadSig => "the signature does not match the key (BADSIG)",
            Self::BadKey => "the key is unknown (BADKEY)",
            Self::BadTime => "the signing time differs from the clock by more than is allowed (BADTIME)",
            Self::BadTrunc => "the signature is truncated too far (BADTRUNC)",
        })
    }
}

/// The permitted difference of the clocks in the signatures made here (RFC 8945 section 10).
pub const FUDGE_SECS: u16 = 300;
/// The shortest MAC that is accepted; it must also be at least half of a full one (RFC 8945 section 5.2.2.1).
const MIN_MAC_BYTES: usize = 10;

impl TsigRecord {
    /// Parses the data of a TSIG record that begins at `offset` in its message; `None` if it is malformed.
    pub fn read(key: Name, data: &[u8], offset: usize) -> Option<Self> {
        let (algorithm, rest) = Name::split(data).ok()?;
        let (head, rest) = rest.split_first_chunk::<10>()?;
        let time = head[..6].iter().fold(0, |time, octet| time << 8 | u64::from(*octet));
        let pair = |n: usize| u16::from_be_bytes([head[n], head[n + 1]]);
        let (mac, rest) = rest.split_at_checked(usize::from(pair(8)))?;
        let (tail, other_data) = rest.split_first_chunk::<6>()?;
        let tail_pair = |n: usize| u16::from_be_bytes([tail[n], tail[n + 1]]);
        (other_data.len() == usize::from(tail_pair(4))).then(|| Self {
            key,
            algorithm,
            time,
            fudge: pair(6),
            mac: mac.to_vec(),
            id: tail_pair(0),
            error: tail_pair(2),
            other_data: other_data.to_vec(),
            offset,
        })
    }

    fn tsig_variables(&self) -> Vec<u8> {
        let mut out = self.key.wire().to_vec();
        out.extend([0, 255, 0, 0, 0, 0]);
        out.extend_from_slice(self.algorithm.wire());
        out.extend(tsig_timers(self.time, self.fudge));
        out.extend(self.error.to_be_bytes());
        out.extend((self.other_data.len() as u16).to_be_bytes());
        out.extend_from_slice(&self.other_data);
        out
    }
}

fn tsig_timers(time: u64, fudge: u16) -> [u8; 8] {
    let mut out = [0; 8];
    out[..6].copy_from_slice(&time.to_be_bytes()[2..]);
    out[6..].copy_from_slice(&fudge.to_be_bytes());
    out
}

/// The message as it was signed: without the TSIG record, and with its original ID.
fn message_before_signing(octets: &[u8], tsig: &TsigRecord) -> Option<Vec<u8>> {
    let mut message = octets.get(..tsig.offset)?.to_vec();
    message[..2].copy_from_slice(&tsig.id.to_be_bytes());
    let count = u16::from_be_bytes([message[10], message[11]]).checked_sub(1)?;
    message[10..12].copy_from_slice(&count.to_be_bytes());
    Some(message)
}

/// The TSIG keys of a server.
#[derive(Clone, Debug, Default)]
pub struct Keys(pub Vec<Arc<Key>>);

impl Keys {
    /// Verifies a request's signature (RFC 8945 section 5.2); `now` is in Unix seconds. The returned signer signs the
    /// response; an error comes with a signer too.
    pub fn verify(&self, octets: &[u8], tsig: &TsigRecord, now: u64) -> Result<Signer, (TsigError, Signer)> {
        let names_match = |key: &&Arc<Key>| key.name == tsig.key && key.algorithm.name() == tsig.algorithm;
        let keys: Vec<&Arc<Key>> = self.0.iter().filter(names_match).collect();
        let refuse = |error, key| Err((error, Signer::for_error(tsig, error, key, now)));
        if keys.is_empty() {
            return refuse(TsigError::BadKey, None);
        }
        let full_mac_bytes = keys[0].algorithm.mac_bytes();
        if tsig.mac.len() > full_mac_bytes || tsig.mac.len() < MIN_MAC_BYTES.max(full_mac_bytes / 2) {
            return refuse(TsigError::BadTrunc, None);
        }
        let (message, tsig_variables) = (message_before_signing(octets, tsig), tsig.tsig_variables());
        let mac_matches = |key: &&&Arc<Key>| {
            message.as_ref().is_some_and(|message| key.verify(&[message, &tsig_variables], &tsig.mac))
        };
        let Some(key) = keys.iter().find(mac_matches) else { return refuse(TsigError::BadSig, None) };
        if now.abs_diff(tsig.time) > u64::from(tsig.fudge) {
            return refuse(TsigError::BadTime, Some((*key).clone()));
        }
        Ok(Signer {
            key: Some((*key).clone()),
            record_names: (tsig.key.clone(), tsig.algorithm.clone()),
            previous_mac: tsig.mac.clone(),
            id: tsig.id,
            time: now,
            error: 0,
            other_data: Vec::new(),
            is_first: true,
        })
    }
}

/// In a server, signs the responses to one request. In a client, signs one request and verifies the responses to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Signer {
    /// The key; `None` if the message is sent with an empty MAC.
    key: Option<Arc<Key>>,
    record_names: (Name, Name),
    /// The MAC of the request or of the previous message, which the next MAC covers.
    previous_mac: Vec<u8>,
    id: u16,
    time: u64,
    error: u16,
    other_data: Vec<u8>,
    is_first: bool,
}

impl Signer {
    fn for_error(tsig: &TsigRecord, error: TsigError, key: Option<Arc<Key>>, now: u64) -> Self {
        // BADTIME is signed with the request's time and carries the server's time as other data (section 5.2.3).
        let (time, other_data) = match error {
            TsigError::BadTime => (tsig.time, now.to_be_bytes()[2..].to_vec()),
            _ => (tsig.time, Vec::new()),
        };
        Self {
            key,
            record_names: (tsig.key.clone(), tsig.algorithm.clone()),
            previous_mac: tsig.mac.clone(),
            id: tsig.id,
            time,
            error: error.code(),
            other_data,
            is_first: true,
        }
    }

    /// Creates a signer for a request that this process sends as a client.
    pub fn for_request(key: Arc<Key>, now: u64) -> Self {
        let record_names = (key.name.clone(), key.algorithm.name());
        Self {
            key: Some(key),
            record_names,
            previous_mac: Vec::new(),
            id: 0,
            time: now,
            error: 0,
            other_data: Vec::new(),
            is_first: true,
        }
    }

    /// The key's name, if the request's signature was valid.
    pub fn key(&self) -> Option<&Name> {
        self.key.as_ref().filter(|_| self.error == 0).map(|key| &key.name)
    }

    /// The length of the TSIG record that [`Self::sign`] adds.
    pub fn record_bytes(&self) -> usize {
        let mac = self.key.as_ref().map_or(0, |key| key.algorithm.mac_bytes());
        self.record_names.0.wire().len()
            + 10
            + self.record_names.1.wire().len()
            + 10
            + mac
            + 6
            + self.other_data.len()
    }

    /// Adds a TSIG record to a message. In a transfer each further MAC covers the one before it.
    pub fn sign(&mut self, message: &mut Vec<u8>) {
        let tsig = TsigRecord {
            key: self.record_names.0.clone(),
            algorithm: self.record_names.1.clone(),
            time: self.time,
            fudge: FUDGE_SECS,
            mac: Vec::new(),
            id: u16::from_be_bytes([message[0], message[1]]),
            error: self.error,
            other_data: self.other_data.clone(),
            offset: message.len(),
        };
        let previous_length = (self.previous_mac.len() as u16).to_be_bytes();
        let rest =
            if self.is_first { tsig.tsig_variables() } else { tsig_timers(self.time, FUDGE_SECS).to_vec() };
        let mac = self.key.as_ref().map_or(Vec::new(), |key| {
            let previous: [&[u8]; 2] = if self.previous_mac.is_empty() {
                [&[], &[]]
            } else {
                [&previous_length, &self.previous_mac]
            };
            key.sign(&[previous[0], previous[1], message, &rest])
        });
        let mut data = tsig.algorithm.wire().to_vec();
        data.extend(tsig_timers(self.time, FUDGE_SECS));
        data.extend((mac.len() as u16).to_be_bytes());
        data.extend_from_slice(&mac);
        data.extend(tsig.id.to_be_bytes());
        data.extend(self.error.to_be_bytes());
        data.extend((self.other_data.len() as u16).to_be_bytes());
        data.extend_from_slice(&self.other_data);
        message.extend_from_slice(tsig.key.wire());
        message.extend([0, 250, 0, 255, 0, 0, 0, 0]);
        message.extend((data.len() as u16).to_be_bytes());
        message.extend_from_slice(&data);
        let count = u16::from_be_bytes([message[10], message[11]]) + 1;
        message[10..12].copy_from_slice(&count.to_be_bytes());
        (self.previous_mac, self.is_first) = (mac, false);
    }

    /// Verifies the next response to the request that was signed.
    ///
    /// # Errors
    /// The signature is invalid, or the server reports a TSIG error; as text.
    pub fn verify_response(&mut self, octets: &[u8], tsig: &TsigRecord, now: u64) -> Result<(), String> {
        if tsig.error != 0 {
            return Err(format!("the server refused the request's signature with TSIG error {}", tsig.error));
        }
        let Some(key) = self.key.clone() else { return Err("no key to verify the response with".to_owned()) };
        let previous_length = (self.previous_mac.len() as u16).to_be_bytes();
        let message =
            message_before_signing(octets, tsig).ok_or("the response's TSIG record is misplaced")?;
        let rest =
            if self.is_first { tsig.tsig_variables() } else { tsig_timers(tsig.time, tsig.fudge).to_vec() };
        if tsig.key != key.name
            || !key.verify(&[&previous_length, &self.previous_mac, &message, &rest], &tsig.mac)
        {
            return Err(TsigError::BadSig.to_string());
        }
        if now.abs_diff(tsig.time) > u64::from(tsig.fudge) {
            return Err(TsigError::BadTime.to_string());
        }
        (self.previous_mac, self.is_first) = (tsig.mac.clone(), false);
        Ok(())
    }

    /// Prepares for verifying the responses to the request just signed.
    pub fn expect_response(&mut self) {
        self.is_first = true;
    }
}
