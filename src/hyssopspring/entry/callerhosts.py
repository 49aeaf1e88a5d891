"""Which hosts the directory gives to callers."""

__all__ = ["CallerHosts"]


class CallerHosts:
    """Choose the hosts that callers should use.

    Args:
        members: The `Members`.
        keeper: The `ConfigurationKeeper`.
        clock: The runtime's clock.
    """

    def __init__(self, members, keeper, clock):
        self.members = members
        self.keeper = keeper
        self.clock = clock

    def hosts_for(self, name, region, data_centre):
        """Return the addresses that callers of a region should use.

        A request body must not reach a region that is neither the caller's nor
        a home region of its route. The result is therefore the hosts of the
        caller's region; failing these, the hosts of the home regions of the
        name's routes; failing these, hosts that are shutting down but still
        serve.

        Args:
            name: Host name that the caller wants to reach.
            region: Region of the caller.
            data_centre: Its data centre.
        """
        now = self.clock.seconds()
        live = self.members.listed(now)
        homes = self.home_regions_of(name)
        choices = (
            [one for one in live if one.region == region],
            [one for one in live if one.region in homes],
            self.members.leaving(now, region),
            live,
        )
        for members in choices:
            if members:
                return [member.front for member in members]
        return []

    def home_regions_of(self, name):
        """Return the regions that are a home of all region-bound routes."""
        if not self.keeper.current:
            return frozenset()
        bound = [
            route.homes
            for route in self.keeper.current.by_host.get(name.lower(), ())
            if route.homes
        ]
        return frozenset.intersection(*bound) if bound else frozenset()
