//! Client of the operators' API.

use crate::args::OperatorEndpoint;
use anyhow::{Context, bail};
use gentianridge_api::{
    PREVIEW_PATH, PreviewAnswer, PreviewRequest, RequestTrace, StatusAnswer, SubmitAnswer,
    SubmitRequest, TimelineAnswer,
};
use reqwest::{Client, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP client of the operators' API of a fleet.
#[derive(Debug)]
pub struct OperatorClient {
    client: Client,
    addr: SocketAddr,
    token: String,
}

/// The answer of a VM, or the error of the request.
#[derive(Debug)]
pub(crate) struct VmAnswer<T> {
    pub(crate) vm: String,
    pub(crate) answer: anyhow::Result<T>,
}

impl OperatorClient {
    /// Creates a client that reaches the fleet through the VM at `addr`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be built.
    pub fn new(addr: SocketAddr, token: &str) -> anyhow::Result<Self> {
        Ok(Self {
            client: Client::builder().timeout(TIMEOUT).no_proxy().build()?,
            addr,
            token: token.to_owned(),
        })
    }

    pub(crate) fn from_endpoint(endpoint: &OperatorEndpoint) -> anyhow::Result<Self> {
        Self::new(endpoint.addr, &endpoint.token)
    }

    /// Returns the status of the VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer or does not accept the token.
    pub async fn status(&self) -> anyhow::Result<StatusAnswer> {
        self.get_json(self.addr, "/v1/status").await
    }

    /// Returns the file in force on the VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer or has no file in force.
    pub async fn file(&self) -> anyhow::Result<String> {
        let response = self
            .send(self.client.get(self.url(self.addr, "/v1/file")))
            .await?;
        Ok(response.text().await?)
    }

    /// Submits a file.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer. The outcome of the submission is then unknown.
    pub async fn submit(&self, request: &SubmitRequest) -> anyhow::Result<SubmitAnswer> {
        let sent = self
            .client
            .post(self.url(self.addr, "/v1/submissions"))
            .json(request);
        let response = self.send(sent).await?;
        Ok(response.json().await?)
    }

    /// Returns the status of the VM at `addr` and of all its peers.
    pub(crate) async fn get_all_statuses(&self) -> anyhow::Result<Vec<VmAnswer<StatusAnswer>>> {
        let first = self.status().await?;
        let mut answers = Vec::new();
        for peer in &first.peers {
            answers.push(VmAnswer {
                vm: peer.vm.to_string(),
                answer: self.get_json(peer.operator_addr, "/v1/status").await,
            });
        }
        let vm = first.vm.to_string();
        answers.push(VmAnswer {
            vm,
            answer: Ok(first),
        });
        answers.sort_by(|a, b| a.vm.cmp(&b.vm));
        Ok(answers)
    }

    /// Returns the events of the VM at `addr` and of all its peers.
    pub(crate) async fn get_all_timelines(
        &self,
        since_ms: u64,
    ) -> anyhow::Result<Vec<VmAnswer<TimelineAnswer>>> {
        let path = format!("/v1/timeline?since={since_ms}");
        let mut answers = Vec::new();
        for (vm, addr) in self.list_vms().await? {
            let answer = self.get_json(addr, &path).await;
            answers.push(VmAnswer { vm, answer });
        }
        Ok(answers)
    }

    /// Returns all traces of a request; several VMs may have received it.
    pub(crate) async fn get_traces(&self, request: &str) -> anyhow::Result<Vec<RequestTrace>> {
        let path = format!("/v1/requests/{request}");
        let mut traces = Vec::new();
        for (_, addr) in self.list_vms().await? {
            if let Ok(trace) = self.get_json(addr, &path).await {
                traces.push(trace);
            }
        }
        Ok(traces)
    }

    async fn list_vms(&self) -> anyhow::Result<Vec<(String, SocketAddr)>> {
        let first = self.status().await?;
        let mut vms = vec![(first.vm.to_string(), self.addr)];
        vms.extend(
            first
                .peers
                .iter()
                .map(|peer| (peer.vm.to_string(), peer.operator_addr)),
        );
        vms.sort();
        Ok(vms)
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let response = self.send(self.client.get(self.url(addr, path))).await?;
        response.json().await.context("cannot decode the answer")
    }

    async fn send(&self, request: RequestBuilder) -> anyhow::Result<reqwest::Response> {
        let response = request
            .bearer_auth(&self.token)
            .send()
            .await
            .with_context(|| format!("no answer from {}", self.addr))?;
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::UNAUTHORIZED => bail!("the operators' token is missing or wrong (--token)"),
            status => bail!(
                "{status}: {}",
                response.text().await.unwrap_or_default().trim()
            ),
        }
    }

    fn url(&self, addr: SocketAddr, path: &str) -> String {
        format!("http://{addr}{path}")
    }
}

/// Asks a daemon on the platform what would happen to a request, at its metrics address.
pub(crate) async fn fetch_preview(
    addr: SocketAddr,
    request: &PreviewRequest,
) -> anyhow::Result<PreviewAnswer> {
    let client = Client::builder().timeout(TIMEOUT).no_proxy().build()?;
    let response = client
        .post(format!("http://{addr}{PREVIEW_PATH}"))
        .json(request)
        .send()
        .await
        .context("no answer")?;
    let response = response.error_for_status()?;
    response.json().await.context("cannot decode the answer")
}
