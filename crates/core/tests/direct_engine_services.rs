//! Which service a placement request is for, also if an old build sent it.

use hoplanding_core::{
    direct::{
        config::{EngineLimits, FleetConfig, ServiceRule},
        engine_services::EngineServices,
        planner::PlacementRequest,
    },
    ids::{AdapterName, ServiceName},
};
use serde_json::json;

/// Services with the base models of their engines; one without any is a plain service.
fn services(listed: &[(&str, &[&str])]) -> EngineServices {
    let rules = listed.iter().map(|(name, models)| {
        let engine = EngineLimits {
            slots: 8,
            kv_tokens: 100_000,
            adapter_slots: 4,
            adapters: 0,
            loads_per_s: 3.0,
            models: models.iter().map(|model| AdapterName::new(model)).collect(),
        };
        let rule = ServiceRule {
            name: ServiceName::new(name),
            max_connections: 10,
            health_path: None,
            engine: (!models.is_empty()).then_some(engine),
        };
        (rule.name.clone(), rule)
    });
    EngineServices::of(&FleetConfig {
        services: rules.collect(),
        ..FleetConfig::default()
    })
}

/// The service of a request as the build before the field `service` encodes it, or with the field.
fn service_of(services: &EngineServices, service: Option<&str>, subject: &str) -> Option<String> {
    let mut request = json!({
        "subject": subject, "prompt_tokens": 1, "output_tokens": 1, "prefix": [], "priority": 0, "bound_ms": 9,
        "exclude": [], "resting": [], "may_load": true, "terms": "Take", "fingerprint": 1, "is_trial": false,
        "charge": null,
    });
    if let Some(service) = service {
        request["service"] = json!(service);
    }
    let decoded: PlacementRequest =
        serde_json::from_value(request.clone()).expect("a request of either build");
    let encoded = serde_json::to_value(&decoded).expect("an encoded request");
    assert_eq!(encoded, request, "an empty service is not sent");
    services.service_of(&decoded).map(ToString::to_string)
}

/// Guards against calls of old builds that run at a service that may not be theirs, and against refusals where only one
/// service can be meant.
#[test]
fn requests_go_to_the_service_that_they_name_or_that_alone_can_be_meant() {
    let one = services(&[("scribe", &["base"]), ("ledger", &[])]);
    assert_eq!(
        service_of(&one, None, "other/a1").as_deref(),
        Some("scribe")
    );
    assert_eq!(service_of(&one, Some("ledger"), "base/a1"), None);

    let two = services(&[("scribe", &["base", "shared"]), ("press", &["shared"])]);
    assert_eq!(service_of(&two, None, "base/a1").as_deref(), Some("scribe"));
    assert_eq!(service_of(&two, None, "base").as_deref(), Some("scribe"));
    assert_eq!(service_of(&two, None, "shared/a1"), None);
    assert_eq!(service_of(&two, None, "unknown/a1"), None);
    let named = service_of(&two, Some("press"), "shared/a1");
    assert_eq!(named.as_deref(), Some("press"));
    assert_eq!(service_of(&services(&[]), None, "base"), None);
}
