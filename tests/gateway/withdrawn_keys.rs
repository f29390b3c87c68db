//! Keys that are withdrawn while a VM reaches neither the store nor its peers.

use crate::test_env::{TestEnv, wait_until};
use crate::workspaces::{KEY, NORTH, SECOND_KEY, SOUTH, bearer, put_workspaces, request_with};
use gentianridge_core::PeerView;
use gentianridge_testkit::{GatewayVm, Reply, StoreFault, WorkspaceValue, make_settings};
use gentianridge_wire::PeerDatagram;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Bound on withdrawn keys.
pub(crate) const REVOKE: Duration = Duration::from_secs(2);
/// Time within which any VM notices a change or the loss of the store.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);
const UNPROVEN: Option<&str> = Some("1009");

/// The workspace without its first key.
pub(crate) const WITHDRAWN: WorkspaceValue<'static> = WorkspaceValue {
    keys: &[SECOND_KEY],
    ..NORTH
};

/// Starts an environment whose VM accepts keys by proof.
pub(crate) async fn start_strict() -> TestEnv {
    let env = TestEnv::start_with(1, |settings| settings.revoke = Some(REVOKE)).await;
    put_workspaces(&env.store, 2, &[NORTH, SOUTH]);
    wait_until(LIMIT, || async {
        ask(&env.vm, KEY, "first").await.status == 200
    })
    .await;
    wait_until(LIMIT, || async {
        ask(&env.vm, "unknown", "a").await.status == 401
    })
    .await;
    env
}

/// Starts a VM that accepts keys by proof, has another address of the store and knows the
/// VM of the environment.
fn start_second(env: &TestEnv, store: SocketAddr) -> GatewayVm {
    let mut settings = make_settings("vm-2", store);
    settings.revoke = Some(REVOKE);
    settings.seeds = vec![env.vm.get_settings().peers];
    GatewayVm::start_with(settings).unwrap()
}

pub(crate) async fn ask(vm: &GatewayVm, key: &str, id: &str) -> Reply {
    let mut caller = vm.open().await.unwrap();
    caller.set_key(key);
    caller.request("GET", "/look/x", id).await.unwrap()
}

fn assert_unproven(reply: &Reply) {
    assert_eq!(reply.status, 503);
    assert_eq!(reply.get("gentianridge-code"), UNPROVEN);
    assert_eq!(reply.get("gentianridge-run"), Some("not-run"));
    assert!(reply.get("retry-after").is_some());
}

/// A VM that the store answers no more runs no request that was sent later than the bound
/// after its key was withdrawn, on new and on kept connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_lost() {
    for fault in [
        StoreFault::Silent,
        StoreFault::Unavailable,
        StoreFault::Reset,
    ] {
        let env = start_strict().await;
        let mut kept = env.vm.open().await.unwrap();
        kept.set_key(KEY);
        assert_eq!(
            kept.request("GET", "/look/x", "a").await.unwrap().status,
            200
        );
        env.store.set_fault(fault);
        put_workspaces(&env.store, 3, &[WITHDRAWN, SOUTH]);
        let withdrawn = Instant::now();
        for number in 0.. {
            let sent = Instant::now();
            assert!(
                sent < withdrawn + LIMIT,
                "keys are still accepted: {fault:?}"
            );
            let id = format!("b{number}");
            let reply = kept.request("GET", "/look/x", &id).await.unwrap();
            let is_late = sent > withdrawn + REVOKE;
            assert!(!is_late || env.count_runs(&id) == 0, "ran after the bound");
            if reply.status != 200 {
                assert_unproven(&reply);
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_unproven(&ask(&env.vm, SECOND_KEY, "c").await);
        assert_unproven(&ask(&env.vm, "unknown", "d").await);
        env.store.set_fault(StoreFault::None);
        wait_until(LIMIT, || async {
            ask(&env.vm, KEY, "e").await.status == 401
        })
        .await;
        assert_eq!(ask(&env.vm, SECOND_KEY, "f").await.status, 200);
    }
}

/// A VM that the store turns away accepts keys by the proofs of a peer, and refuses a key
/// that is withdrawn meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_through_peer() {
    let env = start_strict().await;
    let denied = env.store.open_endpoint().await.unwrap();
    denied.set_fault(StoreFault::Unavailable);
    let second = start_second(&env, denied.get_addr());
    wait_until(LIMIT, || async {
        ask(&second, KEY, "a").await.status == 200
    })
    .await;
    tokio::time::sleep(REVOKE * 2).await;
    wait_until(LIMIT, || async {
        ask(&second, KEY, "b").await.status == 200
    })
    .await;
    put_workspaces(&env.store, 3, &[WITHDRAWN, SOUTH]);
    wait_until(LIMIT, || async {
        ask(&second, KEY, "c").await.status == 401
    })
    .await;
    wait_until(LIMIT, || async {
        ask(&second, SECOND_KEY, "d").await.status == 200
    })
    .await;
}

/// A VM that starts while nobody reaches the store gets the configuration from a peer and
/// accepts no key by it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn start_without_proof() {
    let env = start_strict().await;
    env.store.set_fault(StoreFault::Silent);
    wait_until(LIMIT, || async {
        ask(&env.vm, KEY, "a").await.status == 503
    })
    .await;
    let second = start_second(&env, env.store.get_addr());
    wait_until(LIMIT, || async {
        ask(&second, KEY, "b").await.get("gentianridge-code") == UNPROVEN
    })
    .await;
    assert_eq!(second.check_readiness().await, Some(503));
    env.store.set_fault(StoreFault::None);
    wait_until(LIMIT, || async {
        ask(&second, KEY, "c").await.status == 200
    })
    .await;
    wait_until(LIMIT, || async {
        second.check_readiness().await == Some(200)
    })
    .await;
}

/// Public routes need no proof, unless the request shows a key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn public_without_proof() {
    let env = start_strict().await;
    env.store.set_fault(StoreFault::Silent);
    wait_until(LIMIT, || async {
        ask(&env.vm, KEY, "a").await.status == 503
    })
    .await;
    assert_eq!(env.request("GET", "/open/x", "b").await.status, 200);
    let reply = request_with(&env, &bearer(KEY), "/open/x", "c").await;
    assert_unproven(&reply);
    assert_eq!(env.request("GET", "/none/x", "d").await.status, 404);
}

/// Without a strict bound, known keys stay in force while the store is away. An unknown one
/// may belong to a newer configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_key() {
    let env = TestEnv::start(1).await;
    put_workspaces(&env.store, 2, &[NORTH, SOUTH]);
    wait_until(LIMIT, || async {
        ask(&env.vm, "unknown", "a").await.status == 401
    })
    .await;
    env.store.set_fault(StoreFault::Silent);
    wait_until(LIMIT, || async {
        ask(&env.vm, "unknown", "b").await.get("gentianridge-code") == UNPROVEN
    })
    .await;
    assert_eq!(ask(&env.vm, KEY, "c").await.status, 200);
    assert_eq!(env.vm.check_readiness().await, Some(200));
}

/// A configuration that cannot be decoded may withdraw keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreadable_configuration() {
    let env = start_strict().await;
    env.store.put("op", "config", b"{");
    wait_until(LIMIT, || async {
        ask(&env.vm, KEY, "a").await.status == 503
    })
    .await;
    assert_unproven(&ask(&env.vm, KEY, "b").await);
    put_workspaces(&env.store, 3, &[NORTH, SOUTH]);
    wait_until(LIMIT, || async {
        ask(&env.vm, KEY, "c").await.status == 200
    })
    .await;
}

/// Returns the answer of a VM to the greeting of another one.
async fn greet(vm: &GatewayVm) -> PeerDatagram {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let datagram = PeerDatagram {
        me: PeerView {
            vm: "vm-9".into(),
            incarnation: 1,
            seq: 1,
            addr: socket.local_addr().unwrap(),
            operator_addr: None,
            is_leaving: false,
            revision: 1,
            domain: "d1".into(),
        },
        is_hello: true,
        newest_revision: 1,
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
    let peers = vm.get_settings().peers;
    socket.send_to(&datagram.encode(), peers).await.unwrap();
    let mut buf = vec![0; PeerDatagram::MAX_BYTES];
    let received = tokio::time::timeout(LIMIT, socket.recv_from(&mut buf)).await;
    let (size, _) = received.unwrap().unwrap();
    PeerDatagram::decode(&buf[..size]).unwrap()
}

/// VMs send proofs only where both the configuration and the settings call for them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proofs_only_on_demand() {
    let strict = start_strict().await;
    assert_eq!(
        greet(&strict.vm).await.proof.map(|proof| proof.revision),
        Some(2)
    );
    let without_keys = TestEnv::start_with(1, |settings| settings.revoke = Some(REVOKE)).await;
    assert_eq!(greet(&without_keys.vm).await.proof, None);
    let lenient = TestEnv::start(1).await;
    put_workspaces(&lenient.store, 2, &[NORTH, SOUTH]);
    wait_until(LIMIT, || async {
        ask(&lenient.vm, "x", "a").await.status == 401
    })
    .await;
    assert_eq!(greet(&lenient.vm).await.proof, None);
}
