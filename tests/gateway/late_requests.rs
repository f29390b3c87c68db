//! Requests that arrive late in a planned stop, when the balancer has no other VM to send
//! them to: each one is answered or refused before the process exits.

use crate::test_env::{TestEnv, wait_until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time between the stop signal and the kill of the process.
const GRACE: Duration = Duration::from_secs(4);
/// Work time of a request; those that are sent in the last second of the grace time do
/// not end before the process does.
const WORK_TIME: Duration = Duration::from_millis(1_200);
/// Connections that one burst opens. With many at once, requests arrive before the daemon
/// accepts their connections.
const BURST: usize = 30;
const BURST_INTERVAL: Duration = Duration::from_millis(60);

/// A request that was sent on a new connection.
struct LateRequest {
    id: String,
    sent_after: Duration,
    stream: TcpStream,
}

/// What a caller received until the end of its connection.
struct Outcome {
    id: String,
    sent_after: Duration,
    status: Option<u16>,
    text: String,
}

/// Opens connections from `first` until `last` after the stop, and sends a request on
/// each one.
fn send_bursts(
    addr: SocketAddr,
    stopped: Instant,
    first: Duration,
    last: Duration,
) -> Vec<LateRequest> {
    let mut sent = Vec::new();
    let mut burst = 0;
    std::thread::sleep(first.saturating_sub(stopped.elapsed()));
    while stopped.elapsed() < last {
        for index in 0..BURST {
            let id = format!("late-{burst}-{index}");
            let sent_after = stopped.elapsed();
            if let Some(stream) = send(addr, &id, index % 2 == 0) {
                sent.push(LateRequest {
                    id,
                    sent_after,
                    stream,
                });
            }
        }
        burst += 1;
        std::thread::sleep(BURST_INTERVAL);
    }
    sent
}

/// Sends a request on a new connection; returns `None` if the daemon does not accept it.
fn send(addr: SocketAddr, id: &str, is_once: bool) -> Option<TcpStream> {
    let (method, path) = if is_once {
        ("POST", "/once/x")
    } else {
        ("GET", "/look/x")
    };
    let mut stream = TcpStream::connect(addr).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\ngentianridge-attempt-id: {id}\r\n\
         gentianridge-deadline-ms: 6000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).ok()?;
    Some(stream)
}

fn receive(request: LateRequest) -> Outcome {
    let mut stream = request.stream;
    let mut bytes = Vec::new();
    stream
        .set_read_timeout(Some(Duration::from_secs(8)))
        .unwrap();
    // A reset connection ends with an error, after the bytes that have arrived.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Outcome {
        id: request.id,
        sent_after: request.sent_after,
        status: text.split(' ').nth(1).and_then(|word| word.parse().ok()),
        text,
    }
}

/// Guards against requests that a stopping process takes until its end and cuts off
/// without an answer when it exits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_requests() {
    let mut env = TestEnv::start_with_grace(6, GRACE).await;
    for target in &env.targets {
        target.set_work_time(WORK_TIME);
    }
    let addr = env.vm.get_settings().callers;
    let stopped = Instant::now();
    env.vm.stop();
    let sent = tokio::task::spawn_blocking(move || {
        send_bursts(addr, stopped, Duration::from_millis(1_000), GRACE)
    })
    .await
    .unwrap();
    let outcomes =
        tokio::task::spawn_blocking(|| sent.into_iter().map(receive).collect::<Vec<Outcome>>())
            .await
            .unwrap();
    wait_until(Duration::from_secs(2), || async { env.vm.is_finished() }).await;
    let took = stopped.elapsed();
    assert!(took < GRACE + Duration::from_millis(500), "{took:?}");
    let cut: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| outcome.status.is_none() && env.count_runs(&outcome.id) > 0)
        .collect();
    let list: Vec<_> = cut.iter().map(|o| (&o.id, o.sent_after)).collect();
    assert!(
        cut.is_empty(),
        "cut off while their targets worked: {list:?}"
    );
    let refused: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| outcome.status == Some(503))
        .collect();
    assert!(!refused.is_empty());
    for outcome in refused {
        assert_eq!(
            env.count_runs(&outcome.id),
            0,
            "{}: {}",
            outcome.id,
            outcome.text
        );
        assert!(
            outcome.text.contains("\r\nretry-after: "),
            "{}",
            outcome.text
        );
    }
    // Before the listener is closed, every request gets an answer.
    let unanswered = outcomes.iter().filter(|outcome| {
        outcome.status.is_none() && outcome.sent_after < GRACE - Duration::from_millis(600)
    });
    let list: Vec<_> = unanswered.map(|o| (&o.id, o.sent_after)).collect();
    assert!(list.is_empty(), "closed without an answer: {list:?}");
    let answered = outcomes
        .iter()
        .filter(|outcome| outcome.status == Some(200));
    assert!(answered.count() > 0);
}

/// Guards against requests that are broken off at the end of a stop although their targets
/// keep the deadline that they got: it counts from the start of the work, after a wait in
/// the target's queue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_at_target() {
    let mut env = TestEnv::start_with_grace(2, GRACE).await;
    // The usual run is short, so that late requests are taken.
    for index in 0..60 {
        let (method, path) = [("POST", "/once/x"), ("GET", "/look/x")][index % 2];
        let reply = env.request(method, path, &format!("usual{index}")).await;
        assert_eq!(reply.status, 200);
    }
    for target in &env.targets {
        target.set_queue_time(Duration::from_millis(250));
        target.set_work_time(Duration::from_secs(8));
    }
    let stopped = Instant::now();
    env.vm.stop();
    let mut callers = Vec::new();
    for (index, after) in [2_300, 2_500, 2_700, 2_900].into_iter().enumerate() {
        let at = stopped + Duration::from_millis(after);
        tokio::time::sleep_until(at.into()).await;
        let (method, path) = [("POST", "/once/x"), ("GET", "/look/x")][index % 2];
        let mut caller = env.vm.open().await.unwrap();
        let id = format!("late{index}");
        caller.send(method, path, &id, 6_000).await.unwrap();
        callers.push(caller);
    }
    for mut caller in callers {
        let reply = caller.receive().await.unwrap().expect("an answer");
        assert_eq!(reply.status, 504);
        let is_of_target = reply.get("gentianridge-response-signature").is_some();
        assert!(is_of_target, "the target ends its work itself: {reply:?}");
    }
    wait_until(Duration::from_secs(2), || async { env.vm.is_finished() }).await;
}

/// Guards against a request whose body is still arriving at the end of a stop and that gets
/// no answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_read_body() {
    let mut env = TestEnv::start_with_grace(1, GRACE).await;
    let mut caller = env.vm.open().await.unwrap();
    let text = "POST /once/x HTTP/1.1\r\nhost: shop.example\r\ngentianridge-attempt-id: half\r\n\
                gentianridge-deadline-ms: 9000\r\ncontent-length: 6\r\n\r\na b";
    caller.write(text).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    env.vm.stop();
    let reply = caller.receive().await.unwrap().expect("an answer");
    assert_eq!(reply.status, 503);
    assert_eq!(reply.get("gentianridge-code"), Some("1005"));
    assert!(reply.get("retry-after").is_some());
    assert_eq!(env.count_runs("half"), 0);
    wait_until(Duration::from_secs(2), || async { env.vm.is_finished() }).await;
}
