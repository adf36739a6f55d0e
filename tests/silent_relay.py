"""A TCP relay whose open connections can fall silent for good.

Nothing is reset: the relay's system drops the packets that arrive on such a
connection unacknowledged, and nothing is sent on it.  New connections work.
"""

import ctypes
import socket
import struct
import threading
from contextlib import suppress

import attrs

# Linux's option for a classic BPF filter on a socket, and the only instruction
# of one that accepts no packet.
SO_ATTACH_FILTER = 26
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
READ_BYTES = 65_536


class FilterProgram(ctypes.Structure):
    """The system's `struct sock_fprog`."""

    _fields_ = (("length", ctypes.c_ushort), ("filter", ctypes.c_void_p))


def drop_packets(sock: socket.socket) -> None:
    """Let the system drop all further packets to a socket."""
    instructions = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
    program = FilterProgram(1, ctypes.addressof(instructions))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))


@attrs.define(kw_only=True, eq=False)
class Link:
    """A connection through the relay."""

    near: socket.socket
    far: socket.socket
    is_silent: bool = False

    def fall_silent(self) -> None:
        """Acknowledge and send nothing more to the near end."""
        self.is_silent = True
        drop_packets(self.near)

    def pump(self, source: socket.socket, sink: socket.socket) -> None:
        """Pass bytes on until either end closes its connection."""
        with suppress(OSError):
            while data := source.recv(READ_BYTES):
                if not self.is_silent:
                    sink.sendall(data)
        if not self.is_silent:
            self.shut()

    def shut(self) -> None:
        """Shut both connections."""
        for sock in (self.near, self.far):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


@attrs.define(kw_only=True, eq=False)
class SilentRelay:
    """Passes connections on to a port; a context manager."""

    port: int
    listener: socket.socket = attrs.field(init=False)
    links: list[Link] = attrs.field(factory=list)

    def __enter__(self) -> "SilentRelay":
        """Start listening."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self.accept_all, daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop listening and shut all connections."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for link in self.links:
            link.shut()
            link.near.close()
            link.far.close()

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def accept_all(self) -> None:
        """Accept connections until the relay is closed."""
        with suppress(OSError):
            while True:
                near, _ = self.listener.accept()
                self.connect(near)

    def connect(self, near: socket.socket) -> None:
        """Pass a connection on."""
        far = socket.create_connection(("127.0.0.1", self.port))
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = Link(near=near, far=far)
        self.links.append(link)
        for ends in ((near, far), (far, near)):
            threading.Thread(target=link.pump, args=ends, daemon=True).start()

    def fall_silent(self) -> None:
        """Let all open connections fall silent."""
        for link in list(self.links):
            with suppress(OSError):
                link.fall_silent()
