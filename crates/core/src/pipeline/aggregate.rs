//! The state machine of a pipeline.

use std::collections::VecDeque;

use super::{Effect, Event, Limits, Position};
use crate::routes::Repeatability;

/// Progress of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// It isn't known yet whether the request is idempotent.
    Opening,
    /// The request waits until it may be passed on.
    Held(Repeatability),
    /// The request has been passed on.
    Started(Repeatability),
    /// The answer waits for the answers before it.
    Answered,
    /// The answer is being written.
    Writing,
}

/// Progress of reading.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Intake {
    /// [`Effect::Close`] has been returned.
    Closed,
    /// Nothing further is read.
    Ended,
    /// No read is in progress.
    Idle,
    /// A read is in progress, and nothing is read after it.
    Last,
    /// A read is in progress.
    Reading,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Length of the request, and of the answer once that is ready.
    bytes: usize,
    stage: Stage,
}

impl Entry {
    /// Whether the request has been passed on, or answered without that, and its answer hasn't begun.
    fn is_decided(&self) -> bool {
        match self.stage {
            Stage::Answered | Stage::Started(_) => true,
            Stage::Held(_) | Stage::Opening | Stage::Writing => false,
        }
    }
}

/// The requests in flight on one connection.
///
/// ```
/// use hawthornwall_core::pipeline::{Effect, Event, Limits, Pipeline, Position};
/// use hawthornwall_core::routes::Repeatability::Idempotent;
///
/// let (mut pipeline, effects) = Pipeline::start(Limits { bytes: 1_000, requests: 2 });
/// assert_eq!(effects, [Effect::Read]);
/// let at = Position(0);
/// let effects = pipeline.on(Event::Read { bytes: 100, close: false });
/// assert_eq!(effects, [Effect::Open(at), Effect::Read]);
/// assert_eq!(pipeline.on(Event::Opened(at, Idempotent)), [Effect::Start(at)]);
/// let write = Effect::Write { at, close: false };
/// assert_eq!(pipeline.on(Event::Answered { at, bytes: 300 }), [write]);
/// ```
#[derive(Clone, Debug)]
pub struct Pipeline {
    /// Whether the caller waits for an interim response.
    continues: bool,
    /// The requests in flight, in order of arrival.
    entries: VecDeque<Entry>,
    /// Position of the first entry.
    first: u64,
    intake: Intake,
    /// The request whose answer closes the connection, once it is known.
    last: Option<Position>,
    limits: Limits,
}

impl Pipeline {
    /// Creates the pipeline of a new connection and returns it with its first effects.
    pub fn start(limits: Limits) -> (Self, Vec<Effect>) {
        Self::begin(limits, Intake::Reading)
    }

    /// Creates the pipeline of a connection that is opened while the daemon stops; it serves one request.
    pub fn start_last(limits: Limits) -> (Self, Vec<Effect>) {
        Self::begin(limits, Intake::Last)
    }

    fn begin(limits: Limits, intake: Intake) -> (Self, Vec<Effect>) {
        let pipeline = Self {
            continues: false,
            entries: VecDeque::new(),
            first: 0,
            intake,
            last: None,
            limits,
        };
        (pipeline, vec![Effect::Read])
    }

    /// Applies one event and returns the resulting actions in the order in which they must be performed.
    pub fn on(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Answered { at, bytes } => self.answer(at, bytes),
            Event::ExpectsContinue => self.continues = true,
            Event::Opened(at, repeats) => self.open(at, repeats),
            Event::Read { bytes, close } => self.read(bytes, close, &mut effects),
            Event::ReadEnded => self.end(None),
            Event::Stop => self.stop(&mut effects),
            Event::Written => self.remove_written(),
        }
        self.proceed(&mut effects);
        effects
    }

    /// Number of requests whose answers are not yet written.
    pub fn in_flight(&self) -> usize {
        self.entries.len()
    }

    /// Bytes of the requests in flight and of the answers that wait.
    pub fn bytes(&self) -> usize {
        self.entries.iter().map(|e| e.bytes).sum()
    }

    /// Whether an answer is being written.
    pub fn is_writing(&self) -> bool {
        let first = self.entries.front();
        first.is_some_and(|e| e.stage == Stage::Writing)
    }

    /// Checks the invariants and returns a description of each violation.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.entries.len() > self.limits.requests {
            faults.push(format!("{} requests are in flight", self.entries.len()));
        }
        let started = |e: &Entry| matches!(e.stage, Stage::Started(_));
        let alone = |e: &Entry| e.stage == Stage::Started(Repeatability::NonIdempotent);
        if self.entries.iter().any(alone) && self.entries.iter().filter(|e| started(e)).count() > 1
        {
            faults.push("a request runs beside one that is not idempotent".to_owned());
        }
        let behind = self
            .entries
            .iter()
            .skip_while(|e| e.is_decided() || e.stage == Stage::Writing);
        if behind.clone().any(started) {
            faults.push("a request was passed on before an earlier one".to_owned());
        }
        if self.last.is_some_and(|last| last < self.newest()) {
            faults.push("a request is behind the answer that closes the connection".to_owned());
        }
        faults
    }

    fn newest(&self) -> Position {
        Position((self.first + self.entries.len() as u64).saturating_sub(1))
    }

    fn position(&self, index: usize) -> Position {
        Position(self.first + index as u64)
    }

    /// The entry at a position; `None` if it has been discarded.
    fn entry_mut(&mut self, at: Position) -> Option<&mut Entry> {
        let index = at.0.checked_sub(self.first)?;
        self.entries.get_mut(usize::try_from(index).ok()?)
    }

    /// Admits a request that has been read. Behind an answer that closes the connection it counts as not
    /// read.
    fn read(&mut self, bytes: usize, close: bool, effects: &mut Vec<Effect>) {
        self.continues = false;
        let last = match self.intake {
            Intake::Closed | Intake::Ended => return,
            Intake::Last => true,
            Intake::Idle | Intake::Reading => close,
        };
        self.intake = Intake::Idle;
        let stage = Stage::Opening;
        self.entries.push_back(Entry { bytes, stage });
        effects.push(Effect::Open(self.newest()));
        if last {
            self.end(Some(self.newest()));
        }
    }

    fn open(&mut self, at: Position, repeats: Repeatability) {
        if let Some(entry) = self.entry_mut(at) {
            entry.stage = Stage::Held(repeats);
        }
    }

    fn answer(&mut self, at: Position, bytes: usize) {
        if let Some(entry) = self.entry_mut(at) {
            entry.bytes += bytes;
            entry.stage = Stage::Answered;
        }
    }

    fn remove_written(&mut self) {
        let written = |e: &Entry| e.stage == Stage::Writing;
        if self.entries.front().is_some_and(written) {
            self.entries.pop_front();
            self.first += 1;
        }
    }

    /// Reads nothing further; the answer to `last`, if any, closes the connection.
    fn end(&mut self, last: Option<Position>) {
        if !self.has_ended() {
            self.intake = Intake::Ended;
            self.continues = false;
            self.last = last;
        }
    }

    fn has_ended(&self) -> bool {
        match self.intake {
            Intake::Closed | Intake::Ended => true,
            Intake::Idle | Intake::Last | Intake::Reading => false,
        }
    }

    /// Chooses the request whose answer closes the connection: the last one that has been passed on, or
    /// else the next one that has been read, whole or in part. Whatever is behind it counts as not read.
    fn stop(&mut self, effects: &mut Vec<Effect>) {
        match self.intake {
            Intake::Closed | Intake::Ended => return,
            Intake::Last => return effects.push(Effect::EndRead),
            Intake::Idle | Intake::Reading => {}
        }
        let writing = |e: &&Entry| e.stage == Stage::Writing;
        let begun = self.entries.iter().take_while(writing).count();
        let decided = self.entries.iter().skip(begun);
        let decided = decided.take_while(|e| e.is_decided()).count();
        let kept = begun + decided.max(1);
        if self.entries.len() > begun {
            for index in kept..self.entries.len() {
                effects.push(Effect::Discard(self.position(index)));
            }
            self.entries.truncate(kept);
            self.end(Some(self.newest()));
        } else if self.intake == Intake::Reading {
            self.intake = Intake::Last;
            effects.push(Effect::EndRead);
        } else {
            self.end(None);
        }
    }

    /// Starts whatever may start now.
    fn proceed(&mut self, effects: &mut Vec<Effect>) {
        self.start_held(effects);
        self.write_first(effects);
        if self.entries.is_empty() && self.continues {
            self.continues = false;
            effects.push(Effect::Continue);
        }
        if self.may_read() {
            self.intake = Intake::Reading;
            effects.push(Effect::Read);
        }
        if self.intake == Intake::Ended && self.entries.is_empty() {
            self.intake = Intake::Closed;
            effects.push(Effect::Close);
        }
    }

    fn may_read(&self) -> bool {
        self.intake == Intake::Idle
            && self.entries.len() < self.limits.requests
            && self.bytes() < self.limits.bytes
    }

    fn start_held(&mut self, effects: &mut Vec<Effect>) {
        for index in 0..self.entries.len() {
            match self.entries[index].stage {
                Stage::Opening | Stage::Started(Repeatability::NonIdempotent) => return,
                Stage::Held(Repeatability::NonIdempotent) if index > 0 => return,
                Stage::Held(repeats) => {
                    self.entries[index].stage = Stage::Started(repeats);
                    effects.push(Effect::Start(self.position(index)));
                    if repeats == Repeatability::NonIdempotent {
                        return;
                    }
                }
                Stage::Answered | Stage::Started(Repeatability::Idempotent) | Stage::Writing => {}
            }
        }
    }

    fn write_first(&mut self, effects: &mut Vec<Effect>) {
        let at = Position(self.first);
        if let Some(entry) = self.entries.front_mut()
            && entry.stage == Stage::Answered
        {
            entry.stage = Stage::Writing;
            let close = self.last == Some(at);
            effects.push(Effect::Write { close, at });
        }
    }
}
