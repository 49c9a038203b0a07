//! Engines that go dark under streams, and what only looks like it.
//!
//! What happened: an engine fell silent with items on it, without a reset. Each of them was given up after two
//! seconds, and a step that lasts as long as its longest item was late by that.

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
/// Events of each item.
const EVENTS: u32 = 60;
/// Pause before each of them: that of a busy engine.
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// Time after which items of a dark engine must go on elsewhere: half of what it took before, since a step has
/// less than that to spare.
const HAND_OVER: Duration = Duration::from_millis(1_000);

/// A node and engines behind proxies, with a batch whose items run on all of them.
struct Running {
    deployment: Deployment,
    engines: Vec<Arc<StandInBackend>>,
    proxies: Vec<SilencingProxy>,
    node: TestNode,
}

impl Running {
    async fn start() -> Self {
        let deployment = Deployment::start(0, 0).await;
        let (mut engines, mut proxies) = (Vec::new(), Vec::new());
        for at in 0..ENGINE_COUNT {
            let engine = StandInBackend::start(&format!("engine-{at}")).await;
            engine.behave(|told| {
                told.events = EVENTS;
                told.event_pause = EVENT_PAUSE;
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
        running.hand_in_batch().await;
        running
    }

    async fn hand_in_batch(&self) {
        let names: Vec<String> = (0..ITEMS).map(|at| format!("i{at}")).collect();
        let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
        let body = write_batch(1, &items, false);
        assert_eq!(submit(self.node.callers, "batch", &body).await, 202);
        wait_until("items run on all engines", || {
            let mut engines = self.engines.iter();
            engines.all(|engine| !engine.runs().is_empty())
        })
        .await;
        // Some events of each have come, so that the usual gap is known.
        tokio::time::sleep(10 * EVENT_PAUSE).await;
    }

    /// Streams of an engine fall silent, and new ones bring nothing.
    fn darken(&self, at: usize) {
        self.engines[at].behave(|told| told.event_pause = Duration::from_secs(60));
        assert!(self.proxies[at].opened() > 0, "streams come over it");
        self.proxies[at].silence();
    }

    /// How often items were sent to engines, of all that were sent more than once.
    fn sent_again(&self) -> HashMap<String, usize> {
        let mut sent: HashMap<String, usize> = HashMap::new();
        for (item, count) in self.engines.iter().flat_map(|engine| engine.runs()) {
            *sent.entry(item).or_default() += count;
        }
        sent.retain(|_, count| *count > 1);
        sent
    }

    /// Each item is listed once, with each of its events once and in order.
    async fn ends_whole(&self) {
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
async fn items_of_an_engine_that_goes_dark_go_on_elsewhere_within_a_second() {
    let running = Running::start().await;
    let on_dark = running.engines[0].runs().len();
    running.darken(0);
    let began = Instant::now();
    wait_until("its items were sent elsewhere", || {
        running.sent_again().len() >= on_dark
    })
    .await;
    println!("{on_dark} items sent again after {:?}", began.elapsed());
    assert!(began.elapsed() < HAND_OVER, "{:?}", began.elapsed());
    running.ends_whole().await;
    assert_eq!(running.sent_again().len(), on_dark, "no others were moved");
}

/// One engine under an order to load weights: its streams pause for longer than a silence may last elsewhere.
#[tokio::test]
async fn a_load_of_weights_that_pauses_streams_moves_nothing() {
    const LOAD: Duration = Duration::from_millis(1_200);
    let running = Running::start().await;
    for engine in &running.engines {
        engine.behave(|told| told.load_time = LOAD);
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
    running.ends_whole().await;
    assert_eq!(running.sent_again(), HashMap::new());
}

/// The node's processor stood still, or was kept busy: what came meanwhile waits to be read.
#[tokio::test]
async fn a_node_that_stood_still_moves_nothing() {
    let running = Running::start().await;
    running
        .node
        .block_thread(Duration::from_millis(1_500))
        .await;
    running.ends_whole().await;
    assert_eq!(running.sent_again(), HashMap::new());
}

/// The node's own link is cut: all engines are silent, and none is better than another.
#[tokio::test]
async fn a_node_that_is_cut_off_moves_nothing_at_once() {
    let running = Running::start().await;
    running.proxies.iter().for_each(SilencingProxy::silence);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(running.sent_again(), HashMap::new());
    running.ends_whole().await;
}

/// An engine breaks each connection at once, and so looks empty.
#[tokio::test]
async fn an_engine_that_breaks_each_connection_gets_no_more_than_probes() {
    /// Places of an engine, all of which are taken before the first connection breaks.
    const PLACES: usize = 8;
    /// Probes that are due while the batch runs, for 250, 500, 1,000 and 2,000 ms.
    const PROBES: usize = 4;
    const MANY_ITEMS: usize = 64;
    let deployment = Deployment::start(3, 0).await;
    for engine in &deployment.engines {
        engine.behave(|told| told.event_pause = Duration::from_millis(100));
    }
    deployment.engines[0].behave(|told| told.breaks_after = Some(0));
    let node = deployment.node("a").await;
    let names: Vec<String> = (0..MANY_ITEMS).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "g")).collect();
    let body = write_batch(1, &items, false);
    assert_eq!(submit(node.callers, "batch", &body).await, 202);
    wait_for_results(node.callers, "batch", MANY_ITEMS).await;
    let sent: usize = deployment.engines[0].runs().into_values().sum();
    println!("{sent} items sent to the engine that breaks connections");
    assert!(sent <= PLACES + PROBES, "{sent}");
}
