//! Restores of a stream's view that lacks dropped records.

mod support;

use std::sync::Arc;
use std::time::Duration;

use havenstage_gateway::context::BACKEND_DIGEST;
use havenstage_gateway::edge::{NodeClock, SharedLog};
use havenstage_gateway::stream_view::StreamView;
use havenstage_rollout::backend_digest::{DigestRecord, DigestState};
use havenstage_rollout::framing;
use havenstage_rollout::stored::Stored;
use support::log::{LogFaults, MemoryLog, NodeLog};
use tokio::sync::Notify;

const RECORD_BYTES: usize = 1_000;
const READ_DELAY: Duration = Duration::from_millis(300);

/// The page in flight starts after the checkpoint, so the view would take the records between them for dropped.
#[tokio::test]
async fn a_restore_during_a_read_does_not_lose_the_records_after_the_checkpoint() {
    let log = NodeLog::new(&MemoryLog::new());
    for term in 1..=3 {
        let records = framing::split(&DigestRecord::Kept { term }.encode(), RECORD_BYTES);
        log.append(BACKEND_DIGEST, records).await.unwrap();
    }
    let clock = NodeClock::start();
    let wakes = Arc::new(Notify::new());
    let view = StreamView::new(BACKEND_DIGEST, DigestState::default(), wakes);
    view.skip_to(1, clock.now());
    view.confirm(log.as_ref(), clock, Duration::ZERO)
        .await
        .unwrap();
    assert!(!view.lock().state.is_complete());
    log.set_faults(LogFaults {
        read_delay: READ_DELAY,
        ..LogFaults::default()
    });
    let restore = async {
        tokio::time::sleep(READ_DELAY / 3).await;
        view.restore(DigestState::default(), 2)
    };
    let read = view.confirm(log.as_ref(), clock, Duration::ZERO);
    let (is_taken, read) = tokio::join!(restore, read);
    read.unwrap();
    assert_eq!(view.lock().state.is_complete(), is_taken);
    log.set_faults(LogFaults::default());
    assert!(view.restore(DigestState::default(), 2) || is_taken);
    view.confirm(log.as_ref(), clock, Duration::ZERO)
        .await
        .unwrap();
    assert!(view.lock().state.is_complete());
    assert_eq!(view.lock().next, 3);
}
