//! Encoded frames decode to the same frames, and malformed bytes are rejected.

use cassiarock_claim::Ballot;
use cassiarock_id::{Job, Process, Task, Wall};
use cassiarock_policy::load::SlotDemand;
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

#[parameterized(
    leaving = { Frame::Leaving },
    demand = { Frame::Demand(SlotDemand::default()) },
    run = { start() },
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
