//! Tests of the journal.

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
        assert_eq!(journal.save(&field(n, ["a", "b"][n as usize % 2], &n.to_string()), max_bytes), Ok(()));
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
