//! A complete small site in one process: two availability zones with two daemons each, four engines with three slots,
//! 200 adapters, and a mix of requests. The site then stays up for use with `hoplanding` and curl, unless `--once` is given.

use gumdrop::Options;
use hoplanding_testbed::{
    LoadConfig, SiteConfig, TestSite, run_load,
    site::{NORMAL_TOKEN, OPERATOR_TOKEN},
};
use std::{io, process::ExitCode, time::Duration};

/// Arguments of the example.
#[derive(Options)]
struct SiteArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "end after the table; exit code 0 only if nothing was wrong, lost or repeated"
    )]
    once: bool,
    #[options(help = "requests to send", default = "3000")]
    requests: usize,
    #[options(no_short, help = "requests at once", default = "48")]
    at_once: usize,
    #[options(help = "seed of the mix", default = "1")]
    seed: u64,
    #[options(help = "print the daemons' log events")]
    verbose: bool,
}

#[tokio::main]
async fn main() -> io::Result<ExitCode> {
    let args = SiteArgs::parse_args_default_or_exit();
    if args.verbose {
        let config = simplelog::ConfigBuilder::new()
            .add_filter_allow_str("hoplanding")
            .build();
        let _ = simplelog::SimpleLogger::init(simplelog::LevelFilter::Info, config);
    }
    println!("starting 4 daemons in 2 availability zones, 4 engines with 3 slots, 200 adapters");
    let config = SiteConfig {
        load_time: Duration::from_millis(25),
        ..SiteConfig::with_zones(2, 2, 2, 200)
    };
    let site = TestSite::start(config).await?;
    print_sample_commands(&site);
    println!("sending {} requests", args.requests);
    let config = LoadConfig {
        requests: args.requests,
        concurrency: args.at_once,
        skew: 1.3,
        seed: args.seed,
        progress: true,
    };
    let report = run_load(&site, &config).await;
    println!("\n{report}");
    for line in report.failed.iter().chain(&report.violations).take(5) {
        println!("  {line}");
    }
    if args.once {
        return Ok(if report.is_clean() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        });
    }
    println!("\nthe site keeps running; stop it with Ctrl-C");
    tokio::signal::ctrl_c().await?;
    Ok(ExitCode::SUCCESS)
}

fn print_sample_commands(site: &TestSite) {
    let (Some(first), Some(last)) = (site.daemons.keys().next(), site.daemons.keys().last()) else {
        return;
    };
    println!("\ncommands to try in another terminal:");
    println!(
        "  export HOPLANDING_URL={} HOPLANDING_TOKEN={OPERATOR_TOKEN}",
        site.url(first)
    );
    println!("  cargo run --release -p hoplanding -- 'show targets'");
    println!("  cargo run --release -p hoplanding -- 'show loaded order by rate desc limit 12'");
    println!(
        "  cargo run --release -p hoplanding -- 'publish version v2 of adapter-0000; make current version v2 of adapter-0000'"
    );
    println!("  cargo run --release -p hoplanding -- 'explain adapter adapter-0000'");
    println!(
        "  curl -N {}/v1/completions -H 'Authorization: Bearer {NORMAL_TOKEN}' \\\n    -d '{{\"model\":\"adapter-0007\",\"prompt\":\"hello\",\"max_tokens\":8,\"stream\":true}}'\n",
        site.url(last)
    );
}
