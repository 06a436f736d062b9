//! Stored answers of requests that must not run twice, bounded in size.
//!
//! Invariant: the total size of the stored answers never exceeds the limit. An answer that doesn't
//! fit is not stored; its request still never runs again.

use std::collections::BTreeMap;

use hawthornwall_wire::peer::HttpAnswer;

/// Answers by the number of their request or key.
#[derive(Debug)]
pub(super) struct Answers {
    by_number: BTreeMap<u64, HttpAnswer>,
    limit: usize,
    size: usize,
}

impl Answers {
    pub fn new(limit: usize) -> Self {
        Self {
            by_number: BTreeMap::new(),
            limit,
            size: 0,
        }
    }

    /// Stores an answer if there is room.
    pub fn store(&mut self, number: u64, answer: &HttpAnswer) {
        let size = self.size + weight(answer);
        if size <= self.limit {
            self.size = size;
            self.by_number.insert(number, answer.clone());
        }
    }

    pub fn get(&self, number: u64) -> Option<&HttpAnswer> {
        self.by_number.get(&number)
    }

    pub fn remove(&mut self, number: u64) {
        if let Some(answer) = self.by_number.remove(&number) {
            self.size -= weight(&answer);
        }
    }
}

fn weight(answer: &HttpAnswer) -> usize {
    let headers = answer.headers.iter().map(|h| h.name.len() + h.value.len());
    answer.body.len() + headers.sum::<usize>()
}
