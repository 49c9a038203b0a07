//! The names by which entries of a directory replace each other.

use havenstage_gateway::edge::DirectoryEntry;

/// Name of an entry; a newer entry of a name replaces the one before.
pub(crate) fn name_of(entry: &DirectoryEntry) -> String {
    match entry {
        DirectoryEntry::Routing(_) => "routing".to_owned(),
        DirectoryEntry::NamedVersion { model, .. } => format!("version/{model}"),
        DirectoryEntry::Evacuation { zone, .. } => format!("evacuation/{zone}"),
        DirectoryEntry::Backend(change) => format!("backend/{}", change.name),
        DirectoryEntry::UnreadableBackend(name) => format!("backend/{name}"),
        DirectoryEntry::Unreadable(name) => format!("unreadable/{name}"),
    }
}

/// Whether an entry takes its name away.
pub(crate) fn is_removal(entry: &DirectoryEntry) -> bool {
    matches!(entry, DirectoryEntry::Backend(change) if change.record.is_none())
}
