//! Thresholds, retention times and size limits of the quarantine.

use std::time::Duration;

/// Back end terminations with the request open after which the request is held. The platform counts
/// attempts that are sent later than its contact time after the third termination. With a threshold of
/// two, one power loss and one crash would hold a harmless request.
pub const TERMINATIONS_UNTIL_HELD: usize = 3;

/// Terminations at which no other held request was open, from which on a held request counts as their
/// clear cause. One of them may be a back end that terminated for another reason.
pub const TERMINATIONS_UNTIL_CLEAR: usize = 2;

/// Time after the last termination for which a request that is not held stays a suspect. It only bounds
/// memory: a request sent fewer than three times within this period terminates fewer back ends than the
/// reclaiming of machines does.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(10 * 60);

/// Time after the last termination or the last trial for which a held request stays held. A request that
/// returns after a week terminates three more back ends before it is held again.
pub const HOLD_RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Delays before the first and the second trial of a request that is the clear cause; there is no third
/// trial. The platform allows three attempts in total to reach back ends; one is left for an attempt
/// that is in progress when the request is held.
pub const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(10 * 60), Duration::from_secs(3_600)];

/// Trial delays of a request in doubt: another held request was open at all of its terminations, so
/// either may be the culprit, or most back ends terminated without any held request. If the request is
/// the culprit, a trial costs one back end for some seconds and the requests it runs; if not, the caller
/// is served again.
pub const TRIAL_DELAYS_IN_DOUBT: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(10 * 60)];

/// Trial delays of a request in doubt whose terminations one outage may explain. The first trial follows soon: back
/// ends that lose their power at once are back after some seconds, and all callers of a shared part of prompts wait for
/// it.
pub const TRIAL_DELAYS_AFTER_OUTAGE: [Duration; 3] =
    [Duration::from_secs(2), Duration::from_secs(10), Duration::from_secs(10 * 60)];

/// Terminations within this time of each other are simultaneous: nodes observe the loss of one rack's power some
/// milliseconds apart. Back ends that one caller's retries terminate one after another are further apart.
pub const SIMULTANEOUS_WITHIN: Duration = Duration::from_millis(100);

/// Exposure from which on a back end has probably survived the beginning of its response, so that its termination is
/// weak evidence.
pub const LATE_EXPOSURE: Duration = Duration::from_secs(2);

/// Time within which terminations after a late exposure may have one cause. A back end that outlives them is known no
/// sooner.
pub const OUTAGE_WITHIN: Duration = SURVIVAL_MARGIN;

/// Time between terminations of one outage, as nodes observe them, where back ends had run the suspect for equally long.
pub const OUTAGE_SKEW: Duration = Duration::from_millis(30);

/// How much longer than a terminated back end another one must survive a suspect to prove that the suspect did not
/// terminate the first: back ends do not take equally long to terminate.
pub const SURVIVAL_MARGIN: Duration = Duration::from_secs(1);

/// Time after a termination from which on the exposures observed by all nodes are known.
pub const EXPOSURES_KNOWN_AFTER: Duration = Duration::from_millis(500);

/// Suspects in the registry. One takes about 300 bytes, so the registry stays below 2 MB. Beyond this
/// limit, the suspects with the fewest terminations are evicted first, and among these the one whose
/// last termination is oldest.
pub const MAX_SUSPECTS: usize = 4_096;

/// Recorded terminations without any known open request: far more than any held request explains.
pub const MAX_UNATTRIBUTED_TERMINATIONS: usize = 1_024;

/// Software versions of which the last completion of a request is remembered; of more, the latest.
pub const MAX_COMPLETED_VERSIONS: usize = 8;

/// Recorded terminations of one request; the latest are kept, and of those at one moment the first, since more do not
/// change the decision.
pub const MAX_TERMINATIONS_PER_REQUEST: usize = 16;
