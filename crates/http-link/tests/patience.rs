//! How long an exchange waits for a quiet server is its own sender's word.
//!
//! What happened: two exchanges waited for the same server, which read a long input and sent nothing for
//! 0.4 s. One was patient for 0.6 s, as its work would be begun anew; the other was an ordinary one, with
//! the usual 0.25 s. After 0.27 s the ordinary one called the server's connections silent, and the
//! patient one, which took its word, was given up in the midst of its work.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use havenstage_http_link::{Answer, Link, LinkError, LinkSettings, SendOptions};
use http::{Request, Response};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Time for which the server sends nothing: more than the usual patience, less than the patient one's.
const QUIET: Duration = Duration::from_millis(400);
/// The same where the server reads for longer than the patient one's patience.
const LONG_QUIET: Duration = Duration::from_millis(900);
/// Patience of the exchange whose work would be begun anew.
const PATIENCE: Duration = Duration::from_millis(600);
/// Time that both have, far longer than the answer takes.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A server that answers each request at once, but those to `/long` and `/longer` after a while.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(|request: Request<hyper::body::Incoming>| async move {
                let pause = match request.uri().path() {
                    "/long" => QUIET,
                    "/longer" => LONG_QUIET,
                    _ => Duration::ZERO,
                };
                tokio::time::sleep(pause).await;
                Ok::<_, std::convert::Infallible>(Response::new(Full::new(Bytes::from("answer"))))
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    address
}

fn request(path: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().unwrap();
    request
}

/// Makes an ordinary exchange and, at the same time, a patient one; answers how the patient one ended.
async fn make_both(ordinary_path: &str, patient_path: &str) -> Result<Answer, LinkError> {
    let settings = LinkSettings {
        connect_timeout: TIMEOUT,
        keep_idle: Duration::from_secs(60),
        max_idle_connections: 16,
    };
    let link = Link::new(start_server().await, settings);
    let opened = join_all((0..2).map(|_| link.send(request("/"), TIMEOUT))).await;
    for answer in opened {
        answer.unwrap().whole(1024).await.unwrap();
    }
    let patient = SendOptions::within(TIMEOUT)
        .min_silence_timeout(PATIENCE)
        .abort_when_silent();
    let ordinary = async {
        let sending = SendOptions::within(TIMEOUT);
        let answer = link.send_as(request(ordinary_path), sending).await;
        answer.unwrap().whole(1024).await.unwrap();
    };
    let (patient, ()) = tokio::join!(link.send_as(request(patient_path), patient), ordinary);
    patient
}

#[tokio::test]
async fn a_patient_exchange_is_not_ended_on_the_word_of_a_less_patient_one() {
    let patient = make_both("/long", "/long").await;
    assert!(patient.is_ok(), "{:?}", patient.err());
}

/// The connection that was called silent brings its answer after 0.4 s. The patient exchange has not
/// waited as long as its sender wants by then, so the word is taken back in time.
#[tokio::test]
async fn a_word_that_turned_out_wrong_ends_no_patient_exchange() {
    let patient = make_both("/long", "/longer").await;
    assert!(patient.is_ok(), "{:?}", patient.err());
}
