//! Loopback addresses of a fleet.
//!
//! Each fleet owns a loopback address of its own, guarded by a listener on [`GUARD_PORT`], and
//! uses ports below the range for outgoing connections. So two fleets never want the same port,
//! and no outgoing connection can take one between a restart's stop and its start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use rand::RngExt;

use super::FleetError;

/// Port whose listener guards a loopback address.
const GUARD_PORT: u16 = 10_000;
/// First port given out.
const FIRST_PORT: u16 = 10_001;
/// One past the last port given out; the kernel's range for outgoing connections is above.
const END_PORT: u16 = 30_000;
/// Addresses tried before giving up.
const TRIES: u32 = 64;

/// A loopback address and the ports given out on it.
#[derive(Debug)]
pub struct AddressBook {
    host: Ipv4Addr,
    next_port: u16,
    /// Held as long as the address is used.
    _guard: TcpListener,
}

impl AddressBook {
    /// Takes a loopback address that no other fleet holds.
    ///
    /// # Errors
    /// Fails if no address could be bound.
    pub fn reserve<R>(rng: &mut R) -> Result<Self, FleetError>
    where
        R: rand::Rng,
    {
        for _ in 0..TRIES {
            let host = Ipv4Addr::new(
                127,
                rng.random_range(1..=254),
                rng.random_range(0..=255),
                rng.random_range(1..=254),
            );
            if let Ok(guard) = TcpListener::bind((host, GUARD_PORT)) {
                return Ok(Self {
                    host,
                    next_port: FIRST_PORT,
                    _guard: guard,
                });
            }
        }
        Err(FleetError::NoAddress)
    }

    /// Gives an address not given before.
    ///
    /// # Panics
    /// Panics after about 20,000 addresses.
    pub fn take(&mut self) -> SocketAddr {
        assert!(self.next_port < END_PORT, "a fleet has used up its ports");
        let address = SocketAddr::from((self.host, self.next_port));
        self.next_port += 1;
        address
    }
}
