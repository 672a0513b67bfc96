//! Checks the import style of the sources: one import per line, in three groups (std, external, crate), each sorted.
//!
//! The stable `rustfmt` sorts imports within a block, but neither splits nested imports nor orders the blocks.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use eyre::Context;
use eyre::Result;

const ROOTS: [&str; 5] = ["src", "crates", "platform", "tests", "benches"];

/// Group of an import. The variants are in the required order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Std,
    External,
    Local,
}

fn main() -> Result<ExitCode> {
    let mut files = Vec::new();
    for root in ROOTS {
        collect_files(Path::new(root), &mut files)?;
    }
    files.sort();
    let mut findings = 0_usize;
    for file in &files {
        let text = fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
        for (line, message) in check(&text) {
            println!("{}:{line}: {message}", file.display());
            findings += 1;
        }
    }
    println!("style-check: {} files, {findings} findings", files.len());
    Ok(if findings == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn collect_files(dir: &Path, files: &mut Vec<PathBuf>) -> Result<()> {
    if !dir.exists() {
        return Ok(());
    }
    let entries = fs::read_dir(dir).with_context(|| format!("cannot list {}", dir.display()))?;
    for entry in entries {
        let path = entry?.path();
        let is_target = path.file_name().is_some_and(|name| name == "target");
        if path.is_dir() && !is_target {
            collect_files(&path, files)?;
        } else if path.extension().is_some_and(|ext| ext == "rs") {
            files.push(path);
        }
    }
    Ok(())
}

/// Checks the text of one file and returns line numbers with messages.
fn check(text: &str) -> Vec<(usize, &'static str)> {
    let mut findings = Vec::new();
    let mut last: Option<(Group, usize)> = None;
    for (ix, line) in text.lines().enumerate() {
        let number = ix + 1;
        let Some(path) = import_path(line) else {
            continue;
        };
        if path.contains('{') {
            findings.push((number, "split the import into one per line"));
        }
        let group = group_of(path);
        if let Some((previous_group, previous_line)) = last {
            let adjacent = previous_line + 1 == number;
            if adjacent && previous_group != group {
                findings.push((number, "separate the groups std, external and crate with a blank line"));
            }
            if group < previous_group && number - previous_line <= 2 {
                findings.push((number, "order the groups as std, external, crate"));
            }
        }
        last = Some((group, number));
    }
    findings
}

/// Returns the path of a top-level import, or `None` for other lines.
fn import_path(line: &str) -> Option<&str> {
    let rest = line
        .strip_prefix("use ")
        .or_else(|| line.strip_prefix("pub use "))
        .or_else(|| line.strip_prefix("pub(crate) use "))?;
    Some(rest.trim_end_matches(';'))
}

fn group_of(path: &str) -> Group {
    let head = path.split("::").next().unwrap_or(path);
    match head {
        "std" | "core" | "alloc" => Group::Std,
        "crate" | "super" | "self" => Group::Local,
        _ => Group::External,
    }
}
