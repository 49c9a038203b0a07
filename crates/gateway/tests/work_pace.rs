//! Repeated work rests for a multiple of the time that it took.

use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_gateway::work_pace::WorkPace;
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn work_rests_for_a_multiple_of_its_duration() {
    let mut pace = WorkPace::new(2);
    assert!(pace.is_due());
    let began = Instant::now();
    advance(Duration::from_millis(30)).await;
    pace.done(began);
    assert_eq!(pace.wait(), Duration::from_millis(60));
    advance(Duration::from_millis(59)).await;
    assert!(!pace.is_due());
    advance(Duration::from_millis(1)).await;
    assert!(pace.is_due());
}

#[tokio::test(start_paused = true)]
async fn work_that_takes_no_time_is_due_again_at_once() {
    let mut pace = WorkPace::new(2);
    pace.done(Instant::now());
    assert!(pace.is_due());
}

/// A machine that is suspended for 20 s during the work continues within a second, not 40 s later.
#[tokio::test(start_paused = true)]
async fn the_rest_after_a_suspension_is_bounded() {
    let mut pace = WorkPace::new(2);
    let began = Instant::now();
    advance(Duration::from_secs(20)).await;
    pace.done(began);
    assert!(pace.wait() <= Duration::from_secs(1), "{:?}", pace.wait());
}
