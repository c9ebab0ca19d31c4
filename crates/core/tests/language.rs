//! The operators' language: statements and the changes that they make, error messages, and query clauses.

use hoplanding_core::language::{CellValue, DataTable, Statement, parse};

fn error_of(text: &str) -> String {
    parse(text).expect_err("the text is invalid").to_string()
}

fn changes_of(text: &str) -> String {
    match parse(text).expect("the text is valid") {
        Statement::Commands(list) => {
            serde_json::to_string(&list.changes).expect("changes serialise to JSON")
        }
        other => panic!("{other:?} is not a list of commands"),
    }
}

/// Changes are stored in the log under these names; a renamed field would make stored records unreadable.
#[test]
fn commands_become_changes() {
    insta::assert_snapshot!(changes_of("create adapter reel-scribe version v1"), @r#"[{"change":"create_adapter","adapter":"reel-scribe"},{"change":"publish_version","adapter":"reel-scribe","version":"v1"}]"#);
    insta::assert_snapshot!(changes_of("go back to version v1 of reel-scribe"), @r#"[{"change":"make_current","adapter":"reel-scribe","version":"v1"}]"#);
    insta::assert_snapshot!(changes_of("mark service reel-ledger POST /scans not repeatable"), @r#"[{"change":"mark_service","service":"reel-ledger","method":"POST","path":"/scans","rule":"not_repeatable"}]"#);
    insta::assert_snapshot!(changes_of("allow dispatch on adapters like berth-* priority urgent; drain target e1"), @r#"[{"change":"allow","caller":"dispatch","pattern":{"prefix":"berth-"},"priority":"urgent"},{"change":"set_draining","target":"e1","draining":true}]"#);
    insta::assert_snapshot!(changes_of("create target e1 zone likoni-sig address 10.0.0.4:8000 engine slots 4 batch 16 checks fencing"), @r#"[{"change":"create_target","target":"e1","zone":"likoni-sig","address":"10.0.0.4:8000","role":{"role":"engine","slots":4,"batch":16},"checks_fencing":true}]"#);
    insta::assert_snapshot!(changes_of("set quota of dispatch to 12.5 per second waiting 40"), @r#"[{"change":"set_quota","caller":"dispatch","quota":{"requests_per_second":12.5,"waiting":40}}]"#);
}

/// An operator has to find the invalid word and the accepted syntax in the message.
#[test]
fn errors_name_the_invalid_word() {
    insta::assert_snapshot!(error_of("show tragets"), @r"
    1:6: at `tragets`: expected a table (targets, loaded, waiting, requests, vms, callers, rights, adapters, changes, lag, operators, services, weights)
      show tragets
           ^^^^^^^
    ");
    insta::assert_snapshot!(error_of("show targets where state"), @r"
    1:25: at `end of text`: expected a comparison (=, !=, <, <=, >, >=, like)
      show targets where state
                              ^^^^^^^^^^^
    ");
    insta::assert_snapshot!(error_of("allow dispatch on adapter a priority highest"), @r"
    1:38: at `highest`: expected a priority (urgent, normal, batch)
      allow dispatch on adapter a priority highest
                                           ^^^^^^^
    ");
    insta::assert_snapshot!(error_of("set preset fastest"), @"preset `fastest` does not exist: use load-stalls-first or batch-efficiency-first");
}

/// The text of a command is stored in the audit trail, which must not contain tokens.
#[test]
fn secrets_are_redacted() {
    let Ok(Statement::Commands(list)) =
        parse("create caller desk token very-secret; drain target e1")
    else {
        panic!("the text is valid");
    };
    assert_eq!(list.text, "create caller desk token ***; drain target e1");
    assert!(
        !serde_json::to_string(&list.changes)
            .expect("changes serialise to JSON")
            .contains("very-secret")
    );
}

/// Guards against conditions, order and limit that are applied wrongly or in the wrong sequence.
#[test]
fn queries_filter_sort_and_limit() {
    let mut table = DataTable::new(&["name", "count"]);
    for (name, count) in [("alpha", 3.0), ("beta", 1.0), ("alps", 2.0), ("gamma", 9.0)] {
        table
            .rows
            .push(vec![CellValue::text(name), CellValue::Number(count)]);
    }
    let query = |text: &str| match parse(text) {
        Ok(Statement::Show(show)) => table.clone().apply(&show),
        other => panic!("{other:?} is not a query"),
    };
    let names = |table: DataTable| {
        table
            .rows
            .iter()
            .map(|row| row[0].to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        names(query("show targets where name like al* order by count").expect("a valid query")),
        ["alps", "alpha"]
    );
    assert_eq!(
        names(
            query("show targets where count >= 2 order by count desc limit 2")
                .expect("a valid query")
        ),
        ["gamma", "alpha"]
    );
    assert_eq!(
        names(query("show targets where name != beta and count < 9").expect("a valid query")),
        ["alpha", "alps"]
    );
    insta::assert_snapshot!(query("show targets where colour = red").expect_err("an unknown column"), @"the table has no column `colour`: it has name, count");
}
