//! What the VMs of a fleet tell each other.

use crate::configuration::{APPLY, MORE};
use crate::site::{Site, eventually, put_config, register};
use gentianridge_core::PeerView;
use gentianridge_testkit::{FakeStore, FakeTarget, GatewayVm, StoreFault};
use gentianridge_wire::PeerDatagram;
use std::time::Duration;

const DRAIN: Duration = Duration::from_secs(2);

/// The list of targets is read about once for the whole fleet, and a leave
/// reaches the VMs that did not read it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_reading() {
    let site = Site::start(2).await;
    let vms: Vec<GatewayVm> = (2..5)
        .map(|index| GatewayVm::start(&format!("vm-{index}"), site.store.get_addr()).unwrap())
        .collect();
    for vm in &vms {
        vm.wait_ready().await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = site.store.count_calls("table=servers");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = site.store.count_calls("table=servers") - before;
    assert!((2..=8).contains(&calls), "{calls} readings by 4 VMs in 4 s");
    register(&site.store, &site.targets[0], true, 1);
    tokio::time::sleep(DRAIN).await;
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
async fn configuration_everywhere() {
    let site = Site::start(1).await;
    let vms: Vec<GatewayVm> = (2..6)
        .map(|index| GatewayVm::start(&format!("vm-{index}"), site.store.get_addr()).unwrap())
        .collect();
    for vm in &vms {
        vm.wait_ready().await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    put_config(&site.store, 9, MORE);
    tokio::time::sleep(APPLY).await;
    for vm in &vms {
        let mut caller = vm.open().await.unwrap();
        let reply = caller.request("GET", "/new/x", "a1").await.unwrap();
        assert_eq!(reply.status, 200);
    }
}

/// A service that is declared after the peers were heard gets its full part of
/// the questions: with an unknown fleet a VM asks for a small part of it only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn later_service() {
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
        // The answer's own report is fresh for less than that.
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    assert!(
        target.count_load_requests() >= 18,
        "{} questions",
        target.count_load_requests()
    );
}

/// A store that turns some VMs away, by silence even, keeps no other VM from a
/// new configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn turned_away() {
    let site = Site::start(1).await;
    let door = site.store.open_endpoint().await.unwrap();
    let start = |name: &str, addr| GatewayVm::start(name, addr).unwrap();
    let away = ["vm-0a", "vm-0b"].map(|name| start(name, door.get_addr()));
    let served = ["vm-2", "vm-3"].map(|name| start(name, site.store.get_addr()));
    for vm in away.iter().chain(&served) {
        vm.wait_ready().await.unwrap();
    }
    // Whatever a daemon asked the store when it was alone is answered by then.
    tokio::time::sleep(Duration::from_secs(16)).await;
    door.set_fault(StoreFault::Silent);
    tokio::time::sleep(Duration::from_millis(500)).await;
    put_config(&site.store, 9, MORE);
    tokio::time::sleep(APPLY).await;
    for vm in &served {
        let mut caller = vm.open().await.unwrap();
        let reply = caller.request("GET", "/new/x", "a1").await.unwrap();
        assert_eq!(reply.status, 200);
    }
}

/// Table in which VMs register.
const VMS: &str = "gentianridge-vms";

/// The store keeps what nobody removes: a VM that stops takes its row along.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn row_of_a_stopped_vm() {
    let mut site = Site::start(1).await;
    eventually(Duration::from_secs(2), async || {
        site.store.get_keys(VMS) == ["vm-1"]
    })
    .await;
    site.vm.stop();
    eventually(Duration::from_secs(2), async || {
        site.store.get_keys(VMS).is_empty()
    })
    .await;
}

/// A row that was removed while its VM lives comes back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn removed_row() {
    let site = Site::start(1).await;
    eventually(Duration::from_secs(2), async || {
        site.store.get_keys(VMS) == ["vm-1"]
    })
    .await;
    site.store.remove(VMS, "vm-1");
    eventually(Duration::from_secs(10), async || {
        site.store.get_keys(VMS) == ["vm-1"]
    })
    .await;
}

/// A start whose time of day lies before that of the last one still gets a
/// higher number.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clock_set_back() {
    let store = FakeStore::start().await.unwrap();
    let last = r#"{"addr":"127.0.0.1:1","incarnation":9000000000000}"#;
    store.put(VMS, "vm-1", last.as_bytes());
    let _vm = GatewayVm::start("vm-1", store.get_addr()).unwrap();
    eventually(Duration::from_secs(2), async || {
        let row = store.get_value(VMS, "vm-1").unwrap();
        String::from_utf8_lossy(&row).contains("9000000000001")
    })
    .await;
}

/// A datagram that names a configuration which the store does not have, from
/// another fleet say, makes no VM ask the store on and on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_version() {
    let site = Site::start(1).await;
    let stranger = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let datagram = PeerDatagram {
        me: PeerView {
            vm: "stranger".into(),
            incarnation: 1,
            seq: 1,
            addr: stranger.local_addr().unwrap(),
            operator_addr: None,
            is_leaving: false,
            revision: 99,
        },
        is_hello: false,
        newest_revision: 99,
        crashes: Vec::new(),
        list: None,
        peers: Vec::new(),
        summaries: Vec::new(),
    };
    let peers = site.vm.get_settings().peers;
    stranger.send_to(&datagram.encode(), peers).await.unwrap();
    let before = site.store.count_calls("table=op");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = site.store.count_calls("table=op") - before;
    assert!((1..=12).contains(&calls), "{calls} calls in 3 s");
    assert_eq!(site.request("GET", "/look/x", "a1").await.status, 200);
}
