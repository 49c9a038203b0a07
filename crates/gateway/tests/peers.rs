//! A question about a batch that reaches a node which does not run the batch is passed to the batch owner.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havenstage_clock::Instant;
use havenstage_gateway::edge::DirectoryEntry;
use havenstage_rollout::access::Tenant;
use havenstage_rollout::ids::{ApiKey, BatchId, ItemId, RegionName, TenantName, ZoneName};
use havenstage_rollout::peer_message::{PeerAnswer, PeerQuestion, PeerRefusal, PeerRequest};
use havenstage_rollout::record::BatchRecord;
use havenstage_rollout::residency::Residency;
use havenstage_rollout::stored::Stored;
use http::Method;
use support::caller::{results, send, text, wait_for_results};
use support::deployment::{Deployment, TestNode, routing, wait_until};
use support::dialect::write_batch;
use support::log::{LogFaults, NodeLog};
use support::peers::{
    address_of, ask, peer_node, peer_settings, records_read, request, results_from, send_bytes,
    submit_to_owner, wait_until_owner_known,
};

const ITEMS: [(&str, &str); 4] = [("i1", "g1"), ("i2", "g1"), ("i3", "g2"), ("i4", "g2")];
/// Time beyond the requested wait after which a caller leaves.
const CALLER_GRACE: Duration = Duration::from_millis(1_500);
/// Longest wait that a caller is granted.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

fn batch() -> String {
    write_batch(1, &ITEMS, false)
}

/// A node that runs a batch, and another node that knows the owner. The engine pauses before each event.
async fn owner_and_reader(event_pause: Duration) -> (Deployment, TestNode, TestNode) {
    let deployment = Deployment::start(1, 0).await;
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = event_pause);
    let owner = peer_node(&deployment, "owner").await;
    submit_to_owner(&owner, "batch", &batch()).await;
    let reader = peer_node(&deployment, "reader").await;
    wait_until_owner_known(&reader, &owner, "batch").await;
    (deployment, owner, reader)
}

/// Reads results once with the longest wait; returns the status and the number of result lines.
async fn read_once(node: &TestNode, from: usize) -> (u16, usize) {
    let path = format!("/results/batch?from={from}");
    let answer = send(node.callers, Method::GET, &path, &[("x-wait", "1000")], "").await;
    let answer = answer.unwrap();
    let lines = text(&answer).lines().skip(1).count();
    (answer.status.as_u16(), lines)
}

/// Pause before each event that is longer than any test.
const LONG_PAUSE: Duration = Duration::from_secs(60);

#[tokio::test]
async fn a_node_that_does_not_run_a_batch_answers_about_it_without_reading_it() {
    let (deployment, owner, reader) = owner_and_reader(Duration::from_millis(100)).await;
    let lines = wait_for_results(reader.callers, "batch", ITEMS.len()).await;
    assert_eq!(lines, results(owner.callers, "batch", 0).await.1);
    assert_eq!(results(reader.callers, "batch", 3).await.1, lines[3..]);
    let partition = reader.context().partition_of(&BatchId::from("batch")).id;
    assert!(deployment.log.bytes_of(partition) > 0);
    assert_eq!(records_read(&reader, "batch"), 0);
}

#[tokio::test]
async fn empty_results_and_item_bodies_come_from_the_owner() {
    let (_deployment, _owner, reader) = owner_and_reader(LONG_PAUSE).await;
    let began = Instant::now();
    assert_eq!(read_once(&reader, 0).await, (200, 0));
    assert!(began.elapsed() >= MAX_WAIT);
    let path = "/results/batch?item=i2";
    let body = send(reader.callers, Method::GET, path, &[], "").await;
    let body = body.unwrap();
    assert_eq!(
        (body.status.as_u16(), text(&body).as_str()),
        (200, "body of i2")
    );
    assert_eq!(records_read(&reader, "batch"), 0);
}

/// Only the log can tell that an item does not exist.
#[tokio::test]
async fn an_item_that_the_owner_does_not_know_is_looked_up_in_the_log() {
    let (_deployment, _owner, reader) = owner_and_reader(LONG_PAUSE).await;
    let path = "/results/batch?item=unknown";
    let body = send(reader.callers, Method::GET, path, &[], "").await;
    assert_eq!(body.unwrap().status, 404);
    assert!(records_read(&reader, "batch") > 0);
}

#[tokio::test]
async fn a_read_is_answered_though_the_owner_it_waits_for_dies() {
    let (_deployment, mut owner, reader) = owner_and_reader(LONG_PAUSE).await;
    let began = Instant::now();
    let read = read_once(&reader, 0);
    let kill = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        owner.kill();
    };
    let (read, ()) = tokio::join!(read, kill);
    assert_eq!(read, (200, 0));
    assert!(began.elapsed() < MAX_WAIT + CALLER_GRACE);
    assert!(records_read(&reader, "batch") > 0, "the log was read");
}

#[tokio::test]
async fn a_silent_owner_delays_reads_only_briefly() {
    let (_deployment, owner, reader) = owner_and_reader(LONG_PAUSE).await;
    owner.block_thread(Duration::from_secs(4)).await;
    for _ in 0..2 {
        let began = Instant::now();
        assert_eq!(results(reader.callers, "batch", 0).await, (200, Vec::new()));
        assert!(began.elapsed() < CALLER_GRACE);
    }
    assert!(records_read(&reader, "batch") > 0, "the log was read");
}

#[tokio::test]
async fn an_owner_that_cannot_confirm_its_knowledge_declines() {
    let (_deployment, owner, _reader) = owner_and_reader(LONG_PAUSE).await;
    owner.set_faults(LogFaults {
        reads_hang: true,
        ..LogFaults::default()
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answer = ask(&owner, &request(&owner, "batch", results_from(0, 100))).await;
    assert_eq!(answer, PeerAnswer::Declined(PeerRefusal::NotConfirmed));
}

/// The owner must not let the asking node wait, as that node may still reach the log.
#[tokio::test]
async fn an_owner_that_has_lost_the_log_declines_at_once() {
    let (_deployment, owner, _reader) = owner_and_reader(LONG_PAUSE).await;
    owner.set_faults(LogFaults {
        is_cut: true,
        ..LogFaults::default()
    });
    wait_until("the owner has lost the log", || {
        owner.context().contact_age() >= 2_500
    })
    .await;
    let began = Instant::now();
    let answer = ask(&owner, &request(&owner, "batch", results_from(0, 1_000))).await;
    assert_eq!(answer, PeerAnswer::Declined(PeerRefusal::NotConfirmed));
    assert!(began.elapsed() < MAX_WAIT / 2);
}

#[tokio::test]
async fn a_node_that_lost_a_batch_does_not_answer_about_it() {
    let (deployment, owner, _reader) = owner_and_reader(LONG_PAUSE).await;
    let id = BatchId::from("batch");
    let partition = owner.context().partition_of(&id).id;
    let mut rival = owner.context().node.clone();
    rival.life = rival.life.wrapping_add(1);
    let term = owner
        .context()
        .partition_of(&id)
        .lock()
        .state
        .batch(&id)
        .unwrap()
        .lease
        .term()
        + 1;
    let claimed = BatchRecord::Claimed {
        batch: id.clone(),
        term,
        owner: rival,
    };
    let claimed = havenstage_rollout::framing::split(&claimed.encode(), 512);
    let writer = NodeLog::new(&deployment.log);
    havenstage_gateway::edge::SharedLog::append(writer.as_ref(), partition, claimed)
        .await
        .unwrap();
    wait_until("the batch is lost", || !owner.context().holds(&id)).await;
    let answer = ask(&owner, &request(&owner, "batch", results_from(0, 0))).await;
    assert_eq!(answer, PeerAnswer::Declined(PeerRefusal::NotHere));
}

#[tokio::test]
async fn a_question_for_another_node_is_declined() {
    let (_deployment, owner, reader) = owner_and_reader(LONG_PAUSE).await;
    let meant_for_another = request(&reader, "batch", results_from(0, 0));
    let answer = ask(&owner, &meant_for_another).await;
    assert_eq!(answer, PeerAnswer::Declined(PeerRefusal::OtherLife));
}

#[tokio::test]
async fn a_node_that_the_log_rejects_reads_and_ends_a_batch_through_its_owner() {
    let (_deployment, owner, reader) = owner_and_reader(Duration::from_millis(100)).await;
    reader.set_faults(LogFaults {
        refuses_reads: true,
        refuses_appends: true,
        ..LogFaults::default()
    });
    wait_until("the reader has lost the log", || {
        !reader.context().control.is_current(reader.context().now())
    })
    .await;
    let lines = wait_for_results(reader.callers, "batch", ITEMS.len()).await;
    assert_eq!(lines, results(owner.callers, "batch", 0).await.1);
    let end = send(reader.callers, Method::DELETE, "/results/batch", &[], "").await;
    assert_eq!(end.unwrap().status, 200);
    let has_ended = || {
        let id = BatchId::from("batch");
        let inner = owner.context().partition_of(&id).lock();
        inner.state.batch(&id).is_some_and(|batch| batch.ended)
    };
    wait_until("the owner has read the end", has_ended).await;
}

#[tokio::test]
async fn an_end_that_neither_node_can_append_is_refused() {
    let (_deployment, owner, reader) = owner_and_reader(LONG_PAUSE).await;
    for node in [&owner, &reader] {
        node.set_faults(LogFaults {
            refuses_appends: true,
            ..LogFaults::default()
        });
    }
    let end = send(reader.callers, Method::DELETE, "/results/batch", &[], "").await;
    assert_eq!(end.unwrap().status, 503);
}

fn tenant(name: &str, key: &str) -> Tenant {
    Tenant {
        name: TenantName::from(name),
        keys: vec![ApiKey::from(key.to_owned())],
        priority: None,
        residency: Residency::anywhere(),
    }
}

#[tokio::test]
async fn a_batch_is_visible_only_to_its_own_tenant() {
    let deployment = Deployment::start(1, 0).await;
    let mut config = routing(2);
    config.tenants = vec![tenant("water", "k1"), tenant("fire", "k2")];
    deployment
        .log
        .write_operators(DirectoryEntry::Routing(config));
    let owner = peer_node(&deployment, "owner").await;
    let headers = [("x-id", "batch"), ("x-key", "k1")];
    let submitted = send(owner.callers, Method::POST, "/batches/b", &headers, batch()).await;
    assert_eq!(submitted.unwrap().status, 202);
    let id = BatchId::from("batch");
    wait_until("the node runs the batch", || owner.context().holds(&id)).await;
    let reader = peer_node(&deployment, "reader").await;
    wait_until_owner_known(&reader, &owner, "batch").await;

    let read = async |key| {
        let path = "/results/batch?from=0";
        let headers = [("x-wait", "1000"), ("x-key", key)];
        let answer = send(reader.callers, Method::GET, path, &headers, "").await;
        answer.unwrap().status.as_u16()
    };
    assert_eq!(read("k1").await, 200);
    assert_eq!(records_read(&reader, "batch"), 0);
    assert_eq!(read("k2").await, 404);
    let others = PeerRequest {
        tenants: vec![TenantName::from("fire")],
        ..request(&owner, "batch", results_from(0, 0))
    };
    for question in [
        results_from(0, 0),
        PeerQuestion::ItemBody {
            item: ItemId::from("i1"),
        },
        PeerQuestion::End,
    ] {
        let others = PeerRequest {
            question,
            ..others.clone()
        };
        let answer = ask(&owner, &others).await;
        assert_eq!(answer, PeerAnswer::Declined(PeerRefusal::NotHere));
    }
}

#[tokio::test]
async fn an_owner_sends_data_only_to_allowed_regions() {
    let deployment = Deployment::start(1, 0).await;
    let mut config = routing(2);
    for route in &mut config.routes {
        route.residency = Residency::of([RegionName::from("north")]);
    }
    deployment
        .log
        .write_operators(DirectoryEntry::Routing(config));
    let mut settings = peer_settings("owner");
    settings.regions = [("zone", "north"), ("far", "south")]
        .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
        .into();
    let owner = TestNode::start_with_settings(NodeLog::new(&deployment.log), settings).await;
    owner.wait_until_known(1).await;
    submit_to_owner(&owner, "batch", &batch()).await;
    let near = request(&owner, "batch", results_from(0, 0));
    assert!(matches!(
        ask(&owner, &near).await,
        PeerAnswer::Answered { .. }
    ));
    for zone in ["far", "unknown"] {
        let far = PeerRequest {
            zone: ZoneName::from(zone),
            ..near.clone()
        };
        let answer = ask(&owner, &far).await;
        assert_eq!(answer, PeerAnswer::Declined(PeerRefusal::Region), "{zone}");
    }
}

/// Owners of an older version announce no address.
#[tokio::test]
async fn a_batch_of_an_owner_without_an_address_is_read_from_the_log() {
    let deployment = Deployment::start(1, 0).await;
    let owner = deployment.node("owner").await;
    submit_to_owner(&owner, "batch", &batch()).await;
    let reader = peer_node(&deployment, "reader").await;
    wait_for_results(reader.callers, "batch", ITEMS.len()).await;
    assert!(records_read(&reader, "batch") > 0);
}

#[tokio::test]
async fn questions_that_cannot_be_decoded_are_declined() {
    let (_deployment, owner, _reader) = owner_and_reader(LONG_PAUSE).await;
    let whole = request(&owner, "batch", results_from(0, 0)).encode();
    // The byte of the question's kind precedes its two numbers, of one byte each.
    let mut unknown_kind = whole.clone();
    let kind_at = unknown_kind.len() - 3;
    unknown_kind[kind_at] = 99;
    for body in [&b""[..], &whole[..whole.len() - 1], &unknown_kind] {
        let body = Bytes::copy_from_slice(body);
        let answer = send_bytes(address_of(&owner), "/batch-question", body).await;
        let answer = PeerAnswer::decode(&answer.body).unwrap();
        assert_eq!(answer, PeerAnswer::Declined(PeerRefusal::Unreadable));
    }
    let too_long = Bytes::from(vec![0; 64 * 1024]);
    let answer = send_bytes(address_of(&owner), "/batch-question", too_long).await;
    assert_eq!(answer.status, 413);
    let elsewhere = send_bytes(address_of(&owner), "/elsewhere", Bytes::new()).await;
    assert_eq!(elsewhere.status, 404);
}

#[tokio::test]
async fn an_overloaded_owner_declines_and_readers_use_the_log() {
    // More than the 64 questions that an owner answers at a time.
    const QUESTIONS: usize = 80;
    // The read below must be made while the owner holds them.
    const HELD_MS: u64 = 3_000;
    let (_deployment, owner, reader) = owner_and_reader(LONG_PAUSE).await;
    let owner = Arc::new(owner);
    let waiting: Vec<_> = (0..QUESTIONS)
        .map(|_| {
            let owner = owner.clone();
            tokio::spawn(async move {
                let question = request(&owner, "batch", results_from(0, HELD_MS));
                ask(&owner, &question).await
            })
        })
        .collect();
    // Questions are declined at once, so the owner holds as many as it can when the others are.
    wait_until("the owner declines questions", || {
        let declined = waiting.iter().filter(|question| question.is_finished());
        declined.count() == QUESTIONS - 64
    })
    .await;
    assert_eq!(results(reader.callers, "batch", 0).await, (200, Vec::new()));
    assert!(records_read(&reader, "batch") > 0, "the log was read");
    let mut declined = 0;
    for answer in waiting {
        match answer.await.unwrap() {
            PeerAnswer::Declined(PeerRefusal::Overloaded) => declined += 1,
            answer => assert!(matches!(answer, PeerAnswer::Answered { .. }), "{answer:?}"),
        }
    }
    assert_eq!(declined, QUESTIONS - 64);
}

/// A trainer's read waits at a node that has not read the batch and whose link to the log is slow. If the node asks the
/// owner, the read is answered as soon as an item has ended.
#[tokio::test]
async fn waiting_readers_get_an_item_as_soon_as_it_has_ended() {
    const READERS: usize = 6;
    const ROUND_TRIP: Duration = Duration::from_millis(150);
    let with_peers = longest_delay(READERS, ROUND_TRIP, true).await;
    let without = longest_delay(READERS, ROUND_TRIP, false).await;
    println!(
        "from an item's end to the last answer: {with_peers:?} with peers, {without:?} without"
    );
    assert!(with_peers < ROUND_TRIP, "{with_peers:?}");
    assert!(without >= ROUND_TRIP, "{without:?}");
}

/// Longest time from the end of an item to the answer of a reader at another node that waited for it.
async fn longest_delay(count: usize, read_delay: Duration, has_peers: bool) -> Duration {
    let deployment = Deployment::start(1, 0).await;
    deployment.engines[0].behave(|behaviour| behaviour.event_pause = Duration::from_millis(500));
    let node = async |name: &str| match has_peers {
        true => peer_node(&deployment, name).await,
        false => deployment.node(name).await,
    };
    let owner = node("owner").await;
    let mut readers = Vec::new();
    for at in 0..count {
        readers.push(node(&format!("reader-{at}")).await);
    }
    let id = BatchId::from("batch");
    submit_to_owner(&owner, "batch", &write_batch(1, &[("i1", "g")], false)).await;
    for reader in &readers {
        reader.set_faults(LogFaults {
            read_delay,
            ..LogFaults::default()
        });
        if has_peers {
            wait_until_owner_known(reader, &owner, "batch").await;
        }
    }
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let reads = readers.iter().map(|reader| async {
        loop {
            match read_once(reader, 0).await {
                (200, 0) => {}
                (200, 1) => return Instant::now(),
                other => panic!("{other:?}"),
            }
        }
    });
    let answered = futures::future::join_all(reads).await;
    let partition = owner.context().partition_of(&id).id;
    let ended = *deployment.log.times(partition).last().unwrap();
    let delays = answered.iter();
    let delays = delays.map(|at| at.saturating_duration_since(ended));
    delays.max().unwrap()
}
