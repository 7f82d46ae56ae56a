"""The frontends and the admin API of a process, with their listeners and groups of clients."""

from collections.abc import Callable
from dataclasses import dataclass

from umberlead import configuration
from umberlead.daemon.assembly import ProcessComponents
from umberlead.daemon.limits import LimitControl
from umberlead.frontends.admin_api import AdminApi
from umberlead.frontends.platform import PlatformFrontend
from umberlead.net.client_connections import ClientGroup
from umberlead.net.listener import Listener
from umberlead.net.server_connection import RequestHandler


@dataclass(frozen=True, slots=True)
class Frontend:
    """A protocol for clients, and where it is to listen."""

    handler: RequestHandler
    clients: ClientGroup
    address: configuration.Address


class FrontendAssembly:
    """Creates the frontends that the configuration has, and lets them listen."""

    def __init__(self, components: ProcessComponents, limits: LimitControl) -> None:
        """Begin without any frontend."""
        self._components = components
        self._limits = limits

    def create_all(self) -> list[Frontend]:
        """Create all frontends; the object API's group of clients is the last one."""
        conf = self._components.config
        frontends: list[Frontend] = []
        if conf.listen is not None:
            handler = PlatformFrontend(self._components.lifecycle, conf.retry_after_us, conf.answer_margin_us)
            frontends.append(Frontend(handler, self._new_client_group(), conf.listen))
        if conf.object_api is not None:
            frontends.append(self._new_object_api(conf.object_api))
        self._components.handlers = [frontend.handler for frontend in frontends]
        return frontends

    def _new_object_api(self, object_config: configuration.ObjectApiConfig) -> Frontend:
        # Loaded only by fronts that have it: others start sooner without it.
        from umberlead.frontends.object_api.handler import ObjectApi
        from umberlead.frontends.object_api.uploads import UploadRegistry

        components = self._components
        clients = self._new_client_group()
        uploads = UploadRegistry(
            components.config.name,
            components.clock,
            object_config.max_uploads,
            object_config.max_parts,
            object_config.upload_idle_us,
        )
        handler = ObjectApi(
            object_config,
            components.lifecycle,
            uploads,
            clients,
            components.config.retry_after_us,
            components.log,
        )
        return Frontend(handler, clients, object_config.listen)

    def _new_client_group(self) -> ClientGroup:
        components = self._components
        clients = self._new_unlimited_group()
        clients.on_capacity_shortage = self._limits.descriptor_quota.connection_refused_for_quota
        clients.on_close = self._client_closed
        components.client_groups.append(clients)
        return clients

    def _new_unlimited_group(self) -> ClientGroup:
        components = self._components
        idle_timeout_us = components.config.client_idle_timeout_us
        return ClientGroup(0, components.clock, components.counters, idle_timeout_us, 0, components.log.error)

    def _client_closed(self, owed: bool, reason: str, calls: str) -> None:
        self._components.lifecycle.invariants.check_close(owed, reason, calls)
        if self._components.trace is not None:
            self._components.trace("client_closed", reason=reason, calls=calls)

    def listen(self, frontend: Frontend) -> None:
        """Let a frontend accept clients.

        Raises:
            OSError: It can't listen at its address.
        """
        components = self._components
        has_capacity = frontend.clients.max_connections > 0 and components.pool.max_connections > 0
        components.lifecycle.invariants.check_listening(has_capacity)
        # Also where the state folder can't be written now: another process may run beside this one.
        reuse_port = components.config.state_folder is not None
        listener = Listener(frontend.handler, frontend.clients, frontend.address, components.loop, reuse_port)
        components.listeners.append(listener)
        components.log.info("listening", address=":".join(map(str, listener.address)))

    def listen_for_admins(
        self,
        is_ready: Callable[[], bool],
        set_manual_drain: Callable[[str, bool], None],
        knows_endpoint: Callable[[str], bool],
    ) -> None:
        """Let the admin API accept clients, where the configuration has it.

        Raises:
            OSError: It can't listen at its address.
        """
        components = self._components
        address = components.config.admin_listen
        if address is None:
            return
        admin_api = AdminApi(components.lifecycle, is_ready, set_manual_drain, knows_endpoint)
        admin_api.watched_lists = components.watched_lists
        admin_api.zones = components.zones
        clients = self._new_unlimited_group()
        listener = Listener(admin_api, clients, address, components.loop)
        components.admin_listeners.append((listener, clients))
        components.log.info("admin_api_listening", address=":".join(map(str, listener.address)))
