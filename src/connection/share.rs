//! Division of the connection cap of a searcher among our instances.
//!
//! No instance knows how many others hold connections at the moment, so each takes only a share that stays within the
//! cap when up to `tolerated_views` instances believe that they are holders. See "Connection cap without shared state"
//! in `docs/design.md` and `docs/design/connections-and-slots.md`.

use crate::version::tables::Claims;

/// Connections that a holder has beyond one for each slot: one for cancellation and state reads, and one spare while a
/// broken connection is replaced.
pub const EXTRA_CONNECTIONS: u32 = 2;

/// Connections that a leaf of another data centre holds.
pub const REMOTE_SHARE: u32 = 1;

/// Role of an instance for one searcher, by its own view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Holds no connection and takes no work.
    None,
    /// Rank 0 in the searcher's data centre.
    Owner,
    /// Rank 1 in the searcher's data centre: keeps warm connections and serves only when the owner is unreachable.
    Successor,
    /// Leaf of another data centre, while the searcher's own data centre has no live leaf.
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
    /// Connections of an owner, and of a successor. At least 1.
    pub holder: u32,
    /// Connections of a remote claimant; 0 when the reserve is empty.
    pub remote: u32,
}

/// Failure to divide a cap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ShareError {
    /// The cap leaves no connection for each tolerated view.
    #[error(
        "a cap of {cap} connections leaves none for each of {views} views after a remote reserve of {reserve}; raise \
         the cap to at least {needed}, or lower tolerated_views or remote_reserve"
    )]
    CapTooSmall {
        /// Connections that the searcher accepts.
        cap: u32,
        /// Instances that may hold a share at once.
        views: u32,
        /// Connections set aside for other data centres.
        reserve: u32,
        /// Least cap that gives each view one connection.
        needed: u32,
    },
    /// A leaf of another data centre may connect, but nothing is set aside for it.
    #[error("remote_reserve is 0, so a leaf of another data centre may not connect; set it to at least 2")]
    NoRemoteReserve,
    /// `tolerated_views` is 0.
    #[error("tolerated_views is 0, so no instance may connect; set it to at least 1")]
    NoViews,
}

impl Share {
    /// Divides the cap of a searcher with `slots` slots and a cap of `connections`.
    ///
    /// A holder's share of 1 serves one request at a time and can send a cancellation only between requests. A share of
    /// 2 serves one request beside the control connection.
    ///
    /// # Errors
    ///
    /// Fails when a holder's share would be 0, since the searcher could then never be reached.
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

    /// Returns the connections of an instance in `role`, for a lane that is to serve in it.
    ///
    /// # Errors
    ///
    /// Fails for a remote claimant when the reserve is 0. Its lane refuses all work as `not_owner`.
    pub const fn for_role(self, role: Role) -> Result<u32, ShareError> {
        match (role, self.remote) {
            (Role::Remote, 0) => Err(ShareError::NoRemoteReserve),
            _ => Ok(self.connections(role)),
        }
    }

    /// Returns the connections that an instance in `role` may hold.
    #[must_use]
    pub const fn connections(self, role: Role) -> u32 {
        match role {
            Role::None => 0,
            Role::Owner | Role::Successor => self.holder,
            Role::Remote => self.remote,
        }
    }
}
