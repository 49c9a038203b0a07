//! Wire format of the machine list: `GET /machines` answers a JSON array.

use std::net::SocketAddr;

use async_trait::async_trait;
use havenstage_platform::machine_list::{Machine, MachineList, MachineListError};
use http::StatusCode;

use crate::http_client::HttpClient;

/// Path that answers the list.
pub const MACHINES_PATH: &str = "/machines";

/// Client of the machine list.
#[derive(Debug, Clone)]
pub struct HttpMachineList {
    client: HttpClient,
    server: SocketAddr,
}

impl HttpMachineList {
    /// A client of the machine list at `server`.
    pub fn new(client: HttpClient, server: SocketAddr) -> Self {
        Self { client, server }
    }
}

#[async_trait]
impl MachineList for HttpMachineList {
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError> {
        let answer = self
            .client
            .get(self.server, MACHINES_PATH)
            .await
            .map_err(|_| MachineListError::Unavailable)?;
        match answer.status {
            StatusCode::OK => answer.json().ok_or(MachineListError::Malformed),
            _ => Err(MachineListError::Unavailable),
        }
    }
}
