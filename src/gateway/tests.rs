mod chunks;
mod fixture;
mod paths;
mod replies;
mod requests;
mod slow;
