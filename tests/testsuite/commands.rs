//! Commands of `pimento-check`: outcome, output and hints.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use pimentoflow::commands::Outcome;
use pimentoflow::commands::diff;
use pimentoflow::commands::seal;
use pimentoflow::commands::settings;
use pimentoflow::commands::validate;

use crate::samples::sample;

/// Copy of the demo document that a test can modify. The directory is removed on drop.
struct DocumentCopy(PathBuf);

impl DocumentCopy {
    fn new(name: &str) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(dir.join("parts")).expect("the directory can be made");
        for file in ["root.yaml", "parts/gala.yaml"] {
            fs::copy(sample("demo").join(file), dir.join(file)).expect("the file can be copied");
        }
        Self(dir)
    }

    fn replace(&self, file: &str, from: &str, to: &str) {
        let path = self.0.join(file);
        let text = fs::read_to_string(&path).expect("readable");
        assert!(text.contains(from), "{from}");
        fs::write(&path, text.replacen(from, to, 1)).expect("writable");
    }
}

impl Drop for DocumentCopy {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn validate_text(dir: &Path) -> (Outcome, String) {
    let mut text = String::new();
    let options = validate::Options { dir: dir.into() };
    let outcome = validate::run(&options, &mut text).expect("the files are readable");
    (outcome, text)
}

fn seal_text(dir: &Path, revision: Option<u64>) -> (Outcome, String) {
    let mut text = String::new();
    let options = seal::Options {
        dir: dir.into(),
        revision,
    };
    let outcome = seal::run(&options, &mut text).expect("the files are readable");
    (outcome, text)
}

/// Guards against accepting a changed or unlisted part, and against a `seal` that does not update the root.
#[test]
fn seal_updates_the_root_after_changes() {
    let copy = DocumentCopy::new("seal");
    assert_eq!(validate_text(&copy.0).0, Outcome::Clean);
    copy.replace("parts/gala.yaml", "deadline: 400ms", "deadline: 300ms");
    let (outcome, text) = validate_text(&copy.0);
    assert_eq!(outcome, Outcome::Findings);
    assert!(
        text.contains("parts/gala.yaml has changed") && text.contains("pimento-check seal DIR"),
        "{text}"
    );
    assert_eq!(seal_text(&copy.0, Some(2)).0, Outcome::Clean);
    assert_eq!(validate_text(&copy.0).0, Outcome::Clean);

    copy.replace("root.yaml", "name: gala", "name: other");
    let (outcome, text) = validate_text(&copy.0);
    assert_eq!(outcome, Outcome::Findings);
    assert!(text.contains("parts/gala.yaml is not listed"), "{text}");

    let mut text = String::new();
    seal_text(&copy.0, None);
    let options = diff::Options {
        old: sample("demo"),
        new: copy.0.clone(),
    };
    assert_eq!(diff::run(&options, &mut text).expect("readable"), Outcome::Clean);
    assert!(
        text.contains("revision: 1 -> 2\npolicy: gala.deadline 400ms -> 300ms"),
        "{text}"
    );
}

/// Guards against a `seal` that writes the root of a document that processes would reject.
#[test]
fn seal_refuses_an_invalid_document() {
    let copy = DocumentCopy::new("seal-invalid");
    copy.replace("parts/gala.yaml", "slots: 3", "slots: 0");
    let before = fs::read(copy.0.join("root.yaml")).expect("readable");
    let (outcome, text) = seal_text(&copy.0, Some(9));
    assert_eq!(outcome, Outcome::Findings);
    assert!(
        text.contains("gala.services[0].shards[0].replicas[0].slots: 0 is out of range"),
        "{text}"
    );
    assert!(text.ends_with("1 finding\n"), "{text}");
    assert_eq!(fs::read(copy.0.join("root.yaml")).expect("readable"), before);
}

/// Guards against comparing an invalid document.
#[test]
fn diff_reports_an_invalid_document() {
    let copy = DocumentCopy::new("diff-invalid");
    copy.replace("root.yaml", "revision: 1", "revision: 0");
    let mut text = String::new();
    let options = diff::Options {
        old: sample("demo"),
        new: copy.0.clone(),
    };
    assert_eq!(diff::run(&options, &mut text).expect("readable"), Outcome::Findings);
    assert!(text.contains("root.revision"), "{text}");
}

/// Guards against errors that do not contain the file, the cause and a hint.
#[test]
fn unreadable_files_are_failures_with_a_hint() {
    let mut text = String::new();
    let options = validate::Options { dir: "missing".into() };
    let failure = validate::run(&options, &mut text).expect_err("the directory does not exist");
    let chain = format!("{:#}", failure.report);
    assert!(
        chain.starts_with("cannot load the document missing: cannot read missing/root.yaml: "),
        "{chain}"
    );
    assert!(failure.hint.contains("root.yaml"));

    let options = settings::Options {
        file: "missing.yaml".into(),
    };
    let failure = settings::run(&options, &mut text).expect_err("the file does not exist");
    assert!(format!("{:#}", failure.report).contains("missing.yaml"));
    assert!(failure.hint.contains("samples/settings"));
}

/// Guards against rejecting valid settings, and against not printing the findings of invalid ones.
#[test]
fn settings_are_checked() {
    let mut text = String::new();
    let options = settings::Options {
        file: sample("settings/leaf.yaml"),
    };
    assert_eq!(settings::run(&options, &mut text).expect("readable"), Outcome::Clean);
    let options = settings::Options {
        file: sample("demo/root.yaml"),
    };
    assert_eq!(settings::run(&options, &mut text).expect("readable"), Outcome::Findings);
    assert!(text.contains("unknown field `schema`"), "{text}");
}
