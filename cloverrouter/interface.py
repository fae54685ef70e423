"""Messages between a client proxy and its balancer: settings, events and actions.

Times are milliseconds on one monotonic clock that the proxy chooses; durations end in ``_ms`` too.
Ids of requests, endpoints, zones and cells are opaque: they are compared and returned, never parsed.
"""

from __future__ import annotations

from enum import Enum

from cloverrouter.values import Value


class Idempotency(Enum):
    """Whether a request that may have run can be retried."""

    SAFE = "safe"  # always
    KEYED = "keyed"  # within the idempotency scope and window, in which servers drop duplicates
    UNSAFE = "unsafe"  # never


class IdempotencyScope(Enum):
    """Group of endpoints that deduplicate a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt, or a probe, ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # rejected before it ran
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # connection lost during the attempt; may have run
    SPOILT = "spoilt"  # the answer was malformed or truncated; it ran
    CANCELLED = "cancelled"  # cancelled by the proxy; may have run
    NOT_SENT = "not_sent"  # the proxy did not send it


class ConnectionSignal(Enum):
    """A health signal from a connection to an endpoint, apart from the outcome of an attempt."""

    REFUSED = "refused"  # no process listens on the port: the host answered with a TCP reset
    CONNECT_TIMEOUT = "unanswered"  # no connection was established in time
    UNRESPONSIVE = "silent"  # a request timed out, and no other request was answered meanwhile
    CLOSED_BY_PEER = "hung_up"  # the server closed all its connections at the same moment
    LAST_RESET = "last_reset"  # the last open connection was reset: the next one may lead to another process
    ACCEPTED = "accepted"  # a new connection was established


class Liveness(Enum):
    """Liveness estimate of a listed endpoint, derived from its health signals."""

    PRESENT = "present"
    SUSPECT = "suspect"
    ABSENT = "absent"
    UNKNOWN = "unknown"


class GiveUpReason(Enum):
    """Reason for which the balancer gave up a request; reported to operators, not used in decisions."""

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
    """Content of an `EndpointsListed` event."""

    DELTA = "delta"  # changed endpoints only
    FULL = "full"  # the complete list; endpoints that it lacks are removed
    RESTORED = "restored"  # the complete list as last known before a restart; may be out of date
    FAILED = "failed"  # a call to discovery failed or the subscription broke; nothing listed


class RequestClass(Value):
    name: str
    aim_ms: float  # latency objective: an answer within it earns the full worth
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth earned between aim and deadline
    aim_stretch: float = 0.0  # added to the aim, as a multiple of the request's work
    idempotency: Idempotency = Idempotency.UNSAFE
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_ms: float = 0.0
    streamed: bool = False


class Limits(Value):
    max_attempts: int = 3
    parallel_attempts: bool = False
    cancel: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 250.0
    max_open: int = 0  # requests that clients can have open at this proxy at a time; 0: not known


class Safety(Value):
    """Parameters of the rules on drains, discovery and cold endpoints."""

    cold_share: float = 1.0  # share of its capacity with which an endpoint starts, at least
    cold_ms: float = 0.0  # time after which it is warm, at the latest
    overload_multiple: float = (
        3.0  # a cold endpoint fails if it is sent more than this multiple of its capacity
    )
    overload_window_ms: float = 1000.0  # during this time
    discovery_poll_ms: float = 10_000.0  # maximum interval between calls to discovery without a subscription
    drain_grace_ms: float = (
        1000.0  # from this time after the notice on, a draining endpoint gets no new attempts
    )


class Prices(Value):
    """Points that the site subtracts from the result."""

    cross_zone: float = 0.0  # per attempt that crosses zones, relative to first attempts
    probe: float = 0.0  # per probe, relative to first attempts
    waste: float = 0.0  # work that led to no answer, as a share of the work offered
    late_fail: float = 0.0  # worth of requests that ended unserved after their aim


class Tenant(Value):
    name: str
    quota_per_s: float


class Settings(Value):
    classes: tuple[RequestClass, ...]
    zone: str = ""
    proxies: int = 1  # number of client proxies that send to the same endpoints, including this one
    number: int | None = None  # index of this proxy, from 0; None: not known, drawn at random
    subscribe: bool = False  # discovery reports changes only on request
    report_fields: tuple[str, ...] = ()  # fields of a load report, in order
    worth_by_work: bool = False  # worth counts per unit of work, not per request
    limits: Limits = Limits()
    safety: Safety = Safety()
    prices: Prices = Prices()
    tenants: tuple[Tenant, ...] = ()
    over_quota_worth: float = 1.0  # share of its worth that a request above its tenant's quota keeps

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
        if min(self.safety.overload_multiple, self.safety.overload_window_ms) <= 0:
            raise ValueError("safety.overload_multiple and safety.overload_window_ms must be positive")


class ListedEndpoint(Value):
    """One entry of the list that discovery returns."""

    name: str
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    state: EndpointState = EndpointState.READY
    started_ms: float | None = None  # None: long ago


# Events: sent by the proxy to the balancer.


class EndpointsListed(Value):
    kind: ListKind
    endpoints: tuple[ListedEndpoint, ...] = ()


class RequestArrived(Value):
    request_id: int
    class_name: str
    deadline_ms: float | None = None  # absolute time; None: the deadline of the class applies
    tenant: str | None = None
    key: str | None = None
    work_hint_ms: float | None = None
    client_retry: bool = False  # marked by its client as a retry
    uses_previous_settings: bool = False  # its class is the one before the last `SettingsChanged`
    single_attempt: bool = False  # its body is not buffered, so it cannot be retried
    complete: bool = True  # its last byte was received; if not, its time runs from `RequestCompleted` on
    waited_ms: float = 0.0  # time since its last byte, where the proxy process was paused


class SettingsChanged(Value):
    """Replaces the settings for requests that arrive from now on; open requests keep their class.

    The fields zone, proxies, number, subscribe and report_fields keep their values from the start.
    """

    settings: Settings


class RequestCompleted(Value):
    """The last byte of a request that arrived incomplete was received."""

    request_id: int
    deadline_ms: float | None = None  # as in `RequestArrived`


class StreamStarted(Value):
    """The answer has begun: from now on the attempt is bound to the client and cannot be replaced."""

    request_id: int
    attempt: int
    latency_ms: float


class AttemptEnded(Value):
    request_id: int
    attempt: int
    outcome: Outcome
    latency_ms: float
    answered: bool = False  # the client has its answer
    report: tuple[float, ...] | None = None
    signal: ConnectionSignal | None = None  # set if the connection failed and the cause is known
    latency_unreliable: bool = (
        False  # the proxy was paused meanwhile: the latency says nothing about the endpoint
    )


class ProcessPaused(Value):
    """The proxy process was paused or starved of CPU time; overdue answers are not the servers' fault."""


class ConnectionSignalObserved(Value):
    """A connection to an endpoint gave a health signal, independent of the attempts on it."""

    endpoint: str
    signal: ConnectionSignal


class ClientDisconnected(Value):
    """The client disconnected; it needs no answer any more."""

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
    | RequestCompleted
    | StreamStarted
    | AttemptEnded
    | ProcessPaused
    | ConnectionSignalObserved
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | SettingsChanged
)


# Actions: returned by the balancer to the proxy.


class Send(Value, uncompared=("begin_within_ms", "new_connection")):
    """Start the next attempt of a request; attempts are numbered from 0 in the order of their sends."""

    request_id: int
    endpoint: str
    timeout_ms: float
    # The attempt must start within this time, which includes establishing its connection.
    begin_within_ms: float = float("inf")
    # Use a new connection: the attempt tests whether the endpoint is alive; a pooled connection may be dead.
    new_connection: bool = False


class Refuse(Value, uncompared=("reason",)):
    """Final answer: rejected, nothing ran, and the client may safely retry."""

    request_id: int
    retry_after_ms: float = 0.0
    reason: GiveUpReason | None = None


class Fail(Value, uncompared=("reason",)):
    """Final answer: failed; the request may or may not have run."""

    request_id: int
    reason: GiveUpReason | None = None


class Cancel(Value):
    request_id: int
    attempt: int


class SetTimer(Value):
    delay_ms: float
    token: int


class Probe(Value):
    endpoint: str


class Subscribe(Value):
    """Ask discovery for the changes missed and for all that follow."""


class Log(Value):
    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Subscribe | Log


# The state of the balancer, for operators. Reading it changes nothing.


class EndpointView(Value):
    """State of one endpoint at one moment. Durations are in ms, `warmth` is from 0 to 1."""

    name: str
    zone: str
    cell: int
    state: EndpointState
    in_flight: int  # attempts of this proxy in flight
    limit: float  # maximum number of attempts in flight
    payoff: float
    warmth: float  # lower bound of its present share of its full capacity
    paused_ms: float  # time until it may be sent work again; 0: not paused
    unresponsive: bool  # its answers are overdue by far more than usual
    failures: int  # consecutive
    latency_ms: float  # smoothed; 0: not known
    liveness: Liveness = Liveness.UNKNOWN  # whether its process is alive
    liveness_reason: str = ""  # signals behind the estimate
    suspected_ms: float = 0.0  # time since the first signal against it; 0: not suspected

    @property
    def suspected(self) -> bool:
        return self.liveness in (Liveness.SUSPECT, Liveness.ABSENT)

    @property
    def healthy(self) -> bool:
        """Whether it can accept work, as far as the balancer knows."""
        sound = self.paused_ms <= 0 and not self.unresponsive and not self.suspected
        return self.state is EndpointState.READY and sound


class BalancerView(Value):
    endpoints: tuple[EndpointView, ...]
    requests: int  # queued, in flight, or answered with an attempt still in flight
    queued: int  # waiting for a server with a free slot
    retry_tokens: float
    discovery_lost: bool
    discovery_age_s: float = 0.0  # time since the last answer from discovery
    rollout_in_progress: bool = False  # servers are being replaced
