//! Starts what the command line names.

use std::fs;
use std::path::Path;

use actix_web::dev::Server;
use futures_util::future::try_join_all;

use super::cli::{StandinArgs, StandinKind};
use super::error::StandinError;
use crate::topology::Topology;
use crate::{application, engine, instances, objects, table, weights};

/// Runs until the process is ended. Prints `ready` once everything listens.
pub async fn run(args: StandinArgs) -> Result<(), StandinError> {
    let servers = match &args.kind {
        StandinKind::Engine(fleet) => {
            return engine::run(read_topology(&fleet.topology)?, fleet).await;
        }
        StandinKind::Service(fleet) => {
            application::listen(&read_topology(&fleet.topology)?, fleet)?
        }
        StandinKind::Table(fleet) => vec![table::listen(&read_topology(&fleet.topology)?)?],
        StandinKind::Objects(fleet) => vec![objects::listen(&read_topology(&fleet.topology)?)?],
        StandinKind::Instances(fleet) => vec![instances::listen(&read_topology(&fleet.topology)?)?],
        StandinKind::Weights(fleet) => vec![weights::listen(&read_topology(&fleet.topology)?)?],
    };
    run_servers(servers).await
}

async fn run_servers(servers: Vec<Server>) -> Result<(), StandinError> {
    if servers.is_empty() {
        return Err(StandinError::NothingSelected);
    }
    let running: Vec<_> = servers.into_iter().map(actix_rt::spawn).collect();
    say_ready();
    for server in try_join_all(running).await.map_err(std::io::Error::other)? {
        server?;
    }
    Ok(())
}

/// Tells whoever started the process that everything listens.
pub(crate) fn say_ready() {
    println!("ready");
}

fn read_topology(path: &Path) -> Result<Topology, StandinError> {
    let text = fs::read_to_string(path).map_err(|source| StandinError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    if path
        .extension()
        .is_some_and(|extension| extension == "json")
    {
        return serde_json::from_str(&text).map_err(|source| StandinError::BadJson {
            path: path.to_owned(),
            source,
        });
    }
    toml::from_str(&text).map_err(|source| StandinError::BadToml {
        path: path.to_owned(),
        source,
    })
}
