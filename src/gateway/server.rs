//! The HTTP server for callers and other entries.

use std::io;
use std::net::TcpListener;
use std::time::Duration;

use actix_web::body::MessageBody;
use actix_web::dev::{Server, ServiceRequest, ServiceResponse};
use actix_web::http::ConnectionType;
use actix_web::middleware::{Next, from_fn};
use actix_web::web::{self, Data, ServiceConfig};
use actix_web::{App, Error, HttpServer};

use super::state::Gateway;
use super::{handlers, pages};

/// Worker threads that read requests and write responses.
const WORKERS: usize = 2;
/// Maximum number of connections per worker.
const MAX_CONNECTIONS_PER_WORKER: usize = 20_000;
/// Maximum number of connections waiting to be accepted.
pub(crate) const BACKLOG: u32 = 2_048;
/// Time limit for receiving the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum idle time of a connection between two requests.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for closing a connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit in a planned stop for sending the last bytes of responses.
const FLUSH_TIMEOUT_S: u64 = 30;
/// Maximum size of a claim query.
const MAX_CLAIM_QUERY_BYTES: usize = 16 << 10;

/// Starts accepting requests.
pub(crate) fn start(listener: TcpListener, gateway: Gateway) -> io::Result<Server> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(gateway.clone()))
            .wrap(from_fn(close_while_stopping))
            .configure(routes)
    })
    .workers(WORKERS)
    .max_connections(MAX_CONNECTIONS_PER_WORKER)
    .backlog(BACKLOG)
    .client_request_timeout(HEADER_TIMEOUT)
    .client_disconnect_timeout(DISCONNECT_TIMEOUT)
    .keep_alive(KEEP_ALIVE_TIMEOUT)
    .shutdown_timeout(FLUSH_TIMEOUT_S)
    .tcp_nodelay(true)
    .h1_allow_half_closed(false)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

fn routes(config: &mut ServiceConfig) {
    config
        .app_data(web::JsonConfig::default().limit(MAX_CLAIM_QUERY_BYTES))
        .route("/v1/locate", web::get().to(pages::locate))
        .route("/v1/models", web::get().to(pages::list_models))
        .route(
            "/v1/chat/completions",
            web::post().to(handlers::complete_chat),
        )
        .route("/v1/completions", web::post().to(handlers::complete_text))
        .route("/v1/services/{path:.*}", web::to(handlers::call_service))
        .route("/internal/claims", web::post().to(pages::query_claim))
        .route("/healthz", web::get().to(pages::health))
        .route("/readyz", web::get().to(pages::readiness))
        .route("/metrics", web::get().to(pages::metrics))
        .default_service(web::to(pages::unknown_path));
}

/// Closes each connection after its response while the process is stopping.
async fn close_while_stopping<B>(
    request: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<B>, Error>
where
    B: MessageBody + 'static,
{
    let gateway = request.app_data::<Data<Gateway>>().cloned();
    let mut response = next.call(request).await?;
    if gateway.is_some_and(|gateway| gateway.is_stopping()) {
        let head = response.response_mut().head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}
