"""One host's part of the burn report, as a JSON value."""

import asyncio

FORMAT_VERSION = 1


async def host_report(identity, serving, burn, incidents, clock, service=None):
    """Return what this host knows; its counts begin with its own start.

    Parameters
    ----------
    identity : PeerIdentity
    serving : Serving
    burn : BurnLedger
    incidents : IncidentLog
    clock : Clock
    service : ServiceName or None
        Only this service's counts; the incidents are those of the host.

    Returns
    -------
    dict
    """
    now_unix_s = clock.wall()
    services = {}
    for name, entry in serving.entries.items():
        if service is not None and name != service:
            continue
        services[name] = service_document(entry.service.objective)
    for one in burn.documents(service):
        if one.service_name in services:
            services[one.service_name]["classes"][one.class_name] = one.counts
        await asyncio.sleep(0)
    return {
        "format": FORMAT_VERSION,
        "host_id": identity.host_id,
        "failure_domain": identity.failure_domain,
        "region": identity.region,
        "revision": serving.revision,
        "since_unix_s": now_unix_s - (clock.now() - burn.started_at),
        "now_unix_s": now_unix_s,
        "services": services,
        "incidents": incidents.document(),
        "incidents_dropped": incidents.dropped,
    }


def service_document(objective):
    """Return the JSON value of a service without any request."""
    return {
        "objective": {
            "success_share": objective.success_share,
            "latency_ms": objective.latency_ms,
            "window_days": objective.window_days,
        },
        "classes": {},
    }
