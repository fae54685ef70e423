"""What a client proxy and the balancer say to each other: settings, events, actions.

Times are milliseconds on one monotonic clock of the proxy's choosing; spans end in ``_ms`` too.
Ids (requests, endpoints, zones, cells) are opaque: they are compared and given back, never read.
"""

from __future__ import annotations

from enum import Enum

from cloverrouter.values import Value


class Idempotency(Enum):
    """Whether a request that may have run can be sent again."""

    SAFE = "safe"  # always
    KEYED = "keyed"  # within the group of endpoints and the time that drop its repeats
    UNSAFE = "unsafe"  # never


class RepeatScope(Enum):
    """Which endpoints drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt, or a probe, ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # turned away unseen
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # connection lost under way; may have run
    SPOILT = "spoilt"  # an answer came that is of no use; it ran
    CANCELLED = "cancelled"  # called off by us; may have run
    NOT_SENT = "not_sent"  # the proxy did not send it


class Sign(Enum):
    """What a connection to an endpoint showed, besides how an attempt ended."""

    REFUSED = "refused"  # nobody listens there: its machine says so
    UNANSWERED = "unanswered"  # no connection came up in time
    SILENT = "silent"  # a request had no answer in time, nor had any other meanwhile
    HUNG_UP = "hung_up"  # all connections to it were ended from there, at one moment
    ACCEPTED = "accepted"  # a new connection came up


class Belief(Enum):
    """What the signs say of an endpoint that is listed."""

    PRESENT = "present"
    SUSPECT = "suspect"
    ABSENT = "absent"
    UNKNOWN = "unknown"


class Why(Enum):
    """Why the module gave a request up: for people who ask, never for decisions."""

    NO_SERVER = "no server is listed as ready"
    NO_ROOM = "no server had room in time"
    TOO_LATE = "no time was left when it came"
    CROWDED = "waiting requests held too many clients' connections"
    ATTEMPTS = "all attempts allowed were used"
    ONE_ATTEMPT = "its class gets one attempt, which did not run"
    MAY_HAVE_RUN = "it may have run, and its class is not repeated"
    NO_TIME = "no time was left for another attempt"
    NO_TOKENS = "the retry budget was spent"
    COMMON = "other servers failed, too, and none has served since"


class EndpointState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What an `EndpointsListed` event carries."""

    DELTA = "delta"  # changed endpoints only
    FULL = "full"  # the whole list; what is not in it is gone
    RESTORED = "restored"  # the whole list as last known before a restart, perhaps old
    FAILED = "failed"  # a call to discovery failed or the subscription broke; nothing listed


class RequestClass(Value):
    name: str
    aim_ms: float  # an answer within this earns the full worth
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth earned between aim and deadline
    aim_stretch: float = 0.0  # more time on the aim, as a multiple of the request's work
    idempotency: Idempotency = Idempotency.UNSAFE
    repeat_scope: RepeatScope = RepeatScope.ALL
    repeat_window_ms: float = 0.0
    streamed: bool = False


class Limits(Value):
    max_attempts: int = 3
    parallel_attempts: bool = False
    cancel: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 250.0
    max_open: int = 0  # requests that the clients can have open here; more don't reach it. 0: not known


class Safety(Value):
    """The figures of the rules on drains, discovery and cold endpoints."""

    cold_share: float = 1.0  # an endpoint starts with at least this share of its capacity
    cold_ms: float = 0.0  # and is warm at the latest after this
    push_multiple: float = 3.0  # sent more than this multiple of its capacity
    push_window_ms: float = 1000.0  # for this long, a cold endpoint falls over
    must_ask_ms: float = 10_000.0  # unsubscribed proxies must ask discovery this often
    drain_grace_ms: float = 1000.0  # so long after it was told, an endpoint that drains gets nothing new


class Prices(Value):
    """Points taken off the result, as the site counts them."""

    cross_zone: float = 0.0  # an attempt that crosses zones, per first try
    probe: float = 0.0  # a probe, per first try
    waste: float = 0.0  # work that served no answer, as a share of work offered
    late_fail: float = 0.0  # worth that ended unserved after its aim


class Tenant(Value):
    name: str
    quota_per_s: float


class Settings(Value):
    classes: tuple[RequestClass, ...]
    zone: str = ""
    proxies: int = 1  # client proxies that send to the same endpoints, this one included
    number: int | None = None  # this proxy's, from 0; None: not known, and drawn
    subscribe: bool = False  # discovery tells of changes only when asked
    report_fields: tuple[str, ...] = ()  # what a load report holds, in order
    worth_by_work: bool = False  # worth counts per unit of work, not per request
    limits: Limits = Limits()
    safety: Safety = Safety()
    prices: Prices = Prices()
    tenants: tuple[Tenant, ...] = ()
    over_quota_worth: float = 1.0  # share of its worth that a request over its tenant's quota keeps

    def __post_init__(self) -> None:
        for cls in self.classes:
            if cls.deadline_ms <= 0 or cls.aim_ms <= 0:
                raise ValueError(f"class {cls.name!r}: aim and deadline must be positive")
        if len({cls.name for cls in self.classes}) != len(self.classes):
            raise ValueError("two classes share a name")
        if self.proxies < 1:
            raise ValueError("proxies must be at least 1, this one included")
        if self.number is not None and not 0 <= self.number < self.proxies:
            raise ValueError("number must be from 0 to proxies - 1")
        if self.limits.max_attempts < 1:
            raise ValueError("limits.max_attempts must be at least 1")
        if not 0 < self.safety.cold_share <= 1:
            raise ValueError("safety.cold_share must be above 0 and at most 1")
        if min(self.safety.push_multiple, self.safety.push_window_ms) <= 0:
            raise ValueError("safety.push_multiple and safety.push_window_ms must be positive")


class ListedEndpoint(Value):
    """One entry of discovery's list."""

    name: str
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    state: EndpointState = EndpointState.READY
    started_ms: float | None = None  # None: a long time ago


# Events: what the proxy tells.


class EndpointsListed(Value):
    kind: ListKind
    endpoints: tuple[ListedEndpoint, ...] = ()


class RequestArrived(Value):
    request_id: int
    class_name: str
    deadline_ms: float | None = None  # on the clock, not a span; None: the class's own
    tenant: str | None = None
    key: str | None = None
    work_hint_ms: float | None = None
    repeat: bool = False  # marked by its client as a repeat
    former: bool = False  # its class is meant as it was before the last `SettingsChanged`
    once: bool = False  # its body is not kept: there can be no second attempt
    whole: bool = True  # its last byte has come; if not, its time counts from `RequestWhole` on
    waited_ms: float = 0.0  # since its last byte came, where the proxy itself stood still


class SettingsChanged(Value):
    """These settings hold for requests that come from here on; those that are open keep their class.

    What places the proxy among others stays as at the start: zone, proxies, number, subscribe, report fields.
    """

    settings: Settings


class RequestWhole(Value):
    """The last byte has come of a request that arrived without it."""

    request_id: int
    deadline_ms: float | None = None  # as in `RequestArrived`


class StreamStarted(Value):
    """The answer has begun; from here the attempt is the client's."""

    request_id: int
    attempt: int
    latency_ms: float


class AttemptEnded(Value):
    request_id: int
    attempt: int
    outcome: Outcome
    latency_ms: float
    answered: bool = False  # nothing more is owed to the client
    report: tuple[float, ...] | None = None
    sign: Sign | None = None  # of a connection that did not come up, where that is known
    unsure: bool = False  # the proxy stood still meanwhile: the latency is not the endpoint's


class Stood(Value):
    """The proxy stood still, stopped or short of its processor: what seems overdue is no server's fault."""


class SignSeen(Value):
    """A connection to an endpoint showed something, whatever becomes of the attempts."""

    endpoint: str
    sign: Sign


class RequestGone(Value):
    """The client left; nothing more is owed."""

    request_id: int


class TimerFired(Value):
    token: int


class ProbeEnded(Value):
    endpoint: str
    outcome: Outcome
    latency_ms: float
    report: tuple[float, ...] | None = None


Event = (
    EndpointsListed
    | RequestArrived
    | RequestWhole
    | StreamStarted
    | AttemptEnded
    | Stood
    | SignSeen
    | RequestGone
    | TimerFired
    | ProbeEnded
    | SettingsChanged
)


# Actions: what the balancer answers.


class Send(Value, aside=("begin_within_ms", "fresh")):
    """Start the next attempt of a request; attempts count from 0 in the order of their sends."""

    request_id: int
    endpoint: str
    timeout_ms: float
    # Not to go out later than this, however long its connection takes to come up.
    begin_within_ms: float = float("inf")
    # On a connection of its own: it tries whether the endpoint is there, and a connection kept may be dead.
    fresh: bool = False


class Refuse(Value, aside=("why",)):
    """Final answer: rejected, and harmless to try again."""

    request_id: int
    retry_after_ms: float = 0.0
    why: Why | None = None


class Fail(Value, aside=("why",)):
    """Final answer: failed; whether it ran is not said."""

    request_id: int
    why: Why | None = None


class Cancel(Value):
    request_id: int
    attempt: int


class SetTimer(Value):
    delay_ms: float
    token: int


class Probe(Value):
    endpoint: str


class Subscribe(Value):
    """Ask discovery for the changes missed, and for all that follow."""


class Log(Value):
    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Subscribe | Log


# What the balancer believes, for people who ask. Reading it changes nothing.


class EndpointView(Value):
    """One endpoint as the module sees it at one moment. Spans are in ms, `warmth` from 0 to 1."""

    name: str
    zone: str
    cell: int
    state: EndpointState
    in_flight: int  # attempts of this proxy that are out there
    limit: float  # as many it may hold
    payoff: float
    warmth: float  # share of its full capacity that it surely has by now
    paused_ms: float  # until it may be sent work again; 0: not paused
    silent: bool  # owes answers for far longer than usual
    failures: int  # in a row
    latency_ms: float  # smoothed; 0: not known
    belief: Belief = Belief.UNKNOWN  # is it there at all?
    evidence: str = ""  # why that is believed
    doubted_ms: float = 0.0  # for so long it is left out, but for trials

    @property
    def doubted(self) -> bool:
        return self.belief in (Belief.SUSPECT, Belief.ABSENT)

    @property
    def healthy(self) -> bool:
        """Can it take work, as far as the module knows?"""
        sound = self.paused_ms <= 0 and not self.silent and not self.doubted
        return self.state is EndpointState.READY and sound


class BalancerView(Value):
    endpoints: tuple[EndpointView, ...]
    requests: int  # known: waiting, out, or answered with an attempt still out
    held: int  # waiting for a server with room
    retry_tokens: float
    discovery_lost: bool
    told_s: float = 0.0  # since discovery last answered
    releasing: bool = False  # the fleet is being replaced
