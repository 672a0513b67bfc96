//! Parsing and formatting of values with units.

use std::time::Duration;

use pimentoflow::version::units::Address;
use pimentoflow::version::units::ByteSize;
use pimentoflow::version::units::Percentage;
use pimentoflow::version::units::Period;

/// Guards against parsing a unit with the wrong scale.
#[test]
fn values_have_the_scale_of_their_unit() {
    let periods = [("150ms", 150_000), ("2s", 2_000_000), ("3m", 180_000_000), ("7us", 7)];
    for (text, us) in periods {
        assert_eq!(text.parse(), Ok(Period(Duration::from_micros(us))), "{text}");
    }
    for (text, ppm) in [("2%", 20_000), ("99.9%", 999_000), ("0.0001%", 1), ("100%", 1_000_000)] {
        let value: Percentage = text.parse().expect(text);
        assert_eq!(value.ppm(), ppm, "{text}");
    }
    for (text, bytes) in [("512B", 512), ("64KiB", 65_536), ("4MiB", 4_194_304), ("1GiB", 1 << 30)] {
        assert_eq!(text.parse(), Ok(ByteSize(bytes)), "{text}");
    }
}

/// Guards against accepting values without a unit, values out of range and host names, and against errors that do not
/// contain the value and the remedy.
#[test]
fn errors_name_the_value_and_the_remedy() {
    for text in [
        "",
        "150",
        "ms",
        "1.5s",
        "-1s",
        "150 ms",
        "1h",
        "99999999999999999999s",
        "18446744073709551615m",
    ] {
        let error = text.parse::<Period>().expect_err(text).to_string();
        assert!(
            error.contains(&format!("`{text}`")) && error.contains("150ms"),
            "{error}"
        );
    }
    for text in [
        "",
        "2",
        "%",
        "101%",
        "100.0001%",
        "-1%",
        "1.%",
        ".5%",
        "1.00001%",
        "+1%",
        "2 %",
    ] {
        let error = text.parse::<Percentage>().expect_err(text).to_string();
        assert!(
            error.contains(&format!("`{text}`")) && error.contains("99.9%"),
            "{error}"
        );
    }
    for text in ["", "64", "KiB", "64kB", "1.5MiB", "99999999999GiB"] {
        let error = text.parse::<ByteSize>().expect_err(text).to_string();
        assert!(
            error.contains(&format!("`{text}`")) && error.contains("64KiB"),
            "{error}"
        );
    }
    for text in ["", "localhost:80", "10.0.0.7", "10.0.0.7:70000", "10.0.0.256:1"] {
        let error = text.parse::<Address>().expect_err(text).to_string();
        assert!(
            error.contains(&format!("`{text}`")) && error.contains("10.0.0.7:7101"),
            "{error}"
        );
    }
}

/// Guards against a value that changes when it is formatted and parsed again.
#[test]
fn written_values_are_read_back() {
    property_check::check()
        .with_iterations(5_000)
        .with_type::<(u64, u32)>()
        .for_each(|(number, ppm)| {
            let period = Period(Duration::from_nanos(*number));
            assert_eq!(period.to_string().parse(), Ok(period));
            let size = ByteSize(*number);
            assert_eq!(size.to_string().parse(), Ok(size));
            let ppm = ppm % 1_000_001;
            let text = format!("{}.{:04}%", ppm / 10_000, ppm % 10_000);
            let share: Percentage = text.parse().expect("in range");
            assert_eq!(share.to_string().parse(), Ok(share));
            assert_eq!(share.ppm(), ppm);
        });
}

/// Guards against text that causes a panic in a parser.
#[test]
fn arbitrary_text_never_panics() {
    property_check::check()
        .with_iterations(20_000)
        .with_type::<String>()
        .for_each(|text| {
            let _ = text.parse::<Period>();
            let _ = text.parse::<Percentage>();
            let _ = text.parse::<ByteSize>();
            let _ = text.parse::<Address>();
        });
}
