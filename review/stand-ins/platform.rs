//! The rest of the platform: duty calls, the balancer's questions, and the processes that a case starts.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Longest wait for gateways to become ready.
const START_LIMIT: Duration = Duration::from_secs(20);
const PAGE_BYTES: u64 = 4_096;
const MEGABYTE: u64 = 1 << 20;

/// Starts the platform's duty calls: each is accepted unless a higher fence was seen.
pub fn start_duties() -> io::Result<SocketAddr> {
    let fences: Mutex<HashMap<String, u64>> = Mutex::default();
    http::listen(crate::loopback(), move |mut connection| {
        while let Ok(Some(request)) = http::read_request(&mut connection) {
            let fence: u64 = request.header("x-fencing-token").parse().unwrap_or(0);
            let highest = *fences
                .lock()
                .unwrap()
                .entry(request.path.clone())
                .and_modify(|known| *known = fence.max(*known))
                .or_insert(fence);
            let status = if fence < highest { "409 Conflict" } else { "200 OK" };
            let body = if fence < highest { "{\"error\":\"a higher fence was seen\"}" } else { "{}" };
            if http::answer_json(&mut connection, status, body).is_err() {
                return;
            }
        }
    })
}

/// Free loopback addresses.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| crate::loopback()).collect()
}

/// One entry machine.
pub struct Gateway {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Child>,
}

/// What the platform fills into the settings of all entry machines.
pub struct GatewaySetup<'a> {
    pub program: &'a str,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub duties: SocketAddr,
}

impl Gateway {
    /// Writes the settings as `deploy/gateway.toml` is filled for the small deployments, and starts the program.
    pub fn start(
        setup: &GatewaySetup<'_>,
        name: &str,
        zone: &str,
        listen: [SocketAddr; 4],
        seeds: &[SocketAddr],
    ) -> io::Result<Self> {
        let [callers, readiness, peers, metrics] = listen;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "[node]\nname = \"{name}\"\nzone = \"{zone}\"\nthreads = 1\nlink_mbps = 1000.0\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\npeers = \"{peers}\"\n\
             metrics = \"{metrics}\"\n[peers]\nseeds = [{}]\n[store]\naddress = \"{}\"\n\
             [duties]\naddress = \"{}\"\nreport_usage = true\norder_capacity = true\n[capacity]\nahead = false\n\
             [usage]\nwindow_s = 5\n[retries]\nratio = 0.2\nextra = 52\nwindow_s = 10\n\
             [quotas]\nslack = 72000\noverage = 0.1\nwindow_s = 8\n[pace]\nenabled = false\n\
             [engines]\nlearn_speeds = false\n[admission]\nenabled = false\n\
             [streams]\nmove_on_reclaim = false\n[limits]\ndrain_s = 8\n[log]\nformat = \"json\"\nlevel = \"info\"\n",
            seeds.join(", "),
            setup.store,
            setup.duties,
        );
        let settings = setup.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = setup.folder.join(format!("{name}.log"));
        let process = Mutex::new(run_gateway(setup.program, &settings, &log)?);
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers,
            peers,
            readiness,
            settings,
            log,
            process,
        })
    }

    /// Whether the gateway tells the balancer that it takes callers.
    pub fn is_ready(&self) -> bool {
        let question = b"GET /v1/ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";
        http::ask(self.readiness, question, Duration::from_millis(500)).status == 200
    }

    /// Waits until it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Resident memory of the process in MB of 2^20 bytes; `None` if it has ended.
    pub fn memory_mb(&self) -> Option<u64> {
        let id = self.process.lock().unwrap().id();
        let pages = fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
        let resident: u64 = pages.split_whitespace().nth(1)?.parse().ok()?;
        Some(resident * PAGE_BYTES / MEGABYTE)
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        !matches!(self.process.lock().unwrap().try_wait(), Ok(None))
    }

    /// Ends it with SIGKILL.
    pub fn kill(&self) {
        let mut process = self.process.lock().unwrap();
        let _ = process.kill();
        let _ = process.wait();
    }

    /// Starts the program again with the same settings.
    pub fn start_again(&self, program: &str) -> io::Result<()> {
        *self.process.lock().unwrap() = run_gateway(program, &self.settings, &self.log)?;
        Ok(())
    }

    /// Log lines that contain a text.
    pub fn log_lines(&self, part: &str) -> Vec<String> {
        let text = fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        text.lines().filter(|line| line.contains(part)).map(str::to_owned).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn run_gateway(program: &str, settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .args(["gateway", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// An engine as a process of its own. What it ran is read from its output.
pub struct EngineProcess {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    process: Mutex<Child>,
    pub ran: Arc<Mutex<Vec<String>>>,
}

impl EngineProcess {
    /// Starts this program as an engine.
    pub fn start(id: &str, zone: &str, address: SocketAddr, options: &[&str]) -> io::Result<Self> {
        let program = std::env::current_exe()?;
        let mut process = Command::new(program)
            .args(["engine", id, &address.to_string()])
            .args(options)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let ran: Arc<Mutex<Vec<String>>> = Arc::default();
        if let Some(output) = process.stdout.take() {
            let ran = ran.clone();
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    ran.lock().unwrap().push(line);
                }
            });
        }
        Ok(Self { id: id.to_owned(), zone: zone.to_owned(), address, process: Mutex::new(process), ran })
    }

    /// The entry that the engine keeps in the store.
    pub fn entry(&self, service: &str, slots: u32) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}",
            self.address, self.zone
        )
    }

    /// Ends it with SIGKILL.
    pub fn kill(&self) {
        let mut process = self.process.lock().unwrap();
        let _ = process.kill();
        let _ = process.wait();
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
