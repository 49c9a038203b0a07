//! Which nodes should form a group.

use havenstage_types::member::Member;
use havenstage_types::replica::{FULL_GROUP, GroupMember};

/// Chooses the members of a new group from the nodes in order of preference: one a zone as far as
/// the zones go, then the next ones. There are fewer than [`FULL_GROUP`] only if there are fewer
/// nodes; `None` when there is none at all.
pub fn choose_members<'view>(
    ranked: impl IntoIterator<Item = &'view Member>,
) -> Option<Vec<GroupMember>> {
    let mut chosen: Vec<GroupMember> = Vec::new();
    let mut passed_over: Vec<GroupMember> = Vec::new();
    for member in ranked {
        let zone = &member.identity.zone;
        let is_new_zone = chosen.iter().all(|other| other.zone != *zone);
        let list = if is_new_zone && chosen.len() < FULL_GROUP {
            &mut chosen
        } else {
            &mut passed_over
        };
        list.push(GroupMember {
            id: member.identity.id,
            zone: zone.clone(),
            peer_address: member.identity.peer_address,
        });
    }
    let missing = FULL_GROUP - chosen.len();
    chosen.extend(passed_over.into_iter().take(missing));
    (!chosen.is_empty()).then_some(chosen)
}
