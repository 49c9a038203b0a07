//! Settings of the membership protocol.

use std::time::Duration;

use thiserror::Error;

/// Minimum packet limit: fits any single update and the packet's other fields.
const MIN_PACKET_BYTES: usize = 512;

/// Maximum UDP payload over IPv4.
const MAX_PACKET_BYTES: usize = 65_507;

/// Settings of the membership protocol, which must be equal on all members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two ticks; the granularity of all other times.
    pub tick_interval: Duration,
    /// Time between two probes, and the time after which the target of an unanswered probe becomes
    /// a suspect.
    pub probe_interval: Duration,
    /// Time after which an unanswered direct probe is repeated through other members.
    pub probe_timeout: Duration,
    /// Number of members asked to repeat an unanswered probe.
    pub indirect_probes: usize,
    /// Time a suspect has to refute before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Time for which a dead member is remembered, so that old updates cannot mark it as running.
    pub dead_retention: Duration,
    /// Time between two join requests to addresses of dead members or of seeds at which no running
    /// member is known.
    pub reconnect_interval: Duration,
    /// Largest encoded datagram, in bytes.
    pub max_packet_bytes: usize,
    /// Number of random members that get pending updates at each tick.
    pub gossip_fanout: usize,
    /// An update is sent this many times the natural logarithm (rounded up) of the number of running
    /// members plus one.
    pub retransmit_factor: u32,
    /// Bytes of updates that a member may send per second on average.
    pub update_bytes_per_second: u32,
    /// Bytes of updates that a member may send at once after an idle period.
    pub update_burst_bytes: u32,
    /// Maximum age of the evidence that the configuration is up to date.
    pub freshness_bound: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            tick_interval: Duration::from_millis(200),
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(3),
            dead_retention: Duration::from_secs(600),
            reconnect_interval: Duration::from_secs(5),
            max_packet_bytes: 1_200,
            gossip_fanout: 2,
            retransmit_factor: 4,
            update_bytes_per_second: 1_300,
            update_burst_bytes: 40_000,
            freshness_bound: Duration::from_secs(12),
        }
    }
}

/// Why settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidMembershipSettings {
    /// A time or a count that must be positive is zero.
    #[error("{field} must not be zero")]
    Zero {
        /// Name of the setting that is zero.
        field: &'static str,
    },
    /// One time must be shorter than another.
    #[error("{shorter} must be shorter than {longer}")]
    Order {
        /// Name of the setting that must be the shorter one.
        shorter: &'static str,
        /// Name of the setting that must be the longer one.
        longer: &'static str,
    },
    /// The packet limit is out of range.
    #[error(
        "max_packet_bytes must lie between {MIN_PACKET_BYTES} and {MAX_PACKET_BYTES}, not {found}"
    )]
    PacketBytes {
        /// The configured limit, in bytes.
        found: usize,
    },
}

impl MembershipSettings {
    /// Checks that the settings are positive where required, in range and consistent.
    ///
    /// # Errors
    ///
    /// Returns the first violated rule.
    pub fn validate(&self) -> Result<(), InvalidMembershipSettings> {
        self.require_positive()?;
        require_order(
            ("tick_interval", self.tick_interval),
            ("probe_timeout", self.probe_timeout),
        )?;
        require_order(
            ("probe_timeout", self.probe_timeout),
            ("probe_interval", self.probe_interval),
        )?;
        require_order(
            ("probe_interval", self.probe_interval),
            ("suspicion_timeout", self.suspicion_timeout),
        )?;
        require_order(
            ("suspicion_timeout", self.suspicion_timeout),
            ("dead_retention", self.dead_retention),
        )?;
        require_order(
            ("probe_interval", self.probe_interval),
            ("freshness_bound", self.freshness_bound),
        )?;
        let packet_range = MIN_PACKET_BYTES..=MAX_PACKET_BYTES;
        if !packet_range.contains(&self.max_packet_bytes) {
            return Err(InvalidMembershipSettings::PacketBytes {
                found: self.max_packet_bytes,
            });
        }
        Ok(())
    }

    fn require_positive(&self) -> Result<(), InvalidMembershipSettings> {
        let fields = [
            ("tick_interval", self.tick_interval.is_zero()),
            ("reconnect_interval", self.reconnect_interval.is_zero()),
            ("gossip_fanout", self.gossip_fanout == 0),
            ("retransmit_factor", self.retransmit_factor == 0),
            ("update_bytes_per_second", self.update_bytes_per_second == 0),
            ("update_burst_bytes", self.update_burst_bytes == 0),
        ];
        for (field, is_zero) in fields {
            if is_zero {
                return Err(InvalidMembershipSettings::Zero { field });
            }
        }
        Ok(())
    }
}

fn require_order(
    shorter: (&'static str, Duration),
    longer: (&'static str, Duration),
) -> Result<(), InvalidMembershipSettings> {
    if shorter.1 < longer.1 {
        return Ok(());
    }
    Err(InvalidMembershipSettings::Order {
        shorter: shorter.0,
        longer: longer.0,
    })
}
