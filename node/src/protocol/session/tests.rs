//! Tests of the lines of sessions.

use super::*;

#[test]
fn session_lines_are_distinguished_from_forwarded_lines() {
    let save = |n, name: &str, value: &[u8]| {
        Some(FromClient::Save(Field { name: name.into(), n, value: value.into() }))
    };
    assert_eq!(from_client(b"SAVE 7 owner=Noi = me\r\n"), save(7, "owner", b"Noi = me"));
    assert_eq!(from_client(b"SAVE 8 empty=\r\n"), save(8, "empty", b""));
    assert_eq!(from_client(b"HAVE\r\n"), Some(FromClient::Have));
    for line in [&b"SAVE\r\n"[..], b"SAVE x a=b\r\n", b"SAVE 1 a\r\n", b"SAVE 1 =b\r\n", b"M 1\r\n", b"HAVE"]
    {
        assert_eq!(from_client(line), None, "{}", line.escape_ascii());
    }
    assert_eq!(from_server(b"RENEW 12\r\n"), Some(FromServer::Renew(12)));
    assert_eq!(from_server(b"SAVED 3\n"), Some(FromServer::Saved(3)));
    assert_eq!(from_server(b"TAKEN\r\n"), Some(FromServer::Taken));
    for line in
        [&b"RENEW\r\n"[..], b"RENEW -1\r\n", b"SAVED 1 2\r\n", b"UP 1\r\n", b"SAVED 18446744073709551616\r\n"]
    {
        assert_eq!(from_server(line), None, "{}", line.escape_ascii());
    }
}
