"""The roster: the member gateways of a region and the owner of each pool.

The roster is one key in the store. Each change increments its epoch. The owner
of a pool is a function of the roster alone, so processes with the same epoch
agree on it without communication. Source of the ownership rule: Thaler and
Ravishankar, "Using name-based mappings to increase hit rates", 1998
(rendezvous hashing).
"""

import hashlib

import msgspec

from wagtailtiller import ids

KEY_PREFIX = "state/roster/"
SESSION_PREFIX = "sessions/gateway/"


class GatewaySession(msgspec.Struct, frozen=True):
    """Session of a live gateway, written under a lease.

    Attributes:
        gateway: Name of the gateway.
        incarnation: Id that differs at each start of the process.
        region: Region that the gateway serves.
        peer_address: Address for other gateways, as ``ip:port``.
        caller_address: Address for callers, as ``ip:port``.
        leaving: Whether the gateway is stopping and must not gain pools.
    """

    gateway: ids.GatewayId
    incarnation: str
    region: ids.RegionId
    peer_address: str
    caller_address: str
    leaving: bool = False


class SessionRecord(msgspec.Struct, frozen=True):
    """Stored record of a session.

    Attributes:
        session: The session.
        epoch: Newest roster epoch that the gateway knows.
    """

    session: GatewaySession
    epoch: ids.Epoch


class Roster(msgspec.Struct, frozen=True):
    """The members of a region at an epoch.

    Attributes:
        epoch: Number that increases with each change.
        members: Sessions of the members, by gateway name.
        last_loss_ms: Wall-clock time in ms at which a member was last lost
            before it finished its requests; 0 if never.
        unaccounted: Incarnations, by gateway name, of previous members whose
            processes may still run without access to the store.
    """

    epoch: ids.Epoch
    members: dict[ids.GatewayId, GatewaySession]
    last_loss_ms: int = 0
    unaccounted: dict[ids.GatewayId, str] = {}

    def quorum(self) -> int:
        """Return the smallest number that is a majority of the electorate.

        The electorate consists of the members and the unaccounted gateways.
        Any two quorums share a gateway, within an epoch and across epochs.
        """
        return (len(self.members) + len(self.unaccounted)) // 2 + 1


EMPTY = Roster(ids.Epoch(0), {})


def key(region: ids.RegionId) -> str:
    """Return the store key of a region's roster."""
    return f"{KEY_PREFIX}{region}"


def session_key(gateway: ids.GatewayId) -> str:
    """Return the store key of a gateway's session."""
    return f"{SESSION_PREFIX}{gateway}"


def owner(roster: Roster, pool: ids.PoolId) -> GatewaySession | None:
    """Return the gateway that owns a pool.

    Leaving gateways own pools only if all members are leaving.

    Args:
        roster: Roster to look in.
        pool: Id of the pool.

    Returns:
        Session of the owner; None if the roster has no members.
    """
    not_leaving = [m for m in roster.members.values() if not m.leaving]
    candidates = not_leaving or list(roster.members.values())
    if not candidates:
        return None
    return max(candidates, key=lambda member: _score(member, pool))


def _score(member: GatewaySession, pool: ids.PoolId) -> bytes:
    text = f"{member.gateway}\n{pool}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def next_roster(
    current: Roster, live_sessions: list[SessionRecord], wall_ms: int
) -> Roster:
    """Return the roster that matches the live sessions.

    A member whose session is lost stays in the electorate until a gateway of
    its name returns, which proves that the previous process is dead, or until
    an operator strikes it off. Gateways with new names join one at a time, and
    only when a quorum knows the current epoch; otherwise newcomers could
    outvote a partitioned group.

    Args:
        current: Current roster.
        live_sessions: Stored records of the live sessions.
        wall_ms: Wall-clock time in milliseconds.

    Returns:
        The same roster, or one with the next epoch if it changes.
    """
    sessions = {
        record.session.gateway: record.session for record in live_sessions
    }
    members = {
        name: sessions[name] for name in current.members if name in sessions
    }
    unaccounted = dict(current.unaccounted)
    for name, old in current.members.items():
        if name not in sessions and not old.leaving:
            unaccounted[name] = old.incarnation
    for name in [name for name in unaccounted if name in sessions]:
        members[name] = sessions[name]
        del unaccounted[name]
    for name in _admitted_newcomers(current, live_sessions):
        members[name] = sessions[name]
    if members == current.members and unaccounted == current.unaccounted:
        return current
    lost = any(_lost_requests(old, members) for old in current.members.values())
    last_loss_ms = wall_ms if lost else current.last_loss_ms
    epoch = ids.Epoch(current.epoch + 1)
    return Roster(epoch, members, last_loss_ms, unaccounted)


def strike_off(current: Roster, gateway: ids.GatewayId) -> Roster:
    """Remove a previous member that is known to be dead from the electorate.

    Args:
        current: Current roster.
        gateway: Name of the previous member.

    Returns:
        The roster with the next epoch.
    """
    unaccounted = dict(current.unaccounted)
    unaccounted.pop(gateway, None)
    epoch = ids.Epoch(current.epoch + 1)
    return msgspec.structs.replace(
        current, epoch=epoch, unaccounted=unaccounted
    )


def _admitted_newcomers(
    current: Roster, live_sessions: list[SessionRecord]
) -> list[ids.GatewayId]:
    known_names = current.members.keys() | current.unaccounted.keys()
    new = sorted(
        record.session.gateway
        for record in live_sessions
        if record.session.gateway not in known_names
    )
    if current.epoch == 0:
        return new
    up_to_date = sum(
        record.epoch >= current.epoch and record.session.gateway in known_names
        for record in live_sessions
    )
    return new[:1] if up_to_date >= current.quorum() else []


def _lost_requests(
    old: GatewaySession, members: dict[ids.GatewayId, GatewaySession]
) -> bool:
    """Return whether a member was lost with requests in flight.

    A leaving gateway removes its session only after its requests are done.
    """
    new = members.get(old.gateway)
    if new is not None and new.incarnation == old.incarnation:
        return False
    return not old.leaving
