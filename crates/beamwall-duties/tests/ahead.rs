//! Capacity orders ahead of need, against a provider that reclaims zones one after another.

use std::time::Duration;

use beamwall_duties::{DemandForecast, OrderTracker, ahead};
use beamwall_engine_model::Workload;
use beamwall_gateway::ports::CapacityOrder;
use beamwall_gateway::scaling::{self, OrderKey, ScalingInputs, SupplyOutlook, ZoneSupply};
use beamwall_gateway::sizing::{AFTER_LOSS_UTILIZATION, Needed, SUBSTITUTE_UTILIZATION, normal_utilization};
use beamwall_model::ServiceName;
use beamwall_policy::ScalingLimits;
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

const ZONES: [&str; 3] = ["a", "b", "c"];
const BOOT_MS: u64 = 4_000;
/// Time between two polls of the duties.
const POLL_MS: u64 = 250;
/// Time between two evaluations without a loss.
const PERIOD_MS: u64 = 500;
/// Time for which none can be had in a zone after a reclaim.
const EXHAUSTED_MS: u64 = 13_000;
/// Time after the first request from which the demand is known.
const WARM_UP_MS: u64 = 5_000;
const RECLAIMABLE_PRICE: f64 = 0.18;
/// Requests a second of one busy back end.
const REQUESTS_PER_BUSY: f64 = 20.0;

fn limits() -> ScalingLimits {
    ScalingLimits {
        minimum: 1,
        maximum: 80,
        boot_ms: BOOT_MS,
        reclaimable_price: Some(RECLAIMABLE_PRICE),
        zone_prices: ZONES.iter().map(|zone| ((*zone).into(), 1.0)).collect(),
    }
}

/// Back ends needed for work measured in busy back ends.
fn needed_for(busy: f64) -> Needed {
    let count = |utilization: f64| (busy / utilization).ceil() as u32;
    let is_enough = |count: &u32| busy <= f64::from(*count) * normal_utilization(*count).prefill;
    Needed {
        usual: (1..).find(is_enough).unwrap_or(1),
        standing_in: count(SUBSTITUTE_UTILIZATION.prefill),
        after_loss: count(AFTER_LOSS_UTILIZATION.prefill),
    }
}

/// A back end of the provider.
#[derive(Debug, Clone)]
struct Engine {
    zone: &'static str,
    reclaimable: bool,
    serves_from: u64,
}

/// How the provider answers calls.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Calls {
    Answered,
    /// The first two calls after the first loss get no answer.
    FirstUnanswered,
}

/// A provider that reclaims each zone of `reclaims` at its time. A back end takes no new requests from the
/// announcement on.
struct Provider {
    engines: Vec<Engine>,
    reclaims: Vec<(&'static str, u64)>,
    calls: Calls,
    calls_after_loss: u32,
    on_demand_orders: Vec<(u64, u32)>,
    cost: f64,
}

impl Provider {
    fn new(found: usize, reclaims: &[(&'static str, u64)], calls: Calls) -> Self {
        let engine = |index: usize| Engine {
            zone: ZONES[index.saturating_sub(1) % ZONES.len()],
            reclaimable: index > 0,
            serves_from: 0,
        };
        Self {
            engines: (0..found).map(engine).collect(),
            reclaims: reclaims.to_vec(),
            calls,
            calls_after_loss: 0,
            on_demand_orders: Vec::new(),
            cost: 0.0,
        }
    }

    fn advance(&mut self, now: u64) {
        for (zone, at) in
            self.reclaims.iter().filter(|(_, at)| *at > now.saturating_sub(POLL_MS) && *at <= now)
        {
            self.engines
                .retain(|engine| engine.zone != *zone || !engine.reclaimable || engine.serves_from > *at);
        }
        let price = |engine: &Engine| if engine.reclaimable { RECLAIMABLE_PRICE } else { 1.0 };
        self.cost += self.engines.iter().map(price).sum::<f64>() * POLL_MS as f64 / 1_000.0;
    }

    fn is_exhausted(&self, zone: &str, now: u64) -> bool {
        self.reclaims.iter().any(|(lost, at)| *lost == zone && (*at..at + EXHAUSTED_MS).contains(&now))
    }

    fn usable(&self, zone: &str, reclaimable: bool, now: u64) -> u32 {
        let is_counted = |engine: &&Engine| {
            engine.zone == zone && engine.reclaimable == reclaimable && engine.serves_from <= now
        };
        self.engines.iter().filter(is_counted).count() as u32
    }

    fn capacity(&self, now: u64) -> f64 {
        self.engines.iter().filter(|engine| engine.serves_from <= now).count() as f64
    }

    /// Places an order; `Err` tells whether none could be had.
    fn order(&mut self, order: &CapacityOrder, now: u64) -> Result<(), bool> {
        let zone = ZONES.into_iter().find(|zone| *zone == order.zone.as_str()).expect("a known zone");
        if self.reclaims.first().is_some_and(|(_, at)| now >= *at) {
            self.calls_after_loss += 1;
            if self.calls == Calls::FirstUnanswered && self.calls_after_loss <= 2 {
                return Err(false);
            }
        }
        let is_counted = |engine: &Engine| engine.zone == zone && engine.reclaimable == order.reclaimable;
        let present = self.engines.iter().filter(|engine| is_counted(engine)).count();
        let wanted = order.wanted as usize;
        if order.reclaimable && wanted > present && self.is_exhausted(zone, now) {
            return Err(true);
        }
        if !order.reclaimable {
            self.on_demand_orders.push((now, order.wanted));
        }
        let added = Engine { zone, reclaimable: order.reclaimable, serves_from: now + BOOT_MS };
        self.engines.extend(std::iter::repeat_n(added, wanted.saturating_sub(present)));
        for _ in wanted..present {
            // The newest goes first.
            let newest = self.engines.iter().rposition(is_counted).expect("one is present");
            self.engines.remove(newest);
        }
        Ok(())
    }
}

/// How orders are planned.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Plan {
    /// By the demand now; nothing is known until the warm-up has passed.
    ByDemand,
    /// Ahead of need.
    Ahead,
    /// Ahead of need, for so many further losses in any case.
    AheadOfLosses(usize),
}

/// One day: the demand in busy back ends by time, and what the provider does.
struct Day<'a> {
    found: usize,
    demand: &'a dyn Fn(u64) -> f64,
    reclaims: &'a [(&'static str, u64)],
    calls: Calls,
    length_ms: u64,
}

/// What a plan made of a day.
struct Outcome {
    provider: Provider,
    /// Times at which the capacity was below the demand.
    short_at: Vec<u64>,
    orders: Vec<(u64, CapacityOrder)>,
}

/// The demand as the lease holder measures it: a moving average of two seconds.
#[derive(Default)]
struct Measured {
    mean: f64,
    decaying: f64,
    planned: f64,
    forecast: DemandForecast,
}

impl Measured {
    fn update(&mut self, arriving: f64, is_ahead: bool, now: Instant, elapsed: u64) {
        let weight = 1.0 - (-(POLL_MS as f64) / 2_000.0).exp();
        self.mean += (arriving - self.mean) * weight;
        self.decaying = self.mean.max(self.decaying * 0.98 + self.mean * 0.02);
        self.planned = self.decaying;
        if is_ahead && elapsed >= WARM_UP_MS {
            let work = Workload { requests: self.mean * REQUESTS_PER_BUSY, ..Workload::default() };
            let age = Duration::from_millis(elapsed);
            let expected = self.forecast.update(work, age, Duration::from_millis(BOOT_MS), now);
            self.planned = self.planned.max(expected.unwrap_or_default().requests / REQUESTS_PER_BUSY);
        }
    }
}

fn play(day: &Day<'_>, plan: Plan) -> Outcome {
    let service: ServiceName = "model".into();
    let limits = limits();
    let begin = Instant::now();
    let mut provider = Provider::new(day.found, day.reclaims, day.calls);
    let mut tracker = OrderTracker::default();
    if plan != Plan::ByDemand {
        tracker = tracker.retrying_unanswered_after(ahead::UNANSWERED_RETRY_DELAY);
    }
    let mut measured = Measured::default();
    let (mut short_at, mut orders, mut usable_before) = (Vec::new(), Vec::new(), [0; 3]);
    for elapsed in (0..day.length_ms).step_by(POLL_MS as usize) {
        let now = begin + Duration::from_millis(elapsed);
        provider.advance(elapsed);
        let demand = (day.demand)(elapsed);
        if provider.capacity(elapsed) < demand {
            short_at.push(elapsed);
        }
        measured.update(demand, plan != Plan::ByDemand, now, elapsed);
        let usable = ZONES.map(|zone| provider.usable(zone, true, elapsed));
        let has_lost = |index: usize| {
            let key = OrderKey::new(&service, &ZONES[index].into(), true);
            ahead::has_lost(&tracker, &key, usable_before[index], usable[index])
        };
        let is_early = plan != Plan::ByDemand && (0..ZONES.len()).any(has_lost);
        if !is_early && !elapsed.is_multiple_of(PERIOD_MS) {
            continue;
        }
        usable_before = usable;
        let floor = if elapsed < WARM_UP_MS { day.found as u32 } else { 0 };
        let known = elapsed.checked_sub(WARM_UP_MS).map(Duration::from_millis);
        let known = known.map(|age| (needed_for(measured.planned), age));
        let needed = match plan {
            Plan::ByDemand => known.map_or_else(Needed::default, |(needed, _)| needed),
            _ => ahead::needs(known, day.found as u32),
        };
        let rounds = if plan == Plan::ByDemand { 1 } else { 2 };
        for round in 1..=rounds {
            let zones = ZONES.map(|zone| supply(zone, &provider, &tracker, plan, elapsed));
            let inputs = ScalingInputs { service: &service, limits: &limits, zones: &zones, needed, floor };
            let due = due(&inputs, plan, &mut tracker, now);
            for order in due {
                orders.push((elapsed, order.clone()));
                match provider.order(&order, elapsed) {
                    Ok(()) => tracker.record_placed(&order, now),
                    Err(is_exhausted) => {
                        tracker.record_failure(&order, is_exhausted, now);
                        if round < rounds {
                            break;
                        }
                    }
                }
            }
        }
    }
    Outcome { provider, short_at, orders }
}

fn supply(zone: &str, provider: &Provider, tracker: &OrderTracker, plan: Plan, now: u64) -> ZoneSupply {
    let key = |reclaimable| OrderKey::new(&"model".into(), &zone.into(), reclaimable);
    let (on_demand, reclaimable) = (provider.usable(zone, false, now), provider.usable(zone, true, now));
    let is_exhausted = match plan {
        Plan::ByDemand => tracker.is_exhausted(&key(true)),
        _ => ahead::is_unavailable(tracker, &key(true), reclaimable),
    };
    ZoneSupply {
        zone: zone.into(),
        on_demand_usable: on_demand,
        reclaimable_usable: reclaimable,
        on_demand_ordered: tracker.last_ordered(&key(false)).unwrap_or(on_demand),
        is_exhausted,
    }
}

fn due(
    inputs: &ScalingInputs<'_>,
    plan: Plan,
    tracker: &mut OrderTracker,
    now: Instant,
) -> Vec<CapacityOrder> {
    let losses = match plan {
        Plan::ByDemand => {
            scaling::note_usable(tracker.placed_mut(), inputs.service, inputs.zones);
            let due = scaling::orders_due(&scaling::plan(inputs), tracker.placed(), inputs, now);
            return due.into_iter().filter(|order| tracker.may_attempt(&OrderKey::of(order), now)).collect();
        }
        Plan::Ahead => ahead::losses_ahead(inputs.zones),
        Plan::AheadOfLosses(losses) => losses,
    };
    let outlook = SupplyOutlook { losses, ..SupplyOutlook::default() };
    ahead::evaluate(inputs, &outlook, tracker, now).due
}

/// Demand that rises 2.4 times over the first seven seconds.
fn rising(elapsed: u64) -> f64 {
    13.0 * (1.0 + 1.4 * (elapsed as f64 / 7_000.0).min(1.0))
}

/// Least cost of a day for a plan that knows it: at each time, the reclaimable back ends that this plan had,
/// and as many on-demand ones as the demand needs at the utilization of substitutes, with their boot time.
fn cost_of_foresight(day: &Day<'_>) -> f64 {
    let is_out = |zone: &str, now: u64| {
        let away = |at: u64| (at..at + EXHAUSTED_MS + BOOT_MS).contains(&now);
        day.reclaims.iter().any(|(lost, at)| *lost == zone && away(*at))
    };
    let per_zone = (day.found as f64 - 1.0) / ZONES.len() as f64;
    let reclaimable = |now: u64| {
        let usual = f64::from(needed_for((day.demand)(now)).usual - 1) / ZONES.len() as f64;
        let ordered = if now < WARM_UP_MS { per_zone } else { usual };
        ZONES.iter().filter(|zone| !is_out(zone, now)).count() as f64 * ordered
    };
    let on_demand = |now: u64| {
        let needed = f64::from(needed_for((day.demand)(now)).standing_in);
        (needed - reclaimable(now)).max(1.0)
    };
    let cost_at = |now: u64| {
        let booting = (now..=now + BOOT_MS).step_by(POLL_MS as usize).map(on_demand).fold(0.0, f64::max);
        (reclaimable(now) * RECLAIMABLE_PRICE + booting) * POLL_MS as f64 / 1_000.0
    };
    (0..day.length_ms).step_by(POLL_MS as usize).map(cost_at).sum()
}

/// Three zones that are reclaimed at shorter intervals than the boot time.
const IN_A_ROW: [(&str, u64); 3] = [("a", 1_500), ("b", 4_600), ("c", 7_500)];
/// Three zones that are reclaimed at longer intervals.
const APART: [(&str, u64); 3] = [("a", 1_500), ("b", 7_500), ("c", 13_500)];
/// Time from a loss to the service of back ends ordered for it, if the call is answered.
const REPLACEMENT_MS: u64 = BOOT_MS + POLL_MS;
/// Cost of a plan that knows the day, to which that of another is compared.
const MAX_COST_RATIO: f64 = 1.25;

fn hard_day<'a>(reclaims: &'a [(&'static str, u64)], calls: Calls) -> Day<'a> {
    Day { found: 61, demand: &rising, reclaims, calls, length_ms: 40_000 }
}

/// Whether a shortage is unavoidable for a plan that is prepared for one further loss: before the first order
/// serves, and if a loss follows another one before the substitutes ordered at that one serve.
fn is_unavoidable(reclaims: &[(&str, u64)], at: u64, delay_ms: u64) -> bool {
    let first = reclaims[0].1;
    let in_first_boot = (first..=first + REPLACEMENT_MS + delay_ms).contains(&at);
    let between = |pair: &[(&str, u64)]| (pair[1].1..=pair[0].1 + REPLACEMENT_MS).contains(&at);
    in_first_boot || reclaims.windows(2).any(between)
}

/// Guards against: a zone is reclaimed 1.5 s after the first request, and substitutes are ordered only when
/// the demand is known, seconds later.
#[test]
fn substitutes_are_ordered_in_the_evaluation_that_notices_the_loss() {
    for lost_at in [1_500, 1_600, 2_749, 9_010] {
        let reclaims = [("a", lost_at)];
        let outcome = play(&hard_day(&reclaims, Calls::Answered), Plan::Ahead);
        let is_substitute =
            |(at, order): &&(u64, CapacityOrder)| *at >= lost_at && !order.reclaimable && order.wanted > 1;
        let (at, _) = outcome.orders.iter().find(is_substitute).expect("substitutes are ordered");
        assert!(*at < lost_at + POLL_MS, "lost at {lost_at} ms, ordered at {at} ms");
    }
}

/// Guards against: zones are reclaimed six seconds apart from the first second on, none can be had for 13 s,
/// and the demand rises 2.4 times over the first seven seconds.
#[test]
fn losses_further_apart_than_the_boot_time_leave_no_shortage() {
    for calls in [Calls::Answered, Calls::FirstUnanswered] {
        let outcome = play(&hard_day(&APART, calls), Plan::Ahead);
        assert_eq!(outcome.short_at, [] as [u64; 0], "{calls:?}: {:?}", outcome.orders);
    }
    assert!(!play(&hard_day(&APART, Calls::Answered), Plan::ByDemand).short_at.is_empty(), "the day is hard");
}

/// Guards against: zones are reclaimed three seconds apart while the demand rises 2.4 times, also with calls
/// that get no answer.
#[test]
fn losses_in_a_row_are_short_only_until_the_orders_for_the_one_before_serve() {
    let retry_ms = ahead::UNANSWERED_RETRY_DELAY.as_millis() as u64;
    for (calls, delay_ms) in [(Calls::Answered, 0), (Calls::FirstUnanswered, retry_ms)] {
        let outcome = play(&hard_day(&IN_A_ROW, calls), Plan::Ahead);
        let avoidable = |at: &&u64| !is_unavoidable(&IN_A_ROW, **at, delay_ms);
        let short: Vec<&u64> = outcome.short_at.iter().filter(avoidable).collect();
        assert!(short.is_empty(), "{calls:?}: short at {short:?}: {:?}", outcome.orders);
        let by_demand = play(&hard_day(&IN_A_ROW, calls), Plan::ByDemand);
        assert!(outcome.short_at.len() * 2 < by_demand.short_at.len(), "less than half of the shortage");
    }
}

/// Weighs substitutes for one further loss against those for two: the latter leave no shortage after the
/// first boot. Both cost at most a quarter more than a plan that knows the day.
#[test]
fn plans_for_losses_in_a_row_cost_little_more_than_one_that_knows_the_day() {
    let day = hard_day(&IN_A_ROW, Calls::Answered);
    for plan in [Plan::Ahead, Plan::AheadOfLosses(2)] {
        let cost = play(&day, plan).provider.cost;
        let ratio = cost / cost_of_foresight(&day);
        assert!(ratio <= MAX_COST_RATIO, "{plan:?}: {ratio}");
    }
    let outcome = play(&day, Plan::AheadOfLosses(2));
    let after_first_boot = IN_A_ROW[0].1 + REPLACEMENT_MS;
    assert!(outcome.short_at.iter().all(|at| *at <= after_first_boot), "{:?}", outcome.short_at);
}

/// Guards against: substitutes are released when reclaimable back ends are ordered and before they serve, or
/// are kept after that.
#[test]
fn substitutes_leave_when_reclaimable_back_ends_serve() {
    let outcome = play(&hard_day(&IN_A_ROW, Calls::Answered), Plan::Ahead);
    let end = 40_000;
    let on_demand: u32 = ZONES.iter().map(|zone| outcome.provider.usable(zone, false, end)).sum();
    assert_eq!(on_demand, 1, "only the base is left: {:?}", outcome.provider.on_demand_orders);
    let last = outcome.provider.on_demand_orders.last().expect("orders were placed").0;
    let all_can_be_had = IN_A_ROW[2].1 + EXHAUSTED_MS;
    // An order is attempted again every three seconds, and its back ends boot.
    assert!(last <= all_can_be_had + 3_000 + REPLACEMENT_MS + PERIOD_MS, "released at {last} ms");
}

/// Guards against: during a shortage, the demand fluctuates by a few percent, and each fluctuation is an order.
#[test]
fn a_fluctuating_demand_causes_few_orders() {
    let demand = |elapsed: u64| 28.0 * (1.0 + 0.04 * (elapsed as f64 / 700.0).sin());
    let reclaims = [("a", 6_000), ("b", 12_000)];
    let day =
        Day { found: 61, demand: &demand, reclaims: &reclaims, calls: Calls::Answered, length_ms: 30_000 };
    let outcome = play(&day, Plan::Ahead);
    let settled = 14_000..18_000;
    let orders = outcome.provider.on_demand_orders.iter().filter(|(at, _)| settled.contains(at)).count();
    assert!(orders <= ZONES.len(), "{:?}", outcome.provider.on_demand_orders);
}

/// Guards against: other orders than without the setting on days without a loss, for any load that the back
/// ends found at the start can handle.
#[test]
fn a_quiet_day_has_the_same_orders() {
    on_seeds(200, |random| {
        let busy = f64::from(random.int_in_range(1..=40_u32)?);
        let found = needed_for(busy * 1.2).usual as usize + random.int_in_range(0..=10_usize)?;
        let noise: Vec<f64> =
            (0..81).map(|_| random_noise(random)).collect::<arbtest::arbitrary::Result<_>>()?;
        // Arrivals of one poll vary with the square root of their number.
        let arrivals = busy * REQUESTS_PER_BUSY * POLL_MS as f64 / 1_000.0;
        let demand = |elapsed: u64| {
            let deviation = noise[(elapsed / POLL_MS) as usize] / arrivals.sqrt();
            busy * (1.0 + deviation).max(0.0)
        };
        let day = Day { found, demand: &demand, reclaims: &[], calls: Calls::Answered, length_ms: 20_000 };
        let (before, ahead) = (play(&day, Plan::ByDemand), play(&day, Plan::Ahead));
        assert_eq!(before.orders, ahead.orders);
        Ok(())
    });
}

/// A number of variance one, evenly distributed.
fn random_noise(random: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<f64> {
    Ok((f64::from(random.int_in_range(0..=2_000_u32)?) / 1_000.0 - 1.0) * 3.0_f64.sqrt())
}

/// Guards against: the lease moves during a shortage, and the new holder releases substitutes that boot.
#[test]
fn a_new_lease_holder_keeps_substitutes() {
    let provider = Provider::new(61, &[("a", 0)], Calls::Answered);
    let service: ServiceName = "model".into();
    let limits = limits();
    let now = Instant::now();
    let mut tracker = OrderTracker::default();
    for _ in 0..2 {
        for order in evaluate_loss(&provider, &service, &limits, &mut tracker, Needed::of_found(61), now) {
            let is_lost = order.reclaimable && order.zone.as_str() == "a";
            if is_lost {
                tracker.record_failure(&order, true, now);
            } else {
                tracker.record_placed(&order, now);
            }
        }
    }
    let later = now + Duration::from_secs(1);
    let mut restored = OrderTracker::restore(tracker.to_saved(), later);
    for needed in [Needed::of_found(61), Needed::of_found(30)] {
        let due = evaluate_loss(&provider, &service, &limits, &mut restored, needed, later);
        assert!(due.iter().all(|order| order.reclaimable), "{due:?}");
    }
}

/// The orders due while zone `a` has no reclaimable back ends.
fn evaluate_loss(
    provider: &Provider,
    service: &ServiceName,
    limits: &ScalingLimits,
    tracker: &mut OrderTracker,
    needed: Needed,
    now: Instant,
) -> Vec<CapacityOrder> {
    let mut zones = ZONES.map(|zone| supply(zone, provider, tracker, Plan::Ahead, 0));
    zones[0].reclaimable_usable = 0;
    let inputs = ScalingInputs { service, limits, zones: &zones, needed, floor: 0 };
    ahead::evaluate(&inputs, &SupplyOutlook::default(), tracker, now).due
}
