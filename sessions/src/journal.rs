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
mod tests {
    use super::*;

    fn field(n: u64, name: &str, value: &str) -> lease_protocol::Field {
        lease_protocol::Field { name: name.into(), n, value: value.into() }
    }

    #[test]
    fn only_consecutive_saves_are_accepted_and_the_last_value_of_each_field_remains() {
        let mut journal = Journal::default();
        let max_bytes = 10_000;
        assert_eq!(journal.save(&field(2, "a", "x"), max_bytes), Err(SaveError::Gap));
        for n in 1..=1_000 {
            assert_eq!(
                journal.save(&field(n, ["a", "b"][n as usize % 2], &n.to_string()), max_bytes),
                Ok(())
            );
        }
        assert_eq!(journal.save(&field(1_000, "a", "y"), max_bytes), Err(SaveError::Duplicate));
        assert_eq!(journal.fields_in_save_order(), [(999, "b", &b"999"[..]), (1_000, "a", &b"1000"[..])]);
        assert!(journal.bytes() < 100, "{}", journal.bytes());
        assert_eq!(Journal::from(journal.to_message()), journal);
    }

    #[test]
    fn a_full_journal_accepts_only_saves_that_shrink_it() {
        let mut journal = Journal::default();
        assert_eq!(journal.save(&field(1, "a", &"x".repeat(60)), 100), Ok(()));
        let before = journal.clone();
        assert_eq!(journal.save(&field(2, "b", "y"), 100), Err(SaveError::Full));
        assert_eq!(journal, before);
        // The maximum size was lowered in the meantime.
        assert_eq!(journal.save(&field(2, "a", &"x".repeat(61)), 50), Err(SaveError::Full));
        assert_eq!(journal.save(&field(2, "a", &"x".repeat(50)), 50), Ok(()));
        assert_eq!(journal.upto(), 2);
    }
}
