//! The name of the target, as the target last stated it.
//!
//! A target that restarts may have another name at the same address. Senders that don't know it yet
//! state the old name, and the target rejects each of their requests.

use std::time::Duration;

use crate::time::Time;

/// Age from which a stated name is ignored, since the target may have restarted under another name.
const NAME_MAX_AGE: Duration = Duration::from_millis(500);

/// The last stated name and when it was received.
#[derive(Clone, Debug, Default)]
pub(super) struct StatedName(Option<(String, Time)>);

impl StatedName {
    /// Records a name; returns whether it differs from the last one.
    pub fn record(&mut self, name: &str, now: Time) -> bool {
        match &mut self.0 {
            Some((known, at)) if known == name => {
                *at = now;
                false
            }
            Some(_) | None => {
                self.0 = Some((name.to_owned(), now));
                true
            }
        }
    }

    /// Whether the target has stated a name.
    pub fn is_known(&self) -> bool {
        self.0.is_some()
    }

    /// Whether the target recently stated another name.
    pub fn differs_from(&self, expected: &str, now: Time) -> bool {
        let known = self.0.as_ref();
        known.is_some_and(|(name, at)| name != expected && now - *at < NAME_MAX_AGE)
    }
}
