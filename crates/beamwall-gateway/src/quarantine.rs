//! Acts on requests under which back ends end: finds out whether a back end ended whose answer was lost, and lets requests
//! pass or holds them by the [`QuarantineBook`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use beamwall_clock::Throttle;
use beamwall_events::emit;
use beamwall_events::internal_events::{BackendEnded, RequestFreed, RequestHeld, TrialGranted};
use beamwall_http::{Pool, Reachability};
use beamwall_model::BackendId;
use beamwall_quarantine::{Admission, Evidence, Fingerprint, HeldRequest, QuarantineRegistry, RequestStatus};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::fleet_clock::FleetClock;
use crate::losses::{LostAnswers, NextStep};

/// Pauses before each look at whether a back end that lost an answer still takes connections. A process that ends may close
/// its listener some milliseconds after its connections.
const PROBE_PAUSES: [Duration; 3] =
    [Duration::from_millis(5), Duration::from_millis(50), Duration::from_millis(200)];
/// Time between two looks whether it is known that a back end ended.
const PROBE_CHECK_PERIOD: Duration = Duration::from_millis(5);
/// Least time between two questions of this node for trials: each costs two calls to the store.
const TRIAL_QUESTION_PAUSE: Duration = Duration::from_millis(250);
/// When a request may come back whose trial could not be granted now.
const TRIAL_RETRY: Duration = Duration::from_secs(1);

/// Grants trials of held requests.
#[async_trait]
pub trait TrialPort: Send + Sync + 'static {
    /// Takes the right to the trial of this number of a request. Of all nodes and lives of nodes one gets it.
    async fn take(&self, request: &Fingerprint, number: u32, now_ms: u64) -> bool;
}

/// A back end, as far as its end concerns requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedBackend {
    /// Which one.
    pub id: BackendId,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Whether it has announced that it leaves.
    pub is_leaving: bool,
}

/// The back ends that a node knows.
pub trait ListedBackends: Send + Sync + 'static {
    /// One of them; `None` where it is not listed any more.
    fn find(&self, backend: &BackendId) -> Option<ListedBackend>;
}

impl ListedBackends for ArcSwap<Directory> {
    fn find(&self, backend: &BackendId) -> Option<ListedBackend> {
        let directory = self.load();
        let listed = directory.get(backend)?;
        Some(ListedBackend { id: listed.id.clone(), address: listed.address, is_leaving: listed.draining })
    }
}

/// What one node does about requests under which back ends end.
pub struct Quarantine {
    /// What is known of them.
    pub book: Arc<QuarantineRegistry>,
    /// Told when peers should hear what this node saw.
    pub news: Notify,
    losses: LostAnswers,
    pool: Pool,
    backends: Arc<dyn ListedBackends>,
    clock: Arc<FleetClock>,
    trials: Arc<dyn TrialPort>,
    /// When this node may ask for a trial.
    trial_questions: Throttle,
}

impl Quarantine {
    /// What is done at one node.
    pub fn new(
        book: Arc<QuarantineRegistry>,
        pool: Pool,
        backends: Arc<dyn ListedBackends>,
        clock: Arc<FleetClock>,
        trials: Arc<dyn TrialPort>,
    ) -> Self {
        let (news, losses) = (Notify::new(), LostAnswers::default());
        let trial_questions = Throttle::default();
        Self { book, news, losses, pool, backends, clock, trials, trial_questions }
    }

    /// The time by which evidence is told.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Whether a request may be sent.
    pub async fn admit(&self, request: &Fingerprint) -> Result<Admission, HeldRequest> {
        // Nearly all requests pass here, without working out the agreed time of day: that takes longer than all the rest.
        if !self.is_held(request) {
            return Ok(Admission::Normal);
        }
        match self.book.request_status(request, self.now_ms()) {
            RequestStatus::Free => Ok(Admission::Normal),
            RequestStatus::Held { endings, retry_after } => Err(HeldRequest { endings, retry_after }),
            RequestStatus::TrialDue { number, endings, is_in_doubt } => {
                if self.take_trial(request, number).await {
                    return Ok(Admission::Trial);
                }
                Err(HeldRequest { endings, retry_after: is_in_doubt.then_some(TRIAL_RETRY) })
            }
        }
    }

    async fn take_trial(&self, request: &Fingerprint, number: u32) -> bool {
        let now_ms = self.now_ms();
        if !self.trial_questions.admit(TRIAL_QUESTION_PAUSE)
            || !self.trials.take(request, number, now_ms).await
        {
            return false;
        }
        emit(&TrialGranted { fingerprint: request.to_string(), number: number.to_string() });
        self.book.note_trial(request, number, now_ms);
        self.news.notify_one();
        true
    }

    /// Whether a request is held now, so that it is not sent once more.
    pub fn is_held(&self, request: &Fingerprint) -> bool {
        self.book.is_held(request)
    }

    /// Notes that a back end answered a request whole, and so lives.
    pub fn note_completed(&self, request: &Fingerprint) {
        if self.book.is_suspected(request) && self.book.note_completion(request, self.now_ms()) {
            self.tell();
        }
    }

    /// Notes that the answer of a back end to a request was lost: its connection ended, or it fell silent.
    pub fn note_lost(self: &Arc<Self>, request: Fingerprint, backend: &BackendId) {
        // One that has announced that it leaves, or is not listed any more, ends on its own account.
        let Some(listed) = self.backends.find(backend).filter(|listed| !listed.is_leaving) else { return };
        match self.losses.note(backend, request, Instant::now()) {
            NextStep::Count => self.count(backend, vec![request]),
            NextStep::Probe => {
                tokio::spawn(self.clone().probe(listed));
            }
            NextStep::Wait => {}
        }
    }

    /// The same. Of a request against which the end of a back end tells already, it is waited until it is known whether this one
    /// ended too: else the next back end gets it meanwhile.
    pub async fn note_lost_and_wait(self: &Arc<Self>, request: Fingerprint, backend: &BackendId) {
        let is_accused = self.book.is_suspected(&request);
        self.note_lost(request, backend);
        while is_accused && self.losses.is_probed(backend) && !self.is_held(&request) {
            tokio::time::sleep(PROBE_CHECK_PERIOD).await;
        }
    }

    /// Finds out whether a back end that lost an answer has ended: then it refuses connections.
    async fn probe(self: Arc<Self>, backend: ListedBackend) {
        for pause in PROBE_PAUSES {
            tokio::time::sleep(pause).await;
            if self.pool.probe(backend.address).await == Reachability::Refuses {
                self.note_ended(&backend.id);
                break;
            }
        }
        self.losses.end_probe(&backend.id);
    }

    /// Notes that a back end has ended: it refuses connections, or lives again under its name.
    pub fn note_ended(&self, backend: &BackendId) {
        let open = self.losses.end(backend);
        // One that has announced meanwhile that it leaves ends on its own account.
        if self.backends.find(backend).is_some_and(|listed| listed.is_leaving) {
            return;
        }
        if open.is_empty() {
            self.book.note_unattributed_termination(backend, self.now_ms());
        } else {
            self.count(backend, open);
        }
    }

    /// Notes the back ends of an earlier list that live again under their names in a later one.
    pub fn compare_lives(&self, before: &Directory, after: &Directory) {
        // One that has announced that it leaves ends on its own account.
        let ended = before.backends().filter(|known| !known.draining && after.knows_later_life(known));
        for backend in ended {
            self.note_ended(&backend.id);
        }
    }

    /// Waits until this node has seen something that the others have not been told, and gives it.
    pub async fn next_untold(&self) -> Evidence {
        loop {
            self.news.notified().await;
            let untold = self.book.take_unsent();
            if !untold.is_empty() {
                return untold;
            }
        }
    }

    /// Takes what others tell; gives what of it was new here.
    pub fn hear(&self, evidence: Evidence) -> Evidence {
        let new = self.book.merge_evidence(evidence, self.now_ms());
        self.log_changes();
        new
    }

    /// Forgets what is old.
    pub fn forget_old(&self) {
        self.book.remove_expired(self.now_ms());
        self.log_changes();
    }

    fn count(&self, backend: &BackendId, open: Vec<Fingerprint>) {
        let requests: Vec<String> = open.iter().map(Fingerprint::to_string).collect();
        emit(&BackendEnded { backend: backend.to_string(), open: requests.join(",") });
        self.book.note_termination(backend, open, self.now_ms());
        self.tell();
    }

    fn tell(&self) {
        self.log_changes();
        self.news.notify_one();
    }

    /// Logs which requests are held from now on, and which no longer.
    pub fn log_changes(&self) {
        let changes = self.book.take_changes();
        for (request, held) in changes.held {
            emit(&RequestHeld {
                fingerprint: request.to_string(),
                endings: held.endings.to_string(),
                in_doubt: held.is_in_doubt.to_string(),
                trials: held.trials.to_string(),
            });
        }
        for request in changes.freed {
            emit(&RequestFreed { fingerprint: request.to_string() });
        }
    }
}
