//! Session tokens, which clients present to resume a session at another balancer.
//!
//! A token is the URL-safe base64 encoding (RFC 4648, without padding) of a version byte, the id of the key
//! (4 bytes, big-endian), a nonce of 24 bytes, and the content encrypted with XChaCha20-Poly1305 under that
//! key. The associated data is `marllink-session`, the version and the key id.

use crate::keys::KeyRing;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use chacha20poly1305::aead::{Aead, Payload};
use marllink_lease_protocol::{Configuration, SessionId};
use serde::{Deserialize, Serialize};
use std::fmt;

const VERSION: u8 = 1;
const ASSOCIATED_DATA_PREFIX: &[u8] = b"marllink-session";
const NONCE_BYTES: usize = 24;
const HEADER_BYTES: usize = 1 + 4 + NONCE_BYTES;
/// Maximum length of a token in characters, well above that of any valid token. Longer input is rejected
/// without decoding.
const MAX_TOKEN_CHARS: usize = 1_024;
/// Maximum difference between the wall clocks of two balancers, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 120_000;

/// Content of a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The session.
    pub session: SessionId,
    /// Epoch of the claim under which it was issued.
    pub epoch: u64,
    /// Number of the last confirmed save at that time.
    pub upto: u64,
    /// The server that held the session.
    pub holder: u64,
    /// Replicas of the session.
    #[serde(rename = "keepers")]
    pub replicas: Configuration,
    /// Time of issue: Unix time in milliseconds.
    pub issued_ms: u64,
    /// Expiry time: Unix time in milliseconds.
    pub expires_ms: u64,
}

/// Reason why a token is invalid. Clients do not learn it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenError {
    /// It is not base64 or has the wrong length.
    Malformed,
    /// Its version is not supported.
    UnsupportedVersion(u8),
    /// The key file does not contain the key with this id.
    UnknownKey(u32),
    /// It was not sealed with the key it names, or was modified since.
    Forged,
    /// It was sealed with that key, but its content cannot be decoded.
    Undecodable,
    /// It has expired.
    Expired,
    /// Its time of issue is in the future: a clock is wrong.
    IssuedInFuture,
}

impl TokenError {
    /// Returns a stable name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "no_token",
            Self::UnsupportedVersion(_) => "version",
            Self::UnknownKey(_) => "unknown_key",
            Self::Forged => "forged",
            Self::Undecodable => "meaningless",
            Self::Expired => "expired",
            Self::IssuedInFuture => "from_the_future",
        }
    }
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("malformed: expected the complete text after `TOKEN `"),
            Self::UnsupportedVersion(version) => {
                write!(f, "of version {version}, but only version {VERSION} is supported")
            }
            Self::UnknownKey(id) => write!(f, "sealed with key {id}, which is not in the key file"),
            Self::Forged => f.write_str("not sealed with the key that it names, or modified since"),
            Self::Undecodable => f.write_str("sealed with a known key, but its content cannot be decoded"),
            Self::Expired => f.write_str("expired"),
            Self::IssuedInFuture => f.write_str("issued in the future: a clock is wrong"),
        }
    }
}

impl std::error::Error for TokenError {}

impl Token {
    /// Encrypts the token with the newest active key. Returns `None` if no key is active. A nonce must never
    /// be reused: draw it at random.
    #[must_use]
    pub fn seal(&self, keys: &KeyRing, nonce: [u8; NONCE_BYTES], unix_ms: f64) -> Option<String> {
        let (id, cipher) = keys.sealing_key(unix_ms)?;
        let plaintext = postcard::to_allocvec(self).ok()?;
        let payload = Payload { msg: &plaintext, aad: &associated_data(id) };
        let sealed = cipher.encrypt(&nonce.into(), payload).ok()?;
        let mut bytes = vec![VERSION];
        bytes.extend(id.to_be_bytes());
        bytes.extend(nonce);
        bytes.extend(sealed);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Decrypts a token without checking its validity period.
    ///
    /// # Errors
    /// Returns the reason why the token cannot be read.
    pub fn unseal(text: &[u8], keys: &KeyRing) -> Result<Self, TokenError> {
        if text.len() > MAX_TOKEN_CHARS {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
        if bytes.len() <= HEADER_BYTES {
            return Err(TokenError::Malformed);
        }
        if bytes[0] != VERSION {
            return Err(TokenError::UnsupportedVersion(bytes[0]));
        }
        let id = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
        let cipher = keys.cipher(id).ok_or(TokenError::UnknownKey(id))?;
        let mut nonce = [0; NONCE_BYTES];
        nonce.copy_from_slice(&bytes[5..HEADER_BYTES]);
        let payload = Payload { msg: &bytes[HEADER_BYTES..], aad: &associated_data(id) };
        let plaintext = cipher.decrypt(&nonce.into(), payload).map_err(|_| TokenError::Forged)?;
        postcard::from_bytes(&plaintext).map_err(|_| TokenError::Undecodable)
    }

    /// Decrypts a token and checks that it is valid at this Unix time, in milliseconds.
    ///
    /// # Errors
    /// Returns the reason why the token is invalid.
    pub fn validate(text: &[u8], keys: &KeyRing, unix_ms: f64) -> Result<Self, TokenError> {
        let token = Self::unseal(text, keys)?;
        let now = unix_ms.max(0.0) as u64;
        if token.expires_ms <= now {
            Err(TokenError::Expired)
        } else if token.issued_ms > now + MAX_CLOCK_SKEW_MS {
            Err(TokenError::IssuedInFuture)
        } else {
            Ok(token)
        }
    }

    /// Returns the id of the key that a token names, without checking its authenticity.
    #[must_use]
    pub fn key_id(text: &[u8]) -> Option<u32> {
        let bytes =
            URL_SAFE_NO_PAD.decode(text).ok().filter(|b| b.len() > HEADER_BYTES && b[0] == VERSION)?;
        Some(u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]))
    }
}

fn associated_data(id: u32) -> Vec<u8> {
    [ASSOCIATED_DATA_PREFIX, &[VERSION], &id.to_be_bytes()].concat()
}

#[cfg(test)]
mod tests;
