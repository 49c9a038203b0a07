//! A loopback proxy that can silence all connections that are currently open, without a reset: it discards what the
//! client writes to them and sends nothing back. New connections work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A running proxy in front of one server.
pub struct SilencingProxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    opened: Arc<AtomicUsize>,
    silences: watch::Sender<u32>,
}

impl SilencingProxy {
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let silences = watch::Sender::new(0);
        let opened = Arc::new(AtomicUsize::new(0));
        tokio::spawn(accept(listener, server, opened.clone(), silences.clone()));
        Self {
            address,
            opened,
            silences,
        }
    }

    /// Silences all currently open connections permanently.
    pub fn silence(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Number of connections that clients have opened so far.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }
}

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    opened: Arc<AtomicUsize>,
    silences: watch::Sender<u32>,
) {
    while let Ok((client, _)) = listener.accept().await {
        opened.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(relay(client, server, silences.subscribe()));
    }
}

async fn relay(mut client: TcpStream, server: SocketAddr, mut silences: watch::Receiver<u32>) {
    let Ok(mut upstream) = TcpStream::connect(server).await else {
        return;
    };
    // Without this option connections have a higher latency, but work.
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut upstream) => return,
        _ = silences.changed() => {}
    }
    // Discards what the client sends, and keeps the connection to the server open until the client closes.
    let mut discarded = [0; 4096];
    while matches!(client.read(&mut discarded).await, Ok(count) if count > 0) {}
    let _ = upstream.shutdown().await;
}
