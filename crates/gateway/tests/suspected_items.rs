//! A harmful stream is known by all engines that end under it, also by those that it reaches before they are listed.
//!
//! A stream that waits for an engine reaches its next incarnation as soon as that listens: the address and the name are
//! the same, and the entry of the incarnation has not arrived yet. If the end is recorded for the former incarnation,
//! which has ended already, it is lost. Items that start there once the incarnation is listed have the end, no harmful
//! request explains it, and after several such ends harmless items are barred. In the log: `send_broke` of a harmful
//! request with evidence `next_life`, at an incarnation that had ended two seconds before, and `request_barred` lines of
//! several items of one batch.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use havenstage_rollout::backend::BackendRecord;
use support::backend::StandInBackend;
use support::caller::{call, submit, wait_for_results};
use support::deployment::{Deployment, ENGINES, TestNode, entry, record, wait_until};
use support::dialect::write_batch;
use support::ends::{HARMFUL_PATH_PART, MAX_ENDS, end_on_harmful_requests};

/// Number of items of the batch.
const ITEMS: usize = 12;
/// Number of different harmful streams.
const HARMFUL_STREAMS: usize = 8;
/// Pause before each event of an item: an item needs several times as long as a harmful stream needs to end an engine.
const EVENT_PAUSE: Duration = Duration::from_millis(60);
/// Time from the end of an engine until its next incarnation is listed.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Engines that restart after each end until they are told to stop, and all their incarnations.
struct RestartingEngines {
    incarnations: Arc<Mutex<Vec<Arc<StandInBackend>>>>,
    restarts: Vec<tokio::task::JoinHandle<()>>,
}

impl RestartingEngines {
    fn of(deployment: &Deployment) -> Self {
        end_on_harmful_requests(&deployment.engines);
        let incarnations = Arc::new(Mutex::new(deployment.engines.clone()));
        let restarts = deployment.engines.iter().map(|engine| {
            set_pace(engine);
            let (log, engine) = (deployment.log.clone(), engine.clone());
            let incarnations = incarnations.clone();
            tokio::spawn(async move {
                let mut engine = engine;
                for start in 1.. {
                    while !engine.has_ended() {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                    tokio::time::sleep(RESTART_TIME).await;
                    let next = StandInBackend::start_at(&engine.id, engine.address).await;
                    set_pace(&next);
                    end_on_harmful_requests(std::slice::from_ref(&next));
                    incarnations.lock().unwrap().push(next.clone());
                    let record = BackendRecord {
                        started_at: Some(start),
                        ..record(&next, ENGINES)
                    };
                    log.write_backends(entry(&next, record));
                    engine = next;
                }
            })
        });
        Self {
            restarts: restarts.collect(),
            incarnations,
        }
    }

    fn all(&self) -> Vec<Arc<StandInBackend>> {
        self.incarnations.lock().unwrap().clone()
    }

    /// Waits until some engine runs items.
    async fn wait_for_items(&self) {
        wait_until("an engine runs items", || {
            let engines = self.all();
            let mut running = engines.iter().filter(|engine| !engine.has_ended());
            running.any(|engine| engine.in_flight() > 0)
        })
        .await;
    }

    /// Number of engines that a request reached, by its path.
    fn count_reached_by(&self, path: &str) -> usize {
        let engines = self.all();
        let reached = engines
            .iter()
            .filter(|engine| engine.seen().iter().any(|seen| seen.path == path));
        reached.count()
    }
}

impl Drop for RestartingEngines {
    fn drop(&mut self) {
        for restart in &self.restarts {
            restart.abort();
        }
    }
}

fn set_pace(engine: &StandInBackend) {
    engine.behave(|behaviour| behaviour.event_pause = EVENT_PAUSE);
}

async fn submit_items(node: &TestNode) {
    let items: Vec<String> = (0..ITEMS).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = items.iter().map(|item| (item.as_str(), "g")).collect();
    let body = write_batch(1, &items, false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
}

/// When harmful streams are sent.
#[derive(Clone, Copy, PartialEq)]
enum Arrival {
    /// While items run.
    BesideItems,
    /// Soon after an engine ended, so that they wait for it to return.
    BeforeReturn,
}

/// Ends that a node knows of, for each request.
fn known_ends(node: &TestNode) -> Vec<usize> {
    let control = node.context().control.lock();
    let known = control.state.checkpoint(0).crashes;
    known.iter().map(|request| request.ended.len()).collect()
}

/// Sends harmful streams, which are retried, one after the other while engines restart, and checks that all items are
/// completed.
async fn complete_items_beside_harmful_streams(engines: usize, arrival: Arrival) {
    let deployment = Deployment::start(engines, 0).await;
    let engines = RestartingEngines::of(&deployment);
    let node = deployment.node("a").await;
    submit_items(&node).await;
    let mut reached = Vec::new();
    for number in 0..HARMFUL_STREAMS {
        if number == 0 || arrival == Arrival::BesideItems {
            engines.wait_for_items().await;
        }
        let path = format!("/streams/{HARMFUL_PATH_PART}-{number}");
        call(node.callers, &format!("stream-{number}"), &path).await;
        reached.push(engines.count_reached_by(&path));
    }
    let most = reached.iter().copied().max().unwrap_or(0);
    assert!(
        most <= MAX_ENDS,
        "engines ended under the streams: {reached:?}"
    );
    let lines = wait_for_results(node.callers, "batch", ITEMS).await;
    assert!(
        lines.iter().all(|line| line.contains("|completed|")),
        "{lines:?}"
    );
}

#[tokio::test]
async fn a_stream_that_waits_for_an_engine_is_known_by_all_its_ends() {
    let deployment = Deployment::start(1, 0).await;
    let engines = RestartingEngines::of(&deployment);
    let node = deployment.node("a").await;
    let path = format!("/streams/{HARMFUL_PATH_PART}");
    call(node.callers, "stream", &path).await;
    let reached = engines.count_reached_by(&path);
    assert!(reached > 1, "the stream waited for a next incarnation");
    wait_until("the node knows of all ends", || {
        known_ends(&node) == [reached]
    })
    .await;
}

#[tokio::test]
async fn items_on_one_engine_are_completed_beside_harmful_streams() {
    complete_items_beside_harmful_streams(1, Arrival::BesideItems).await;
}

#[tokio::test]
async fn items_on_one_engine_are_completed_although_harmful_streams_wait_for_it() {
    complete_items_beside_harmful_streams(1, Arrival::BeforeReturn).await;
}

#[tokio::test]
async fn items_on_four_engines_are_completed_beside_harmful_streams() {
    complete_items_beside_harmful_streams(4, Arrival::BesideItems).await;
}

#[tokio::test]
async fn items_on_four_engines_are_completed_although_harmful_streams_wait_for_them() {
    complete_items_beside_harmful_streams(4, Arrival::BeforeReturn).await;
}
