//! Model checking of `specs/` with spin: every state of the protocol, and a counterexample for each measure removed.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
    thread,
};

/// Checks that run at the same time.
const AT_ONCE: usize = 4;

/// One run of the checker.
struct SpecCheck {
    model: &'static str,
    flags: &'static [&'static str],
    holds: bool,
}

const fn holds(model: &'static str, flags: &'static [&'static str]) -> SpecCheck {
    SpecCheck {
        model,
        flags,
        holds: true,
    }
}

const fn fails(model: &'static str, flags: &'static [&'static str]) -> SpecCheck {
    SpecCheck {
        model,
        flags,
        holds: false,
    }
}

const CHECKS: &[SpecCheck] = &[
    holds("ownership", &["-DN=2"]),
    holds("ownership", &["-DN=2", "-DCHECKS"]),
    holds("ownership", &["-DN=3", "-DLOG=5"]),
    holds("ownership", &["-DN=3", "-DLOG=5", "-DCHECKS"]),
    fails("ownership", &["-DN=2", "-DNO_READ_BACK"]),
    fails("ownership", &["-DN=2", "-DNO_VOID"]),
    fails("ownership", &["-DN=2", "-DNO_INTENT_BAR"]),
    fails("ownership", &["-DN=2", "-DNO_SETTLE"]),
    fails("ownership", &["-DN=2", "-DSETTLE_NO_DELIVERY"]),
    fails("ownership", &["-DN=2", "-DSETTLE_NO_IDLE"]),
    fails("ownership", &["-DN=2", "-DSETTLE_ON_RESTART"]),
    fails("ownership", &["-DN=2", "-DCHECKS", "-DNO_SETTLE"]),
    fails("ownership", &["-DN=2", "-DCHECKS", "-DSETTLE_NO_DELIVERY"]),
    fails("ownership", &["-DN=2", "-DCHECKS", "-DSETTLE_NO_IDLE"]),
    fails("ownership", &["-DN=2", "-DCHECKS", "-DSETTLE_ON_RESTART"]),
    // A target that checks orders only is safe while it does not forget the token in a restart...
    holds(
        "ownership",
        &["-DN=2", "-DCHECKS", "-DORDERS_ONLY", "-DRESTARTS=0"],
    ),
    fails("ownership", &["-DN=2", "-DCHECKS", "-DORDERS_ONLY"]),
    // ... and there the acknowledgement before the first dispatch is what makes it safe.
    fails(
        "ownership",
        &[
            "-DN=2",
            "-DCHECKS",
            "-DORDERS_ONLY",
            "-DRESTARTS=0",
            "-DNO_FENCE_ACK",
        ],
    ),
    holds("once", &[]),
    fails("once", &["-DANY_DAEMON_RUNS"]),
    fails("once", &["-DNEXT_RUN_RUNS"]),
    fails("once", &["-DNO_SPENT"]),
    fails("once", &["-DHAND_OVER_OPEN"]),
    fails("once", &["-DHAND_OVER_AS_FRESH"]),
    fails("once", &["-DNOT_RUN_AFTER_SEND"]),
];

fn run(program: &str, args: &[&str], folder: &Path) -> String {
    let output = Command::new(program)
        .args(args)
        .current_dir(folder)
        .output();
    let output = output
        .unwrap_or_else(|error| panic!("{program} can't be run ({error}): install spin and gcc"));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.success() || program.starts_with("./"),
        "{program} {args:?}: {text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    text
}

/// The checker's own report of one run.
fn check(number: usize, check: &SpecCheck) -> String {
    let specs = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../specs");
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("spec-{number}"));
    fs::create_dir_all(&folder).expect("a folder below the target folder");
    let model = specs.join(format!("{}.pml", check.model));
    let mut args = vec!["-a"];
    args.extend(check.flags);
    args.push(model.to_str().expect("the path is text"));
    run("spin", &args, &folder);
    run(
        "gcc",
        &[
            "-O2",
            "-DSAFETY",
            "-DCOLLAPSE",
            "-DMEMLIM=4000",
            "-w",
            "-o",
            "pan",
            "pan.c",
        ],
        &folder,
    );
    let report = run("./pan", &["-m1000000", "-w22"], &folder);
    fs::remove_dir_all(&folder).expect("the folder was made above");
    report
}

#[test]
fn the_protocol_holds_and_every_measure_is_needed() {
    let checks: Vec<_> = CHECKS.iter().enumerate().collect();
    for group in checks.chunks(AT_ONCE) {
        thread::scope(|scope| {
            let runs: Vec<_> = group
                .iter()
                .map(|(number, spec)| (spec, scope.spawn(move || check(*number, spec))))
                .collect();
            for (spec, run) in runs {
                let report = run.join().expect("the run ends");
                let expected = if spec.holds { "errors: 0" } else { "errors: 1" };
                assert!(
                    report.contains(expected),
                    "{} {:?}: expected {expected}:\n{report}",
                    spec.model,
                    spec.flags
                );
                assert!(
                    !report.contains("max search depth too small"),
                    "{} {:?} was cut short",
                    spec.model,
                    spec.flags
                );
                let states = report
                    .lines()
                    .find(|line| line.contains("states, stored"))
                    .unwrap_or_default();
                println!(
                    "{} {:?}: {expected}, {}",
                    spec.model,
                    spec.flags,
                    states.trim()
                );
            }
        });
    }
}
