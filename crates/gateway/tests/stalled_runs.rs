//! Engines that fall silent while they run items, and cases that only look like it.
//!
//! The failure: an engine fell silent without resetting its connections. Each of its runs ended only after two
//! seconds, and that delayed the whole training step, which lasts as long as its longest item.

mod support;

#[path = "../../http-link/tests/support/silencing_proxy.rs"]
mod silencing_proxy;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use havenstage_clock::Instant;
use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::backend::BackendChange;
use havenstage_rollout::ids::ModelName;
use silencing_proxy::SilencingProxy;
use support::backend::StandInBackend;
use support::caller::{submit, wait_for_results};
use support::deployment::{Deployment, ENGINES, TestNode, listed, wait_until};
use support::dialect::{MODEL, write_batch};

const ENGINE_COUNT: usize = 4;
const ITEMS: usize = 16;
/// Number of events of each item.
const EVENTS: u32 = 60;
/// Pause before each event, as a busy engine makes it.
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Time within which the items of a silent engine must be sent to other engines: half of the two seconds after
/// which runs without events ended before, since a step has less than that to spare.
const MAX_HANDOVER: Duration = Duration::from_millis(1_000);

/// A node and engines behind proxies, with a batch whose items run on all engines.
struct RunningBatch {
    deployment: Deployment,
    engines: Vec<Arc<StandInBackend>>,
    proxies: Vec<SilencingProxy>,
    node: TestNode,
}

impl RunningBatch {
    async fn start() -> Self {
        let deployment = Deployment::start(0, 0).await;
        let (mut engines, mut proxies) = (Vec::new(), Vec::new());
        for at in 0..ENGINE_COUNT {
            let engine = StandInBackend::start(&format!("engine-{at}")).await;
            engine.behave(|behaviour| {
                behaviour.events = EVENTS;
                behaviour.event_pause = EVENT_PAUSE;
            });
            proxies.push(list_through_proxy(&deployment, &engine).await);
            engines.push(engine);
        }
        let node = TestNode::start(&deployment.log, "a").await;
        node.wait_until_known(ENGINE_COUNT).await;
        let running = Self {
            deployment,
            engines,
            proxies,
            node,
        };
        running.submit_batch().await;
        running
    }

    async fn submit_batch(&self) {
        let names: Vec<String> = (0..ITEMS).map(|at| format!("i{at}")).collect();
        let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
        let body = write_batch(1, &items, false);
        assert_eq!(submit(self.node.callers, "batch", &body).await, 202);
        wait_until("items run on all engines", || {
            let mut engines = self.engines.iter();
            engines.all(|engine| !engine.runs().is_empty())
        })
        .await;
        // Each item gets some events, so that the node knows the typical gap between two.
        tokio::time::sleep(10 * EVENT_PAUSE).await;
    }

    /// Makes the open connections to an engine silent; new streams get no events.
    fn silence_engine(&self, at: usize) {
        self.engines[at].behave(|behaviour| behaviour.event_pause = Duration::from_secs(60));
        assert!(self.proxies[at].opened() > 0, "streams use the proxy");
        self.proxies[at].silence();
    }

    /// The items that were sent to engines more than once, and how often each was sent.
    fn sent_again(&self) -> HashMap<String, usize> {
        let mut sent: HashMap<String, usize> = HashMap::new();
        for (item, count) in self.engines.iter().flat_map(|engine| engine.runs()) {
            *sent.entry(item).or_default() += count;
        }
        sent.retain(|_, count| *count > 1);
        sent
    }

    /// Waits for all results and asserts that each item is listed once, with each of its events once and in order.
    async fn assert_results_are_whole(&self) {
        let lines = wait_for_results(self.node.callers, "batch", ITEMS).await;
        assert_eq!(lines.len(), ITEMS, "{lines:?}");
        for line in &lines {
            let item = line.split('|').next().unwrap();
            let output: String = (1..=EVENTS).map(|at| format!("{item}.{at}")).collect();
            let text = line.split('|').nth(2).unwrap().replace('/', "");
            assert_eq!(text, output);
        }
    }
}

async fn list_through_proxy(deployment: &Deployment, engine: &StandInBackend) -> SilencingProxy {
    let proxy = SilencingProxy::start(engine.address).await;
    let DirectoryEntry::Backend(BackendChange { name, record }) = listed(engine, ENGINES, false)
    else {
        unreachable!("a back end's entry")
    };
    let record = record.map(|mut record| {
        record.address = proxy.address;
        record
    });
    let change = BackendChange { name, record };
    deployment
        .log
        .write_backends(DirectoryEntry::Backend(change));
    proxy
}

#[tokio::test]
async fn items_of_a_silent_engine_continue_elsewhere_within_a_second() {
    let running = RunningBatch::start().await;
    let on_silent = running.engines[0].runs().len();
    running.silence_engine(0);
    let began = Instant::now();
    wait_until("its items were sent elsewhere", || {
        running.sent_again().len() >= on_silent
    })
    .await;
    println!("{on_silent} items sent again after {:?}", began.elapsed());
    assert!(began.elapsed() < MAX_HANDOVER, "{:?}", began.elapsed());
    running.assert_results_are_whole().await;
    assert_eq!(
        running.sent_again().len(),
        on_silent,
        "no item of another engine was moved"
    );
}

/// An engine that loads weights by order pauses its streams for longer than the silence timeout of other engines.
#[tokio::test]
async fn items_stay_while_a_load_of_weights_pauses_their_streams() {
    const LOAD: Duration = Duration::from_millis(1_200);
    let running = RunningBatch::start().await;
    for engine in &running.engines {
        engine.behave(|behaviour| behaviour.load_time = LOAD);
    }
    running
        .deployment
        .log
        .write_operators(DirectoryEntry::NamedVersion {
            model: ModelName::from(MODEL),
            version: 2,
        });
    wait_until("an engine loads", || {
        let mut engines = running.engines.iter();
        engines.any(|engine| !engine.orders().is_empty())
    })
    .await;
    running.assert_results_are_whole().await;
    assert_eq!(running.sent_again(), HashMap::new());
}

/// The node's process did not run for a while, so that events that arrived in that time wait to be read.
#[tokio::test]
async fn a_node_that_was_suspended_moves_no_items() {
    let running = RunningBatch::start().await;
    running
        .node
        .block_thread(Duration::from_millis(1_500))
        .await;
    running.assert_results_are_whole().await;
    assert_eq!(running.sent_again(), HashMap::new());
}

/// The node's own network link is cut. All engines are silent then, so moving items would not help.
#[tokio::test]
async fn a_node_without_network_moves_no_items_at_once() {
    let running = RunningBatch::start().await;
    running.proxies.iter().for_each(SilencingProxy::silence);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(running.sent_again(), HashMap::new());
    running.assert_results_are_whole().await;
}

/// An engine that breaks each connection at once never has a running item, and so looks idle. It must not attract
/// items because of that.
#[tokio::test]
async fn an_engine_that_breaks_each_connection_gets_only_probes() {
    /// Slots of an engine, all of which may be taken before the first connection breaks.
    const SLOTS: usize = 8;
    /// Number of probes while the batch runs, when the circuit breaker is open for 250, 500, 1,000 and 2,000 ms.
    const PROBES: usize = 4;
    const MANY_ITEMS: usize = 64;
    let deployment = Deployment::start(3, 0).await;
    for engine in &deployment.engines {
        engine.behave(|behaviour| behaviour.event_pause = Duration::from_millis(100));
    }
    deployment.engines[0].behave(|behaviour| behaviour.breaks_after = Some(0));
    let node = deployment.node("a").await;
    let names: Vec<String> = (0..MANY_ITEMS).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
    let body = write_batch(1, &items, false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_for_results(node.callers, "batch", MANY_ITEMS).await;
    let sent: usize = deployment.engines[0].runs().into_values().sum();
    println!("{sent} items sent to the engine that breaks connections");
    assert!(sent <= SLOTS + PROBES, "{sent}");
}
