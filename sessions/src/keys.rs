//! The keys that encrypt session tokens.

use chacha20poly1305::{KeyInit, XChaCha20Poly1305};
use serde::Deserialize;
use std::fmt;
use zeroize::Zeroizing;

/// A set of keys: the newest active key seals tokens, and all keys open them. Secrets are never printed, and
/// are wiped from memory when dropped.
#[derive(Clone)]
pub struct KeyRing {
    /// Ordered by the time from which they are active.
    keys: Vec<Key>,
}

#[derive(Clone)]
struct Key {
    id: u32,
    seals_from_s: u64,
    secret: Zeroizing<[u8; 32]>,
}

/// A problem found in a key file. It never contains a secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The file has the wrong syntax; the text names the position.
    Syntax(String),
    /// The file contains no key.
    NoKeys,
    /// Two keys have this id.
    DuplicateId(u32),
    /// The secret of this key is not 64 hexadecimal digits.
    MalformedSecret(u32),
    /// The secret of this key repeats a single byte, as in an example that was never filled in.
    WeakSecret(u32),
    /// No key is active yet. The first becomes active at this Unix time, in seconds.
    NoActiveKey(u64),
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(problem) => write!(
                f,
                "{problem}; expected: {{\"keys\":[{{\"id\":1,\"seals_from\":0,\"secret\":\"64 hexadecimal digits\"}}]}}"
            ),
            Self::NoKeys => f.write_str("/keys: no key; at least one is required"),
            Self::DuplicateId(id) => write!(f, "/keys: two keys have the id {id}; ids must be unique"),
            Self::MalformedSecret(id) => {
                write!(f, "/keys: the secret of key {id} is not 64 hexadecimal digits")
            }
            Self::WeakSecret(id) => {
                write!(f, "/keys: the secret of key {id} repeats a single byte; use 32 random bytes")
            }
            Self::NoActiveKey(from) => {
                write!(f, "/keys: no key is active before {from} (Unix time); one must be active now")
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
    /// Parses a key file, at this Unix time in milliseconds.
    ///
    /// # Errors
    /// Returns the first problem found. The message never contains a secret.
    pub fn parse(text: &[u8], unix_ms: f64) -> Result<Self, KeyError> {
        let file: File = serde_json::from_slice(text).map_err(|e| {
            // The message of serde_json may contain a string from the file.
            KeyError::Syntax(format!("not a key file at line {}, column {}", e.line(), e.column()))
        })?;
        let mut keys: Vec<Key> = Vec::with_capacity(file.keys.len());
        for key in file.keys {
            if keys.iter().any(|k| k.id == key.id) {
                return Err(KeyError::DuplicateId(key.id));
            }
            let secret = parse_secret(&key.secret).ok_or(KeyError::MalformedSecret(key.id))?;
            if secret.iter().all(|b| *b == secret[0]) {
                return Err(KeyError::WeakSecret(key.id));
            }
            keys.push(Key { id: key.id, seals_from_s: key.seals_from, secret });
        }
        keys.sort_by_key(|k| k.seals_from_s);
        let first_active_s = keys.first().ok_or(KeyError::NoKeys)?.seals_from_s;
        let ring = Self { keys };
        if ring.sealing_key(unix_ms).is_none() {
            Err(KeyError::NoActiveKey(first_active_s))
        } else {
            Ok(ring)
        }
    }

    /// Returns the id and the cipher of the newest active key.
    pub(crate) fn sealing_key(&self, unix_ms: f64) -> Option<(u32, XChaCha20Poly1305)> {
        let is_active = |k: &&Key| k.seals_from_s as f64 * 1_000.0 <= unix_ms;
        self.keys.iter().rfind(is_active).map(|k| (k.id, k.cipher()))
    }

    /// Returns the cipher of the key with this id.
    pub(crate) fn cipher(&self, id: u32) -> Option<XChaCha20Poly1305> {
        self.keys.iter().find(|k| k.id == id).map(Key::cipher)
    }
}

impl Key {
    fn cipher(&self) -> XChaCha20Poly1305 {
        XChaCha20Poly1305::new((&*self.secret).into())
    }
}

fn parse_secret(text: &str) -> Option<Zeroizing<[u8; 32]>> {
    if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut secret = Zeroizing::new([0; 32]);
    for (index, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(secret)
}
