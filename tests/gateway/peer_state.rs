//! State that VMs get from each other instead of from the store.

use crate::configuration::{APPLY_BOUND, EXTRA_ROUTE};
use crate::test_env::{TestEnv, put_config, register, wait_until};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use gentianridge_config::GatewaySettings;
use gentianridge_core::{PeerView, StoreVersion, TargetListUpdate, UpdateContent};
use gentianridge_testkit::{
    CART, FakeTarget, GatewayVm, StoreFault, TargetEntryValue, make_settings,
};
use gentianridge_wire::{
    ConfigState, PeerDatagram, StateReply, StateRequest, new_framed, new_framed_with,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Time in which a VM has to be ready while a peer lives.
const READY_BOUND: Duration = Duration::from_secs(1);

/// Starts VMs beside that of the environment, and waits until all know each other.
async fn start_vms(env: &TestEnv, count: usize) -> Vec<GatewayVm> {
    let vms: Vec<GatewayVm> = (2..2 + count)
        .map(|index| GatewayVm::start(&format!("vm-{index}"), env.store.get_addr()).unwrap())
        .collect();
    for vm in &vms {
        vm.wait_ready().await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    vms
}

fn make_seeded(name: &str, store: SocketAddr, seed: &GatewayVm) -> GatewaySettings {
    let mut settings = make_settings(name, store);
    settings.seeds = vec![seed.get_settings().peers];
    settings
}

async fn serves_extra_route(vm: &GatewayVm, id: &str) -> bool {
    let mut caller = vm.open().await.unwrap();
    let reply = caller.request("GET", "/new/x", id).await.unwrap();
    reply.status == 200
}

/// A new VM whose store does not answer gets routes and targets from a seed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn start_without_store() {
    let env = TestEnv::start(1).await;
    let denied = env.store.open_endpoint().await.unwrap();
    for (index, fault) in [
        StoreFault::Silent,
        StoreFault::Unavailable,
        StoreFault::Reset,
    ]
    .into_iter()
    .enumerate()
    {
        denied.set_fault(fault);
        let started = Instant::now();
        let name = format!("vm-new-{index}");
        let vm = GatewayVm::start_with(make_seeded(&name, denied.get_addr(), &env.vm)).unwrap();
        vm.wait_ready().await.unwrap();
        assert!(
            started.elapsed() < READY_BOUND,
            "{fault:?}: {:?}",
            started.elapsed()
        );
        let mut caller = vm.open().await.unwrap();
        let reply = caller.request("GET", "/look/x", &name).await.unwrap();
        assert_eq!(reply.body, "done by t0");
    }
}

/// While a peer lives, a start costs two calls to the store at most.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_of_a_start() {
    let env = TestEnv::start(1).await;
    let own_endpoint = env.store.open_endpoint().await.unwrap();
    let before = env.store.count_calls("table=gentianridge-vms") + env.store.count_calls("rows-tx");
    let settings = make_seeded("vm-2", own_endpoint.get_addr(), &env.vm);
    let vm = GatewayVm::start_with(settings).unwrap();
    vm.wait_ready().await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let after = env.store.count_calls("table=gentianridge-vms") + env.store.count_calls("rows-tx");
    assert!(after - before <= 2, "{} calls", after - before);
    assert_eq!(
        own_endpoint.count_calls("rows-get"),
        0,
        "neither routes nor targets are read"
    );
}

/// A configuration comes into force on VMs that the store turns away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configuration_of_denied_vms() {
    let env = TestEnv::start(1).await;
    let denied_endpoint = env.store.open_endpoint().await.unwrap();
    let denied: Vec<GatewayVm> = (0..3)
        .map(|index| {
            GatewayVm::start(&format!("denied-{index}"), denied_endpoint.get_addr()).unwrap()
        })
        .collect();
    for vm in &denied {
        vm.wait_ready().await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    denied_endpoint.set_fault(StoreFault::Silent);
    put_config(&env.store, 9, EXTRA_ROUTE);
    tokio::time::sleep(APPLY_BOUND).await;
    for (index, vm) in denied.iter().enumerate() {
        assert!(
            serves_extra_route(vm, &format!("a{index}")).await,
            "VM {index}"
        );
    }
}

/// A change that does not fit into a datagram reaches all VMs without a read of each.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_change() {
    let env = TestEnv::start(1).await;
    let vms = start_vms(&env, 4).await;
    let before = env.store.count_calls("table=servers");
    let target = FakeTarget::start("late").await.unwrap();
    for index in 0..120 {
        let entry = target.make_entry(&TargetEntryValue {
            service: "other".into(),
            zone: "a-failure-domain-with-a-long-name".into(),
            is_draining: false,
            born: index,
        });
        env.store
            .put("servers", &format!("target-{index:03}"), &entry);
    }
    env.targets[0].set_work_percent(900);
    register(&env.store, &target, false, 1);
    for vm in &vms {
        wait_until(Duration::from_secs(2), || async {
            let mut caller = vm.open().await.unwrap();
            let reply = caller.request("GET", "/look/x", "late").await.unwrap();
            reply.body == "done by late"
        })
        .await;
    }
    let calls = env.store.count_calls("table=servers") - before;
    assert!(calls <= 12, "{calls} reads by 5 VMs");
}

/// Bytes that are no request, frames without end and connections that send nothing neither
/// end the daemon nor keep peers from its state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hostile_requests() {
    let env = TestEnv::start(1).await;
    let addr = env.vm.get_settings().peers;
    let mut held = Vec::new();
    for _ in 0..20 {
        held.push(TcpStream::connect(addr).await.unwrap());
    }
    let frames: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 64],
        &[0, 0, 0, 3, 0xff, 0xff, 0xff],
        &[0, 0, 0, 0],
    ];
    for bytes in frames {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        held.push(stream);
    }
    let mut endless = TcpStream::connect(addr).await.unwrap();
    tokio::spawn(async move { while endless.write_all(&[7; 4_096]).await.is_ok() {} });
    let request = StateRequest {
        vm: "vm-2".into(),
        revision: 0,
        list_version: None,
        needs_full_list: true,
        needs_peers: true,
    };
    let ask = async {
        let stream = TcpStream::connect(addr).await.unwrap();
        let mut framed = new_framed(stream);
        framed.send(Bytes::from(request.encode())).await.unwrap();
        let frame = framed.next().await.unwrap().unwrap();
        StateReply::decode(&frame).unwrap()
    };
    // Silent connections are closed after two seconds, eight at a time.
    let reply = tokio::time::timeout(Duration::from_secs(10), ask)
        .await
        .unwrap();
    assert_eq!(reply.config.unwrap().revision, 1);
    let list = reply.list.unwrap();
    assert_eq!(list.content, UpdateContent::Full);
    assert_eq!(list.entries[0].service, CART);
    assert_eq!(env.request("GET", "/look/x", "a1").await.status, 200);
}

/// A peer of the test that answers requests for its state with the given bytes.
async fn start_peer(reply: Vec<u8>) -> (SocketAddr, UdpSocket) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let socket = UdpSocket::bind(addr).await.unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut framed = new_framed_with(stream, StateReply::MAX_BYTES);
            let _ = framed.next().await;
            let _ = framed.send(Bytes::from(reply.clone())).await;
            let _ = framed.into_inner().read(&mut [0; 8]).await;
        }
    });
    (addr, socket)
}

fn make_datagram(addr: SocketAddr, revision: u64, list: Option<TargetListUpdate>) -> PeerDatagram {
    PeerDatagram {
        me: PeerView {
            vm: "stranger".into(),
            incarnation: 1,
            seq: 1,
            addr,
            operator_addr: None,
            is_leaving: false,
            revision,
            domain: "d1".into(),
        },
        is_hello: false,
        newest_revision: revision,
        crashes: Vec::new(),
        list,
        leaving: Vec::new(),
        paused: Vec::new(),
        evacuations: None,
        proof: None,
        era: None,
        peers: Vec::new(),
        summaries: Vec::new(),
    }
}

/// A configuration that does not match its checksum or does not decode is not put in force,
/// and neither is an older one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_configuration_of_peer() {
    let env = TestEnv::start(1).await;
    put_config(&env.store, 5, "");
    wait_until(Duration::from_secs(3), || async {
        env.request("GET", "/look/x", "probe").await.status == 200
    })
    .await;
    let make_reply = |value: Vec<u8>| {
        let config = Some(ConfigState { revision: 9, value });
        StateReply {
            config,
            ..StateReply::default()
        }
        .encode()
    };
    let valid = gentianridge_testkit::write_config(9, EXTRA_ROUTE).into_bytes();
    let mut corrupt = make_reply(valid);
    let at = corrupt.len() / 2;
    corrupt[at] ^= 1;
    let older = make_reply(gentianridge_testkit::write_config(3, EXTRA_ROUTE).into_bytes());
    for reply in [corrupt, make_reply(b"{\"version\":".to_vec()), older] {
        let (addr, socket) = start_peer(reply).await;
        let peers = env.vm.get_settings().peers;
        let datagram = make_datagram(addr, 9, None);
        socket.send_to(&datagram.encode(), peers).await.unwrap();
        tokio::time::sleep(Duration::from_millis(800)).await;
        assert!(!serves_extra_route(&env.vm, "a1").await);
    }
    assert_eq!(env.request("GET", "/look/x", "a2").await.status, 200);
}

/// A list of a peer whose entries do not match its digest is not applied; the store is read
/// instead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_list_of_peer() {
    let env = TestEnv::start(1).await;
    let list = TargetListUpdate {
        version: StoreVersion::new(1, 1_000_000),
        content: UpdateContent::Full,
        digest: 12_345,
        ..TargetListUpdate::default()
    };
    let reply = StateReply {
        list: Some(list.clone()),
        ..StateReply::default()
    };
    let (addr, socket) = start_peer(reply.encode()).await;
    let header = TargetListUpdate {
        content: UpdateContent::Omitted,
        ..list
    };
    let before = env.store.count_calls("table=servers");
    let datagram = make_datagram(addr, 0, Some(header));
    let peers = env.vm.get_settings().peers;
    socket.send_to(&datagram.encode(), peers).await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(env.request("GET", "/look/x", "a1").await.body, "done by t0");
    assert!(env.store.count_calls("table=servers") > before);
}
