//! `Instant` includes the suspended time that its source reports; the source can be replaced only once, before
//! its first use.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use havenstage_clock::{Instant, SourceInUse, replace_source, suspended};

static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

fn source() -> Duration {
    Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

#[tokio::test(start_paused = true)]
async fn elapsed_time_includes_suspended_time_and_the_source_is_replaced_only_once() {
    replace_source(source).unwrap();
    let start = Instant::now();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(start.elapsed(), Duration::from_millis(100));
    let due = start + Duration::from_secs(3);
    SUSPENDED_MS.store(5_000, Ordering::Relaxed);
    assert_eq!(start.elapsed(), Duration::from_millis(5_100));
    assert_eq!(suspended(), Duration::from_secs(5));
    let monotonic = tokio::time::Instant::now();
    havenstage_clock::sleep_until(due).await;
    assert!(
        monotonic.elapsed() < Duration::from_millis(5),
        "the moment had passed during the suspension"
    );
    let timed_out = havenstage_clock::timeout_at(due, std::future::pending::<()>());
    assert!(timed_out.await.is_err());
    assert_eq!(replace_source(source), Err(SourceInUse));
}
