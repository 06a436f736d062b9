//! Digests that are equal across daemons of different program versions.
//!
//! Invariant: the encoding of every hashed value is written out explicitly and never derived from a
//! Rust type definition. Numbers are 8 bytes in little-endian order; strings and lists are prefixed
//! with their length.

/// A 64-bit FNV-1a hash with a finalizer.
///
/// It detects accidental differences. It is not cryptographic and gives no protection against
/// forged values.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Digest(u64);

impl Digest {
    /// Creates a digest with `kind` as its first input, so that digests of different kinds of data
    /// differ.
    pub(crate) fn new(kind: &str) -> Self {
        let mut digest = Self(0xcbf2_9ce4_8422_2325);
        digest.text(kind);
        digest
    }

    pub(crate) fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    pub(crate) fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes(text.as_bytes());
    }

    /// The digest of all input so far. The finalizer makes each input bit affect all output bits.
    pub(crate) fn finish(self) -> u64 {
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Serde adapter that writes a digest as 16 hexadecimal digits in human-readable formats.
///
/// Many JSON tools round integers above 2^53.
pub(crate) mod hex {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    #[allow(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes fields by reference"
    )]
    pub(crate) fn serialize<S: Serializer>(digest: &u64, out: S) -> Result<S::Ok, S::Error> {
        if out.is_human_readable() {
            out.collect_str(&format_args!("{digest:016x}"))
        } else {
            out.serialize_u64(*digest)
        }
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<u64, D::Error> {
        if !input.is_human_readable() {
            return u64::deserialize(input);
        }
        let text = String::deserialize(input)?;
        let digits = (text.len() == 16).then_some(&text);
        digits
            .and_then(|d| u64::from_str_radix(d, 16).ok())
            .ok_or_else(|| D::Error::custom(format!("digest {text} is not 16 hexadecimal digits")))
    }
}
