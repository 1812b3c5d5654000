//! The operators' own settings: protobuf text format, checked against a schema.

use jasperhill_controller::{OperatorSettings, SettingsError};
use jasperhill_wire::Micros;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

const FILE: &str = "operator.proto";
const SCHEMA: &str = include_str!("../proto/operator.proto");

struct Schema;

impl protox::file::FileResolver for Schema {
    fn open_file(&self, name: &str) -> Result<protox::file::File, protox::Error> {
        if name == FILE {
            protox::file::File::from_source(name, SCHEMA)
        } else {
            Err(protox::Error::file_not_found(name))
        }
    }
}

fn bad(field: &str, reason: impl std::fmt::Display) -> SettingsError {
    SettingsError {
        field: field.to_owned(),
        reason: reason.to_string().replace('\n', " "),
    }
}

fn descriptor() -> Result<MessageDescriptor, SettingsError> {
    let mut compiler = protox::Compiler::with_file_resolver(Schema);
    compiler.open_file(FILE).map_err(|e| bad("schema", e))?;
    let pool = DescriptorPool::from_file_descriptor_set(compiler.file_descriptor_set())
        .map_err(|e| bad("schema", e))?;
    pool.get_message_by_name("jasperhill.Operator")
        .ok_or_else(|| bad("schema", "incomplete"))
}

/// Reads the operators' settings.
pub fn parse(text: &str) -> Result<OperatorSettings, SettingsError> {
    let message = DynamicMessage::parse_text_format(descriptor()?, text)
        .map_err(|e| bad("operator settings", e))?;
    let number = |field: &str, least: f64, most: f64| -> Result<Option<f64>, SettingsError> {
        if !message.has_field_by_name(field) {
            return Ok(None);
        }
        match message
            .get_field_by_name(field)
            .and_then(|v| v.as_f64().or_else(|| v.as_u32().map(f64::from)))
        {
            Some(x) if x.is_finite() && (least..=most).contains(&x) => Ok(Some(x)),
            _ => Err(bad(field, format!("must be from {least} to {most}"))),
        }
    };
    let mut own = OperatorSettings::default();
    if let Some(x) = number("uncertainty_factor", 0.0, 100.0)? {
        own.tuning.uncertainty = x;
    }
    if let Some(x) = number("headroom", 0.0, 10.0)? {
        own.tuning.headroom = x;
    }
    if let Some(x) = number("idle_keep_s", 0.0, 86_400.0)? {
        own.tuning.idle_keep = Micros::from_secs_f64(x);
    }
    if let Some(x) = number("floor_machines", 0.0, 100_000.0)? {
        own.tuning.min_machines = x as u32;
    }
    if let Some(x) = number("restless_after", 0.0, 100.0)? {
        own.crash_loop_threshold = Some(x as u32);
    }
    if let Some(x) = number("least_share", 0.0, 1.0)? {
        own.tuning.least_share = x;
    }
    own.session = number("session_s", 2.0, 600.0)?.map(Micros::from_secs_f64);
    Ok(own)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn values_are_read_and_the_rest_stays_default() {
        let own = parse("headroom: 0.5\nsession_s: 8 floor_machines: 6 restless_after: 0").unwrap();
        assert_eq!(own.crash_loop_threshold, Some(0));
        assert_eq!(own.tuning.min_machines, 6);
        assert_eq!(own.tuning.headroom, 0.5);
        assert_eq!(own.session, Some(Micros::from_secs(8)));
        assert_eq!(own.tuning.uncertainty, 1.0);
        assert_eq!(parse("").unwrap(), OperatorSettings::default());
    }

    /// A file with everything that commit 6144652 understood: names and meanings stay.
    #[test]
    fn a_file_of_an_earlier_version_means_what_it_did() {
        let own = parse(
            "uncertainty_factor: 1.5 headroom: 0.25 idle_keep_s: 12.5 session_s: 9\n\
             floor_machines: 6 restless_after: 4 least_share: 0.5",
        )
        .unwrap();
        let tuning = &own.tuning;
        assert_eq!((tuning.uncertainty, tuning.headroom), (1.5, 0.25));
        assert_eq!(tuning.idle_keep, Micros::from_millis(12_500));
        assert_eq!((tuning.min_machines, tuning.least_share), (6, 0.5));
        assert_eq!(own.session, Some(Micros::from_secs(9)));
        assert_eq!(own.crash_loop_threshold, Some(4));
    }

    #[test]
    fn what_does_not_fit_is_named() {
        assert_eq!(parse("least_share: 2").unwrap_err().field, "least_share");
        assert_eq!(parse("headroom: -1").unwrap_err().field, "headroom");
        assert_eq!(
            parse("floor_machines: 100001").unwrap_err().field,
            "floor_machines"
        );
        assert_eq!(parse("session_s: nan").unwrap_err().field, "session_s");
        assert!(
            parse("no_such_field: 1")
                .unwrap_err()
                .to_string()
                .contains("no_such_field")
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 64,
            rng_seed: proptest::test_runner::RngSeed::Fixed(13),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]
        #[test]
        fn any_text_is_read_or_refused_in_one_line(text in "[a-z_:0-9. \\n{}\"-]{0,60}") {
            if let Err(error) = parse(&text) {
                prop_assert!(!error.to_string().contains('\n'));
            }
        }
    }
}
