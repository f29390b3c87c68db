//! Builds configurations in the format that operators write.

/// Service of the idempotent requests below `/look/` and the once-only requests
/// below `/once/`.
pub const CART: &str = "cart";

/// Returns a configuration with the routes `/look/` and `/once/`.
///
/// `extra_paths` holds further paths from [`write_path`], each with a leading comma.
pub fn write_config(version: u64, extra_paths: &str) -> String {
    format!(
        r#"{{"version":"{version:08x}","base_version":"00000000","services":[
        {{"name":"{CART}","health_path":"/health","max_conns":220}},
        {{"name":"other","health_path":"/health","max_conns":220}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout":"3000ms","idle_timeout":"15000ms"}},
        "hosts":[{{"host":"shop.example","paths":[{},{}{extra_paths}]}}]}}"#,
        write_path("look", "/look/", "idempotent"),
        write_path("once", "/once/", "non_idempotent")
    )
}

/// Returns a path of a configuration that routes to [`CART`].
pub fn write_path(name: &str, prefix: &str, kind: &str) -> String {
    format!(
        r#"{{"name":"{name}","path_prefix":"{prefix}","kind":"{kind}","timeout":"2000ms",
        "slo_latency":"600ms","priority":1,"service":"{CART}","max_attempts":2}}"#
    )
}

/// A workspace of a configuration.
#[derive(Debug, Clone, Copy)]
pub struct WorkspaceValue<'a> {
    /// Name, which targets receive.
    pub name: &'a str,
    /// Keys of its callers.
    pub keys: &'a [&'a str],
    /// Priority in place of that of the routes.
    pub priority: u8,
}

/// Returns the configuration of [`write_config`] with workspaces.
pub fn write_keyed_config(
    version: u64,
    extra_paths: &str,
    workspaces: &[WorkspaceValue<'_>],
) -> String {
    let workspaces: Vec<serde_json::Value> = workspaces
        .iter()
        .map(|workspace| {
            serde_json::json!({
                "name": workspace.name, "api_keys": workspace.keys,
                "priority": workspace.priority, "rate_per_s": 0, "burst": 0,
            })
        })
        .collect();
    let plain = write_config(version, extra_paths);
    let workspaces = serde_json::Value::Array(workspaces);
    format!("{{\"tenants\":{workspaces},{}", &plain[1..])
}

/// Returns a path like [`write_path`] whose requests need no key.
pub fn write_public_path(name: &str, prefix: &str, kind: &str) -> String {
    let path = write_path(name, prefix, kind);
    format!("{{\"public\":true,{}", &path[1..])
}
