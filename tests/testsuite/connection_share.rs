//! Division of the connection cap of a searcher.

use pimentoflow::connection::share::REMOTE_SHARE;
use pimentoflow::connection::share::Role;
use pimentoflow::connection::share::Share;
use pimentoflow::connection::share::ShareError;
use pimentoflow::version::tables::Claims;

const CLAIMS: Claims = Claims {
    tolerated_views: 4,
    remote_reserve: 4,
};

/// Guards against a division that exceeds the cap while up to `tolerated_views` instances consider themselves holders
/// and one connection is held by each leaf in another data centre for which the reserve has room.
#[test]
fn shares_never_exceed_the_cap() {
    let claims = bolero::produce::<(u16, u16, u8, u8)>();
    property_check::check()
        .with_iterations(50_000)
        .with_generator(claims)
        .for_each(|(slots, cap, views, reserve)| {
            let claims = Claims {
                tolerated_views: u32::from(views % 9),
                remote_reserve: u32::from(reserve % 9),
            };
            let cap = u32::from(cap % 200);
            match Share::from_cap(u32::from(slots % 64), cap, claims) {
                Ok(share) => {
                    let holders = claims.tolerated_views * share.connections(Role::Owner);
                    let remotes = claims.remote_reserve * share.connections(Role::Remote);
                    assert!(
                        holders + remotes <= cap,
                        "{holders} + {remotes} exceed {cap} with {claims:?}"
                    );
                    assert!(share.holder >= 1 && share.connections(Role::None) == 0);
                }
                Err(_) => assert!(claims.tolerated_views == 0 || cap < claims.remote_reserve + claims.tolerated_views),
            }
        });
}

/// Guards against shares that differ from the sizes in the design page, and against a share of 0 that is not reported
/// as an error.
#[test]
fn share_sizes_and_minimum_cap() {
    let holder = |slots, cap| Share::from_cap(slots, cap, CLAIMS).map(|share| share.holder);
    assert_eq!(holder(3, 30), Ok(5));
    assert_eq!(holder(3, 100), Ok(5));
    assert_eq!(holder(2, 35), Ok(4));
    assert_eq!(holder(3, 12), Ok(2));
    assert_eq!(holder(3, 8), Ok(1));
    let error = Share::from_cap(3, 7, CLAIMS).expect_err("a cap of 7 leaves nothing for four views");
    assert_eq!(
        error,
        ShareError::CapTooSmall {
            cap: 7,
            views: 4,
            reserve: 4,
            needed: 8
        }
    );
    assert!(error.to_string().contains("raise the cap to at least 8"));
    let share = Share::from_cap(3, 30, CLAIMS).expect("30 connections are enough");
    assert_eq!(share.remote, REMOTE_SHARE);
    assert_eq!(share.for_role(Role::Remote), Ok(1));
    let claims = Claims {
        remote_reserve: 0,
        ..CLAIMS
    };
    let share = Share::from_cap(3, 30, claims).expect("30 connections are enough");
    assert_eq!(share.for_role(Role::Remote), Err(ShareError::NoRemoteReserve));
    assert_eq!(share.for_role(Role::None), Ok(0));
}
