//! Tests of the admission queue: class order, tenant weights, queue limit, deadlines and cancelled waiters.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use beamwall_model::{ServiceClass, TenantName};
use beamwall_routing::admission::{AdmissionError, AdmissionQueue, AdmissionRequest};
use tokio::time::Instant;

fn request(tenant: &str, weight: u32, class: ServiceClass, tokens: u32) -> AdmissionRequest {
    AdmissionRequest {
        tenant: TenantName::new(tenant),
        weight,
        class,
        tokens,
        deadline: Instant::now() + Duration::from_secs(30),
    }
}

/// Queues all requests while the only slot is taken, then releases it; returns the order of admission.
async fn admission_order(
    queue: &Arc<AdmissionQueue>,
    requests: Vec<(String, AdmissionRequest)>,
) -> Vec<String> {
    let first =
        queue.admit(&request("blocker", 1, ServiceClass::Interactive, 1), 10_000).await.expect("free");
    let order = Arc::new(Mutex::new(Vec::new()));
    let count = requests.len();
    let mut tasks = Vec::new();
    for (name, request) in requests {
        let (waiting, order) = (queue.clone(), order.clone());
        let before = queue.depth().1;
        tasks.push(tokio::spawn(async move {
            let permit = waiting.admit(&request, 10_000).await.expect("admitted");
            order.lock().expect("lock").push(name);
            drop(permit);
        }));
        while queue.depth().1 == before {
            tokio::task::yield_now().await;
        }
    }
    assert_eq!(queue.depth(), (1, count));
    drop(first);
    for task in tasks {
        task.await.expect("no panic");
    }
    assert_eq!(queue.depth(), (0, 0));
    order.lock().expect("lock").clone()
}

#[tokio::test]
async fn urgent_classes_go_first() {
    let queue = AdmissionQueue::new(1);
    let classes = [ServiceClass::Batch, ServiceClass::Standard, ServiceClass::Interactive];
    let requests = (0..9).map(|number| {
        let class = classes[number % 3];
        (class.to_string(), request("t", 1, class, 10))
    });
    let order = admission_order(&queue, requests.collect()).await;
    assert_eq!(order[..3], ["interactive", "interactive", "interactive"]);
    assert_eq!(order[6..], ["batch", "batch", "batch"]);
}

#[tokio::test]
async fn tenants_share_by_weight_on_tokens_of_work() {
    let queue = AdmissionQueue::new(1);
    let mut requests = Vec::new();
    // A request of `heavy` has four times the work of a `light` one; the weight of `heavy` is twice that of
    // `light`.
    for _ in 0..40 {
        requests.push(("heavy".to_owned(), request("heavy", 2, ServiceClass::Standard, 400)));
        for _ in 0..4 {
            requests.push(("light".to_owned(), request("light", 1, ServiceClass::Standard, 100)));
        }
    }
    let order = admission_order(&queue, requests).await;
    let mut work: BTreeMap<&str, u32> = BTreeMap::new();
    for name in &order[..60] {
        *work.entry(name.as_str()).or_default() += if name == "heavy" { 400 } else { 100 };
    }
    let ratio = f64::from(work["heavy"]) / f64::from(work["light"]);
    assert!((1.6..=2.4).contains(&ratio), "work ratio {ratio}, weights 2 to 1");
}

#[tokio::test]
async fn a_flooding_tenant_does_not_starve_another() {
    let queue = AdmissionQueue::new(1);
    let mut requests: Vec<_> =
        (0..200).map(|_| ("flood".to_owned(), request("flood", 1, ServiceClass::Standard, 100))).collect();
    requests.push(("quiet".to_owned(), request("quiet", 1, ServiceClass::Standard, 100)));
    let order = admission_order(&queue, requests).await;
    let position = order.iter().position(|name| name == "quiet").expect("served");
    assert!(position <= 2, "the quiet tenant was served as number {position}");
}

#[tokio::test]
async fn a_full_queue_and_a_deadline_that_cannot_be_met_are_refused_at_once() {
    let queue = AdmissionQueue::new(1);
    let _held = queue.admit(&request("a", 1, ServiceClass::Standard, 1), 1).await.expect("free");
    let called_at = Instant::now();
    let soon = AdmissionRequest {
        deadline: called_at + Duration::from_millis(1),
        ..request("a", 1, ServiceClass::Standard, 1)
    };
    assert!(matches!(queue.admit(&soon, 1).await, Err(AdmissionError::TooLate(_))));
    let waiting = queue.clone();
    let task =
        tokio::spawn(
            async move { waiting.admit(&request("a", 1, ServiceClass::Standard, 1), 1).await.map(drop) },
        );
    while queue.depth().1 == 0 {
        tokio::task::yield_now().await;
    }
    let refused = queue.admit(&request("a", 1, ServiceClass::Standard, 1), 1).await.expect_err("full");
    assert!(matches!(refused, AdmissionError::QueueFull(_)));
    assert!(refused.retry_after() > Duration::ZERO);
    task.abort();
}

#[tokio::test]
async fn a_cancelled_waiter_releases_its_queue_slot() {
    let queue = AdmissionQueue::new(1);
    let held = queue.admit(&request("a", 1, ServiceClass::Standard, 1), 10).await.expect("free");
    for _ in 0..20 {
        let waiting = queue.clone();
        let task = tokio::spawn(async move {
            waiting.admit(&request("b", 1, ServiceClass::Standard, 1), 10).await.map(drop)
        });
        while queue.depth().1 == 0 {
            tokio::task::yield_now().await;
        }
        task.abort();
        let _ = task.await;
    }
    assert_eq!(queue.depth(), (1, 0));
    drop(held);
    assert_eq!(queue.depth(), (0, 0));
    queue.admit(&request("c", 1, ServiceClass::Standard, 1), 10).await.expect("the slot is free again");
}
