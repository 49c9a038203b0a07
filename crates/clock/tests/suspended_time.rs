//! The clock adds what its source tells of suspensions, and never goes back.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use havenstage_clock::{Instant, SourceInUse, replace_source, suspended};

static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

fn source() -> Duration {
    Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

#[tokio::test(start_paused = true)]
async fn suspended_time_counts_and_the_source_is_chosen_once() {
    replace_source(source).unwrap();
    let began = Instant::now();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(began.elapsed(), Duration::from_millis(100));
    let due = began + Duration::from_secs(3);
    SUSPENDED_MS.store(5_000, Ordering::Relaxed);
    assert_eq!(began.elapsed(), Duration::from_millis(5_100));
    assert_eq!(suspended(), Duration::from_secs(5));
    let steady = tokio::time::Instant::now();
    havenstage_clock::sleep_until(due).await;
    assert!(
        steady.elapsed() < Duration::from_millis(5),
        "it was due long ago"
    );
    let passed = havenstage_clock::timeout_at(due, std::future::pending::<()>());
    assert!(passed.await.is_err());
    assert_eq!(replace_source(source), Err(SourceInUse));
}
