//! Encoded frames decode to the same frames, and malformed bytes are rejected.

use cassiarock_claim::Ballot;
use cassiarock_id::{Job, Process, Task, Wall};
use cassiarock_policy::load::SlotDemand;
use cassiarock_transient::Message;
use cassiarock_transient::freshness::Report;
use cassiarock_wire::{Frame, Run, TaskStart, decode, encode};
use yare::parameterized;

fn start() -> Frame {
    let run = Run {
        job: Job::with_bits(Wall::from_millis(1), 2),
        digest: 9,
        ballot: Ballot::new(1, Process::new("entry-1", 3)),
        keeper: Some(Process::new("agent-1", 4)),
        view: 5,
        start_by: Wall::from_millis(7),
        kind: "seat-check".into(),
        limit_ms: 1000,
        tasks: vec![TaskStart {
            task: Task(6),
            placement: 1,
            lateness: -5,
            may_wait: true,
            payload: b"{\"class\": 1}".to_vec(),
        }],
    };
    Frame::Run {
        runs: vec![run],
        ask: SlotDemand::default(),
    }
}

fn heartbeat(freshness: Option<Report>) -> Frame {
    Frame::Transient(Message::EntryHeartbeat {
        echo: 1,
        version: 2,
        ask: None,
        freshness,
    })
}

// During an upgrade, entries of the build before send heartbeats without the field, and read ones with it.
#[test]
fn a_heartbeat_without_freshness_is_what_older_builds_send() {
    let with_freshness = encode(&heartbeat(Some(Report::default()))).unwrap();
    let name = b"freshness";
    let has_name = |bytes: &[u8]| bytes.windows(name.len()).any(|part| part == name);
    assert!(has_name(&with_freshness));
    let without = encode(&heartbeat(None)).unwrap();
    assert!(!has_name(&without));
    assert_eq!(decode(&without).unwrap(), heartbeat(None));
}

#[parameterized(
    leaving = { Frame::Leaving },
    demand = { Frame::Demand(SlotDemand::default()) },
    run = { start() },
    entry_heartbeat = { heartbeat(None) },
    fresh_entry_heartbeat = { heartbeat(Some(Report { age_ms: 250, hops: 2, echo_ms: Some(7_040), clock_ms: 9 })) },
)]
fn a_decoded_frame_equals_the_encoded_one(frame: Frame) {
    let bytes = encode(&frame).unwrap();
    assert_eq!(decode(&bytes).unwrap(), frame);
}

#[test]
fn a_truncated_frame_is_an_error() {
    let bytes = encode(&start()).unwrap();
    for end in 0..bytes.len() {
        assert!(decode(&bytes[..end]).is_err());
    }
}

#[test]
fn trailing_bytes_are_an_error() {
    let mut bytes = encode(&Frame::Leaving).unwrap();
    bytes.push(0);
    assert!(decode(&bytes).is_err());
}

/// The bytes of a frame with this message about transient jobs, whose one field is `field`,
/// followed by `rest`.
fn transient(message: &str, field: &str, rest: &[u8]) -> Vec<u8> {
    let text = |text: &str| [&[0x60 + text.len() as u8], text.as_bytes()].concat();
    let names = ["Transient", message, field];
    let names = names
        .iter()
        .flat_map(|name| [vec![0xa1], text(name)].concat());
    names.chain(rest.iter().copied()).collect()
}

// A peer of another version, or a faulty one, must not exhaust the stack or the memory.
#[parameterized(
    nested_arrays = { &[0x81; 100_000] },
    nested_arrays_without_an_end = { &[0x9f; 100_000] },
    nested_maps = { &[0xa1; 100_000] },
    nested_tags = { &[0xc1; 100_000] },
    an_array_of_claimed_length = { &[0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff] },
    bytes_of_claimed_length = { &[0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff] },
    text_of_claimed_length = { &[0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff] },
)]
fn a_frame_that_is_too_deep_or_claims_to_be_huge_is_an_error(bytes: &[u8]) {
    assert!(decode(bytes).is_err());
    for (message, field) in [
        ("Configuration", "packed"),
        ("Ended", "endings"),
        ("Orders", "orders"),
        ("AgentBeat", "unknown"),
    ] {
        assert!(decode(&transient(message, field, bytes)).is_err());
    }
}
