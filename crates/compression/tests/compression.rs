//! Packed texts fit their limit and are unpacked unchanged; malformed texts cause no panic.

use glenhaven_compression::{pack, unpack, UnpackError};
use proptest::prelude::*;

type Record = (String, u64, Vec<(String, bool)>);

fn records() -> impl Strategy<Value = Vec<Record>> {
    let task = ("[a-z0-9/-]{0,14}", any::<bool>());
    prop::collection::vec(
        ("[a-z0-9-]{0,12}", any::<u64>(), prop::collection::vec(task, 0..12)),
        0..60,
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn packed_records_are_unpacked_unchanged(records in records(), bytes in 16usize..8000) {
        let (text, taken) = pack(&records, bytes);
        prop_assert!(text.len() <= bytes);
        prop_assert_eq!(unpack::<Record>(&text).unwrap(), &records[..taken]);
        // One more record would not have fitted, except for the few bytes by which deflate varies.
        if taken < records.len() {
            let (more, all) = pack(&records[..taken + 1], usize::MAX);
            prop_assert!(all == taken + 1 && more.len() + 64 > bytes);
        }
    }

    #[test]
    fn any_text_is_an_error_or_records(text in ".{0,400}") {
        let _ = unpack::<Record>(&text);
    }

    #[test]
    fn any_damage_is_an_error_or_records(records in records(), at in any::<usize>(), byte in any::<u8>()) {
        let (text, _) = pack(&records, usize::MAX);
        let mut bytes = text.into_bytes();
        let n = bytes.len();
        bytes[at % n] = byte;
        if let Ok(damaged) = String::from_utf8(bytes) {
            let _ = unpack::<Record>(&damaged);
        }
    }
}

#[test]
fn too_large_unpacked_data_is_refused() {
    use base64::Engine;
    let bomb = miniz_oxide::deflate::compress_to_vec(&vec![0u8; 64 << 20], 9);
    let text = base64::engine::general_purpose::STANDARD_NO_PAD.encode(bomb);
    assert!(text.len() < 100_000);
    assert_eq!(unpack::<Record>(&text), Err(UnpackError::Compression));
    assert_eq!(unpack::<Record>("%"), Err(UnpackError::Text));
}
