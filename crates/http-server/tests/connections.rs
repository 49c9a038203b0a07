//! Which connection is closed when a listener has too many.

use std::sync::Arc;
use std::time::Duration;

use havenstage_http_server::{ConnectionSlot, Connections};

async fn admit(connections: &Arc<Connections>) -> Option<Arc<ConnectionSlot>> {
    connections.admit().await.map(Arc::new)
}

/// Drops the slot once it is told to close, as the task of a connection does. Completes with the name of the connection.
async fn close_when_told(slot: Arc<ConnectionSlot>, name: &'static str) -> &'static str {
    slot.close().notified().await;
    name
}

/// Admits one connection more while these wait to be told to close; returns which one was closed.
async fn closed_for_a_new_one(
    connections: &Arc<Connections>,
    first: Arc<ConnectionSlot>,
    second: Arc<ConnectionSlot>,
) -> &'static str {
    let closed = async {
        tokio::select! {
            name = close_when_told(first, "first") => name,
            name = close_when_told(second, "second") => name,
        }
    };
    let (admitted, closed) = tokio::join!(admit(connections), closed);
    assert!(admitted.is_some());
    closed
}

#[tokio::test]
async fn the_connection_that_has_waited_the_longest_is_closed() {
    let connections = Connections::new("test", 2);
    let first = admit(&connections).await.unwrap();
    let second = admit(&connections).await.unwrap();
    assert_eq!(
        closed_for_a_new_one(&connections, first, second).await,
        "first"
    );
}

#[tokio::test]
async fn a_connection_on_which_a_body_arrives_is_not_the_first_to_be_closed() {
    let connections = Connections::new("test", 2);
    let first = admit(&connections).await.unwrap();
    let second = admit(&connections).await.unwrap();
    first.record_progress();
    assert_eq!(
        closed_for_a_new_one(&connections, first, second).await,
        "second"
    );
}

#[tokio::test]
async fn a_connection_waits_anew_after_each_answer() {
    let connections = Connections::new("test", 2);
    let first = admit(&connections).await.unwrap();
    let second = admit(&connections).await.unwrap();
    drop(first.begin_request());
    assert_eq!(
        closed_for_a_new_one(&connections, first, second).await,
        "second"
    );
}

#[tokio::test]
async fn a_connection_whose_request_is_answered_is_not_closed() {
    let connections = Connections::new("test", 1);
    let slot = admit(&connections).await.unwrap();
    let (one, other) = (slot.begin_request(), slot.begin_request());
    assert!(admit(&connections).await.is_none());
    drop(one);
    assert!(admit(&connections).await.is_none());
    drop(other);
    let closing = tokio::spawn(close_when_told(slot, "closed"));
    assert!(admit(&connections).await.is_some());
    let closed = tokio::time::timeout(Duration::from_secs(10), closing).await;
    assert_eq!(closed.unwrap().unwrap(), "closed");
}
