//! Stored answers of executions under idempotency keys, bounded in size.
//!
//! Invariant: the total size of the stored answers never exceeds the limit. An answer that doesn't
//! fit is not stored; its key still never runs again.

use std::collections::BTreeMap;
use std::rc::Rc;

use hawthornwall_wire::peer::HttpAnswer;

/// Answers by the serial of their key.
#[derive(Debug)]
pub(super) struct Answers {
    by_serial: BTreeMap<u64, Rc<HttpAnswer>>,
    limit: usize,
    size: usize,
}

impl Answers {
    pub fn new(limit: usize) -> Self {
        Self {
            by_serial: BTreeMap::new(),
            limit,
            size: 0,
        }
    }

    /// Stores an answer; `false` if there is no room.
    pub fn store(&mut self, serial: u64, answer: &Rc<HttpAnswer>) -> bool {
        let size = self.size + weight(answer);
        if size > self.limit {
            return false;
        }
        self.size = size;
        self.by_serial.insert(serial, Rc::clone(answer));
        true
    }

    pub fn get(&self, serial: u64) -> Option<&HttpAnswer> {
        self.by_serial.get(&serial).map(Rc::as_ref)
    }

    pub fn remove(&mut self, serial: u64) {
        if let Some(answer) = self.by_serial.remove(&serial) {
            self.size -= weight(&answer);
        }
    }
}

fn weight(answer: &HttpAnswer) -> usize {
    let headers = answer.headers.iter().map(|h| h.name.len() + h.value.len());
    answer.body.len() + headers.sum::<usize>()
}
