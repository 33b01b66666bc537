//! Connections to peers, one for each address.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::net::TcpStream;

use super::counted::CountedStream;
use super::traffic::{OtherSide, Side, Traffic};
use crate::instance::{PeerAnswer, PeerCall, PeerFailure};
use crate::keys::Secret;
use crate::rpc::{MAX_MESSAGE_BYTES, PeerApiClient};

/// Longer than any call may take; each call has its own timeout.
const REQUEST_LIMIT: Duration = Duration::from_secs(60);

/// Connections to peers.
#[derive(Debug)]
pub(super) struct Peers {
    key: Secret,
    traffic: Traffic,
    clients: RefCell<IndexMap<SocketAddr, Rc<WsClient>>>,
}

impl Peers {
    /// No peer is connected until it is called.
    pub(super) fn new(key: Secret, traffic: Traffic) -> Self {
        Self {
            key,
            traffic,
            clients: RefCell::new(IndexMap::new()),
        }
    }

    /// Calls a peer. A connection on which a call had no answer is thrown away.
    pub(super) async fn call(
        &self,
        address: SocketAddr,
        ask: PeerCall,
        timeout_ms: u64,
        fresh_connection: bool,
    ) -> Result<PeerAnswer, PeerFailure> {
        if fresh_connection {
            self.clients.borrow_mut().swap_remove(&address);
        }
        let limit = Duration::from_millis(timeout_ms);
        match tokio::time::timeout(limit, self.exchange(address, ask)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(ClientError::Call(_))) => Err(PeerFailure::Refused),
            Ok(Err(_)) | Err(_) => {
                self.clients.borrow_mut().swap_remove(&address);
                Err(PeerFailure::NoReply)
            }
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        ask: PeerCall,
    ) -> Result<PeerAnswer, ClientError> {
        let client = self.client(address).await?;
        let key = self.key.expose().to_owned();
        match ask {
            PeerCall::Gossip(message) => {
                let reply = client.gossip(key, message).await?;
                Ok(PeerAnswer::Gossip(reply))
            }
            PeerCall::Fetch(fetch) => Ok(PeerAnswer::Fetch(client.fetch(key, fetch).await?)),
            PeerCall::Explain(subject) => {
                let reply = PeerApiClient::explain(client.as_ref(), key, subject).await?;
                Ok(PeerAnswer::Explain(reply))
            }
        }
    }

    async fn client(&self, address: SocketAddr) -> Result<Rc<WsClient>, ClientError> {
        if let Some(client) = self.connected(address) {
            return Ok(client);
        }
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| ClientError::Transport(error.into()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| ClientError::Transport(error.into()))?;
        let side = Side::new(OtherSide::Peer);
        let stream = CountedStream::new(stream, side, self.traffic.clone());
        let client = WsClientBuilder::default()
            .request_timeout(REQUEST_LIMIT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build_with_stream(format!("ws://{address}"), stream)
            .await?;
        let client = Rc::new(client);
        self.clients
            .borrow_mut()
            .insert(address, Rc::clone(&client));
        Ok(client)
    }

    fn connected(&self, address: SocketAddr) -> Option<Rc<WsClient>> {
        let clients = self.clients.borrow();
        let client = clients.get(&address)?;
        client.is_connected().then(|| Rc::clone(client))
    }
}
