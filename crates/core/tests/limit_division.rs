//! The division of limits of workspaces on one VM.

use gentianridge_core::{
    Admission, FleetLimits, LimitMember, LimitMessage, LimitTerms, RateLimit, RequestBound,
    TokenGrant, WorkspaceKey,
};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Address of VMs that receive nothing.
const ADDR: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9));

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Bytes of 10,000 limits that are declared, and of those that are in use on a VM that
/// holds none of them.
#[test]
fn memory_of_workspaces() {
    const WORKSPACES: usize = 10_000;
    let limits = (0..WORKSPACES).map(|index| RateLimit {
        per_second: 0.05 + 1.0 / (index as f64 + 1.0),
        burst: 4.0,
    });
    let keys = (0..WORKSPACES).map(|index| WorkspaceKey::from_name(&format!("w{index}")));
    let declared: Vec<_> = keys.zip(limits).collect();
    let keys: Vec<_> = declared.iter().map(|(key, _)| *key).collect();
    let members: Vec<LimitMember> = (0..40)
        .map(|index| LimitMember::new(&format!("vm-{index}").into(), ADDR, true))
        .collect();
    let mut vm = FleetLimits::new(seconds(1), &"vm-40".into(), 1, true);
    let counted = allocation_counter::measure(|| {
        vm.list_members(seconds(1), &members);
        vm.declare(seconds(1), declared);
    });
    let idle = counted.bytes_current as f64 / WORKSPACES as f64;
    let counted = allocation_counter::measure(|| {
        for key in &keys {
            vm.admit(seconds(2), *key);
            vm.take_messages();
        }
    });
    let active = counted.bytes_current as f64 / WORKSPACES as f64;
    println!("{idle} bytes a declared workspace, {active} more one in use");
    assert_eq!(vm.count_active(), WORKSPACES);
    assert!(idle <= 100.0, "{idle} bytes a declared workspace");
    assert!(active <= 1_000.0, "{active} bytes a workspace in use");
}

/// Without a tolerance, the tokens stay within the limit itself.
#[test]
fn exact_bound() {
    let limit = RateLimit {
        per_second: 10.0,
        burst: 20.0,
    };
    let terms = LimitTerms::new(limit, WINDOW, RequestBound::EXACT);
    let parts = terms.parts as f64;
    let window = (WINDOW + terms.hold).as_secs_f64();
    let most = parts * (terms.rate * window + terms.capacity);
    assert!(most <= 10.0 * 5.0 + 20.0 + 1e-6, "{most}");
}

/// Guards against a grant of a peer that is larger than the ask: it would lift the limit, and
/// two of them overflow the sum of tokens.
#[test]
fn grant_beyond_ask() {
    let key = WorkspaceKey::from_name("w");
    let limit = RateLimit {
        per_second: 4.0,
        burst: 4.0,
    };
    let members: Vec<LimitMember> = (0..20)
        .map(|index| {
            let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000 + index));
            LimitMember::new(&format!("vm-{index}").into(), addr, true)
        })
        .collect();
    let mut vm = FleetLimits::new(seconds(1), &"vm-none".into(), 1, true);
    vm.list_members(seconds(1), &members);
    vm.declare(seconds(1), vec![(key, limit)]);
    let (mut asked, mut admitted) = (0, 0);
    for _ in 0..10 {
        admitted += u32::from(matches!(vm.admit(seconds(2), key), Admission::Admitted(_)));
        for (addr, message) in vm.take_messages() {
            let LimitMessage::Asks(nonce, asks) = message else {
                panic!("a VM that holds nothing grants nothing: {message:?}");
            };
            asked += asks.iter().map(|ask| ask.tokens).sum::<u32>();
            let grants = asks.iter().map(|ask| TokenGrant {
                workspace: ask.workspace,
                tokens: u32::MAX,
                left_percent: 0,
            });
            vm.receive(
                seconds(2),
                addr,
                LimitMessage::Grants(nonce, grants.collect()),
            );
        }
    }
    assert!(asked > 0, "the VM asked for no tokens");
    assert!(
        admitted <= asked,
        "{admitted} admitted with {asked} tokens asked for"
    );
}
