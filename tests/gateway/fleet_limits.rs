//! Limits of workspaces that two VMs keep together.

use crate::test_env::{TestEnv, put_config, register, wait_until};
use gentianridge_core::RequestBound;
use gentianridge_testkit::{
    FakeStore, FakeTarget, GatewayVm, Reply, WorkspaceValue, make_settings, write_keyed_config,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const KEY: &str = "492cqf75rjvz48wuakn2";
const NORTH: WorkspaceValue<'static> = WorkspaceValue {
    name: "north",
    keys: &[KEY],
    priority: 0,
};
/// Code of a refusal by a limit.
const LIMIT_CODE: &str = "1010";
/// A rate at which no token comes during a test.
const NO_RATE: f64 = 0.000_001;

/// Returns a configuration whose only workspace has a limit.
fn write_limited_config(version: u64, rate: f64, burst: u32) -> String {
    let config = write_keyed_config(version, "", &[NORTH]);
    let limit = format!("\"rate_per_s\":{rate}");
    let config = config.replace("\"rate_per_s\":0", &limit);
    config.replace("\"burst\":0", &format!("\"burst\":{burst}"))
}

struct Fleet {
    store: FakeStore,
    vms: Vec<GatewayVm>,
    _targets: Vec<FakeTarget>,
}

impl Fleet {
    /// Starts two VMs whose fleet is new, so that its tokens are all there.
    async fn start(targets: usize, rate: f64, burst: u32) -> Self {
        let store = FakeStore::start().await.unwrap();
        store.put(
            "op",
            "config",
            write_limited_config(1, rate, burst).as_bytes(),
        );
        let mut started = Vec::new();
        for index in 0..targets {
            let target = FakeTarget::start(&format!("t{index}")).await.unwrap();
            register(&store, &target, false, 1);
            started.push(target);
        }
        let vms: Vec<GatewayVm> = ["vm-1", "vm-2"]
            .into_iter()
            .map(|name| {
                let mut settings = make_settings(name, store.get_addr());
                settings.is_bootstrap = true;
                settings.metrics = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
                GatewayVm::start_with(settings).unwrap()
            })
            .collect();
        let fleet = Self {
            store,
            vms,
            _targets: started,
        };
        for vm in &fleet.vms {
            wait_until(Duration::from_secs(20), || async {
                let metrics = get_metrics(vm).await;
                has_sample(&metrics, "gentianridge_peers", 1)
                    && has_sample(&metrics, "gentianridge_config_version", 1)
            })
            .await;
        }
        fleet
    }

    async fn request(&self, vm: usize, id: &str) -> Reply {
        let mut caller = self.vms[vm].open().await.unwrap();
        caller.set_key(KEY);
        caller.request("GET", "/look/x", id).await.unwrap()
    }
}

async fn get_metrics(vm: &GatewayVm) -> String {
    let addr = vm.get_settings().metrics.unwrap();
    let mut caller = gentianridge_testkit::CallerConnection::open(addr)
        .await
        .unwrap();
    caller.request("GET", "/metrics", "m").await.unwrap().body
}

fn has_sample(metrics: &str, name: &str, value: usize) -> bool {
    let end = format!(" {value}");
    metrics
        .lines()
        .any(|line| line.starts_with(name) && line.ends_with(&end))
}

fn is_limit_refusal(reply: &Reply) -> bool {
    reply.status == 429 && reply.get("gentianridge-code") == Some(LIMIT_CODE)
}

/// Callers at one VM get the tokens of the other one too, and no more than there are.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tokens_of_peers() {
    const BURST: usize = 40;
    let fleet = Fleet::start(1, NO_RATE, BURST as u32).await;
    let mut admitted = 0;
    let mut refused_in_a_row = 0;
    let end = Instant::now() + Duration::from_secs(20);
    while refused_in_a_row < 100 && Instant::now() < end {
        let reply = fleet.request(0, "a").await;
        if reply.status == 200 {
            admitted += 1;
            refused_in_a_row = 0;
            continue;
        }
        assert!(is_limit_refusal(&reply), "{reply:?}");
        let retry_after: f64 = reply.get("retry-after").unwrap().parse().unwrap();
        assert!(retry_after > 0.0);
        refused_in_a_row += 1;
    }
    assert!(
        admitted > BURST / 2,
        "{admitted} admitted, only those of one VM"
    );
    assert!(admitted <= BURST, "{admitted} admitted");
    let metrics = get_metrics(&fleet.vms[0]).await;
    let counted = metrics.lines().find(|line| {
        line.starts_with("gentianridge_limit_requests_total")
            && line.contains("outcome=\"admitted\"")
    });
    let counted = counted.unwrap();
    assert!(counted.contains("workspace=\"north\""));
    assert!(counted.ends_with(&format!(" {admitted}")), "{counted}");
}

/// Both VMs together admit no more than the rate and the burst.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sum_of_vms() {
    let fleet = Fleet::start(1, 20.0, 10).await;
    let start = Instant::now();
    let (mut sent, mut admitted) = (0, 0);
    while start.elapsed() < Duration::from_secs(3) {
        let reply = fleet.request(sent % 2, "a").await;
        sent += 1;
        admitted += usize::from(reply.status == 200);
    }
    let allowed = 20.0 * start.elapsed().as_secs_f64() + 10.0 + 1.0;
    assert!((admitted as f64) <= allowed, "{admitted} of {allowed}");
    assert!(admitted >= sent.min(20), "{admitted} of {sent} admitted");
}

/// A request that no target could take gives its token back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn token_given_back() {
    let fleet = Fleet::start(0, NO_RATE, 8).await;
    for index in 0..16 {
        let reply = fleet.request(0, &format!("a{index}")).await;
        assert_eq!(reply.status, 503, "request {index}: {reply:?}");
    }
}

/// A lower limit and a removed one take effect with the configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_removed() {
    let fleet = Fleet::start(1, NO_RATE, 1).await;
    wait_until(Duration::from_secs(10), || async {
        is_limit_refusal(&fleet.request(0, "a").await)
    })
    .await;
    let config = write_keyed_config(2, "", &[NORTH]);
    fleet.store.put("op", "config", config.as_bytes());
    wait_until(Duration::from_secs(10), || async {
        fleet.request(0, "b").await.status == 200
    })
    .await;
}

/// A fleet whose configuration has no limit counts none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_limits() {
    let env = TestEnv::start(1).await;
    put_config(&env.store, 2, "");
    let vm = GatewayVm::start_with_metrics("vm-9", env.store.get_addr()).unwrap();
    vm.wait_ready().await.unwrap();
    let mut caller = vm.open().await.unwrap();
    assert_eq!(
        caller.request("GET", "/look/x", "a").await.unwrap().status,
        200
    );
    assert!(!get_metrics(&vm).await.contains("gentianridge_limit"));
}

/// Window over which a limit is counted, its rate and burst, and its tolerance.
const WINDOW: Duration = Duration::from_secs(5);
const RATE: f64 = 40.0;
const BURST: u32 = 40;
const BOUND: RequestBound = RequestBound {
    excess_percent: 10,
    slack: 20,
};

/// Sends requests to a VM until a time; returns how many were admitted.
async fn rush(vm: &GatewayVm, end: Instant) -> usize {
    let mut admitted = 0;
    while Instant::now() < end {
        let mut caller = vm.open().await.unwrap();
        caller.set_key(KEY);
        let reply = caller.request("GET", "/look/x", "r").await.unwrap();
        admitted += usize::from(reply.status == 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    admitted
}

/// Guards against VMs that take those that answer for the whole fleet: three of five stopped
/// together, and after their start the five spent 1.4 times the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_together() {
    let store = FakeStore::start().await.unwrap();
    let config = write_limited_config(1, RATE, BURST);
    store.put("op", "config", config.as_bytes());
    let target = FakeTarget::start("t0").await.unwrap();
    register(&store, &target, false, 1);
    let mut seeds = Vec::new();
    let mut vms = Vec::new();
    for index in 1..=5 {
        let mut settings = make_settings(&format!("vm-{index}"), store.get_addr());
        settings.is_bootstrap = true;
        settings.seeds.clone_from(&seeds);
        (settings.limit_window, settings.limit_bound) = (WINDOW, BOUND);
        settings.metrics = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
        let vm = GatewayVm::start_with(settings).unwrap();
        seeds.push(vm.get_settings().peers);
        seeds.truncate(2);
        vms.push(vm);
    }
    for vm in &vms {
        wait_until(Duration::from_secs(20), || async {
            has_sample(&get_metrics(vm).await, "gentianridge_peers", 4)
        })
        .await;
    }
    let mut stopped = vms.split_off(2);
    stopped.iter_mut().for_each(GatewayVm::stop);
    for vm in &stopped {
        wait_until(Duration::from_secs(20), || async { vm.is_finished() }).await;
    }
    for vm in stopped {
        let mut settings = vm.get_settings().clone();
        settings.is_bootstrap = false;
        vms.push(GatewayVm::start_with(settings).unwrap());
    }
    for vm in &vms {
        vm.wait_ready().await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let end = Instant::now() + WINDOW;
    let rushes = vms.iter().flat_map(|vm| (0..4).map(move |_| rush(vm, end)));
    let admitted: usize = futures_util::future::join_all(rushes).await.iter().sum();
    let allowed = RATE * WINDOW.as_secs_f64() + f64::from(BURST);
    let tolerance = allowed * f64::from(BOUND.excess_percent) / 100.0;
    let most = allowed + tolerance + f64::from(BOUND.slack);
    assert!(admitted as f64 <= most, "{admitted} of {most} admitted");
    assert!(admitted as f64 >= allowed * 0.8, "only {admitted} admitted");
}
