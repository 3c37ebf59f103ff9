//! A deployment of processes, started from one directory and stopped by process id.
//!
//! The directory holds `nodes/*.toml` (settings of the nodes), `machines.toml` (engines and
//! applications), `keys.toml` (bearer keys of the samples) and `tree/` (the settings tree).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use beamwall_config::ProcessSettings;
use beamwall_http::{JsonClient, Pool};
use beamwall_lab::cloud::LabMachine;
use hyper::StatusCode;
use serde::Deserialize;
use tokio::process::{Child, Command};

use crate::client::NodeClient;
use crate::directory;
use crate::error::CommandError;
use crate::operate;

/// Longest wait for a process to answer.
const START_LIMIT: Duration = Duration::from_secs(60);
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Longest wait for a process to end after SIGTERM.
const STOP_LIMIT: Duration = Duration::from_secs(10);

#[derive(Debug, Deserialize)]
struct MachinesFile {
    machines: Vec<LabMachine>,
}

/// Bearer keys of a sample deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct SampleKeys {
    /// Key of an operator of the whole tree.
    pub operator: String,
    /// Keys by tenant.
    pub tenants: BTreeMap<String, String>,
}

fn read_toml<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, CommandError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|cause| CommandError::File(shown.clone(), cause))?;
    toml::from_str(&text).map_err(|error| CommandError::Format(shown, error.to_string()))
}

/// The machines of a deployment.
pub fn read_machines(directory: &Path) -> Result<Vec<LabMachine>, CommandError> {
    Ok(read_toml::<MachinesFile>(&directory.join("machines.toml"))?.machines)
}

/// The keys of a sample deployment.
pub fn read_keys(directory: &Path) -> Result<SampleKeys, CommandError> {
    read_toml(&directory.join("keys.toml"))
}

/// The programs that a deployment runs.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The entry node.
    pub node: PathBuf,
    /// This command, for the stand-ins.
    pub control: PathBuf,
}

impl Programs {
    /// This program and the node's program beside it.
    pub fn beside_this() -> Result<Self, CommandError> {
        let control =
            std::env::current_exe().map_err(|cause| CommandError::File("own program".to_owned(), cause))?;
        Ok(Self { node: control.with_file_name("beamwall"), control })
    }
}

/// Name of the process that holds the hollow nodes.
pub const HOLLOW: &str = "hollow-nodes";

/// Where the settings of hollow nodes stand in a deployment directory.
pub fn hollow_directory(directory: &Path) -> PathBuf {
    directory.join("hollow")
}

/// The settings of all nodes in a directory; none when it does not exist.
pub fn read_nodes(directory: &Path) -> Result<Vec<ProcessSettings>, CommandError> {
    if !directory.is_dir() {
        return Ok(Vec::new());
    }
    settings_files(directory)?.iter().map(|file| read_node(file)).collect()
}

/// One process.
struct Process {
    name: String,
    child: Child,
}

/// A running deployment.
pub struct Deployment {
    /// Settings of its nodes.
    pub nodes: Vec<ProcessSettings>,
    /// Settings of its hollow nodes.
    pub hollow: Vec<ProcessSettings>,
    /// Its machines.
    pub machines: Vec<LabMachine>,
    /// Its keys.
    pub keys: SampleKeys,
    programs: Programs,
    directory: PathBuf,
    processes: Vec<Process>,
}

fn node_files(directory: &Path) -> Result<Vec<PathBuf>, CommandError> {
    settings_files(&directory.join("nodes"))
}

fn settings_files(directory: &Path) -> Result<Vec<PathBuf>, CommandError> {
    let shown = directory.display().to_string();
    let entries = std::fs::read_dir(directory).map_err(|cause| CommandError::File(shown, cause))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.sort();
    Ok(files)
}

fn read_node(file: &Path) -> Result<ProcessSettings, CommandError> {
    let shown = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|cause| CommandError::File(shown.clone(), cause))?;
    Ok(ProcessSettings::parse(&shown, &text)?)
}

impl Deployment {
    /// Starts every process of a directory and loads its tree.
    pub async fn start(directory: &Path, speed: f64) -> Result<Self, CommandError> {
        Self::start_with(Programs::beside_this()?, directory, speed).await
    }

    /// Starts every process of a directory with the programs given, and loads its tree.
    pub async fn start_with(programs: Programs, directory: &Path, speed: f64) -> Result<Self, CommandError> {
        let files = node_files(directory)?;
        let nodes = files.iter().map(|file| read_node(file)).collect::<Result<Vec<_>, _>>()?;
        let mut deployment = Self {
            nodes,
            hollow: read_nodes(&hollow_directory(directory))?,
            machines: read_machines(directory)?,
            keys: read_keys(directory)?,
            programs,
            directory: directory.to_owned(),
            processes: Vec::new(),
        };
        deployment.start_stand_ins(directory, speed)?;
        deployment.wait_for_stand_ins().await?;
        deployment.check_running()?;
        for number in 0..files.len() {
            deployment.start_node(number)?;
        }
        if !deployment.hollow.is_empty() {
            let program = deployment.programs.control.clone();
            let place = directory.display().to_string();
            deployment.spawn(HOLLOW, &program, &["lab".to_owned(), "hollow-nodes".to_owned(), place])?;
        }
        deployment.load_tree(&directory.join("tree")).await?;
        deployment.wait_until_serving().await?;
        deployment.check_running()?;
        Ok(deployment)
    }

    /// Fails where a process has ended. One that could not listen has, and whoever has its address answers in its place.
    fn check_running(&mut self) -> Result<(), CommandError> {
        for process in &mut self.processes {
            if let Ok(Some(status)) = process.child.try_wait() {
                return Err(CommandError::Experiment(format!("{} has ended: {status}", process.name)));
            }
        }
        Ok(())
    }

    /// Starts the process of a node.
    pub fn start_node(&mut self, number: usize) -> Result<(), CommandError> {
        let file = node_files(&self.directory)?.swap_remove(number);
        let arguments = ["run".to_owned(), "--settings".to_owned(), file.display().to_string()];
        let (name, program) = (self.nodes[number].node.to_string(), self.programs.node.clone());
        self.processes.retain(|process| process.name != name);
        self.spawn(&name, &program, &arguments)
    }

    fn start_stand_ins(&mut self, directory: &Path, speed: f64) -> Result<(), CommandError> {
        let own = self.programs.control.clone();
        let Some(first) = self.nodes.first().cloned() else {
            return Err(CommandError::Usage("the deployment has no nodes".to_owned()));
        };
        let lab = |words: &[&str]| -> Vec<String> {
            std::iter::once("lab").chain(words.iter().copied()).map(str::to_owned).collect()
        };
        let platform = first.platform.to_string();
        self.spawn("platform", &own, &lab(&["platform", "--listen", &platform]))?;
        let cloud = first.cloud.to_string();
        let place = directory.display().to_string();
        let speed = speed.to_string();
        let words = ["cloud", "--listen", &cloud, "--directory", &place, "--speed", &speed];
        self.spawn("cloud", &own, &lab(&words))?;
        if !self.hollow.is_empty() {
            return self.spawn("hollow-engines", &own, &lab(&["hollow-engines", &place]));
        }
        for machine in self.machines.clone() {
            let words = if machine.class == "application" {
                lab(&["application", "--listen", &machine.address, "--name", &machine.id])
            } else {
                lab(&[
                    "engine",
                    "--listen",
                    &machine.address,
                    "--name",
                    &machine.id,
                    "--speed",
                    &speed,
                    "--checks-orders",
                ])
            };
            self.spawn(&machine.id, &own, &words)?;
        }
        Ok(())
    }

    fn spawn(&mut self, name: &str, program: &Path, arguments: &[String]) -> Result<(), CommandError> {
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file(name))
            .kill_on_drop(true)
            .spawn()
            .map_err(|cause| CommandError::File(program.display().to_string(), cause))?;
        self.processes.push(Process { name: name.to_owned(), child });
        Ok(())
    }

    async fn wait_for_stand_ins(&self) -> Result<(), CommandError> {
        for machine in &self.machines {
            let address = parse_address(&machine.address)?;
            wait_for(address, "/load", &machine.id).await?;
        }
        if let Some(node) = self.nodes.first() {
            wait_for(node.platform, "/_lab/counts", "platform").await?;
            wait_for(node.cloud, "/cloud/offers", "cloud").await?;
        }
        Ok(())
    }

    async fn load_tree(&self, directory: &Path) -> Result<(), CommandError> {
        let documents = directory::read_valid(directory)?;
        for node in &self.nodes {
            wait_for(node.operators, "/readyz", node.node.as_str()).await?;
        }
        let client = self.operator(0);
        let revision = operate::apply(&client, &documents).await?;
        self.wait_for_revision(revision).await
    }

    /// Waits until every node sees every machine as usable.
    async fn wait_until_serving(&self) -> Result<(), CommandError> {
        let wanted = self.machines.len();
        let usable = |status: &serde_json::Value| {
            let backends = status["backends"].as_array().map_or(&[][..], Vec::as_slice);
            let ready = |backend: &&serde_json::Value| {
                let loaded = backend["class"] == "application"
                    || backend["model"].as_str().is_some_and(|model| !model.is_empty());
                backend["accepts_work"] == true && loaded
            };
            backends.iter().filter(ready).count() >= wanted
        };
        self.wait_until(usable, "back ends to be usable").await
    }

    /// Waits until every node has a revision in force.
    pub async fn wait_for_revision(&self, revision: u64) -> Result<(), CommandError> {
        self.wait_until(|status| status["revision"].as_u64() >= Some(revision), "the revision to be in force")
            .await
    }

    async fn wait_until(
        &self,
        condition: impl Fn(&serde_json::Value) -> bool,
        what: &str,
    ) -> Result<(), CommandError> {
        for number in 0..self.nodes.len() {
            let client = self.operator(number);
            let deadline = tokio::time::Instant::now() + START_LIMIT;
            loop {
                if let Ok(status) = client.get("/v1/admin/status").await
                    && condition(&status)
                {
                    break;
                }
                if tokio::time::Instant::now() >= deadline {
                    let node = &self.nodes[number].node;
                    return Err(CommandError::Experiment(format!("node {node} waited in vain for {what}")));
                }
                tokio::time::sleep(CHECK_PERIOD).await;
            }
        }
        Ok(())
    }

    /// The operators' interface of a node.
    pub fn operator(&self, number: usize) -> NodeClient {
        NodeClient::new(self.nodes[number].operators, &self.keys.operator)
    }

    /// The process id of a node or stand-in.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.processes.iter().find(|process| process.name == name)?.child.id()
    }

    /// Sends a signal, by its name without `SIG`, to a process of this deployment.
    pub async fn signal(&self, name: &str, signal: &str) -> Result<(), CommandError> {
        let id = self.process_id(name).ok_or_else(|| CommandError::Usage(format!("no process {name}")))?;
        let sent = Command::new("kill").args([format!("-{signal}"), id.to_string()]).status().await;
        match sent {
            Ok(status) if status.success() => Ok(()),
            Ok(status) => Err(CommandError::Experiment(format!("kill ended with {status}"))),
            Err(cause) => Err(CommandError::File("kill".to_owned(), cause)),
        }
    }

    /// Waits for the end of a process; gives its exit status.
    pub async fn wait_for_end(&mut self, name: &str, limit: Duration) -> Option<i32> {
        let process = self.processes.iter_mut().find(|process| process.name == name)?;
        tokio::time::timeout(limit, process.child.wait()).await.ok()?.ok()?.code()
    }

    /// Stops everything that was started.
    pub async fn stop(mut self) {
        for process in &mut self.processes {
            let _ = process.child.start_kill();
        }
        for process in &mut self.processes {
            let _ = tokio::time::timeout(STOP_LIMIT, process.child.wait()).await;
        }
    }
}

/// Standard error of a process goes to a file when `BEAMWALL_LAB_LOGS` names a directory.
fn log_file(name: &str) -> Stdio {
    let Ok(directory) = std::env::var("BEAMWALL_LAB_LOGS") else { return Stdio::null() };
    let path = Path::new(&directory).join(format!("{name}.log"));
    std::fs::File::create(path).map_or_else(|_| Stdio::null(), Stdio::from)
}

fn parse_address(text: &str) -> Result<SocketAddr, CommandError> {
    text.parse()
        .map_err(|_| CommandError::Format("machines.toml".to_owned(), format!("not an address: {text}")))
}

/// Waits until an address answers.
async fn wait_for(address: SocketAddr, path: &str, name: &str) -> Result<(), CommandError> {
    let client = JsonClient::new(Pool::new(CHECK_PERIOD), address, Duration::from_secs(1));
    let deadline = tokio::time::Instant::now() + START_LIMIT;
    loop {
        if let Ok(answer) = client.get(path).await
            && answer.status == StatusCode::OK
        {
            return Ok(());
        }
        if tokio::time::Instant::now() >= deadline {
            return Err(CommandError::Experiment(format!("{name} on {address} did not start")));
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}
