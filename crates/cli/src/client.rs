//! Client of the operators' paths.

use crate::args::OperatorEndpoint;
use anyhow::{Context, bail};
use gentianridge_api::{RequestTrace, StatusAnswer, SubmitAnswer, SubmitRequest, TimelineAnswer};
use reqwest::{Client, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time for one answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Talks to the operators' paths of one fleet.
#[derive(Debug)]
pub struct OperatorClient {
    client: Client,
    to: SocketAddr,
    token: String,
}

/// One VM's answer, or why there is none.
#[derive(Debug)]
pub(crate) struct VmAnswer<T> {
    pub(crate) vm: String,
    pub(crate) answer: anyhow::Result<T>,
}

impl OperatorClient {
    /// Creates a client that enters the fleet through one VM.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be built.
    pub fn new(to: SocketAddr, token: &str) -> anyhow::Result<Self> {
        Ok(Self {
            client: Client::builder().timeout(TIMEOUT).no_proxy().build()?,
            to,
            token: token.to_owned(),
        })
    }

    pub(crate) fn of(endpoint: &OperatorEndpoint) -> anyhow::Result<Self> {
        Self::new(endpoint.to, &endpoint.token)
    }

    /// Returns the status of the VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer or does not accept the token.
    pub async fn status(&self) -> anyhow::Result<StatusAnswer> {
        self.get_json(self.to, "/v1/status").await
    }

    /// Returns the file in force on the VM.
    ///
    /// # Errors
    ///
    /// Fails if the VM does not answer or has no file in force.
    pub async fn file(&self) -> anyhow::Result<String> {
        let response = self
            .send(self.client.get(self.url(self.to, "/v1/file")))
            .await?;
        Ok(response.text().await?)
    }

    /// Submits a file.
    ///
    /// # Errors
    ///
    /// Fails if no answer comes; then the fate of the submission is unknown.
    pub async fn submit(&self, request: &SubmitRequest) -> anyhow::Result<SubmitAnswer> {
        let sent = self
            .client
            .post(self.url(self.to, "/v1/submissions"))
            .json(request);
        let response = self.send(sent).await?;
        Ok(response.json().await?)
    }

    /// Returns the status of every VM that is known to the first one.
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

    /// Returns the events of every VM that is known to the first one.
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

    /// Returns every trace of a request; several VMs can have seen one.
    pub(crate) async fn explain(&self, request: &str) -> anyhow::Result<Vec<RequestTrace>> {
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
        let mut vms = vec![(first.vm.to_string(), self.to)];
        vms.extend(
            first
                .peers
                .iter()
                .map(|peer| (peer.vm.to_string(), peer.operator_addr)),
        );
        vms.sort();
        Ok(vms)
    }

    async fn get_json<T: DeserializeOwned>(&self, to: SocketAddr, path: &str) -> anyhow::Result<T> {
        let response = self.send(self.client.get(self.url(to, path))).await?;
        response
            .json()
            .await
            .context("the answer is not what was expected")
    }

    async fn send(&self, request: RequestBuilder) -> anyhow::Result<reqwest::Response> {
        let response = request
            .bearer_auth(&self.token)
            .send()
            .await
            .with_context(|| format!("no answer from {}", self.to))?;
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::UNAUTHORIZED => bail!("the operators' token is missing or wrong (--token)"),
            status => bail!(
                "{status}: {}",
                response.text().await.unwrap_or_default().trim()
            ),
        }
    }

    fn url(&self, to: SocketAddr, path: &str) -> String {
        format!("http://{to}{path}")
    }
}
