//! Tokens: what a client carries from one balancer to the next.
//!
//! A token is the base64 (RFC 4648, for URLs, without padding) of a version byte, the key's id in four
//! bytes (the highest first), a nonce of 24 bytes, and what is sealed with XChaCha20-Poly1305 under
//! that key, with `marllink-session`, version and id as the associated data.

use crate::keys::KeyRing;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use chacha20poly1305::aead::{Aead, Payload};
use marllink_lease_protocol::{Configuration, SessionId};
use serde::{Deserialize, Serialize};
use std::fmt;

const VERSION: u8 = 1;
const CONTEXT: &[u8] = b"marllink-session";
const NONCE: usize = 24;
const HEAD: usize = 1 + 4 + NONCE;
/// No token comes near this, in characters; a longer one is refused unread.
const LONGEST: usize = 1_024;
/// Balancers' wall clocks may differ by so much, in milliseconds.
const SKEW_MS: u64 = 120_000;

/// What a token says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The session.
    pub session: SessionId,
    /// The claim under which it was issued.
    pub epoch: u64,
    /// The last save that was confirmed by then.
    pub upto: u64,
    /// The form host that held the session.
    pub holder: u64,
    /// Who keeps what it has saved.
    #[serde(rename = "keepers")]
    pub replicas: Configuration,
    /// When it was issued and when it expires: Unix time in milliseconds.
    pub issued_ms: u64,
    /// As above.
    pub expires_ms: u64,
}

/// Why a token is not good. Clients are not told which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenError {
    /// It is not the base64 of anything as long as a token.
    Malformed,
    /// It is of another version.
    UnsupportedVersion(u8),
    /// No key in the file has its key's id.
    UnknownKey(u32),
    /// It was not sealed with that key, or has been changed since.
    Forged,
    /// It was sealed with that key, and says nothing that this version understands.
    Undecodable,
    /// Its time is past.
    Expired,
    /// It was issued in time to come: a clock is wrong.
    IssuedInFuture,
}

impl TokenError {
    /// A stable name, for logs and metrics.
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
            Self::Malformed => f.write_str("no token: wanted is the text after `TOKEN `, whole"),
            Self::UnsupportedVersion(version) => write!(f, "version {version}; this program reads {VERSION}"),
            Self::UnknownKey(id) => write!(f, "sealed with key {id}, which is not in the key file"),
            Self::Forged => f.write_str("not sealed with the key that it names, or changed since"),
            Self::Undecodable => f.write_str("sealed with a known key, but of no meaning here"),
            Self::Expired => f.write_str("expired"),
            Self::IssuedInFuture => f.write_str("issued in time to come: a clock is wrong"),
        }
    }
}

impl std::error::Error for TokenError {}

impl Token {
    /// Seals it with the newest key whose time has come; `None` if there is none. A nonce must not be
    /// used twice: it is to be drawn at random.
    #[must_use]
    pub fn seal(&self, keys: &KeyRing, nonce: [u8; NONCE], unix_ms: f64) -> Option<String> {
        let (id, cipher) = keys.sealing(unix_ms)?;
        let plain = postcard::to_allocvec(self).ok()?;
        let payload = Payload { msg: &plain, aad: &context(id) };
        let sealed = cipher.encrypt(&nonce.into(), payload).ok()?;
        let mut bytes = vec![VERSION];
        bytes.extend(id.to_be_bytes());
        bytes.extend(nonce);
        bytes.extend(sealed);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Opens a token, whenever it was issued.
    ///
    /// # Errors
    /// Tells why it can't be read.
    pub fn unseal(text: &[u8], keys: &KeyRing) -> Result<Self, TokenError> {
        if text.len() > LONGEST {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Malformed)?;
        if bytes.len() <= HEAD {
            return Err(TokenError::Malformed);
        }
        if bytes[0] != VERSION {
            return Err(TokenError::UnsupportedVersion(bytes[0]));
        }
        let id = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
        let cipher = keys.opening(id).ok_or(TokenError::UnknownKey(id))?;
        let mut nonce = [0; NONCE];
        nonce.copy_from_slice(&bytes[5..HEAD]);
        let payload = Payload { msg: &bytes[HEAD..], aad: &context(id) };
        let plain = cipher.decrypt(&nonce.into(), payload).map_err(|_| TokenError::Forged)?;
        postcard::from_bytes(&plain).map_err(|_| TokenError::Undecodable)
    }

    /// Opens a token that must be good at this Unix time, in milliseconds.
    ///
    /// # Errors
    /// Tells why it is not good.
    pub fn validate(text: &[u8], keys: &KeyRing, unix_ms: f64) -> Result<Self, TokenError> {
        let token = Self::unseal(text, keys)?;
        let now = unix_ms.max(0.0) as u64;
        if token.expires_ms <= now {
            Err(TokenError::Expired)
        } else if token.issued_ms > now + SKEW_MS {
            Err(TokenError::IssuedInFuture)
        } else {
            Ok(token)
        }
    }

    /// The id of the key that a token names, whoever sealed it.
    #[must_use]
    pub fn key_id(text: &[u8]) -> Option<u32> {
        let bytes = URL_SAFE_NO_PAD.decode(text).ok().filter(|b| b.len() > HEAD && b[0] == VERSION)?;
        Some(u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]))
    }
}

fn context(id: u32) -> Vec<u8> {
    [CONTEXT, &[VERSION], &id.to_be_bytes()].concat()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::keys::KeyError;
    use marllink_lease_protocol::Member;

    const NOW: f64 = 1_700_000_000_000.0;

    fn file(keys: &[(u32, u64, &str)]) -> String {
        let key = |(id, from, secret): &(u32, u64, &str)| {
            format!(r#"{{"id":{id},"seals_from":{from},"secret":"{secret}"}}"#)
        };
        format!(r#"{{"keys":[{}]}}"#, keys.iter().map(key).collect::<Vec<_>>().join(","))
    }

    fn ring(keys: &[(u32, u64, &str)]) -> KeyRing {
        KeyRing::parse(file(keys).as_bytes(), NOW).expect("it is sound")
    }

    const OLD: (u32, u64, &str) = (7, 0, "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff");
    const NEW: (u32, u64, &str) =
        (8, 1_600_000_000, "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff");

    fn token() -> Token {
        let members = (1..=3).map(|n| Member { server: n, incarnation: n << 40 }).collect();
        Token {
            session: SessionId { hi: 1, lo: 2 },
            epoch: 3,
            upto: 400,
            holder: 9,
            replicas: Configuration { number: 2, members },
            issued_ms: NOW as u64,
            expires_ms: NOW as u64 + 60_000,
        }
    }

    #[test]
    fn a_token_is_opened_by_every_key_of_the_file_and_sealed_by_the_newest_whose_time_has_come() {
        let later = (9, 1_800_000_000, "aa112233445566778899aabbccddeeff00112233445566778899aabbccddeeff");
        let old = token().seal(&ring(&[OLD]), [1; 24], NOW).expect("a key seals");
        let both = ring(&[later, NEW, OLD]);
        assert_eq!(Token::validate(old.as_bytes(), &both, NOW), Ok(token()));
        let new = token().seal(&both, [2; 24], NOW).expect("a key seals");
        assert_eq!(Token::key_id(new.as_bytes()), Some(8));
        assert_eq!(Token::validate(new.as_bytes(), &ring(&[OLD]), NOW), Err(TokenError::UnknownKey(8)));
        let future = token().seal(&both, [2; 24], 1_800_000_000_000.0).expect("a key seals");
        assert_eq!(Token::key_id(future.as_bytes()), Some(9));
    }

    #[test]
    fn whatever_byte_is_changed_or_cut_off_the_token_is_no_good() {
        let ring = ring(&[OLD, NEW]);
        let good = token().seal(&ring, [1; 24], NOW).expect("a key seals");
        assert!(good.len() < 256, "{}", good.len());
        let bytes = URL_SAFE_NO_PAD.decode(&good).expect("it is base64");
        for at in 0..bytes.len() {
            for bit in 0..8 {
                let mut bad = bytes.clone();
                bad[at] ^= 1 << bit;
                let opened = Token::validate(URL_SAFE_NO_PAD.encode(&bad).as_bytes(), &ring, NOW);
                let reason = opened.expect_err("one bit was changed");
                match at {
                    0 => assert!(matches!(reason, TokenError::UnsupportedVersion(_))),
                    // One bit turns the id 8 into no other that is there.
                    1..5 => assert!(matches!(reason, TokenError::UnknownKey(_)), "{at}: {reason:?}"),
                    _ => assert_eq!(reason, TokenError::Forged),
                }
            }
        }
        for end in 0..good.len() {
            assert!(Token::validate(&good.as_bytes()[..end], &ring, NOW).is_err());
        }
        let long = good.repeat(20);
        assert_eq!(Token::validate(long.as_bytes(), &ring, NOW), Err(TokenError::Malformed));
    }

    #[test]
    fn a_token_is_good_from_its_issue_to_its_expiry() {
        let ring = ring(&[OLD]);
        let text = token().seal(&ring, [1; 24], NOW).expect("a key seals");
        let open = |at: f64| Token::validate(text.as_bytes(), &ring, at).map(|_| ());
        assert_eq!(open(NOW + 59_999.0), Ok(()));
        assert_eq!(open(NOW + 60_000.0), Err(TokenError::Expired));
        assert_eq!(open(NOW - 60_000.0), Ok(()));
        assert_eq!(open(NOW - 600_000.0), Err(TokenError::IssuedInFuture));
    }

    #[test]
    fn a_key_file_that_is_not_sound_is_refused_and_no_secret_is_told() {
        let parse =
            |text: &str| KeyRing::parse(text.as_bytes(), NOW).map(|_| ()).expect_err("it is not sound");
        assert_eq!(parse(r#"{"keys":[]}"#), KeyError::NoKeys);
        assert_eq!(parse(&file(&[OLD, OLD])), KeyError::DuplicateId(7));
        assert_eq!(parse(&file(&[(1, 0, "secret")])), KeyError::MalformedSecret(1));
        assert_eq!(parse(&file(&[(1, 0, &"ab".repeat(32))])), KeyError::WeakSecret(1));
        assert_eq!(parse(&file(&[(1, 1_800_000_000, OLD.2)])), KeyError::NoActiveKey(1_800_000_000));
        let odd = file(&[OLD]).replace("secret", "secrets");
        for error in [parse(&odd), parse(&file(&[(1, 0, &OLD.2[1..])])), parse("{")] {
            assert!(!error.to_string().contains(&OLD.2[1..9]), "{error}");
        }
        let shown = format!("{:?}", ring(&[OLD, NEW]));
        assert_eq!(shown, "[(7, 0), (8, 1600000000)]");
    }
}
