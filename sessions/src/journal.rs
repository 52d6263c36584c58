//! What a session has saved.

use marllink_lease_protocol as keep;
use std::collections::BTreeMap;

/// Room that a field takes besides its name and its value, in bytes.
const OVERHEAD: usize = 32;

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
pub enum NotTaken {
    /// It is in the journal already.
    Known,
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
    pub fn save(&mut self, field: &keep::Field, bound: usize) -> Result<(), NotTaken> {
        if field.n <= self.upto {
            return Err(NotTaken::Known);
        }
        if field.n != self.upto + 1 {
            return Err(NotTaken::Gap);
        }
        let cost = |name: &str, value: &[u8]| name.len() + value.len() + OVERHEAD;
        let before = self.fields.get(&field.name).map_or(0, |(_, value)| cost(&field.name, value));
        let bytes = self.bytes - before + cost(&field.name, &field.value);
        if bytes > bound && bytes > self.bytes {
            return Err(NotTaken::Full);
        }
        self.fields.insert(field.name.clone(), (field.n, field.value.clone()));
        self.bytes = bytes;
        self.upto = field.n;
        Ok(())
    }

    /// As keepers are told it.
    pub fn told(&self) -> keep::Journal {
        let field = |(name, (n, value)): (&String, &(u64, Vec<u8>))| keep::Field {
            name: name.clone(),
            n: *n,
            value: value.clone(),
        };
        keep::Journal { upto: self.upto, fields: self.fields.iter().map(field).collect() }
    }

    /// The fields, in the order in which they were saved.
    pub fn in_order(&self) -> Vec<(u64, &str, &[u8])> {
        let mut fields: Vec<_> =
            self.fields.iter().map(|(name, (n, value))| (*n, name.as_str(), value.as_slice())).collect();
        fields.sort_unstable_by_key(|(n, ..)| *n);
        fields
    }
}

impl From<keep::Journal> for Journal {
    fn from(told: keep::Journal) -> Self {
        let mut journal = Self { upto: told.upto, ..Self::default() };
        for keep::Field { name, n, value } in told.fields {
            journal.bytes += name.len() + value.len() + OVERHEAD;
            journal.fields.insert(name, (n, value));
        }
        journal
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn field(n: u64, name: &str, value: &str) -> keep::Field {
        keep::Field { name: name.into(), n, value: value.into() }
    }

    #[test]
    fn only_the_next_save_is_taken_and_the_last_of_each_field_stays() {
        let mut journal = Journal::default();
        let bound = 10_000;
        assert_eq!(journal.save(&field(2, "a", "x"), bound), Err(NotTaken::Gap));
        for n in 1..=1_000 {
            assert_eq!(journal.save(&field(n, ["a", "b"][n as usize % 2], &n.to_string()), bound), Ok(()));
        }
        assert_eq!(journal.save(&field(1_000, "a", "y"), bound), Err(NotTaken::Known));
        assert_eq!(journal.in_order(), [(999, "b", &b"999"[..]), (1_000, "a", &b"1000"[..])]);
        assert!(journal.bytes() < 100, "{}", journal.bytes());
        assert_eq!(Journal::from(journal.told()), journal);
    }

    #[test]
    fn at_its_bound_it_takes_only_what_makes_it_smaller() {
        let mut journal = Journal::default();
        assert_eq!(journal.save(&field(1, "a", &"x".repeat(60)), 100), Ok(()));
        let before = journal.clone();
        assert_eq!(journal.save(&field(2, "b", "y"), 100), Err(NotTaken::Full));
        assert_eq!(journal, before);
        // The bound was lowered meanwhile.
        assert_eq!(journal.save(&field(2, "a", &"x".repeat(61)), 50), Err(NotTaken::Full));
        assert_eq!(journal.save(&field(2, "a", &"x".repeat(50)), 50), Ok(()));
        assert_eq!(journal.upto(), 2);
    }
}
