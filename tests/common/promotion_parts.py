"""Parts of the rule for promotions that the machine can switch off."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Parts:
    """Parts of the rule that are in force."""

    stop_primary: bool = True
    """A primary that answers is stopped."""
    compare_end: bool = True
    """The successor must reach the end of the stopped primary."""
    read_list: bool = True
    """The list is read anew before all servers are paused."""
    hold_first: bool = True
    """The likely successor is recorded, and read by the instances, before all are paused."""
    need_all_paused: bool = True
    """Without a primary's answer all servers that are known must be paused."""
    choose_highest: bool = True
    """Of the paused servers the one with the highest log is promoted."""
    count_expired: bool = True
    """Servers whose entries expired lately count."""
    record: bool = True
    """The server is recorded before its promotion is requested."""
    record_outlives_claim: bool = True
    """The record stays when the claim of its writer expires."""
    decide_again: bool = True
    """The decision is taken once more after the server was recorded."""
    hold_commits: bool = True
    """Instances that have read the record send no commits to another server."""
    resume_requested_only: bool = True
    """While a promotion may take effect only its server is resumed."""
    keep_paused: bool = True
    """Servers are paused again until the promotion has taken effect."""
    fence_requests: bool = True
    """A request is rejected after one with a higher token."""
    void_request: bool = True
    """A request is voided by a promotion of the present primary before its record is removed."""
