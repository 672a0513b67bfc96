//! Division of the connection cap of a searcher among the instances.
//!
//! An instance does not know how many others currently hold connections. Each therefore takes a share that keeps the
//! total within the cap while up to `tolerated_views` instances consider themselves holders. See "Connection cap
//! without shared state" in `docs/design.md` and `docs/design/connections-and-slots.md`.

use crate::version::tables::Claims;

/// Connections of a holder beyond one for each slot: one for cancellations and state reads, and one spare while a
/// broken connection is replaced.
pub const EXTRA_CONNECTIONS: u32 = 2;

/// Connections that a leaf in another data centre holds.
pub const REMOTE_SHARE: u32 = 1;

/// Role of an instance for one searcher, according to its own view of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Holds no connection and takes no work.
    None,
    /// Rank 0 in the searcher's data centre.
    Owner,
    /// Rank 1 in the searcher's data centre: keeps connections open and serves only while the owner is unreachable.
    Successor,
    /// Leaf in another data centre, used while the searcher's own data centre has no live leaf.
    Remote,
}

impl Role {
    /// Returns the name used in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Owner => "owner",
            Self::Successor => "successor",
            Self::Remote => "remote",
        }
    }
}

/// Connections that one instance may hold to one searcher, by role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Connections of an owner or a successor. At least 1.
    pub holder: u32,
    /// Connections of a leaf in another data centre; 0 if the reserve is 0.
    pub remote: u32,
}

/// Reason why a cap cannot be divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ShareError {
    /// The cap leaves no connection for each tolerated view.
    #[error(
        "a cap of {cap} connections leaves none for each of {views} views after a remote reserve of {reserve}; raise \
         the cap to at least {needed}, or lower tolerated_views or remote_reserve"
    )]
    CapTooSmall {
        /// Connection cap of the searcher.
        cap: u32,
        /// Instances that may hold a share at the same time.
        views: u32,
        /// Connections reserved for leaves in other data centres.
        reserve: u32,
        /// Smallest cap that leaves one connection for each view.
        needed: u32,
    },
    /// A leaf in another data centre was given the remote role, but no connection is reserved for it.
    #[error("remote_reserve is 0, so a leaf of another data centre may not connect; set it to at least 2")]
    NoRemoteReserve,
    /// `tolerated_views` is 0.
    #[error("tolerated_views is 0, so no instance may connect; set it to at least 1")]
    NoViews,
}

impl Share {
    /// Divides the cap of `connections` of a searcher with `slots` slots.
    ///
    /// With a share of 1 a holder serves one request at a time and can send a cancellation only between requests. With
    /// a share of 2 it serves one request and keeps the other connection for cancellations.
    ///
    /// # Errors
    ///
    /// Fails when the share of a holder would be 0, because the searcher could then never be reached.
    pub fn from_cap(slots: u32, connections: u32, claims: Claims) -> Result<Self, ShareError> {
        let views = claims.tolerated_views;
        let reserve = claims.remote_reserve;
        let divisible = connections.saturating_sub(reserve);
        let per_view = divisible.checked_div(views).ok_or(ShareError::NoViews)?;
        if per_view == 0 {
            return Err(ShareError::CapTooSmall {
                cap: connections,
                views,
                reserve,
                needed: reserve.saturating_add(views),
            });
        }
        Ok(Self {
            holder: per_view.min(slots.saturating_add(EXTRA_CONNECTIONS)),
            remote: reserve.min(REMOTE_SHARE),
        })
    }

    /// Returns the number of connections for a lane that is about to serve in `role`.
    ///
    /// # Errors
    ///
    /// Fails for [`Role::Remote`] when no connections are reserved for other data centres. The lane then refuses all
    /// work as `not_owner`.
    pub const fn for_role(self, role: Role) -> Result<u32, ShareError> {
        match (role, self.remote) {
            (Role::Remote, 0) => Err(ShareError::NoRemoteReserve),
            _ => Ok(self.connections(role)),
        }
    }

    /// Returns the number of connections that an instance in `role` may hold.
    #[must_use]
    pub const fn connections(self, role: Role) -> u32 {
        match role {
            Role::None => 0,
            Role::Owner | Role::Successor => self.holder,
            Role::Remote => self.remote,
        }
    }
}
