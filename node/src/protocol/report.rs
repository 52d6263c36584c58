//! Load reports: names and values, as in `inflight=7,queue=2,util=0.61`.

use winnow::ascii::float;
use winnow::combinator::{eof, separated, separated_pair, terminated};
use winnow::prelude::*;
use winnow::token::take_while;

/// Names and values in the order of the report; empty if there was no report.
pub type Report = Vec<(String, f32)>;

/// Names used in the settings, and the names that servers use for the same values.
const ALIASES: [(&str, &str); 6] = [
    ("rif", "inflight"),
    ("q", "queue"),
    ("busy", "util"),
    ("lat_ms", "latency_ms"),
    ("rate", "qps"),
    ("fail_rate", "eps"),
];

/// Parses a report. Returns `None` if the text is not a valid report.
pub fn parse(text: &[u8]) -> Option<Report> {
    let mut report = terminated(separated(1.., pair, b','), eof);
    report.parse(text).ok()
}

fn pair(input: &mut &[u8]) -> ModalResult<(String, f32)> {
    let name = take_while(1.., |b: u8| b.is_ascii_alphanumeric() || b == b'_');
    let name = name.try_map(|n: &[u8]| std::str::from_utf8(n).map(str::to_owned));
    separated_pair(name, b'=', float.verify(|x: &f32| x.is_finite())).parse_next(input)
}

/// Returns the values in the order of `fields`. Returns no values unless all are present, since a value in
/// the wrong position would be misleading.
pub fn ordered_values(report: &Report, fields: &[String]) -> Vec<f32> {
    let value = |field: &String| {
        let alias = ALIASES.iter().find(|(name, _)| name == field).map(|(_, alias)| *alias);
        report.iter().find(|(name, _)| name == field || Some(name.as_str()) == alias).map(|(_, value)| *value)
    };
    fields.iter().map(value).collect::<Option<_>>().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_are_returned_in_the_order_of_the_settings() {
        let report = parse(b"inflight=7,queue=2,x0=0.61").expect("the report is well formed");
        let fields = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
        assert_eq!(ordered_values(&report, &fields(&["x0", "rif"])), [0.61, 7.0]);
        assert_eq!(ordered_values(&report, &fields(&["x0", "x1"])), [0.0f32; 0]);
    }

    #[test]
    fn malformed_reports_are_rejected() {
        for text in [&b""[..], b"a", b"a=", b"a=x", b"a=1,", b"a=1,b", b"=1", b"a=inf", b"a=1 b=2", b"\xff=1"]
        {
            assert_eq!(parse(text), None, "{:?}", String::from_utf8_lossy(text));
        }
    }
}
