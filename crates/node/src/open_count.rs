//! How many of something are open, counted by guards.

use std::cell::Cell;
use std::rc::Rc;

/// A count of open things.
#[derive(Debug, Default)]
pub(crate) struct OpenCount(Cell<usize>);

/// Counts one thing until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard(Rc<OpenCount>);

impl OpenCount {
    /// Counts one more until the guard is dropped.
    pub fn enter(self: &Rc<Self>) -> OpenGuard {
        self.0.set(self.0.get() + 1);
        OpenGuard(Rc::clone(self))
    }

    /// How many are open.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.0.set(self.0.get() - 1);
    }
}
