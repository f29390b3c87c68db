//! Test environment: a store, targets of one service and one daemon.

use gentianridge_config::GatewaySettings;
use gentianridge_testkit::{
    CART, FakeStore, FakeTarget, GatewayVm, Reply, TargetEntryValue, make_settings, write_config,
};
use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

pub(crate) struct TestEnv {
    pub(crate) store: FakeStore,
    pub(crate) targets: Vec<FakeTarget>,
    pub(crate) vm: GatewayVm,
}

impl TestEnv {
    /// Starts the environment with targets `t0`, `t1` and so on.
    pub(crate) async fn start(targets: usize) -> Self {
        Self::start_with(targets, |_| {}).await
    }

    /// Starts the environment with a daemon that is killed `grace` after its stop signal.
    pub(crate) async fn start_with_grace(targets: usize, grace: Duration) -> Self {
        Self::start_with(targets, |settings| settings.grace = grace).await
    }

    /// Starts the environment with a daemon whose settings `change` changes.
    pub(crate) async fn start_with(
        targets: usize,
        change: impl FnOnce(&mut GatewaySettings),
    ) -> Self {
        let store = FakeStore::start().await.unwrap();
        put_config(&store, 1, "");
        let mut started = Vec::new();
        for index in 0..targets {
            let target = FakeTarget::start(&format!("t{index}")).await.unwrap();
            register(&store, &target, false, 1);
            started.push(target);
        }
        let mut settings = make_settings("vm-1", store.get_addr());
        change(&mut settings);
        let vm = GatewayVm::start_with(settings).unwrap();
        vm.wait_ready().await.unwrap();
        Self {
            store,
            targets: started,
            vm,
        }
    }

    /// Sends a request on a new connection and waits for the answer.
    pub(crate) async fn request(&self, method: &str, path: &str, id: &str) -> Reply {
        let mut caller = self.vm.open().await.unwrap();
        caller.request(method, path, id).await.unwrap()
    }

    /// Returns how often the targets ran the request with this id.
    pub(crate) fn count_runs(&self, id: &str) -> usize {
        self.targets
            .iter()
            .map(|target| target.count_runs(id))
            .sum()
    }
}

/// Writes the configuration; `extra_paths` holds further paths, each with a
/// leading comma.
pub(crate) fn put_config(store: &FakeStore, version: u64, extra_paths: &str) {
    store.put(
        "op",
        "config",
        write_config(version, extra_paths).as_bytes(),
    );
}

/// Writes the entry of a target into the store.
pub(crate) fn register(store: &FakeStore, target: &FakeTarget, is_draining: bool, born: u64) {
    let entry = target.make_entry(&TargetEntryValue {
        service: CART.into(),
        zone: "d1".into(),
        is_draining,
        born,
    });
    store.put("servers", target.get_id(), &entry);
}

/// Waits until a condition holds, and panics after `limit`.
pub(crate) async fn wait_until<F: Future<Output = bool>>(
    limit: Duration,
    mut holds: impl FnMut() -> F,
) {
    let end = Instant::now() + limit;
    while !holds().await {
        assert!(
            Instant::now() < end,
            "the condition did not hold within {limit:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
