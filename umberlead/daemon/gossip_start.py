"""Starts the gossip of a process, at once or when another process of the front has left its address.

Only one process of a front gossips at a time: peers know the front by its name and its one address. The
process that stops closes its socket with SIGTERM, and the process that replaces it then opens its own. A
front decides on zones by its own attempts, so it serves without gossip meanwhile.
"""

import asyncio
import contextlib
import errno
import os
from typing import TYPE_CHECKING

from umberlead.configuration import ConfigError, GossipConfig
from umberlead.daemon.assembly import ProcessComponents
from umberlead.resource_limits import LOCAL_RESOURCE_ERRNOS

if TYPE_CHECKING:  # at run time imported only by fronts whose configuration enables it
    from umberlead.gossip.messages import GossipKeys

BIND_RETRY_SECONDS = 0.05
RETRY_TASK_NAME = "gossip_bind"  # under which the retries are supervised
KEYS_KEY = "rooms.peers.keys"
LISTEN_KEY = "rooms.peers.listen"


class GossipStart:
    """Opens the socket of a process's gossip, and retries while its address is in use."""

    def __init__(self, components: ProcessComponents) -> None:
        """Start nothing yet."""
        self._components = components
        self._retry_task: asyncio.Task[None] | None = None
        self._is_closed = False

    async def start(self) -> None:
        """Start gossip if the configuration has it; return also if it can only start later.

        Raises:
            ConfigError: The keys can't be used, or the address can't be listened on.
        """
        components = self._components
        zone_config = components.config.zones
        if components.zones is None or zone_config is None or zone_config.gossip is None or self._is_closed:
            return
        from umberlead.gossip.messages import GossipKeys, GossipKeysError

        try:
            keys = GossipKeys.read(zone_config.gossip.keys_path)
        except GossipKeysError as error:
            raise ConfigError(KEYS_KEY, str(error)) from None
        try:
            await self._open(zone_config.gossip, keys)
        except OSError as error:
            if not self._may_succeed_later(error):
                raise ConfigError(LISTEN_KEY, str(error)) from None
            self._record_failure(error)
            self._start_retrying(zone_config.gossip, keys)

    def _may_succeed_later(self, error: OSError) -> bool:
        """Return whether another process of this front may have the address, or the system lacks a resource.

        Processes of a front share a state folder. That no other is registered there does not show that there
        is none: it may have failed to register.
        """
        if error.errno == errno.EADDRINUSE:
            return self._components.config.state_folder is not None
        return error.errno in LOCAL_RESOURCE_ERRNOS

    def _record_failure(self, error: OSError) -> None:
        self._components.counters.add("gossip_binds_failed")
        self._components.log.warning("gossip_delayed", key=LISTEN_KEY, reason=str(error))

    def _start_retrying(self, gossip_config: GossipConfig, keys: "GossipKeys") -> None:
        self._retry_task = self._components.supervisor.start_task(
            RETRY_TASK_NAME, lambda: self._retry(gossip_config, keys)
        )

    def _gossip_lost(self, gossip_config: GossipConfig, keys: "GossipKeys") -> None:
        """Open another socket for one that was closed by an error."""
        self._components.gossip = None
        self._components.counters.add("gossip_sockets_lost")
        self._components.log.error("gossip_lost", key=LISTEN_KEY)
        self._start_retrying(gossip_config, keys)

    async def _retry(self, gossip_config: GossipConfig, keys: "GossipKeys") -> None:
        while self._components.gossip is None:
            await asyncio.sleep(BIND_RETRY_SECONDS)
            with contextlib.suppress(OSError):
                await self._open(gossip_config, keys)

    async def _open(self, gossip_config: GossipConfig, keys: "GossipKeys") -> None:
        """Open the socket and start to exchange zone health with other fronts.

        Raises:
            OSError: The socket can't be opened at the address.
        """
        from umberlead.gossip.udp_transport import start_gossip

        components = self._components
        assert components.zones is not None
        gossip = await start_gossip(
            gossip_config,
            keys,
            components.config.name,
            components.config.seed ^ os.getpid(),
            components.zones.router.zone_health,
            components.clock,
            components.supervisor,
        )
        if self._is_closed:  # while the socket was being opened
            gossip.close()
            return
        gossip.on_lost = lambda: self._gossip_lost(gossip_config, keys)
        components.gossip = gossip
        components.log.info("gossip_started", address=gossip.address)

    def close(self) -> None:
        """End gossip for good, so that another process of the front can use the address."""
        self._is_closed = True
        if self._retry_task is not None:
            self._retry_task.cancel()
        if self._components.gossip is not None:
            self._components.gossip.close()
