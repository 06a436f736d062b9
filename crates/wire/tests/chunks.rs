//! Bodies in the chunked transfer coding.

use std::fmt::Write as _;

use hawthornwall_wire::chunks::{ChunkDecoder, ChunkFault};
use insta::assert_snapshot;
use proptest::prelude::*;

/// Limit of the bodies in these tests.
const LIMIT: usize = 100;

fn decode(bytes: &[u8]) -> Result<(Vec<u8>, usize, bool), ChunkFault> {
    let mut decoder = ChunkDecoder::new(LIMIT);
    let mut body = Vec::new();
    let used = decoder.decode(bytes, &mut body)?;
    Ok((body, used, decoder.is_done()))
}

/// Guards against bodies whose end two parties could determine differently, against extensions or trailer
/// fields in the body, and against limits that aren't kept.
#[test]
fn bodies() {
    let long = |what: &str, length| what.replace('*', &"x".repeat(length));
    let cases = [
        "3\r\nabc\r\n0\r\n\r\n".to_owned(),
        "3\r\nabc\r\n0\r\n\r\nGET /".to_owned(),
        "3\r\nab".to_owned(),
        "0\r\n\r\n".to_owned(),
        "00000003\r\nabc\r\n000\r\n\r\n".to_owned(),
        "A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n".to_owned(),
        "3;a=b\r\nabc\r\n0;c=\"d e\"\r\nX: 1\r\nY:\r\n\r\n".to_owned(),
        "3 \t;a\r\nabc\r\n0\r\n\r\n".to_owned(),
        "3 \r\nabc\r\n0\r\n\r\n".to_owned(),
        " 3\r\nabc\r\n0\r\n\r\n".to_owned(),
        "\r\nabc".to_owned(),
        "+3\r\nabc\r\n0\r\n\r\n".to_owned(),
        "0x3\r\nabc\r\n0\r\n\r\n".to_owned(),
        "3\nabc\r\n0\r\n\r\n".to_owned(),
        "3;a\nb\r\nabc\r\n0\r\n\r\n".to_owned(),
        "3;a\rb\r\nabc\r\n0\r\n\r\n".to_owned(),
        "3\r\nabcd\r\n0\r\n\r\n".to_owned(),
        "3\r\nabc0\r\n\r\n".to_owned(),
        "0\r\n folded: x\r\n\r\n".to_owned(),
        "0\r\nno colon\r\n\r\n".to_owned(),
        "0\r\nname : x\r\n\r\n".to_owned(),
        "0\r\n: x\r\n\r\n".to_owned(),
        "0\r\nX: a\0b\r\n\r\n".to_owned(),
        "ffffffffffffffff\r\n".to_owned(),
        "10000000000000000\r\n".to_owned(),
        "65\r\n".to_owned(),
        "64\r\n".to_owned(),
        "32\r\n".to_owned() + &"x".repeat(50) + "\r\n33\r\n",
        long("1;*\r\na\r\n0\r\n\r\n", 16_000),
        long("1;*\r\na\r\n0;*\r\n\r\n", 9_000),
        long("1;*", 17_000),
        long("0\r\nX: *\r\n\r\n", 16_000),
        long("0\r\nX: *\r\nX: *\r\n\r\n", 9_000),
        long("0\r\nX: *", 17_000),
    ];
    let mut table = String::new();
    for case in cases {
        let shown: String = case.chars().take(60).collect();
        let result = decode(case.as_bytes()).map(|(body, used, done)| {
            let body = String::from_utf8_lossy(&body).into_owned();
            format!("{body:?}, {used} of {} bytes, done {done}", case.len())
        });
        writeln!(table, "{shown:?}\n    {result:?}").expect("a string is writable");
    }
    assert_snapshot!(table);
}

/// A body in chunks of random sizes, with extensions and trailer fields.
fn encoded() -> impl Strategy<Value = (Vec<u8>, Vec<u8>)> {
    let chunk = (prop::collection::vec(any::<u8>(), 1..9), "(;[ -~]{0,9})?");
    let trailers = prop::collection::vec("[a-zA-Z-]{1,9}:[ -~]{0,9}", 0..3);
    (prop::collection::vec(chunk, 0..9), trailers).prop_map(|(chunks, trailers)| {
        let (mut body, mut encoded) = (Vec::new(), Vec::new());
        for (data, extension) in chunks {
            encoded.extend(format!("{:x}{extension}\r\n", data.len()).into_bytes());
            encoded.extend(&data);
            encoded.extend(b"\r\n");
            body.extend(data);
        }
        encoded.extend(b"0\r\n");
        for field in trailers {
            encoded.extend(format!("{field}\r\n").into_bytes());
        }
        encoded.extend(b"\r\n");
        (body, encoded)
    })
}

proptest! {
    /// Guards against a body that depends on how its bytes are divided between reads, and against a part of a
    /// body that counts as whole.
    #[test]
    fn any_division_gives_the_body(
        (body, encoded) in encoded(),
        pieces in prop::collection::vec(1..7usize, 1..40),
    ) {
        let mut decoder = ChunkDecoder::new(LIMIT);
        let (mut decoded, mut buffer) = (Vec::new(), Vec::new());
        let mut pieces = pieces.iter().cycle();
        let mut rest = &encoded[..];
        while !rest.is_empty() {
            prop_assert!(!decoder.is_done());
            let length = (*pieces.next().expect("the cycle has no end")).min(rest.len());
            buffer.extend_from_slice(&rest[..length]);
            rest = &rest[length..];
            let used = decoder.decode(&buffer, &mut decoded).expect("the body is valid");
            buffer.drain(..used);
        }
        prop_assert!(decoder.is_done());
        prop_assert!(buffer.is_empty());
        prop_assert_eq!(decoded, body);
    }

    /// Guards against a panic and against a body beyond the limit, for any bytes.
    #[test]
    fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = ChunkDecoder::new(LIMIT);
        let mut body = Vec::new();
        let _ = decoder.decode(&bytes, &mut body);
        prop_assert!(body.len() <= LIMIT);
    }
}
