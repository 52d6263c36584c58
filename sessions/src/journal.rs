//! What a session has saved.

use marllink_lease_protocol as lease_protocol;
use std::collections::BTreeMap;

/// Room that a field takes besides its name and its value, in bytes.
const FIELD_OVERHEAD_BYTES: usize = 32;

/// What the saves of a session come to: each field as it was saved last. A field that is saved a
/// thousand times takes the room of one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Journal {
    upto: u64,
    fields: BTreeMap<String, (u64, Vec<u8>)>,
    bytes: usize,
}

/// A save was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SaveError {
    /// It is in the journal already.
    Duplicate,
    /// One before it is missing.
    Gap,
    /// There would be more in it than the bound, in bytes.
    Full,
}

impl Journal {
    /// The number of the last save.
    pub fn upto(&self) -> u64 {
        self.upto
    }

    /// Room that it takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes the next save, unless there would be more than `bound` bytes in it. A save that makes
    /// the journal smaller is taken whatever the bound.
    ///
    /// # Errors
    /// Tells why the save was not taken; nothing has changed then.
    pub fn save(&mut self, field: &lease_protocol::Field, max_bytes: usize) -> Result<(), SaveError> {
        if field.n <= self.upto {
            return Err(SaveError::Duplicate);
        }
        if field.n != self.upto + 1 {
            return Err(SaveError::Gap);
        }
        let cost = |name: &str, value: &[u8]| name.len() + value.len() + FIELD_OVERHEAD_BYTES;
        let before = self.fields.get(&field.name).map_or(0, |(_, value)| cost(&field.name, value));
        let bytes = self.bytes - before + cost(&field.name, &field.value);
        if bytes > max_bytes && bytes > self.bytes {
            return Err(SaveError::Full);
        }
        self.fields.insert(field.name.clone(), (field.n, field.value.clone()));
        self.bytes = bytes;
        self.upto = field.n;
        Ok(())
    }

    /// As keepers are told it.
    pub fn to_message(&self) -> lease_protocol::Journal {
        let field = |(name, (n, value)): (&String, &(u64, Vec<u8>))| lease_protocol::Field {
            name: name.clone(),
            n: *n,
            value: value.clone(),
        };
        lease_protocol::Journal { upto: self.upto, fields: self.fields.iter().map(field).collect() }
    }

    /// The fields, in the order in which they were saved.
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
    fn only_the_next_save_is_taken_and_the_last_of_each_field_stays() {
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
    fn at_its_bound_it_takes_only_what_makes_it_smaller() {
        let mut journal = Journal::default();
        assert_eq!(journal.save(&field(1, "a", &"x".repeat(60)), 100), Ok(()));
        let before = journal.clone();
        assert_eq!(journal.save(&field(2, "b", "y"), 100), Err(SaveError::Full));
        assert_eq!(journal, before);
        // The bound was lowered meanwhile.
        assert_eq!(journal.save(&field(2, "a", &"x".repeat(61)), 50), Err(SaveError::Full));
        assert_eq!(journal.save(&field(2, "a", &"x".repeat(50)), 50), Ok(()));
        assert_eq!(journal.upto(), 2);
    }
}
