//! A relay between a client and a server that can go silent: open connections pass nothing any
//! more and stay open, new ones work.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes passed at once.
const PIECE_BYTES: usize = 16 * 1024;

/// What holds for connections by their number, which counts from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Orders {
    /// Connections below pass nothing any more.
    silent_below: u64,
    /// Connections below are closed.
    closed_below: u64,
    /// Whether new connections are closed at once.
    refuses: bool,
}

/// A relay. Dropping it closes its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    orders: watch::Sender<Orders>,
    opened: watch::Receiver<u64>,
    accepting: actix_rt::task::JoinHandle<()>,
}

impl Proxy {
    /// Listens on an address and passes everything on to a target.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let orders = watch::Sender::new(Orders::default());
        let (count, opened) = watch::channel(0);
        let accepting = actix_rt::spawn(accept(listener, target, orders.subscribe(), count));
        Ok(Self {
            address,
            orders,
            opened,
            accepting,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections opened so far.
    pub fn opened(&self) -> u64 {
        *self.opened.borrow()
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn silence(&self) {
        let opened = self.opened();
        self.orders
            .send_modify(|orders| orders.silent_below = opened);
    }

    /// Closes every open connection and refuses new ones until [`Self::restore`].
    pub fn cut(&self) {
        let opened = self.opened();
        self.orders.send_modify(|orders| {
            orders.closed_below = opened;
            orders.refuses = true;
        });
    }

    /// Takes new connections again.
    pub fn restore(&self) {
        self.orders.send_modify(|orders| orders.refuses = false);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    orders: watch::Receiver<Orders>,
    opened: watch::Sender<u64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        if orders.borrow().refuses {
            continue;
        }
        let number = *opened.borrow();
        opened.send_replace(number + 1);
        actix_rt::spawn(relay(client, target, number, orders.clone()));
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    number: u64,
    orders: watch::Receiver<Orders>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    futures_util::join!(
        pass(from_client, to_server, number, orders.clone()),
        pass(from_server, to_client, number, orders)
    );
}

/// Passes bytes one way until an end closes, or an order says otherwise.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    mut orders: watch::Receiver<Orders>,
) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let now = *orders.borrow_and_update();
        if number < now.closed_below {
            return;
        }
        tokio::select! {
            changed = orders.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            read = from.read(&mut piece), if number >= now.silent_below => {
                let Ok(length @ 1..) = read else {
                    return;
                };
                if to.write_all(&piece[..length]).await.is_err() {
                    return;
                }
            }
        }
    }
}
