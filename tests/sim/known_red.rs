//! The tests that fail because of a known fault that is not fixed yet, as listed in `KNOWN-RED.txt`.
//!
//! Each line has the name of a scenario's file, or `triples` and a case of the matrix of links, then
//! the command, the seed, the cause and the issue. A listed test is played, and its failure is
//! passed over; once it holds, the test fails until the line is removed.

use std::collections::BTreeMap;

const FILE: &str = "KNOWN-RED.txt";
/// Highest number of listed tests.
const MAX_ENTRIES: usize = 4;

/// Returns the causes of the listed tests, by their names. The result is empty if the file does not
/// exist.
///
/// # Panics
///
/// Panics if a line has no cause, if too many tests are listed, or if a scenario does not exist.
pub(crate) fn causes() -> BTreeMap<String, String> {
    let root = env!("CARGO_MANIFEST_DIR");
    let text = std::fs::read_to_string(format!("{root}/{FILE}")).unwrap_or_default();
    let listed: BTreeMap<String, String> = text
        .lines()
        .filter(|line| !line.is_empty())
        .map(|line| line.split_once(": ").expect("a name and a cause"))
        .map(|(name, cause)| (name.to_string(), cause.to_string()))
        .collect();
    assert!(
        listed.len() <= MAX_ENTRIES,
        "{FILE} lists more than {MAX_ENTRIES} tests"
    );
    for name in listed.keys().filter(|name| name.ends_with(".txt")) {
        let scenario = format!("{root}/tests/scenarios/{name}");
        assert!(std::path::Path::new(&scenario).exists(), "{FILE}: no scenario {name}");
    }
    listed
}

/// Returns the failures among these tests that count, given what is wrong with each: those that are
/// not listed, and the listed tests that hold. Prints the failures that are passed over.
pub(crate) fn unexpected(tests: &[(String, Vec<String>)], listed: &BTreeMap<String, String>) -> Vec<String> {
    let mut failed = vec![];
    for (name, wrong) in tests {
        match (wrong.is_empty(), listed.get(name)) {
            (true, None) => {}
            (true, Some(_)) => failed.push(format!("{name} passes: remove it from {FILE}")),
            (false, Some(cause)) => println!("KNOWN RED {name}: {cause}\n  {}", wrong.join("\n  ")),
            (false, None) => failed.push(format!("{name}:\n  {}", wrong.join("\n  "))),
        }
    }
    failed
}

#[test]
fn only_listed_failures_are_passed_over() {
    let test = |name: &str, wrong: &[&str]| (name.to_string(), wrong.iter().map(|w| w.to_string()).collect());
    let listed = BTreeMap::from([("known".to_string(), "a cause".to_string())]);
    let failed = |tests: &[(String, Vec<String>)]| unexpected(tests, &listed).len();
    assert_eq!(failed(&[test("known", &["a fault"]), test("other", &[])]), 0);
    assert_eq!(failed(&[test("known", &[])]), 1, "a listed test that holds");
    assert_eq!(
        failed(&[test("other", &["a fault"])]),
        1,
        "a failure that is not listed"
    );
}
