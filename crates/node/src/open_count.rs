//! A count of open connections, kept by guards.

use std::cell::Cell;
use std::rc::Rc;

/// The number of guards that have not been dropped yet.
#[derive(Debug, Default)]
pub(crate) struct OpenCount(Cell<usize>);

/// One counted connection; dropping the guard decreases the count.
#[derive(Debug)]
pub(crate) struct OpenGuard(Rc<OpenCount>);

impl OpenCount {
    /// Increases the count until the returned guard is dropped.
    pub fn enter(self: &Rc<Self>) -> OpenGuard {
        self.0.set(self.0.get() + 1);
        OpenGuard(Rc::clone(self))
    }

    /// The current count.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.0.set(self.0.get() - 1);
    }
}
