"""Times of the protocol, in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Timing:
    """All spans that the replica uses."""

    heartbeat: float = 0.2
    primary_silence: float = 0.7
    election_jitter: float = 0.25
    start_silence: float = 0.25
    disconnect_silence: float = 0.1
    lease: float = 0.9
    pre_vote_limit: float = 0.8
    election_limit: float = 1.1
    pre_vote_favour: float = 0.5
    favour: float = 1.2
    resend: float = 0.2
    write_resend: float = 0.5
    copy_patience: float = 0.05
    departure_limit: float = 0.7
    inquiry: float = 0.3
    replace_after: float = 1.5
    learner_silence: float = 3.0
    disk_limit: float = 1.0
    disk_retry: float = 0.5
