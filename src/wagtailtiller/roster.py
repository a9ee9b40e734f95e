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


class Roster(msgspec.Struct, frozen=True):
    """The members at an epoch.

    Attributes:
        epoch: Rises with every change.
        members: The gateways by name.
        last_loss_ms: When a member last vanished without having finished
            its requests, in wall-clock milliseconds; 0 for never.
    """

    epoch: ids.Epoch
    members: dict[ids.GatewayId, Session]
    last_loss_ms: int = 0


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


def succeed(current: Roster, sessions: list[Session], wall_ms: int) -> Roster:
    """Return the roster that matches the live sessions.

    Args:
        current: The roster that stands.
        sessions: The live sessions.
        wall_ms: The wall clock, in milliseconds.

    Returns:
        The same roster, or one of the next epoch if something changed.
    """
    members = {session.gateway: session for session in sessions}
    if members == current.members:
        return current
    lost = any(_lost(old, members) for old in current.members.values())
    loss_ms = wall_ms if lost else current.last_loss_ms
    return Roster(ids.Epoch(current.epoch + 1), members, loss_ms)


def _lost(old: Session, members: dict[ids.GatewayId, Session]) -> bool:
    """Whether a member vanished with requests in flight.

    A leaving gateway removes its session only after it has finished.
    """
    new = members.get(old.gateway)
    if new is not None and new.incarnation == old.incarnation:
        return False
    return not old.leaving
