//! A store, two services of targets and one daemon.

use gentianridge_testkit::{
    CART, FakeStore, FakeTarget, GatewayVm, Reply, TargetEntryValue, write_config,
};
use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

pub(crate) struct Site {
    pub(crate) store: FakeStore,
    pub(crate) targets: Vec<FakeTarget>,
    pub(crate) vm: GatewayVm,
}

impl Site {
    /// Starts a site with targets `t0`, `t1` and so on.
    pub(crate) async fn start(targets: usize) -> Self {
        let store = FakeStore::start().await.unwrap();
        put_config(&store, 1, "");
        let mut started = Vec::new();
        for index in 0..targets {
            let target = FakeTarget::start(&format!("t{index}")).await.unwrap();
            register(&store, &target, false, 1);
            started.push(target);
        }
        let vm = GatewayVm::start("vm-1", store.get_addr()).unwrap();
        vm.wait_ready().await.unwrap();
        Self {
            store,
            targets: started,
            vm,
        }
    }

    /// Sends a request on a connection of its own.
    pub(crate) async fn request(&self, method: &str, path: &str, id: &str) -> Reply {
        let mut caller = self.vm.open().await.unwrap();
        caller.request(method, path, id).await.unwrap()
    }

    /// Returns how often targets ran the request.
    pub(crate) fn count_runs(&self, id: &str) -> usize {
        self.targets
            .iter()
            .map(|target| target.count_runs(id))
            .sum()
    }
}

/// Writes the configuration; `more` are further paths, each with a leading comma.
pub(crate) fn put_config(store: &FakeStore, version: u64, more: &str) {
    store.put("op", "config", write_config(version, more).as_bytes());
}

/// Writes a target's entry.
pub(crate) fn register(store: &FakeStore, target: &FakeTarget, is_draining: bool, born: u64) {
    let entry = target.make_entry(&TargetEntryValue {
        service: CART.into(),
        zone: "d1".into(),
        is_draining,
        born,
    });
    store.put("servers", target.get_id(), &entry);
}

/// Waits until something holds.
pub(crate) async fn eventually<F: Future<Output = bool>>(
    limit: Duration,
    mut holds: impl FnMut() -> F,
) {
    let end = Instant::now() + limit;
    while !holds().await {
        assert!(Instant::now() < end, "it does not hold within {limit:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
