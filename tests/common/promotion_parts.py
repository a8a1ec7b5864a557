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
    wait_for_hold: bool = True
    """Without the primary's end, a server is chosen only once no instance sends commits."""
    need_permission: bool = True
    """An instance whose records are old sends no commits."""
    compare_acknowledged: bool = True
    """A log must reach beyond the positions that instances have acknowledged."""
    stop_silent_primary: bool = True
    """A primary that gives no answer is ordered to stop; its end counts if it answers."""
    any_instance_stops: bool = True
    """Every instance that reaches a silent primary orders it to stop, not only the holder."""
    end_primary: bool = True
    """Without the primary's end, a server is chosen only once the primary executes no commits."""
    hold_after_stop: bool = True
    """A server is chosen by the primary's end only once no instance sends commits."""
    stop_leaders_only: bool = True
    """The end of a silent primary counts only if it led the newest term before the order."""
    pause_replaced: bool = True
    """A silent server that the list names as a replica must be paused like the others."""
    never_void_before_stop: bool = True
    """No server is promoted that is to be stopped next."""
    record_unanswered: bool = True
    """A record stays, with a mark, after a request without an answer."""
    keep_first: bool = True
    """Under a marked record the present primary is promoted before any order to stop it, and the
    effect is awaited."""
    hold_for_all: bool = True
    """A holder that finds a record holds commits to all servers until promotions took effect."""
    end_after_hold: bool = True
    """The end of a stopped primary counts once it was read after the hold was complete."""
    record_end: bool = True
    """The end of a stopped primary is recorded for the next holder."""
    durable_list: bool = True
    """Instances that start anew know the servers whose entries have expired."""
    keep_members: bool = True
    """The durable record names servers without an entry until they are covered."""
    cover_by_end: bool = True
    """A server is covered once a replica has the end of the primary, read after it had ended."""
    cover_ended: bool = True
    """A server is covered only while its process has ended."""
    await_silent: bool = True
    """Servers without an entry that give no answer are waited for."""
    acknowledged_end: bool = True
    """A log with all positions that instances have acknowledged is enough."""
    acknowledged_end_of_all: bool = True
    """The highest acknowledged position counts once all instances that know some have told it."""
    answers_to_all: bool = True
    """An instance tells none while it has had no answer to a commit that it has sent."""
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
