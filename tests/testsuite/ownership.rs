//! Tests of the ownership: equal views give equal ranks, and a change of one leaf affects only its own searchers.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use pimentoflow::ids::SearcherId;
use pimentoflow::process::membership::Instance;
use pimentoflow::process::membership::Role;
use pimentoflow::process::membership::State;
use pimentoflow::process::membership::View;
use pimentoflow::process::ownership::placement::Placement;
use pimentoflow::process::ownership::placement::Rank;
use pimentoflow::process::ownership::rank::NameHash;
use pimentoflow::process::ownership::rank::score;
use pimentoflow::process::ownership::roles::HANDOVER_PERIOD;
use pimentoflow::process::ownership::roles::Roles;
use pimentoflow::version::tables::Tables;
use testkit::ServiceShape;
use testkit::TablesBuilder;

const CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

fn leaf(centre: usize, state: State) -> Instance {
    Instance {
        role: Role::Leaf,
        data_centre: CENTRES[centre].into(),
        address: None,
        state,
        incarnation: 1,
    }
}

/// Returns a view of the leaves with numbers below 64 whose bit is set. Leaf `n` is in data centre `n % 3`.
fn view(bits: u64, reversed: bool) -> View {
    let mut numbers: Vec<usize> = (0..64).filter(|bit| bits >> bit & 1 == 1).collect();
    if reversed {
        numbers.reverse();
    }
    let instances = numbers
        .iter()
        .map(|n| (format!("leaf-{n}").into(), leaf(n % 3, State::Up)));
    View {
        instances: instances.collect(),
        ..View::default()
    }
}

fn searchers(count: usize) -> Vec<(String, &'static str)> {
    (0..count).map(|n| (format!("s{n}"), CENTRES[n % 3])).collect()
}

fn place(searchers: &[(String, &'static str)], view: &View) -> Placement {
    Placement::from_searchers(searchers.iter().map(|(id, centre)| (&**id, *centre)), view)
}

fn ranks(placement: &Placement) -> Vec<Vec<(String, bool)>> {
    let row = |ix| {
        let candidates = placement.candidates(ix);
        candidates
            .map(|candidate| (candidate.leaf.to_string(), candidate.remote))
            .collect()
    };
    (0..placement.len() as u32).map(row).collect()
}

/// Guards against ranks that depend on the order in which instances joined or on earlier views: two processes with
/// equal views would then disagree on the owner.
#[test]
fn equal_views_give_equal_ranks() {
    let searchers = searchers(40);
    property_check::check()
        .with_iterations(300)
        .with_type::<(u64, u64, u64)>()
        .for_each(|(first, second, third)| {
            let mut updated = place(&searchers, &view(*first, false));
            updated.update(&view(*second, true));
            updated.update(&view(*third, false));
            let fresh = place(&searchers, &view(*third, true));
            assert_eq!(ranks(&updated), ranks(&fresh));
        });
}

fn tables(shards: u8, first: u8, extra: bool) -> Tables {
    let centre = |nth: usize| CENTRES[(usize::from(first) + nth) % 3];
    let extra = extra.then(|| ServiceShape::new("before", 2, &[centre(2)]));
    let shape = ServiceShape::new("svc", u32::from(shards % 24), &[centre(0), centre(1)]);
    let shapes: Vec<ServiceShape> = extra.into_iter().chain([shape]).collect();
    TablesBuilder::new(1).index("ix", &shapes).build()
}

/// Guards against wrong ranks after an incremental update to a new revision, when searchers are added, removed or moved
/// to another position or data centre, possibly together with a change of the view.
#[test]
fn ranks_of_the_next_revision_equal_fresh_ranks() {
    property_check::check()
        .with_iterations(300)
        .with_type::<([(u8, u8, bool); 3], [u64; 3])>()
        .for_each(|(documents, views)| {
            let mut before = tables(documents[0].0, documents[0].1, documents[0].2);
            let mut updated = Placement::new(&before, &view(views[0], false));
            for ((shards, first, extra), bits) in documents.iter().zip(views).skip(1) {
                let next = tables(*shards, *first, *extra);
                let view = view(*bits, true);
                updated.update_tables(&before, &next, &view);
                assert_eq!(ranks(&updated), ranks(&Placement::new(&next, &view)));
                updated.update(&self::view(!bits, false));
                assert_eq!(
                    ranks(&updated),
                    ranks(&Placement::new(&next, &self::view(!bits, false)))
                );
                before = next;
            }
        });
}

/// Guards against a hash that reassigns all searchers: a leaving leaf may move only those it was a candidate for.
#[test]
fn a_leaving_leaf_moves_only_its_searchers() {
    let searchers = searchers(60);
    property_check::check()
        .with_iterations(300)
        .with_type::<(u64, u8)>()
        .for_each(|(bits, gone)| {
            let gone = u64::from(gone % 64);
            let before = place(&searchers, &view(bits | 1 << gone, false));
            let mut after = before.clone();
            let changed = after.update(&view(bits & !(1 << gone), false));
            let name = format!("leaf-{gone}");
            for ix in 0..searchers.len() as u32 {
                let had = before.candidates(ix).any(|candidate| **candidate.leaf == *name);
                let empty = after.candidates(ix).all(|candidate| candidate.remote);
                let owner_moved = before.owner(ix) != after.owner(ix);
                assert!(had || empty || !owner_moved, "searcher {ix} moved");
                assert_eq!(
                    changed.contains(&ix),
                    ranks(&before)[ix as usize] != ranks(&after)[ix as usize]
                );
            }
        });
}

/// Guards against more holders than the division of the connection cap allows under one view.
#[test]
fn at_most_two_leaves_hold_a_searcher() {
    let searchers = searchers(30);
    property_check::check()
        .with_iterations(100)
        .with_type::<u64>()
        .for_each(|bits| {
            let placement = place(&searchers, &view(*bits, false));
            for (ix, (_, centre)) in searchers.iter().enumerate() {
                let held = (0..64).filter_map(|n| {
                    let rank = placement.rank_of(ix as u32, &format!("leaf-{n}"))?;
                    Some((CENTRES[n % 3] == *centre, rank))
                });
                let held: Vec<(bool, Rank)> = held.collect();
                assert!(held.len() <= 2);
                assert!(held.iter().all(|(local, rank)| *local == (*rank != Rank::Remote)));
                assert_eq!(held.is_empty(), *bits == 0);
            }
        });
}

/// Guards against a change of the hash: processes of different releases would disagree on every owner.
#[test]
fn the_hash_is_fixed() {
    assert_eq!(NameHash::of("leaf-1").0, 0x4140_bf0e_8569_ed03);
    assert_eq!(score(NameHash(1), NameHash(2)), 0xe06d_d043_328b_d285);
}

/// Guards against a cost that grows with the product of leaves and searchers when one leaf leaves or returns.
#[test]
fn a_leaf_change_does_not_rank_everything() {
    let leaves: IndexMap<_, _> = (0..141)
        .map(|n| (format!("leaf-{n}").into(), leaf(0, State::Up)))
        .collect();
    let full = View {
        instances: leaves,
        ..View::default()
    };
    let mut less = full.clone();
    less.instances.shift_remove("leaf-70");
    let searchers: Vec<(String, &'static str)> = (0..2_050).map(|n| (format!("s{n}"), CENTRES[0])).collect();
    let mut placement = place(&searchers, &full);
    let initial = placement.score_count();
    placement.update(&less);
    let removal = placement.score_count() - initial;
    placement.update(&full);
    let returned = placement.score_count() - initial - removal;
    assert_eq!(initial, 141 * 2_050);
    assert!(removal < 2_050 * 6, "removal computed {removal} scores");
    assert!(returned <= 2_050, "return computed {returned} scores");
}

/// Returns the roles of a leaf after the owner of a searcher was in each of `states` for 10 s, and the time of the last
/// update. The leaf is the other candidate.
fn roles_after(states: &[State]) -> (Roles, Instant) {
    let names: Vec<SearcherId> = vec!["s0".into()];
    let start = Instant::now();
    let mut now = start;
    let own = place(&searchers(1), &view(0b1001, false))
        .owner(0)
        .expect("a leaf is live")
        .clone();
    let (owner, other) = if &*own == "leaf-0" {
        ("leaf-0", "leaf-3")
    } else {
        ("leaf-3", "leaf-0")
    };
    let mut roles = Roles::new(other.into());
    for state in states {
        let instances = [(owner.into(), leaf(0, *state)), (other.into(), leaf(0, State::Up))];
        let view = View {
            instances: instances.into_iter().collect(),
            ..View::default()
        };
        let placement = place(&searchers(1), &view);
        roles.update(names.iter(), &placement, &view, now);
        now += Duration::from_secs(10);
    }
    (roles, now - Duration::from_secs(10))
}

/// Guards against a new owner that uses all slots while the previous one may still dispatch, and against one that waits
/// 3 s although the previous owner has sent a go-away.
#[test]
fn handover_applies_unless_the_owner_announced_its_stop() {
    let (roles, now) = roles_after(&[State::Up]);
    assert_eq!(roles.role("s0").map(|role| role.rank), Some(Rank::Successor));
    let (roles, now_lost) = roles_after(&[State::Up, State::Down]);
    let lost = roles.role("s0").expect("the successor takes over");
    assert_eq!(
        (lost.rank, lost.handover_end),
        (Rank::Owner, now_lost + HANDOVER_PERIOD)
    );
    assert!(lost.in_handover(now_lost) && !lost.in_handover(now_lost + HANDOVER_PERIOD));
    let (mut roles, now_left) = roles_after(&[State::Up, State::Leaving]);
    let left = roles.role("s0").expect("the successor takes over");
    assert!(left.rank == Rank::Owner && !left.in_handover(now_left));
    let resumed_at = now + Duration::from_secs(60);
    roles.on_pause(resumed_at);
    assert!(
        roles.role("s0").is_some_and(|role| role.in_handover(resumed_at)),
        "a pause restarts the handover period"
    );
}
