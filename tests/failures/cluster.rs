//! A whole system of real processes.

use crate::job::{Job, Reply};
use crate::node::{Agent, Entry, PATIENCE, client};
use crate::verdict;
use cassiarock_claim::Ballot;
use cassiarock_claim::view::View;
use cassiarock_id::{Job as Id, Task, Wall};
use cassiarock_test_support::log::Stand;
use cassiarock_test_support::process::Child;
use cassiarock_test_support::proxy::Fault;
use cassiarock_test_support::worker::{Tally, Worker};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::JoinHandle;

/// So many systems run at a time: each has half a dozen processes, and on a machine with
/// more to do than it can, leases lapse that the test did not mean to let lapse.
static ROOM: Semaphore = Semaphore::const_new(6);

/// A caller waits longer than the job's deadline, to be told what became of it.
const WAIT: Duration = Duration::from_secs(40);

/// The pause between two jobs that probe whether claims are granted.
const PROBE: Duration = Duration::from_millis(100);

/// Entries, agents and their log.
pub struct Cluster {
    pub log: Stand,
    pub agents: Vec<Agent>,
    pub entries: Vec<Entry>,
    /// Workers whose agents are gone; their counts still decide.
    gone: Vec<Worker>,
    replies: Arc<Mutex<Vec<Reply>>>,
    _room: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts them and waits until all are linked. Entries come one after the other, so
    /// that the connection number `n` at each agent's door is that of entry `n`.
    pub async fn start(entries: usize, agents: usize) -> Self {
        let room = ROOM.acquire().await.unwrap();
        let mut cluster = Self {
            log: Stand::start().await.unwrap(),
            agents: Vec::new(),
            entries: Vec::new(),
            gone: Vec::new(),
            replies: Arc::default(),
            _room: room,
        };
        for number in 1..=agents {
            let agent = Agent::start(&format!("agent-{number}"), cluster.log.address());
            cluster.agents.push(agent);
        }
        for agent in &cluster.agents {
            agent.ready().await;
        }
        for _ in 0..entries {
            cluster.add_entry().await;
        }
        cluster
    }

    /// Starts them and waits until every entry is granted claims without a gather: from
    /// then on any one agent may be lost.
    pub async fn settled(entries: usize, agents: usize) -> Self {
        let cluster = Self::start(entries, agents).await;
        cluster.settle().await;
        cluster
    }

    /// Waits until every entry is granted claims without a gather.
    pub async fn settle(&self) {
        let give_up = Instant::now() + PATIENCE;
        for entry in 0..self.entries.len() {
            while !self.granted(entry).await {
                assert!(Instant::now() < give_up, "entry {entry} gathers on and on");
                tokio::time::sleep(PROBE).await;
            }
        }
    }

    /// Whether a job at `entry` is granted without a gather.
    async fn granted(&self, entry: usize) -> bool {
        let probe = Job::new(1, 1);
        let reply = self.submit(entry, &probe).await.unwrap();
        let round = self.tally().round((probe.id, Task(0)));
        reply.outcome == "complete" && round == Some(Ballot::FRESH)
    }

    /// One more entry, linked to all agents.
    pub async fn add_entry(&mut self) {
        let name = format!("entry-{}", self.entries.len() + 1);
        let entry = self.new_entry(&name).await;
        self.entries.push(entry);
    }

    /// Ends an agent at once and puts a new one with a new worker in its place.
    pub async fn restart_agent(&mut self, at: usize) {
        self.agents[at].child.kill();
        self.replace_agent(at).await;
    }

    /// Drains an agent, then puts a new one with a new worker in its place.
    pub async fn roll_agent(&mut self, at: usize) {
        drain(&mut self.agents[at].child).await;
        self.replace_agent(at).await;
    }

    /// Drains an entry, then puts a new one in its place.
    pub async fn roll_entry(&mut self, at: usize) {
        drain(&mut self.entries[at].child).await;
        self.entries[at] = self.new_entry(&self.entries[at].name).await;
    }

    /// Ends an entry at once and puts a new one in its place.
    pub async fn restart_entry(&mut self, at: usize) {
        self.entries[at].child.kill();
        self.entries[at] = self.new_entry(&self.entries[at].name).await;
    }

    /// Ends an agent at once, and its worker's connections: its VM is gone.
    pub fn kill_vm(&mut self, at: usize) {
        self.agents[at].child.kill();
        self.agents[at].inside.set_all(Fault::Reset);
    }

    /// Submits a job; what the caller is told is also kept for the verdict.
    pub fn submit(&self, entry: usize, job: &Job) -> JoinHandle<Reply> {
        let url = format!("{}/v1/jobs", self.entries[entry].child.url("callers"));
        self.call(job, client(WAIT).post(url).json(&job.body()))
    }

    /// Submits jobs, to one entry after the other.
    pub fn submit_all(&self, jobs: &[Job]) -> Vec<JoinHandle<Reply>> {
        let jobs = jobs.iter().enumerate();
        jobs.map(|(at, job)| self.submit(at % self.entries.len(), job))
            .collect()
    }

    /// Cancels a job.
    pub fn cancel(&self, entry: usize, job: &Job) -> JoinHandle<Reply> {
        let base = self.entries[entry].child.url("callers");
        self.call(
            job,
            client(WAIT).delete(format!("{base}/v1/jobs/{}", job.id)),
        )
    }

    fn call(&self, job: &Job, request: reqwest::RequestBuilder) -> JoinHandle<Reply> {
        let (job, replies) = (job.clone(), self.replies.clone());
        tokio::spawn(async move {
            let reply = match request.send().await {
                Ok(response) => response.json().await.ok(),
                Err(_) => None,
            };
            let reply =
                reply.map_or_else(|| Reply::none(job.clone()), |b| Reply::new(job.clone(), b));
            replies.lock().unwrap().push(reply.clone());
            reply
        })
    }

    /// All workers' counts together.
    pub fn tally(&self) -> Tally {
        let mut sum = Tally::default();
        self.workers().for_each(|worker| sum.add(&worker.tally()));
        sum
    }

    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        let held = self.agents.iter().map(|agent| &agent.worker);
        held.chain(&self.gone)
    }

    /// How many tasks of a job were started.
    pub fn started(&self, job: &Job) -> usize {
        self.tally().of(job.id).len()
    }

    /// The agent that keeps a job.
    pub async fn keeper(&self, id: Id) -> usize {
        let mut members = Vec::new();
        for agent in &self.agents {
            members.push(agent.process().await);
        }
        let view = View::new(0, members.clone());
        let keeper = view.keeper(id).unwrap();
        members.iter().position(|member| member == keeper).unwrap()
    }

    /// An id that is kept by agent `at`.
    pub async fn id_kept_by(&self, at: usize) -> Id {
        loop {
            let id = Id::new(Wall::now());
            if self.keeper(id).await == at {
                return id;
            }
        }
    }

    /// How many bytes came in at the agents' doors.
    pub fn bytes(&self) -> u64 {
        self.agents.iter().map(|agent| agent.door.bytes()).sum()
    }

    /// Takes off all faults, waits until all is quiet, and judges all that was told.
    pub async fn verdict(&self) {
        self.agents.iter().for_each(Agent::release);
        self.entries.iter().for_each(Entry::release);
        verdict::quiet(self).await;
        let replies = self.replies.lock().unwrap().clone();
        verdict::judge(&self.tally(), &replies);
    }

    async fn replace_agent(&mut self, at: usize) {
        let agent = Agent::start(&self.agents[at].name, self.log.address());
        agent.ready().await;
        let old = std::mem::replace(&mut self.agents[at], agent);
        self.gone.push(old.worker);
    }

    async fn new_entry(&self, name: &str) -> Entry {
        let entry = Entry::start(name, self.log.address());
        entry.linked(self.agents.len()).await;
        entry
    }
}

/// Tells a process to end, and waits until it has, with success.
async fn drain(child: &mut Child) {
    child.terminate();
    let status = child.ended(PATIENCE).await.unwrap();
    assert!(
        status.is_some_and(|status| status.success()),
        "{status:?}\n{}",
        child.output()
    );
}
