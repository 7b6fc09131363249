//! The steps of a run, and the search for a run that violates a guarantee.

use super::World;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

/// One step of a run. Each number selects an item of a list, modulo the list's length.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Issue,
    Submit(u8, u8),
    /// Submits other tasks under the same id.
    SubmitOtherTasks(u8, u8),
    Refuse(u8, u8),
    Place(u8, u8),
    Deliver(u16),
    Flush(u8),
    Lose(u16),
    Duplicate(u16),
    Begin(u8, u8),
    End(u8, u8),
    /// The worker could not be reached, so that a begun task has not started after all.
    Revert(u8, u8),
    Tick(u16),
    Read(u8),
    Heartbeat(u8),
    /// The entry and the agents outside the mask read the log, and the entry settles the
    /// newest view.
    Settle(u8, u8),
    Ping(u8, u8),
    /// Cuts or restores the link between an entry and an agent.
    ToggleLink(u8, u8),
    CrashEntry(u8),
    CrashAgent(u8),
    Restart(u8),
    Join,
    Remove(u8),
    Leave(u8),
    OwnerLost(u8, u8),
    KeeperLost(u8, u8),
    Cancel(u8, u8),
    Expire(u8, u8),
    Retry(u8),
    Evict(u8),
    Pause(u8),
    Forget(u8, u8),
    Drift(u8, u8),
}

fn step() -> impl Strategy<Value = Step> {
    let two = || (any::<u8>(), any::<u8>());
    prop_oneof![
        6 => Just(Step::Issue),
        12 => two().prop_map(|(e, j)| Step::Submit(e, j)),
        1 => two().prop_map(|(e, j)| Step::SubmitOtherTasks(e, j)),
        2 => two().prop_map(|(e, j)| Step::Refuse(e, j)),
        24 => two().prop_map(|(e, a)| Step::Place(e, a)),
        40 => any::<u16>().prop_map(Step::Deliver),
        30 => (1_u8..8).prop_map(Step::Flush),
        4 => any::<u16>().prop_map(Step::Lose),
        5 => any::<u16>().prop_map(Step::Duplicate),
        20 => two().prop_map(|(a, n)| Step::Begin(a, n)),
        10 => two().prop_map(|(a, n)| Step::End(a, n)),
        2 => two().prop_map(|(a, n)| Step::Revert(a, n)),
        4 => (1_u16..500).prop_map(Step::Tick),
        2 => (500_u16..6_000).prop_map(Step::Tick),
        12 => any::<u8>().prop_map(Step::Read),
        8 => any::<u8>().prop_map(Step::Heartbeat),
        4 => two().prop_map(|(e, lagging)| Step::Settle(e, lagging)),
        2 => two().prop_map(|(e, a)| Step::Ping(e, a)),
        3 => two().prop_map(|(e, a)| Step::ToggleLink(e, a)),
        1 => any::<u8>().prop_map(Step::CrashEntry),
        1 => any::<u8>().prop_map(Step::CrashAgent),
        1 => any::<u8>().prop_map(Step::Restart),
        2 => Just(Step::Join),
        2 => any::<u8>().prop_map(Step::Remove),
        5 => any::<u8>().prop_map(Step::Leave),
        8 => two().prop_map(|(e, j)| Step::OwnerLost(e, j)),
        5 => two().prop_map(|(e, a)| Step::KeeperLost(e, a)),
        2 => two().prop_map(|(e, j)| Step::Cancel(e, j)),
        1 => two().prop_map(|(e, j)| Step::Expire(e, j)),
        6 => any::<u8>().prop_map(Step::Retry),
        1 => any::<u8>().prop_map(Step::Evict),
        2 => any::<u8>().prop_map(Step::Pause),
        3 => two().prop_map(|(e, j)| Step::Forget(e, j)),
        1 => two().prop_map(|(n, s)| Step::Drift(n, s)),
    ]
}

impl Step {
    /// The step's kind of fault as a bit; 0 for a step of normal operation.
    const fn fault(self) -> u32 {
        match self {
            Self::Lose(_) => 1,
            Self::Duplicate(_) => 1 << 1,
            Self::ToggleLink(..) | Self::KeeperLost(..) => 1 << 2,
            Self::CrashEntry(_) => 1 << 3,
            Self::CrashAgent(_) => 1 << 4,
            Self::Restart(_) => 1 << 5,
            Self::Join => 1 << 6,
            Self::Remove(_) => 1 << 7,
            Self::Leave(_) => 1 << 8,
            Self::OwnerLost(..) => 1 << 9,
            Self::Cancel(..) | Self::Refuse(..) => 1 << 10,
            Self::Expire(..) => 1 << 11,
            Self::Evict(_) => 1 << 12,
            Self::Pause(_) => 1 << 13,
            Self::Forget(..) => 1 << 14,
            Self::SubmitOtherTasks(..) => 1 << 15,
            Self::Revert(..) => 1 << 16,
            _ => 0,
        }
    }
}

/// Runs of up to `length` steps with two to five agents. Each run allows only some kinds of
/// faults: with all kinds at once, most jobs fail early.
fn steps(length: usize) -> impl Strategy<Value = (usize, Vec<Step>)> {
    let run = (
        2_usize..6,
        any::<u32>(),
        any::<u32>(),
        vec(step(), 0..=length),
    );
    run.prop_map(|(agents, mask_a, mask_b, steps)| {
        // Two masks, so that each kind of fault is allowed in a quarter of the runs.
        let faults = mask_a & mask_b;
        let allowed = |step: &Step| step.fault() & !faults == 0;
        (agents, steps.into_iter().filter(allowed).collect())
    })
}

/// The environment variable that overrides the number of runs per search.
const CASES_VARIABLE: &str = "CASSIAROCK_CLAIM_CASES";
/// The environment variable that overrides the search's seed.
const SEED_VARIABLE: &str = "CASSIAROCK_CLAIM_SEED";

/// Plays random runs from a fixed seed, and calls `after_run` after each. Returns the first violation, with the shortest run
/// found that causes it.
pub fn search(
    cases: u32,
    length: usize,
    memory_bytes: usize,
    mut after_run: impl FnMut(&mut World) -> Result<(), String>,
) -> Result<(), String> {
    let variable = |name| std::env::var(name).ok()?.parse().ok();
    let cases = variable(CASES_VARIABLE).unwrap_or(cases);
    let seed = variable(SEED_VARIABLE).unwrap_or(1);
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed_bytes(seed));
    let mut runner = TestRunner::new_with_rng(config, rng);
    let after_run = std::cell::RefCell::new(&mut after_run);
    let run = |(agents, steps): (usize, Vec<Step>)| {
        let mut world = World::new(agents, memory_bytes);
        for step in steps {
            world.step(step);
            if let Some(violation) = &world.oracle.violation {
                return Err(TestCaseError::fail(violation.clone()));
            }
        }
        (after_run.borrow_mut())(&mut world).map_err(TestCaseError::fail)
    };
    match runner.run(&steps(length), run) {
        Ok(()) => Ok(()),
        Err(TestError::Fail(violation, input)) => Err(format!("{violation} by {input:?}")),
        Err(error) => Err(error.to_string()),
    }
}

fn seed_bytes(seed: u32) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&seed.to_le_bytes());
    bytes
}
