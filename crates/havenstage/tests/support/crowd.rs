//! Crowds of clients that misuse the limits of a server: each member sends a request, stays until the server closes its
//! connection or answers, and comes back until the crowd is told to leave.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Far longer than any step takes; reached only if something never happens.
const NEVER: Duration = Duration::from_secs(60);
/// Interval at which a member that waits checks whether the crowd leaves.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before a member connects again.
const RETURN_PAUSE: Duration = Duration::from_millis(50);
/// Bytes that a member writes at a time.
const WRITE_BYTES: usize = 64 * 1024;
/// Statuses that state that a request was not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Number in the id of the next request; no two requests of a process have the same.
static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// How the body of a request is sent.
#[derive(Debug, Clone, Copy)]
pub enum Framing {
    /// With a length.
    Length,
    /// In chunks of this many bytes.
    Chunks(usize),
}

/// Where a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The request is whole.
    Nowhere,
    /// The body stops one byte, or one last chunk, before its end.
    InBody,
    /// The head stops before its last line break.
    InHead,
    /// Nothing follows the announced length.
    BeforeBody,
}

/// The request that each member of a crowd sends.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Method and path.
    pub first_line: &'static str,
    /// Value of the `host` header.
    pub host: &'static str,
    /// Name of the header with the request's id.
    pub id_header: &'static str,
    /// Further header lines, each with its line break.
    pub headers: String,
    /// Text before the filling of the body.
    pub prefix: &'static str,
    /// Text that fills the body.
    pub filling: &'static str,
    /// Text after the filling of the body.
    pub suffix: &'static str,
    /// Length of the body in bytes.
    pub body_bytes: usize,
    /// How the body is sent.
    pub framing: Framing,
    /// Where the request ends.
    pub end: End,
}

impl Shape {
    /// The request with this id, up to where it ends.
    pub fn request(&self, id: &str) -> Vec<u8> {
        [self.head(id), self.sent_body()].concat()
    }

    fn head(&self, id: &str) -> Vec<u8> {
        let Self {
            first_line,
            host,
            id_header,
            headers,
            ..
        } = self;
        let length = match self.framing {
            Framing::Length => format!("content-length: {}", self.body_bytes),
            Framing::Chunks(_) => "transfer-encoding: chunked".to_owned(),
        };
        let mut head = format!(
            "{first_line} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n{id_header}: {id}\r\n{headers}{length}\r\n\r\n"
        );
        if self.end == End::InHead {
            head.truncate(head.len() - 2);
        }
        head.into_bytes()
    }

    fn body(&self) -> Vec<u8> {
        let mut body = Vec::with_capacity(self.body_bytes);
        body.extend_from_slice(self.prefix.as_bytes());
        let filled = self.body_bytes.saturating_sub(self.suffix.len());
        while body.len() + self.filling.len() <= filled {
            body.extend_from_slice(self.filling.as_bytes());
        }
        // White space ends any body without changing what it says.
        body.resize(filled, b' ');
        body.extend_from_slice(self.suffix.as_bytes());
        body
    }

    /// The body as it is sent, up to where the request ends.
    fn sent_body(&self) -> Vec<u8> {
        if matches!(self.end, End::InHead | End::BeforeBody) {
            return Vec::new();
        }
        let body = self.body();
        let is_whole = self.end == End::Nowhere;
        match self.framing {
            Framing::Length if is_whole => body,
            Framing::Length => body[..body.len() - 1].to_vec(),
            Framing::Chunks(size) => {
                let mut sent = Vec::new();
                for chunk in body.chunks(size) {
                    sent.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    sent.extend_from_slice(chunk);
                    sent.extend_from_slice(b"\r\n");
                }
                if is_whole {
                    sent.extend_from_slice(b"0\r\n\r\n");
                }
                sent
            }
        }
    }
}

/// What the members of a crowd share.
#[derive(Debug, Default)]
struct Shared {
    leaves: AtomicBool,
    /// Members that have sent their first request, or as much of it as the server took.
    arrived: AtomicUsize,
    /// Ids of the requests to which the server answered that they were not run.
    not_run: Mutex<Vec<String>>,
    /// Statuses of all answers.
    statuses: Mutex<Vec<u16>>,
}

/// A crowd of clients, each with one connection at a time.
#[derive(Debug)]
pub struct Crowd {
    shared: Arc<Shared>,
    members: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts the members and waits until each has sent its first request, as far as the server takes it.
    pub fn arrive(address: SocketAddr, count: usize, shape: Shape) -> Self {
        let shared = Arc::new(Shared::default());
        let body: Arc<[u8]> = shape.sent_body().into();
        let members = (0..count).map(|_| {
            let (shared, shape, body) = (shared.clone(), shape.clone(), body.clone());
            std::thread::spawn(move || attend(address, &shape, &body, &shared))
        });
        let crowd = Self {
            members: members.collect(),
            shared,
        };
        for _ in 0..NEVER.as_millis() / POLL_INTERVAL.as_millis() {
            if crowd.shared.arrived.load(Ordering::Relaxed) >= count {
                return crowd;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        // The server takes no more from them, which is as far as they come.
        crowd
    }

    /// Ends all members. Returns the ids of the requests that the server declared as not run, and all statuses that it
    /// answered.
    pub fn leave(self) -> (Vec<String>, Vec<u16>) {
        self.shared.leaves.store(true, Ordering::Relaxed);
        for member in self.members {
            member.join().expect("a member does not panic");
        }
        let not_run = std::mem::take(&mut *self.shared.not_run.lock().unwrap());
        let statuses = std::mem::take(&mut *self.shared.statuses.lock().unwrap());
        (not_run, statuses)
    }
}

fn attend(address: SocketAddr, shape: &Shape, body: &[u8], shared: &Shared) {
    let mut is_first = true;
    while !shared.leaves.load(Ordering::Relaxed) {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("crowd-{number}");
        if let Ok(mut stream) = TcpStream::connect_timeout(&address, NEVER) {
            let taken = send(&mut stream, &shape.head(&id), body, shared);
            if std::mem::take(&mut is_first) {
                shared.arrived.fetch_add(1, Ordering::Relaxed);
            }
            if taken.is_ok() {
                let answer = read_until_closed(&mut stream, shared);
                record_answer(&answer, id, shared);
            }
        }
        std::thread::sleep(RETURN_PAUSE);
    }
}

/// Writes a request; fails if the server closes the connection before it has taken all of it.
fn send(stream: &mut TcpStream, head: &[u8], body: &[u8], shared: &Shared) -> std::io::Result<()> {
    stream.set_write_timeout(Some(POLL_INTERVAL))?;
    let request = [head, body].concat();
    let mut written = 0;
    while written < request.len() {
        let end = request.len().min(written + WRITE_BYTES);
        match stream.write(&request[written..end]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => written += count,
            Err(error) if is_timeout(&error) => {
                if shared.leaves.load(Ordering::Relaxed) {
                    return Err(error);
                }
            }
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn read_until_closed(stream: &mut TcpStream, shared: &Shared) -> Vec<u8> {
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    if stream.set_read_timeout(Some(POLL_INTERVAL)).is_err() {
        return answer;
    }
    while !shared.leaves.load(Ordering::Relaxed) {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(error) if is_timeout(&error) => {}
            Err(_) => break,
        }
    }
    answer
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn record_answer(answer: &[u8], id: String, shared: &Shared) {
    let Some(status) = Answer::read(answer).status else {
        return;
    };
    if NOT_RUN.contains(&status) {
        shared.not_run.lock().unwrap().push(id);
    }
    shared.statuses.lock().unwrap().push(status);
}

/// Number of answers of each status.
pub fn count(statuses: &[u16]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for status in statuses {
        *counts.entry(*status).or_default() += 1;
    }
    counts
}

/// An answer, read to the end of its connection.
#[derive(Debug)]
pub struct Answer {
    pub status: Option<u16>,
    /// The body without the framing of chunks.
    pub body: String,
}

impl Answer {
    fn read(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let is_chunked = head
            .to_ascii_lowercase()
            .contains("transfer-encoding: chunked");
        Self {
            status: head.split(' ').nth(1).and_then(|word| word.parse().ok()),
            body: match is_chunked {
                true => without_chunks(body),
                false => body.to_owned(),
            },
        }
    }
}

/// The bytes of all chunks that are whole.
fn without_chunks(mut rest: &str) -> String {
    let mut body = String::new();
    while let Some((length, after)) = rest.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap_or(0);
        if length == 0 || after.len() < length + 2 {
            break;
        }
        body.push_str(&after[..length]);
        rest = &after[length + 2..];
    }
    body
}

/// Sends one ordinary request over a new connection, again after a refusal or a closed connection, until it is answered
/// with 200. Returns the body of the answer; panics if that never happens.
pub fn ordinary_request(address: SocketAddr, request: impl Fn(u64) -> Vec<u8>) -> String {
    let mut last = String::new();
    let began = Instant::now();
    for try_number in 0.. {
        if began.elapsed() > NEVER {
            break;
        }
        match exchange(address, &request(try_number)) {
            Ok(Answer {
                status: Some(200),
                body,
            }) => return body,
            Ok(answer) => last = format!("{answer:?}"),
            Err(error) => last = error.to_string(),
        }
        std::thread::sleep(RETURN_PAUSE);
    }
    panic!("an ordinary request is never answered; last: {last}");
}

/// Sends bytes over a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8]) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, NEVER)?;
    stream.set_read_timeout(Some(NEVER))?;
    stream.set_write_timeout(Some(NEVER))?;
    stream.write_all(request)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(Answer::read(&answer))
}
