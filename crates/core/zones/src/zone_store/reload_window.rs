//! The updates that a zone accepts while a new base is prepared in the background.

use crate::change::diff_at_names;
use crate::record::Record;
use crate::update::{apply, UpdateOperation};
use crate::zone::Zone;
use std::sync::{Arc, Weak};

/// Held by what is prepared; once all copies are dropped, the store stops recording.
pub(super) type OpenWindow = Arc<()>;

/// The operations of the updates that were accepted since the preparation of a new base began, in their order.
#[derive(Clone, Debug, Default)]
pub(super) struct ReloadWindow {
    open: Weak<()>,
    operations: Vec<UpdateOperation>,
}

impl ReloadWindow {
    /// Starts recording. An earlier window that is still open is continued.
    pub(super) fn open(&mut self) -> OpenWindow {
        self.open.upgrade().unwrap_or_else(|| {
            let window = OpenWindow::default();
            self.close();
            self.open = Arc::downgrade(&window);
            window
        })
    }

    pub(super) fn close(&mut self) {
        *self = Self::default();
    }

    /// Records the operations of an accepted update while a window is open.
    pub(super) fn record(&mut self, operations: &[UpdateOperation]) {
        if self.open.strong_count() == 0 {
            return self.close();
        }
        self.operations.extend_from_slice(operations);
    }

    /// The records that updates added.
    pub(super) fn added_records(&self) -> impl Iterator<Item = &Record> {
        self.operations.iter().filter_map(|operation| match operation {
            UpdateOperation::AddRecord(record) => Some(record),
            _ => None,
        })
    }

    /// The records of `zone` that one of the operations deletes.
    pub(super) fn deleted_records(&self, zone: &Zone) -> Vec<Record> {
        let deletions =
            self.operations.iter().filter(|operation| !matches!(operation, UpdateOperation::AddRecord(_)));
        let mut deleted = Vec::new();
        for operation in deletions {
            let mut after = zone.clone();
            apply(&mut after, operation);
            let (name, _) = operation.target();
            deleted.extend(diff_at_names(zone, &after, std::iter::once(name)).removed);
        }
        deleted
    }
}
