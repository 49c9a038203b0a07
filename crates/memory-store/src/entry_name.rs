//! Names of directory entries: a newer entry replaces the older one of the same name.

use havenstage_gateway::edge::DirectoryEntry;

/// Returns the name of an entry.
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

/// Whether an entry removes its name from the directory.
pub(crate) fn is_removal(entry: &DirectoryEntry) -> bool {
    matches!(entry, DirectoryEntry::Backend(change) if change.record.is_none())
}
