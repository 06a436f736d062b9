//! Encoding and decoding of messages between daemons.

use std::time::Duration;

use bytes::Bytes;
use hawthornwall_core::catalog::{
    self, PublishedRoutes, PublishedState, PublishedTarget, Revision, RouteDelta, Snapshot,
    StorePosition, UpdateChange, UpdateHead, UpdatePayload,
};
use hawthornwall_core::config::{Change, Patch};
use hawthornwall_core::keys::Key;
use hawthornwall_core::prelude::*;
use hawthornwall_core::routes::{Destination, Repeatability, Route, RouteTable};
use hawthornwall_wire::peer::{
    BodyOffer, Exchange, Header, HttpAnswer, HttpRequest, MessageParts, Reply, Request, RequestId,
    RunReply, RunRequest, RunResult, StoreUpdate, decode_reply, decode_request, encode_reply,
    encode_request, reply_parts, request_parts,
};
use proptest::prelude::*;

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..300)
}

fn headers() -> impl Strategy<Value = Vec<Header>> {
    let header = ("[a-z-]{1,20}", bytes()).prop_map(|(name, value)| Header { name, value });
    prop::collection::vec(header, 0..4)
}

fn key() -> impl Strategy<Value = Key> {
    any::<(u64, u64, u16, u64, u32)>().prop_map(|(instance, serial, service, tag, target)| Key {
        instance: InstanceId(instance),
        serial,
        service: ServiceId(service),
        tag,
        target: TargetId(target),
    })
}

fn run() -> impl Strategy<Value = RunRequest> {
    let http =
        (bytes(), headers(), ".{0,9}", ".{0,40}").prop_map(|(body, headers, method, path)| {
            HttpRequest {
                body: body.into(),
                headers,
                method,
                path,
            }
        });
    (
        http,
        prop::option::of(key()),
        any::<(u32, u32, u16, u32)>(),
        any::<(bool, Option<u64>)>(),
        (prop::option::of(".{0,60}"), prop::option::of(".{0,20}")),
    )
        .prop_map(
            |(http, key, (left, max_wait, service, target), (once, repeat), (trace, expect))| {
                RunRequest {
                    expected_target: expect,
                    http,
                    key,
                    time_left: Duration::from_micros(left.into()),
                    objective: Duration::from_micros(max_wait.into()),
                    run_once: once,
                    max_wait: Duration::from_micros(max_wait.into()),
                    rank: left as u8,
                    first_instance: repeat.map(InstanceId),
                    service: ServiceId(service),
                    target: TargetId(target),
                    trace,
                    objective_left: Some(Duration::from_micros(left.into())),
                }
            },
        )
}

fn exchange() -> impl Strategy<Value = Exchange> {
    let from = prop::option::of(any::<([u8; 4], u16)>().prop_map(Into::into));
    let patch = (".{0,9}", any::<u64>()).prop_map(|(note, base)| Patch {
        author: "trainee".to_owned(),
        base: Version(base),
        changes: vec![Change::RemoveService { name: note.clone() }],
        note,
        time: "2026-01-05T08:00:00Z".to_owned(),
    });
    (
        any::<(u64, u64)>(),
        from,
        prop::collection::vec(patch, 0..3),
    )
        .prop_map(|((digest, version), from, patches)| Exchange {
            digest,
            from,
            patches,
            version: Version(version),
            ..Exchange::default()
        })
}

fn micros() -> impl Strategy<Value = Duration> {
    any::<u32>().prop_map(|us| Duration::from_micros(us.into()))
}

fn routes() -> impl Strategy<Value = catalog::Change> {
    let route = (".{0,9}", "[a-z]{0,9}", micros(), any::<u8>());
    let route = route.prop_map(|(prefix, service, timeout, rank)| Route {
        attempts: usize::from(rank),
        destinations: vec![Destination { service, weight: 3 }],
        objective: timeout,
        prefix,
        rank,
        repeats: Repeatability::NonIdempotent,
        timeout,
    });
    let all = prop::collection::vec((".{0,9}", route), 0..5);
    (all, any::<u64>()).prop_map(|(all, version)| {
        let mut routes = RouteTable::default();
        for (host, route) in all {
            routes.insert(&host, route);
        }
        catalog::Change::Routes(PublishedRoutes {
            routes,
            version: Version(version),
            ..PublishedRoutes::default()
        })
    })
}

fn target() -> impl Strategy<Value = catalog::Change> {
    let address = any::<([u8; 4], u16)>();
    (address, any::<Option<u64>>(), micros(), ".{0,9}").prop_map(
        |(address, started_ms, cold, name)| {
            let target = PublishedTarget {
                address: address.into(),
                started_ms,
                cold,
                domain: "a".to_owned(),
                sequence: 3,
                service: name.clone(),
                slots: 4,
                state: PublishedState::Draining,
            };
            catalog::Change::Target { name, target }
        },
    )
}

fn route_delta() -> impl Strategy<Value = UpdateChange> {
    let removed = prop::collection::vec((".{0,9}", ".{0,9}"), 0..4);
    (routes(), removed, any::<u64>()).prop_map(|(change, removed, base)| {
        let catalog::Change::Routes(published) = change else {
            panic!("the strategy gives routes");
        };
        let written = published.routes.iter();
        UpdateChange::RouteDelta(RouteDelta {
            base: Version(base),
            limits: published.limits,
            removed,
            services: published.services.clone(),
            unsupported: published.unsupported.clone(),
            written: written.map(|(h, r)| (h.to_owned(), r.clone())).collect(),
            version: published.version,
        })
    })
}

fn evacuated() -> impl Strategy<Value = catalog::Change> {
    ".{0,9}".prop_map(|domain| catalog::Change::Evacuated { domain })
}

fn payload() -> impl Strategy<Value = UpdatePayload> {
    let gone = ".{0,9}".prop_map(|name| catalog::Change::TargetGone { name });
    let ended = ".{0,9}".prop_map(|domain| catalog::Change::EvacuationEnded { domain });
    let whole = prop_oneof![gone, routes(), target(), evacuated(), ended];
    let whole = whole.prop_map(UpdateChange::from);
    let change = prop_oneof![whole, route_delta()];
    let changes = prop::collection::vec((any::<u64>(), change), 0..4);
    let contents = prop::collection::vec(prop_oneof![routes(), target(), evacuated()], 0..4);
    let contents = contents.prop_map(|changes| {
        let mut contents = Snapshot::default();
        for change in changes {
            match change {
                catalog::Change::Routes(routes) => contents.routes = Some(routes),
                catalog::Change::Target { name, target } => {
                    contents.targets.insert(name, target);
                }
                catalog::Change::Evacuated { domain } => {
                    contents.evacuated.insert(domain);
                }
                catalog::Change::EvacuationEnded { .. } | catalog::Change::TargetGone { .. } => {}
            }
        }
        contents
    });
    prop_oneof![
        changes.prop_map(UpdatePayload::Changes),
        contents.prop_map(UpdatePayload::Contents),
        Just(UpdatePayload::TooLarge),
    ]
}

fn store_update() -> impl Strategy<Value = StoreUpdate> {
    let head = (micros(), prop::option::of(micros()), revision());
    (payload(), head).prop_map(|(payload, (age, outage, revision))| StoreUpdate {
        head: UpdateHead {
            age,
            outage,
            revision,
        },
        payload,
    })
}

fn revision() -> impl Strategy<Value = Revision> {
    any::<(u64, u64)>().prop_map(|(era, number)| Revision::new(era, number))
}

fn position() -> impl Strategy<Value = StorePosition> {
    let age = prop::option::of(micros());
    (age, revision()).prop_map(|(age, revision)| StorePosition { age, revision })
}

fn body_offer() -> impl Strategy<Value = BodyOffer> {
    let times = (micros(), micros(), prop::option::of(micros()), micros());
    (times, any::<(u8, u64)>()).prop_map(|(times, (rank, size))| {
        let (max_wait, objective, objective_left, time_left) = times;
        BodyOffer {
            max_wait,
            objective,
            objective_left,
            rank,
            size,
            time_left,
        }
    })
}

fn request() -> impl Strategy<Value = Request> {
    prop_oneof![
        position().prop_map(Request::StoreUpdate),
        exchange().prop_map(|e| Request::Exchange(Box::new(e))),
        any::<(u64, u16, u32)>().prop_map(|(id, service, target)| Request::IssueKey {
            id: RequestId(id),
            service: ServiceId(service),
            target: TargetId(target),
        }),
        (any::<u64>(), run()).prop_map(|(id, run)| Request::Run(RequestId(id), Box::new(run))),
        (any::<u64>(), body_offer())
            .prop_map(|(id, offer)| Request::OfferBody(RequestId(id), offer)),
    ]
}

fn reply() -> impl Strategy<Value = Reply> {
    let result = prop_oneof![
        (bytes(), headers(), 200..=599_u16).prop_map(|(body, headers, status)| {
            RunResult::Answered(HttpAnswer {
                body: body.into(),
                headers,
                status,
            })
        }),
        key().prop_map(RunResult::KeyIssued),
        Just(RunResult::Lost(Loss::Closed)),
        Just(RunResult::Refused(Refusal::Full)),
    ];
    let run =
        (result, any::<(u64, u32, u64, u32)>()).prop_map(|(result, (id, held, seq, running))| {
            let report = LoadReport {
                running,
                seq,
                ..LoadReport::default()
            };
            let held = Duration::from_micros(held.into());
            Reply::Run(Box::new(RunReply {
                result,
                held,
                id: RequestId(id),
                report,
            }))
        });
    prop_oneof![
        exchange().prop_map(|e| Reply::Exchange(Box::new(e))),
        store_update().prop_map(|u| Reply::StoreUpdate(Box::new(u))),
        run,
        any::<u64>().prop_map(|id| Reply::BodyGranted(RequestId(id))),
    ]
}

/// A message that is encoded in parts, as it is sent.
fn joined(parts: &MessageParts) -> Vec<u8> {
    [&parts.head[..], &parts.body, &parts.tail].concat()
}

/// Guards against an answer of a target of another daemon with a status that a caller can't interpret.
#[test]
fn statuses_of_final_answers() {
    let accepted = (0..=u16::MAX).filter(|status| {
        let reply = Reply::Run(Box::new(RunReply {
            result: RunResult::Answered(HttpAnswer {
                body: Bytes::new(),
                headers: Vec::new(),
                status: *status,
            }),
            held: Duration::ZERO,
            id: RequestId(1),
            report: LoadReport::default(),
        }));
        decode_reply(&encode_reply(&reply).into()).is_ok()
    });
    assert!(accepted.eq(200..=599));
}

proptest! {
    /// Guards against requests that decode to a different value, and against accepting truncated
    /// requests or extra bytes.
    #[test]
    fn requests_round_trip(request in request(), cut in any::<prop::sample::Index>()) {
        let mut encoded = encode_request(&request);
        prop_assert_eq!(&joined(&request_parts(&request)), &encoded);
        let cut = Bytes::copy_from_slice(&encoded[..cut.index(encoded.len())]);
        prop_assert!(decode_request(&cut).is_err());
        prop_assert_eq!(decode_request(&encoded.clone().into()), Ok(request));
        encoded.push(0);
        prop_assert!(decode_request(&encoded.into()).is_err());
    }

    /// Guards against replies that decode to a different value, and against accepting truncated
    /// replies or extra bytes.
    #[test]
    fn replies_round_trip(reply in reply(), cut in any::<prop::sample::Index>()) {
        let mut encoded = encode_reply(&reply);
        prop_assert_eq!(&joined(&reply_parts(&reply)), &encoded);
        let cut = Bytes::copy_from_slice(&encoded[..cut.index(encoded.len())]);
        prop_assert!(decode_reply(&cut).is_err());
        prop_assert_eq!(decode_reply(&encoded.clone().into()), Ok(reply));
        encoded.push(0);
        prop_assert!(decode_reply(&encoded.into()).is_err());
    }

    /// Guards against updates that builds without differences between routes can't read, or read as something
    /// else.
    #[test]
    fn whole_changes_keep_their_encoding(change in prop_oneof![routes(), target()]) {
        let before = postcard::to_stdvec(&change).expect("changes are encoded");
        let now = postcard::to_stdvec(&UpdateChange::from(change)).expect("changes are encoded");
        prop_assert_eq!(before, now);
    }

    /// Guards against a panic or a huge allocation on arbitrary bytes.
    #[test]
    fn no_bytes_panic(bytes in bytes()) {
        let bytes = bytes.into();
        let _ = decode_request(&bytes);
        let _ = decode_reply(&bytes);
    }

    /// Guards against a panic or a huge allocation on a valid message with one changed byte.
    #[test]
    fn no_changed_byte_panics(
        request in request(),
        at in any::<prop::sample::Index>(),
        byte: u8,
    ) {
        let mut encoded = encode_request(&request);
        let at = at.index(encoded.len());
        encoded[at] = byte;
        let _ = decode_request(&encoded.into());
    }

    /// Guards against bodies that daemons of earlier builds can't decode: they encode a body as a list of bytes.
    #[test]
    fn bodies_keep_their_encoding(body in bytes()) {
        let list = postcard::to_stdvec(&body).expect("lists are encoded");
        let shared = postcard::to_stdvec(&Bytes::from(body)).expect("bodies are encoded");
        prop_assert_eq!(list, shared);
    }
}
