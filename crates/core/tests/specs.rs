//! Model checking of `specs/` with spin: every state of the protocol, and a counterexample for each measure removed.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
    thread,
};

/// Checks that run at the same time.
const AT_ONCE: usize = 4;

/// What is asked of a run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SpecQuestion {
    /// Every state is sound.
    Sound,
    /// A state is not: a measure is missing.
    Broken,
    /// No state comes back, so every run comes to its end.
    Ending,
}

/// One run of the checker.
struct SpecCheck {
    model: &'static str,
    flags: &'static [&'static str],
    question: SpecQuestion,
}

const fn holds(model: &'static str, flags: &'static [&'static str]) -> SpecCheck {
    SpecCheck {
        model,
        flags,
        question: SpecQuestion::Sound,
    }
}

const fn fails(model: &'static str, flags: &'static [&'static str]) -> SpecCheck {
    SpecCheck {
        model,
        flags,
        question: SpecQuestion::Broken,
    }
}

const fn ends(model: &'static str, flags: &'static [&'static str]) -> SpecCheck {
    SpecCheck {
        model,
        flags,
        question: SpecQuestion::Ending,
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
    holds("freshness", &[]),
    holds("freshness", &["-DREADS=1", "-DBEATS=2"]),
    fails("freshness", &["-DPROOF_AT_ANSWER"]),
    fails("freshness", &["-DAGE_AT_RECEIPT"]),
    fails("freshness", &["-DANY_OFFSET"]),
    fails("freshness", &["-DLOOK_AT_HEAD"]),
    holds("eras", &[]),
    holds("eras", &["-DRESTORES=3"]),
    fails("eras", &["-DBY_OFFSET"]),
    fails("eras", &["-DAS_READ"]),
    fails("eras", &["-DNO_TURN"]),
    fails("eras", &["-DBEGIN_UNREAD"]),
    holds("turns", &["-DN=3"]),
    holds("turns", &["-DN=5"]),
    fails("turns", &["-DNOT_TOLD"]),
    fails("turns", &["-DRELEASED"]),
    holds("trials", &["-DKILLS=0"]),
    holds("trials", &["-DKILLS=2"]),
    fails("trials", &["-DTRIAL_FIRST"]),
    fails("trials", &["-DEACH_LINK"]),
    fails("trials", &["-DLAPSE"]),
    fails("trials", &["-DNO_RECORD"]),
    fails("trials", &["-DSECOND_FIRST"]),
    // All faults at once with two requests and versions, and each of them with more of the rest.
    holds("versions", &["-DV=2", "-DR=2"]),
    holds("versions", &["-DV=3", "-DR=2", "-DUNLOADS=0"]),
    holds("versions", &["-DV=2", "-DR=3", "-DUNLOADS=0"]),
    holds("versions", &["-DV=3", "-DR=3", "-DTAKES=0"]),
    holds(
        "versions",
        &["-DV=2", "-DR=2", "-DUNLOADS=0", "-DRESTARTS=1"],
    ),
    holds(
        "versions",
        &["-DT=3", "-DV=3", "-DR=2", "-DTAKES=0", "-DUNLOADS=0"],
    ),
    ends("versions", &["-DV=2", "-DR=2", "-DUNLOADS=0"]),
    ends("versions", &["-DV=2", "-DR=2", "-DTAKES=0"]),
    // Moves go on under all measures, after a takeover too.
    fails("versions", &["-DV=2", "-DR=2", "-DSEEK_MOVE"]),
    fails(
        "versions",
        &["-DV=2", "-DR=2", "-DTAKES=0", "-DNO_SOURCE_SIGHT"],
    ),
    fails(
        "versions",
        &["-DV=2", "-DR=3", "-DUNLOADS=0", "-DPARTS_BY_NAME"],
    ),
    fails(
        "versions",
        &[
            "-DV=2",
            "-DR=3",
            "-DUNLOADS=0",
            "-DPARTS_BY_NAME",
            "-DDROPS_PARTS",
        ],
    ),
    fails("versions", &["-DV=2", "-DR=2", "-DPARTS_AS_SENT"]),
    fails("versions", &["-DV=2", "-DR=2", "-DNO_EXPECT"]),
    fails(
        "versions",
        &[
            "-DV=2",
            "-DR=2",
            "-DTAKES=0",
            "-DUNLOADS=0",
            "-DNO_EXPECT",
            "-DMEMORY_ONLY",
        ],
    ),
    holds("versions", &["-DV=2", "-DR=2", "-DEXPECT_NAMED"]),
    fails("versions", &["-DV=2", "-DR=2", "-DNO_LOAN"]),
    fails(
        "versions",
        &[
            "-DV=2",
            "-DR=2",
            "-DTAKES=0",
            "-DUNLOADS=0",
            "-DNO_LOAN",
            "-DMEMORY_ONLY",
        ],
    ),
    fails(
        "versions",
        &[
            "-DV=2",
            "-DR=2",
            "-DUNLOADS=0",
            "-DNO_LOAN_ADOPTED",
            "-DMEMORY_ONLY",
        ],
    ),
    fails(
        "versions",
        &[
            "-DV=2",
            "-DR=3",
            "-DTAKES=0",
            "-DUNLOADS=0",
            "-DRESTARTS=1",
            "-DLOAN_OF_COPY",
        ],
    ),
    fails("versions", &["-DV=2", "-DR=2", "-DNO_BAR"]),
    fails("versions", &["-DV=2", "-DR=2", "-DBAR_NO_SIGHT"]),
    // A borrower is barred as its source is, unless targets check the version once more as a request begins.
    fails(
        "versions",
        &["-DV=2", "-DR=3", "-DUNLOADS=0", "-DBAR_SOURCE_ONLY"],
    ),
    holds(
        "versions",
        &[
            "-DV=2",
            "-DR=3",
            "-DUNLOADS=0",
            "-DBAR_SOURCE_ONLY",
            "-DCHECK_AT_BEGIN",
        ],
    ),
    // That calls name the version known of their copy does not stand in for the bar: a call of the holder before names another.
    fails(
        "versions",
        &[
            "-DV=2",
            "-DR=3",
            "-DUNLOADS=0",
            "-DNO_BAR",
            "-DCHECK_AT_BEGIN",
        ],
    ),
    // The holder's own late orders matter where another measure fails as well.
    holds(
        "versions",
        &["-DV=3", "-DR=2", "-DTAKES=0", "-DBAR_OLD_ONLY"],
    ),
    fails(
        "versions",
        &[
            "-DV=3",
            "-DR=2",
            "-DTAKES=0",
            "-DBAR_OLD_ONLY",
            "-DUNKNOWN_IS_OLD",
        ],
    ),
    fails(
        "versions",
        &[
            "-DV=2",
            "-DR=2",
            "-DTAKES=0",
            "-DBAR_OLD_ONLY",
            "-DLOAN_OF_COPY",
        ],
    ),
    fails("versions", &["-DV=2", "-DR=2", "-DNO_WAIT"]),
    fails(
        "versions",
        &["-DV=2", "-DR=2", "-DNO_WAIT", "-DMEMORY_ONLY"],
    ),
    fails(
        "versions",
        &[
            "-DV=2",
            "-DR=2",
            "-DUNLOADS=0",
            "-DNO_ADOPTED",
            "-DMEMORY_ONLY",
        ],
    ),
    fails(
        "versions",
        &[
            "-DV=2",
            "-DR=2",
            "-DTAKES=0",
            "-DUNLOADS=0",
            "-DLEFT_UNCOUNTED",
            "-DMEMORY_ONLY",
        ],
    ),
    fails("versions", &["-DV=2", "-DR=2", "-DNO_EXPECTED"]),
    fails(
        "versions",
        &[
            "-DV=2",
            "-DR=2",
            "-DTAKES=0",
            "-DUNLOADS=0",
            "-DRESTARTS=1",
            "-DNO_BASE",
        ],
    ),
    fails(
        "versions",
        &["-DV=3", "-DR=3", "-DTAKES=0", "-DUNKNOWN_IS_OLD"],
    ),
    holds(
        "versions",
        &[
            "-DV=3",
            "-DR=3",
            "-DTAKES=0",
            "-DUNKNOWN_IS_OLD",
            "-DFORGETS",
        ],
    ),
    fails(
        "versions",
        &["-DV=2", "-DR=2", "-DTAKES=0", "-DUNLOADS=0", "-DNO_LOOK"],
    ),
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
    let is_ending = check.question == SpecQuestion::Ending;
    // A counterexample turns up soon, so there the compiler's time counts for more than the checker's.
    let is_short = check.question == SpecQuestion::Broken;
    run(
        "gcc",
        &[
            if is_short { "-O1" } else { "-O2" },
            if is_ending { "-DNP" } else { "-DSAFETY" },
            "-DMEMLIM=4000",
            "-w",
            "-o",
            "pan",
            "pan.c",
        ],
        &folder,
    );
    let mut args = vec!["-m1000000", "-w22"];
    if is_ending {
        // The model marks no progress, so this finds every cycle.
        args.push("-l");
    }
    let report = run("./pan", &args, &folder);
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
                let expected = match spec.question {
                    SpecQuestion::Broken => "errors: 1",
                    SpecQuestion::Sound | SpecQuestion::Ending => "errors: 0",
                };
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
