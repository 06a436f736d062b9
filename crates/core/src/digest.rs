//! Digests that daemons of different program versions agree on.
//!
//! Invariant: every value is fed in an explicitly written form, never one derived from Rust source:
//! numbers as 8 bytes, little end first; texts and lists with their length first.

/// A 64-bit FNV-1a hash with a finalizer.
///
/// It detects accidental differences; it is no defence against forged values.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Digest(u64);

impl Digest {
    /// An empty digest; `kind` separates digests of different things.
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

    /// The digest of everything fed so far, with all input bits spread over all output bits.
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

/// A digest as 16 hexadecimal digits in formats for people, since many JSON tools round numbers
/// beyond 2^53.
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
