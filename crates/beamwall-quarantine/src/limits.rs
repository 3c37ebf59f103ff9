//! How much it takes to hold a request, and for how long it is held.

use std::time::Duration;

/// Back ends that must have ended under a request before it is held. The platform counts what is sent later than its contact time
/// after the third; with two, one loss of power and one crash would hold a request that did no harm.
pub const TERMINATIONS_UNTIL_HELD: usize = 3;

/// Ends of back ends at which a held request was without any other held one, from which on it is clear that it ends them. One may be
/// a back end that ended for another reason.
pub const TERMINATIONS_UNTIL_CLEAR: usize = 2;

/// Time after its last end of a back end for which a request that is not held stays under suspicion. It bounds memory only: a
/// request that is sent less often than three times in this time ends fewer back ends than reclaimed machines do.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(10 * 60);

/// Time after its last end of a back end, or its last trial, for which a held request stays held. A request that comes again
/// after a week ends three more back ends before it is held anew.
pub const HOLD_RETENTION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Pauses before the first and the second trial of a request whose case is clear; after that there is none. The platform allows
/// three tries to reach back ends in all; one is left for a try that is under way when the request is held.
pub const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(10 * 60), Duration::from_secs(3_600)];

/// The same for a request in doubt: it shares all its ends of back ends with another held one, so that either may be the culprit,
/// or most back ends ended without any held request. A trial costs a back end for some seconds and what it runs, if the request is the culprit, and serves its caller again,
/// if it is not.
pub const TRIAL_DELAYS_IN_DOUBT: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(10 * 60)];

/// Requests that are kept in the book. One takes some 300 bytes, so the book stays below 2 MB. Of more, those with the
/// fewest ends of back ends go first, then those whose last one is longest ago.
pub const MAX_SUSPECTS: usize = 4_096;

/// Ends of back ends that are kept of which no request is known: far more than any held request explains.
pub const MAX_UNATTRIBUTED_TERMINATIONS: usize = 1_024;

/// Ends of back ends that are kept of one request: the latest. More say no more.
pub const MAX_TERMINATIONS_PER_REQUEST: usize = 16;
