//! Bodies that arrive too slowly.

use crate::test_env::TestEnv;
use std::time::Duration;

/// Longest pause in a body, and half of the time after which its rate counts.
const BODY_IDLE: Duration = Duration::from_millis(500);

async fn start() -> TestEnv {
    TestEnv::start_with(1, |settings| settings.body_idle = BODY_IDLE).await
}

const HEAD: &str = "POST /once/x HTTP/1.1\r\nhost: shop.example\r\ngentianridge-attempt-id: slow\r\n\
                    gentianridge-deadline-ms: 9000\r\ncontent-length: 60\r\n\r\n";

/// A body that stops is refused, and has not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_body() {
    let env = start().await;
    let mut caller = env.vm.open().await.unwrap();
    caller.write(HEAD).await.unwrap();
    let reply = caller.receive().await.unwrap().unwrap();
    assert_eq!(reply.status, 408);
    assert_eq!(reply.get("gentianridge-run"), Some("not-run"));
    assert_eq!(env.count_runs("slow"), 0);
}

/// A body that never pauses for long, but arrives far below the lowest rate, is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trickled_body() {
    let env = start().await;
    let mut caller = env.vm.open().await.unwrap();
    caller.write(HEAD).await.unwrap();
    for _ in 0..60 {
        // All of it takes three seconds. Writes fail once the daemon has closed the connection.
        if caller.write("x").await.is_err() {
            break;
        }
        tokio::time::sleep(BODY_IDLE / 10).await;
    }
    assert_eq!(env.count_runs("slow"), 0);
    assert_eq!(env.targets[0].get_arrivals(), Vec::<String>::new());
    assert_eq!(env.request("POST", "/once/x", "next").await.status, 200);
}
