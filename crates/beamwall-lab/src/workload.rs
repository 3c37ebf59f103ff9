//! The workloads of both fleets: what their callers ask for, when, and with which prompts.
//!
//! A seed fixes every item. Arrivals are open-loop with exponential gaps: a slow answer does not
//! slow the callers down. docs/LAB.md gives the mix and its source.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Which fleet's workload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fleet {
    /// Three studios on one platform.
    PuzzleWorld,
    /// The co-op of fitters.
    Kaveri,
}

/// One kind of request of a fleet.
#[derive(Debug, Clone, Copy)]
struct Kind {
    label: &'static str,
    /// Parts of a hundred.
    share: u32,
    tenants: &'static [&'static str],
    shape: Shape,
}

#[derive(Debug, Clone, Copy)]
enum Shape {
    Model { class: &'static str, sessions: u32, shared_bytes: usize, own_bytes: usize, tokens: (u32, u32) },
    Call { path: &'static str, keyed: bool },
}

const STUDIOS: &[&str] = &["alder", "birch", "cedar"];
const BRANCHES: &[&str] = &["ernakulam", "aluva", "kalamassery"];

const PUZZLE_WORLD: &[Kind] = &[
    Kind {
        label: "hint",
        share: 50,
        tenants: STUDIOS,
        shape: Shape::Model {
            class: "interactive",
            sessions: 120,
            shared_bytes: 6_000,
            own_bytes: 1_200,
            tokens: (24, 60),
        },
    },
    Kind {
        label: "letter",
        share: 4,
        tenants: &["parent-letters"],
        shape: Shape::Model {
            class: "standard",
            sessions: 0,
            shared_bytes: 2_000,
            own_bytes: 4_000,
            tokens: (150, 300),
        },
    },
    Kind {
        label: "draft",
        share: 2,
        tenants: &["teacher-drafts"],
        shape: Shape::Model {
            class: "batch",
            sessions: 0,
            shared_bytes: 2_000,
            own_bytes: 2_000,
            tokens: (300, 600),
        },
    },
    Kind { label: "save", share: 34, tenants: STUDIOS, shape: Shape::Call { path: "saves", keyed: false } },
    Kind { label: "badge", share: 10, tenants: STUDIOS, shape: Shape::Call { path: "badges", keyed: true } },
];

const KAVERI: &[Kind] = &[
    Kind {
        label: "counter-chat",
        share: 40,
        tenants: BRANCHES,
        shape: Shape::Model {
            class: "interactive",
            sessions: 60,
            shared_bytes: 4_000,
            own_bytes: 800,
            tokens: (20, 50),
        },
    },
    Kind {
        label: "service-history",
        share: 6,
        tenants: &["warranty"],
        shape: Shape::Model {
            class: "standard",
            sessions: 30,
            shared_bytes: 1_000,
            own_bytes: 24_000,
            tokens: (120, 240),
        },
    },
    Kind {
        label: "transfer-note",
        share: 8,
        tenants: BRANCHES,
        shape: Shape::Model {
            class: "standard",
            sessions: 0,
            shared_bytes: 1_500,
            own_bytes: 1_000,
            tokens: (60, 120),
        },
    },
    Kind {
        label: "booking",
        share: 30,
        tenants: BRANCHES,
        shape: Shape::Call { path: "bookings", keyed: true },
    },
    Kind {
        label: "payment",
        share: 16,
        tenants: &["payments"],
        shape: Shape::Call { path: "payments", keyed: true },
    },
];

/// One request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// When, from the start of the run.
    pub at: Duration,
    /// Number in the run.
    pub number: usize,
    /// Kind of request, for reports.
    pub label: &'static str,
    /// Who sends it.
    pub tenant: &'static str,
    /// What it is.
    pub work: Work,
}

/// What a request is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// A model request.
    Model {
        /// Class.
        class: &'static str,
        /// Session key; empty for none.
        session: String,
        /// Prompt.
        prompt: String,
        /// Tokens wanted.
        max_tokens: u32,
    },
    /// A plain call.
    Call {
        /// Path below the service.
        path: &'static str,
        /// Idempotency key; empty for none.
        key: String,
    },
}

impl Fleet {
    /// The fleet of a deployment directory, by its name.
    pub fn of_directory(name: &str) -> Self {
        if name.contains("kaveri") { Self::Kaveri } else { Self::PuzzleWorld }
    }

    fn kinds(self) -> &'static [Kind] {
        match self {
            Self::PuzzleWorld => PUZZLE_WORLD,
            Self::Kaveri => KAVERI,
        }
    }

    /// Service names: model and plain.
    pub fn services(self) -> (&'static str, &'static str) {
        match self {
            Self::PuzzleWorld => ("puzzle-helper", "game"),
            Self::Kaveri => ("fitter-assistant", "bookings"),
        }
    }

    /// The items of a run.
    pub fn items(self, seed: u64, rate: f64, length: Duration) -> Vec<Item> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut items = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - random.random::<f64>()).ln() / rate;
            if at >= length.as_secs_f64() {
                return items;
            }
            items.push(self.item(&mut random, Duration::from_secs_f64(at), items.len(), seed));
        }
    }

    fn item(self, random: &mut StdRng, at: Duration, number: usize, seed: u64) -> Item {
        let mut drawn = random.random_range(0..100);
        let kinds = self.kinds();
        let position = kinds.iter().position(|kind| {
            let hit = drawn < kind.share;
            drawn = drawn.saturating_sub(kind.share);
            hit
        });
        let kind = kinds[position.unwrap_or(0)];
        let tenant = kind.tenants[random.random_range(0..kind.tenants.len())];
        let work = match kind.shape {
            Shape::Model { class, sessions, shared_bytes, own_bytes, tokens } => {
                let session = if sessions > 0 { random.random_range(0..sessions) } else { 0 };
                let shared = repeat(&format!("{} rules ", kind.label), shared_bytes);
                let own_seed = if sessions > 0 {
                    format!("{tenant} session {session} ")
                } else {
                    format!("item {number} ")
                };
                let own = repeat(&own_seed, own_bytes);
                Work::Model {
                    class,
                    session: if sessions > 0 {
                        format!("{tenant}-{}-{session}", kind.label)
                    } else {
                        String::new()
                    },
                    prompt: format!("{shared}{own}turn {number} of seed {seed}"),
                    max_tokens: random.random_range(tokens.0..=tokens.1),
                }
            }
            Shape::Call { path, keyed } => {
                Work::Call { path, key: if keyed { format!("key-{seed}-{number}") } else { String::new() } }
            }
        };
        Item { at, number, label: kind.label, tenant, work }
    }
}

fn repeat(text: &str, bytes: usize) -> String {
    text.chars().cycle().take(bytes).collect()
}
