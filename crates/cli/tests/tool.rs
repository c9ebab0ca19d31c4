//! The `hoplanding` binary against running daemons.

use hoplanding_testbed::{SiteConfig, TestSite, site::OPERATOR_TOKEN};
use std::process::{Command, Output};

async fn run_tool(url: String, args: &[&str]) -> (Option<i32>, String, String) {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let run = move || -> std::io::Result<Output> {
        Command::new(env!("CARGO_BIN_EXE_hoplanding"))
            .args(args)
            .env("HOPLANDING_URL", url)
            .env("HOPLANDING_TOKEN", OPERATOR_TOKEN)
            .output()
    };
    let output = tokio::task::spawn_blocking(run)
        .await
        .expect("no panic")
        .expect("the tool runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

/// Checks output formats and exit codes: 0 success, 1 refused, 2 invalid statement, 3 daemon unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn statements_give_tables_json_and_exit_codes() {
    let site = TestSite::start(SiteConfig::with_zones(1, 2, 1, 3))
        .await
        .expect("the site starts");
    let url = site.url("a1");
    let (code, stdout, _) = run_tool(url.clone(), &["show adapters order by adapter"]).await;
    assert_eq!(code, Some(0));
    assert!(
        stdout.contains("adapter-0002") && stdout.contains("(3 rows)"),
        "{stdout}"
    );
    let (code, stdout, _) = run_tool(
        url.clone(),
        &["show", "targets", "where", "role", "=", "engine", "--json"],
    )
    .await;
    assert_eq!(code, Some(0));
    let rows: serde_json::Value = serde_json::from_str(&stdout).expect("JSON");
    assert_eq!(rows["rows"][0]["target"], "engine-a1");
    let (code, stdout, _) = run_tool(
        url.clone(),
        &["create adapter new-one version v1; keep adapter new-one ready"],
    )
    .await;
    assert_eq!(code, Some(0), "{stdout}");
    assert!(stdout.starts_with("accepted as"), "{stdout}");
    let (code, _, stderr) = run_tool(url.clone(), &["create adapter new-one"]).await;
    assert_eq!(code, Some(1));
    assert!(stderr.contains("already exists"), "{stderr}");
    let (code, _, stderr) = run_tool(url.clone(), &["show tragets"]).await;
    assert_eq!(code, Some(2));
    assert!(stderr.contains("^^^^^^^"), "{stderr}");
    let (code, _, stderr) = run_tool(url.clone(), &["--token", "wrong", "show targets"]).await;
    assert_eq!(code, Some(1));
    assert!(stderr.contains("HOPLANDING_TOKEN"), "{stderr}");
    let (code, _, stderr) = run_tool("http://127.0.0.1:9".to_owned(), &["show targets"]).await;
    assert_eq!(code, Some(3));
    assert!(stderr.contains("--url"), "{stderr}");
    let (code, help, _) = run_tool(url, &["show", "--help"]).await;
    assert_eq!(code, Some(0));
    assert!(help.contains("LANGUAGE.md"), "{help}");
}
