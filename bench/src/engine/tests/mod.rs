mod cache;
mod chain;
mod executor;
mod faults;
mod ledger;
mod orders;
mod rig;
