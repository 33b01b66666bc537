//! Listeners.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_web::body::SizedStream;
use actix_web::dev::Server;
use actix_web::middleware::from_fn;
use actix_web::{App, HttpResponse, HttpServer, web};
use bytes::Bytes;
use futures_util::stream;

use super::error::StandinError;
use super::gate::{Gate, pass_gate};

/// Largest body a stand-in reads.
const MAX_BODY_BYTES: usize = 64 << 20;
/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Listens on an address; the server runs once it is polled.
pub(crate) fn serve<F>(
    address: SocketAddr,
    gate: web::Data<Gate>,
    configure: F,
) -> Result<Server, StandinError>
where
    F: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
{
    let server = HttpServer::new(move || {
        App::new()
            .app_data(gate.clone())
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .wrap(from_fn(pass_gate))
            .configure(configure.clone())
    })
    .workers(1)
    .keep_alive(KEEP_ALIVE)
    .client_request_timeout(Duration::ZERO)
    .disable_signals()
    .bind(address)
    .map_err(|source| StandinError::Listen { address, source })?;
    Ok(server.run())
}

/// A reply that breaks off: its head promises a body that never comes.
pub(crate) fn cut_reply() -> HttpResponse {
    let broken =
        stream::once(async { Err::<Bytes, _>(io::Error::from(io::ErrorKind::BrokenPipe)) });
    HttpResponse::Ok().body(SizedStream::new(1 << 20, broken))
}
