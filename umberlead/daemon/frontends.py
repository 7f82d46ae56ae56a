"""Creates the frontends and the admin API of a process with their listeners and client groups."""

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
    """A request handler with its group of clients and the address that it listens on."""

    handler: RequestHandler
    clients: ClientGroup
    address: configuration.Address


class FrontendAssembly:
    """Creates the configured frontends and opens their listeners."""

    def __init__(self, components: ProcessComponents, limits: LimitControl) -> None:
        """Start without frontends."""
        self._components = components
        self._limits = limits

    def create_all(self) -> list[Frontend]:
        """Create all frontends; the client group of the object API is the last one."""
        config = self._components.config
        frontends: list[Frontend] = []
        if config.listen is not None:
            handler = PlatformFrontend(
                self._components.lifecycle, config.retry_after_us, config.answer_margin_us
            )
            handler.unready_reason = self._unready_reason
            frontends.append(Frontend(handler, self._new_client_group(), config.listen))
        if config.object_api is not None:
            frontends.append(self._new_object_api(config.object_api))
        self._components.handlers = [frontend.handler for frontend in frontends]
        return frontends

    def _new_object_api(self, object_config: configuration.ObjectApiConfig) -> Frontend:
        # Imported only where the object API is configured: without it, a front starts faster.
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
        handler.unready_reason = self._unready_reason
        return Frontend(handler, clients, object_config.listen)

    def _unready_reason(self) -> str:
        """Return why a process that serves clients should not be used; "" if it should."""
        lists = self._components.watched_lists
        return lists.unready_reason() if lists is not None else ""

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
        clients = ClientGroup(
            0, components.clock, components.counters, idle_timeout_us, 0, components.log.error
        )
        clients.event_log = components.event_log
        return clients

    def _client_closed(self, is_response_owed: bool, reason: str, calls: str) -> None:
        self._components.lifecycle.invariants.check_close(is_response_owed, reason, calls)
        if self._components.trace is not None:
            self._components.trace("client_closed", reason=reason, calls=calls)

    def listen(self, frontend: Frontend) -> None:
        """Open a frontend's listener.

        Raises:
            OSError: The frontend cannot listen on its address.
        """
        components = self._components
        has_capacity = frontend.clients.max_connections > 0 and components.pool.max_connections > 0
        components.lifecycle.invariants.check_listening(has_capacity)
        # Set even if the state folder cannot be written now: another process of this front may be running.
        reuse_port = components.config.state_folder is not None
        listener = Listener(frontend.handler, frontend.clients, frontend.address, components.loop, reuse_port)
        components.listeners.append(listener)
        components.log.info("listening", address=":".join(map(str, listener.address)))

    def listen_admin_api(
        self,
        is_ready: Callable[[], bool],
        set_manual_drain: Callable[[str, bool], None],
        knows_endpoint: Callable[[str], bool],
    ) -> None:
        """Open the listener of the admin API if the configuration has one.

        Raises:
            OSError: The admin API cannot listen on its address.
        """
        components = self._components
        address = components.config.admin_listen
        if address is None:
            return
        admin_api = AdminApi(
            components.lifecycle, is_ready, set_manual_drain, knows_endpoint, self._unready_reason
        )
        admin_api.failures = components.supervisor
        admin_api.watched_lists = components.watched_lists
        admin_api.zones = components.zones
        clients = self._new_unlimited_group()
        listener = Listener(admin_api, clients, address, components.loop)
        components.admin_listeners.append((listener, clients))
        components.log.info("admin_api_listening", address=":".join(map(str, listener.address)))
