//! Quarantine, over several nodes, of parts of prompts under which back ends terminate.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_gateway::call::suspects;
use beamwall_gateway::lost_responses::{LossKind, ResponseLoss};
use beamwall_gateway::ports::DirectorySnapshot;
use beamwall_gateway::quarantine::{Quarantine, TrialPort};
use beamwall_gateway::{Directory, Prompt, PromptPart, RemovalCause};
use beamwall_http::Pool;
use beamwall_model::{BackendId, EngineVersion};
use beamwall_quarantine::limits::{EXPOSURES_KNOWN_AFTER, OUTAGE_WITHIN};
use beamwall_quarantine::{
    Admission, Fingerprint, FingerprintHasher, QuarantineRegistry, Survival, TERMINATIONS_UNTIL_HELD,
};

const DEADLY: u64 = 0xdead;
const SHARED: [u64; 3] = [0xc0ffee, 0xaa01, 0xaa02];
const ENGINES: usize = 40;
/// Terminations after which a part must be held, by the platform's rules.
const TERMINATIONS_ALLOWED: usize = 5;

/// A trial port that grants no trial and counts how many were asked for.
#[derive(Default)]
struct NoTrials {
    asked: AtomicUsize,
}

#[async_trait]
impl TrialPort for NoTrials {
    async fn claim_trial(&self, _: &Fingerprint, _: u32, _: u64) -> bool {
        self.asked.fetch_add(1, Ordering::Relaxed);
        false
    }
}

/// Nodes that tell each other what they see.
struct Fleet {
    nodes: Vec<Arc<Quarantine>>,
    trials: Arc<NoTrials>,
    requests: u64,
}

impl Fleet {
    fn new(nodes: usize) -> Self {
        let backends = (0..ENGINES).map(|number| support::backend(&format!("i-{number}"))).collect();
        let mut directory = Directory::default();
        directory.replace(DirectorySnapshot { revision: 1.into(), backends }, RemovalCause::Gone);
        let directory = Arc::new(ArcSwap::from_pointee(directory));
        let trials: Arc<NoTrials> = Arc::default();
        let node = |_| {
            let registry: Arc<QuarantineRegistry> = Arc::default();
            let pool = Pool::new(Duration::from_millis(400));
            Arc::new(Quarantine::new(registry, pool, directory.clone(), Arc::default(), trials.clone()))
        };
        let nodes = (0..nodes).map(node).collect();
        Self { nodes, trials, requests: 0 }
    }

    /// What may terminate a back end under a request that no other one is like, with these shared parts.
    fn request(&mut self, parts: &[u64]) -> (Vec<Fingerprint>, Prompt) {
        self.requests += 1;
        let own = 0x1_0000_0000 + self.requests;
        let parts = parts.iter().chain([&own]).map(|id| PromptPart { id: *id, tokens: 100 }).collect();
        let prompt = Prompt { prompt_tokens: 100, output_tokens: 10, parts };
        let hasher = FingerprintHasher::new(Some("alder"), "a.example", &self.requests.to_string());
        (suspects(hasher.finish(), Some(&prompt)).collect(), prompt)
    }

    /// A sound request with these parts is answered at a node.
    fn complete(&mut self, node: usize, parts: &[u64]) {
        let (_, prompt) = self.request(parts);
        self.nodes[node].note_parts_completed(prompt.parts.iter().map(|part| part.id), None);
    }

    /// An engine terminates while requests with these parts are open at nodes, and all are told.
    async fn terminate(&mut self, engine: usize, open: &[(usize, &[u64])]) {
        self.terminate_after(Duration::ZERO, engine, open).await;
    }

    /// The same, of requests that were sent so long before.
    async fn terminate_after(&mut self, exposure: Duration, engine: usize, open: &[(usize, &[u64])]) {
        // Two terminations are not at the same millisecond.
        tokio::time::sleep(Duration::from_millis(2)).await;
        let engine = BackendId::new(format!("i-{engine}"));
        for (node, parts) in open {
            let (suspects, _) = self.request(parts);
            let loss = ResponseLoss { kind: LossKind::Closed, exposure };
            self.nodes[*node].note_lost(&suspects, loss, &engine);
            self.nodes[*node].note_terminated(&engine);
        }
        self.exchange();
    }

    /// Passes evidence on until no node has any that it has not sent.
    fn exchange(&self) {
        loop {
            let unsent: Vec<_> = self.nodes.iter().map(|node| node.registry.take_unsent()).collect();
            if unsent.iter().all(beamwall_quarantine::Evidence::is_empty) {
                return;
            }
            for (sender, evidence) in unsent.into_iter().enumerate() {
                for (node, quarantine) in self.nodes.iter().enumerate() {
                    if node != sender {
                        quarantine.merge_evidence(evidence.clone());
                    }
                }
            }
        }
    }

    fn holding(&self, part: u64) -> usize {
        self.nodes.iter().filter(|node| node.is_held(&Fingerprint::of_part(part))).count()
    }
}

fn with(part: u64) -> Vec<u64> {
    let mut parts = SHARED.to_vec();
    parts.insert(1, part);
    parts
}

/// Guards against: each node counts the terminations that it sees itself, and none ever sees enough.
#[tokio::test]
async fn nodes_that_see_one_termination_or_none_hold_the_part_together() {
    for nodes in [3, 18, 295] {
        let mut fleet = Fleet::new(nodes);
        fleet.complete(0, &SHARED);
        let deadly = with(DEADLY);
        for engine in 0..TERMINATIONS_ALLOWED {
            let (node, beside) = (engine % nodes, (engine + 1) % nodes);
            fleet.terminate(engine, &[(node, &deadly), (beside, &SHARED), (beside, &SHARED)]).await;
        }
        assert_eq!(fleet.holding(DEADLY), nodes, "{nodes} nodes");
        assert!(SHARED.iter().all(|part| fleet.holding(*part) == 0), "{nodes} nodes");
    }
}

/// Guards against: sound requests that share all other parts and the caller of a deadly one are refused.
#[tokio::test]
async fn sound_requests_pass_while_the_part_is_held() {
    let mut fleet = Fleet::new(3);
    fleet.complete(0, &SHARED);
    let deadly = with(DEADLY);
    for engine in 0..TERMINATIONS_ALLOWED {
        fleet.terminate(engine, &[(engine % 3, &deadly), (0, &SHARED)]).await;
    }
    for node in 0..3 {
        let (sound, _) = fleet.request(&SHARED);
        assert_eq!(fleet.nodes[node].admit_all(sound.into_iter(), Vec::new).await, Ok(Admission::Normal));
        let (deadly, _) = fleet.request(&deadly);
        let refused =
            fleet.nodes[node].admit_all(deadly.into_iter(), Vec::new).await.expect_err("it is held");
        assert_eq!(refused.held, Fingerprint::of_part(DEADLY));
        assert!(refused.reason().contains("part dead of this prompt"), "{}", refused.reason());
    }
}

/// Guards against: a part that sound requests share is blamed where no node has seen an answer on it before the terminations.
#[tokio::test]
async fn a_part_is_free_at_the_first_answer_on_it() {
    let mut fleet = Fleet::new(3);
    let deadly = with(DEADLY);
    for engine in 0..3 {
        fleet.terminate(engine, &[(engine, &deadly)]).await;
    }
    assert_eq!(fleet.holding(SHARED[0]), 3, "nothing tells the parts apart yet");
    tokio::time::sleep(Duration::from_millis(2)).await;
    fleet.complete(1, &SHARED);
    fleet.exchange();
    assert!(SHARED.iter().all(|part| fleet.holding(*part) == 0));
    assert_eq!(fleet.holding(DEADLY), 3);
}

/// Guards against: nobody can tell how many requests a hold cost that was wrong, or those count that a right one refuses.
#[tokio::test]
async fn requests_refused_for_what_is_freed_later_are_counted() {
    let mut fleet = Fleet::new(3);
    let deadly = with(DEADLY);
    for engine in 0..3 {
        fleet.terminate(engine, &[(engine, &deadly)]).await;
    }
    let refuse_at_first = async |fleet: &mut Fleet, parts: &[u64]| {
        let (suspects, _) = fleet.request(parts);
        assert!(fleet.nodes[0].admit_all(suspects.into_iter(), Vec::new).await.is_err());
    };
    refuse_at_first(&mut fleet, &SHARED).await;
    refuse_at_first(&mut fleet, &[DEADLY]).await;
    assert_eq!(fleet.nodes[0].refused_by_freed_holds(), 0, "nothing is free yet");
    tokio::time::sleep(Duration::from_millis(2)).await;
    fleet.complete(1, &SHARED);
    fleet.exchange();
    refuse_at_first(&mut fleet, &[DEADLY]).await;
    let counted = fleet.nodes.iter().map(|node| node.refused_by_freed_holds());
    assert_eq!(counted.collect::<Vec<_>>(), [1, 0, 0]);
}

/// Guards against: a part is sound for a minute at all nodes, since one of them has seen an engine survive it for longer than
/// another one that was lost.
#[tokio::test]
async fn a_part_whose_terminations_are_disproved_is_held_for_later_ones_that_are_not() {
    let survivals = [Survival::Writing(1_300), Survival::Running(3_300)];
    for (survival, lost_after_ms) in survivals.into_iter().zip([100, 2_100]) {
        let mut fleet = Fleet::new(3);
        let deadly = [DEADLY];
        fleet.terminate_after(Duration::from_millis(lost_after_ms), 0, &[(0, &deadly)]).await;
        tokio::time::sleep(EXPOSURES_KNOWN_AFTER).await;
        let (request, _) = fleet.request(&deadly);
        fleet.nodes[1].note_survival(&request[0], [DEADLY].into_iter(), None, survival);
        fleet.exchange();
        assert!(!fleet.nodes[2].registry.is_suspected(&Fingerprint::of_part(DEADLY)), "it is disproved");
        for engine in 1..=TERMINATIONS_UNTIL_HELD {
            let exposure = Duration::from_millis(survival.time_ms());
            fleet.terminate_after(exposure, engine, &[(engine % 3, &deadly)]).await;
            tokio::time::sleep(OUTAGE_WITHIN).await;
        }
        assert_eq!(fleet.holding(DEADLY), 3, "{survival:?}");
    }
}

/// Guards against: a part passes for a minute since an engine wrote on it for some time, although that engine ended under it.
#[tokio::test]
async fn what_an_engine_wrote_before_it_terminated_proves_nothing() {
    for nodes_that_see in [[0, 0, 0], [0, 1, 2]] {
        let mut fleet = Fleet::new(3);
        let deadly = [DEADLY];
        let (request, _) = fleet.request(&deadly);
        fleet.nodes.iter().for_each(|node| {
            node.note_survival(&request[0], [DEADLY].into_iter(), None, Survival::Writing(1_900));
        });
        for (engine, (node, exposure_ms)) in nodes_that_see.into_iter().zip([1_950, 400, 600]).enumerate() {
            fleet.terminate_after(Duration::from_millis(exposure_ms), engine, &[(node, &deadly)]).await;
        }
        assert_eq!(fleet.holding(DEADLY), 3, "seen by {nodes_that_see:?}");
    }
}

/// Guards against: a request with a held part is refused although back ends of another software version answer on the part, or
/// passes where only back ends of a version serve that terminate under it.
#[tokio::test]
async fn a_held_part_passes_where_a_version_serves_that_answers_on_it() {
    let mut fleet = Fleet::new(3);
    let deadly = [DEADLY];
    for engine in 0..TERMINATIONS_UNTIL_HELD {
        fleet.terminate(engine, &[(engine, &deadly)]).await;
    }
    let (ending, other) = (support::backend("i-0").version, EngineVersion::new("other"));
    let serving = [ending.clone(), other.clone()];
    let admit = async |fleet: &mut Fleet, serving: &[EngineVersion]| {
        let (suspects, _) = fleet.request(&deadly);
        fleet.nodes[2].admit_all(suspects.into_iter(), || serving.to_vec()).await
    };
    assert!(admit(&mut fleet, &serving).await.is_err(), "no version has answered on it");
    tokio::time::sleep(Duration::from_millis(2)).await;
    fleet.nodes[0].note_parts_completed([DEADLY].into_iter(), Some(&other));
    fleet.exchange();
    assert_eq!(fleet.holding(DEADLY), 3);
    assert_eq!(admit(&mut fleet, &serving).await, Ok(Admission::Normal));
    assert!(admit(&mut fleet, &[ending]).await.is_err(), "the other version is gone");
}

/// Guards against: of two deadly parts that share engines, the rare one is never held.
#[tokio::test]
async fn a_rare_deadly_part_is_held_beside_a_frequent_one() {
    let mut fleet = Fleet::new(3);
    fleet.complete(0, &SHARED);
    let (frequent, rare) = (with(DEADLY), with(0xbad));
    fleet.terminate(0, &[(0, &frequent), (1, &rare)]).await;
    for engine in 1..3 {
        fleet.terminate(engine, &[(engine, &frequent)]).await;
    }
    assert_eq!((fleet.holding(DEADLY), fleet.holding(0xbad)), (3, 0));
    for engine in 3..6 {
        fleet.terminate(engine, &[(engine % 3, &rare)]).await;
    }
    assert_eq!((fleet.holding(DEADLY), fleet.holding(0xbad)), (3, 3));
}

/// Guards against: of two deadly parts that are always open together, none is held.
#[tokio::test]
async fn two_deadly_parts_that_share_all_terminations_are_both_held() {
    let mut fleet = Fleet::new(3);
    fleet.complete(0, &SHARED);
    let (one, other) = (with(DEADLY), with(0xbad));
    for engine in 0..3 {
        fleet.terminate(engine, &[(engine, &one), (0, &other)]).await;
    }
    assert_eq!((fleet.holding(DEADLY), fleet.holding(0xbad)), (3, 3));
}

/// Guards against: the trial of a request is spent although a part of its prompt refuses it.
#[tokio::test]
async fn no_trial_is_claimed_for_a_request_that_a_part_refuses() {
    let mut fleet = Fleet::new(1);
    fleet.complete(0, &SHARED);
    let (suspects, _) = fleet.request(&with(DEADLY));
    let node = fleet.nodes[0].clone();
    // The request has been held for so long that a trial is due.
    let long_ago_ms = node.now_ms() - 3_600_000;
    for engine in 0..3 {
        let engine = BackendId::new(format!("i-{engine}"));
        node.registry.note_termination(
            &engine,
            vec![suspects[0]],
            long_ago_ms + engine.as_str().len() as u64,
        );
    }
    for engine in 10..13 {
        fleet.terminate(engine, &[(0, &with(DEADLY))]).await;
    }
    let refused = node.admit_all(suspects.into_iter(), Vec::new).await.expect_err("the part is held");
    assert_eq!(refused.held, Fingerprint::of_part(DEADLY));
    assert_eq!(fleet.trials.asked.load(Ordering::Relaxed), 0);
}

/// Guards against: a request lists so many parts that they displace what is known, or identifiers at the ends of their range.
#[tokio::test]
async fn odd_prompts_are_bounded_and_blame_nobody_else() {
    let mut fleet = Fleet::new(1);
    let many: Vec<u64> = (0..5_000).collect();
    let (suspects, _) = fleet.request(&many);
    assert!(suspects.len() <= 65, "{}", suspects.len());
    for engine in 0..3 {
        fleet.terminate(engine, &[(0, &[0, u64::MAX])]).await;
    }
    assert_eq!((fleet.holding(0), fleet.holding(u64::MAX), fleet.holding(1)), (1, 1, 0));
    let alone = Prompt { parts: vec![PromptPart { id: 0, tokens: 1 }], ..Prompt::default() };
    let (request, _) = fleet.request(&[]);
    let own: Vec<Fingerprint> = suspects_of(request[0], &alone);
    assert_eq!(own, [request[0]], "the last part is the request's own");
}

fn suspects_of(request: Fingerprint, prompt: &Prompt) -> Vec<Fingerprint> {
    suspects(request, Some(prompt)).collect()
}
