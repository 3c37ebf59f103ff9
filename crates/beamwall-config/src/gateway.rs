//! The settings of a gateway process, read from a TOML file and checked whole before start.

use std::net::SocketAddr;
use std::time::Duration;

use beamwall_model::{ChoiceStrategy, NodeId, ZoneName};

use crate::document::Settings;
use crate::fault::Faults;
use crate::rule::{KeyRule, ValueKind, integer, optional, required};

const fn seconds(minimum: f64, maximum: f64) -> ValueKind {
    ValueKind::Number { minimum, maximum }
}

const BYTES_PER_MB: usize = 1 << 20;

/// The keys of a gateway's settings file.
pub const GATEWAY_RULES: &[KeyRule] = &[
    required("node.name", ValueKind::Text, "name of the node, unique in the deployment"),
    required("node.zone", ValueKind::Text, "zone the node runs in"),
    optional("node.threads", integer(1, 256), "1", "worker threads"),
    optional(
        "node.link_mbps",
        ValueKind::Number { minimum: 1.0, maximum: 1e6 },
        "1000",
        "capacity of the node's network link in Mbit/s",
    ),
    required("listen.callers", ValueKind::Address, "address for callers"),
    required("listen.readiness", ValueKind::Address, "address that tells whether the node takes callers"),
    required("listen.peers", ValueKind::Address, "address for other nodes"),
    required("listen.metrics", ValueKind::Address, "address for metrics"),
    optional(
        "peers.advertised",
        ValueKind::Address,
        "\"0.0.0.0:0\"",
        "address told to other nodes, where they reach this one by another than listen.peers; absent: the same",
    ),
    optional("peers.seeds", ValueKind::AddressList, "[]", "peer addresses tried at start"),
    optional(
        "peers.expected",
        integer(1, 100_000),
        "6",
        "nodes assumed to share quotas until more are known",
    ),
    required("store.address", ValueKind::Address, "address of the store of decisions"),
    optional(
        "store.timeout_ms",
        integer(10, 60_000),
        "1000",
        "longest call to the store; a store that is seen to take longer is waited for, 8 s at most",
    ),
    optional(
        "duties.address",
        ValueKind::Address,
        "\"0.0.0.0:0\"",
        "address of duty calls; absent: no duties",
    ),
    optional("duties.report_usage", ValueKind::Boolean, "false", "whether usage is reported"),
    optional("duties.order_capacity", ValueKind::Boolean, "false", "whether back ends are ordered"),
    optional(
        "capacity.ahead",
        ValueKind::Boolean,
        "false",
        "whether back ends are ordered ahead of need: by the demand's trend and at announced losses",
    ),
    optional("usage.window_s", seconds(0.1, 86_400.0), "5", "length of one usage window in seconds"),
    optional("retries.ratio", seconds(0.0, 1.0), "0.2", "retries allowed for each request to a service"),
    optional("retries.extra", seconds(0.0, 1e6), "50", "retries allowed beside, over all nodes"),
    optional(
        "retries.window_s",
        seconds(0.1, 3_600.0),
        "10",
        "window in which retries are counted, in seconds",
    ),
    optional(
        "quotas.slack",
        seconds(0.0, 1e12),
        "0",
        "work beyond a quota that is tolerated, over all nodes",
    ),
    optional(
        "quotas.overage",
        seconds(0.0, 1.0),
        "0",
        "share of a quota that is tolerated beyond it in one window",
    ),
    optional(
        "quotas.window_s",
        seconds(0.1, 3_600.0),
        "8",
        "window in which work beyond a quota is counted, in seconds",
    ),
    optional(
        "quotas.overdraft",
        ValueKind::Boolean,
        "false",
        "whether tenants near their limits may use part of the tolerated work, with reports at short intervals",
    ),
    optional(
        "rollouts.exposure_share",
        seconds(0.0, 1.0),
        "0",
        "share of its service's requests that a bad version may get; 0: rollouts are not followed",
    ),
    optional("rollouts.exposure_slack", seconds(0.0, 1e9), "0", "requests that it may get beside"),
    optional(
        "rollouts.rollback_ms",
        seconds(1.0, 3_600_000.0),
        "5000",
        "time after its fiftieth bad answer in which it may get requests, in milliseconds",
    ),
    optional(
        "choice.strategy",
        ValueKind::Choice(ChoiceStrategy::NAMES),
        "\"expected-time\"",
        "how a back end is chosen; all but the first are baselines for measurements",
    ),
    optional(
        "pace.enabled",
        ValueKind::Boolean,
        "false",
        "whether back ends that have just started or recovered get a growing share of requests",
    ),
    optional(
        "engines.learn_speeds",
        ValueKind::Boolean,
        "false",
        "whether the lasting speed of each engine is learnt; otherwise all engines of a service count as equal",
    ),
    optional(
        "admission.enabled",
        ValueKind::Boolean,
        "false",
        "whether requests are rejected at once while engines have no capacity for them",
    ),
    optional(
        "streams.move_on_reclaim",
        ValueKind::Boolean,
        "false",
        "whether streams of engines that are reclaimed are moved with their memory",
    ),
    optional(
        "limits.drain_s",
        seconds(0.0, 3_600.0),
        "8",
        "time from SIGTERM to the end of the process in seconds",
    ),
    optional(
        "limits.memory_mb",
        seconds(1.0, 1e9),
        "256",
        "memory that the process may take, in MB; callers hold a part of it at most",
    ),
    optional(
        "limits.descriptors",
        seconds(1.0, 1e9),
        "4096",
        "descriptors that the process may open; callers' connections take a part of them at most",
    ),
    optional("log.format", ValueKind::Choice(&["json", "text"]), "\"json\"", "form of log lines"),
    optional(
        "log.level",
        ValueKind::Choice(&["error", "warn", "info", "debug"]),
        "\"info\"",
        "least urgent level logged",
    ),
];

/// The settings of a gateway process.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The node's name.
    pub node: NodeId,
    /// The node's zone.
    pub zone: ZoneName,
    /// Worker threads.
    pub threads: usize,
    /// Capacity of the node's network link in Mbit/s.
    pub link_mbps: u32,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Where other nodes are told to connect: the same unless addresses are translated on the way.
    pub advertised_peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Peer addresses tried at start.
    pub seeds: Vec<SocketAddr>,
    /// Nodes assumed until more are known.
    pub expected_nodes: usize,
    /// The store of decisions.
    pub store: SocketAddr,
    /// Longest call to the store.
    pub store_timeout: Duration,
    /// Where duty calls go; absent where the deployment has no duties.
    pub duties: Option<SocketAddr>,
    /// Whether usage is reported.
    pub report_usage: bool,
    /// Whether back ends are ordered.
    pub order_capacity: bool,
    /// Whether back ends are ordered ahead of need.
    pub capacity_ahead: bool,
    /// Length of one usage window.
    pub usage_window: Duration,
    /// Retries allowed for each request to a service.
    pub retry_ratio: f64,
    /// Retries allowed beside, over all nodes.
    pub retry_extra: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Work beyond a quota that is tolerated, over all nodes.
    pub quota_slack: f64,
    /// Share of a quota that is tolerated beyond it in one window.
    pub quota_overage: f64,
    /// Window in which work beyond a quota is counted.
    pub quota_window: Duration,
    /// Whether tenants near their limits may use part of the tolerated work.
    pub quota_overdraft: bool,
    /// Share of its service's requests that a bad version may get; 0 where rollouts are not followed.
    pub exposure_share: f64,
    /// Requests that it may get beside.
    pub exposure_slack: f64,
    /// Time after its fiftieth bad answer in which it may get requests.
    pub rollback: Duration,
    /// How a back end is chosen.
    pub choice: ChoiceStrategy,
    /// Whether back ends that have just started or recovered get a growing share of requests.
    pub paces_back_ends: bool,
    /// Whether the lasting speed of each engine is learnt.
    pub learn_speeds: bool,
    /// Whether requests are rejected at once while engines have no capacity for them.
    pub admission: bool,
    /// Whether streams of engines that are reclaimed are moved with their memory.
    pub move_on_reclaim: bool,
    /// Time from SIGTERM to the end of the process.
    pub drain_limit: Duration,
    /// Memory that the process may take.
    pub memory_bytes: usize,
    /// Descriptors that the process may open.
    pub descriptors: usize,
    /// Whether log lines are JSON.
    pub log_json: bool,
    /// Least urgent level logged.
    pub log_level: String,
}

impl GatewaySettings {
    /// Reads the text of a settings file, reporting every fault at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let settings = Settings::parse(file, text, GATEWAY_RULES)?;
        let listeners = ["listen.callers", "listen.readiness", "listen.peers", "listen.metrics"];
        let mut faults = Faults::default();
        settings.check_distinct_addresses(file, &listeners, &mut faults);
        faults.into_result(())?;
        Ok(Self::read(&settings))
    }

    fn read(settings: &Settings) -> Self {
        let number = |key| settings.number_or_default(key, GATEWAY_RULES);
        let flag = |key| settings.boolean(key).unwrap_or(false);
        let duties = settings.address("duties.address");
        let peers = settings.address("listen.peers");
        let advertised = settings.address("peers.advertised");
        Self {
            node: NodeId::new(settings.text("node.name").unwrap_or_default()),
            zone: ZoneName::new(settings.text("node.zone").unwrap_or_default()),
            threads: number("node.threads") as usize,
            link_mbps: number("node.link_mbps").round() as u32,
            callers: settings.address("listen.callers"),
            readiness: settings.address("listen.readiness"),
            peers,
            advertised_peers: if advertised.port() == 0 { peers } else { advertised },
            metrics: settings.address("listen.metrics"),
            seeds: settings.list("peers.seeds").iter().filter_map(|text| text.parse().ok()).collect(),
            expected_nodes: number("peers.expected") as usize,
            store: settings.address("store.address"),
            store_timeout: Duration::from_millis(number("store.timeout_ms") as u64),
            duties: (duties.port() != 0).then_some(duties),
            report_usage: flag("duties.report_usage"),
            order_capacity: flag("duties.order_capacity"),
            capacity_ahead: flag("capacity.ahead"),
            usage_window: Duration::from_secs_f64(number("usage.window_s")),
            retry_ratio: number("retries.ratio"),
            retry_extra: number("retries.extra"),
            retry_window: Duration::from_secs_f64(number("retries.window_s")),
            quota_slack: number("quotas.slack"),
            quota_overage: number("quotas.overage"),
            quota_window: Duration::from_secs_f64(number("quotas.window_s")),
            quota_overdraft: flag("quotas.overdraft"),
            exposure_share: number("rollouts.exposure_share"),
            exposure_slack: number("rollouts.exposure_slack"),
            rollback: Duration::from_millis(number("rollouts.rollback_ms") as u64),
            choice: ChoiceStrategy::from_name(settings.text("choice.strategy").unwrap_or_default()),
            paces_back_ends: flag("pace.enabled"),
            learn_speeds: flag("engines.learn_speeds"),
            admission: flag("admission.enabled"),
            move_on_reclaim: flag("streams.move_on_reclaim"),
            drain_limit: Duration::from_secs_f64(number("limits.drain_s")),
            memory_bytes: number("limits.memory_mb") as usize * BYTES_PER_MB,
            descriptors: number("limits.descriptors") as usize,
            log_json: settings.text("log.format") != Some("text"),
            log_level: settings.text("log.level").unwrap_or("info").to_owned(),
        }
    }
}
