//! Tasks of the daemon that are started again after an unexpected error.

use gentianridge_daemon::supervise;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

/// A task that panics or ends is started again, and the others go on.
#[tokio::test]
async fn failing_task() {
    let starts = Rc::new(Cell::new(0));
    let counted = starts.clone();
    let make = move || {
        counted.set(counted.get() + 1);
        let number = counted.get();
        async move {
            assert!(number != 1, "unexpected error of the first start");
            if number > 2 {
                std::future::pending::<()>().await;
            }
        }
    };
    let local = LocalSet::new();
    local.spawn_local(supervise("test", make));
    local
        .run_until(tokio::time::sleep(Duration::from_secs(2)))
        .await;
    assert_eq!(starts.get(), 3, "one panic, one end, one that runs");
}
