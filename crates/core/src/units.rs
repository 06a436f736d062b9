//! Serde adapters for the units of values on the wire.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// Encodes a [`Duration`] as whole microseconds in a `u64`.
///
/// Longer durations become [`u64::MAX`], so that a message with an unlimited wait can be encoded.
#[derive(Debug)]
pub struct Micros;

impl SerializeAs<Duration> for Micros {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(u64::try_from(source.as_micros()).unwrap_or(u64::MAX))
    }
}

impl<'de> DeserializeAs<'de, Duration> for Micros {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_micros)
    }
}
