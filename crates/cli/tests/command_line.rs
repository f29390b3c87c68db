//! Snapshots of the output of the command line.

#[test]
fn command_snapshots() {
    trycmd::TestCases::new()
        .default_bin_path(trycmd::cargo::cargo_bin!("gentianridge"))
        .case("tests/cmd/*.toml");
}
