"""Applies the state shared by a front's processes: their number, their share of limits, manual drains."""

from umberlead.daemon.assembly import ProcessComponents
from umberlead.daemon.limits import LimitControl


class SharedStateSync:
    """Applies changes made by sibling processes and by calls of the admin API.

    Attributes:
        process_share: The part of each volume's limits that this process may use; 0 before the first sync.
        manual_drains: The endpoints that operators have drained, with the time of each drain (Unix time in
            us).
    """

    def __init__(self, components: ProcessComponents, limits: LimitControl) -> None:
        """Start with no siblings and no drains."""
        self._components = components
        self._limits = limits
        self.process_share = 0.0
        self.manual_drains: dict[str, int] = {}
        self._call_ids_error = ""

    def sync(self) -> None:
        """Read the shared state and apply its changes."""
        components = self._components
        shared_state = components.shared_state
        self._open_call_ids()
        process_count = 1 + shared_state.count_siblings()
        manual_drains = shared_state.drain_overrides()
        if process_count != components.process_count:
            components.log.info("processes", now=process_count, before=components.process_count)
            components.process_count = process_count
            self._limits.apply()
        process_share = shared_state.share()
        if process_share != self.process_share:
            self.process_share = process_share
            components.lifecycle.set_process_share(process_share)
        self._apply_manual_drains(manual_drains)

    def _open_call_ids(self) -> None:
        """Open the table of call ids if that has not succeeded yet, and log each new error."""
        call_ids = self._components.shared_state.call_ids
        call_ids.open()
        if call_ids.error and call_ids.error != self._call_ids_error:
            self._components.log.warning("call_ids_not_shared", why=call_ids.error)
        self._call_ids_error = call_ids.error

    def _apply_manual_drains(self, manual_drains: dict[str, int]) -> None:
        components = self._components
        drained = [name for name in manual_drains if name not in self.manual_drains]
        undrained = [name for name in self.manual_drains if name not in manual_drains]
        for name in drained + undrained:
            is_drained = name in manual_drains
            components.log.warning(
                "endpoint_drain_changed", node=name, state="offline" if is_drained else "online"
            )
            drained_us = components.start_times.to_local_clock(
                f"out {name}", manual_drains.get(name, 0), components.clock()
            )
            if components.watched_lists is None:
                components.lifecycle.set_manual_drain(name, is_drained, drained_us)
            else:
                components.watched_lists.set_manual_drain(name, is_drained, drained_us)
        self.manual_drains = manual_drains

    def set_manual_drain(self, endpoint: str, is_drained: bool) -> None:
        """Drain an endpoint or end its drain, as an operator requests.

        The change is stored and in force when this returns.

        Raises:
            OSError: The change cannot be stored.
        """
        with self._components.reserved_descriptor.lent():
            self._components.shared_state.set_drain_override(endpoint, is_drained)
            self.sync()
