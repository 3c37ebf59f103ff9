//! docs/EVENTS.md and the code hold the same events, in both directions.

use std::collections::BTreeMap;

use beamwall_events::internal_events::CATALOGUE;

fn documented() -> BTreeMap<u16, (String, String, String)> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    let page = std::fs::read_to_string(path).expect("the catalogue page exists");
    let rows = page.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| number"));
    rows.map(|row| {
        let cells: Vec<&str> = row.trim_matches('|').split(" | ").map(str::trim).collect();
        let number = cells[0].parse().unwrap_or_else(|_| panic!("row without number: {row}"));
        (number, (cells[1].to_owned(), cells[2].to_owned(), cells[3].to_owned()))
    })
    .collect()
}

#[test]
fn page_and_code_agree_in_both_directions() {
    let page = documented();
    let code: BTreeMap<u16, (String, String, String)> = CATALOGUE
        .iter()
        .map(|entry| {
            let level = entry.level.as_str().to_lowercase();
            (entry.number, (entry.name.to_owned(), level, entry.message.to_owned()))
        })
        .collect();
    assert_eq!(page, code);
    assert_eq!(code.len(), CATALOGUE.len(), "a number is used twice");
}
