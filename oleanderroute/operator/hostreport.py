"""One host's part of the burn report, as a JSON value."""

FORMAT_VERSION = 1


def host_report(identity, serving, burn, incidents, clock):
    """Return what this host knows; its counts begin with its own start.

    Parameters
    ----------
    identity : PeerIdentity
    serving : Serving
    burn : BurnLedger
    incidents : IncidentLog
    clock : Clock

    Returns
    -------
    dict
    """
    now_unix_s = clock.wall()
    services = {}
    counted = burn.document()
    for name, entry in serving.entries.items():
        objective = entry.service.objective
        services[name] = {
            "objective": {
                "success_share": objective.success_share,
                "latency_ms": objective.latency_ms,
                "window_days": objective.window_days,
            },
            "classes": counted.get(name, {}),
        }
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
