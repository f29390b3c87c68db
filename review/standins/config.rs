//! The operator's configuration.

/// A route, all on the host of the deployment.
#[derive(Clone)]
pub struct Route {
    pub name: String,
    pub is_idempotent: bool,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub priority: u8,
    pub service: &'static str,
}

pub const HOST: &str = "sorteggio.example";
const SERVICES: [&str; 3] = ["abbinamenti", "estrazione", "storico"];

impl Route {
    pub fn new(name: &str, service: &'static str, is_idempotent: bool, timeout_ms: u64) -> Self {
        let (objective_ms, priority) = if is_idempotent { (600, 2) } else { (800, 1) };
        Self {
            name: name.into(),
            is_idempotent,
            timeout_ms,
            objective_ms,
            priority,
            service,
        }
    }

    fn to_json(&self) -> String {
        let kind = if self.is_idempotent {
            "idempotent"
        } else {
            "non_idempotent"
        };
        format!(
            "{{\"name\":\"{0}\",\"path_prefix\":\"/{0}/\",\"kind\":\"{kind}\",\"timeout\":\"{1}ms\",\
             \"slo_latency\":\"{2}ms\",\"priority\":{3},\"service\":\"{4}\",\"max_attempts\":2}}",
            self.name, self.timeout_ms, self.objective_ms, self.priority, self.service
        )
    }
}

/// Returns a configuration as the operator writes it.
pub fn write_config(version: u32, routes: &[Route]) -> String {
    let services: Vec<String> = SERVICES
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":220,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    let paths: Vec<String> = routes.iter().map(Route::to_json).collect();
    let base = version.saturating_sub(2);
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\
         \"base_version\":\"{base:08x}\",\"hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    )
}
