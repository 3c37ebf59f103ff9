//! A deployment inside the test process: stand-ins, and nodes that each have a runtime of their own,
//! so that a node can be killed with everything it was doing.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use beamwall_config::{Change, KeyDigest, ProcessSettings};
use beamwall_http::{JsonClient, Pool};
use beamwall_lab::Running;
use beamwall_lab::application::ApplicationStandIn;
use beamwall_lab::caller::{Caller, Question};
use beamwall_lab::cloud::{CloudOptions, CloudStandIn, LabMachine, Wave};
use beamwall_lab::engine::{EngineOptions, EngineStandIn, EngineTiming, start_engine};
use beamwall_lab::link::Link;
use beamwall_lab::object_store::{ObjectRates, ObjectStandIn};
use beamwall_lab::running::{free_addresses, loopback};
use beamwall_node::Node;
use beamwall_node::shared::Shared;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

pub const OPERATOR_KEY: &str = "operator-key";
pub const ALDER_KEY: &str = "alder-key";
pub const BIRCH_KEY: &str = "birch-key";
pub const ZONES: [&str; 3] = ["a", "b", "c"];
const START_LIMIT: Duration = Duration::from_secs(20);

/// What a deployment consists of.
pub struct Plan {
    pub nodes_per_zone: usize,
    pub engines_per_zone: usize,
    pub applications_per_zone: usize,
    pub speed: f64,
    pub drain_ms: u64,
    pub list_lag_ms: u64,
    /// Document of the plain service, without its kind.
    pub plain_service: String,
    /// Further documents of the tree.
    pub documents: Vec<(String, String)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            nodes_per_zone: 1,
            engines_per_zone: 1,
            applications_per_zone: 1,
            speed: 4.0,
            drain_ms: 3_000,
            list_lag_ms: 500,
            plain_service: "[service]\ntype = \"plain\"\nrequest_timeout_ms = 5000\n".to_owned(),
            documents: Vec::new(),
        }
    }
}

/// Longest wait for the tasks of a killed node to end.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(5);

/// A node with its runtime.
pub struct TestNode {
    pub settings: ProcessSettings,
    node: Option<Node>,
    runtime: Option<Runtime>,
}

impl TestNode {
    pub fn start(settings: ProcessSettings) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime starts");
        let handle = runtime.handle().clone();
        let start = Node::start(settings.clone());
        let node = std::thread::scope(|scope| {
            scope.spawn(|| handle.block_on(start)).join().expect("the start does not panic")
        });
        Self { settings, node: Some(node.expect("the node starts")), runtime: Some(runtime) }
    }

    pub fn shared(&self) -> Arc<Shared> {
        self.node.as_ref().expect("the node runs").shared.clone()
    }

    pub fn is_running(&self) -> bool {
        self.node.is_some()
    }

    /// Stops the node with everything it does, as a kill would: when it returns, all sockets are closed.
    pub fn kill(&mut self) {
        self.node = None;
        if let Some(runtime) = self.runtime.take() {
            // The wait is not for an asynchronous context, so it is done on a thread of its own.
            std::thread::scope(|scope| scope.spawn(|| runtime.shutdown_timeout(SHUTDOWN_LIMIT)).join().ok());
        }
    }

    /// Drains the node as SIGTERM would; returns when it has stopped.
    pub async fn drain(&mut self) {
        let (node, runtime) =
            (self.node.take().expect("the node runs"), self.runtime.take().expect("it has a runtime"));
        let _ = runtime.spawn(node.drain()).await;
        // A process would end here: give answers in flight the time the system call needs.
        tokio::time::sleep(Duration::from_millis(100)).await;
        runtime.shutdown_background();
    }

    /// Starts again under the same name and addresses.
    pub fn restart(&mut self) {
        self.kill();
        *self = Self::start(self.settings.clone());
    }

    pub fn caller(&self, key: &str) -> Caller {
        Caller::new(self.settings.callers, key)
    }

    pub fn operator(&self) -> JsonClient {
        self.operator_with(OPERATOR_KEY)
    }

    pub fn operator_with(&self, key: &str) -> JsonClient {
        JsonClient::new(Pool::new(Duration::from_secs(1)), self.settings.operators, Duration::from_secs(5))
            .with_bearer(key)
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An engine with its server.
pub struct TestEngine {
    pub name: String,
    pub zone: &'static str,
    pub engine: Arc<EngineStandIn>,
    running: Arc<Running>,
}

/// A deployment.
pub struct Cluster {
    pub platform: Arc<ObjectStandIn>,
    /// One link to the platform for each node, which a test can cut.
    pub platform_links: Vec<Link>,
    pub cloud: Arc<CloudStandIn>,
    pub engines: Vec<TestEngine>,
    pub applications: Vec<Arc<ApplicationStandIn>>,
    /// Where the applications listen, in the same order.
    application_servers: Vec<Arc<Running>>,
    pub nodes: Vec<TestNode>,
    servers: Vec<Running>,
}

fn machine(id: &str, zone: &str, class: &str, address: SocketAddr, service: &str) -> LabMachine {
    LabMachine {
        id: id.to_owned(),
        zone: zone.to_owned(),
        class: class.to_owned(),
        reclaimable: true,
        price_micros_per_hour: 1,
        address: address.to_string(),
        service: service.to_owned(),
        state: "running".to_owned(),
    }
}

impl Cluster {
    pub async fn start(plan: Plan) -> Self {
        let platform = ObjectStandIn::new(ObjectRates::default());
        let platform_server =
            Running::start(loopback(), platform.clone()).await.expect("the platform starts");
        let mut machines = Vec::new();
        let engines = start_engines(&plan, &mut machines).await;
        let mut servers = Vec::new();
        let mut applications = Vec::new();
        let mut application_servers = Vec::new();
        for zone in ZONES {
            for number in 0..plan.applications_per_zone {
                let name = format!("game-{zone}{number}");
                let application = ApplicationStandIn::new(&name);
                let server =
                    Running::start(loopback(), application.clone()).await.expect("an application starts");
                machines.push(machine(&name, zone, "application", server.address, "game"));
                applications.push(application);
                application_servers.push(Arc::new(server));
            }
        }
        let options = CloudOptions { list_lag: Duration::from_millis(plan.list_lag_ms), speed: plan.speed };
        let cloud = CloudStandIn::new(machines, options);
        let cloud_server = Running::start(loopback(), cloud.clone()).await.expect("the cloud starts");
        let mut platform_links = Vec::new();
        for _ in 0..plan.nodes_per_zone * ZONES.len() {
            platform_links
                .push(Link::start(loopback(), platform_server.address).await.expect("a link starts"));
        }
        let nodes = start_nodes(&plan, &platform_links, cloud_server.address);
        servers.extend([platform_server, cloud_server]);
        let cluster = Self {
            platform,
            platform_links,
            cloud,
            engines,
            applications,
            application_servers,
            nodes,
            servers,
        };
        cluster.load_tree(&plan).await;
        cluster.wait_until_serving().await;
        cluster
    }

    async fn load_tree(&self, plan: &Plan) {
        wait_until("the first node to be ready", || self.nodes[0].shared().is_ready()).await;
        let changes = documents(plan)
            .into_iter()
            .map(|(path, text)| Change { path: path.parse().expect("a path"), text: Some(text) });
        let edit = json!({"base_revision": 0, "changes": changes.collect::<Vec<_>>()});
        let answer = self.nodes[0].operator().post("/v1/admin/tree", &edit).await.expect("an answer");
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    async fn wait_until_serving(&self) {
        for node in &self.nodes {
            let shared = node.shared();
            wait_until("back ends to be usable", || {
                let view = shared.dispatcher.view.load();
                let usable = |id: &str| {
                    view.backend(&id.into()).is_some_and(|backend| {
                        let model =
                            backend.report.as_ref().map(|report| report.model.clone()).unwrap_or_default();
                        backend.accepts_work() && (id.starts_with("game") || model == "helper")
                    })
                };
                let machines = self.cloud.machines();
                shared.is_ready()
                    && shared.tree.load().revision > 0
                    && machines.iter().all(|machine| usable(&machine.id))
            })
            .await;
        }
    }

    /// Lets all back ends end under each request that holds `marker`: their connections break, and nothing listens there any
    /// more. Counts those that have.
    pub fn end_back_ends_under(&self, marker: &str) -> Arc<AtomicUsize> {
        let ended = Arc::new(AtomicUsize::new(0));
        let engines = self.engines.iter().map(|engine| (engine.engine.ending(), &engine.running));
        let endings = self.applications.iter().map(|application| application.ending());
        for (ending, running) in engines.chain(endings.zip(&self.application_servers)) {
            ending.end_under(marker.as_bytes());
            let (running, ended) = (running.clone(), ended.clone());
            tokio::spawn(async move {
                ending.is_due().await;
                running.stop();
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
        ended
    }

    /// Takes back the back ends of a zone after a notice.
    pub fn reclaim_zone(&self, zone: &str, notice: Duration) {
        let in_zone = self.cloud.machines().into_iter().filter(|machine| machine.zone == zone);
        let machines =
            in_zone.filter(|machine| machine.class != "application").map(|machine| machine.id).collect();
        self.cloud.reclaim(&Wave { machines, notice_ms: notice.as_millis() as u64 });
    }

    pub fn engine(&self, name: &str) -> &TestEngine {
        self.engines.iter().find(|engine| engine.name == name).expect("an engine of that name")
    }

    /// Calls that ran at any application.
    pub fn ran(&self) -> Vec<beamwall_lab::application::RanCall> {
        self.applications.iter().flat_map(|application| application.ran()).collect()
    }

    /// Commits one document through a node, on top of the revision in force there.
    pub async fn put(&self, node: usize, path: &str, text: &str) -> Value {
        let base = self.nodes[node].shared().tree.load().revision;
        let edit = json!({"base_revision": base, "changes": [{"path": path, "text": text}]});
        let answer = self.nodes[node].operator().post("/v1/admin/tree", &edit).await.expect("an answer");
        answer.json().expect("JSON")
    }
}

async fn start_engines(plan: &Plan, machines: &mut Vec<LabMachine>) -> Vec<TestEngine> {
    let mut engines = Vec::new();
    for zone in ZONES {
        for number in 0..plan.engines_per_zone {
            let name = format!("helper-{zone}{number}");
            let options = EngineOptions {
                name: name.clone(),
                timing: EngineTiming::at_speed(plan.speed),
                checks_orders: true,
                model: String::new(),
                version: String::new(),
            };
            let (engine, running) = start_engine(loopback(), options).await.expect("an engine starts");
            machines.push(machine(&name, zone, "large", running.address, "helper"));
            engines.push(TestEngine { name, zone, engine, running: Arc::new(running) });
        }
    }
    engines
}

fn start_nodes(plan: &Plan, platform_links: &[Link], cloud: SocketAddr) -> Vec<TestNode> {
    let count = plan.nodes_per_zone * ZONES.len();
    let addresses = free_addresses(count * 3);
    let seeds: Vec<String> = (0..count).map(|number| format!("\"{}\"", addresses[number * 3 + 2])).collect();
    let settings = |number: usize| {
        let zone = ZONES[number / plan.nodes_per_zone];
        let platform = platform_links[number].address;
        let text = format!(
            "[node]\nname = \"entry-{zone}{}\"\nzone = \"{zone}\"\n[listen]\ncallers = \"{}\"\noperators = \"{}\"\n\
             peers = \"{}\"\n[peers]\nseeds = [{}]\n[platform]\naddress = \"{platform}\"\ncalls_per_second = 100\n\
             [cloud]\naddress = \"{cloud}\"\n[operators]\nkey_digests = [\"{}\"]\n[limits]\ndrain_ms = {}\nbody_read_ms = 500\n",
            number % plan.nodes_per_zone,
            addresses[number * 3],
            addresses[number * 3 + 1],
            addresses[number * 3 + 2],
            seeds.join(", "),
            KeyDigest::of(OPERATOR_KEY),
            plan.drain_ms,
        );
        ProcessSettings::parse("test", &text).expect("valid settings")
    };
    (0..count).map(|number| TestNode::start(settings(number))).collect()
}

/// The tree of a test deployment.
pub fn documents(plan: &Plan) -> Vec<(String, String)> {
    let tenant = |key: &str, class: &str| {
        format!(
            "kind = \"tenant\"\n[tenant]\nclass = \"{class}\"\nservices = [\"helper\", \"game\"]\n\
             tokens_per_second = 10000000\ncalls_per_second = 100000\nkey_digests = [\"{}\"]\n",
            KeyDigest::of(key)
        )
    };
    let mut documents = vec![
        ("/".to_owned(), "kind = \"group\"\n".to_owned()),
        (
            "/helper".to_owned(),
            "kind = \"service\"\n[service]\ntype = \"model\"\norders_checked = true\nrequest_timeout_ms = 30000\n".to_owned(),
        ),
        ("/game".to_owned(), format!("kind = \"service\"\n{}", plan.plain_service)),
        ("/studios".to_owned(), "kind = \"group\"\n".to_owned()),
        ("/studios/alder".to_owned(), tenant(ALDER_KEY, "interactive")),
        ("/studios/birch".to_owned(), tenant(BIRCH_KEY, "standard")),
    ];
    documents.extend(plan.documents.iter().cloned());
    documents
}

/// A question with a prompt of its own.
pub fn question(number: usize, max_tokens: u32) -> Question {
    Question {
        model: "helper".to_owned(),
        prompt: format!("question number {number}: {}", "some words of context ".repeat(8)),
        max_tokens,
        session: String::new(),
        class: String::new(),
    }
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + START_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
