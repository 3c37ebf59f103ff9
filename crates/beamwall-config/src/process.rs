//! The settings of one node process, read from a TOML file and checked whole before start.

use std::net::SocketAddr;
use std::time::Duration;

use beamwall_model::{NodeId, ZoneName};

use crate::document::Settings;
use crate::fault::Faults;
use crate::keys::KeyDigest;
use crate::rule::{KeyRule, ValueKind, integer, optional, required};

/// The keys of a node's settings file.
pub const PROCESS_RULES: &[KeyRule] = &[
    required("node.name", ValueKind::Text, "name of the node, unique in the deployment"),
    required("node.zone", ValueKind::Text, "zone the node runs in"),
    optional("node.threads", integer(1, 256), "2", "worker threads"),
    required("listen.callers", ValueKind::Address, "address for callers"),
    required("listen.operators", ValueKind::Address, "address for operators, health and metrics"),
    required("listen.peers", ValueKind::Address, "address for other nodes"),
    optional("peers.seeds", ValueKind::AddressList, "[]", "peer addresses tried at start"),
    required("platform.address", ValueKind::Address, "address of the object API"),
    optional(
        "platform.calls_per_second",
        integer(1, 10_000),
        "30",
        "calls this node may make to the object API",
    ),
    optional(
        "platform.writes_per_second",
        integer(1, 1_000_000),
        "80",
        "most writes one node may make to the object API; nodes find their part by its refusals",
    ),
    optional("platform.timeout_ms", integer(10, 60_000), "1000", "longest call to the object API"),
    optional(
        "operators.key_digests",
        ValueKind::DigestList,
        "[]",
        "digests of operator keys for the whole tree, for the first edit",
    ),
    required("cloud.address", ValueKind::Address, "address of the cloud API and machine list"),
    optional("limits.max_body_bytes", integer(1024, 1 << 30), "4194304", "largest request body"),
    optional(
        "limits.body_read_ms",
        integer(100, 600_000),
        "10000",
        "longest time a caller may take to send a body",
    ),
    optional(
        "limits.drain_ms",
        integer(0, 3_600_000),
        "25000",
        "longest time open requests get after SIGTERM",
    ),
    optional("log.format", ValueKind::Choice(&["json", "text"]), "\"json\"", "form of log lines"),
    optional(
        "log.level",
        ValueKind::Choice(&["error", "warn", "info", "debug"]),
        "\"info\"",
        "least urgent level logged",
    ),
];

/// The settings of one node process.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// The node's name.
    pub node: NodeId,
    /// The node's zone.
    pub zone: ZoneName,
    /// Worker threads.
    pub threads: usize,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Peer addresses tried at start.
    pub seeds: Vec<SocketAddr>,
    /// The object API.
    pub platform: SocketAddr,
    /// Calls this node may make to the object API.
    pub platform_calls_per_second: u32,
    /// Most writes this node may make to the object API; its part is found by refusals.
    pub platform_writes_per_second: u32,
    /// Longest call to the object API.
    pub platform_timeout: Duration,
    /// The cloud API and the machine list.
    pub cloud: SocketAddr,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Longest time a caller may take to send a body.
    pub body_read_limit: Duration,
    /// Longest time open requests get after SIGTERM.
    pub drain_limit: Duration,
    /// Digests of operator keys for the whole tree, needed before the tree holds any.
    pub operator_keys: Vec<KeyDigest>,
    /// Whether log lines are JSON.
    pub log_json: bool,
    /// Least urgent level logged.
    pub log_level: String,
}

impl ProcessSettings {
    /// Reads the text of a settings file, reporting every fault at once.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let settings = Settings::parse(file, text, PROCESS_RULES)?;
        let mut faults = Faults::default();
        let listeners = ["listen.callers", "listen.operators", "listen.peers"];
        settings.check_distinct_addresses(file, &listeners, &mut faults);
        faults.into_result(())?;
        Ok(Self::read(&settings))
    }

    fn read(settings: &Settings) -> Self {
        let number = |key| settings.number_or_default(key, PROCESS_RULES) as u64;
        Self {
            node: NodeId::new(settings.text("node.name").unwrap_or_default()),
            zone: ZoneName::new(settings.text("node.zone").unwrap_or_default()),
            threads: number("node.threads") as usize,
            callers: settings.address("listen.callers"),
            operators: settings.address("listen.operators"),
            peers: settings.address("listen.peers"),
            seeds: settings.list("peers.seeds").iter().filter_map(|text| text.parse().ok()).collect(),
            platform: settings.address("platform.address"),
            platform_calls_per_second: number("platform.calls_per_second") as u32,
            platform_writes_per_second: number("platform.writes_per_second") as u32,
            platform_timeout: Duration::from_millis(number("platform.timeout_ms")),
            cloud: settings.address("cloud.address"),
            max_body_bytes: number("limits.max_body_bytes") as usize,
            body_read_limit: Duration::from_millis(number("limits.body_read_ms")),
            drain_limit: Duration::from_millis(number("limits.drain_ms")),
            operator_keys: settings
                .list("operators.key_digests")
                .iter()
                .filter_map(|text| KeyDigest::from_hex(text))
                .collect(),
            log_json: settings.text("log.format") != Some("text"),
            log_level: settings.text("log.level").unwrap_or("info").to_owned(),
        }
    }
}
