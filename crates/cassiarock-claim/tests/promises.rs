//! Searches random interleavings for violations of the protocol's guarantees, and replays
//! runs that once violated one.

use cassiarock_claim as claim;

mod sim;

use sim::Oracle;
use sim::Step::{self, *};

/// Enough runs to find each mutant several times, in a few seconds.
const CASES: u32 = 6_000;
const MAX_STEPS: usize = 300;

#[test]
fn no_interleaving_starts_a_task_twice_or_gives_a_false_answer() {
    let mut total = Oracle::default();
    let found = sim::search(CASES, MAX_STEPS, sim::SMALL_MEMORY, |world| {
        total.complete += world.oracle.complete;
        total.gathered += world.oracle.gathered;
        total.mismatches += world.oracle.mismatches;
        total.refusals += world.oracle.refused.len();
        for (reason, count) in &world.oracle.failed {
            *total.failed.entry(reason.clone()).or_default() += count;
        }
        Ok(())
    });
    println!("{total:?}");
    assert_eq!(found, Ok(()));
    // A search in which one kind of answer rarely occurs would prove little about it.
    let counts = [
        total.complete,
        total.gathered,
        total.refusals,
        total.mismatches,
    ];
    assert!(counts.iter().all(|count| *count > 100), "{counts:?}");
}

// As long as no agent is lost for good, every submission must be answered once messages are
// delivered and the log is read again: nothing may wait for a message that never comes.
#[test]
fn every_submission_is_answered_once_the_faults_end() {
    let found = sim::search(CASES / 2, MAX_STEPS / 2, sim::LARGE_MEMORY, |world| {
        let (waiting, lost) = (world.heal(), world.has_lost_agents());
        match &world.oracle.violation {
            Some(violation) => Err(violation.clone()),
            None if waiting.is_empty() || lost => Ok(()),
            None => Err(format!("submissions {waiting:?} have no answer")),
        }
    });
    assert_eq!(found, Ok(()));
}

// One of three agents is removed. An entry at the new view named no keeper in its starts,
// because two agents are too few for an exempt keeper, and the keeper ran a task. Another
// entry still held the view of three, gathered without the keeper, found nothing and answered
// "not run" (or started the task again).
const SHRUNK_AND_REFUSED: &[Step] = &[
    Issue,
    Tick(700),
    Heartbeat(101),
    Refuse(21, 0),
    Remove(109),
    Submit(101, 0),
    Read(188),
    Issue,
    Deliver(45012),
    Deliver(123),
    Deliver(988),
    Deliver(48505),
    Place(11, 77),
    Issue,
    Place(0, 0),
    Flush(6),
    Flush(2),
    Begin(69, 0),
    Flush(4),
];
const SHRUNK_AND_BEGUN: &[Step] = &[
    Tick(2919),
    Issue,
    Tick(2433),
    Issue,
    Refuse(9, 157),
    Deliver(0),
    Pause(46),
    Submit(64, 104),
    Issue,
    Place(0, 0),
    Submit(235, 46),
    Place(0, 0),
    Deliver(4974),
    Refuse(21, 67),
    Heartbeat(67),
    Flush(5),
    Flush(5),
    Remove(137),
    Deliver(11),
    Flush(5),
    Read(253),
    Submit(137, 0),
    Ping(0, 0),
    Flush(3),
    Pause(82),
    Flush(2),
    Flush(6),
    Flush(7),
    Place(142, 33),
    Deliver(24833),
    Flush(1),
    Deliver(48462),
    Begin(133, 0),
];

// An entry gathers a job and starts it. A restarted agent becomes the next keeper; a second
// entry claims the job there and is told to gather, and its caller cancels. The keeper closed
// the claim as that entry's own, and the job was answered as "not run" while it ran.
const CLOSED_UNGATHERED: &[Step] = &[
    Tick(5095),
    Tick(440),
    Tick(285),
    Issue,
    Submit(33, 0),
    Deliver(0),
    Deliver(0),
    Flush(6),
    Flush(2),
    Restart(83),
    Place(108, 17),
    Submit(7, 0),
    Read(123),
    Issue,
    Read(129),
    Issue,
    Flush(1),
    Deliver(206),
    Issue,
    Issue,
    Cancel(163, 3),
    Flush(1),
    Retry(112),
    Place(0, 0),
    Deliver(21030),
    Deliver(3763),
    Issue,
    Begin(77, 0),
    Deliver(0),
    Flush(6),
];

// An entry can't reach the keeper, gathers and dies. The job is refused at another entry: the
// keeper closes it, but the agents are fenced by the dead owner. The second entry asked the
// keeper and the agents in turn forever instead of gathering.
const FENCED_BY_DEAD_OWNER: &[Step] = &[
    Issue,
    Submit(119, 0),
    Lose(0),
    KeeperLost(80, 81),
    Issue,
    CrashEntry(65),
    Issue,
    Issue,
    Refuse(27, 21),
];

// An entry claims a job at its keeper, reads a new view with another keeper and claims it
// there as well. When the first grant arrived, the starts named the second keeper; the first
// one then ran a task, which a gather without it missed.
const GRANTED_LATE: &[Step] = &[
    Join,
    Issue,
    Tick(700),
    Refuse(81, 0),
    Issue,
    Flush(2),
    Deliver(0),
    Heartbeat(8),
    Flush(3),
    Submit(29, 30),
    Deliver(16193),
];

// A keeper leaves and hands over a claim. Its successor had granted the id to a submission of
// other tasks; it adopted the first owner but kept the second hash, and the second caller got
// the first one's answer.
const CLAIMS_MIXED_UP: &[Step] = &[
    Tick(477),
    Tick(2641),
    Tick(314),
    Leave(105),
    Issue,
    Pause(123),
    Submit(29, 0),
    Flush(2),
    Leave(98),
    SubmitOtherTasks(105, 0),
    Join,
];

// An agent is short of memory. A start evicted the very job that it belongs to and opened a
// new record for it, and a repeat of a task that had ended began again.
const EVICTED_BY_OWN_START: &[Step] = &[
    Issue,
    Submit(11, 0),
    Read(0),
    Issue,
    Issue,
    Submit(130, 52),
    Flush(4),
    Place(199, 92),
    Deliver(16187),
    Begin(29, 0),
    Submit(9, 15),
    Issue,
    Flush(4),
    End(109, 0),
    Submit(151, 44),
    Deliver(45883),
    Place(107, 125),
    Deliver(8309),
    Deliver(42272),
    Tick(2675),
    Settle(0, 0),
    Begin(30, 73),
    Place(220, 0),
    Flush(4),
    Deliver(0),
    OwnerLost(144, 54),
    End(188, 0),
    Place(44, 8),
    Begin(152, 0),
    Flush(2),
    Flush(3),
    Begin(188, 0),
    Flush(3),
    Place(9, 13),
    Deliver(24047),
    Begin(72, 0),
];

// A task ends, its outcome is lost on the way, and the agent evicts the job. The entry sends
// the start again and gets "forgotten": it took that as proof that the task had not started
// and placed it elsewhere.
const EVICTED_BEFORE_REPEAT: &[Step] = &[
    Submit(0, 0),
    Read(0),
    Issue,
    Issue,
    Submit(29, 5),
    Issue,
    Submit(16, 233),
    Flush(4),
    Submit(2, 33),
    Place(40, 32),
    Flush(2),
    ToggleLink(67, 110),
    ToggleLink(32, 5),
    Begin(44, 0),
    End(104, 0),
    Flush(2),
    Place(68, 0),
    Flush(5),
    ToggleLink(232, 30),
    Deliver(0),
    Deliver(0),
    Place(55, 1),
    Deliver(0),
    Begin(137, 151),
];

#[yare::parameterized(
    a_start_evicts_its_own_job = { 2, EVICTED_BY_OWN_START },
    a_repeated_start_meets_an_evicted_job = { 2, EVICTED_BEFORE_REPEAT },
)]
fn no_task_begins_again_where(agents: usize, steps: &[Step]) {
    let mut world = sim::World::new(agents, sim::SMALL_MEMORY);
    for step in steps {
        world.step(*step);
    }
    assert_eq!(world.oracle.violation, None);
}

// A second entry gathers and learns that a task runs. The agent then fails to reach the worker
// and says so before the gather is complete: the task counted as running forever.
const REVERTED_DURING_GATHER: &[Step] = &[
    Issue,
    Issue,
    Submit(199, 20),
    Submit(221, 62),
    Flush(3),
    Place(136, 20),
    Submit(8, 133),
    Flush(6),
    OwnerLost(47, 92),
    Deliver(0),
    Submit(190, 1),
    Begin(21, 0),
    Retry(22),
    Submit(63, 0),
    Flush(7),
    Revert(69, 0),
    Retry(29),
    Deliver(24856),
    Issue,
];

#[yare::parameterized(
    a_begun_task_is_reverted_during_a_gather = { 4, REVERTED_DURING_GATHER },
    a_used_id_meets_its_first_owner_at_a_new_keeper = { 5, CLAIMS_MIXED_UP },
    a_refusal_meets_the_fences_of_a_dead_owner = { 3, FENCED_BY_DEAD_OWNER },
    a_grant_arrives_after_the_next_view = { 3, GRANTED_LATE },
    a_claim_that_was_not_granted_is_refused = { 5, CLOSED_UNGATHERED },
    a_view_shrinks_below_three_before_a_refusal = { 3, SHRUNK_AND_REFUSED },
    a_view_shrinks_below_three_after_a_refusal = { 3, SHRUNK_AND_BEGUN },
)]
fn the_guarantees_hold_where(agents: usize, steps: &[Step]) {
    let mut world = sim::World::new(agents, sim::LARGE_MEMORY);
    for step in steps {
        world.step(*step);
        assert_eq!(world.oracle.violation, None);
    }
    let waiting = world.heal();
    assert_eq!(world.oracle.violation, None);
    assert!(waiting.is_empty(), "{waiting:?}");
}
