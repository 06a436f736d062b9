//! Random histories in which every invariant holds.

use hawthornwall_testkit::history::{Change, Event, Record};
use proptest::prelude::*;

/// Times are in milliseconds; the bounds of [`crate::LIMITS`] are 2 s for versions and 3 s for leaving.
#[derive(Clone, Debug)]
pub struct Plan {
    calls: Vec<Call>,
    daemons: Vec<Daemon>,
    leaving: u64,
    versions: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Call {
    at: u64,
    end: CallEnd,
    idempotent: bool,
    length: u64,
    target: u64,
}

#[derive(Clone, Copy, Debug)]
enum CallEnd {
    Answered,
    Broken,
    Hedged,
    Lost,
    Refused,
    RefusedThenAnswered,
    Replayed,
}

/// A daemon that is absent for a while and takes versions over with a delay.
#[derive(Clone, Debug)]
struct Daemon {
    absence: (u64, u64),
    delay: u64,
    killed: bool,
}

pub fn plan() -> impl Strategy<Value = Plan> {
    use CallEnd::{Answered, Broken, Hedged, Lost, Refused, RefusedThenAnswered, Replayed};
    let ends = vec![
        Answered,
        Broken,
        Hedged,
        Lost,
        Refused,
        RefusedThenAnswered,
        Replayed,
    ];
    let call = (
        0..30_000u64,
        prop::sample::select(ends),
        any::<bool>(),
        1..900u64,
        0..3u64,
    )
        .prop_map(|(at, end, idempotent, length, target)| Call {
            at,
            end,
            idempotent,
            length,
            target,
        });
    let daemon = (1000..20_000u64, 1..8000u64, 1..1900u64, any::<bool>()).prop_map(
        |(from, length, delay, killed)| Daemon {
            absence: (from, from + length),
            delay,
            killed,
        },
    );
    (
        prop::collection::vec(call, 0..30),
        prop::collection::vec(daemon, 1..4),
        0..20_000u64,
        prop::collection::vec(0..25_000u64, 0..5),
    )
        .prop_map(|(calls, daemons, leaving, mut versions)| {
            versions.sort_unstable();
            Plan {
                calls,
                daemons,
                leaving,
                versions,
            }
        })
}

struct Writer(Vec<Record>);

impl Writer {
    fn add(&mut self, ms: u64, party: impl Into<String>, event: Event) {
        self.0.push(Record {
            at: ms * 1000,
            event,
            party: party.into(),
        });
    }

    fn sent(&mut self, ms: u64, request: u64, operation: u64, idempotent: bool) {
        let (key, service) = (None, "calendar".to_owned());
        let event = Event::Sent {
            idempotent,
            key,
            operation,
            request,
            service,
        };
        self.add(ms, "caller", event);
    }

    fn received(&mut self, ms: u64, request: u64, outcome: &str, body: Option<u64>) {
        let status = match outcome {
            "" => 0,
            "answered" => 200,
            _ => 503,
        };
        let reason = if outcome == "refused" {
            "target-full"
        } else {
            "deadline-expired-running"
        };
        let (outcome, reason) = (outcome.to_owned(), reason.to_owned());
        let whole = status != 0;
        self.add(
            ms,
            "caller",
            Event::Received {
                body,
                outcome,
                reason,
                request,
                status,
                whole,
            },
        );
    }

    fn run(&mut self, ms: u64, request: u64, target: u64, length: u64, answered: bool) {
        let party = format!("target-{target}");
        self.add(ms, &party, Event::RunStarted { request });
        self.add(ms + length, &party, Event::RunEnded { answered, request });
    }
}

pub fn history(plan: &Plan) -> Vec<Record> {
    let mut writer = Writer(Vec::new());
    for (index, call) in plan.calls.iter().enumerate() {
        // Target 0 leaves: later work, and work whose connection breaks, goes to the next one.
        let moved = call.at > plan.leaving + 2000 || matches!(call.end, CallEnd::Broken);
        let target = if moved {
            call.target.max(1)
        } else {
            call.target
        };
        write_call(&mut writer, index as u64 * 2, call, target);
    }
    writer.add(plan.leaving, "target-0", Event::Leaving);
    for (index, daemon) in plan.daemons.iter().enumerate() {
        write_daemon(&mut writer, index, daemon, &plan.versions);
    }
    for (index, at) in plan.versions.iter().enumerate() {
        writer.add(
            *at,
            "platform",
            Event::Published {
                version: index as u64 + 1,
            },
        );
    }
    for at in (0..5).map(|n| n * 7000) {
        writer.add(at, "target-1", Event::Probed { cost: 1000 });
    }
    writer.0
}

/// Writes a call under the number `n`, and what repeats it under `n + 1`.
fn write_call(writer: &mut Writer, n: u64, call: &Call, target: u64) {
    let Call {
        at,
        end,
        idempotent,
        length,
        ..
    } = *call;
    let done = at + length;
    writer.sent(at, n, n, idempotent || matches!(end, CallEnd::Hedged));
    match end {
        CallEnd::Answered => {
            writer.run(at, n, target, length, true);
            writer.received(done, n, "answered", Some(n));
        }
        CallEnd::Broken => {
            writer.run(at, n, target, length, false);
            writer.received(done, n, "", None);
        }
        CallEnd::Hedged => {
            writer.run(at, n, target, length, false);
            writer.run(at + length / 2, n, 2, length / 2, true);
            writer.received(done, n, "answered", Some(n));
        }
        CallEnd::Lost => {
            writer.run(at, n, target, length, false);
            writer.received(done, n, if idempotent { "failed" } else { "unknown" }, None);
        }
        CallEnd::Refused => writer.received(done, n, "refused", None),
        CallEnd::RefusedThenAnswered => {
            writer.received(at, n, "refused", None);
            writer.sent(at, n + 1, n, idempotent);
            writer.run(at, n + 1, target, length, true);
            writer.received(done, n + 1, "answered", Some(n + 1));
        }
        CallEnd::Replayed => {
            writer.run(at, n, target, length, true);
            writer.received(done, n, "answered", Some(n));
            writer.sent(done, n + 1, n, idempotent);
            writer.received(done + 1, n + 1, "answered", Some(n));
        }
    }
}

fn write_daemon(writer: &mut Writer, index: usize, daemon: &Daemon, versions: &[u64]) {
    let party = format!("daemon-{index}");
    let (from, to) = daemon.absence;
    let (gone, back) = if daemon.killed {
        (Change::Killed, Change::Started)
    } else {
        (Change::CutOff, Change::Restored)
    };
    let beside = Some(format!("target-{index}"));
    writer.add(
        0,
        &party,
        Event::Presence {
            beside,
            change: Change::Started,
        },
    );
    writer.add(
        from,
        &party,
        Event::Presence {
            beside: None,
            change: gone,
        },
    );
    writer.add(
        to,
        &party,
        Event::Presence {
            beside: None,
            change: back,
        },
    );
    for (number, published) in versions.iter().enumerate() {
        let present = published + daemon.delay;
        let seen = if present < from {
            present
        } else {
            present.max(to + daemon.delay)
        };
        // A restarted daemon takes over each earlier version again.
        let again = (daemon.killed && seen < from).then_some(to + daemon.delay);
        for at in [seen].into_iter().chain(again) {
            let run = u8::from(daemon.killed && at > to);
            let version = number as u64 + 1;
            let event = Event::InForce {
                digest: version * 11,
                instance: format!("instance-{index}-{run}"),
                version,
            };
            writer.add(at, &party, event);
        }
    }
}
