//! A small deployment: the store, entries and agents as processes of their own, and upstreams.

use crate::Context;
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Demands, Kind, Orders, Upstream};
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const CALLERS: u16 = 18_161;
const READINESS: u16 = 18_167;
const REPORTS: u16 = 18_166;
const APP: u16 = 18_080;
const LINKS: u16 = 17_720;
const STORE: u16 = 18_169;
/// Status and metrics, which the programs serve at a fixed port of their address.
const MONITOR: u16 = 9_464;

pub const HOST: &str = "queue.example";
pub const PREFIX: &str = "/q/";
pub const SERVICE: &str = "reservas";

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// One process of the project.
pub struct Process {
    name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    binary: PathBuf,
    child: Child,
}

impl Process {
    fn start(
        binary: &Path,
        role: &'static str,
        name: &str,
        settings: &str,
        dir: &Path,
    ) -> io::Result<Self> {
        let file = dir.join(format!("{name}.toml"));
        fs::write(&file, settings)?;
        let log = dir.join(format!("{name}.log"));
        let child = spawn(binary, role, &file, &log)?;
        Ok(Self {
            name: name.to_owned(),
            role,
            settings: file,
            log,
            binary: binary.to_owned(),
            child,
        })
    }

    pub fn signal(&self, record: &Record, signal: i32) {
        record.say(format!("signal {signal} to {}", self.name));
        // SAFETY: the process is a child that has not been waited for, so its id is still its own.
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }

    pub fn kill(&mut self, record: &Record) {
        record.say(format!("SIGKILL to {}", self.name));
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self, record: &Record) -> io::Result<()> {
        record.say(format!("{} is started again", self.name));
        self.child = spawn(&self.binary, self.role, &self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(binary: &Path, role: &str, settings: &Path, log: &Path) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    Command::new(binary)
        .args([role, "--platform"])
        .arg(settings)
        .stdin(Stdio::null())
        .stderr(output.try_clone()?)
        .stdout(output)
        .spawn()
}

/// An entry and its address.
pub struct Entry {
    pub process: Process,
    ip: Ipv4Addr,
}

impl Entry {
    pub fn name(&self) -> &str {
        &self.process.name
    }

    pub fn address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLERS))
    }

    /// Whether the balancer would send new connections to it.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, READINESS));
        let limit = Duration::from_millis(500);
        let answer = http::call(
            address,
            "GET",
            "/v1/readiness",
            &[("host", "balancer")],
            "",
            limit,
        );
        answer.is_ok_and(|(status, _)| status == 200)
    }
}

pub struct Agent {
    pub process: Process,
    pub upstream: Upstream,
}

pub struct Site {
    pub record: Record,
    pub store: Store,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub demands: Demands,
    version: u64,
    dir: PathBuf,
}

/// What a site is made of.
pub struct Plan<'a> {
    pub binary: &'a Path,
    pub entries: usize,
    pub upstreams: Vec<Kind>,
}

impl Site {
    /// Starts all processes and waits until each entry can place tasks on each agent.
    pub fn start(plan: &Plan, record: &Record) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let net = free_net()?;
        let ip = |kind: u8, number: usize| Ipv4Addr::new(127, net, kind, number as u8 + 1);
        let store_address = SocketAddr::from((ip(0, 0), STORE));
        let store = Store::start(store_address)?;
        let mut site = Self {
            record: record.clone(),
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            demands: Demands::default(),
            version: 0,
            dir,
        };
        site.configure(SERVICE);
        let seeds: Vec<String> = (0..plan.entries.min(3))
            .map(|number| format!("\"{}:{REPORTS}\"", ip(1, number)))
            .collect();
        let common = |name: &str, ip: Ipv4Addr, zone: &str| {
            format!(
                "nodeName = \"{name}\"\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\n\
                 internalPorts = [{LINKS}, {}]\nseeds = [{}]\nbootstrap = true\nheartbeatMs = 1500\n\
                 commands = \"invocation\"\n",
                LINKS + 9,
                seeds.join(",")
            )
        };
        let rest = format!(
            "[bounds]\ngraceS = 6\nconfigApplyMs = 2000\nremoteFactor = 1.5\nholdMaxMs = 1000\nstopMs = 50\n\
             [platform]\naddress = \"{store_address}\"\nform = \"log\"\n"
        );
        for number in 0..plan.entries {
            let (name, ip) = (format!("frontend-{}", number + 1), ip(1, number));
            let settings = format!(
                "{}role = \"entry\"\nmachineClass = \"frontend\"\n[listen]\nfrontendAddress = \"{ip}:{CALLERS}\"\n\
                 readinessAddress = \"{ip}:{READINESS}\"\ncontrol = \"{ip}:{REPORTS}\"\n{rest}",
                common(&name, ip, &zone(number)),
            );
            let process = Process::start(plan.binary, "entry", &name, &settings, &site.dir)?;
            site.entries.push(Entry { process, ip });
        }
        for (number, kind) in plan.upstreams.iter().enumerate() {
            let (name, ip) = (format!("side-{}", number + 1), ip(2, number));
            let app = SocketAddr::from((ip, APP));
            let reports = SocketAddr::from((ip, REPORTS));
            let settings = format!(
                "{}role = \"agent\"\nmachineClass = \"side\"\napp = \"{app}\"\n\
                 [listen]\ncontrol = \"{reports}\"\n{rest}",
                common(&name, ip, &kind.zone),
            );
            let process = Process::start(plan.binary, "agent", &name, &settings, &site.dir)?;
            let id = format!("u{}", number + 1);
            let upstream = Upstream::start(app, reports, &id, kind.clone(), record, &site.demands)?;
            site.agents.push(Agent { process, upstream });
        }
        site.wait_until_open(plan.upstreams.len())?;
        record.say(format!(
            "{} entries can place tasks on {} upstreams each",
            plan.entries,
            plan.upstreams.len()
        ));
        Ok(site)
    }

    fn wait_until_open(&self, agents: usize) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        for entry in &self.entries {
            while self.open(entry) != Some(agents) {
                if Instant::now() > until {
                    return Err(io::Error::other("the deployment did not come up"));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    fn open(&self, entry: &Entry) -> Option<usize> {
        let address = SocketAddr::from((entry.ip, MONITOR));
        let limit = Duration::from_secs(1);
        let answer = http::call(
            address,
            "GET",
            "/metrics",
            &[("host", "metrics")],
            "",
            limit,
        );
        let (_, text) = answer.ok()?;
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix("cassiarock_agents_open "))?;
        value.trim().parse().ok()
    }

    /// Publishes a configuration with one queue that `service` runs.
    pub fn configure(&mut self, service: &str) {
        self.version += 3;
        let config = format!(
            "{{\"version\":{},\"routes\":[{{\"name\":\"r\",\"host\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\
             \"kind\":\"unsafe\",\"timeoutMs\":60000,\"targetLatencyMs\":60,\"priority\":0,\"service\":\"{service}\",\
             \"attempts\":3,\"slackFactor\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\"enforceCapacity\":true}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            self.version
        );
        self.store.put("keyed.op", "config", &config);
    }

    /// Copies the processes' logs, if asked to, to trace a failure.
    pub fn keep_logs(&self, context: &Context) {
        let Some(to) = &context.logs else {
            return;
        };
        // Only a help: the checks do not need them.
        let _ = fs::create_dir_all(to);
        for file in fs::read_dir(&self.dir).into_iter().flatten().flatten() {
            let _ = fs::copy(file.path(), to.join(file.file_name()));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// The upstreams of a small deployment: eleven of 64 cores and 128 GB in three zones, three a rack,
/// two kinds. A stop takes them `stop`.
pub fn small_upstreams(stop: Duration) -> Vec<Kind> {
    upstreams(64_000, 131_072, stop)
}

/// Eleven upstreams of this size.
pub fn upstreams(cpu: u64, mem_mb: u64, stop: Duration) -> Vec<Kind> {
    let orders = Orders::default();
    let kind = |number: usize| Kind {
        service: SERVICE.to_owned(),
        zone: zone(number),
        labels: vec![
            if number % 3 == 2 { "b" } else { "a" }.to_owned(),
            format!("r1-{}", number / 3 + 1),
        ],
        cpu,
        mem_mb,
        stop,
        orders: orders.clone(),
    };
    (0..11).map(kind).collect()
}

/// The zones of the deployment, by turns.
pub fn zone(number: usize) -> String {
    ["valle-nevado", "farellones", "portillo"][number % 3].to_owned()
}

/// A part of the loopback range of which the first addresses' ports are free.
fn free_net() -> io::Result<u8> {
    let first = 20 + std::process::id() % 200;
    let nets = (0..200).map(|step| (20 + (first - 20 + step) % 200) as u8);
    let mut nets = nets.filter(|net| {
        let is_free =
            |kind, port| TcpListener::bind((Ipv4Addr::new(127, *net, kind, 1), port)).is_ok();
        is_free(0, STORE)
            && is_free(1, CALLERS)
            && is_free(1, MONITOR)
            && is_free(2, REPORTS)
            && is_free(2, MONITOR)
    });
    nets.next()
        .ok_or_else(|| io::Error::other("no free loopback addresses"))
}
