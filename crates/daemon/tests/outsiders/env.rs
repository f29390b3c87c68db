//! A daemon with a store and targets, for one test at a time.

use crate::vm_process::{VmLimits, VmProcess};
use gentianridge_testkit::{
    CART, CallerConnection, FakeStore, FakeTarget, Reply, TargetEntryValue, write_config,
    write_path,
};
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::Instant;

/// Held by the test that runs, so that memory and descriptors are those of one crowd.
static TURN: Mutex<()> = Mutex::const_new(());

/// Timeout of routes that a busy machine meets as well.
pub(crate) const LONG_TIMEOUT_MS: u64 = 14_000;

/// Service of the route `/other/`.
const OTHER: &str = "other";
/// Timeout of the route `/other/`.
const BYSTANDER_TIMEOUT_MS: u64 = 4_000;

/// Starts a target and writes its entry.
async fn start_target(store: &FakeStore, id: &str, service: &str) -> FakeTarget {
    let target = FakeTarget::start(id).await.unwrap();
    let entry = target.make_entry(&TargetEntryValue {
        service: service.into(),
        zone: "d1".into(),
        is_draining: false,
        born: 1,
    });
    store.put("servers", id, &entry);
    target
}

/// Limits of the configuration on what a caller may send.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestLimits {
    pub(crate) head: usize,
    pub(crate) body: usize,
    /// Timeout of the routes in milliseconds.
    pub(crate) timeout_ms: u64,
}

pub(crate) struct Env {
    pub(crate) vm: VmProcess,
    pub(crate) target: FakeTarget,
    /// The target of another service.
    bystander: FakeTarget,
    _store: FakeStore,
    _turn: MutexGuard<'static, ()>,
}

impl Env {
    /// Time within which a daemon has to become ready.
    const READY_TIMEOUT: Duration = Duration::from_secs(20);

    pub(crate) async fn start(name: &str, vm: VmLimits, requests: RequestLimits) -> Self {
        let turn = TURN.lock().await;
        let store = FakeStore::start().await.unwrap();
        let other = write_path("other", "/other/", "idempotent")
            .replace(CART, OTHER)
            .replace("2000ms", &format!("{BYSTANDER_TIMEOUT_MS}ms"));
        let config = write_config(1, &format!(",{other}"))
            .replace(
                "\"max_header_bytes\":16384",
                &format!("\"max_header_bytes\":{}", requests.head),
            )
            .replace(
                "\"max_body_bytes\":1000",
                &format!("\"max_body_bytes\":{}", requests.body),
            )
            .replace(
                "\"timeout\":\"2000ms\"",
                &format!("\"timeout\":\"{}ms\"", requests.timeout_ms),
            );
        store.put("op", "config", config.as_bytes());
        let target = start_target(&store, "t0", CART).await;
        let bystander = start_target(&store, "o0", OTHER).await;
        let vm = VmProcess::start(name, store.get_addr(), vm);
        let env = Self {
            vm,
            target,
            bystander,
            _store: store,
            _turn: turn,
        };
        env.wait_ready().await;
        env
    }

    async fn wait_ready(&self) {
        let end = Instant::now() + Self::READY_TIMEOUT;
        while self.check_readiness().await != Some(200) {
            assert!(Instant::now() < end, "the daemon is not ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn check_readiness(&self) -> Option<u16> {
        let mut connection = CallerConnection::open(self.vm.get_ready()).await.ok()?;
        let reply = connection.request("GET", "/api/readiness", "ready").await;
        reply.ok().map(|reply| reply.status)
    }

    /// Sends an ordinary request on a new connection.
    pub(crate) async fn request(&self, method: &str, path: &str, id: &str) -> Reply {
        let caller = CallerConnection::open(self.vm.get_callers()).await;
        let mut caller = caller.unwrap();
        let sent = caller.send(method, path, id, LONG_TIMEOUT_MS).await;
        sent.unwrap();
        caller.receive().await.unwrap().expect("an answer")
    }

    /// Sends a body of `size` bytes on a new connection.
    pub(crate) async fn upload(&self, id: &str, size: usize) -> Reply {
        let caller = CallerConnection::open(self.vm.get_callers()).await;
        let mut caller = caller.unwrap();
        let head = format!(
            "POST /once/x HTTP/1.1\r\nhost: shop.example\r\ngentianridge-attempt-id: {id}\r\n\
             gentianridge-deadline-ms: {LONG_TIMEOUT_MS}\r\ncontent-length: {size}\r\n\r\n"
        );
        caller.write(&head).await.unwrap();
        caller.write(&"x".repeat(size)).await.unwrap();
        caller.receive().await.unwrap().expect("an answer")
    }

    /// Sends requests to another service than the usual one, on one connection; each has to
    /// be answered by its target.
    pub(crate) async fn check_bystander(&self, count: usize, pause: Duration) {
        let caller = CallerConnection::open(self.vm.get_callers()).await;
        let mut caller = caller.unwrap();
        let before = self.bystander.count_all_runs();
        for index in 0..count {
            let id = format!("bystander{before}-{index}");
            let reply = caller.request("GET", "/other/x", &id).await.unwrap();
            assert_eq!(reply.status, 200, "{id}: {}", reply.body);
            tokio::time::sleep(pause).await;
        }
    }

    /// Checks the limits of the VM and that it serves an ordinary request of each kind.
    pub(crate) async fn check(&mut self) {
        self.vm.check_limits();
        for (method, path, id) in [("GET", "/look/x", "look"), ("POST", "/once/x", "once")] {
            let reply = self.request(method, path, id).await;
            assert_eq!(reply.status, 200, "{method}: {}", reply.body);
        }
        assert_eq!(self.target.count_runs("once"), 1);
        self.vm.check_limits();
    }
}
