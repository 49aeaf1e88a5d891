"""Values of the gauges on the metrics page of an entry process."""

__all__ = ["gauges_of"]

SLOW_SERVER = 1.5
"""Current slowdown above which a server counts as slow on the metrics page."""


def gauges_of(process):
    """Return the current values of the gauges of a process, by name.

    Args:
        process: The `EntryProcess`.
    """
    now = process.reactor.seconds()
    return {
        "requests_in_progress": len(process.callers.exchanges),
        **{
            f'requests_waiting{{for="{wait}"}}': count
            for wait, count in process.in_progress.counts().items()
        },
        "relayed_in_progress": len(process.relay.relayed),
        "questions_left_out_total": process.coordinator.queries_dropped,
        "requests_suspected": process.crashes.count(parts=False),
        "requests_blocked": process.crashes.count(parts=False, blocked=True),
        "parts_suspected": process.crashes.count(parts=True),
        "parts_blocked": process.crashes.count(parts=True, blocked=True),
        "servers_leaving_by_answer": process.registry.leaving_by_answer(),
        "servers_at_rest": process.retry_after_pauses.count_blocked(now),
        "servers_slow": process.placer.speeds.count_slow(now, SLOW_SERVER),
        "server_speed_spread": round(process.placer.speeds.spread(), 2),
        "servers_limited": process.server_limits.count_limited(now),
        "requests_placed": len(process.placer.placements),
        **process.placer.return_gauges(),
        **process.listeners.account.gauges(),
        **process.state.stream_origins.gauges(),
        "requests_sent_for_headroom_total": sum(
            headroom.sent_away
            for headroom in process.placer.headrooms.values()
        ),
        "hosts_live": len(process.members.live(now)),
        "servers_known": len(process.registry.servers),
        "configuration_version": process.keeper.version,
        "store_era": process.store_sync.store.era or 0,
        "store_contact_age_seconds": round(process.state.contact.age, 1),
        "view_age_seconds": round(min(process.state.view.age, 1e6), 1),
        "watch_age_seconds": process.store_sync.watch_age,
        "store_calls_total": process.store_sync.store.calls,
        "connections_opened_total": process.state.connections.opened,
        "connections_unopened_total": process.state.connections.unopened,
        "datagram_bytes_sent_total": process.datagrams.bytes_sent,
        "log_lines_left_out": process.log_writer.lines_dropped,
    }
