//! Wire format of the machine list: `GET /machines` answers a JSON array. A list service that
//! names its answers with entity tags is only asked for what has changed since.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use havenstage_edge::machine_list::{Machine, MachineList, MachineListError};
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;

use crate::http_client::HttpClient;

/// Path that answers the list.
pub const MACHINES_PATH: &str = "/machines";

/// Client of the machine list. Clones share the last answer.
#[derive(Debug, Clone)]
pub struct HttpMachineList {
    client: HttpClient,
    server: SocketAddr,
    last: Arc<Mutex<Option<TaggedList>>>,
}

/// A list with the entity tag that the service gave it.
#[derive(Debug, Clone)]
struct TaggedList {
    tag: HeaderValue,
    machines: Vec<Machine>,
}

impl HttpMachineList {
    /// A client of the machine list at `server`.
    pub fn new(client: HttpClient, server: SocketAddr) -> Self {
        Self {
            client,
            server,
            last: Arc::default(),
        }
    }

    fn request(&self, known: Option<&TaggedList>) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(Method::GET)
            .uri(format!("http://{}{MACHINES_PATH}", self.server));
        if let Some(known) = known {
            request = request.header(header::IF_NONE_MATCH, &known.tag);
        }
        request.body(Full::default()).ok()
    }

    fn last(&self) -> Option<TaggedList> {
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.clone()
    }

    fn remember(&self, tag: HeaderValue, machines: &[Machine]) {
        let machines = machines.to_vec();
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        *last = Some(TaggedList { tag, machines });
    }
}

#[async_trait]
impl MachineList for HttpMachineList {
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError> {
        let known = self.last();
        let request = self
            .request(known.as_ref())
            .ok_or(MachineListError::Unavailable)?;
        let timeout = self.client.settings().request_timeout();
        let answer = self
            .client
            .exchange(request, timeout)
            .await
            .map_err(|_| MachineListError::Unavailable)?;
        match (answer.status, known) {
            (StatusCode::OK, _) => {
                let machines: Vec<Machine> = answer.json().ok_or(MachineListError::Malformed)?;
                if let Some(tag) = answer.entity_tag {
                    self.remember(tag, &machines);
                }
                Ok(machines)
            }
            (StatusCode::NOT_MODIFIED, Some(known)) => Ok(known.machines),
            _ => Err(MachineListError::Unavailable),
        }
    }
}
