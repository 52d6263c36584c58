//! The saved fields of a session.

use marllink_lease_protocol as lease_protocol;
use std::collections::BTreeMap;

/// Size accounted for a field in addition to its name and value, in bytes.
const FIELD_OVERHEAD_BYTES: usize = 32;

/// Combined result of the saves of a session: the last value of each field. A field that is saved a thousand
/// times takes the space of one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Journal {
    upto: u64,
    fields: BTreeMap<String, (u64, Vec<u8>)>,
    bytes: usize,
}

/// Reason why a save was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SaveError {
    /// The journal already includes it.
    Duplicate,
    /// An earlier save is missing.
    Gap,
    /// The journal would exceed its maximum size.
    Full,
}

impl Journal {
    /// Returns the number of the last save.
    pub fn upto(&self) -> u64 {
        self.upto
    }

    /// Returns the accounted size, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Applies the next save, unless the journal would exceed `max_bytes`. A save that shrinks the journal is
    /// always accepted.
    ///
    /// # Errors
    /// Returns the reason why the save was not accepted. The journal is unchanged then.
    pub fn save(&mut self, field: &lease_protocol::Field, max_bytes: usize) -> Result<(), SaveError> {
        if field.n <= self.upto {
            return Err(SaveError::Duplicate);
        }
        if field.n != self.upto + 1 {
            return Err(SaveError::Gap);
        }
        let size_bytes = |name: &str, value: &[u8]| name.len() + value.len() + FIELD_OVERHEAD_BYTES;
        let bytes_before =
            self.fields.get(&field.name).map_or(0, |(_, value)| size_bytes(&field.name, value));
        let bytes = self.bytes - bytes_before + size_bytes(&field.name, &field.value);
        if bytes > max_bytes && bytes > self.bytes {
            return Err(SaveError::Full);
        }
        self.fields.insert(field.name.clone(), (field.n, field.value.clone()));
        self.bytes = bytes;
        self.upto = field.n;
        Ok(())
    }

    /// Returns the journal as a message for the replicas.
    pub fn to_message(&self) -> lease_protocol::Journal {
        let field = |(name, (n, value)): (&String, &(u64, Vec<u8>))| lease_protocol::Field {
            name: name.clone(),
            n: *n,
            value: value.clone(),
        };
        lease_protocol::Journal { upto: self.upto, fields: self.fields.iter().map(field).collect() }
    }

    /// Returns the fields in the order in which they were last saved.
    pub fn fields_in_save_order(&self) -> Vec<(u64, &str, &[u8])> {
        let mut fields: Vec<_> =
            self.fields.iter().map(|(name, (n, value))| (*n, name.as_str(), value.as_slice())).collect();
        fields.sort_unstable_by_key(|(n, ..)| *n);
        fields
    }
}

impl From<lease_protocol::Journal> for Journal {
    fn from(message: lease_protocol::Journal) -> Self {
        let mut journal = Self { upto: message.upto, ..Self::default() };
        for lease_protocol::Field { name, n, value } in message.fields {
            journal.bytes += name.len() + value.len() + FIELD_OVERHEAD_BYTES;
            journal.fields.insert(name, (n, value));
        }
        journal
    }
}

#[cfg(test)]
mod tests;
