//! A deployment: entries and agents, each on a loopback address of its own.

use cassiarock_test_support::leased::{Upstream, Witness};
use cassiarock_test_support::log::{Door, Stand};
use cassiarock_test_support::process::Child;
use cassiarock_test_support::proxy::Proxy;
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, SemaphorePermit};

const DAEMON: &str = env!("CARGO_BIN_EXE_cassiarockd");

/// The topic by which agents find entries.
pub const DIRECTORY: &str = "keyed.entries";

/// So many deployments run at a time: leases of 600 ms lapse on a machine that has more to do
/// than it can.
static ROOM: Semaphore = Semaphore::const_new(2);

/// The bounds that the platform writes into the settings of each process, and the operators' bound
/// on a body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub file_descriptors: usize,
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 260,
            file_descriptors: 4_100,
            max_body_bytes: 65_536,
        }
    }
}

impl Limits {
    /// The section of a settings file.
    fn section(self) -> String {
        format!(
            "[limits]\nmemoryMb = {}\nfileDescriptors = {}\n",
            self.memory_mb, self.file_descriptors
        )
    }
}

/// Deployments so far: each has ports of its own.
static SITES: AtomicU16 = AtomicU16::new(0);

/// Where processes serve metrics.
const METRICS_PORT: u16 = 9_464;

/// How long all links may take at the start, on a busy machine.
const START: Duration = Duration::from_secs(20);

/// The ports of one deployment, by what they serve.
#[derive(Clone, Copy, Debug)]
struct Ports(u16);

impl Ports {
    /// Ports below those that the system hands out.
    fn new() -> Self {
        Self(12_000 + SITES.fetch_add(1, Ordering::Relaxed) % 400 * 40)
    }

    const fn callers(self) -> u16 {
        self.0
    }

    const fn readiness(self) -> u16 {
        self.0 + 1
    }

    const fn reports(self) -> u16 {
        self.0 + 2
    }

    /// The loopback address of a machine. Deployments differ by it, as all serve metrics at
    /// one port, and so do test programs that run at once.
    fn ip(self, kind: u8, number: usize) -> Ipv4Addr {
        let second = u8::try_from(10 + std::process::id() % 200).unwrap();
        let third = u8::try_from((self.0 - 12_000) / 40 % 120 * 2).unwrap() + kind;
        Ipv4Addr::new(127, second, third, u8::try_from(number + 1).unwrap())
    }

    /// Where agents dial entries.
    const fn links(self) -> u16 {
        self.0 + 10
    }

    /// Where entries listen, behind the proxies.
    const fn behind(self) -> u16 {
        self.0 + 20
    }
}

/// An entry behind a proxy for its agents.
pub struct Entry {
    pub process: Child,
    pub proxy: Proxy,
    pub door: Door,
    /// Between the entry and its door to the store.
    pub store_path: Proxy,
    ip: Ipv4Addr,
    name: String,
    file: File,
    ports: Ports,
}

/// An agent with its upstream.
pub struct Agent {
    pub process: Child,
    /// None while it is down.
    pub upstream: Option<Upstream>,
    pub door: Door,
    ip: Ipv4Addr,
    name: String,
    file: File,
    upstream_port: u16,
    ports: Ports,
    lives: u32,
}

/// The whole deployment.
pub struct Site {
    pub store: Stand,
    pub witness: Witness,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub client: reqwest::Client,
    version: u64,
    limits: Limits,
    _room: SemaphorePermit<'static>,
}

impl Site {
    /// Starts so many entries and agents and waits until each entry can place tasks on all.
    pub async fn start(entries: usize, agents: usize) -> Self {
        let site = Self::start_unlinked(entries, agents).await;
        for entry in &site.entries {
            entry.linked(agents, START).await;
        }
        site
    }

    /// The same without waiting for links.
    pub async fn start_unlinked(entries: usize, agents: usize) -> Self {
        Self::start_limited(entries, agents, Limits::default()).await
    }

    /// The same with other bounds on what each process may use.
    pub async fn start_limited(entries: usize, agents: usize, limits: Limits) -> Self {
        Self::start_seeded((entries, agents), 1, false, limits).await
    }

    /// Starts so many entries that link to one another, and no agents.
    pub async fn start_entries(entries: usize) -> Self {
        Self::start_seeded((entries, 0), 1, true, Limits::default()).await
    }

    /// Starts so many entries that link to one another, and agents, without waiting for links. With
    /// more than a few entries an agent does not link to all.
    pub async fn start_entries_and_agents(entries: usize, agents: usize) -> Self {
        Self::start_seeded((entries, agents), 1, true, Limits::default()).await
    }

    /// Starts so many entries, which link to one another or not, and agents in two data
    /// centres by turns, and waits until each entry can place tasks on all.
    pub async fn start_in_two(entries: usize, agents: usize, are_entries_linked: bool) -> Self {
        let counts = (entries, agents);
        let site = Self::start_seeded(counts, 2, are_entries_linked, Limits::default()).await;
        for entry in &site.entries {
            entry.linked(agents, START).await;
        }
        site
    }

    async fn start_seeded(
        (entries, agents): (usize, usize),
        data_centres: usize,
        are_entries_linked: bool,
        limits: Limits,
    ) -> Self {
        let room = ROOM.acquire().await.unwrap();
        let ports = Ports::new();
        let store = Stand::start().await.unwrap();
        let witness = Witness::new();
        let mut site = Self {
            store,
            witness,
            entries: Vec::new(),
            agents: Vec::new(),
            client: reqwest::Client::builder().no_proxy().build().unwrap(),
            version: 0,
            limits,
            _room: room,
        };
        site.configure();
        let seeds: Vec<String> = (0..entries).map(|n| ports.ip(1, n).to_string()).collect();
        for number in 0..entries {
            let door = site.store.door().await.unwrap();
            // What an entry announces leads past its proxy.
            let lacks = (agents > 0).then_some(DIRECTORY);
            door.with_fault(|fault| fault.lacks = lacks);
            let seeds: &[String] = if are_entries_linked { &seeds } else { &[] };
            site.entries
                .push(Entry::start(number, (ports, limits), door, seeds));
        }
        for number in 0..agents {
            // Agents find entries by their seeds alone, that is through the proxies.
            let door = site.store.door().await.unwrap();
            door.with_fault(|fault| fault.down = true);
            let witness = site.witness.clone();
            let data_centre = data_centre(number % data_centres);
            let place = (number, &*data_centre);
            let agent = Agent::start(place, (ports, limits), door, &seeds, witness);
            site.agents.push(agent);
        }
        site
    }

    /// Fails if any task ran twice at the same time.
    pub fn assert_never_twice(&self) {
        let twice = self.witness.twice();
        assert!(twice.is_empty(), "{twice:?}");
    }

    /// Orders a data centre to be emptied. Gives when the store took the order.
    pub fn evacuate(&self, data_centre: &str) -> Instant {
        self.order(&format!("evacuate/{data_centre}"), b"{}")
    }

    /// Takes the order back.
    pub fn restore(&self, data_centre: &str) -> Instant {
        self.order(&format!("evacuate/{data_centre}"), b"")
    }

    fn order(&self, key: &str, value: &[u8]) -> Instant {
        let length = u8::try_from(key.len()).unwrap();
        let record = [&[length], key.as_bytes(), value].concat();
        self.store.put("keyed.op", record);
        Instant::now()
    }

    /// Publishes a configuration with one queue.
    pub fn configure(&mut self) {
        self.configure_queues(1);
    }

    /// Publishes a configuration with so many queues. Gives its version.
    pub fn configure_queues(&mut self, queues: usize) -> u64 {
        self.configure_routes((0..queues).map(|number| (number, "tasks")))
    }

    /// Publishes a configuration with these queues and their services. Gives its version.
    pub fn configure_routes(&mut self, routes: impl Iterator<Item = (usize, &'static str)>) -> u64 {
        self.version += 1;
        let queue = |(number, service)| {
            let path = if number == 0 {
                "/q/".into()
            } else {
                format!("/q-{number}/")
            };
            json!({
                "name": format!("r-{number}"), "host": "queue.example", "pathPrefix": path,
                "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 60, "priority": 0,
                "service": service, "attempts": 3, "slackFactor": 1.6,
            })
        };
        let config = json!({
            "version": self.version,
            "routes": routes.map(queue).collect::<Vec<_>>(),
            "services": [{ "name": "tasks", "enforceCapacity": true }],
            "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": self.limits.max_body_bytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        });
        let record = [&[6][..], b"config", config.to_string().as_bytes()].concat();
        self.store.put("keyed.op", record);
        self.version
    }
}

impl Entry {
    fn start(
        number: usize,
        (ports, limits): (Ports, Limits),
        door: Door,
        seeds: &[String],
    ) -> Self {
        let ip = ports.ip(1, number);
        let name = format!("entry-{number}");
        let listen = SocketAddr::from((ip, ports.links()));
        let behind = SocketAddr::from((ip, ports.behind()));
        let proxy = Proxy::at(listen).unwrap().with_target(behind);
        let store_path = Proxy::new().unwrap().with_target(door.address());
        let seeds = quoted(seeds);
        let settings = format!(
            "nodeName = \"{name}\"\nzone = \"dc-1\"\nip = \"{ip}\"\ninternalPorts = [{}, {}]\n\
             seeds = [{seeds}]\n[listen]\nfrontendAddress = \"{ip}:{}\"\nreadinessAddress = \"{ip}:{}\"\n\
             {}[bounds]\ngraceS = 6\n[platform]\naddress = \"{}\"\n",
            ports.behind(),
            ports.behind() + 9,
            ports.callers(),
            ports.readiness(),
            limits.section(),
            store_path.address(),
        );
        let file = write(&name, ports, &settings);
        let process = Child::on_platform(DAEMON, "entry", &name, &file).unwrap();
        Self {
            process,
            proxy,
            door,
            store_path,
            ip,
            name,
            file,
            ports,
        }
    }

    /// Starts it again after its end.
    pub fn restart(&mut self) {
        self.process = Child::on_platform(DAEMON, "entry", &self.name, &self.file).unwrap();
    }

    /// Replaces a part of its settings file.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.file).unwrap();
        assert!(text.contains(from), "{text}");
        std::fs::write(&self.file, text.replace(from, to)).unwrap();
    }

    /// The address of a job.
    pub fn job(&self, id: &str) -> String {
        format!("http://{}:{}/q/{id}", self.ip, self.ports.callers())
    }

    /// Where the balancer asks.
    pub fn readiness(&self) -> String {
        let port = self.ports.readiness();
        format!("http://{}:{port}/v1/readiness", self.ip)
    }

    /// Where operators read its metrics.
    pub fn metrics(&self) -> String {
        format!("http://{}:{METRICS_PORT}/metrics", self.ip)
    }

    /// How many processes it is linked to, by its status.
    pub async fn links(&self) -> Option<usize> {
        let answer = reqwest::get(format!("http://{}:{METRICS_PORT}/status", self.ip)).await;
        let status: Value = serde_json::from_str(&answer.ok()?.text().await.ok()?).ok()?;
        usize::try_from(status["links"].as_u64()?).ok()
    }

    /// Waits until so many agents can be given tasks.
    pub async fn linked(&self, agents: usize, limit: Duration) {
        self.until_open(|open| open == agents, limit).await;
    }

    /// Waits until some agent can be given tasks.
    pub async fn linked_to_one(&self, limit: Duration) {
        self.until_open(|open| open > 0, limit).await;
    }

    async fn until_open(&self, is_enough: impl Fn(usize) -> bool, limit: Duration) {
        let until = Instant::now() + limit;
        while !self.open().await.is_some_and(&is_enough) {
            let said = || self.process.output();
            assert!(Instant::now() < until, "{}: {}", self.name, said());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// How many agents can be given tasks, by its metrics.
    pub async fn open(&self) -> Option<usize> {
        self.metric("cassiarock_agents_open").await
    }

    /// The value of a metric, by its name with its labels.
    pub async fn metric<T: FromStr>(&self, name: &str) -> Option<T> {
        let answer = reqwest::get(self.metrics()).await.ok()?;
        let text = answer.text().await.ok()?;
        let mut lines = text.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
        value.parse().ok()
    }
}

#[allow(dead_code, reason = "used by the tests of clients")]
impl Entry {
    /// Where callers connect.
    pub const fn callers(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.callers())
    }

    /// Where the balancer connects.
    pub const fn balancer(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.readiness())
    }

    /// Where operators connect.
    pub const fn monitor(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), METRICS_PORT)
    }

    /// Where agents connect, past the proxy.
    pub const fn links_behind(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.behind())
    }
}

impl Agent {
    fn start(
        (number, data_centre): (usize, &str),
        (ports, limits): (Ports, Limits),
        door: Door,
        seeds: &[String],
        witness: Witness,
    ) -> Self {
        let ip = ports.ip(2, number);
        let name = format!("agent-{number}");
        let reports = SocketAddr::from((ip, ports.reports()));
        let upstream = Upstream::new(&format!("u-{number}-0"), (ip, 0), reports, witness);
        let upstream = upstream.unwrap();
        let seeds = quoted(seeds);
        let settings = format!(
            "nodeName = \"{name}\"\nzone = \"{data_centre}\"\nip = \"{ip}\"\ninternalPorts = [{}, {}]\n\
             seeds = [{seeds}]\napp = \"{}\"\n[listen]\ncontrol = \"{reports}\"\n\
             {}[bounds]\ngraceS = 6\n[platform]\naddress = \"{}\"\n",
            ports.links(),
            ports.links() + 9,
            upstream.address(),
            limits.section(),
            door.address(),
        );
        let file = write(&name, ports, &settings);
        let process = Child::on_platform(DAEMON, "agent", &name, &file).unwrap();
        Self {
            process,
            upstream_port: upstream.address().port(),
            upstream: Some(upstream),
            door,
            ip,
            name,
            file,
            ports,
            lives: 0,
        }
    }

    /// Starts it again after its end.
    pub fn restart(&mut self) {
        self.process = Child::on_platform(DAEMON, "agent", &self.name, &self.file).unwrap();
    }

    /// Another life of its upstream at the same address.
    pub fn revive(&mut self, witness: Witness) {
        self.lives += 1;
        self.revive_under_its_id(witness);
    }

    /// The same under the id that it had.
    pub fn revive_under_its_id(&mut self, witness: Witness) {
        self.upstream = None;
        let name = self.upstream_id();
        let reports = SocketAddr::from((self.ip, self.ports.reports()));
        let address = (self.ip, self.upstream_port);
        let until = Instant::now() + Duration::from_secs(5);
        while self.upstream.is_none() {
            match Upstream::new(&name, address, reports, witness.clone()) {
                Ok(upstream) => self.upstream = Some(upstream),
                // The former life's sockets are being closed.
                Err(error) => assert!(Instant::now() < until, "{error}"),
            }
        }
    }

    /// The id of its upstream, which may be down.
    pub fn upstream_id(&self) -> String {
        format!("{}-{}", self.name.replace("agent", "u"), self.lives)
    }

    /// Where its upstream reports.
    pub fn reports(&self, id: &str) -> String {
        let port = self.ports.reports();
        format!("http://{}:{port}/v1/instances/{id}", self.ip)
    }
}

#[allow(dead_code, reason = "used by the tests of clients")]
impl Agent {
    /// Where its upstream connects.
    pub const fn upstream_side(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.reports())
    }
}

/// The name of a data centre, counted from 0.
pub fn data_centre(number: usize) -> String {
    format!("dc-{}", number + 1)
}

/// A settings file, removed with its process.
struct File(PathBuf);

impl AsRef<std::path::Path> for File {
    fn as_ref(&self) -> &std::path::Path {
        &self.0
    }
}

impl Drop for File {
    fn drop(&mut self) {
        // It may be gone already.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// The machines at these addresses, as seeds in a settings file.
fn quoted(seeds: &[String]) -> String {
    let seeds = seeds.iter().map(|ip| format!("\"{ip}:1\""));
    seeds.collect::<Vec<_>>().join(",")
}

fn write(name: &str, ports: Ports, settings: &str) -> File {
    let id = std::process::id();
    let file = std::env::temp_dir().join(format!("cassiarock-{id}-{}-{name}.toml", ports.0));
    std::fs::write(&file, settings).unwrap();
    File(file)
}

/// The body of a job of so many tasks that run for `millis` each.
pub fn body(tasks: u32, millis: u64) -> Value {
    json!({
        "spec": format!("ms={millis}"),
        "bestEffort": true,
        "phases": [{ "count": tasks, "cpu": 1000, "memMb": 64, "estimateMs": millis }],
    })
}
