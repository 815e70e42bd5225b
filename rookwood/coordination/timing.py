"""Timing parameters of the replication protocol, in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Timing:
    """Intervals and timeouts of a replica.

    heartbeat            interval between the primary's heartbeat rounds
    primary_silence      time without a message of the primary after which a backup stands for election
    election_jitter      maximum random delay added to each wait for an election
    start_silence        minimum wait of a new process before an election; a random part at most doubles it
    disconnect_silence   like primary_silence, once the primary's connection has closed
    lease                how long an acknowledged heartbeat round lets the primary act, and how long a message
                         of the primary keeps a backup in contact
    pre_vote_limit       how long a candidate requests pre-votes
    election_limit       how long a candidate requests promises; shorter than `favour`
    pre_vote_favour      how long a member favours a candidate to which it granted a pre-vote (see voting.py)
    favour               how long a member favours a candidate to which it promised an epoch
    resend               interval at which a candidate repeats its requests
    write_resend         time after which an unacknowledged document is sent again
    copy_patience        how long a commit waits for healthy members beyond the quorum
    departure_limit      how long a primary that hands over waits for the other members' copies
    inquiry              interval at which a machine that is not a member repeats its request for admission
    replace_after        time without a message after which a member may be replaced; also how long a document
                         waits for copies of lost members, and how long the group waits for another machine
                         before it grows to an even number of members
    learner_silence      time after which an unrepeated request for admission expires
    disk_limit           duration of a disk write after which the member neither leads nor stands
    disk_retry           time after which a failed disk is tried again
    """

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
