//! Inputs of a lane, decoded from arbitrary bytes.

/// One input of a lane. Indexes select among the existing connections or items, modulo their number.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    Offer {
        urgent: bool,
        ms: u8,
        idempotent: bool,
        unslotted: bool,
        fallback: bool,
    },
    Cancel(u8),
    Opened(u8),
    OpenFailed {
        pick: u8,
        cap: bool,
    },
    Closed {
        pick: u8,
        written: bool,
    },
    Reply {
        pick: u8,
        ms: u8,
        kind: u8,
        draining: bool,
    },
    CancelReply(u8),
    Role {
        role: u8,
        handover: bool,
    },
    Draining,
    Returned,
    Advance(u8),
    Pause,
    Confirm,
}

impl Step {
    /// Decodes three bytes. Offers, replies and opened connections are frequent, and steps that stop the lane are rare,
    /// so that sequences reach states with work in flight.
    pub fn decode(bytes: [u8; 3]) -> Self {
        let [kind, a, b] = bytes;
        match kind {
            0..70 => Self::Offer {
                urgent: b & 1 != 0,
                ms: a,
                idempotent: b & 2 != 0,
                unslotted: b > 230,
                fallback: b & 4 != 0,
            },
            70..120 => Self::Opened(a),
            120..180 => Self::Reply {
                pick: a,
                ms: b / 8,
                kind: if b < 208 { 0 } else { b },
                draining: b == 255,
            },
            180..200 => Self::Advance(a % 32),
            200..208 => Self::Advance(a),
            208..220 => Self::Cancel(a),
            220..228 => Self::CancelReply(a),
            228..234 => Self::Closed {
                pick: a,
                written: b & 1 != 0,
            },
            234..238 => Self::OpenFailed {
                pick: a,
                cap: b & 1 != 0,
            },
            238..242 => Self::Role {
                role: if a < 160 { 1 } else { a },
                handover: b & 3 == 0,
            },
            242..244 => Self::Pause,
            244..250 => Self::Confirm,
            250..251 => Self::Draining,
            _ => Self::Returned,
        }
    }
}
