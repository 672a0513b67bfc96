//! Tests of the choice of peers that a process keeps sessions to.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use pimentoflow::process::membership::Instance;
use pimentoflow::process::membership::Role;
use pimentoflow::process::membership::State;
use pimentoflow::process::membership::View;
use pimentoflow::process::node::Identity;
use pimentoflow::process::node::target_peers;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn identity(role: Role) -> Identity {
    Identity {
        instance: "own".into(),
        data_centre: "a".into(),
        role,
        incarnation: 1,
        address: address(1),
    }
}

fn view(instances: &[(&str, &str, Role, State)]) -> View {
    let instances = instances
        .iter()
        .enumerate()
        .map(|(ix, (id, data_centre, role, state))| {
            let instance = Instance {
                role: *role,
                data_centre: (*data_centre).into(),
                address: Some(address(100 + ix as u16)),
                state: *state,
                incarnation: 1,
            };
            (Box::from(*id), instance)
        });
    View {
        instances: instances.collect(),
        ..View::default()
    }
}

/// Guards against two sides of a healed partition that never reconnect, because each considers the other down.
#[test]
fn peers_that_are_down_stay_wanted() {
    let down = view(&[
        ("own", "a", Role::Leaf, State::Up),
        ("near", "a", Role::Entry, State::Down),
        ("far", "b", Role::Leaf, State::Down),
    ]);
    for role in [Role::Entry, Role::Leaf] {
        let targets = target_peers(&identity(role), &down);
        assert_eq!(
            targets.keys().map(|id| &**id).collect::<Vec<_>>(),
            ["near", "far"],
            "{role:?}"
        );
    }
}

/// Guards against new sessions to a peer that announced its stop, and against sessions to all instances of a remote
/// data centre.
#[test]
fn leaving_peers_and_most_remote_ones_are_not_wanted() {
    let view = view(&[
        ("near", "a", Role::Leaf, State::Leaving),
        ("far-1", "b", Role::Leaf, State::Up),
        ("far-2", "b", Role::Leaf, State::Up),
        ("far-3", "b", Role::Leaf, State::Up),
    ]);
    assert_eq!(target_peers(&identity(Role::Leaf), &view).len(), 2);
    assert_eq!(target_peers(&identity(Role::Entry), &view).len(), 3);
}
