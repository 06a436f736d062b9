//! Adapters for units on the wire.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// A duration as whole microseconds in a `u64`.
///
/// Durations beyond its range become its largest value: an unlimited wait must not make a message
/// impossible to encode.
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
