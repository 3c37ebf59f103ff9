//! The keys that documents of the settings tree may hold.

use crate::rule::{KeyRule, ValueKind};

/// The most machines one placement may hold.
const MAX_REPLICAS: i64 = 10_000;
/// A day: the longest time limit.
const DAY_MS: i64 = 86_400_000;

const fn rule(
    key: &'static str,
    kind: ValueKind,
    default: Option<&'static str>,
    summary: &'static str,
) -> KeyRule {
    KeyRule { key, kind, default, required: false, inherited: true, summary }
}

const fn own(key: &'static str, kind: ValueKind, summary: &'static str) -> KeyRule {
    KeyRule { key, kind, default: None, required: false, inherited: false, summary }
}

const fn integer(minimum: i64, maximum: i64) -> ValueKind {
    ValueKind::Integer { minimum, maximum }
}

/// The rules, in the order of the operators' page.
pub const TREE_RULES: &[KeyRule] = &[
    KeyRule {
        key: "kind",
        kind: ValueKind::Choice(&["group", "service", "tenant", "placement"]),
        default: None,
        required: true,
        inherited: false,
        summary: "what the node stands for",
    },
    rule(
        "service.type",
        ValueKind::Choice(&["model", "plain"]),
        Some("\"model\""),
        "model engine pool or plain service",
    ),
    own("service.model", ValueKind::Text, "model name that callers ask for"),
    rule("service.version", ValueKind::Text, Some("\"1\""), "model version to load"),
    rule("service.adapters", ValueKind::TextList, Some("[]"), "adapters to load"),
    rule("service.repeatable", ValueKind::Boolean, Some("false"), "whether a plain call may be sent again"),
    rule(
        "service.orders_checked",
        ValueKind::Boolean,
        Some("false"),
        "whether the back ends refuse orders of an older epoch",
    ),
    rule(
        "service.idempotency_key",
        ValueKind::Choice(&["required", "optional"]),
        Some("\"optional\""),
        "whether a plain call that may not be repeated must carry a key",
    ),
    rule(
        "service.when_platform_away",
        ValueKind::Choice(&["refuse", "serve"]),
        Some("\"refuse\""),
        "what a keyed call gets while claims cannot be written",
    ),
    rule("service.request_timeout_ms", integer(10, DAY_MS), Some("120000"), "longest whole request"),
    rule(
        "service.first_token_timeout_ms",
        integer(10, DAY_MS),
        Some("30000"),
        "longest wait for an engine's first output before another is tried",
    ),
    rule(
        "service.stall_timeout_ms",
        integer(10, DAY_MS),
        Some("3000"),
        "longest silence of a started stream before another engine is tried",
    ),
    rule("service.max_tokens", integer(1, 1_000_000), Some("4096"), "most tokens one answer may have"),
    rule(
        "tenant.class",
        ValueKind::Choice(&["interactive", "standard", "batch"]),
        Some("\"standard\""),
        "class of requests that name none",
    ),
    rule("tenant.weight", integer(1, 1000), Some("1"), "share of engine work under contention"),
    rule("tenant.tokens_per_second", integer(1, 1_000_000_000), Some("100000"), "token limit over all nodes"),
    rule("tenant.calls_per_second", integer(1, 10_000_000), Some("10000"), "plain-call limit over all nodes"),
    rule("tenant.max_concurrent", integer(1, 1_000_000), Some("1000"), "open requests on one node"),
    rule("tenant.services", ValueKind::TextList, Some("[]"), "names of services the tenant may call"),
    own("tenant.key_digests", ValueKind::DigestList, "digests of the tenant's bearer keys"),
    own("placement.service", ValueKind::Text, "path of the service placed"),
    rule("placement.zones", ValueKind::TextList, Some("[]"), "zones that hold replicas"),
    rule(
        "placement.replicas",
        integer(0, MAX_REPLICAS),
        Some("1"),
        "replicas needed after the largest zone is lost",
    ),
    rule(
        "placement.minimum_on_demand",
        integer(0, MAX_REPLICAS),
        Some("0"),
        "replicas on machines that are not reclaimable",
    ),
    rule("placement.machine_classes", ValueKind::TextList, Some("[]"), "machine classes allowed"),
    rule(
        "routing.policy",
        ValueKind::Choice(&["predicted-wait", "least-requests", "round-robin"]),
        Some("\"predicted-wait\""),
        "how engines are chosen; the last two are baselines for comparison",
    ),
    rule("routing.affinity", ValueKind::Boolean, Some("true"), "whether a session stays on its engine"),
    rule(
        "routing.max_load_skew",
        ValueKind::Number { minimum: 1.0, maximum: 100.0 },
        Some("1.5"),
        "load over the average at which a session leaves its engine",
    ),
    rule("retry.budget_percent", integer(0, 100), Some("20"), "retries allowed, of first attempts"),
    rule("retry.max_attempts", integer(1, 20), Some("4"), "attempts of one repeatable request"),
    rule("queue.max_waiting", integer(0, 1_000_000), Some("512"), "waiting requests on one node"),
    rule(
        "queue.max_engine_requests",
        integer(1, 100_000),
        Some("64"),
        "running and waiting requests sent to one engine",
    ),
    own("operator.key_digests", ValueKind::DigestList, "digests of operator keys bound to this subtree"),
    own("operator.role", ValueKind::Choice(&["edit", "view"]), "what those operators may do"),
];
