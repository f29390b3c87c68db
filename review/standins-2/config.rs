//! Configurations as the operator writes them.

pub struct Path {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout: &'static str,
    pub objective: &'static str,
}

/// Writes a configuration; `service_fields` are added to each service, with a leading comma.
pub fn write(version: u32, services: &[&str], service_fields: &str, paths: &[Path]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":220,\"protocol\":\"h1\",\"tls\":false{service_fields}}}"
            )
        })
        .collect();
    let paths: Vec<String> = paths
        .iter()
        .map(|path| {
            format!(
                "{{\"name\":\"{}\",\"path_prefix\":\"{}\",\"kind\":\"{}\",\"timeout\":\"{}\",\"slo_latency\":\"{}\",\"priority\":1,\"service\":\"{}\",\"max_attempts\":2}}",
                path.name, path.prefix, path.kind, path.timeout, path.objective, path.service
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\"base_version\":\"00000000\",\"hosts\":[{{\"host\":\"depot.example\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    )
}
