//! Messages between the VMs of a fleet, and their rows in the store.

use crate::configuration::{APPLY_BOUND, EXTRA_ROUTE};
use crate::test_env::{TestEnv, put_config, register, wait_until};
use gentianridge_core::PeerView;
use gentianridge_testkit::{FakeStore, FakeTarget, GatewayVm, StoreFault};
use gentianridge_wire::PeerDatagram;
use std::time::Duration;

const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// The target list is read about once for all VMs of the fleet, and a leave also
/// reaches the VMs that did not read it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shared_list_reads() {
    let env = TestEnv::start(2).await;
    let vms: Vec<GatewayVm> = (2..5)
        .map(|index| GatewayVm::start(&format!("vm-{index}"), env.store.get_addr()).unwrap())
        .collect();
    for vm in &vms {
        vm.wait_ready().await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = env.store.count_calls("table=servers");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = env.store.count_calls("table=servers") - before;
    // The reader waits at the store for 0.2 of the bound of 2 s in each call. Around a
    // hand-over two VMs may read; 40 calls would be one of each VM in each cycle.
    assert!((6..=20).contains(&calls), "{calls} reads by 4 VMs in 4 s");
    register(&env.store, &env.targets[0], true, 1);
    tokio::time::sleep(DRAIN_BOUND).await;
    for vm in &vms {
        for index in 0..4 {
            let mut caller = vm.open().await.unwrap();
            let reply = caller
                .request("GET", "/look/x", &format!("a{index}"))
                .await
                .unwrap();
            assert_eq!(reply.body, "done by t1");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fleet_wide_configuration() {
    let env = TestEnv::start(1).await;
    let vms: Vec<GatewayVm> = (2..6)
        .map(|index| GatewayVm::start(&format!("vm-{index}"), env.store.get_addr()).unwrap())
        .collect();
    for vm in &vms {
        vm.wait_ready().await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    put_config(&env.store, 9, EXTRA_ROUTE);
    tokio::time::sleep(APPLY_BOUND).await;
    for vm in &vms {
        let mut caller = vm.open().await.unwrap();
        let reply = caller.request("GET", "/new/x", "a1").await.unwrap();
        assert_eq!(reply.status, 200);
    }
}

/// A service that is declared after heartbeats of the peers were received gets
/// its full share of load requests. A VM sends only a small share of them until
/// it has the size of the fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_added_later() {
    let store = FakeStore::start().await.unwrap();
    let target = FakeTarget::start("t0").await.unwrap();
    register(&store, &target, false, 1);
    let vms = ["vm-1", "vm-2"].map(|name| GatewayVm::start(name, store.get_addr()).unwrap());
    tokio::time::sleep(Duration::from_secs(1)).await;
    put_config(&store, 1, "");
    for vm in &vms {
        vm.wait_ready().await.unwrap();
    }
    let mut caller = vms[0].open().await.unwrap();
    for index in 0..20 {
        let reply = caller
            .request("GET", "/look/x", &format!("a{index}"))
            .await
            .unwrap();
        assert_eq!(reply.status, 200);
        // The load report in an answer is valid for less than this pause.
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    assert!(
        target.count_load_requests() >= 18,
        "{} load requests",
        target.count_load_requests()
    );
}

/// A new configuration comes into force on the VMs that the store serves, even if
/// the store leaves the calls of other VMs without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partial_store_access() {
    let env = TestEnv::start(1).await;
    let faulty_endpoint = env.store.open_endpoint().await.unwrap();
    let start = |name: &str, addr| GatewayVm::start(name, addr).unwrap();
    let unserved = ["vm-0a", "vm-0b"].map(|name| start(name, faulty_endpoint.get_addr()));
    let served = ["vm-2", "vm-3"].map(|name| start(name, env.store.get_addr()));
    for vm in unserved.iter().chain(&served) {
        vm.wait_ready().await.unwrap();
    }
    // Store calls that a daemon sent before it had peers are answered by then.
    tokio::time::sleep(Duration::from_secs(16)).await;
    faulty_endpoint.set_fault(StoreFault::Silent);
    tokio::time::sleep(Duration::from_millis(500)).await;
    put_config(&env.store, 9, EXTRA_ROUTE);
    tokio::time::sleep(APPLY_BOUND).await;
    for vm in &served {
        let mut caller = vm.open().await.unwrap();
        let reply = caller.request("GET", "/new/x", "a1").await.unwrap();
        assert_eq!(reply.status, 200);
    }
}

/// Table in which VMs register.
const VMS: &str = "gentianridge-vms";

/// The store does not expire rows, so a VM removes its row when it stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_vm_row() {
    let mut env = TestEnv::start(1).await;
    wait_until(Duration::from_secs(2), async || {
        env.store.get_keys(VMS) == ["vm-1"]
    })
    .await;
    env.vm.stop();
    wait_until(Duration::from_secs(2), async || {
        env.store.get_keys(VMS).is_empty()
    })
    .await;
}

/// A running VM writes its row again after the row was removed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rewritten_row() {
    let env = TestEnv::start(1).await;
    wait_until(Duration::from_secs(2), async || {
        env.store.get_keys(VMS) == ["vm-1"]
    })
    .await;
    env.store.remove(VMS, "vm-1");
    wait_until(Duration::from_secs(10), async || {
        env.store.get_keys(VMS) == ["vm-1"]
    })
    .await;
}

/// A VM whose clock was set back since its last start still gets a higher
/// incarnation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clock_set_back() {
    let store = FakeStore::start().await.unwrap();
    let last = r#"{"addr":"127.0.0.1:1","incarnation":9000000000000}"#;
    store.put(VMS, "vm-1", last.as_bytes());
    let _vm = GatewayVm::start("vm-1", store.get_addr()).unwrap();
    wait_until(Duration::from_secs(2), async || {
        let row = store.get_value(VMS, "vm-1").unwrap();
        String::from_utf8_lossy(&row).contains("9000000000001")
    })
    .await;
}

/// A datagram with a configuration version that the store does not have, for
/// example from another fleet, does not make the VM read the store endlessly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_version() {
    let env = TestEnv::start(1).await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let datagram = PeerDatagram {
        me: PeerView {
            vm: "stranger".into(),
            incarnation: 1,
            seq: 1,
            addr: socket.local_addr().unwrap(),
            operator_addr: None,
            is_leaving: false,
            revision: 99,
            domain: "d1".into(),
        },
        is_hello: false,
        newest_revision: 99,
        crashes: Vec::new(),
        list: None,
        leaving: Vec::new(),
        paused: Vec::new(),
        evacuations: None,
        proof: None,
        era: None,
        peers: Vec::new(),
        summaries: Vec::new(),
    };
    let peers = env.vm.get_settings().peers;
    socket.send_to(&datagram.encode(), peers).await.unwrap();
    let before = env.store.count_calls("table=op");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = env.store.count_calls("table=op") - before;
    assert!((1..=12).contains(&calls), "{calls} calls in 3 s");
    assert_eq!(env.request("GET", "/look/x", "a1").await.status, 200);
}
