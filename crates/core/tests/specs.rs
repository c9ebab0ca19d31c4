//! Model checking of the Promela models in `specs/` with spin.
//!
//! Each model must hold in every reachable state, and must fail once a switch removes one of its safeguards. The second
//! part shows that the safeguard is necessary and that the model can detect its absence.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
    thread,
};

const MAX_PARALLEL_CHECKS: usize = 4;

/// Expected result of a check.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ExpectedResult {
    /// No reachable state violates the model's properties.
    Holds,
    /// A counterexample exists, because a safeguard is removed.
    Fails,
    /// No state is reached again, so every run terminates.
    Terminates,
}

/// One run of the model checker.
struct SpecCheck {
    model: &'static str,
    flags: &'static [&'static str],
    result: ExpectedResult,
}

const fn holds(model: &'static str, flags: &'static [&'static str]) -> SpecCheck {
    SpecCheck {
        model,
        flags,
        result: ExpectedResult::Holds,
    }
}

const fn fails(model: &'static str, flags: &'static [&'static str]) -> SpecCheck {
    SpecCheck {
        model,
        flags,
        result: ExpectedResult::Fails,
    }
}

const fn terminates(model: &'static str, flags: &'static [&'static str]) -> SpecCheck {
    SpecCheck {
        model,
        flags,
        result: ExpectedResult::Terminates,
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
    // A target that checks the tokens of orders only is safe as long as it does not lose the token in a restart.
    holds(
        "ownership",
        &["-DN=2", "-DCHECKS", "-DORDERS_ONLY", "-DRESTARTS=0"],
    ),
    fails("ownership", &["-DN=2", "-DCHECKS", "-DORDERS_ONLY"]),
    // There, safety depends on the acknowledgement before the first dispatch.
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
    holds("restored_keys", &[]),
    holds("restored_keys", &["-DRESTORES=2"]),
    holds("restored_keys", &["-DW=3"]),
    fails("restored_keys", &["-DEXCUSED"]),
    fails("restored_keys", &["-DEND_AT_WRITE"]),
    fails("restored_keys", &["-DSENT_IN_GUARD"]),
    fails("restored_keys", &["-DNO_GUARD_AT_START"]),
    fails("restored_keys", &["-DRESTORES=2", "-DCOUNT_FROM_FIRST"]),
    fails("restored_keys", &["-DONLY_OWN_READS"]),
    fails("restored_keys", &["-DREAD_BEFORE_ERA"]),
    fails("restored_keys", &["-DRESTORES=2", "-DOLD_RECORD"]),
    fails("restored_keys", &["-DRECORD_FOR_PAST"]),
    // Each search must find its state, as the checks above would hold vacuously without guards, without calls during
    // and after a guard, or without a second loss.
    fails("restored_keys", &["-DSEEK_OLD_PROOF"]),
    fails("restored_keys", &["-DSEEK_FORWARDED"]),
    fails("restored_keys", &["-DSEEK_AFTER_GUARD"]),
    fails("restored_keys", &["-DSEEK_RECORD"]),
    fails(
        "restored_keys",
        &["-DRESTORES=2", "-DW=1", "-DSEEK_LOST_TWICE"],
    ),
    holds("eras", &[]),
    holds("eras", &["-DCUTS=0"]),
    holds("eras", &["-DRESTORES=3"]),
    fails("eras", &["-DBY_OFFSET"]),
    fails("eras", &["-DAS_READ"]),
    fails("eras", &["-DNO_TURN"]),
    fails("eras", &["-DBEGIN_UNREAD"]),
    fails("eras", &["-DBEGIN_CUT"]),
    fails("eras", &["-DANY_ERA"]),
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
    // All kinds of faults with two requests and two versions, then fewer kinds with more requests, versions, restarts
    // or targets.
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
    terminates("versions", &["-DV=2", "-DR=2", "-DUNLOADS=0"]),
    terminates("versions", &["-DV=2", "-DR=2", "-DTAKES=0"]),
    // SEEK_MOVE searches for a cache transfer after a takeover. It must find one, as the other checks would hold
    // vacuously without transfers.
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
    // A target that borrows a cache must be barred like the lender, unless targets check the version again when a
    // request begins.
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
    // Calls that name the expected version of their copy do not replace the bar, because a call of the previous holder
    // names another version.
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
    // Late orders of the holder itself matter only if another safeguard is missing as well.
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
    let output = output.unwrap_or_else(|error| {
        panic!("{program} could not be started ({error}): install spin and gcc")
    });
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.success() || program.starts_with("./"),
        "{program} {args:?}: {text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    text
}

/// Runs a check and returns the report of the model checker.
fn run_check(number: usize, check: &SpecCheck) -> String {
    let specs = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../specs");
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("spec-{number}"));
    fs::create_dir_all(&folder).expect("the working folder can be created below the target folder");
    let model = specs.join(format!("{}.pml", check.model));
    let mut args = vec!["-a"];
    args.extend(check.flags);
    args.push(model.to_str().expect("the model's path is UTF-8"));
    run("spin", &args, &folder);
    let checks_termination = check.result == ExpectedResult::Terminates;
    // A counterexample is found early, so the compile time outweighs the run time.
    let expects_failure = check.result == ExpectedResult::Fails;
    run(
        "gcc",
        &[
            if expects_failure { "-O1" } else { "-O2" },
            if checks_termination {
                "-DNP"
            } else {
                "-DSAFETY"
            },
            "-DMEMLIM=4000",
            "-w",
            "-o",
            "pan",
            "pan.c",
        ],
        &folder,
    );
    let mut args = vec!["-m1000000", "-w22"];
    if checks_termination {
        // Searches for non-progress cycles; since the model has no progress labels, every cycle is one.
        args.push("-l");
    }
    let report = run("./pan", &args, &folder);
    fs::remove_dir_all(&folder).expect("the working folder can be removed");
    report
}

/// Guards against a protocol change that breaks a property, and against a safeguard that no property needs.
#[test]
fn models_hold_and_every_safeguard_is_necessary() {
    let checks: Vec<_> = CHECKS.iter().enumerate().collect();
    for batch in checks.chunks(MAX_PARALLEL_CHECKS) {
        thread::scope(|scope| {
            let runs: Vec<_> = batch
                .iter()
                .map(|(number, spec)| (spec, scope.spawn(move || run_check(*number, spec))))
                .collect();
            for (spec, run) in runs {
                let report = run.join().expect("a check must not panic");
                let expected = match spec.result {
                    ExpectedResult::Fails => "errors: 1",
                    ExpectedResult::Holds | ExpectedResult::Terminates => "errors: 0",
                };
                assert!(
                    report.contains(expected),
                    "{} {:?}: expected {expected}:\n{report}",
                    spec.model,
                    spec.flags
                );
                assert!(
                    !report.contains("max search depth too small"),
                    "{} {:?} reached the depth limit: raise the value of -m",
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
