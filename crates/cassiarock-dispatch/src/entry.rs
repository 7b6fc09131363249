//! The entry's actor: a scheduler with its links and callers.

use crate::learned::Record;
use crate::line::tell;
use crate::links::send;
use crate::mesh::Mesh;
use crate::packed::{pack, unpack};
use cassiarock_adapter::callers::Call;
use cassiarock_adapter::{Store, configuration};
use cassiarock_id::{Name, Process, Wall};
use cassiarock_peer::{Event, Links};
use cassiarock_process::{Clock, Evacuation, Status};
use cassiarock_transient::directory::{Place, Taken};
use cassiarock_transient::lag::Lag;
use cassiarock_transient::scheduler::{Action, Answer, Stage};
use cassiarock_transient::{Message, Scheduler, Table, directory, evacuation};
use cassiarock_wire::{Frame, Hello, Role};
use kameo::Actor;
use kameo::message::{Context, Message as Handle};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Entries whose addresses are passed on to agents; the aim is some 600.
const ENTRIES: usize = 4_096;

/// What happens to an entry.
#[derive(Debug)]
pub(crate) enum Input {
    /// A caller asks.
    Call(Call),
    /// Something on a link.
    Link(Event),
    /// A configuration from the store.
    Configuration(Name),
    /// The data centres to empty, from the store.
    Evacuations(evacuation::State),
    /// Another entry takes links there.
    Entry(SocketAddr),
    /// What has changed in the directory of entries, from the store.
    Directory(directory::Update),
    /// What is on record of callers; asks for what this entry knows.
    Learned(Record, oneshot::Sender<Record>),
    /// Take no new jobs.
    Leave,
}

/// Inputs handed to the actor at once. The reply is how long nothing is due.
pub(crate) struct Batch(pub(crate) Vec<Input>);

/// The shell around the scheduler.
#[derive(Actor)]
pub(crate) struct Entry {
    pub(crate) scheduler: Scheduler,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) callers: HashMap<u64, oneshot::Sender<Answer>>,
    /// The configuration in force, to pass on.
    pub(crate) configuration: Option<Configuration>,
    /// How far the configuration in force is behind that of others.
    pub(crate) lag: Lag,
    /// The client that follows the operators' configuration.
    pub(crate) store: Store,
    pub(crate) table: watch::Sender<Option<Arc<Table>>>,
    pub(crate) status: watch::Sender<Status>,
    /// Where other entries take links, as they said.
    pub(crate) entries: BTreeSet<Place>,
    /// Links to other entries.
    pub(crate) mesh: Mesh,
    pub(crate) beat: Duration,
    /// Since when data centres are known to be emptied.
    pub(crate) evacuated: BTreeMap<Name, Wall>,
}

/// A configuration to pass on.
#[derive(Debug)]
pub(crate) struct Configuration {
    version: u64,
    text: Name,
    /// The same packed, once somebody has asked for it.
    packed: Option<Vec<u8>>,
}

impl Configuration {
    const fn new(version: u64, text: Name) -> Self {
        Self {
            version,
            text,
            packed: None,
        }
    }

    /// The message that passes it on. Packing takes some milliseconds, so it is done once.
    fn message(&mut self) -> io::Result<Message> {
        let packed = match self.packed.take() {
            Some(packed) => packed,
            None => pack(&self.text)?,
        };
        self.packed = Some(packed.clone());
        Ok(Message::Configuration {
            version: self.version,
            packed,
        })
    }
}

impl Handle<Batch> for Entry {
    type Reply = Result<Duration, Infallible>;

    async fn handle(&mut self, batch: Batch, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.clock.now().up;
        for input in batch.0 {
            let actions = self.take(input, now);
            self.carry_out(actions);
        }
        let actions = self.scheduler.poll(now);
        self.carry_out(actions);
        // Tasks go over links with agents alone, so that an entry is told of no end of its links.
        self.mesh.poll(now, |_| false);
        self.beat_entries(now);
        self.report(now);
        Ok(self.scheduler.wake(now).saturating_sub(now))
    }
}

impl Entry {
    fn take(&mut self, input: Input, now: Duration) -> Vec<Action> {
        match input {
            Input::Call(call) => self.call(call, now),
            Input::Link(event) => self.event(event, now),
            Input::Configuration(text) => {
                self.configure(&text, "the store");
                Vec::new()
            }
            Input::Evacuations(state) => {
                self.evacuate(&state, "the store");
                Vec::new()
            }
            Input::Entry(address) => {
                self.mesh.meet_seed(address);
                Vec::new()
            }
            Input::Directory(update) => {
                self.direct(&update);
                Vec::new()
            }
            Input::Learned(known, reply) => {
                // Who asks may have ended.
                let _ = reply.send(self.learned(&known));
                Vec::new()
            }
            Input::Leave => {
                self.status.send_modify(|status| status.leaving = true);
                Vec::new()
            }
        }
    }

    /// Takes what is on record where little is known yet. Gives what is to be on record then.
    fn learned(&mut self, known: &Record) -> Record {
        for (route, millis) in known {
            let least = Duration::from_millis(*millis);
            self.scheduler.adopt_patience(route, least);
        }
        let millis = |least: Duration| u64::try_from(least.as_millis()).unwrap_or(u64::MAX);
        let mut learned = known.clone();
        for (route, least, is_sure) in self.scheduler.usual_patience() {
            if is_sure || !known.contains_key(route) {
                learned.insert(route.clone(), millis(least));
            }
        }
        learned
    }

    fn call(&mut self, call: Call, now: Duration) -> Vec<Action> {
        match call {
            Call::Submit {
                number,
                job,
                class,
                patience,
                reply,
            } => {
                self.callers.insert(number, reply);
                self.scheduler.submit(number, job, class, patience, now)
            }
            Call::Left(number) => {
                self.callers.remove(&number);
                self.scheduler.abandon(number, "its caller left", now)
            }
            Call::Find(job, reply) => {
                let number = self.scheduler.find(&job);
                let state = number.map(|number| self.scheduler.is_started(number));
                // The caller may have gone.
                let _ = reply.send(state);
                Vec::new()
            }
            Call::Cancel(job, reply) => self.cancel(&job, reply, now),
            Call::Pending(route, reply) => {
                // The caller may have gone.
                let _ = reply.send(self.scheduler.pending(&route));
                Vec::new()
            }
        }
    }

    fn cancel(&mut self, job: &str, reply: oneshot::Sender<bool>, now: Duration) -> Vec<Action> {
        let number = self.scheduler.find(job);
        // The caller may have gone.
        let _ = reply.send(number.is_some());
        let Some(number) = number else {
            return Vec::new();
        };
        let mut actions = self
            .scheduler
            .abandon(number, "its caller cancelled it", now);
        actions.push(Action::Answer(number, Answer::Cancelled));
        actions
    }

    fn event(&mut self, event: Event, now: Duration) -> Vec<Action> {
        match event {
            Event::Up(link) => {
                let peer = link.peer.clone();
                log::info!(dependency:% = peer.process, role:? = peer.role; "link opened");
                self.mesh.up(&link);
                self.links.open(link);
                self.tell_evacuations(&peer.process);
                match peer.role {
                    Role::Agent => {
                        self.scheduler.link(&peer.process, &peer.data_centre, now);
                        self.tell_entries(&peer.process);
                        let version = Message::Directory(self.mesh.directory().version());
                        send(&self.links, &peer.process, version);
                    }
                    Role::Entry => self.meet(&peer),
                }
                Vec::new()
            }
            // Also over an older link: two entries that dial each other at once may each take
            // another link for the newer one. What agents tell is matched by attempt.
            Event::Frame(peer, Frame::Transient(message)) => self.message(&peer, message, now),
            Event::Frame(..) => Vec::new(),
            Event::Down(peer, serial) => {
                self.mesh.down(serial, now);
                if self.links.close(&peer.process, serial) {
                    log::warn!(dependency:% = peer.process, role:? = peer.role; "link lost");
                    self.scheduler.unlink(&peer.process);
                    self.lag.lose(&peer.process);
                    // Agents have its address; new ones are told of it again when it is back.
                    let place = Place::new(peer.address.clone(), peer.data_centre.clone());
                    self.entries.remove(&place);
                }
                Vec::new()
            }
        }
    }

    fn message(&mut self, peer: &Hello, message: Message, now: Duration) -> Vec<Action> {
        match (peer.role, message) {
            (Role::Entry, Message::EntryBeat { version, .. }) => {
                let is_sending = self.store.is_receiving();
                if version > self.version() && self.lag.is_to_ask(&peer.process, is_sending, now) {
                    log::info!(dependency:% = peer.process, version = version, before = self.version(); "configuration asked for");
                    send(&self.links, &peer.process, Message::AskConfiguration);
                }
                Vec::new()
            }
            (Role::Entry, Message::AskConfiguration) => {
                self.pass_on(&peer.process);
                Vec::new()
            }
            (Role::Entry, Message::Configuration { packed, .. }) => {
                match unpack(&packed) {
                    Ok(text) => self.configure(&text, "another entry"),
                    Err(error) => {
                        log::warn!(from:% = peer.process; "configuration left out: {error}");
                    }
                }
                Vec::new()
            }
            (Role::Agent, Message::AskDirectory) => {
                let all = Message::Directory(self.mesh.directory().all());
                send(&self.links, &peer.process, all);
                Vec::new()
            }
            (Role::Entry, Message::Evacuations(state)) => {
                self.evacuate(&state, "another entry");
                Vec::new()
            }
            (_, message) => self.scheduler.message(&peer.process, message, now),
        }
    }

    /// Takes operators' orders to empty data centres if they are newer than those known, and
    /// passes them on: to entries that the store turns away, and to agents, which follow no
    /// topic of operators.
    fn evacuate(&mut self, state: &evacuation::State, from: &'static str) {
        let mut evacuations = self.scheduler.evacuations().clone();
        let Some(change) = evacuations.adopt(state) else {
            return;
        };
        let count = evacuations.data_centres().count();
        metrics::gauge!("cassiarock_data_centres_evacuated").set(count as f64);
        self.scheduler.evacuate(evacuations);
        if change.is_empty() {
            return;
        }
        for data_centre in &change.ended {
            self.evacuated.remove(data_centre);
        }
        let begun = change
            .begun
            .iter()
            .map(|place| (place.clone(), Wall::now()));
        self.evacuated.extend(begun);
        log::info!(begun:? = change.begun, ended:? = change.ended, offset = state.next(), from = from; "evacuations");
        for link in self.links.all() {
            self.tell_evacuations(&link.peer.process);
        }
    }

    /// Tells a peer which data centres are to be empty, if that is known here.
    fn tell_evacuations(&self, peer: &Process) {
        let known = self.scheduler.evacuations();
        if known.next() > 0 {
            send(&self.links, peer, Message::Evacuations(known.clone()));
        }
    }

    /// Takes what has changed in the directory of entries and passes it on to agents.
    fn direct(&mut self, update: &directory::Update) {
        if !matches!(self.mesh.direct(update), Taken::Changed { .. }) {
            return;
        }
        // An agent that lacks what came before asks for all of it.
        let news = if update.since == 0 {
            self.mesh.directory().version()
        } else {
            update.clone()
        };
        for agent in self.scheduler.linked() {
            send(&self.links, agent, Message::Directory(news.clone()));
        }
    }

    /// Sends the configuration in force to another entry.
    fn pass_on(&mut self, to: &Process) {
        match self.configuration.as_mut().map(Configuration::message) {
            Some(Ok(message)) => send(&self.links, to, message),
            Some(Err(error)) => log::warn!(to:% = to; "configuration not passed on: {error}"),
            None => {}
        }
    }

    /// An entry that the store turns away is known to its agents through others.
    fn meet(&mut self, peer: &Hello) {
        let place = Place::new(peer.address.clone(), peer.data_centre.clone());
        if self.entries.len() < ENTRIES && self.entries.insert(place.clone()) {
            // Only the new one: the whole list to all agents would be 100 MB with 600 entries.
            let news = vec![place];
            for agent in self.scheduler.linked() {
                send(&self.links, agent, Message::Entries(news.clone()));
            }
        }
    }

    fn tell_entries(&self, agent: &Process) {
        if !self.entries.is_empty() {
            let entries = self.entries.iter().cloned().collect();
            send(&self.links, agent, Message::Entries(entries));
        }
    }

    fn beat_entries(&mut self, now: Duration) {
        if now < self.beat + cassiarock_transient::timing::BEAT {
            return;
        }
        self.beat = now;
        let version = self.version();
        let entries = self
            .links
            .all()
            .filter(|link| link.peer.role == Role::Entry);
        for link in entries {
            let message = Message::EntryBeat {
                echo: 0,
                version,
                ask: None,
            };
            // A link that does not take it is about to end.
            let _ = link.send(Frame::Transient(message));
        }
    }

    fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Takes a configuration if it is newer than the one in force.
    fn configure(&mut self, text: &Name, from: &'static str) {
        let table = match configuration::decode(text) {
            Ok(table) => table,
            Err(error) => {
                log::warn!(from = from; "configuration left out: {error}");
                return;
            }
        };
        if table.version <= self.version() {
            return;
        }
        log::info!(version = table.version, before = self.version(), routes = table.len(), from = from; "configuration in force");
        metrics::gauge!("cassiarock_configuration_version").set(table.version as f64);
        self.scheduler.adopt(table.version);
        self.configuration = Some(Configuration::new(table.version, text.clone()));
        self.lag.adopt();
        self.table.send_replace(Some(Arc::new(table)));
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => send(&self.links, &to, message),
                Action::Answer(number, answer) => {
                    metrics::counter!("cassiarock_answers_total", "answer" => label(answer))
                        .increment(1);
                    if let Some(caller) = self.callers.remove(&number) {
                        // The caller may have gone just now.
                        let _ = caller.send(answer);
                    }
                }
                Action::Tell(decision) => tell(&decision),
                Action::Measure(stage, route, took) => {
                    let name = match stage {
                        Stage::Queue => "cassiarock_queue_seconds",
                        Stage::Answer => "cassiarock_answer_seconds",
                    };
                    let route = route.to_string();
                    metrics::histogram!(name, "route" => route).record(took);
                }
            }
        }
    }

    fn report(&self, now: Duration) {
        let open = self.scheduler.open(now);
        let ready = self.configuration.is_some() && open > 0;
        let evacuated = self.evacuated.iter();
        let evacuations: Vec<Evacuation> = evacuated
            .map(|(data_centre, since)| Evacuation {
                data_centre: data_centre.clone(),
                since: *since,
                tasks: self.scheduler.placed_in(data_centre),
            })
            .collect();
        let (jobs, links, version) = (self.scheduler.jobs(), self.links.len(), self.version());
        metrics::gauge!("cassiarock_jobs").set(jobs as f64);
        metrics::gauge!("cassiarock_agents_open").set(open as f64);
        self.status.send_if_modified(|status| {
            let before = status.clone();
            status.ready = ready && !status.leaving;
            status.jobs = jobs;
            status.links = links;
            status.version = version;
            status.evacuations = evacuations;
            *status != before
        });
    }
}

const fn label(answer: Answer) -> &'static str {
    match answer {
        Answer::Completed => "completed",
        Answer::Failed => "failed",
        Answer::Cancelled => "cancelled",
        Answer::GivenUp => "given_up",
        Answer::Refused { .. } => "refused",
    }
}
