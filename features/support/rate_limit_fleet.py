"""A fleet of hosts in virtual time that keeps the rate limit of one workspace.

The hosts run the product's `RateLimits`. Links, hubs and targets are replaced by a
queue of events: a host's announcements go to the hub of its failure domain, which
forwards them in batches to its own domain and to the other hubs.
"""

import heapq
import itertools
import random
from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from types import SimpleNamespace

from oleanderroute.decisions.rate_limit import CAPACITY_PART
from oleanderroute.host.contact import ContactTracker
from oleanderroute.host.model import PeerHost, WorkspacePolicy
from oleanderroute.host.rate_limits import RateLimits

WINDOW_S = 5.0
DOMAINS = ("a", "b", "c")
BATCH_S = 0.01
HUB_BATCH_S = 0.02
HUB_HEARTBEAT_S = 0.1
HOUSEKEEPING_S = 0.2
# Datagrams that the socket of a paused process holds.
HELD_DATAGRAMS = 60
# A hub that is gone is replaced after this time.
HUB_CHANGE_S = 0.4
NAME = "w"


@dataclass
class Load:
    """What a simulated fleet is to do; times are in seconds."""

    hosts: int = 36
    rate: float = 50.0
    burst: float = 50.0
    demand: float = 5.0
    duration_s: float = 20.0
    # Weight of each host's demand, by index.
    weights: object = None
    loss: float = 0.0
    doubled: float = 0.0
    # Share of the hosts whose links delay each datagram by up to so many seconds.
    slow_part: float = 0.0
    slow_s: float = 0.0
    # (start, end, function from host index and domain to group).
    partitions: tuple = ()
    # (start, end, hosts): restarted processes start again at the end.
    stops: tuple = ()
    # (start, end, hosts): processes that do nothing, with datagrams that wait.
    pauses: tuple = ()
    # Hosts of an earlier version, which get no demand here.
    old_hosts: int = 0
    # (time, rate, burst)
    changes: tuple = ()
    # (time, function from host index to weight)
    moves: tuple = ()


class Member:
    """One host."""

    def __init__(self, fleet, index, rng):
        self.fleet = fleet
        self.index = index
        self.domain = DOMAINS[index % len(DOMAINS)]
        self.host_id = f"h{index}"
        self.rng = rng
        self.is_slow = rng.random() < fleet.load.slow_part
        self.incarnation = 0
        self.held = None
        self.is_old = index >= fleet.load.hosts - fleet.load.old_hosts
        self.start()

    def start(self):
        """Begin a process without memory of an earlier one."""
        fleet = self.fleet
        self.incarnation += 1
        self.is_up = True
        self.queue = []
        # As a hub: what waits for its own domain, and for the other hubs.
        self.domain_queue = []
        self.hub_queue = []
        self.last_seen_at = {}
        self.membership = SimpleNamespace(
            hub_of=self.hub_of,
            last_seen_at=self.last_seen_at,
            is_hub=False,
        )
        self.view = SimpleNamespace(
            settings=SimpleNamespace(
                host_id=self.host_id,
                failure_domain=self.domain,
                rate_limit_window_s=WINDOW_S,
            ),
            clock=fleet.clock,
            hosts=fleet.registrations,
            lapsed_hosts=set(),
            configuration=fleet.configuration,
        )
        self.limits = RateLimits(self.view)
        self.tracker = ContactTracker(self.view, self.membership)
        self.limits.contact_tracker = self.tracker
        self.limits.limiter.rng.seed(self.rng.random())

    def hub_of(self, domain):
        """Return the registration of a domain's hub, None for this host."""
        hub = self.fleet.hub(self, domain)
        if hub is self or hub is None:
            return None
        return self.fleet.registrations[hub.host_id]

    @property
    def is_hub(self):
        """Whether this host forwards announcements."""
        return self.fleet.hub(self, self.domain) is self

    def delay_s(self):
        """Return the delay of one datagram on this host's link."""
        delay_s = 0.0015 + self.rng.expovariate(1 / 0.002)
        if self.is_slow:
            delay_s += self.rng.uniform(0.0, self.fleet.load.slow_s)
        return delay_s


class RateFleet:
    """Runs a `Load` and records when requests were sent.

    Parameters
    ----------
    load : Load
    seed : int
    """

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.now = 100.0
        self.clock = SimpleNamespace(now=lambda: self.now)
        self.events = []
        self.order = itertools.count()
        self.policy = WorkspacePolicy(NAME, load.rate, load.burst)
        self.configuration = SimpleNamespace(workspaces={NAME: self.policy})
        self.registrations = {}
        for index in range(load.hosts):
            self.registrations[f"h{index}"] = PeerHost(
                f"h{index}",
                "127.0.0.1",
                1,
                2,
                DOMAINS[index % len(DOMAINS)],
                announces_workspaces=index < load.hosts - load.old_hosts,
            )
        self.partition = None
        self.hub_cache = {}
        self.sent = []
        self.offered = []
        self.refusals = []
        self.limits = [(float("-inf"), load.rate, load.burst)]
        self.weights = load.weights or (lambda index: 1.0)
        self.members = [Member(self, index, self.rng) for index in range(load.hosts)]
        self.sum_weights()

    # Events

    def at(self, time_s, function, *arguments):
        """Call a function at a time."""
        heapq.heappush(self.events, (time_s, next(self.order), function, arguments))

    def run(self):
        """Run the load to its end."""
        load = self.load
        start = self.now
        self.started_at = start
        for member in self.members:
            offset = self.rng.random()
            if not member.is_old:
                self.at(start + offset * BATCH_S, self.flush, member)
                self.at(start + offset * HOUSEKEEPING_S, self.keep_house, member)
            self.at(start + offset * HUB_BATCH_S, self.forward, member)
            self.at(start + offset * HUB_HEARTBEAT_S, self.beat, member, 0)
        for index, (begin, end, group_of) in enumerate(load.partitions):
            self.at(start + begin, self.split, group_of, index)
            self.at(start + end, self.split, None, index)
        for begin, end, indices in load.stops:
            self.at(start + begin, self.stop, indices)
            self.at(start + end, self.restart, indices)
        for begin, end, indices in load.pauses:
            self.at(start + begin, self.pause, indices)
            self.at(start + end, self.resume, indices)
        for time_s, rate, burst in load.changes:
            self.at(start + time_s, self.change, rate, burst)
        for time_s, weights in load.moves:
            self.at(start + time_s, self.move, weights)
        self.at(start, self.arrive)
        end = start + load.duration_s
        while self.events and self.events[0][0] < end:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self

    def sum_weights(self):
        """Compute whose request the next one is."""
        choices = self.members[: self.load.hosts - self.load.old_hosts]
        self.choices = choices
        sums = itertools.accumulate(self.weights(member.index) for member in choices)
        self.cumulative = list(sums)

    def arrive(self):
        """Let one request arrive at a host."""
        load = self.load
        self.at(self.now + self.rng.expovariate(load.rate * load.demand), self.arrive)
        member = self.rng.choices(self.choices, cum_weights=self.cumulative)[0]
        if not member.is_up or member.held is not None:
            return
        self.offered.append(self.now)
        exchange = SimpleNamespace(
            workspace=self.configuration.workspaces[NAME], admitted_at=None, sends=[]
        )
        answer = member.limits.admit(exchange)
        if answer is not None:
            self.refusals.append((self.now, dict(answer.headers)[b"retry-after"]))
            return
        self.sent.append(self.now)
        _, count = member.limits.count_first_send(exchange)
        member.queue.append((member.host_id, member.incarnation, count))

    # Announcements

    def hub(self, member, domain):
        """Return the hub of a domain as a host sees it."""
        group = self.group(member)
        key = (domain, group)
        if key not in self.hub_cache:
            found = None
            for other in self.members:
                if other.domain != domain or not other.is_up or other.held is not None:
                    continue
                if self.group(other) == group and not other.is_slow:
                    found = other
                    break
            self.hub_cache[key] = found
        return self.hub_cache[key]

    def group(self, member):
        """Return the group of a host in a partition."""
        if self.partition is None:
            return 0
        return self.partition(member.index, member.domain)

    def send(self, source, target, function, *arguments):
        """Deliver a datagram, unless it is lost, once or twice."""
        for _ in range(2 if self.rng.random() < self.load.doubled else 1):
            if self.rng.random() < self.load.loss:
                continue
            if self.group(source) != self.group(target):
                continue
            delay_s = source.delay_s() + (target.delay_s() if target.is_slow else 0.0)
            run = target.incarnation
            self.at(self.now + delay_s, self.deliver, target, run, function, arguments)

    def deliver(self, target, run, function, arguments):
        """Let a host receive a datagram, at the end of its pause."""
        if not target.is_up or target.incarnation != run:
            return
        if target.held is not None:
            target.held.append((function, arguments))
            return
        function(target, *arguments)

    def flush(self, member):
        """Send a host's announcements to its hub."""
        self.at(self.now + BATCH_S, self.flush, member)
        if not member.is_up or member.held is not None or not member.queue:
            return
        batch, member.queue = member.queue, []
        hub = self.hub(member, member.domain)
        if hub is member:
            member.domain_queue += batch
            member.hub_queue += batch
            return
        if hub is not None:
            self.send(member, hub, self.receive, member, batch, "member")

    def receive(self, target, source, batch, kind, report=None):
        """Apply a datagram at a host."""
        target.last_seen_at[source.host_id] = self.now
        if report is not None:
            target.tracker.record(source.host_id, *report, self.now)
        if not target.is_old:
            for host_id, incarnation, count in batch:
                if host_id == target.host_id:
                    if incarnation == target.incarnation:
                        target.limits.record_echo(NAME, count)
                    continue
                target.limits.apply(host_id, NAME, incarnation, count)
        if kind == "member":
            target.domain_queue += batch
            target.hub_queue += batch
        elif kind == "hub":
            target.domain_queue += batch

    def forward(self, member):
        """Send what a hub has queued."""
        self.at(self.now + HUB_BATCH_S, self.forward, member)
        if not member.is_up or member.held is not None:
            return
        is_hub = member.is_hub
        member.membership.is_hub = is_hub
        if not is_hub:
            return
        batch, member.domain_queue = member.domain_queue, []
        others, member.hub_queue = member.hub_queue, []
        if batch:
            for other in self.members:
                if other is not member and other.domain == member.domain:
                    self.send(member, other, self.receive, member, batch, "final")
        if not others:
            return
        for domain in DOMAINS:
            hub = self.hub(member, domain)
            if domain != member.domain and hub is not None:
                self.send(member, hub, self.receive, member, others, "hub")

    def beat(self, member, number):
        """Send a heartbeat, and as a hub a report."""
        self.at(self.now + HUB_HEARTBEAT_S, self.beat, member, number + 1)
        if not member.is_up or member.held is not None:
            return
        if not member.is_hub:
            hub = self.hub(member, member.domain)
            if number % 2 == 0 and hub is not None:
                self.send(member, hub, self.receive, member, (), "beat")
            return
        report = None
        if not member.is_old:
            report = member.tracker.make_report(self.now)
        for other in self.members:
            if other is member:
                continue
            if other.domain == member.domain or other.is_hub:
                self.send(member, other, self.receive, member, (), "beat", report)

    def keep_house(self, member):
        """Run the periodic work of a host."""
        self.at(self.now + HOUSEKEEPING_S, self.keep_house, member)
        if member.is_up and member.held is None:
            member.limits.update(self.now)

    # Changes during the run

    def split(self, group_of, index):
        """Begin a partition, or end it."""
        self.partition = group_of
        self.hub_cache.clear()

    def stop(self, indices):
        """Kill processes."""
        for index in indices:
            self.members[index].is_up = False
        self.at(self.now + HUB_CHANGE_S, self.hub_cache.clear)

    def restart(self, indices):
        """Start processes again, without memory."""
        for index in indices:
            self.members[index].start()
        self.hub_cache.clear()

    def pause(self, indices):
        """Stop the clock of processes; their datagrams wait."""
        for index in indices:
            self.members[index].held = []
        self.at(self.now + HUB_CHANGE_S, self.hub_cache.clear)

    def resume(self, indices):
        """Let processes go on; the oldest datagrams are read, others were dropped."""
        for index in indices:
            member = self.members[index]
            held, member.held = member.held, None
            for function, arguments in held[:HELD_DATAGRAMS]:
                function(member, *arguments)
        self.hub_cache.clear()

    def change(self, rate, burst):
        """Change the limit on all hosts."""
        self.configuration.workspaces[NAME] = WorkspacePolicy(NAME, rate, burst)
        self.limits.append((self.now, rate, burst))

    def move(self, weights):
        """Move the demand to other hosts."""
        self.weights = weights
        self.sum_weights()

    # Results

    def excess(self):
        """Return the largest excess over the hard bound in any window.

        After a lower limit, the higher one counts for another window.
        """
        worst = float("-inf")
        for index, begin in enumerate(self.sent):
            end = begin + WINDOW_S
            count = bisect_left(self.sent, end) - index
            rate, burst = self.limit_in(begin, end)
            bound = (rate * WINDOW_S + burst) * 1.1 + 20.0
            worst = max(worst, count - bound)
        return worst

    def limit_in(self, begin, end):
        """Return the highest limit that counts in a window."""
        rate = burst = 0.0
        for index, (since, its_rate, its_burst) in enumerate(self.limits):
            until = float("inf")
            if index + 1 < len(self.limits):
                until = self.limits[index + 1][0] + WINDOW_S
            if since < end and until > begin:
                rate, burst = max(rate, its_rate), max(burst, its_burst)
        return rate, burst

    def used_share(self, begin_s, end_s):
        """Return the admissions in part of the run as a share of the limit."""
        begin, end = self.started_at + begin_s, self.started_at + end_s
        count = bisect_right(self.sent, end) - bisect_left(self.sent, begin)
        return count / (self.load.rate * (end_s - begin_s))

    def refused_share(self, begin_s, end_s):
        """Return the refused share of the requests in part of the run."""
        begin, end = self.started_at + begin_s, self.started_at + end_s
        offered = bisect_right(self.offered, end) - bisect_left(self.offered, begin)
        sent = bisect_right(self.sent, end) - bisect_left(self.sent, begin)
        return 1.0 - sent / max(1, offered)


def exact_admissions(fleet, begin_s, end_s):
    """Return how many requests one bucket that sees everything admits.

    It has the capacity of the product's, and starts empty.
    """
    load = fleet.load
    tokens = 0.0
    capacity = load.burst + CAPACITY_PART * (
        0.1 * (load.rate * WINDOW_S + load.burst) + 20.0
    )
    updated_at = fleet.started_at
    admitted = 0
    for at in fleet.offered:
        tokens = min(capacity, tokens + (at - updated_at) * load.rate)
        updated_at = at
        if tokens >= 1.0:
            tokens -= 1.0
            if begin_s <= at - fleet.started_at <= end_s:
                admitted += 1
    return admitted


def uneven(index):
    """Return a weight from 1 to 10."""
    return 1.0 + (index * 7919) % 10


def one_host(index):
    """Return a weight that leaves all demand to one host."""
    return 1.0 if index == 4 else 0.0


def mostly_in(domain):
    """Return weights that leave nearly all demand to one failure domain."""
    return lambda index: 1.0 if index % len(DOMAINS) == domain else 0.02


def by_domain(index, domain):
    """Divide the hosts into three groups."""
    return DOMAINS.index(domain)


def two_sides(index, domain):
    """Divide one failure domain from the others."""
    return 0 if domain == "a" else 1


def across_domains(index, domain):
    """Divide each failure domain in two groups."""
    return index // len(DOMAINS) % 2


def troubles(hosts, rate, burst):
    """Return what may happen to a fleet, by name, as fields of a `Load`."""
    everybody = range(hosts)
    return {
        "no trouble": {},
        "demand at one host": {"weights": one_host},
        "moving demand": {
            "weights": mostly_in(0),
            "moves": ((10, mostly_in(1)), (15, one_host), (18, uneven)),
        },
        "lost announcements": {"loss": 0.02, "doubled": 0.02},
        "many lost announcements": {"loss": 0.1, "doubled": 0.1},
        "some slow links": {"slow_part": 0.2, "slow_s": 2.0},
        "slow links": {"slow_part": 0.8, "slow_s": 2.0},
        "two groups": {"partitions": ((8, 20, two_sides),)},
        "three groups": {"partitions": ((8, 20, by_domain),)},
        "groups across domains": {
            "partitions": ((8, 14, across_domains), (18, 21, by_domain)),
        },
        "demand that moves in a partition": {
            "weights": mostly_in(0),
            "partitions": ((10, 16, by_domain),),
            "moves": ((10, mostly_in(1)),),
        },
        "restart of all": {"stops": ((10, 10.3, everybody),)},
        "stops": {
            "stops": ((9, 14, (0, 1, 3)), (12, 15, (2,)), (16, 16.2, (4,))),
        },
        "pauses": {
            "pauses": ((9, 12, (0, 4)), (14, 14.6, (3,)), (16, 19, (1, 2))),
        },
        "pause of all": {"pauses": ((9, 12, everybody),)},
        "hosts that announce nothing": {"old_hosts": hosts // 2},
        "changes of the limit": {
            "changes": ((10, rate / 4, burst / 4), (16, rate, burst)),
        },
    }


def run_trouble(name, seed, hosts, rate, burst, demand, duration_s=25.0):
    """Run a fleet through a trouble and return the `RateFleet`."""
    fields = {"weights": uneven, **troubles(hosts, rate, burst)[name]}
    load = Load(hosts, rate, burst, demand, duration_s, **fields)
    return RateFleet(load, seed).run()
