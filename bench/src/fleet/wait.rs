//! Waits on conditions, with deadlines.

use std::time::{Duration, Instant};

/// Time between two looks at a condition.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Looks at a condition until it holds or `limit` has passed; returns whether it held.
pub async fn wait_until<F>(limit: Duration, mut holds: F) -> bool
where
    F: AsyncFnMut() -> bool,
{
    let end = Instant::now() + limit;
    loop {
        if holds().await {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        actix_rt::time::sleep(LOOK_EVERY).await;
    }
}
