//! Properties of the requests of one connection under random sequences of events, compared with a plain
//! model of what its caller and the targets see.

use hawthornwall_core::pipeline::{Effect, Event, Limits, Pipeline, Position};
use hawthornwall_core::routes::Repeatability;
use proptest::prelude::*;

const LIMITS: Limits = Limits {
    bytes: 500,
    requests: 4,
};

/// Something that the caller, the targets or the daemon may do next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The nth of the requests passed on is answered.
    Answer(usize),
    /// The nth of the requests of unknown kind turns out to be idempotent or not.
    Open(usize, bool),
    Read {
        bytes: usize,
        close: bool,
    },
    ReadEnded,
    /// The nth of the requests of unknown kind is refused.
    Refuse(usize),
    Stop,
    Written,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4usize).prop_map(Step::Answer),
        8 => (0..4usize, any::<bool>()).prop_map(|(n, once)| Step::Open(n, once)),
        8 => (1..300usize, prop::bool::weighted(0.05))
            .prop_map(|(bytes, close)| Step::Read { bytes, close }),
        1 => Just(Step::ReadEnded),
        1 => (0..4usize).prop_map(Step::Refuse),
        1 => Just(Step::Stop),
        6 => Just(Step::Written),
    ]
}

/// How far the connection is on its way to its end.
#[derive(Default, Eq, Ord, PartialEq, PartialOrd)]
enum End {
    #[default]
    Open,
    /// The caller sends nothing further.
    ReadEnded,
    /// An answer that closes the connection has been begun.
    Closing,
    Closed,
}

/// What has happened on the connection so far.
#[derive(Default)]
struct Model {
    discarded: Vec<Position>,
    end: End,
    /// Kinds by position; `None` while unknown.
    kinds: Vec<Option<Repeatability>>,
    opening: Vec<Position>,
    reading: bool,
    running: Vec<Position>,
    stopped: bool,
    /// Positions whose answers were begun, in order.
    written: Vec<Position>,
    writing: bool,
}

impl Model {
    /// The event of a step, if it can happen now.
    fn event(&mut self, step: Step) -> Option<Event> {
        let pick = |list: &mut Vec<Position>, n: usize| {
            (!list.is_empty()).then(|| list.remove(n % list.len()))
        };
        match step {
            Step::Answer(n) => {
                pick(&mut self.running, n).map(|at| Event::Answered { at, bytes: 100 })
            }
            Step::Open(n, idempotent) => pick(&mut self.opening, n).map(|at| {
                let kind = if idempotent {
                    Repeatability::Idempotent
                } else {
                    Repeatability::NonIdempotent
                };
                self.kinds[at.0 as usize] = Some(kind);
                Event::Opened(at, kind)
            }),
            Step::Read { bytes, close } => {
                std::mem::take(&mut self.reading).then_some(Event::Read { bytes, close })
            }
            Step::ReadEnded => std::mem::take(&mut self.reading).then(|| {
                let end = std::mem::take(&mut self.end);
                self.end = end.max(End::ReadEnded);
                Event::ReadEnded
            }),
            Step::Refuse(n) => {
                pick(&mut self.opening, n).map(|at| Event::Answered { at, bytes: 50 })
            }
            Step::Stop => (!std::mem::replace(&mut self.stopped, true)).then_some(Event::Stop),
            Step::Written => std::mem::take(&mut self.writing).then_some(Event::Written),
        }
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            self.apply_one(effect);
        }
    }

    fn apply_one(&mut self, effect: Effect) {
        assert!(
            self.end < End::Closed,
            "{effect:?} after the connection was closed"
        );
        match effect {
            Effect::Close => {
                assert!(
                    !self.writing && self.running.is_empty(),
                    "closed while in use"
                );
                self.end = End::Closed;
            }
            Effect::Continue => assert!(!self.writing),
            Effect::Discard(at) => {
                assert!(
                    !self.running.contains(&at),
                    "{at} was passed on and dropped"
                );
                self.opening.retain(|o| *o != at);
                self.discarded.push(at);
            }
            Effect::EndRead => assert!(self.reading),
            Effect::Open(at) => {
                assert_eq!(at.0 as usize, self.kinds.len(), "positions are consecutive");
                self.kinds.push(None);
                self.opening.push(at);
            }
            Effect::Read => {
                assert!(!self.reading, "two reads at once");
                assert!(self.end == End::Open, "reads behind the last answer");
                self.reading = true;
            }
            Effect::Start(at) => self.start(at),
            Effect::Write { close, at } => {
                assert!(!self.writing, "two answers at once");
                let next = self.written.last().map_or(0, |last| last.0 + 1);
                assert_eq!(at.0, next, "answers are out of order");
                assert!(self.end < End::Closing, "an answer follows the closing one");
                self.written.push(at);
                self.writing = true;
                if close {
                    self.end = End::Closing;
                }
            }
        }
    }

    fn start(&mut self, at: Position) {
        assert!(
            self.end < End::Closing,
            "{at} is passed on behind the closing answer"
        );
        let once = |p: &Position| self.kinds[p.0 as usize] == Some(Repeatability::NonIdempotent);
        assert!(!self.running.iter().any(once), "{at} overtakes");
        if once(&at) {
            let written = self.written.len() as u64 == at.0 && !self.writing;
            assert!(
                written,
                "{at} is passed on before the earlier answers are written"
            );
        }
        self.running.push(at);
    }
}

proptest! {
    /// Guards against answers out of order, requests run behind a closing answer, non-idempotent requests
    /// beside others, and requests or connections that are forgotten.
    #[test]
    fn pipelined_requests_are_answered_in_order_or_not_passed_on(
        steps in prop::collection::vec(step(), 1..120)
    ) {
        let mut model = Model::default();
        let (mut pipeline, effects) = Pipeline::start(LIMITS);
        model.apply(effects);
        // The steps at the end let everything finish that can.
        let finish = [Step::Stop, Step::ReadEnded].into_iter().chain(
            std::iter::repeat_n([Step::Open(0, true), Step::Answer(0), Step::Written], 20).flatten(),
        );
        for step in steps.into_iter().chain(finish) {
            let Some(event) = model.event(step) else { continue };
            let effects = pipeline.on(event);
            model.apply(effects);
            prop_assert_eq!(pipeline.verify(), Vec::<String>::new());
        }
        prop_assert!(model.end == End::Closed, "the connection stays open: {:?}", pipeline);
        let answered = model.written.len() + model.discarded.len();
        prop_assert_eq!(answered, model.kinds.len(), "a request is forgotten");
    }
}
