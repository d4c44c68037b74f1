//! DNS cookies, by which a client proves its source address (RFC 7873). They are made as in RFC 9018, so that all servers
//! that share a secret accept each other's cookies.

use siphasher::sip::SipHasher24;
use std::hash::Hasher;
use std::net::IpAddr;

/// A server cookie: version, reserved octets, time and hash.
pub type ServerCookie = [u8; 16];

/// The greatest age of a cookie, and how far in the future its time may be (RFC 9018 section 4.3).
const MAX_AGE_SECS: u32 = 3600;
const MAX_AHEAD_SECS: u32 = 300;

/// The key of the cookie hash, shared by all servers of a fleet.
#[derive(Clone, Copy)]
pub struct Secret(pub [u8; 16]);

impl Secret {
    fn hash(&self, client: [u8; 8], header: [u8; 8], address: IpAddr) -> [u8; 8] {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(&client);
        hasher.write(&header);
        match address {
            IpAddr::V4(address) => hasher.write(&address.octets()),
            IpAddr::V6(address) => hasher.write(&address.octets()),
        }
        hasher.finish().to_le_bytes()
    }

    /// The server cookie for a client cookie and address; `now` is in Unix seconds.
    pub fn issue(&self, client: [u8; 8], address: IpAddr, now: u32) -> ServerCookie {
        let mut cookie = [0; 16];
        cookie[0] = 1;
        cookie[4..8].copy_from_slice(&now.to_be_bytes());
        let header = cookie[..8].try_into().expect("eight");
        cookie[8..].copy_from_slice(&self.hash(client, header, address));
        cookie
    }

    /// Whether a server cookie was made with this secret for this client cookie and address, and has not expired.
    pub fn is_valid(&self, client: [u8; 8], cookie: &[u8], address: IpAddr, now: u32) -> bool {
        let Ok(cookie) = ServerCookie::try_from(cookie) else { return false };
        let header: [u8; 8] = cookie[..8].try_into().expect("eight");
        let issued_at = u32::from_be_bytes(cookie[4..8].try_into().expect("four"));
        // The time is compared in serial number arithmetic, as it wraps (RFC 9018 section 4.3).
        let age = now.wrapping_sub(issued_at) as i32;
        let fresh = age <= MAX_AGE_SECS as i32 && age >= -(MAX_AHEAD_SECS as i32);
        let expected = self.hash(client, header, address);
        // Compares in constant time, so that the duration does not tell where the hashes differ.
        let difference = expected.iter().zip(&cookie[8..]).fold(0, |difference, (a, b)| difference | (a ^ b));
        cookie[..4] == [1, 0, 0, 0] && fresh && difference == 0
    }
}
