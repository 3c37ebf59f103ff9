//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

/// Options of `beamwallctl`.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Version.
    #[options(help = "show the version", short = "V")]
    pub version: bool,
    /// Operators' address of a node.
    #[options(help = "operators' address of a node, as IP:port", meta = "ADDRESS")]
    pub node: Option<SocketAddr>,
    /// File with the operator key.
    #[options(help = "file that holds the operator key", meta = "FILE")]
    pub key_file: Option<PathBuf>,
    /// The command.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// Settings tree.
    #[options(help = "get, put, delete, apply, diff or history of the settings tree")]
    Tree(TreeOptions),
    /// Validation of a directory.
    #[options(help = "check a directory of tree documents and list every fault")]
    Validate(DirectoryOptions),
    /// Explanations.
    #[options(help = "explain why a setting has its value or where a request would go")]
    Explain(ExplainOptions),
    /// Status.
    #[options(help = "show zones, members, revision, leases and back ends")]
    Status(NoOptions),
    /// Drain.
    #[options(help = "take a node out of service")]
    Drain(NoOptions),
    /// Digest of a key.
    #[options(help = "print the digest of a key read from a file, for the tree")]
    KeyDigest(FileOptions),
    /// The story of a request.
    #[options(help = "tell from log lines what happened to a request, and why")]
    Why(WhyOptions),
    /// Lab.
    #[options(help = "stand-ins, load and experiments")]
    Lab(LabOptions),
}

/// A request and where to look for it.
#[derive(Debug, Options)]
pub struct WhyOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The request.
    #[options(free, required, help = "identifier of the request")]
    pub request: String,
    /// Files of log lines.
    #[options(meta = "FILE", help = "log of a node, several times; without: standard input")]
    pub file: Vec<PathBuf>,
}

/// No options.
#[derive(Debug, Options)]
pub struct NoOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
}

/// One file.
#[derive(Debug, Options)]
pub struct FileOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "file")]
    pub file: PathBuf,
}

/// One directory.
#[derive(Debug, Options)]
pub struct DirectoryOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The directory.
    #[options(free, required, help = "directory")]
    pub directory: PathBuf,
}

/// Options of `tree`.
#[derive(Debug, Options)]
pub struct TreeOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The command.
    #[options(command, required)]
    pub command: Option<TreeCommand>,
}

/// Commands on the settings tree.
#[derive(Debug, Options)]
pub enum TreeCommand {
    /// Get.
    #[options(help = "print the documents at and below a path")]
    Get(PathOptions),
    /// Put.
    #[options(help = "replace the document of one node")]
    Put(PutOptions),
    /// Delete.
    #[options(help = "delete one node")]
    Delete(PathOptions),
    /// Apply.
    #[options(help = "make the tree equal to a directory")]
    Apply(DirectoryOptions),
    /// Diff.
    #[options(help = "show how a directory differs from the tree in force")]
    Diff(DirectoryOptions),
    /// History.
    #[options(help = "list the last revisions")]
    History(NoOptions),
}

/// A path, perhaps with the revision an edit is based on.
#[derive(Debug, Options)]
pub struct PathOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The path.
    #[options(free, help = "path in the tree")]
    pub path: Option<String>,
    /// The revision an edit is based on.
    #[options(help = "revision the edit is based on; the one in force when absent")]
    pub base: Option<u64>,
}

/// Options of `tree put`.
#[derive(Debug, Options)]
pub struct PutOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The path.
    #[options(free, required, help = "path in the tree")]
    pub path: String,
    /// The file.
    #[options(free, required, help = "file with the document")]
    pub file: PathBuf,
    /// The revision the edit is based on.
    #[options(help = "revision the edit is based on; the one in force when absent")]
    pub base: Option<u64>,
}

/// Options of `explain`.
#[derive(Debug, Options)]
pub struct ExplainOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Path of the node whose settings to explain.
    #[options(help = "path of the node whose settings to explain")]
    pub setting: Option<String>,
    /// Key to explain.
    #[options(help = "only this key")]
    pub only: Option<String>,
    /// Service whose route to explain.
    #[options(help = "service whose route to explain")]
    pub route: Option<String>,
    /// Session key.
    #[options(help = "session key of the request")]
    pub session: Option<String>,
    /// Prompt tokens.
    #[options(help = "tokens of the prompt", default = "100")]
    pub prompt_tokens: u32,
}

/// Options of `lab`.
#[derive(Debug, Options)]
pub struct LabOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The command.
    #[options(command, required)]
    pub command: Option<LabCommand>,
}

/// Commands of the lab.
#[derive(Debug, Options)]
pub enum LabCommand {
    /// Object API.
    #[options(help = "run the object API stand-in")]
    Platform(ListenOptions),
    /// Cloud.
    #[options(help = "run the cloud stand-in with the machines of a deployment directory")]
    Cloud(CloudOptions),
    /// Engine.
    #[options(help = "run a model engine stand-in")]
    Engine(EngineOptions),
    /// Application.
    #[options(help = "run an application stand-in")]
    Application(NamedOptions),
    /// Demo.
    #[options(help = "start a deployment of processes, serve a few requests and stop it")]
    Demo(DeploymentOptions),
    /// Overhead.
    #[options(help = "measure what a node adds to a direct call, and its calls a second on one core")]
    Overhead(OverheadOptions),
    /// Load.
    #[options(help = "replay a fleet's workload against a deployment and report")]
    Load(LoadOptions),
    /// Scale.
    #[options(help = "measure the cost of control for each node over several sizes")]
    Scale(ScaleOptions),
    /// Soak.
    #[options(help = "run gateways as processes under random faults from outside and check promises")]
    Soak(SoakOptions),
    /// Hollow nodes.
    #[options(help = "run all hollow nodes of a deployment directory in one process")]
    HollowNodes(DirectoryOptions),
    /// Hollow engines.
    #[options(help = "run all machines of a deployment directory as engines in one process")]
    HollowEngines(DirectoryOptions),
}

/// Where to listen.
#[derive(Debug, Options)]
pub struct ListenOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Where to listen.
    #[options(required, help = "address to listen on, as IP:port")]
    pub listen: Option<SocketAddr>,
}

/// A name and where to listen.
#[derive(Debug, Options)]
pub struct NamedOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Where to listen.
    #[options(required, help = "address to listen on, as IP:port")]
    pub listen: Option<SocketAddr>,
    /// Name.
    #[options(required, help = "name of the back end")]
    pub name: String,
}

/// Options of `lab cloud`.
#[derive(Debug, Options)]
pub struct CloudOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Where to listen.
    #[options(required, help = "address to listen on, as IP:port")]
    pub listen: Option<SocketAddr>,
    /// Deployment directory.
    #[options(required, help = "deployment directory with machines.toml")]
    pub directory: PathBuf,
    /// Age of the machine list.
    #[options(help = "age of the machine list in milliseconds", default = "1000")]
    pub lag_ms: u64,
    /// Speed of started engines.
    #[options(help = "speed of engines started at run time", default = "1")]
    pub speed: f64,
}

/// Options of `lab engine`.
#[derive(Debug, Options)]
pub struct EngineOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Where to listen.
    #[options(required, help = "address to listen on, as IP:port")]
    pub listen: Option<SocketAddr>,
    /// Name.
    #[options(required, help = "name of the engine")]
    pub name: String,
    /// Speed.
    #[options(help = "how much faster than real time", default = "1")]
    pub speed: f64,
    /// Whether it checks orders.
    #[options(help = "refuse orders of an older epoch", no_short)]
    pub checks_orders: bool,
}

/// Options of commands that start a deployment.
#[derive(Debug, Options)]
pub struct DeploymentOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Deployment directory.
    #[options(free, required, help = "deployment directory")]
    pub directory: PathBuf,
    /// Speed of engines.
    #[options(help = "how much faster than real time engines run", default = "1")]
    pub speed: f64,
}

/// Options of `lab overhead`.
#[derive(Debug, Options)]
pub struct OverheadOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Calls of the latency part.
    #[options(help = "calls for each latency figure", default = "4000")]
    pub calls: usize,
    /// Calls of the throughput part.
    #[options(help = "calls for the throughput figure", default = "100000")]
    pub throughput_calls: usize,
    /// Open connections of the throughput part.
    #[options(help = "connections for the throughput figure", default = "32")]
    pub connections: usize,
}

/// Options of `lab soak`.
#[derive(Debug, Options)]
pub struct SoakOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Seeds to run.
    #[options(help = "seeds to run", default = "50")]
    pub seeds: u64,
    /// First seed.
    #[options(help = "first seed; 0: from the time of day", default = "0")]
    pub first: u64,
    /// Gateways.
    #[options(help = "gateways of each run", default = "4")]
    pub gateways: usize,
    /// Seconds.
    #[options(help = "seconds under faults of each run", default = "8")]
    pub seconds: u64,
    /// Runs at a time.
    #[options(help = "runs at a time", default = "4")]
    pub jobs: usize,
}

/// Options of `lab scale`.
#[derive(Debug, Options)]
pub struct ScaleOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Nodes of each zone, one number for each measurement.
    #[options(help = "nodes of each zone, separated by commas", default = "2,4,8,16,24")]
    pub sizes: String,
    /// Zones.
    #[options(help = "zones", default = "5")]
    pub zones: u8,
    /// Engines for each node.
    #[options(help = "engines for each node", default = "4")]
    pub engines_per_node: usize,
    /// Further documents of the tree.
    #[options(help = "further documents of the settings tree", default = "0")]
    pub documents: usize,
    /// Seconds of each measurement.
    #[options(help = "seconds of each measurement", default = "15")]
    pub seconds: u64,
}

/// Options of `lab load`.
#[derive(Debug, Options)]
pub struct LoadOptions {
    /// Help.
    #[options(help = "show this help")]
    pub help: bool,
    /// Deployment directory.
    #[options(free, required, help = "deployment directory")]
    pub directory: PathBuf,
    /// Speed of engines.
    #[options(help = "how much faster than real time engines run", default = "1")]
    pub speed: f64,
    /// Seconds of load.
    #[options(help = "seconds of load", default = "20")]
    pub seconds: u64,
    /// Requests a second.
    #[options(help = "requests a second", default = "40")]
    pub rate: f64,
    /// Seed.
    #[options(help = "seed of the workload", default = "1")]
    pub seed: u64,
    /// Zone to take back in the middle.
    #[options(help = "zone whose back ends are taken back in the middle of the run")]
    pub reclaim_zone: Option<String>,
    /// Notice of the reclaim.
    #[options(help = "milliseconds of notice of the reclaim", default = "5000")]
    pub notice_ms: u64,
    /// Routing policy to measure.
    #[options(help = "routing policy to measure: predicted-wait, least-requests or round-robin", no_short)]
    pub policy: Option<String>,
    /// Report file.
    #[options(help = "file for the JSON report")]
    pub report: Option<PathBuf>,
    /// Plot file.
    #[options(help = "file for the SVG plot")]
    pub plot: Option<PathBuf>,
}
