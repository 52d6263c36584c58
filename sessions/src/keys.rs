//! The keys that seal tokens.

use chacha20poly1305::{KeyInit, XChaCha20Poly1305};
use serde::Deserialize;
use std::fmt;
use zeroize::Zeroizing;

/// Several keys: the newest whose time has come seals, all of them open. What is secret in them is
/// never printed, and wiped when dropped.
#[derive(Clone)]
pub struct KeyRing {
    /// By the time from which they seal.
    keys: Vec<Key>,
}

#[derive(Clone)]
struct Key {
    id: u32,
    seals_from_s: u64,
    secret: Zeroizing<[u8; 32]>,
}

/// What is wrong with a key file. None of it tells what is secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// It is not of the form that is wanted; where, in words.
    Syntax(String),
    /// It names no key.
    NoKeys,
    /// Two keys have this id.
    DuplicateId(u32),
    /// The secret of this key is not 64 hexadecimal digits.
    MalformedSecret(u32),
    /// The secret of this key is one byte over and over, as in an example that was never filled in.
    WeakSecret(u32),
    /// No key seals yet; the first does at this Unix time, in seconds.
    NoActiveKey(u64),
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(what) => write!(
                f,
                "{what}; wanted is {{\"keys\":[{{\"id\":1,\"seals_from\":0,\"secret\":\"64 hexadecimal digits\"}}]}}"
            ),
            Self::NoKeys => f.write_str("/keys: no key; wanted is one at least"),
            Self::DuplicateId(id) => write!(f, "/keys: two keys with the id {id}; each needs its own"),
            Self::MalformedSecret(id) => {
                write!(f, "/keys: the secret of key {id} is not 64 hexadecimal digits")
            }
            Self::WeakSecret(id) => {
                write!(f, "/keys: the secret of key {id} is one byte over and over; draw 32 random bytes")
            }
            Self::NoActiveKey(from) => {
                write!(f, "/keys: no key seals before {from} (Unix time); one must do so now")
            }
        }
    }
}

impl std::error::Error for KeyError {}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.keys.iter().map(|k| (k.id, k.seals_from_s))).finish()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    keys: Vec<FileKey>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileKey {
    id: u32,
    #[serde(default)]
    seals_from: u64,
    secret: Zeroizing<String>,
}

impl KeyRing {
    /// Reads a key file, at this Unix time in milliseconds.
    ///
    /// # Errors
    /// Says what is wrong with it, and what is wanted; never what is secret.
    pub fn parse(text: &[u8], unix_ms: f64) -> Result<Self, KeyError> {
        let file: File = serde_json::from_slice(text).map_err(|e| {
            // What serde says of a string may show it.
            KeyError::Syntax(format!("not a key file at line {}, column {}", e.line(), e.column()))
        })?;
        let mut keys: Vec<Key> = Vec::with_capacity(file.keys.len());
        for key in file.keys {
            if keys.iter().any(|k| k.id == key.id) {
                return Err(KeyError::DuplicateId(key.id));
            }
            let secret = secret(&key.secret).ok_or(KeyError::MalformedSecret(key.id))?;
            if secret.iter().all(|b| *b == secret[0]) {
                return Err(KeyError::WeakSecret(key.id));
            }
            keys.push(Key { id: key.id, seals_from_s: key.seals_from, secret });
        }
        keys.sort_by_key(|k| k.seals_from_s);
        let first = keys.first().ok_or(KeyError::NoKeys)?.seals_from_s;
        let ring = Self { keys };
        if ring.sealing(unix_ms).is_none() { Err(KeyError::NoActiveKey(first)) } else { Ok(ring) }
    }

    /// The id of the key that seals now, and its cipher.
    pub(crate) fn sealing(&self, unix_ms: f64) -> Option<(u32, XChaCha20Poly1305)> {
        let come = |k: &&Key| k.seals_from_s as f64 * 1_000.0 <= unix_ms;
        self.keys.iter().rfind(come).map(|k| (k.id, k.cipher()))
    }

    /// The cipher of a key.
    pub(crate) fn opening(&self, id: u32) -> Option<XChaCha20Poly1305> {
        self.keys.iter().find(|k| k.id == id).map(Key::cipher)
    }
}

impl Key {
    fn cipher(&self) -> XChaCha20Poly1305 {
        XChaCha20Poly1305::new((&*self.secret).into())
    }
}

fn secret(text: &str) -> Option<Zeroizing<[u8; 32]>> {
    if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut secret = Zeroizing::new([0; 32]);
    for (at, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(secret)
}
