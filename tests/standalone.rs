//! A standalone daemon, without a platform.

use gentianridge_cli::OperatorClient;
use gentianridge_config::Settings;
use gentianridge_testkit::LocalVm;
use std::net::SocketAddr;

const TOKEN: &str = "operators";

/// The status of a standalone daemon gives the load time of the file as the
/// time at which it was submitted and came into force.
#[tokio::test(flavor = "multi_thread")]
async fn loaded_file_status() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = Settings::new("alone", any, any, any).operator_token(TOKEN);
    let vm = LocalVm::start(settings).await.expect("the daemon starts");
    let file = include_str!("../samples/minimal.ini");
    vm.load(file.into()).await.expect("the file is right");
    let client = OperatorClient::new(vm.get_operators(), TOKEN).expect("a client");
    let status = client.status().await.expect("a status");
    let revision = status.revision.expect("a file in force");
    let took = revision.in_force_ms.saturating_sub(revision.submitted_ms);
    assert!(took < 5_000, "in force {took} ms after its submission");
}
