//! The table of result codes in docs/RESULT-CODES.md.

use gentianridge_core::ResultCode;

const TABLE: &str = include_str!("../../../docs/RESULT-CODES.md");

#[test]
fn table_lists_codes() {
    for code in ResultCode::ALL {
        let row = format!(
            "| {} | {} | {} | {} |",
            code.number(),
            code.http_status(),
            code.run_state().as_str(),
            code.text()
        );
        assert!(
            TABLE.contains(&row),
            "docs/RESULT-CODES.md lacks the row {row}"
        );
    }
}

#[test]
fn numbers_round_trip() {
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
    assert_eq!(ResultCode::from_number(9999), None);
}
