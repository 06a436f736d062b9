//! Text notation of records: `5950 caller sent 20; 5960 target-b start 20`. Times are in ms.

use hawthornwall_testkit::history::{Event, Record};

/// Parses records separated by semicolons.
pub fn records(text: &str) -> Vec<Record> {
    text.split(';')
        .filter(|part| !part.trim().is_empty())
        .map(record)
        .collect()
}

fn record(text: &str) -> Record {
    let words: Vec<_> = text.split_whitespace().collect();
    let [at, party, verb, rest @ ..] = &words[..] else {
        panic!("`{text}` has fewer than three words");
    };
    let at = at.parse::<u64>().unwrap() * 1000;
    Record {
        at,
        event: event(verb, rest),
        party: (*party).to_owned(),
    }
}

fn event(verb: &str, rest: &[&str]) -> Event {
    let number = |index: usize| rest.get(index).and_then(|w| w.parse::<u64>().ok());
    let request = number(0).unwrap_or_default();
    let word = |index: usize| rest.get(index).copied().unwrap_or_default().to_owned();
    match verb {
        "answered" => received(request, number(1).or(Some(request)), "answered", 200),
        "broken" => received(request, None, "", 0),
        "cut" => Event::RunEnded {
            answered: false,
            request,
        },
        "end" => Event::RunEnded {
            answered: true,
            request,
        },
        "in-force" => {
            let (version, digest) = (request, number(1).unwrap());
            Event::InForce {
                digest,
                instance: word(2),
                version,
            }
        }
        "leaving" => Event::Leaving,
        "failed" | "refused" | "unknown" => received(request, None, verb, 503),
        "partial" => {
            let (outcome, reason) = ("answered".to_owned(), String::new());
            Event::Received {
                body: None,
                outcome,
                reason,
                request,
                status: 500,
                whole: false,
            }
        }
        "probed" => Event::Probed { cost: request },
        "published" => Event::Published { version: request },
        "routed" => Event::Routed {
            daemon: word(1),
            request,
        },
        "sent" => Event::Sent {
            idempotent: !rest.contains(&"once"),
            key: None,
            operation: number(1).unwrap_or(request),
            request,
            service: "calendar".to_owned(),
        },
        "start" => Event::RunStarted { request },
        change => Event::Presence {
            beside: rest.first().map(|t| (*t).to_owned()),
            change: serde_json::from_value(change.into()).unwrap(),
        },
    }
}

/// The reason of a failed or unknown outcome is always a closed connection.
fn received(request: u64, body: Option<u64>, outcome: &str, status: u16) -> Event {
    let lost = outcome == "failed" || outcome == "unknown";
    Event::Received {
        body,
        outcome: outcome.to_owned(),
        reason: if lost { "connection-closed" } else { "" }.to_owned(),
        request,
        status,
        whole: status != 0,
    }
}
