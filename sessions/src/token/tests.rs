//! Tests of tokens and keys.

use super::*;
use crate::keys::KeyError;
use marllink_lease_protocol::Member;

const NOW_MS: f64 = 1_700_000_000_000.0;

fn file(keys: &[(u32, u64, &str)]) -> String {
    let key = |(id, from, secret): &(u32, u64, &str)| {
        format!(r#"{{"id":{id},"seals_from":{from},"secret":"{secret}"}}"#)
    };
    format!(r#"{{"keys":[{}]}}"#, keys.iter().map(key).collect::<Vec<_>>().join(","))
}

fn ring(keys: &[(u32, u64, &str)]) -> KeyRing {
    KeyRing::parse(file(keys).as_bytes(), NOW_MS).expect("the key file is valid")
}

const OLD_KEY: (u32, u64, &str) = (7, 0, "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff");
const NEW_KEY: (u32, u64, &str) =
    (8, 1_600_000_000, "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff");

fn token() -> Token {
    let members = (1..=3).map(|n| Member { server: n, incarnation: n << 40 }).collect();
    Token {
        session: SessionId { hi: 1, lo: 2 },
        epoch: 3,
        upto: 400,
        holder: 9,
        replicas: Configuration { number: 2, members },
        issued_ms: NOW_MS as u64,
        expires_ms: NOW_MS as u64 + 60_000,
    }
}

#[test]
fn tokens_are_sealed_with_the_newest_active_key_and_opened_with_any_key_of_the_file() {
    let future_key = (9, 1_800_000_000, "aa112233445566778899aabbccddeeff00112233445566778899aabbccddeeff");
    let old = token().seal(&ring(&[OLD_KEY]), [1; 24], NOW_MS).expect("a key is active");
    let both = ring(&[future_key, NEW_KEY, OLD_KEY]);
    assert_eq!(Token::validate(old.as_bytes(), &both, NOW_MS), Ok(token()));
    let new = token().seal(&both, [2; 24], NOW_MS).expect("a key is active");
    assert_eq!(Token::key_id(new.as_bytes()), Some(8));
    assert_eq!(Token::validate(new.as_bytes(), &ring(&[OLD_KEY]), NOW_MS), Err(TokenError::UnknownKey(8)));
    let future = token().seal(&both, [2; 24], 1_800_000_000_000.0).expect("a key is active");
    assert_eq!(Token::key_id(future.as_bytes()), Some(9));
}

#[test]
fn a_token_with_a_changed_bit_or_a_missing_end_is_rejected() {
    let ring = ring(&[OLD_KEY, NEW_KEY]);
    let valid = token().seal(&ring, [1; 24], NOW_MS).expect("a key is active");
    assert!(valid.len() < 256, "{}", valid.len());
    let bytes = URL_SAFE_NO_PAD.decode(&valid).expect("the token is base64");
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut modified = bytes.clone();
            modified[at] ^= 1 << bit;
            let opened = Token::validate(URL_SAFE_NO_PAD.encode(&modified).as_bytes(), &ring, NOW_MS);
            let reason = opened.expect_err("one bit was changed");
            match at {
                0 => assert!(matches!(reason, TokenError::UnsupportedVersion(_))),
                // No single-bit change turns id 8 into the other existing id.
                1..5 => assert!(matches!(reason, TokenError::UnknownKey(_)), "{at}: {reason:?}"),
                _ => assert_eq!(reason, TokenError::Forged),
            }
        }
    }
    for end in 0..valid.len() {
        assert!(Token::validate(&valid.as_bytes()[..end], &ring, NOW_MS).is_err());
    }
    let long = valid.repeat(20);
    assert_eq!(Token::validate(long.as_bytes(), &ring, NOW_MS), Err(TokenError::Malformed));
}

#[test]
fn a_token_is_valid_from_its_issue_to_its_expiry() {
    let ring = ring(&[OLD_KEY]);
    let text = token().seal(&ring, [1; 24], NOW_MS).expect("a key is active");
    let open = |at: f64| Token::validate(text.as_bytes(), &ring, at).map(|_| ());
    assert_eq!(open(NOW_MS + 59_999.0), Ok(()));
    assert_eq!(open(NOW_MS + 60_000.0), Err(TokenError::Expired));
    assert_eq!(open(NOW_MS - 60_000.0), Ok(()));
    assert_eq!(open(NOW_MS - 600_000.0), Err(TokenError::IssuedInFuture));
}

#[test]
fn an_invalid_key_file_is_rejected_without_revealing_secrets() {
    let parse = |text: &str| {
        KeyRing::parse(text.as_bytes(), NOW_MS).map(|_| ()).expect_err("the key file is invalid")
    };
    assert_eq!(parse(r#"{"keys":[]}"#), KeyError::NoKeys);
    assert_eq!(parse(&file(&[OLD_KEY, OLD_KEY])), KeyError::DuplicateId(7));
    assert_eq!(parse(&file(&[(1, 0, "secret")])), KeyError::MalformedSecret(1));
    assert_eq!(parse(&file(&[(1, 0, &"ab".repeat(32))])), KeyError::WeakSecret(1));
    assert_eq!(parse(&file(&[(1, 1_800_000_000, OLD_KEY.2)])), KeyError::NoActiveKey(1_800_000_000));
    let misspelled_key = file(&[OLD_KEY]).replace("secret", "secrets");
    for error in [parse(&misspelled_key), parse(&file(&[(1, 0, &OLD_KEY.2[1..])])), parse("{")] {
        assert!(!error.to_string().contains(&OLD_KEY.2[1..9]), "{error}");
    }
    let shown = format!("{:?}", ring(&[OLD_KEY, NEW_KEY]));
    assert_eq!(shown, "[(7, 0), (8, 1600000000)]");
}
