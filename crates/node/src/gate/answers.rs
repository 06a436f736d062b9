//! Bounded storage for the answers of requests that must not run twice.
//!
//! Invariant: the total size of the stored answers never exceeds the limit. An answer that doesn't
//! fit is not stored; its request still never runs again.

use std::collections::BTreeMap;

use hawthornwall_wire::peer::HttpAnswer;

/// Answers by the serial of an idempotency key or by request id.
///
/// Sizes are in bytes and count bodies and headers.
#[derive(Debug)]
pub(super) struct Answers {
    by_id: BTreeMap<u64, HttpAnswer>,
    limit: usize,
    size: usize,
}

impl Answers {
    pub fn new(limit: usize) -> Self {
        Self {
            by_id: BTreeMap::new(),
            limit,
            size: 0,
        }
    }

    /// Stores a copy of the answer if it fits within the limit.
    pub fn store(&mut self, id: u64, answer: &HttpAnswer) {
        let size = self.size + answer_size(answer);
        if size <= self.limit {
            self.size = size;
            self.by_id.insert(id, answer.clone());
        }
    }

    pub fn get(&self, id: u64) -> Option<&HttpAnswer> {
        self.by_id.get(&id)
    }

    pub fn remove(&mut self, id: u64) {
        if let Some(answer) = self.by_id.remove(&id) {
            self.size -= answer_size(&answer);
        }
    }
}

fn answer_size(answer: &HttpAnswer) -> usize {
    let headers = answer.headers.iter().map(|h| h.name.len() + h.value.len());
    answer.body.len() + headers.sum::<usize>()
}
