//! A time limit for asynchronous work.

use async_io::Timer;
use futures_lite::FutureExt;
use std::future::Future;
use std::time::Duration;

/// Returns the result of `work`; `None` if `work` has none or takes longer than `limit`.
pub(super) async fn with_timeout<T>(limit: Duration, work: impl Future<Output = Option<T>>) -> Option<T> {
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    work.or(timeout).await
}
