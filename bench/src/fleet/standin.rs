//! Questions and orders to the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::FleetError;

/// How long a stand-in may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Longest page that is read: ids of all requests of a long run.
const PAGE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Talks to the stand-ins' own pages, beside what the product asks of them.
#[derive(Clone)]
pub struct StandinClient {
    http: awc::Client,
}

impl Default for StandinClient {
    fn default() -> Self {
        Self {
            http: awc::Client::builder().timeout(TIMEOUT).finish(),
        }
    }
}

impl StandinClient {
    /// Reads a JSON page.
    ///
    /// # Errors
    /// Fails if there is no whole answer.
    pub async fn get<T>(&self, address: SocketAddr, path: &str) -> Result<T, FleetError>
    where
        T: DeserializeOwned,
    {
        let error = || no_answer(address, path);
        let mut response = self
            .http
            .get(format!("http://{address}{path}"))
            .send()
            .await
            .map_err(|_| error())?;
        response
            .json()
            .limit(PAGE_LIMIT_BYTES)
            .await
            .map_err(|_| error())
    }

    /// Posts a JSON body.
    ///
    /// # Errors
    /// Fails unless the stand-in takes it.
    pub async fn post<T>(&self, address: SocketAddr, path: &str, body: &T) -> Result<(), FleetError>
    where
        T: Serialize,
    {
        let response = self
            .http
            .post(format!("http://{address}{path}"))
            .send_json(body)
            .await
            .map_err(|_| no_answer(address, path))?;
        if response.status().is_success() {
            Ok(())
        } else {
            Err(no_answer(address, path))
        }
    }

    /// Whether a page answers 200.
    pub async fn is_ok(&self, address: SocketAddr, path: &str) -> bool {
        let sent = self
            .http
            .get(format!("http://{address}{path}"))
            .send()
            .await;
        sent.is_ok_and(|response| response.status().is_success())
    }
}

fn no_answer(address: SocketAddr, path: &str) -> FleetError {
    FleetError::Standin {
        address,
        path: path.to_owned(),
    }
}
