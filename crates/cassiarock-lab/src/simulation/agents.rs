//! The agents of a run and their upstreams.

use super::{ProcessKind, Simulation, new_upstream, resources};
use crate::event::{Event, Frame};
use crate::scenario::{DisturbanceKind, UpstreamGroup};
use crate::upstream::{Run, Upstream, millis};
use cassiarock_id::{Name, Process};
use cassiarock_transient::host::{Action, StartResponse, Task, Worker};
use cassiarock_transient::message::Outcome;
use cassiarock_transient::{Host, Incarnation};
use rand::RngExt;
use std::time::Duration;

/// Latency of a call between an agent and its upstream.
const CALL_LATENCY: Duration = Duration::from_micros(300);

/// Time from the start of a crashing task to the crash of its upstream.
const CRASH_DELAY: Duration = Duration::from_millis(5);

/// How long a crashed upstream is down.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Interval of regular polls of an upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Time that a stop takes.
const STOP_LATENCY: Duration = Duration::from_millis(20);

/// Share of its run time after which a task fails on a failing upstream.
const FAILURE_RUN_TIME_SHARE: f64 = 0.1;

/// Longest interval between two timer events of an agent.
const MAX_AGENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of entries that an agent links to, as in large systems.
const LINKS_PER_AGENT: usize = 12;

/// The current incarnation of an agent, with its upstream.
pub(super) struct Agent {
    pub(super) host: Host,
    pub(super) process: Process,
    pub(super) upstream: Upstream,
    pub(super) is_up: bool,
    /// Whether its upstream has crashed or terminated and not restarted yet.
    pub(super) is_upstream_down: bool,
    /// Number of starts of its upstream.
    upstream_starts: u64,
    /// Whether its upstream has announced its end.
    pub(super) is_upstream_leaving: bool,
    /// Until when its upstream is cold, and the factor of its run times until then.
    pub(super) cold: (Duration, f64),
    pub(super) data_centre: Name,
    cores: f64,
    memory_mib: u64,
    speed: f64,
}

impl Agent {
    /// The incarnation of its upstream that is there, which the agent may not know yet.
    fn started_incarnation(&self, number: usize) -> Incarnation {
        Incarnation::new(upstream_name(number)).with_started_at(Some(self.upstream_starts))
    }

    /// The incarnation of its upstream that the agent knows.
    fn upstream_incarnation(&self) -> Incarnation {
        self.host
            .worker()
            .map(Worker::incarnation)
            .unwrap_or_default()
    }
}

impl Simulation<'_> {
    pub(super) fn add_agent(&mut self, number: usize, group: &UpstreamGroup) {
        let process = Process::new(format!("agent-{number}"), 0);
        self.processes
            .insert(process.name.clone(), ProcessKind::Agent(number));
        self.agents.push(Agent {
            host: Host::new(),
            process,
            upstream: new_upstream(group.cores, group.memory_mib),
            is_up: false,
            is_upstream_down: false,
            upstream_starts: 0,
            is_upstream_leaving: false,
            cold: (Duration::ZERO, 1.0),
            data_centre: group.data_centre.clone(),
            cores: group.cores,
            memory_mib: group.memory_mib,
            speed: group.speed,
        });
    }

    pub(super) fn start_agent(&mut self, number: usize) {
        let agent = &mut self.agents[number];
        if agent.is_up {
            return;
        }
        let incarnation = agent.process.incarnation + 1;
        agent.process = Process::new(agent.process.name.clone(), incarnation);
        agent.is_up = true;
        agent.host = Host::new();
        // The new agent has no links yet, so there is nothing to send.
        let _ = agent
            .host
            .set_evacuated(self.evacuations.contains(&agent.data_centre));
        agent.upstream = new_upstream(agent.cores, agent.memory_mib);
        agent.is_upstream_down = false;
        self.report_upstream(number);
        self.event_queue
            .add(self.now, Event::PollUpstream(number, incarnation, true));
        self.event_queue
            .add(self.now, Event::PollAgent(number, incarnation));
        for entry in 0..self.entries.len() {
            if self.entries[entry].is_up {
                self.link(number, entry);
            }
        }
    }

    /// Hands the agent the first report of a new incarnation of its upstream.
    pub(super) fn report_upstream(&mut self, number: usize) {
        let agent = &mut self.agents[number];
        agent.upstream_starts += 1;
        agent.is_upstream_leaving = false;
        let cold = agent.cold.0.checked_sub(self.now);
        let worker = Worker {
            id: upstream_name(number),
            started_at: Some(agent.upstream_starts),
            service: "s".into(),
            capacity: resources(agent.cores, agent.memory_mib),
            clock: millis(self.now),
            sequence: 1,
            cold_remaining: cold.filter(|cold| !cold.is_zero()),
            ..Worker::default()
        };
        let actions = agent.host.handle_report(worker, self.now);
        self.execute_agent_actions(number, actions);
    }

    /// Links an agent to an entry if the entry is one of the `LINKS_PER_AGENT` that it links to.
    pub(super) fn link(&mut self, number: usize, entry: usize) {
        let entries = self.entries.len();
        let distance = (entry + entries - number % entries) % entries;
        if distance >= LINKS_PER_AGENT {
            return;
        }
        let agent_id = (number, self.agents[number].process.incarnation);
        let entry_id = (entry, self.entries[entry].process.incarnation);
        match self.random_delay(self.link_spread) {
            Some(at) => self
                .event_queue
                .add(at, Event::LinkOpens(agent_id, entry_id)),
            None => self.open_link(agent_id, entry_id),
        }
    }

    /// Opens a link between these incarnations, if both are up.
    pub(super) fn open_link(&mut self, agent: (usize, u64), entry: (usize, u64)) {
        let ((number, agent_incarnation), (entry, entry_incarnation)) = (agent, entry);
        let is_entry_up = self.entries[entry].is_up
            && self.entries[entry].process.incarnation == entry_incarnation;
        if !is_entry_up || !self.is_current_incarnation(number, agent_incarnation) {
            return;
        }
        let up = self.entries[entry].up(self.now);
        let (agent, entry) = (&mut self.agents[number], &mut self.entries[entry]);
        entry.scheduler.link(&agent.process, &agent.data_centre, up);
        let actions = agent.host.link(&entry.process, self.now);
        self.execute_agent_actions(number, actions);
    }

    pub(super) fn power_off_agent(&mut self, number: usize) {
        let agent = &mut self.agents[number];
        agent.is_up = false;
        let process = agent.process.clone();
        for run in agent.upstream.abort_all() {
            self.record_run_end(&run);
        }
        for entry in &mut self.entries {
            entry.scheduler.unlink(&process);
        }
    }

    pub(super) fn is_current_incarnation(&self, number: usize, incarnation: u64) -> bool {
        let agent = &self.agents[number];
        agent.is_up && agent.process.incarnation == incarnation
    }

    pub(super) fn handle_agent_timer(&mut self, number: usize, incarnation: u64) {
        if !self.is_current_incarnation(number, incarnation) {
            return;
        }
        let actions = self.agents[number].host.poll(self.now);
        self.execute_agent_actions(number, actions);
        let next_poll = self.agents[number].host.next_poll(self.now);
        let next_poll = next_poll.clamp(
            self.now + Duration::from_millis(1),
            self.now + MAX_AGENT_POLL_INTERVAL,
        );
        self.event_queue
            .add(next_poll, Event::PollAgent(number, incarnation));
    }

    pub(super) fn deliver_to_agent(&mut self, number: usize, frame: Frame) {
        let agent = &mut self.agents[number];
        if !agent.is_up || agent.process != frame.to {
            return;
        }
        let actions = agent
            .host
            .handle_message(&frame.from, frame.message, self.now);
        self.execute_agent_actions(number, actions);
    }

    pub(super) fn poll_upstream(&mut self, number: usize, incarnation: u64, is_regular: bool) {
        if !self.is_current_incarnation(number, incarnation) {
            return;
        }
        if is_regular {
            self.event_queue.add(
                self.now + POLL_INTERVAL,
                Event::PollUpstream(number, incarnation, true),
            );
        }
        let agent = &mut self.agents[number];
        if agent.is_upstream_down {
            let incarnation = agent.upstream_incarnation();
            let host = &mut agent.host;
            let actions = host.handle_refused_connection(&incarnation, self.now);
            self.execute_agent_actions(number, actions);
            return;
        }
        // The lease is not modelled: runs end with the upstream or its agent.
        let _ = agent.host.renew_leases(self.now);
        let upstream = agent.started_incarnation(number);
        let seen = agent.host.last_seen_end(self.now);
        let snapshot = agent.upstream.snapshot(upstream, seen, self.now);
        let actions = agent.host.handle_snapshot(&snapshot, self.now);
        self.execute_agent_actions(number, actions);
    }

    pub(super) fn execute_agent_actions(&mut self, number: usize, actions: Vec<Action>) {
        let incarnation = self.agents[number].process.incarnation;
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let from = self.agents[number].process.clone();
                    self.send(from, to, message);
                }
                Action::Start { task, .. } => {
                    self.check_evacuation(number);
                    self.check_draining(number);
                    let event = Event::StartTask(number, incarnation, task);
                    self.event_queue.add(self.now + CALL_LATENCY, event);
                }
                Action::Stop(task) => {
                    let event = Event::StopTask(number, incarnation, task);
                    self.event_queue.add(self.now + STOP_LATENCY, event);
                }
                Action::Poll => {
                    let event = Event::PollUpstream(number, incarnation, false);
                    self.event_queue.add(self.now + CALL_LATENCY, event);
                }
                // Whoever is there answers by its own name, also to a regular poll.
                Action::Verify(_) => {
                    let event = Event::PollUpstream(number, incarnation, false);
                    self.event_queue.add(self.now + CALL_LATENCY, event);
                }
                Action::Log(_) => {}
            }
        }
    }

    pub(super) fn start_task(&mut self, number: usize, incarnation: u64, task: Task) {
        if !self.is_current_incarnation(number, incarnation) {
            return;
        }
        let Some(caller) = self.find_caller(&task.job) else {
            self.invariants
                .report_violation(format!("job {} is nobody's", task.job));
            return;
        };
        let (end, run_time) = self.planned_outcome(number, caller, &task);
        let run = Run {
            task: task.clone(),
            demand: self.callers[caller].job.stages[0].demand,
            started_at: self.now,
            end,
        };
        let agent = &mut self.agents[number];
        // Nothing listens at an upstream that is down, which tells the time no more than a silent one.
        let clock = (!agent.is_upstream_down).then(|| millis(self.now));
        let started = if agent.is_upstream_down {
            Err(StartResponse::Refused)
        } else {
            agent.upstream.start(run)
        };
        let answer = match started {
            Ok(run) => {
                if self.callers[caller].crashing_task == Some(task.attempt.index) {
                    let event = Event::UpstreamCrashes(number, incarnation, run);
                    self.event_queue.add(self.now + CRASH_DELAY, event);
                }
                self.tally.started += 1;
                self.invariants.record_start(&task.job, task.attempt.index);
                if let Some(run_time) = run_time {
                    let event = Event::RunEnds(number, incarnation, run);
                    self.event_queue.add(self.now + run_time, event);
                }
                StartResponse::Started
            }
            Err(answer) => answer,
        };
        let agent = &mut self.agents[number];
        let upstream = agent.upstream_incarnation();
        let actions = agent
            .host
            .handle_start_response(&upstream, &task, answer, clock, self.now);
        self.execute_agent_actions(number, actions);
    }

    /// The outcome and run time of a task that starts now; a hanging task has no run time.
    fn planned_outcome(
        &mut self,
        number: usize,
        caller: usize,
        task: &Task,
    ) -> (Outcome, Option<Duration>) {
        let index = task.attempt.index as usize;
        let mut run_time = self.callers[caller].runs[index].div_f64(self.agents[number].speed);
        let (cold_until, cold_factor) = self.agents[number].cold;
        if self.now < cold_until {
            run_time = run_time.mul_f64(cold_factor.max(0.01));
        }
        let at = self.now.saturating_sub(crate::caller::FIRST_ARRIVAL);
        let active = self.scenario.disturbances.iter();
        let active = active.filter(|disturbance| {
            disturbance.is_active(at) && disturbance.affects_upstream(number)
        });
        for disturbance in active {
            match disturbance.kind {
                DisturbanceKind::Slow => run_time = run_time.mul_f64(disturbance.factor.max(0.01)),
                DisturbanceKind::Hanging => return (Outcome::Done, None),
                DisturbanceKind::Failing
                    if self.random.random_range(0.0..1.0) < disturbance.factor =>
                {
                    return (
                        Outcome::Failed,
                        Some(run_time.mul_f64(FAILURE_RUN_TIME_SHARE)),
                    );
                }
                _ => {}
            }
        }
        (Outcome::Done, Some(run_time))
    }

    /// A run crashes the upstream: all its runs are lost, and it answers no calls until its restart.
    pub(super) fn crash_upstream(&mut self, number: usize, incarnation: u64, run: u64) {
        if !self.is_current_incarnation(number, incarnation)
            || !self.agents[number].upstream.has_run(run)
        {
            return;
        }
        self.tally.crashes += 1;
        self.agents[number].is_upstream_down = true;
        for run in self.agents[number].upstream.abort_all() {
            self.record_run_end(&run);
        }
        self.event_queue.add(
            self.now + RESTART_TIME,
            Event::UpstreamRestarts(number, incarnation),
        );
    }

    pub(super) fn restart_upstream(&mut self, number: usize, incarnation: u64) {
        if !self.is_current_incarnation(number, incarnation) {
            return;
        }
        self.agents[number].is_upstream_down = false;
        self.agents[number].upstream.restart();
        self.report_upstream(number);
    }

    pub(super) fn stop_task(&mut self, number: usize, incarnation: u64, task: &Task) {
        if !self.is_current_incarnation(number, incarnation) {
            return;
        }
        if let Some(run) = self.agents[number].upstream.stop(task) {
            self.tally.stopped += 1;
            self.record_run_end(&run);
        }
        let clock = Some(millis(self.now));
        let agent = &mut self.agents[number];
        let upstream = agent.upstream_incarnation();
        let actions = agent
            .host
            .handle_stop_response(&upstream, task, clock, self.now);
        self.execute_agent_actions(number, actions);
        self.event_queue.add(
            self.now + CALL_LATENCY,
            Event::PollUpstream(number, incarnation, false),
        );
    }

    pub(super) fn end_run(&mut self, number: usize, incarnation: u64, run: u64) {
        if !self.is_current_incarnation(number, incarnation) {
            return;
        }
        let Some(run) = self.agents[number].upstream.end(run) else {
            return;
        };
        self.record_run_end(&run);
        if run.end == Outcome::Done {
            let work = self.work(&run);
            *self.tally.done.entry(run.task.job.clone()).or_default() += work;
        }
        self.event_queue.add(
            self.now + CALL_LATENCY,
            Event::PollUpstream(number, incarnation, false),
        );
    }

    /// Records that a run is over, however it ended.
    pub(super) fn record_run_end(&mut self, run: &Run) {
        self.invariants
            .record_end(&run.task.job, run.task.attempt.index);
        self.tally.work += self.work(run);
    }

    fn work(&self, run: &Run) -> f64 {
        let ran = self.now.saturating_sub(run.started_at).as_secs_f64();
        run.demand.cpu as f64 / 1000.0 * ran
    }
}

/// The id of the upstream of an agent.
pub(super) fn upstream_name(number: usize) -> Name {
    format!("u-{number}").into()
}
