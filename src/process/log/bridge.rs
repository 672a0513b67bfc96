//! Forwards the `tracing` events of libraries to `slog`, so that all log lines of a process have the same format.

use std::fmt::Debug;
use std::fmt::Write;

use slog::Level;
use slog::Logger;
use tracing::Event;
use tracing::Metadata;
use tracing::Subscriber;
use tracing::field::Field;
use tracing::field::Visit;
use tracing::span::Attributes;
use tracing::span::Id;
use tracing::span::Record;

/// Maximum length of the text of one library event. Longer text is truncated.
const MAX_TEXT_BYTES: usize = 1024;

/// Installs the bridge as the global `tracing` subscriber. `tracing` accepts only one, so later calls have no effect.
pub fn install(log: &Logger, level: Level) {
    let bridge = Bridge {
        log: log.clone(),
        level,
    };
    let _already_installed = tracing::subscriber::set_global_default(bridge);
}

#[derive(Debug)]
struct Bridge {
    log: Logger,
    level: Level,
}

impl Subscriber for Bridge {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.is_event() && level_of(metadata).is_at_least(self.level)
    }

    fn new_span(&self, _attributes: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _span: &Id, _values: &Record<'_>) {}

    fn record_follows_from(&self, _span: &Id, _follows: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut text = FieldText::default();
        event.record(&mut text);
        let target = event.metadata().target();
        let detail = text.0;
        match level_of(event.metadata()) {
            Level::Critical | Level::Error => {
                slog::error!(self.log, "library_event"; "target" => target, "detail" => detail);
            }
            Level::Warning => {
                slog::warn!(self.log, "library_event"; "target" => target, "detail" => detail);
            }
            Level::Info => {
                slog::info!(self.log, "library_event"; "target" => target, "detail" => detail);
            }
            Level::Debug | Level::Trace => {
                slog::debug!(self.log, "library_event"; "target" => target, "detail" => detail);
            }
        }
    }

    fn enter(&self, _span: &Id) {}

    fn exit(&self, _span: &Id) {}
}

fn level_of(metadata: &Metadata<'_>) -> Level {
    match *metadata.level() {
        tracing::Level::ERROR => Level::Error,
        tracing::Level::WARN => Level::Warning,
        tracing::Level::INFO => Level::Info,
        tracing::Level::DEBUG => Level::Debug,
        tracing::Level::TRACE => Level::Trace,
    }
}

#[derive(Default)]
struct FieldText(String);

impl Visit for FieldText {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if self.0.len() >= MAX_TEXT_BYTES {
            return;
        }
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        let _infallible = write!(self.0, "{}={value:?}", field.name());
        // A line break would split the event into several log lines.
        self.0 = self.0.replace(['\n', '\r'], " ");
        let mut end = self.0.len().min(MAX_TEXT_BYTES);
        while !self.0.is_char_boundary(end) {
            end -= 1;
        }
        self.0.truncate(end);
    }
}
