//! A store, two services of targets and one daemon.

use gentianridge_testkit::{GatewayVm, PublishedStore, PublishedTarget, Reply, TargetEntryValue};
use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// Service of the repeatable requests below `/look/` and the others below `/once/`.
pub(crate) const CART: &str = "cart";

pub(crate) struct Site {
    pub(crate) store: PublishedStore,
    pub(crate) targets: Vec<PublishedTarget>,
    pub(crate) vm: GatewayVm,
}

impl Site {
    /// Starts a site with targets `t0`, `t1` and so on.
    pub(crate) async fn start(targets: usize) -> Self {
        let store = PublishedStore::start().await.unwrap();
        put_config(&store, 1, "");
        let mut started = Vec::new();
        for index in 0..targets {
            let target = PublishedTarget::start(&format!("t{index}")).await.unwrap();
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
    pub(crate) async fn ask(&self, method: &str, path: &str, id: &str) -> Reply {
        let mut caller = self.vm.open().await.unwrap();
        caller.ask(method, path, id).await.unwrap()
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
pub(crate) fn put_config(store: &PublishedStore, version: u64, more: &str) {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            r#"{{"name":"{name}","path_prefix":"{prefix}","kind":"{kind}","timeout":"2000ms",
            "slo_latency":"600ms","priority":1,"service":"{CART}","max_attempts":2}}"#
        )
    };
    let config = format!(
        r#"{{"version":"{version:08x}","base_version":"00000000","services":[
        {{"name":"{CART}","health_path":"/health","max_conns":220}},
        {{"name":"other","health_path":"/health","max_conns":220}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout":"3000ms","idle_timeout":"15000ms"}},
        "hosts":[{{"host":"shop.example","paths":[{},{}{more}]}}]}}"#,
        route("look", "/look/", "idempotent"),
        route("once", "/once/", "non_idempotent")
    );
    store.put("op", "config", config.as_bytes());
}

/// Writes a target's entry.
pub(crate) fn register(
    store: &PublishedStore,
    target: &PublishedTarget,
    is_draining: bool,
    born: u64,
) {
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
