mod chunks;
mod replies;
mod requests;
