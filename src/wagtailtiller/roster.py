"""The roster: which gateways of a region are members, and who owns a pool.

The roster is one key in the store. Every change raises its epoch; a pool's
owner follows from the roster alone, so that all who have the same epoch agree
without talking. Source of the ownership rule: Thaler and Ravishankar, "Using
name-based mappings to increase hit rates", 1998 (rendezvous hashing).
"""

import hashlib

import msgspec

from wagtailtiller import ids

KEY_PREFIX = "state/roster/"
SESSION_PREFIX = "sessions/gateway/"


class Session(msgspec.Struct, frozen=True):
    """What a live gateway says of itself, under a lease.

    Attributes:
        gateway: Its name.
        incarnation: Differs at each start of the process.
        region: The region that it serves.
        peer_address: Where other gateways reach it, as ``ip:port``.
        caller_address: Where callers reach it, as ``ip:port``.
        leaving: Whether it is stopping: it takes no new ownership.
    """

    gateway: ids.GatewayId
    incarnation: str
    region: ids.RegionId
    peer_address: str
    caller_address: str
    leaving: bool = False


class Presence(msgspec.Struct, frozen=True):
    """A session as it stands in the store.

    Attributes:
        session: Who.
        epoch: The newest roster epoch that it knows.
    """

    session: Session
    epoch: ids.Epoch


class Roster(msgspec.Struct, frozen=True):
    """The members at an epoch.

    Attributes:
        epoch: Rises with every change.
        members: The gateways by name.
        last_loss_ms: When a member last vanished without having finished
            its requests, in wall-clock milliseconds; 0 for never.
        unaccounted: Former members, with their incarnations, that may still
            run somewhere, cut off from the store.
    """

    epoch: ids.Epoch
    members: dict[ids.GatewayId, Session]
    last_loss_ms: int = 0
    unaccounted: dict[ids.GatewayId, str] = {}

    def quorum(self) -> int:
        """Return how many gateways are more than half of the electorate.

        The electorate is the members and the unaccounted. Two groups that
        each are a quorum share a gateway, in one epoch and across epochs.
        """
        return (len(self.members) + len(self.unaccounted)) // 2 + 1


EMPTY = Roster(ids.Epoch(0), {})


def key(region: ids.RegionId) -> str:
    """Return the store key of a region's roster."""
    return f"{KEY_PREFIX}{region}"


def session_key(gateway: ids.GatewayId) -> str:
    """Return the store key of a gateway's session."""
    return f"{SESSION_PREFIX}{gateway}"


def owner(roster: Roster, pool: ids.PoolId) -> Session | None:
    """Return the gateway that dispatches a pool; None when there is none.

    A leaving gateway keeps no pool unless all are leaving.
    """
    staying = [m for m in roster.members.values() if not m.leaving]
    candidates = staying or list(roster.members.values())
    if not candidates:
        return None
    return max(candidates, key=lambda member: _score(member, pool))


def _score(member: Session, pool: ids.PoolId) -> bytes:
    text = f"{member.gateway}\n{pool}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def succeed(current: Roster, present: list[Presence], wall_ms: int) -> Roster:
    """Return the roster that matches the live sessions.

    A member that vanished stays in the electorate until it comes back under
    its name, which proves its former process dead, or an operator strikes it
    off. A new name joins alone, and only once a quorum knows the current
    epoch; otherwise the newcomers could outvote a group that is cut off.

    Args:
        current: The roster that stands.
        present: The live sessions.
        wall_ms: The wall clock, in milliseconds.

    Returns:
        The same roster, or one of the next epoch if something changed.
    """
    sessions = {each.session.gateway: each.session for each in present}
    members = {
        name: sessions[name] for name in current.members if name in sessions
    }
    unaccounted = dict(current.unaccounted)
    for name, old in current.members.items():
        if name not in sessions and not old.leaving:
            unaccounted[name] = old.incarnation
    for name in [each for each in unaccounted if each in sessions]:
        members[name] = sessions[name]
        del unaccounted[name]
    for name in _newcomers(current, present):
        members[name] = sessions[name]
    if members == current.members and unaccounted == current.unaccounted:
        return current
    lost = any(_lost(old, members) for old in current.members.values())
    loss_ms = wall_ms if lost else current.last_loss_ms
    epoch = ids.Epoch(current.epoch + 1)
    return Roster(epoch, members, loss_ms, unaccounted)


def strike_off(current: Roster, gateway: ids.GatewayId) -> Roster:
    """Take a former member that is known to be dead out of the electorate."""
    unaccounted = dict(current.unaccounted)
    unaccounted.pop(gateway, None)
    epoch = ids.Epoch(current.epoch + 1)
    return msgspec.structs.replace(
        current, epoch=epoch, unaccounted=unaccounted
    )


def _newcomers(current: Roster, present: list[Presence]) -> list[ids.GatewayId]:
    known = current.members.keys() | current.unaccounted.keys()
    new = sorted(
        each.session.gateway
        for each in present
        if each.session.gateway not in known
    )
    if current.epoch == 0:
        return new
    aware = sum(
        each.epoch >= current.epoch and each.session.gateway in known
        for each in present
    )
    return new[:1] if aware >= current.quorum() else []


def _lost(old: Session, members: dict[ids.GatewayId, Session]) -> bool:
    """Whether a member vanished with requests in flight.

    A leaving gateway removes its session only after it has finished.
    """
    new = members.get(old.gateway)
    if new is not None and new.incarnation == old.incarnation:
        return False
    return not old.leaving
